"""Foretells when an engine would answer, and whether a larger model still pays under load.

Load pattern: engines are lost or a burst comes, and the ones that are left read so many prompts
that their streams crawl. A larger model takes many times the engine's time of a small one, so what
is gained by its better answer is lost by all the answers that come too late.
"""

from berylrock.ops import baselines

__all__ = ["LatencyEstimator", "meets_deadlines"]

LEARNING_SHARE = 0.15
# What was learned long ago says little: it counts only so long.
KEPT_S = 6.0
# Shares of the time that an answer of the most urgent rank may take; less urgent ones give way
# earlier, so that engine time goes to what matters more.
FIRST_SHARE, FIRST_SHARE_BY_RANK = 0.85, 0.12
WHOLE_SHARE, WHOLE_SHARE_BY_RANK = 0.6, 0.12
LAST_RANK = 3


class _Speed:
    """Smoothed times of one engine and model, and when they were last seen."""

    def __init__(self) -> None:
        self.first_s = 0.0
        self.per_event_s = 0.0
        self.at = 0.0


def _smooth(old: float, new: float) -> float:
    return new if old == 0.0 else old + LEARNING_SHARE * (new - old)


class LatencyEstimator:
    """Times to the first event and between events, by engine and model; events by route."""

    def __init__(self) -> None:
        self._speeds: dict[tuple[str, str], _Speed] = {}
        self._events: dict[str, float] = {}

    def _find(self, engine_id: str, model: str) -> _Speed:
        return self._speeds.setdefault((engine_id, model), _Speed())

    def note_first(self, engine_id: str, model: str, seconds: float, now: float) -> None:
        """The first event came after so many seconds."""
        speed = self._find(engine_id, model)
        speed.first_s, speed.at = _smooth(speed.first_s, seconds), now

    def note_gap(self, engine_id: str, model: str, seconds: float, now: float) -> None:
        """Two events came so many seconds apart."""
        speed = self._find(engine_id, model)
        speed.per_event_s, speed.at = _smooth(speed.per_event_s, seconds), now

    def note_events(self, route: str, count: int) -> None:
        """A whole answer had so many events."""
        self._events[route] = _smooth(self._events.get(route, 0.0), float(count))

    def predict(self, engine_id: str, model: str, now: float) -> baselines.Timing:
        """What an engine's next answer would take; zeros if nothing recent is known."""
        speed = self._speeds.get((engine_id, model))
        if speed is None or now - speed.at > KEPT_S:
            return baselines.Timing(0.0, 0.0)
        return baselines.Timing(speed.first_s, speed.per_event_s)

    def expected_events(self, route: str) -> float:
        """How many events an answer on a route usually has."""
        return self._events.get(route, 0.0)

    def retain(self, engine_ids: set[str]) -> None:
        """Keep only the engines that are there."""
        self._speeds = {key: item for key, item in self._speeds.items() if key[0] in engine_ids}


def meets_deadlines(
    timing: baselines.Timing,
    events: float,
    elapsed_s: float,
    objective_s: float,
    left_s: float,
    rank: int,
) -> bool:
    """Tell whether an answer would come in time.

    Args:
      timing: What is foretold of it.
      events: How many events it will have.
      elapsed_s: Time since the request came.
      objective_s: Time within which its first event is on time.
      left_s: Time until its last event must have come.
      rank: The route's rank; 0 is the most urgent.

    Returns:
      Whether both its first and its last event would be in time.
    """
    rank = min(LAST_RANK, max(0, rank))
    if elapsed_s + timing.first_s > (FIRST_SHARE - FIRST_SHARE_BY_RANK * rank) * objective_s:
        return False
    whole_share = WHOLE_SHARE - WHOLE_SHARE_BY_RANK * rank
    return timing.first_s + events * timing.per_event_s <= whole_share * left_s
