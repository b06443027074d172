"""Finds what crashes engines: a shared part of prompts, or a request that is sent again and again.

Scenario: requests that have one part of their prompts in common arrive at any gateway, no two
alike, and each crashes up to three engines, at any point of its answer, together with the sound
requests there. The sound ones share their callers and their other parts with them, so only that
part may be refused. The same holds for one request that comes again.

Evidence: when an engine crashes, each of its requests, and each shared part of their prompts, is a
suspect, however far the answers had got. A complete answer clears its suspects of the crashes
before it. The suspect that explains the crashes best is blamed (``crashscore``). The gateways
exchange what they have seen; each decides for itself and adopts the others' decisions.
"""

import math
from collections.abc import Iterable

from berylrock.core import routing
from berylrock.ops import crashlog, crashscore, enginestate, requestrates, soundness, suspects

__all__ = ["CrashBlame"]

# Other gateways are told of a crash for this time, in seconds.
REPORTING_S = 15.0
# A crash counts after this time, in seconds, within which the other gateways report of it.
GATHERING_S = 0.3
# Time between two decisions, in seconds. Hundreds of gateways report the crashes of a zone at once.
DECISION_INTERVAL_S = 0.1
# Suspects that are blamed by one decision, as the crashes do not tell them apart: their scores
# differ by less than this, in nats.
MAX_AT_ONCE, NEARLY_AS_LIKELY = 3, 1.5
# A gateway that has had a complete answer within this time, in seconds, rejects the blame of
# another one, unless so many crashes have followed.
KNOWN_SOUND_S, MIN_CRASHES_SINCE = 20.0, 3
MAX_DECISIONS = 256
# One request may try a blamed suspect again after the first time; the pause grows by the factor
# each time, up to the longest one. In milliseconds.
FIRST_TRIAL_MS, MAX_TRIAL_MS, TRIAL_GROWTH = 8000, 3_600_000, 4
# The gateways may try one after the other within this time, so that mostly only one does.
TRIAL_SPREAD_MS = 8000
# Reports that one message carries, and prompt parts in each.
MAX_REPORTS, MAX_REPORTED_PARTS = 36, 4


class CrashBlame:
    """Crashes and suspects as known to one gateway.

    Times are in seconds on one clock, but those in ``routing.Blame`` in milliseconds since 1970.

    Attributes:
      soundness: When suspects were last known to be sound.
      rates: How often prompt parts are asked for.
    """

    def __init__(self) -> None:
        self.soundness = soundness.Soundness()
        self.rates = requestrates.RequestRates()
        self._log = crashlog.CrashLog()
        self._own: list[crashlog.CrashReport] = []
        self._has_news = False
        self._next_decision_at = -math.inf
        self._decisions: dict[str, routing.Blame] = {}
        self._next_report = 0

    def record_crash(
        self,
        engine: routing.Engine,
        fleet: int,
        broken: list[enginestate.BrokenRequest],
        now: float,
    ) -> list[crashlog.CrashReport]:
        """Record that an engine crashed while it ran requests of this gateway.

        Args:
          engine: The engine.
          fleet: Number of engines of its service.
          broken: The requests whose connections broke.
          now: Time in seconds.

        Returns:
          What may have caused the crash; requests that had just ended are among it.
        """
        ended = self.soundness.take_ended(engine.id, now)
        runs = [
            (suspects.request_digest(item.fingerprint), item.shared_parts, item.sent_at)
            for item in broken
        ]
        runs += [(item.request, item.parts, item.run.sent_at) for item in ended]
        found = [
            crashlog.CrashReport(engine.id, digest, parts, now, sent_at, engine.service, fleet)
            for digest, parts, sent_at in runs
        ]
        self._own += found
        self.record_reports(found, now)
        return found

    def record_reports(self, reports: Iterable[crashlog.CrashReport], now: float) -> None:
        """Record reports of this or another gateway; those that are known already count once."""
        for report in reports:
            crash = self._log.add(report)
            if crash is None:
                continue
            self._has_news = True
            listed = suspects.list_suspects(report.parts, report.request)
            guilty = [item for item in listed if self.soundness.until(item) < report.at]
            self._log.expose(crash, report, dict.fromkeys(guilty))
            for suspect in listed:
                if suspect not in guilty:
                    self.soundness.tell(suspect, now)

    def hear_sound(self, news: Iterable[soundness.SoundNews], now: float) -> None:
        """Record what another gateway knows of complete answers."""
        for suspect, age_ms in news:
            at = now - max(0, age_ms) / 1000
            if self.soundness.hear(suspect, at):
                self._log.clear(suspect, at)

    def settle(self, now: float, now_ms: int) -> list[str]:
        """Count the answers whose engines have lived on; returns the blamed suspects they clear."""
        cleared = []
        for suspect in self.soundness.settle(now):
            if self._log.clear(suspect, self.soundness.until(suspect)):
                self.soundness.tell(suspect, now)
            known = self._decisions.get(suspect)
            if known is not None and known.blamed:
                self._keep(known._replace(blamed=False, decided_ms=now_ms))
                cleared.append(suspect)
        return cleared

    def decide(self, gateways: int, now: float, now_ms: int) -> list[crashscore.Case]:
        """Blame the suspects that explain the crashes best, and return what speaks against them.

        This is cheap if there are no new reports, or if the last decision was made just before.

        Args:
          gateways: Number of gateways.
          now: Time in seconds.
          now_ms: The time of day, in milliseconds since 1970.
        """
        self._own = [item for item in self._own if now - item.at < REPORTING_S]
        if not self._has_news or now < self._next_decision_at:
            return []
        self._log.expire(now)
        until = now - GATHERING_S
        self._has_news, self._next_decision_at = (
            self._log.has_later(until),
            now + DECISION_INTERVAL_S,
        )
        found = sorted(self._collect_cases(gateways, now, until), key=self._rank, reverse=True)
        blamed: list[crashscore.Case] = []
        for case in found:
            is_likely = self._rank(case)[0] >= self._rank(found[0])[0] - NEARLY_AS_LIKELY
            if len(blamed) < MAX_AT_ONCE and is_likely and not any(map(case.includes, blamed)):
                blamed.append(case)
                self._keep(routing.Blame(case.suspect, True, now_ms))
        return blamed

    def _collect_cases(self, gateways: int, now: float, until: float) -> list[crashscore.Case]:
        """Return the cases of the suspects that may be blamed."""
        found = []
        for suspect in list(self._log.list_suspects(crashscore.MIN_CRASHES)):
            if self.is_blamed(suspect) or self._is_explained(suspect, until):
                continue
            per_s = gateways * self.rates.per_s(suspect, now)
            case = crashscore.collect(self._log, suspect, per_s, until)
            if case is not None and crashscore.suffices(case, self.soundness.was_ever(suspect)):
                found.append(case)
        return found

    def _rank(self, case: crashscore.Case) -> tuple[float, int]:
        """Order cases by how likely they are, and then by their places in the prompts."""
        once_sound = self.soundness.was_ever(case.suspect)
        return case.score - crashscore.ONCE_SOUND_SCORE * once_sound, case.place

    def _is_explained(self, suspect: str, until: float) -> bool:
        """Tell whether a blamed suspect was at the engine at each crash that this one may explain.

        If a crash has none, a decision before may have blamed the wrong suspect, and all count.
        """
        return all(
            any(self.is_blamed(item) for item in crash.exposures)
            for crash in self._log.crashes_of(suspect, until)
        )

    def adopt(self, decision: routing.Blame, now: float) -> bool:
        """Adopt another gateway's decision if it is later; returns whether it changes anything.

        A suspect with a complete answer lately is not blamed; the others hear so.
        """
        known = self._decisions.get(decision.suspect)
        if known is not None and known.decided_ms >= decision.decided_ms:
            return False
        is_new = known is None or known.blamed != decision.blamed
        if decision.blamed and is_new and self._is_known_sound(decision.suspect, now):
            self._keep(decision._replace(blamed=False, decided_ms=decision.decided_ms + 1))
            return False
        self._keep(decision)
        if not decision.blamed and self.soundness.hear(decision.suspect, now):
            self._log.clear(decision.suspect, now)
        return is_new

    def _keep(self, decision: routing.Blame) -> None:
        """Keep a decision as the latest one; the oldest ones are forgotten."""
        self._decisions.pop(decision.suspect, None)
        self._decisions[decision.suspect] = decision
        while len(self._decisions) > MAX_DECISIONS:
            del self._decisions[next(iter(self._decisions))]

    def _is_known_sound(self, suspect: str, now: float) -> bool:
        """Tell whether there was a complete answer lately, and there were few crashes since."""
        if now - self.soundness.until(suspect) >= KNOWN_SOUND_S:
            return False
        return len(self._log.crashes_of(suspect, now)) < MIN_CRASHES_SINCE

    def is_blamed(self, suspect: str) -> bool:
        """Tell whether requests with this suspect are refused."""
        decision = self._decisions.get(suspect)
        return decision is not None and decision.blamed

    def find_blamed(self, parts: tuple[str, ...], digest: str) -> tuple[str, ...]:
        """Return the blamed suspects of a request.

        Args:
          parts: Shared parts of its prompt.
          digest: Its digest; see ``suspects``.
        """
        if not self._decisions:
            return ()
        return tuple(filter(self.is_blamed, suspects.list_suspects(parts, digest)))

    def trial_in_s(self, suspect: str, share: float, now_ms: int) -> float:
        """Return the seconds after which a request may try a blamed suspect again.

        Args:
          suspect: The suspect.
          share: Place of this gateway among all of them, from 0 for the first one to 1.
          now_ms: The time of day, in milliseconds since 1970.
        """
        decision = self._decisions[suspect]
        pause_ms = min(MAX_TRIAL_MS, FIRST_TRIAL_MS * TRIAL_GROWTH**decision.trials)
        due_ms = decision.decided_ms + pause_ms + share * TRIAL_SPREAD_MS
        return max(0.0, (due_ms - now_ms) / 1000)

    def take_trial(self, suspect: str, now_ms: int) -> None:
        """Record that a request tries a blamed suspect, so that the next one has to wait."""
        known = self._decisions[suspect]
        self._keep(known._replace(decided_ms=now_ms, trials=known.trials + 1))

    def take_reports(self) -> list[crashlog.CrashReport]:
        """Return this gateway's reports for others, in turns if there are many.

        Those with a prompt part that was never in a complete answer come first.
        """
        found = []
        for report in self._own:
            parts = tuple(item for item in report.parts if self.soundness.until(item) < report.at)[
                -MAX_REPORTED_PARTS:
            ]
            request = suspects.name_request(report.request)
            if parts or self.soundness.until(request) < report.at:
                found.append(report._replace(parts=parts))
        if len(found) <= MAX_REPORTS:
            return found
        found.sort(key=lambda item: (all(map(self.soundness.was_ever, item.parts)), -item.at))
        first, others = found[: MAX_REPORTS // 2], found[MAX_REPORTS // 2 :]
        begin = self._next_report = (self._next_report + MAX_REPORTS // 2) % len(others)
        return first + (others[begin:] + others[:begin])[: MAX_REPORTS // 2]

    def decisions(self) -> list[routing.Blame]:
        """Return all decisions, for other gateways and for this gateway's record."""
        return list(self._decisions.values())
