"""A lease in the object API: one holder at a time, with a fencing number that only increases.

The clocks of VMs are never compared. A process that wants the lease reads its object repeatedly.
If the object's version has not changed for the lease's duration, by the reader's own clock, the
lease has expired.
"""

import time

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import errors

__all__ = ["CONTROLLER", "Lease", "LeaseRecord", "read"]

OBJECT_KIND = "leases"
CONTROLLER = "controller"
DURATION_SECONDS = 6.0
# A holder stops counting on its lease this long before the others may acquire it.
SAFETY_MARGIN_SECONDS = 1.0
CHECK_INTERVAL_SECONDS = 2.5


class LeaseRecord(msgspec.Struct, frozen=True):
    """The stored lease: its holder (empty if released), fencing number, and number of renewals."""

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
      fence: The fencing number of the lease; valid only while ``is_held`` returns true.
    """

    def __init__(self, objects: interfaces.ObjectStore, name: str, holder: str) -> None:
        self._objects = objects
        self._name = name
        self._holder = holder
        self._seen_version = 0
        self._seen_at = 0.0
        self._held_until = 0.0
        self._record = LeaseRecord("", 0)
        self._last_check_at = -CHECK_INTERVAL_SECONDS
        self.fence = 0

    def is_held(self) -> bool:
        """Whether this process holds the lease, by its own clock and with a safety margin."""
        return self.fence > 0 and time.monotonic() < self._held_until

    def is_check_due(self) -> bool:
        """Whether to call ``acquire_or_renew`` now: always for the holder, else at intervals."""
        return self.is_held() or time.monotonic() - self._last_check_at >= CHECK_INTERVAL_SECONDS

    async def acquire_or_renew(self) -> bool:
        """Acquire the lease if it is free or expired, or renew it if this process holds it.

        Returns:
          Whether this process holds the lease.
        """
        now = time.monotonic()
        self._last_check_at = now
        try:
            await self._observe(now)
            await self._acquire(now)
        except (errors.Conflict, errors.StoreUnavailable):
            # The next read shows whether a write whose answer was lost took effect.
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

    async def _acquire(self, now: float) -> None:
        record = self._record
        mine = record.holder == self._holder and record.fence == self.fence and self.fence > 0
        expired = now - self._seen_at >= DURATION_SECONDS
        if mine and now < self._held_until:
            renewed = LeaseRecord(self._holder, record.fence, record.renewals + 1)
        elif self._seen_version == 0 or record.holder == "" or expired:
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
        """Release the lease, so that the next holder need not wait for it to expire."""
        if not self.is_held():
            return
        body = msgspec.json.encode(LeaseRecord("", self._record.fence))
        self.fence = 0
        try:
            await self._objects.put(OBJECT_KIND, self._name, body, self._seen_version)
        except (errors.Conflict, errors.StoreUnavailable):
            # The lease then expires by itself.
            return
