"""Tracks the health of an engine: its recent failures, and when it may be tried again."""

import collections

__all__ = ["EngineHealth"]

MAX_RESULTS = 12
MIN_RESULTS = 6
FAILING_SHARE = 0.5
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
SMOOTHING_FACTOR = 0.2


class EngineHealth:
    """Health of one engine as observed by one process.

    Attributes:
      first_part_s: Smoothed time to the first part of a response, in seconds; 0 before the first
        response.
    """

    def __init__(self) -> None:
        self._results: collections.deque[bool] = collections.deque(maxlen=MAX_RESULTS)
        self._paused_until = 0.0
        self._pause_s = FIRST_PAUSE_S
        self.first_part_s = 0.0

    def failing_share(self) -> float:
        """Return the share of recent requests that failed; 0 while there are too few results."""
        if len(self._results) < MIN_RESULTS:
            return 0.0
        return self._results.count(False) / len(self._results)

    def usable(self, now: float) -> bool:
        """Tell whether requests may be sent to the engine, that is, whether no pause is active."""
        return now >= self._paused_until

    def record_response(self, seconds: float) -> None:
        """Record a response whose first part arrived after this many seconds."""
        self._results.append(True)
        self._pause_s = FIRST_PAUSE_S
        if self.first_part_s == 0.0:
            self.first_part_s = seconds
        self.first_part_s += SMOOTHING_FACTOR * (seconds - self.first_part_s)

    def record_failure(self, now: float) -> None:
        """Record a failed request; the engine is paused when too many of the recent ones failed."""
        self._results.append(False)
        if self.failing_share() >= FAILING_SHARE:
            self._pause(now)

    def record_unreachable(self, now: float) -> None:
        """Record that no connection could be opened, and pause the engine."""
        self._results.append(False)
        self._pause(now)

    def record_busy(self, now: float, seconds: float) -> None:
        """Pause an engine that refused a request for the number of seconds that it asked for."""
        self._paused_until = max(self._paused_until, now + seconds)

    def _pause(self, now: float) -> None:
        if now < self._paused_until:
            return
        self._paused_until = now + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, self._pause_s * 2.0)
