"""Knows the engines: who is there, who leaves, which zones are out of use, what is under way.

An entry that vanishes normally means that the engine is gone. While the store is away, and for a
moment after its return, entries lapse though their engines live: such an engine is kept until it
has had time to register again.
"""

from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import health, pacing

__all__ = ["EngineSet", "EngineState"]

RETURN_GRACE_S = 2.3
# An engine that could not be reached, or whose zone was out of use, may come back cold.
COLD_DOUBT_S = 5.0
# An engine that cannot be reached so soon after connections broke fell with them.
BROKEN_S = 2.0


class EngineState:
    """What a process knows of one engine.

    Attributes:
      engine: Its last entry.
      send_window: What was sent to it lately.
      health: Evidence from its answers.
      running: Requests of this process that it holds.
      work: Sum of the sizes of those, in tokens.
      heard_at: When anything last came from it, on any connection.
      broken: Fingerprints of requests that broke off lately, and when.
      cold_until: When it is warm by what is known.
      lapsed_at: When its entry vanished around an outage of the store; None if it has one.
    """

    def __init__(self, engine: routing.Engine) -> None:
        self.engine = engine
        self.send_window = pacing.SendWindow()
        self.health = health.EngineHealth()
        self.running = 0
        self.work = 0.0
        self.heard_at = 0.0
        self.broken: list[tuple[str, float]] = []
        self.cold_until = 0.0
        self.lapsed_at: float | None = None

    def begin(self, work: float, now: float) -> None:
        """A request is sent."""
        self.running += 1
        self.work += work
        self.send_window.note(now)

    def mark_cold(self, now: float, seconds: float = COLD_DOUBT_S) -> None:
        """The engine is cold, or may be, for so long."""
        self.cold_until = max(self.cold_until, now + seconds)

    def note_broken(self, fingerprint: str, now: float) -> None:
        """A request's connection broke before its answer was whole."""
        self.broken = [item for item in self.broken if now - item[1] < BROKEN_S]
        self.broken.append((fingerprint, now))

    def take_broken(self, now: float) -> list[str]:
        """The requests that may have felled an engine that is now found to be gone."""
        found = [fingerprint for fingerprint, at in self.broken if now - at < BROKEN_S]
        self.broken.clear()
        return found

    def end(self, work: float) -> None:
        """A request is over."""
        self.running -= 1
        self.work = max(0.0, self.work - work) if self.running else 0.0


class Change(NamedTuple):
    """An engine that came, changed or went, for the log."""

    engine_id: str
    what: str


class EngineSet:
    """The engines of all services.

    Attributes:
      evacuated: Zones whose engines get nothing.
    """

    def __init__(self) -> None:
        self._states: dict[str, EngineState] = {}
        self._store_lost_at: float | None = None
        self._store_back_at: float | None = None
        self.evacuated: frozenset[str] = frozenset()

    def note_store_lost(self, now: float) -> None:
        """The store does not answer."""
        if self._store_lost_at is None:
            self._store_lost_at = now

    def note_store_back(self, now: float) -> None:
        """The store answers again, or still."""
        if self._store_lost_at is not None:
            self._store_lost_at = None
            self._store_back_at = now

    def _around_outage(self, now: float) -> bool:
        if self._store_lost_at is not None:
            return True
        return self._store_back_at is not None and now - self._store_back_at < RETURN_GRACE_S

    def set_evacuated(self, zones: frozenset[str], now: float) -> None:
        """Take which zones are out of use; one that returns may be cold."""
        returned = self.evacuated - zones
        self.evacuated = zones
        for state in self._states.values():
            if state.engine.zone in returned:
                state.mark_cold(now)

    def put(self, engine: routing.Engine, now: float) -> Change | None:
        """Take an engine's entry; returns what changed, if anything that matters did."""
        state = self._states.get(engine.id)
        if state is None:
            state = self._states[engine.id] = EngineState(engine)
            state.mark_cold(now, engine.warmup_left_s)
            return Change(engine.id, "draining" if engine.draining else "added")
        if engine.revision < state.engine.revision:
            return None
        was = state.engine
        state.engine, state.lapsed_at = engine, None
        state.mark_cold(now, engine.warmup_left_s)
        if was.draining != engine.draining:
            return Change(engine.id, "draining" if engine.draining else "ready")
        return None

    def remove(self, engine_id: str, now: float) -> Change | None:
        """An engine's entry is gone."""
        state = self._states.get(engine_id)
        if state is None:
            return None
        if not state.engine.draining and self._around_outage(now):
            if state.lapsed_at is None:
                state.lapsed_at = now
                return Change(engine_id, "lapsed")
            return None
        del self._states[engine_id]
        return Change(engine_id, "removed")

    def replace(self, engines: tuple[routing.Engine, ...], now: float) -> list[Change]:
        """Take a whole list: entries that it lacks are gone."""
        listed = {item.id for item in engines}
        found = [self.put(item, now) for item in engines]
        missing = [name for name in self._states if name not in listed]
        found += [self.remove(name, now) for name in missing]
        return [item for item in found if item is not None]

    def expire(self, now: float) -> list[Change]:
        """Drop engines whose entries lapsed and did not come back in time."""
        if self._around_outage(now):
            return []
        gone = [name for name, state in self._states.items() if state.lapsed_at is not None]
        for name in gone:
            del self._states[name]
        return [Change(name, "removed") for name in gone]

    def find(self, engine_id: str) -> EngineState | None:
        """Find an engine by its id."""
        return self._states.get(engine_id)

    def all(self) -> list[EngineState]:
        """All engines."""
        return list(self._states.values())

    def ids(self) -> set[str]:
        """The ids of all engines."""
        return set(self._states)

    def of_service(self, service: str) -> list[EngineState]:
        """All engines of a service."""
        return [item for item in self._states.values() if item.engine.service == service]

    def available_for(self, service: str) -> list[EngineState]:
        """Engines of a service that may get new requests by what they and operators say."""
        return [
            item
            for item in self.of_service(service)
            if not item.engine.draining and item.engine.zone not in self.evacuated
        ]
