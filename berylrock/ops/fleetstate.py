"""What the fleet has learned and must outlast any process: one small object for all.

It holds requests that crash backend servers, versions found bad, and how far roll-outs have got.
It changes rarely, by conditional update, and every entry process watches it.
"""

from collections.abc import Callable

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import errors, eventlog
from berylrock.ops import eligibility

__all__ = ["FleetRecord", "FleetState", "Progress"]

OBJECT_KIND = "fleet"
UPDATE_TRIES = 5
MAX_REFUSED = 5000


class Progress(msgspec.Struct, frozen=True):
    """How far a roll-out has got, and the unix time of its last step."""

    percent: float
    stepped: float


class FleetRecord(msgspec.Struct, frozen=True):
    """The stored object.

    Attributes:
      refused: Fingerprints that do not run again, each with the falls it was seen in.
      bad: Versions found bad, and the evidence.
      progress: Roll-outs by ``model@new``.
    """

    refused: dict[str, tuple[str, ...]] = {}
    bad: dict[str, str] = {}
    progress: dict[str, Progress] = {}


class FleetState:
    """One process's view of the record.

    Attributes:
      record: The record as last seen.
      version: Its version.
    """

    def __init__(
        self, objects: interfaces.ObjectStore, environment: str, log: eventlog.EventLog
    ) -> None:
        self._objects = objects
        self._name = environment
        self._log = log
        self._subscribers: list[Callable[[], None]] = []
        self.record = FleetRecord()
        self.version = 0

    def subscribe(self, action: Callable[[], None]) -> None:
        """Call an action after each change."""
        self._subscribers.append(action)

    def rollout_view(self) -> eligibility.RolloutView:
        """What the choice of a version needs to know."""
        percent = {name: item.percent for name, item in self.record.progress.items()}
        return eligibility.RolloutView(percent, frozenset(self.record.bad))

    def accept(self, stored: interfaces.StoredObject) -> None:
        """Take a record that was read, if it is newer."""
        if stored.version <= self.version:
            return
        self.record = msgspec.json.decode(stored.body, type=FleetRecord)
        self.version = stored.version
        for action in self._subscribers:
            action()

    async def watch(self, seconds: float) -> None:
        """Wait for a newer record; raises ``StoreUnavailable``."""
        stored = await self._objects.watch(OBJECT_KIND, self._name, self.version, seconds)
        if stored is not None:
            self.accept(stored)

    async def update(self, change: Callable[[FleetRecord], FleetRecord]) -> bool:
        """Change the record by conditional update.

        Args:
          change: Makes the new record of the stored one; may be called several times.

        Returns:
          Whether the change is stored; False if the object API is out.
        """
        for _ in range(UPDATE_TRIES):
            try:
                changed = change(self.record)
                if changed == self.record:
                    return True
                body = msgspec.json.encode(changed)
                version = await self._objects.put(OBJECT_KIND, self._name, body, self.version)
                self.accept(interfaces.StoredObject(version, body))
                return True
            except errors.Conflict:
                await self._refresh()
            except errors.StoreUnavailable:
                return False
        return False

    async def _refresh(self) -> None:
        try:
            self.accept(await self._objects.get(OBJECT_KIND, self._name))
        except errors.NotFound:
            self.version = 0

    async def add_bad_version(self, version_id: str, evidence: str) -> bool:
        """Record that a version was found bad; returns whether that is stored."""

        def change(record: FleetRecord) -> FleetRecord:
            if version_id in record.bad:
                return record
            return msgspec.structs.replace(record, bad={**record.bad, version_id: evidence})

        return await self.update(change)

    async def add_refused_request(self, fingerprint: str, falls: tuple[str, ...]) -> bool:
        """Record that a request does not run again; returns whether that is stored."""

        def change(record: FleetRecord) -> FleetRecord:
            if fingerprint in record.refused:
                return record
            kept = dict(list(record.refused.items())[-MAX_REFUSED + 1 :])
            return msgspec.structs.replace(record, refused={**kept, fingerprint: falls})

        return await self.update(change)
