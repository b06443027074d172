"""Finds parts of prompts that crash each engine which begins to write an answer on them.

Scenario: requests that have one part of their prompts in common arrive at any gateway, no two
alike, and each crashes up to three engines, together with the sound requests there. The sound ones
share their callers and their other parts with them, so only that part may be refused.

Evidence: when an engine crashes, a gateway knows which of its requests there had not been answered
yet, and their parts. A part on which any engine has begun an answer since is innocent. Of the
others, the one that explains the most crashes is blamed, and those crashes count against no other
part. The gateways exchange what they have seen; each decides for itself and adopts the others'
decisions.
"""

import collections
from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import enginestate

__all__ = ["CrashBlame", "CrashReport"]

# Reports of one engine within this time, from any gateway, are about the same crash.
SAME_CRASH_S = 3.0
# Crashes are forgotten after the first time, and other gateways are told of them for the second
# one, in seconds.
CRASH_TTL_S, REPORTING_S = 120.0, 15.0
# Time between two decisions, in seconds. Hundreds of gateways report the crashes of a zone at once.
DECISION_INTERVAL_S = 0.1
# Crashes and different requests after which a part is blamed, if no engine has ever begun an
# answer on it; and if one has, as a sound part is in many requests while engines crash one after
# the other.
MIN_CRASHES, MIN_REQUESTS = 3, 2
MIN_CRASHES_ONCE_SOUND, MIN_REQUESTS_ONCE_SOUND = 8, 6
# Engines that are all lost at once say nothing about what was waiting there. Only a crash under a
# request that was sent after an earlier crash does, or crashes that go on for this many seconds.
MIN_ROUNDS = 2
MIN_SPAN_ONCE_SOUND_S = 20.0
# A gateway rejects the blame of a part on which an engine has begun to answer within this time
# before, in seconds.
KNOWN_SOUND_S = 20.0
# Parts, decisions on them, and reports that are remembered.
MAX_PARTS, MAX_DECISIONS, MAX_KNOWN_REPORTS = 20_000, 256, 1000
# A blamed part is tried again by one request after this time, which doubles each time, in seconds.
# The gateways try in turn, so that one which gets such requests finds out for all.
FIRST_TRIAL_S, MAX_TRIAL_S, TRIAL_TURN_S = 60.0, 3600.0, 30.0
# Reports that a message carries, the newest ones.
MAX_REPORTS = 10
MAX_REPORTED_PARTS = 4
FINGERPRINT_DIGITS = 8


class CrashReport(NamedTuple):
    """One request that an engine was running, and had not begun to answer, when it crashed.

    Attributes:
      engine: The engine's id.
      request: The first digits of the request's fingerprint.
      parts: Shared parts of its prompt.
      at: Time of the crash, in seconds.
      sent_at: When the request was sent to the engine, in seconds.
    """

    engine: str
    request: str
    parts: tuple[str, ...]
    at: float
    sent_at: float


class _Trial(NamedTuple):
    """When a blamed part may be tried again, and the pause after that, in seconds."""

    due: float
    pause_s: float


class CrashBlame:
    """Crashes and prompt parts as known to one gateway.

    Times are in seconds on one clock, except in ``BlamedPart``.
    """

    def __init__(self) -> None:
        self._begun: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._sent: collections.OrderedDict[str, int] = collections.OrderedDict()
        self._own: list[CrashReport] = []
        # The latest report of each engine and request.
        self._reports: dict[tuple[str, str], CrashReport] = {}
        self._has_news = False
        self._next_decision_at = float("-inf")
        self._decisions: dict[str, routing.BlamedPart] = {}
        self._trials: dict[str, _Trial] = {}

    def record_sent(self, parts: tuple[str, ...]) -> None:
        """Count a request with these shared parts."""
        for part in parts:
            self._sent[part] = self._sent.get(part, 0) + 1
            self._sent.move_to_end(part)
        while len(self._sent) > MAX_PARTS:
            self._sent.popitem(last=False)

    def record_begun(self, parts: tuple[str, ...], now: float, now_ms: int) -> tuple[str, ...]:
        """Record that an engine has answered a request with these shared parts.

        Returns:
          The blamed parts among them, which are sound after all.
        """
        for part in parts:
            self._begun[part] = now
            self._begun.move_to_end(part)
        while len(self._begun) > MAX_PARTS:
            self._begun.popitem(last=False)
        cleared = tuple(part for part in parts if self.is_blamed(part))
        for part in cleared:
            self._keep(routing.BlamedPart(part, False, now_ms))
        return cleared

    def record_crash(
        self, engine: str, broken: list[enginestate.BrokenRequest], now: float
    ) -> None:
        """Record that an engine crashed while it ran requests of this gateway."""
        found = [
            CrashReport(
                engine, item.fingerprint[:FINGERPRINT_DIGITS], item.shared_parts, now, item.sent_at
            )
            for item in broken
            if not item.begun and item.shared_parts
        ]
        self._own += found
        self.record_peer(found)

    def record_peer(self, reports: list[CrashReport]) -> None:
        """Record the reports of another gateway; those that are known already count once."""
        for report in reports:
            key = report.engine, report.request
            known = self._reports.get(key)
            if known is None or report.at - known.at >= SAME_CRASH_S:
                self._reports[key] = report
                self._has_news = True
                self._record_failed_trial(report)
        while len(self._reports) > MAX_KNOWN_REPORTS:
            del self._reports[next(iter(self._reports))]

    def _record_failed_trial(self, report: CrashReport) -> None:
        """Postpone the next trial of a blamed part that has crashed another engine."""
        for part in report.parts:
            if self.is_blamed(part) and report.sent_at >= self._trials[part].due:
                self._postpone_trial(part, report.at)

    def adopt(self, decision: routing.BlamedPart, now: float) -> bool:
        """Adopt another gateway's decision if it is later; returns whether it changes anything.

        A part on which an engine has begun to answer lately is not blamed; the others hear so.
        """
        known = self._decisions.get(decision.part)
        if known is not None and known.decided_ms >= decision.decided_ms:
            return False
        if decision.blamed and self._is_known_sound(decision.part, now):
            self._keep(routing.BlamedPart(decision.part, False, decision.decided_ms + 1))
            return False
        self._keep(decision)
        if not decision.blamed:
            # The crashes until now say no more against the part.
            self._begun[decision.part] = now
        self._trials[decision.part] = _Trial(now + FIRST_TRIAL_S, FIRST_TRIAL_S)
        return known is None or known.blamed != decision.blamed

    def _keep(self, decision: routing.BlamedPart) -> None:
        """Keep a decision as the latest one; the oldest ones are forgotten."""
        self._decisions.pop(decision.part, None)
        self._decisions[decision.part] = decision
        while len(self._decisions) > MAX_DECISIONS:
            oldest = next(iter(self._decisions))
            del self._decisions[oldest]
            self._trials.pop(oldest, None)

    def _is_known_sound(self, part: str, now: float) -> bool:
        return now - self._begun.get(part, float("-inf")) < KNOWN_SOUND_S

    def is_blamed(self, part: str) -> bool:
        """Tell whether requests with this part are refused."""
        decision = self._decisions.get(part)
        return decision is not None and decision.blamed

    def find_blamed(self, parts: tuple[str, ...]) -> str:
        """Return the first blamed part among these; empty if there is none."""
        if not self._decisions:
            return ""
        return next((part for part in parts if self.is_blamed(part)), "")

    def take_trial(self, part: str, turn: int, now: float) -> bool:
        """Tell whether a request may try a blamed part now; if so, the next one has to wait.

        Args:
          part: The part.
          turn: Place of this gateway among all that may try, from 0.
          now: Time in seconds.
        """
        if now < self._trials[part].due + turn * TRIAL_TURN_S:
            return False
        self._postpone_trial(part, now)
        return True

    def _postpone_trial(self, part: str, now: float) -> None:
        pause_s = min(MAX_TRIAL_S, 2.0 * self._trials[part].pause_s)
        self._trials[part] = _Trial(now + pause_s, pause_s)

    def decide(self, now: float, now_ms: int) -> list[routing.BlamedPart]:
        """Blame the parts that explain the crashes, and return the new decisions.

        This is cheap if there are no new reports, or if the last decision was made just before.
        """
        self._own = [item for item in self._own if now - item.at < REPORTING_S]
        if not self._has_news or now < self._next_decision_at:
            return []
        self._has_news, self._next_decision_at = False, now + DECISION_INTERVAL_S
        self._reports = {
            key: item for key, item in self._reports.items() if now - item.at < CRASH_TTL_S
        }
        new = []
        while (part := self._find_culprit()) is not None:
            decision = routing.BlamedPart(part, True, now_ms)
            self._keep(decision)
            self._trials[part] = _Trial(now + FIRST_TRIAL_S, FIRST_TRIAL_S)
            new.append(decision)
        return new

    def _find_culprit(self) -> str | None:
        """Return the part that explains the most crashes; None if none explains enough."""
        cases: dict[str, _Case] = {}
        for group in self._group_by_crash():
            if any(self.is_blamed(part) for report in group for part in report.parts):
                continue
            for part, reports in _by_part(group).items():
                if self._begun.get(part, float("-inf")) < reports[0].at:
                    case = cases.setdefault(part, _Case(part))
                    case.add(reports)
        found = [case for case in cases.values() if self._suffices(case)]
        if not found:
            return None
        # Of two parts that explain as much, the one in fewer requests is the more specific, and
        # then the one that comes later in the prompts.
        best = max(
            found, key=lambda case: (case.crashes, -self._sent.get(case.part, 0), case.place)
        )
        return best.part

    def _suffices(self, case: "_Case") -> bool:
        if case.part not in self._begun:
            return (
                case.crashes >= MIN_CRASHES
                and len(case.requests) >= MIN_REQUESTS
                and case.rounds >= MIN_ROUNDS
            )
        return (
            case.crashes >= MIN_CRASHES_ONCE_SOUND
            and len(case.requests) >= MIN_REQUESTS_ONCE_SOUND
            and case.span_s >= MIN_SPAN_ONCE_SOUND_S
        )

    def _group_by_crash(self) -> list[list[CrashReport]]:
        groups: list[list[CrashReport]] = []
        latest: dict[str, list[CrashReport]] = {}
        for report in sorted(self._reports.values(), key=lambda item: item.at):
            group = latest.get(report.engine)
            if group is None or report.at - group[0].at > SAME_CRASH_S:
                group = latest[report.engine] = []
                groups.append(group)
            group.append(report)
        return groups

    def reports(self) -> list[CrashReport]:
        """Return this gateway's newest reports with the parts that may be to blame, for others."""
        results = []
        for report in self._own[-MAX_REPORTS:]:
            parts = [part for part in report.parts if self._begun.get(part, 0.0) < report.at]
            results.append(report._replace(parts=tuple(parts[-MAX_REPORTED_PARTS:])))
        return results

    def decisions(self) -> list[routing.BlamedPart]:
        """Return all decisions, for other gateways and for this gateway's record."""
        return list(self._decisions.values())


class _Case:
    """The crashes that a part may explain, added in the order of their times.

    Attributes:
      part: The part's id.
      crashes: Number of crashes.
      requests: The requests with the part that the engines were running.
      rounds: Crashes that followed each other: in each, a request with the part was sent after the
        first crash of the round before.
      span_s: Time from the first crash to the last one, in seconds.
      place: The part's place in the prompts.
    """

    def __init__(self, part: str) -> None:
        self.part = part
        self.crashes = 0
        self.requests: set[str] = set()
        self.rounds = 0
        self.span_s = 0.0
        self.place = 0
        self._first_at = 0.0
        self._round_at = float("-inf")

    def add(self, reports: list[CrashReport]) -> None:
        """Add a crash, given the reports of it that contain the part."""
        at = reports[0].at
        if not self.crashes:
            self._first_at = at
        self.crashes += 1
        self.span_s = at - self._first_at
        self.requests |= {report.request for report in reports}
        self.place = max(self.place, *(report.parts.index(self.part) for report in reports), 0)
        if max(report.sent_at for report in reports) > self._round_at:
            self.rounds += 1
            self._round_at = at


def _by_part(group: list[CrashReport]) -> dict[str, list[CrashReport]]:
    """Return the reports of one crash by the parts that they contain."""
    found: dict[str, list[CrashReport]] = {}
    for report in group:
        for part in report.parts:
            found.setdefault(part, []).append(report)
    return found
