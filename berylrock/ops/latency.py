"""Predicts the latency of engines, and whether a response of the largest model would be in time.

Scenario: engines are lost or a burst of requests arrives, and the remaining engines process so
many prompts that their streams become slow. A larger model takes many times the engine time of a
small one, so the gain from its better response is outweighed by the other responses that become
late.

Scenario: a prompt is so long that the largest model cannot read it within the latency target on any
engine. The mean time of a model says nothing about it; the work does.
"""

from berylrock.ops import baselines

__all__ = ["LatencyEstimator", "first_event_limit_s", "meets_deadlines"]

SMOOTHING_FACTOR = 0.15
# Shorter work shows the fixed costs of a request rather than the pace of reading.
MIN_RATED_WORK = 20_000.0
# Older measurements say little about the current latency and are not used.
MAX_AGE_S = 6.0
# Shares of the available time that a response of priority 0, the most urgent, may take, and the
# reduction for each following priority. Less urgent requests give up the largest model earlier,
# which leaves engine time to more urgent ones.
FIRST_EVENT_SHARE, FIRST_EVENT_SHARE_STEP = 0.92, 0.06
LAST_EVENT_SHARE, LAST_EVENT_SHARE_STEP = 0.6, 0.12
MAX_PRIORITY = 3


class _Latency:
    """Smoothed times of one engine and model, and the time of their last update."""

    def __init__(self) -> None:
        self.first_part_s = 0.0
        self.event_gap_s = 0.0
        self.at = 0.0


def _smooth(old: float, new: float) -> float:
    return new if old == 0.0 else old + SMOOTHING_FACTOR * (new - old)


class LatencyEstimator:
    """Estimates the times to the first event and between events, and the number of events.

    The times are kept by engine and model, the numbers of events by route, and the time for a unit
    of work (see ``enginework``) by service.
    """

    def __init__(self) -> None:
        self._latencies: dict[tuple[str, str], _Latency] = {}
        self._events: dict[str, float] = {}
        self._seconds_per_work: dict[str, float] = {}

    def _get_or_create(self, engine_id: str, model: str) -> _Latency:
        return self._latencies.setdefault((engine_id, model), _Latency())

    def record_first_event(self, engine_id: str, model: str, seconds: float, now: float) -> None:
        """Record the time from sending a request to its first event, in seconds."""
        latency = self._get_or_create(engine_id, model)
        latency.first_part_s, latency.at = _smooth(latency.first_part_s, seconds), now

    def record_work(self, service: str, work: float, seconds: float) -> None:
        """Record the time to a first event that came after some work, its own and that before it.

        Args:
          service: Name of the service.
          work: The work, as in ``enginework``.
          seconds: The time in seconds.
        """
        if work >= MIN_RATED_WORK:
            pace = self._seconds_per_work.get(service, 0.0)
            self._seconds_per_work[service] = _smooth(pace, seconds / work)

    def predict_work(self, service: str, work: float) -> float:
        """Predict the seconds that some work takes; 0 if nothing is known about the service."""
        return self._seconds_per_work.get(service, 0.0) * work

    def record_event_gap(self, engine_id: str, model: str, seconds: float, now: float) -> None:
        """Record the time between two events, in seconds."""
        latency = self._get_or_create(engine_id, model)
        latency.event_gap_s, latency.at = _smooth(latency.event_gap_s, seconds), now

    def record_event_count(self, route: str, count: int) -> None:
        """Record the number of events of a complete response."""
        self._events[route] = _smooth(self._events.get(route, 0.0), float(count))

    def predict(self, engine_id: str, model: str, now: float) -> baselines.Timing:
        """Predict the times of an engine's next response; zeros if nothing recent is known."""
        latency = self._latencies.get((engine_id, model))
        if latency is None or now - latency.at > MAX_AGE_S:
            return baselines.Timing(0.0, 0.0)
        return baselines.Timing(latency.first_part_s, latency.event_gap_s)

    def expected_events(self, route: str) -> float:
        """Return the usual number of events of a response on a route; 0 if it is not known."""
        return self._events.get(route, 0.0)

    def retain(self, engine_ids: set[str]) -> None:
        """Remove the times of all engines but these."""
        self._latencies = {
            key: item for key, item in self._latencies.items() if key[0] in engine_ids
        }


def first_event_limit_s(latency_target_s: float, priority: int) -> float:
    """Return the time in which a response has to begin, with the margin of its priority.

    Args:
      latency_target_s: Time within which the first event is on time, in seconds.
      priority: Priority of the route; 0 is the most urgent.

    Returns:
      The time in seconds.
    """
    rank = min(MAX_PRIORITY, max(0, priority))
    return (FIRST_EVENT_SHARE - FIRST_EVENT_SHARE_STEP * rank) * latency_target_s


def meets_deadlines(
    timing: baselines.Timing,
    events: float,
    elapsed_s: float,
    latency_target_s: float,
    left_s: float,
    priority: int,
) -> bool:
    """Tell whether a predicted response would be in time.

    Args:
      timing: The predicted times of the response.
      events: The predicted number of events.
      elapsed_s: Time since the request arrived, in seconds.
      latency_target_s: Time within which the first event is on time, in seconds.
      left_s: Time until the last event must have arrived, in seconds.
      priority: Priority of the route; 0 is the most urgent.

    Returns:
      Whether the first and the last event would both be in time, with the margin of the priority.
    """
    if elapsed_s + timing.first_part_s > first_event_limit_s(latency_target_s, priority):
        return False
    rank = min(MAX_PRIORITY, max(0, priority))
    last_event_share = LAST_EVENT_SHARE - LAST_EVENT_SHARE_STEP * rank
    return timing.first_part_s + events * timing.event_gap_s <= last_event_share * left_s
