"""Finds parts of prompts that crash each engine which begins to write an answer on them.

Scenario: requests that have one part of their prompts in common arrive at any gateway, no two
alike, and each crashes up to three engines, together with the sound requests there. The sound ones
share their callers and their other parts with them, so only that part may be refused.

Evidence: when an engine crashes, a gateway knows which of its requests there had not been answered
yet, and their parts. A part on which any engine has begun an answer since is innocent. Of the
others, the one that explains the most crashes is blamed, and those crashes count against no other
part. A part may also turn bad after it was sound; that takes more crashes. The gateways exchange
what they have seen; each decides for itself and adopts the others' decisions.
"""

import collections
from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import crashcases, enginestate

__all__ = ["CrashBlame"]

# Crashes are forgotten after the first time, and other gateways are told of them for the second
# one, in seconds.
CRASH_TTL_S, REPORTING_S = 120.0, 15.0
# Time between two decisions, in seconds. Hundreds of gateways report the crashes of a zone at once.
DECISION_INTERVAL_S = 0.1
# A gateway rejects the blame of a part on which an engine has begun to answer within this time
# before, in seconds, unless so many crashes have followed.
KNOWN_SOUND_S = 20.0
# Parts, decisions on them, and reports that are remembered.
MAX_PARTS, MAX_DECISIONS, MAX_KNOWN_REPORTS = 20_000, 256, 1000
# A blamed part is tried again by one request after the first time, or after the second one if it
# was sound before. The pause grows by the factor each time. The gateways try in turn, so that one
# which gets such requests finds out for all. In seconds.
FIRST_TRIAL_S, TURNED_TRIAL_S, MAX_TRIAL_S, TRIAL_TURN_S = 60.0, 8.0, 3600.0, 30.0
TRIAL_GROWTH = 4.0
# Reports that a message carries, the newest ones.
MAX_REPORTS = 10
MAX_REPORTED_PARTS = 4
FINGERPRINT_DIGITS = 8


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
        self._own: list[crashcases.CrashReport] = []
        # The latest report of each engine and request.
        self._reports: dict[tuple[str, str], crashcases.CrashReport] = {}
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
            crashcases.CrashReport(
                engine, item.fingerprint[:FINGERPRINT_DIGITS], item.shared_parts, now, item.sent_at
            )
            for item in broken
            if not item.begun and item.shared_parts
        ]
        self._own += found
        self.record_peer(found)

    def record_peer(self, reports: list[crashcases.CrashReport]) -> None:
        """Record the reports of another gateway; those that are known already count once."""
        for report in reports:
            key = report.engine, report.request
            known = self._reports.get(key)
            if known is None or report.at - known.at >= crashcases.SAME_CRASH_S:
                self._reports[key] = report
                self._has_news = True
                self._record_failed_trial(report)
        while len(self._reports) > MAX_KNOWN_REPORTS:
            del self._reports[next(iter(self._reports))]

    def _record_failed_trial(self, report: crashcases.CrashReport) -> None:
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
            self._exonerate(decision.part, now)
        self._schedule_first_trial(decision.part, now)
        return known is None or known.blamed != decision.blamed

    def _exonerate(self, part: str, now: float) -> None:
        """Let the crashes until now say no more against a part, nor against those before it.

        The answer that has shown it to be sound was begun on all parts of its prompt.
        """
        found = {part}
        for report in self._reports.values():
            if part in report.parts:
                found.update(report.parts[: report.parts.index(part)])
        self._begun.update(dict.fromkeys(found, now))

    def _keep(self, decision: routing.BlamedPart) -> None:
        """Keep a decision as the latest one; the oldest ones are forgotten."""
        self._decisions.pop(decision.part, None)
        self._decisions[decision.part] = decision
        while len(self._decisions) > MAX_DECISIONS:
            oldest = next(iter(self._decisions))
            del self._decisions[oldest]
            self._trials.pop(oldest, None)

    def _is_known_sound(self, part: str, now: float) -> bool:
        """Tell whether an engine has begun an answer on a part lately, and few crashes since.

        All gateways know the crashes, but each one knows only its own answers.
        """
        if now - self._begun.get(part, float("-inf")) >= KNOWN_SOUND_S:
            return False
        case = self._collect_cases().get(part)
        return case is None or not case.tells_of_change

    def _is_suspect(self, part: str, crashed_at: float) -> bool:
        """Tell whether no engine has begun an answer on a part since a crash."""
        return self._begun.get(part, float("-inf")) < crashed_at

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

    def _schedule_first_trial(self, part: str, now: float) -> None:
        """Set the first trial of a blamed part, an early one if the part was sound before."""
        pause_s = TURNED_TRIAL_S if part in self._begun else FIRST_TRIAL_S
        self._trials[part] = _Trial(now + pause_s, pause_s)

    def _postpone_trial(self, part: str, now: float) -> None:
        pause_s = min(MAX_TRIAL_S, TRIAL_GROWTH * self._trials[part].pause_s)
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
            self._schedule_first_trial(part, now)
            new.append(decision)
        return new

    def _collect_cases(self) -> dict[str, crashcases.Case]:
        """Return the crashes that each part may explain."""
        cases: dict[str, crashcases.Case] = {}
        for group in crashcases.group_by_crash(self._reports.values()):
            if any(self.is_blamed(part) for report in group for part in report.parts):
                continue
            for part, reports in crashcases.by_part(group).items():
                if self._is_suspect(part, reports[0].at):
                    case = cases.setdefault(part, crashcases.Case(part))
                    case.add(reports, self._is_only_suspect(part, reports))
        return cases

    def _find_culprit(self) -> str | None:
        """Return the part that explains the most crashes; None if none explains enough."""
        cases = self._collect_cases()
        found = [case for case in cases.values() if case.suffices(case.part in self._begun)]
        if not found:
            return None
        # Of two parts that explain as much, the one in fewer requests is the more specific, and
        # then the one that comes later in the prompts.
        best = max(
            found, key=lambda case: (case.crashes, -self._sent.get(case.part, 0), case.place)
        )
        return best.part

    def _is_only_suspect(self, part: str, reports: list[crashcases.CrashReport]) -> bool:
        """Tell whether a crashed engine had a request of which no other part is a suspect."""
        return any(
            all(item == part or not self._is_suspect(item, report.at) for item in report.parts)
            for report in reports
        )

    def reports(self) -> list[crashcases.CrashReport]:
        """Return this gateway's newest reports with the parts that may be to blame, for others."""
        results = []
        for report in self._own[-MAX_REPORTS:]:
            parts = [part for part in report.parts if self._begun.get(part, 0.0) < report.at]
            results.append(report._replace(parts=tuple(parts[-MAX_REPORTED_PARTS:])))
        return results

    def decisions(self) -> list[routing.BlamedPart]:
        """Return all decisions, for other gateways and for this gateway's record."""
        return list(self._decisions.values())
