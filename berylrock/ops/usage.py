"""Counts the requests of each organisation by windows of the wall clock, at one gateway and at all.

Each gateway counts the requests that began to run, and sends its counts so far to the gateway that
reports them. Counts only grow, so a repeated message adds nothing and a lost one is made up for by
the next. They are kept apart by gateway and process until the window's report is fixed.

Load pattern: hundreds of gateways, a part of which is killed in the middle of a window. What a
killed process had not sent yet is lost: at most what began at it since its last message.
"""

from collections.abc import Collection
from typing import NamedTuple

from berylrock.core import duties

__all__ = ["UsageCounter", "UsageLedger", "UsageReport", "find_window"]

# Windows for which a gateway keeps its counts while nobody takes them.
MAX_KEPT_WINDOWS = 24


def find_window(wall_s: float, window_s: float) -> int:
    """Return the number of the window at a time, in seconds since 1970."""
    return int(wall_s // window_s)


class UsageReport(NamedTuple):
    """Counts of one process so far.

    Attributes:
      source: The process.
      until_s: Time up to which the counts are complete, in seconds since 1970.
      windows: Counts of some windows; those of the others have not changed, or are empty.
    """

    source: duties.Holder
    until_s: float
    windows: tuple[duties.WindowCounts, ...]


class UsageCounter:
    """Counts the requests of one process."""

    def __init__(self, source: duties.Holder, window_s: float) -> None:
        self._source = source
        self._window_s = window_s
        self._counts: dict[int, dict[str, int]] = {}

    def record(self, organisation: str, wall_s: float) -> None:
        """Record that a request of an organisation began to run at a time since 1970."""
        window = find_window(wall_s, self._window_s)
        counts = self._counts.setdefault(window, {})
        counts[organisation] = counts.get(organisation, 0) + 1
        if len(self._counts) > MAX_KEPT_WINDOWS:
            del self._counts[min(self._counts)]

    def discard_before(self, window: int) -> None:
        """Drop the windows before one, whose reports are fixed."""
        self._counts = {key: found for key, found in self._counts.items() if key >= window}

    def make_report(self, wall_s: float, sent: dict[int, int]) -> UsageReport:
        """Return the windows that have changed since an earlier report.

        Args:
          wall_s: Current time in seconds since 1970.
          sent: Requests in each window that the receiver has, from ``count_windows``.

        Returns:
          The report.
        """
        windows = tuple(
            duties.WindowCounts(window, dict(counts))
            for window, counts in sorted(self._counts.items())
            if sum(counts.values()) != sent.get(window)
        )
        return UsageReport(self._source, wall_s, windows)


class UsageLedger:
    """Counts of all gateways, at a gateway that reports them or may have to."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: dict[int, dict[duties.Holder, dict[str, int]]] = {}
        self._until_s: dict[str, float] = {}
        self._first_window = 0

    def merge(self, report: UsageReport) -> int:
        """Merge a report; returns how many of its windows came too late for theirs."""
        gateway = report.source.gateway
        self._until_s[gateway] = max(report.until_s, self._until_s.get(gateway, 0.0))
        late = 0
        for window, counts in report.windows:
            if window < self._first_window:
                late += 1
                continue
            known = self._counts.setdefault(window, {}).setdefault(report.source, {})
            for organisation, number in counts.items():
                known[organisation] = max(number, known.get(organisation, 0))
        return late

    def hand_over(self, own: duties.Holder) -> tuple[UsageReport, ...]:
        """Return the counts of all processes but one, as far as they were sent here.

        Whoever is to report them next may not have them, and who sent them may be gone. They say
        nothing of the time up to which they are complete.
        """
        by_source: dict[duties.Holder, list[duties.WindowCounts]] = {}
        for window, sources in sorted(self._counts.items()):
            for source, counts in sources.items():
                if source != own:
                    by_source.setdefault(source, []).append(
                        duties.WindowCounts(window, dict(counts))
                    )
        return tuple(UsageReport(source, 0.0, tuple(found)) for source, found in by_source.items())

    def discard_before(self, window: int) -> None:
        """Drop the windows before one, whose reports are fixed."""
        self._first_window = max(self._first_window, window)
        self._counts = {key: found for key, found in self._counts.items() if key >= window}

    def first_window(self) -> int | None:
        """Return the first window with a count; None if there is none."""
        return min(self._counts, default=None)

    def is_complete(self, window: int, gateways: Collection[str]) -> bool:
        """Tell whether all of these gateways have sent their whole counts of a window."""
        end_s = (window + 1) * self._window_s
        return all(self._until_s.get(name, 0.0) >= end_s for name in gateways)

    def sum(self, window: int) -> dict[str, int]:
        """Return the counts of all gateways in a window, by organisation."""
        total: dict[str, int] = {}
        for counts in self._counts.get(window, {}).values():
            for organisation, number in counts.items():
                total[organisation] = total.get(organisation, 0) + number
        return total
