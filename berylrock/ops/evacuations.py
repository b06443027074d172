"""Tracks which availability zones the operators have evacuated.

Scenario: the store comes back from a copy that is older than an evacuation. The zone stays out of
use until the operators have written it again; the copy alone does not show that they took it back.
"""

__all__ = ["EvacuatedZones"]

# Time within which operators write again what the store has lost.
REWRITE_S = 6.0


class EvacuatedZones:
    """The zones with a record in the store, and those that had one before it came back."""

    def __init__(self) -> None:
        self._recorded: set[str] = set()
        # Zones that stay out of use without a record, with the time at which that ends.
        self._held: dict[str, float] = {}

    def replace(self, zones: set[str]) -> None:
        """Replace all records by a complete list."""
        self._recorded = zones

    def add(self, zone: str) -> None:
        """Record an evacuation."""
        self._recorded.add(zone)

    def remove(self, zone: str) -> None:
        """Record that the operators took a zone back."""
        self._recorded.discard(zone)
        self._held.pop(zone, None)

    def record_restored(self, now: float) -> None:
        """Record that the store has come back from an older copy; ``now`` is in seconds."""
        for zone in self.current(now):
            self._held[zone] = now + REWRITE_S

    def current(self, now: float) -> frozenset[str]:
        """Return the zones that are out of use at a time in seconds."""
        self._held = {zone: until for zone, until in self._held.items() if now < until}
        return frozenset(self._recorded | self._held.keys())
