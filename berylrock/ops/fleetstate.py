"""Shares state between entry processes in one small stored object that outlives any of them.

The object lists quarantined requests, which crash backend servers, versions found bad, and the
progress of rollouts. It changes rarely, by conditional update, and every entry process watches it.
"""

from collections.abc import Callable

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import errors, eventlog
from berylrock.ops import eligibility

__all__ = ["FleetRecord", "FleetState", "Progress"]

OBJECT_KIND = "fleet"
MAX_UPDATE_ATTEMPTS = 5
MAX_QUARANTINED = 5000


class Progress(msgspec.Struct, frozen=True):
    """The percentage that a rollout has reached, and the Unix time of its last step."""

    percent: float
    stepped: float


class FleetRecord(msgspec.Struct, frozen=True):
    """The stored object.

    Attributes:
      refused: Fingerprints of quarantined requests, which do not run again, each with the ids of
        the backend server crashes during which it ran.
      bad: Versions found bad, each with the reason.
      progress: Progress of rollouts, by ``model@version`` of the new version.
    """

    refused: dict[str, tuple[str, ...]] = {}
    bad: dict[str, str] = {}
    progress: dict[str, Progress] = {}


class FleetState:
    """One process's copy of the stored object.

    Attributes:
      record: The object as last read or written.
      version: Version of the object; 0 if there is none.
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
        """Call an action after each change of the record."""
        self._subscribers.append(action)

    def rollout_view(self) -> eligibility.RolloutView:
        """Return the state that the selection of versions depends on."""
        percent = {name: item.percent for name, item in self.record.progress.items()}
        return eligibility.RolloutView(percent, frozenset(self.record.bad))

    def replace_if_newer(self, stored: interfaces.StoredObject) -> None:
        """Replace the copy by an object that was read, if that is newer."""
        if stored.version <= self.version:
            return
        self.record = msgspec.json.decode(stored.body, type=FleetRecord)
        self.version = stored.version
        for action in self._subscribers:
            action()

    async def watch(self, seconds: float) -> None:
        """Wait for a newer object and replace the copy by it.

        Args:
          seconds: Longest time to wait.

        Raises:
          StoreUnavailable: The object API cannot be reached.
        """
        stored = await self._objects.watch(OBJECT_KIND, self._name, self.version, seconds)
        if stored is not None:
            self.replace_if_newer(stored)

    async def update(self, change: Callable[[FleetRecord], FleetRecord]) -> bool:
        """Change the stored object by conditional update.

        Args:
          change: Computes the new record from the stored one; may be called several times.

        Returns:
          Whether the change is stored. False if the object API is unavailable, or if each attempt
          conflicted with another change.
        """
        for _ in range(MAX_UPDATE_ATTEMPTS):
            try:
                changed = change(self.record)
                if changed == self.record:
                    return True
                body = msgspec.json.encode(changed)
                version = await self._objects.put(OBJECT_KIND, self._name, body, self.version)
                self.replace_if_newer(interfaces.StoredObject(version, body))
                return True
            except errors.Conflict:
                await self._refresh()
            except errors.StoreUnavailable:
                return False
        return False

    async def _refresh(self) -> None:
        try:
            self.replace_if_newer(await self._objects.get(OBJECT_KIND, self._name))
        except errors.NotFound:
            # The object does not exist; the next update creates it from this copy.
            self.version = 0

    async def add_bad_version(self, version_id: str, reason: str) -> bool:
        """Add a version to the versions found bad; returns whether the change is stored."""

        def change(record: FleetRecord) -> FleetRecord:
            if version_id in record.bad:
                return record
            return msgspec.structs.replace(record, bad={**record.bad, version_id: reason})

        return await self.update(change)

    async def add_quarantined_request(self, fingerprint: str, crashes: tuple[str, ...]) -> bool:
        """Add a request to the quarantined ones; returns whether the change is stored."""

        def change(record: FleetRecord) -> FleetRecord:
            if fingerprint in record.refused:
                return record
            kept = dict(list(record.refused.items())[-MAX_QUARANTINED + 1 :])
            return msgspec.structs.replace(record, refused={**kept, fingerprint: crashes})

        return await self.update(change)
