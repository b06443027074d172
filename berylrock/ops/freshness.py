"""Tracks the age of a process's knowledge of the store, including time in VM suspension."""

import time

__all__ = ["Freshness", "boottime_clock"]

# Before the store discards its history, watches report no changes for this long.
WATCH_BLIND_S = 1.0


def boottime_clock() -> float:
    """Return the time in seconds on a clock that continues while the VM is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Freshness:
    """The time at which the store last confirmed this process's knowledge of a kind of object.

    A call confirms the state at the time at which it was sent, since the response may have been in
    transit for any part of the time until it arrived. A watch that ran for its full time without a
    change confirms the state at the end of that time, less the time for which watches may miss
    changes.
    """

    def __init__(self) -> None:
        self._confirmed_at: float | None = None

    def record(self, sent_at: float, unchanged_s: float = 0.0) -> None:
        """Record that the store responded to a call.

        Args:
          sent_at: Time at which the call was sent, by ``boottime_clock``.
          unchanged_s: Time for which the call waited at the store without a change, in seconds.
        """
        sent_at += max(0.0, unchanged_s - WATCH_BLIND_S)
        if self._confirmed_at is None or sent_at > self._confirmed_at:
            self._confirmed_at = sent_at

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmed state; infinite before the first one."""
        if self._confirmed_at is None:
            return float("inf")
        return now - self._confirmed_at
