"""Judges an engine by its answers: what it fails of late, and when it may be tried again."""

import collections

__all__ = ["EngineHealth"]

KEPT_RESULTS = 12
LEAST_RESULTS = 6
FAILING_SHARE = 0.5
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
LEARNING_SHARE = 0.2


class EngineHealth:
    """The evidence of one process about one engine.

    Attributes:
      first_answer_s: Smoothed time to the first part of an answer; 0 before any was seen.
    """

    def __init__(self) -> None:
        self._results: collections.deque[bool] = collections.deque(maxlen=KEPT_RESULTS)
        self._paused_until = 0.0
        self._pause_s = FIRST_PAUSE_S
        self.first_answer_s = 0.0

    def failing_share(self) -> float:
        """Share of the last answers that failed; 0 while there are too few to tell."""
        if len(self._results) < LEAST_RESULTS:
            return 0.0
        return self._results.count(False) / len(self._results)

    def usable(self, now: float) -> bool:
        """Whether requests may be sent, or a single one to try it after a pause."""
        return now >= self._paused_until

    def note_answer(self, seconds: float) -> None:
        """An answer came, its first part after so many seconds."""
        self._results.append(True)
        self._pause_s = FIRST_PAUSE_S
        if self.first_answer_s == 0.0:
            self.first_answer_s = seconds
        self.first_answer_s += LEARNING_SHARE * (seconds - self.first_answer_s)

    def note_failure(self, now: float) -> None:
        """A request failed at the engine; enough of them pause it."""
        self._results.append(False)
        if self.failing_share() >= FAILING_SHARE:
            self._pause(now)

    def note_unreachable(self, now: float) -> None:
        """No connection could be made: nothing is sent for a while."""
        self._results.append(False)
        self._pause(now)

    def note_busy(self, now: float, seconds: float) -> None:
        """The engine refused, and said when it may be asked again."""
        self._paused_until = max(self._paused_until, now + seconds)

    def _pause(self, now: float) -> None:
        if now < self._paused_until:
            return
        self._paused_until = now + self._pause_s
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2.0)
