"""A lease in the object API: one holder at a time, with a fencing number that only grows.

Clocks of VMs are not compared. A process that wants the lease watches its object: if the object's
version has not changed for the lease's duration, by the watcher's own clock, the holder is gone.
"""

import time

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import errors

__all__ = ["CONTROLLER", "Lease", "LeaseRecord", "read"]

OBJECT_KIND = "leases"
CONTROLLER = "controller"
DURATION_SECONDS = 6.0
SAFETY_MARGIN_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 2.5


class LeaseRecord(msgspec.Struct, frozen=True):
    """The stored lease: its holder, the fencing number, and a count of its renewals."""

    holder: str
    fence: int
    renewals: int = 0


async def read(objects: interfaces.ObjectStore, name: str) -> LeaseRecord:
    """Read a lease; raises ``NotFound`` or ``StoreUnavailable``."""
    stored = await objects.get(OBJECT_KIND, name)
    return msgspec.json.decode(stored.body, type=LeaseRecord)


class Lease:
    """One process's view of a lease.

    Attributes:
      fence: The fencing number while held.
    """

    def __init__(self, objects: interfaces.ObjectStore, name: str, holder: str) -> None:
        self._objects = objects
        self._name = name
        self._holder = holder
        self._seen_version = 0
        self._seen_at = 0.0
        self._held_until = 0.0
        self._record = LeaseRecord("", 0)
        self._tended_at = -CHECK_INTERVAL_SECONDS
        self.fence = 0

    def is_held(self) -> bool:
        """Whether this process holds the lease now, by its own clock and with a margin."""
        return self.fence > 0 and time.monotonic() < self._held_until

    def is_check_due(self) -> bool:
        """Whether to tend the lease now: a holder always, others only now and then."""
        return self.is_held() or time.monotonic() - self._tended_at >= CHECK_INTERVAL_SECONDS

    async def acquire_or_renew(self) -> bool:
        """Take the lease if it is free, or renew it.

        Returns:
          Whether this process holds it.
        """
        now = time.monotonic()
        self._tended_at = now
        try:
            await self._observe(now)
            await self._claim(now)
        except (errors.Conflict, errors.StoreUnavailable):
            # Whether a lost answer took effect is seen by the next reading.
            pass
        return self.is_held()

    async def _observe(self, now: float) -> None:
        try:
            stored = await self._objects.get(OBJECT_KIND, self._name)
        except errors.NotFound:
            self._record, self._seen_version = LeaseRecord("", 0), 0
            return
        if stored.version != self._seen_version:
            self._seen_version, self._seen_at = stored.version, now
            self._record = msgspec.json.decode(stored.body, type=LeaseRecord)

    async def _claim(self, now: float) -> None:
        record = self._record
        mine = record.holder == self._holder and record.fence == self.fence and self.fence > 0
        gone = now - self._seen_at >= DURATION_SECONDS
        if mine and now < self._held_until:
            renewed = LeaseRecord(self._holder, record.fence, record.renewals + 1)
        elif self._seen_version == 0 or record.holder == "" or gone:
            renewed = LeaseRecord(self._holder, record.fence + 1)
        else:
            self.fence = 0
            return
        body = msgspec.json.encode(renewed)
        version = await self._objects.put(OBJECT_KIND, self._name, body, self._seen_version)
        self._record, self._seen_version, self._seen_at = renewed, version, now
        self.fence = renewed.fence
        self._held_until = now + DURATION_SECONDS - SAFETY_MARGIN_SECONDS

    async def release(self) -> None:
        """Give the lease back, so that the next holder need not wait."""
        if not self.is_held():
            return
        body = msgspec.json.encode(LeaseRecord("", self._record.fence))
        self.fence = 0
        try:
            await self._objects.put(OBJECT_KIND, self._name, body, self._seen_version)
        except (errors.Conflict, errors.StoreUnavailable):
            # The lease then runs out by itself.
            return
