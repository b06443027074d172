"""Tells how old a process's knowledge of the store is, also after the VM was suspended."""

import time

__all__ = ["Freshness", "boottime_clock"]

# Before the store drops its history, watches hear nothing for this long.
WATCH_BLIND_S = 1.0


def boottime_clock() -> float:
    """Seconds on a clock that goes on while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """When the store last confirmed what this process knows of one kind of object.

    A call confirms the state as of the moment at which it was sent: the answer may have been under
    way for any part of the time until it came. A watch that waited its full time and saw nothing
    confirms the end of that time, less the time for which watches may miss changes.
    """

    def __init__(self) -> None:
        self._confirmed_at: float | None = None

    def note(self, sent_at: float, quiet_s: float = 0.0) -> None:
        """Take that a call was answered.

        Args:
          sent_at: When it was sent, by ``boottime_clock``.
          quiet_s: For how long it waited at the store and saw no change.
        """
        sent_at += max(0.0, quiet_s - WATCH_BLIND_S)
        if self._confirmed_at is None or sent_at > self._confirmed_at:
            self._confirmed_at = sent_at

    def age(self, now: float) -> float:
        """Seconds since the confirmed state; infinite before the first."""
        if self._confirmed_at is None:
            return float("inf")
        return now - self._confirmed_at
