"""Learns how long answers of the serving version usually take, to tell a slow version by.

Load pattern: a new version that answers every request, several times slower.
"""

from typing import NamedTuple

__all__ = ["LatencyBaselines", "Timing"]

LEARNING_SHARE = 0.1
LEAST_SAMPLES = 8
SLOW_RATIO = 3.0
# Times between events vary less, and grow less than the work, since a batch shares each step.
SLOW_PACE_RATIO = 2.1
QUICK_RATIO = 2.0
# The shortest time is forgotten slowly, sample by sample.
LEAST_GROWTH = 1.003
LEAST_FIRST_S = 0.25
LEAST_PER_EVENT_S = 0.03


class Timing(NamedTuple):
    """Times of one answer: to its first part, and between its events (0 if it has few)."""

    first_s: float
    per_event_s: float


class _Norm(NamedTuple):
    """Smoothed times, and the shortest time between events of late."""

    samples: int
    first_s: float
    per_event_s: float
    least_per_event_s: float


class LatencyBaselines:
    """Usual times by route and model."""

    def __init__(self) -> None:
        self._norms: dict[tuple[str, str], _Norm] = {}

    def note(self, route: str, model: str, timing: Timing) -> None:
        """Take the times of an answer of the serving version."""
        old = self._norms.get((route, model))
        if old is None:
            pace_s = timing.per_event_s
            self._norms[(route, model)] = _Norm(1, timing.first_s, pace_s, pace_s)
            return
        first = old.first_s + LEARNING_SHARE * (timing.first_s - old.first_s)
        per_event, least = old.per_event_s, old.least_per_event_s
        if timing.per_event_s > 0.0:
            per_event += LEARNING_SHARE * (timing.per_event_s - per_event)
            least = min(least * LEAST_GROWTH or timing.per_event_s, timing.per_event_s)
        self._norms[(route, model)] = _Norm(old.samples + 1, first, per_event, least)

    def is_quick(self, route: str, model: str, timing: Timing) -> bool:
        """Tell whether a stream was about as fast as any of the serving version of late."""
        norm = self._norms.get((route, model))
        # Nothing is known against it as long as there is nothing to compare with.
        if norm is None or norm.least_per_event_s <= 0.0:
            return True
        return timing.per_event_s <= QUICK_RATIO * norm.least_per_event_s

    def is_slow(self, route: str, model: str, timing: Timing) -> bool:
        """Tell whether an answer took several times as long as usual."""
        norm = self._norms.get((route, model))
        if norm is None or norm.samples < LEAST_SAMPLES:
            return False
        if timing.first_s > max(LEAST_FIRST_S, SLOW_RATIO * norm.first_s):
            return True
        if timing.per_event_s <= 0.0 or norm.per_event_s <= 0.0:
            return False
        return timing.per_event_s > max(LEAST_PER_EVENT_S, SLOW_PACE_RATIO * norm.per_event_s)
