"""Tracks the engines: which exist, which are draining, evacuated zones and running requests.

A missing record in the store normally means that the engine is gone. In an outage of the store,
records expire although their engines still run. Such an engine is kept until it has had time to
register again. Whether the store can have lost a record follows from when any gateway heard the
store (see ``storegaps``) and from what became of the other records: an outage in which records
expire takes most of them, and they are written again soon after it.
"""

from typing import NamedTuple

from berylrock.core import routing, stored
from berylrock.ops import departures, enginegroup, enginelimits, enginestate, storegaps

__all__ = ["EngineSet"]


class Change(NamedTuple):
    """An engine that was added, changed or removed, for the log."""

    engine_id: str
    what: str


def _is_alike(one: routing.Engine, other: routing.Engine) -> bool:
    """Tell whether two records of an engine differ at most in its warm-up and their age."""
    return one == other._replace(
        warmup_left_s=one.warmup_left_s, revision=one.revision, sequence=one.sequence
    )


def _is_rewritten(known: routing.Engine, engine: routing.Engine) -> bool:
    """Tell whether a record was written anew without a change, as one that had expired."""
    same = known._replace(revision=engine.revision, sequence=engine.sequence)
    return engine.revision > known.revision and same == engine


def _has_restarted(known: routing.Engine, engine: routing.Engine) -> bool:
    """Tell whether a record is that of a later start of an engine under the same id."""
    return 0 < known.started_ms < engine.started_ms


def _is_outdated(known: routing.Engine, engine: routing.Engine) -> bool:
    """Tell whether a record is older than the known one, although its revision is not.

    The store has then come back from a copy, and the engine has not written its record again. What
    is written in the same era is newer, whatever it says of itself.
    """
    rewritten = engine.revision > known.revision
    if rewritten and stored.find_era(engine.revision) == stored.find_era(known.revision):
        return False
    if engine.started_ms != known.started_ms:
        return engine.started_ms < known.started_ms
    return engine.sequence < known.sequence


class EngineSet:
    """The engines of all services.

    Attributes:
      gaps: When the store was not heard, and records may have expired.
      evacuated: Zones whose engines receive no new requests.
      generation: Number that grows whenever an engine is added, changed or removed, or the
        evacuated zones change.
    """

    def __init__(self, heartbeat_s: float = storegaps.DEFAULT_HEARTBEAT_S) -> None:
        """Create an empty set; ``heartbeat_s`` is the interval in which engines renew records."""
        self.gaps = storegaps.StoreGaps(heartbeat_s)
        self.generation = 0
        self._states: dict[str, enginestate.EngineState] = {}
        self._groups: dict[tuple[str, str | None], enginegroup.EngineGroup] = {}
        self._departures = departures.Departures()
        self._recorded_limits: dict[str, float] = {}
        self._rewritten_at = float("-inf")
        self.evacuated: frozenset[str] = frozenset()

    def record_restored(self, now: float) -> None:
        """Record that the store has come back from an older copy.

        The records of engines that started after the copy are missing, as after an outage, and
        those of engines that are gone since are there again.
        """
        self.gaps.record_restored(now)
        self._rewritten_at = now
        self._departures.record_restored(now)

    def set_evacuated(self, zones: frozenset[str], now: float) -> None:
        """Replace the evacuated zones; engines of a zone that returns may be cold."""
        returned = self.evacuated - zones
        self.evacuated = zones
        self._forget_groups()
        for state in self._states.values():
            if state.engine.zone in returned:
                state.mark_cold(now)

    def put(self, engine: routing.Engine, now: float) -> Change | None:
        """Add or update an engine's record.

        Args:
          engine: The record; one that is older than the known record is ignored.
          now: Time in seconds.

        Returns:
          The change to log: the engine is new or has restarted, or its draining state changed;
          None otherwise.
        """
        state = self._states.get(engine.id)
        if state is None and self._departures.doubts(engine, now):
            return Change(engine.id, "doubted")
        if state is None or _has_restarted(state.engine, engine):
            state = self._states[engine.id] = enginestate.EngineState(engine)
            self._departures.restore_notices(state, now)
            self._assume_limit(state)
            state.mark_cold(now, engine.warmup_left_s)
            self._forget_groups()
            return Change(engine.id, "draining" if engine.draining else "added")
        if engine.revision < state.engine.revision:
            return None
        previous = state.engine
        state.lapsed_at = None
        if self.gaps.may_lack_records(now) and _is_rewritten(previous, engine):
            self._rewritten_at = now
        if _is_outdated(previous, engine):
            state.engine = previous._replace(revision=engine.revision)
            is_news = engine.revision > previous.revision
            return Change(engine.id, "outdated") if is_news else None
        state.engine = engine
        state.mark_cold(now, engine.warmup_left_s)
        if not _is_alike(previous, engine):
            self._forget_groups()
        if previous.draining != engine.draining:
            return Change(engine.id, "draining" if engine.draining else "ready")
        return None

    def remove(self, engine_id: str, now: float) -> Change | None:
        """Handle the removal of an engine's record.

        An engine that was neither draining nor leaving is kept as lapsed if the store can have lost
        its record.

        Args:
          engine_id: The engine's id.
          now: Time in seconds.

        Returns:
          The change to log; None if nothing changed.
        """
        changes = self.remove_all([engine_id], now)
        return changes[0] if changes else None

    def remove_all(self, engine_ids: list[str], now: float) -> list[Change]:
        """Handle the removal of records that are missing at the same time, as in ``remove``."""
        for engine_id in engine_ids:
            self._departures.remove_doubted(engine_id)
        missing = [self._states[name] for name in engine_ids if name in self._states]
        staying = [item for item in missing if not item.engine.draining]
        staying = [item for item in staying if not item.notices.leaving]
        kept = staying if self._can_have_lost(staying, now) else []
        return [
            item for item in (self._lapse(state, state in kept, now) for state in missing) if item
        ]

    def _lapse(self, state: enginestate.EngineState, is_kept: bool, now: float) -> Change | None:
        """Keep an engine without a record, or drop it."""
        engine_id = state.engine.id
        if not is_kept:
            self._drop(engine_id, now)
            return Change(engine_id, "removed")
        if state.lapsed_at is not None:
            return None
        state.lapsed_at = now
        return Change(engine_id, "lapsed")

    def _can_have_lost(self, missing: list[enginestate.EngineState], now: float) -> bool:
        """Tell whether the store can have lost these records, so that their engines may live."""
        if not self.gaps.may_lack_records(now):
            return False
        last = self.gaps.last
        if last is not None and self._rewritten_at >= last.ended_at:
            return True
        lapsed = {item.engine.id for item in self._states.values() if item.lapsed_at is not None}
        lapsed |= {item.engine.id for item in missing}
        return 2 * len(lapsed) >= len(self._states)

    def _drop(self, engine_id: str, now: float) -> None:
        """Drop an engine, but remember what it says of itself in case its record returns."""
        self._departures.record(self._states.pop(engine_id), now)
        self._forget_groups()

    def replace(self, engines: tuple[routing.Engine, ...], now: float) -> list[Change]:
        """Replace all records by a complete list; returns the changes to log."""
        listed = {item.id for item in engines}
        changes = [self.put(item, now) for item in engines]
        known = self._departures.doubted_ids() | self._states.keys()
        missing = [name for name in known if name not in listed]
        changes += self.remove_all(missing, now)
        return [item for item in changes if item is not None]

    def record_leaving(self, state: enginestate.EngineState) -> bool:
        """Record that an engine says that it leaves; returns whether this was not known yet.

        Its record may have been removed since the request was sent that it answers.
        """
        if state.notices.leaving:
            return False
        state.notices.leaving = True
        self._forget_groups()
        return True

    def leaving_ids(self) -> list[str]:
        """Return the ids of the engines that have said that they leave."""
        return [name for name, state in self._states.items() if state.notices.leaving]

    def record_hints(self, engine_ids: list[str], now: float) -> None:
        """Record which engines another gateway reports as leaving."""
        for engine_id in engine_ids:
            state = self._states.get(engine_id)
            if state is not None:
                state.notices.record_hint(now)

    def limited(self) -> dict[str, float]:
        """Return the limits of the engines that have one, by the engine's id."""
        found = [(name, item.notices.limit) for name, item in self._states.items()]
        return {name: item.report.per_s for name, item in found if item.limited}

    def assume_limits(self, recorded: dict[str, float]) -> list[enginestate.EngineState]:
        """Assume the limits in the gateways' records for engines of which nothing was heard yet.

        Args:
          recorded: Requests per second from all gateways together, by the engine's id.

        Returns:
          The engines that have another limit than before.
        """
        self._recorded_limits = recorded
        return [item for item in self._states.values() if self._assume_limit(item)]

    def _assume_limit(self, state: enginestate.EngineState) -> bool:
        per_s = self._recorded_limits.get(state.engine.id)
        return per_s is not None and state.notices.limit.assume(per_s)

    def limits(self, since: float) -> list[tuple[str, enginelimits.LimitReport]]:
        """Return the engines that have a limit, or whose limit has ended since a time.

        Each comes with the last report on its limit. A limit that is only assumed is left out.
        """
        found = [(name, item.notices.limit) for name, item in self._states.items()]
        return [
            (name, item.report)
            for name, item in found
            if item.told and (item.limited or item.ended_at > since)
        ]

    def expire(self, now: float) -> list[Change]:
        """Remove engines whose records lapsed and were not registered again in time.

        Engines whose records were doubted and have not expired are added.
        """
        added = [self.put(item, now) for item in self._departures.take_confirmed(now)]
        changes = [item for item in added if item is not None]
        if self.gaps.may_lack_records(now):
            return changes
        gone = [name for name, state in self._states.items() if state.lapsed_at is not None]
        for name in gone:
            self._drop(name, now)
        return changes + [Change(name, "removed") for name in gone]

    def find(self, engine_id: str) -> enginestate.EngineState | None:
        """Return the engine with this id; None if it is unknown."""
        return self._states.get(engine_id)

    def all(self) -> list[enginestate.EngineState]:
        """Return all engines."""
        return list(self._states.values())

    def ids(self) -> set[str]:
        """Return the ids of all engines."""
        return set(self._states)

    def of_service(self, service: str) -> list[enginestate.EngineState]:
        """Return all engines of a service."""
        return [item for item in self._states.values() if item.engine.service == service]

    def group(self, service: str, version: str | None) -> enginegroup.EngineGroup:
        """Return a service's engines of a version that may receive requests.

        Engines that are draining, leaving or in an evacuated zone are left out.
        """
        found = self._groups.get((service, version))
        if found is None:
            found = enginegroup.EngineGroup(
                item
                for item in self.of_service(service)
                if item.engine.version == version
                and not item.engine.draining
                and not item.notices.leaving
                and item.engine.zone not in self.evacuated
            )
            self._groups[(service, version)] = found
        return found

    def _forget_groups(self) -> None:
        self.generation += 1
        self._groups.clear()
