"""Learns the usual answer times of the serving version, to detect a slow version.

Load pattern: a new version that answers every request, but several times slower.
"""

from typing import NamedTuple

__all__ = ["LatencyBaselines", "Timing"]

SMOOTHING_FACTOR = 0.1
MIN_SAMPLES = 8
SLOW_RATIO = 3.0
# The times between events vary less than the times to the first part, and grow less than the work,
# because a batch shares each step.
SLOW_PER_EVENT_RATIO = 2.1
QUICK_RATIO = 2.0
# The shortest time between events grows by this factor with each sample, so that old minima expire.
MINIMUM_GROWTH = 1.003
# Shorter times are never slow.
MIN_SLOW_FIRST_S = 0.25
MIN_SLOW_PER_EVENT_S = 0.03


class Timing(NamedTuple):
    """Times of one answer, in seconds.

    Attributes:
      first_s: Time to the first part of the answer.
      per_event_s: Mean time between two events; 0 if the answer has too few events.
    """

    first_s: float
    per_event_s: float


class _Baseline(NamedTuple):
    """Smoothed times of the answers, and the shortest recent time between events."""

    samples: int
    first_s: float
    per_event_s: float
    min_per_event_s: float


class LatencyBaselines:
    """Usual answer times of the serving version, by route and model."""

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, str], _Baseline] = {}

    def note(self, route: str, model: str, timing: Timing) -> None:
        """Update the usual times with an answer of the serving version."""
        old = self._baselines.get((route, model))
        if old is None:
            per_event_s = timing.per_event_s
            self._baselines[(route, model)] = _Baseline(1, timing.first_s, per_event_s, per_event_s)
            return
        first = old.first_s + SMOOTHING_FACTOR * (timing.first_s - old.first_s)
        per_event, min_per_event = old.per_event_s, old.min_per_event_s
        if timing.per_event_s > 0.0:
            per_event += SMOOTHING_FACTOR * (timing.per_event_s - per_event)
            min_per_event = min(
                min_per_event * MINIMUM_GROWTH or timing.per_event_s, timing.per_event_s
            )
        self._baselines[(route, model)] = _Baseline(
            old.samples + 1, first, per_event, min_per_event
        )

    def is_quick(self, route: str, model: str, timing: Timing) -> bool:
        """Tell whether a stream was about as fast as the fastest recent one of the serving version.

        Args:
          route: The route's name.
          model: The model's name.
          timing: The stream's times.

        Returns:
          Whether it was; True as long as there is no baseline.
        """
        baseline = self._baselines.get((route, model))
        # Without a baseline a stream is not held against its version.
        if baseline is None or baseline.min_per_event_s <= 0.0:
            return True
        return timing.per_event_s <= QUICK_RATIO * baseline.min_per_event_s

    def is_slow(self, route: str, model: str, timing: Timing) -> bool:
        """Tell whether an answer took several times as long as usual.

        Args:
          route: The route's name.
          model: The model's name; empty for a route without a stream.
          timing: The answer's times.

        Returns:
          Whether it did; False while there are too few samples.
        """
        baseline = self._baselines.get((route, model))
        if baseline is None or baseline.samples < MIN_SAMPLES:
            return False
        if timing.first_s > max(MIN_SLOW_FIRST_S, SLOW_RATIO * baseline.first_s):
            return True
        if timing.per_event_s <= 0.0 or baseline.per_event_s <= 0.0:
            return False
        return timing.per_event_s > max(
            MIN_SLOW_PER_EVENT_S, SLOW_PER_EVENT_RATIO * baseline.per_event_s
        )
