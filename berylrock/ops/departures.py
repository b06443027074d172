"""Remembers engines whose records are gone, in case a record returns.

Scenario: an engine has said that it leaves, its record is removed, and an old list or an outage of
the store brings the record back while the engine still runs. Scenario: the store comes back from a
copy that is older than the removal, so that an engine which is gone looks ready until its record
expires. One that lives keeps its record.
"""

from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import enginestate, notices

__all__ = ["Departures"]

# For how long an engine without a record is remembered, and how many engines are.
KEPT_S, MAX_KEPT = 120.0, 4096
# Time within which the record of an engine that is gone expires after the store has come back.
EXPIRY_S = 6.0


class _Departure(NamedTuple):
    """What is remembered of an engine without a record."""

    notices: notices.EngineNotices
    started_ms: int
    at: float


class Departures:
    """The engines whose records are gone, and those whose records returned with an older copy.

    Times are in seconds on one clock.
    """

    def __init__(self) -> None:
        self._kept: dict[str, _Departure] = {}
        self._doubted: dict[str, routing.Engine] = {}
        self._restored_at = float("-inf")

    def record(self, state: enginestate.EngineState, now: float) -> None:
        """Record that an engine's record is gone."""
        engine_id = state.engine.id
        self._kept.pop(engine_id, None)
        self._kept[engine_id] = _Departure(state.notices, state.engine.started_ms, now)
        while len(self._kept) > MAX_KEPT:
            del self._kept[next(iter(self._kept))]

    def record_restored(self, now: float) -> None:
        """Record that the store has come back from an older copy."""
        self._restored_at = now

    def doubts(self, engine: routing.Engine, now: float) -> bool:
        """Tell whether a record may be one of a copy, of an engine that is gone since.

        Such a record is kept until it expires, or ``take_confirmed`` returns it.
        """
        self._doubted.pop(engine.id, None)
        if now >= self._restored_at + EXPIRY_S:
            return False
        known = self._find(engine, now)
        if known is None or known.at >= self._restored_at:
            return False
        self._doubted[engine.id] = engine
        return True

    def remove_doubted(self, engine_id: str) -> None:
        """Forget a record that was doubted, since it is gone again."""
        self._doubted.pop(engine_id, None)

    def doubted_ids(self) -> set[str]:
        """Return the ids of the engines whose records are doubted."""
        return set(self._doubted)

    def take_confirmed(self, now: float) -> list[routing.Engine]:
        """Return the doubted records that have not expired in time; their engines live."""
        if now < self._restored_at + EXPIRY_S:
            return []
        found = list(self._doubted.values())
        self._doubted.clear()
        return found

    def restore_notices(self, state: enginestate.EngineState, now: float) -> None:
        """Restore what an engine had said of itself, unless it has started again since."""
        known = self._find(state.engine, now)
        self._kept.pop(state.engine.id, None)
        if known is not None:
            state.notices = known.notices

    def _find(self, engine: routing.Engine, now: float) -> _Departure | None:
        """Return what is remembered of this start of an engine, or of a later one."""
        known = self._kept.get(engine.id)
        if known is None or now - known.at >= KEPT_S or known.started_ms < engine.started_ms:
            return None
        return known
