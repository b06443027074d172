"""Collects the crashes of engines, and what the engines were running, from all gateways."""

import bisect
import collections
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from berylrock.ops import suspects

__all__ = ["SAME_CRASH_S", "Crash", "CrashLog", "CrashReport", "Exposure"]

# Reports of one engine within this time, from any gateway, are about the same crash, unless the
# request was sent after the crash.
SAME_CRASH_S = 3.0
# Crashes are forgotten after this time.
CRASH_TTL_S = 120.0
# Crashes that are remembered, and requests at each.
MAX_CRASHES, MAX_REQUESTS = 300, 256


class CrashReport(NamedTuple):
    """One request that an engine was running when it crashed, as one gateway knows it.

    Attributes:
      engine: The engine's id.
      request: First digits of the request's fingerprint.
      parts: Shared parts of its prompt that may be to blame.
      at: Time of the crash, in seconds.
      sent_at: When the request was sent to the engine, in seconds.
      service: The engine's service; empty if the engine is not known.
      fleet: Number of engines of that service; 0 if not known.
    """

    engine: str
    request: str
    parts: tuple[str, ...]
    at: float
    sent_at: float
    service: str = ""
    fleet: int = 0


class Exposure:
    """The requests with one suspect that an engine was running when it crashed.

    Attributes:
      first_sent_at: When the first of them was sent, in seconds.
      last_sent_at: When the last of them was sent, in seconds.
      requests: Their digests.
      place: The suspect's place in the prompts.
    """

    def __init__(self, sent_at: float) -> None:
        self.first_sent_at = sent_at
        self.last_sent_at = sent_at
        self.requests: set[str] = set()
        self.place = 0

    def add(self, request: str, sent_at: float, place: int) -> None:
        """Add a request."""
        self.first_sent_at = min(self.first_sent_at, sent_at)
        self.last_sent_at = max(self.last_sent_at, sent_at)
        self.requests.add(request)
        self.place = max(self.place, place)


class Crash:
    """One crash of an engine.

    Attributes:
      engine: The engine's id.
      at: Time of the crash, in seconds.
      service: The engine's service; empty if not known.
      fleet: Number of engines of that service; 0 if not known.
      exposures: What may have caused it, by suspect.
    """

    def __init__(self, engine: str, at: float) -> None:
        self.engine = engine
        self.at = at
        self.service = ""
        self.fleet = 0
        self.exposures: dict[str, Exposure] = {}
        self._requests: set[str] = set()

    def add(self, report: CrashReport) -> bool:
        """Add a request; returns False if it is known, or there are too many."""
        self.service = self.service or report.service
        self.fleet = max(self.fleet, report.fleet)
        if report.request in self._requests or len(self._requests) >= MAX_REQUESTS:
            return False
        self._requests.add(report.request)
        return True

    def expose(self, suspect: str, report: CrashReport, place: int) -> None:
        """Record that a suspect was in a request at the engine."""
        exposure = self.exposures.get(suspect)
        if exposure is None:
            exposure = self.exposures[suspect] = Exposure(report.sent_at)
        exposure.add(report.request, report.sent_at, place)


def _is_same(crash: Crash, report: CrashReport) -> bool:
    """Tell whether a report may be about a known crash of its engine."""
    return abs(report.at - crash.at) <= SAME_CRASH_S and report.sent_at <= crash.at


class CrashLog:
    """The crashes of the last minutes, in the order of their times."""

    def __init__(self) -> None:
        self._crashes: list[Crash] = []
        self._by_engine: collections.defaultdict[str, list[Crash]] = collections.defaultdict(list)
        self._by_suspect: collections.defaultdict[str, list[Crash]] = collections.defaultdict(list)

    def add(self, report: CrashReport) -> Crash | None:
        """Add what one gateway reports of a crash; returns the crash if that is new."""
        known = self._by_engine[report.engine]
        same = [item for item in known if _is_same(item, report)]
        crash = min(same, key=lambda item: abs(item.at - report.at), default=None)
        if crash is None:
            crash = Crash(report.engine, report.at)
            known.append(crash)
            bisect.insort(self._crashes, crash, key=lambda item: item.at)
        return crash if crash.add(report) else None

    def expose(self, crash: Crash, report: CrashReport, found: Iterable[str]) -> None:
        """Record which suspects of a reported request may have caused its crash."""
        for suspect in found:
            place = 0 if suspects.is_request(suspect) else report.parts.index(suspect)
            if suspect not in crash.exposures:
                self._by_suspect[suspect].append(crash)
            crash.expose(suspect, report, place)

    def clear(self, suspect: str, until: float) -> int:
        """Let a suspect explain no crash up to a time; returns how many it might have explained."""
        known = self._by_suspect.pop(suspect, [])
        kept = [item for item in known if item.at > until]
        if kept:
            self._by_suspect[suspect] = kept
        for crash in known:
            if crash.at <= until:
                del crash.exposures[suspect]
        return len(known) - len(kept)

    def expire(self, now: float) -> None:
        """Forget old crashes, and the oldest of too many."""
        count = bisect.bisect_left(self._crashes, now - CRASH_TTL_S, key=lambda item: item.at)
        count = max(count, len(self._crashes) - MAX_CRASHES)
        for crash in self._crashes[:count]:
            self._forget(crash)
        del self._crashes[:count]

    def _forget(self, crash: Crash) -> None:
        known = self._by_engine[crash.engine]
        known.remove(crash)
        if not known:
            del self._by_engine[crash.engine]
        for suspect in crash.exposures:
            found = self._by_suspect[suspect]
            found.remove(crash)
            if not found:
                del self._by_suspect[suspect]

    def list_suspects(self, min_crashes: int) -> Iterator[str]:
        """Return the suspects that may explain so many crashes."""
        return (name for name, found in self._by_suspect.items() if len(found) >= min_crashes)

    def crashes_of(self, suspect: str, until: float) -> list[Crash]:
        """Return the crashes up to a time that a suspect may explain, in their order."""
        found = [item for item in self._by_suspect.get(suspect, ()) if item.at <= until]
        return sorted(found, key=lambda item: item.at)

    def crashes_between(self, service: str, begin: float, end: float) -> list[Crash]:
        """Return the crashes of a service's engines in a time, its ends included.

        Crashes of engines whose service is not known count for each; an empty name stands for all.
        """
        first = bisect.bisect_left(self._crashes, begin, key=lambda item: item.at)
        last = bisect.bisect_right(self._crashes, end, key=lambda item: item.at)
        found = self._crashes[first:last]
        return [item for item in found if not service or item.service in ("", service)]

    def has_later(self, at: float) -> bool:
        """Tell whether there was a crash after a time."""
        return bool(self._crashes) and self._crashes[-1].at > at
