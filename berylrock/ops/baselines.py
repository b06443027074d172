"""Learns the usual response times of the stable version, to detect a slow version.

Scenario: a new version that responds to every request, but several times slower.
"""

from typing import NamedTuple

__all__ = ["LatencyBaselines", "PaceKey", "Timing"]

SMOOTHING_FACTOR = 0.1
MIN_SAMPLES = 8
SLOW_RESPONSE_RATIO = 3.0
# Times between events vary less than times to the first part. They also grow more slowly than the
# load, because the requests of a batch share each decoding step.
SLOW_EVENT_GAP_RATIO = 2.1
QUICK_RATIO = 2.0
# No load makes a stream this many times slower than the usual one of the same moment.
CRAWLING_RATIO = 3.5
# The shortest time between events grows by this factor with each sample, so that old minima expire.
MINIMUM_GROWTH = 1.003
# Shorter times are never slow. A plain service may answer within some ten milliseconds.
MIN_SLOW_FIRST_PART_S = 0.06
MIN_SLOW_EVENT_GAP_S = 0.03


class Timing(NamedTuple):
    """Times of one response, in seconds.

    Attributes:
      first_part_s: Time to the first part of the response.
      event_gap_s: Mean time between two events; 0 if the response has too few events.
    """

    first_part_s: float
    event_gap_s: float


class PaceKey(NamedTuple):
    """What the time between two events of a stream depends on, beside its engine's load.

    Attributes:
      service: Name of the service.
      model: Name of the model; empty if the caller chooses it.
      route: Name of the route if the caller chooses the model, else empty.
    """

    service: str
    model: str
    route: str


class _Baseline(NamedTuple):
    """Smoothed times of the responses."""

    samples: int
    first_part_s: float
    event_gap_s: float


class LatencyBaselines:
    """Usual response times of the stable version, by route and model."""

    def __init__(self) -> None:
        self._baselines: dict[tuple[str, str], _Baseline] = {}
        # The shortest recent time between events, in seconds. Few streams of one route are as fast
        # as the engines can be, so those of other routes with the same model count as well.
        self._min_event_gaps_s: dict[PaceKey, float] = {}

    def record(self, route: str, model: str, timing: Timing) -> None:
        """Update the usual times with a response of the stable version."""
        old = self._baselines.get((route, model))
        if old is None:
            self._baselines[(route, model)] = _Baseline(1, timing.first_part_s, timing.event_gap_s)
            return
        first = old.first_part_s + SMOOTHING_FACTOR * (timing.first_part_s - old.first_part_s)
        event_gap = old.event_gap_s
        if timing.event_gap_s > 0.0:
            event_gap += SMOOTHING_FACTOR * (timing.event_gap_s - event_gap)
        self._baselines[(route, model)] = _Baseline(old.samples + 1, first, event_gap)

    def record_pace(self, key: PaceKey, event_gap_s: float) -> None:
        """Update the shortest time between events with a stream of the stable version.

        Args:
          key: What the stream's pace depends on.
          event_gap_s: Mean time between its events, in seconds; 0 if it was not measured.
        """
        if event_gap_s > 0.0:
            known = self._min_event_gaps_s.get(key, event_gap_s)
            self._min_event_gaps_s[key] = min(known * MINIMUM_GROWTH, event_gap_s)

    def usual_first_part_s(self, route: str, model: str) -> float:
        """Return the usual time to the first part of a response; 0 if it is not known."""
        baseline = self._baselines.get((route, model))
        return baseline.first_part_s if baseline is not None else 0.0

    def is_quick(self, key: PaceKey, timing: Timing) -> bool:
        """Tell whether a stream was about as fast as the fastest recent one of the stable version.

        Args:
          key: What the stream's pace depends on.
          timing: The stream's times.

        Returns:
          Whether it was; True as long as no time between events is known.
        """
        known = self._min_event_gaps_s.get(key)
        if known is None:
            return True
        return timing.event_gap_s <= max(MIN_SLOW_EVENT_GAP_S, QUICK_RATIO * known)

    def is_crawling(self, route: str, model: str, timing: Timing) -> bool:
        """Tell whether a stream is several times slower than usual.

        Args:
          route: The route's name.
          model: The model's name.
          timing: The stream's times.

        Returns:
          Whether it is; False while there are too few samples.
        """
        baseline = self._baselines.get((route, model))
        if baseline is None or baseline.samples < MIN_SAMPLES or baseline.event_gap_s <= 0.0:
            return False
        limit_s = max(MIN_SLOW_EVENT_GAP_S, CRAWLING_RATIO * baseline.event_gap_s)
        return timing.event_gap_s > limit_s

    def is_slow(self, route: str, model: str, timing: Timing) -> bool:
        """Tell whether a response took several times as long as usual.

        Args:
          route: The route's name.
          model: The model's name; empty for a route without a stream.
          timing: The response's times.

        Returns:
          Whether it did; False while there are too few samples.
        """
        baseline = self._baselines.get((route, model))
        if baseline is None or baseline.samples < MIN_SAMPLES:
            return False
        if timing.first_part_s > max(
            MIN_SLOW_FIRST_PART_S, SLOW_RESPONSE_RATIO * baseline.first_part_s
        ):
            return True
        if timing.event_gap_s <= 0.0 or baseline.event_gap_s <= 0.0:
            return False
        return timing.event_gap_s > max(
            MIN_SLOW_EVENT_GAP_S, SLOW_EVENT_GAP_RATIO * baseline.event_gap_s
        )
