"""Judges a version on trial by its results on each route, against those of the stable version.

Scenario: a version fails on one route of a service, while a sound version often fails on another
one. Over all routes together the fault is hidden, so each route has a test of its own. A rollout
waits while the tests have not spoken for the version, because nobody can roll it back once it is
completed.
"""

import math
from typing import NamedTuple

from berylrock.ops import rollouts, sequentialtest

__all__ = ["TrialJudge"]

# Share of bad responses of the stable version: counts that are added to those seen, responses below
# which the share is not known, and the smallest shares, as connections fail now and then.
PRIOR_BAD, PRIOR_RESPONSES = 1.0, 2.0
MIN_USUAL_RESPONSES = 10
MIN_USUAL_ERRORS, MIN_USUAL_SLOW = 0.01, 0.03
# A bad version makes at least these shares of the otherwise good responses bad.
PLAIN_FAULT_SHARE, STREAM_FAULT_SHARE = 0.3, 0.25
# An engine that crashes fails all that it was running, which is more for streams.
MIN_BAD_PLAIN, MIN_BAD_STREAMS = 3, 5
MIN_SLOW_PLAIN = 4


class _Limits(NamedTuple):
    """Highest scores of a test that let a rollout go on.

    Attributes:
      moving: At this score all requests may move to the version.
      completion: At this one the rollout may complete, after which nobody can roll it back.
    """

    moving: float
    completion: float


# Limits for the routes of a plain service, for the routes of streams, and for the pace of streams.
# A fault on a route with few requests does less harm, and its test would hold up the rollout.
MAIN_ROUTE, MINOR_ROUTE = _Limits(-0.5, -2.0), _Limits(0.0, -1.0)
STREAM_ROUTE, STREAM_PACE = _Limits(0.0, -1.0), _Limits(0.0, -2.5)
# A route counts as a main one with this share of the service's responses, or this number of them.
MAIN_ROUTE_SHARE, MAIN_ROUTE_ANSWERS = 0.33, 200
# Routes with fewer responses of all versions are too rare to wait for.
MIN_ROUTE_ANSWERS = 8
# Responses to ask for before the usual share of bad responses is known.
FIRST_SAMPLES = 6


def _count_not_quick(found: dict[str, rollouts.Evidence]) -> sequentialtest.Counts:
    """Count the streams whose pace was measured, and those among them that were not quick."""
    paced = sum(item.paced for item in found.values())
    return sequentialtest.Counts(paced - sum(item.quick for item in found.values()), paced)


def _count_crawling(found: dict[str, rollouts.Evidence]) -> sequentialtest.Counts:
    """Count the streams whose pace was measured, and those among them that crawled."""
    paced = sum(item.paced for item in found.values())
    return sequentialtest.Counts(sum(item.crawling for item in found.values()), paced)


class TrialJudge:
    """Judges one version on trial; each gateway judges the results of all gateways.

    Attributes:
      streams: Whether the service's responses are streams.
    """

    def __init__(self, streams: bool) -> None:
        """Create a judge without results.

        Args:
          streams: Whether the service's responses are streams. Their times depend on prompts and
            caches, which a version on trial does not have yet, so they are not compared by route.
        """
        self.streams = streams
        self._errors: dict[str, sequentialtest.SequentialTest] = {}
        self._slow: dict[str, sequentialtest.SequentialTest] = {}
        self._fault_share = STREAM_FAULT_SHARE if streams else PLAIN_FAULT_SHARE
        self._pace = sequentialtest.SequentialTest(self._fault_share)
        self._crawling = sequentialtest.SequentialTest(self._fault_share)
        self._trial: dict[str, rollouts.Evidence] = {}
        self._stable: dict[str, rollouts.Evidence] = {}
        self._answers: dict[str, int] = {}
        self._paced = False

    def update(
        self, trial: dict[str, rollouts.Evidence], stable: dict[str, rollouts.Evidence]
    ) -> None:
        """Count the responses since the last update.

        Args:
          trial: All results of the version on trial, by route.
          stable: All results of the stable version, by route.
        """
        self._trial, self._stable = dict(trial), dict(stable)
        for route in {*trial, *stable}:
            found = trial.get(route, rollouts.Evidence())
            usual = stable.get(route, rollouts.Evidence())
            self._answers[route] = found.answers + usual.answers
            self._update_test(
                self._errors,
                route,
                sequentialtest.Counts(found.errors, found.answers),
                sequentialtest.Counts(usual.errors, usual.answers),
                MIN_USUAL_ERRORS,
            )
            if not self.streams:
                # Times of streams depend on prompts and caches, their pace does not.
                self._update_test(
                    self._slow,
                    route,
                    sequentialtest.Counts(found.slow, found.timed),
                    sequentialtest.Counts(usual.slow, usual.timed),
                    MIN_USUAL_SLOW,
                )

        self._update_pace(trial, stable)

    def _update_pace(
        self, trial: dict[str, rollouts.Evidence], stable: dict[str, rollouts.Evidence]
    ) -> None:
        """Count the streams that were not quick, and those that crawled, on all routes together.

        Each route has a pace of its own, with which its streams were compared.
        """
        for test, count in ((self._pace, _count_not_quick), (self._crawling, _count_crawling)):
            usual = count(stable)
            if usual.responses >= MIN_USUAL_RESPONSES:
                share = (usual.bad + PRIOR_BAD) / (usual.responses + PRIOR_RESPONSES)
                test.update(count(trial), max(MIN_USUAL_SLOW, share))
                self._paced = True

    def _update_test(
        self,
        tests: dict[str, sequentialtest.SequentialTest],
        route: str,
        trial: sequentialtest.Counts,
        usual: sequentialtest.Counts,
        smallest: float,
    ) -> None:
        if usual.responses < MIN_USUAL_RESPONSES:
            return
        share = (usual.bad + PRIOR_BAD) / (usual.responses + PRIOR_RESPONSES)
        test = tests.setdefault(route, sequentialtest.SequentialTest(self._fault_share))
        test.update(trial, max(smallest, share))

    def find_fault(self) -> str:
        """Return on which route the version is bad, for the log; empty if it is on none."""
        min_errors = MIN_BAD_STREAMS if self.streams else MIN_BAD_PLAIN
        for what, tests, min_bad in (
            ("errors", self._errors, min_errors),
            ("slow", self._slow, MIN_SLOW_PLAIN),
        ):
            for route, test in tests.items():
                if test.bad >= min_bad and test.score >= sequentialtest.FAULT_SCORE:
                    return f"{what} on {route}, score {test.score:.1f}"
        for what, test in (("not quick", self._pace), ("crawling", self._crawling)):
            if test.bad >= MIN_BAD_STREAMS and test.score >= sequentialtest.FAULT_SCORE:
                return f"streams {what}, score {test.score:.1f}"
        return ""

    def _tests(self, route: str) -> list[sequentialtest.SequentialTest]:
        return [tests[route] for tests in (self._errors, self._slow) if route in tests]

    def _limits(self, route: str) -> _Limits:
        if self.streams:
            return STREAM_ROUTE
        least = min(MAIN_ROUTE_ANSWERS, MAIN_ROUTE_SHARE * sum(self._answers.values()))
        return MAIN_ROUTE if self._answers[route] >= least else MINOR_ROUTE

    def _is_trusted(self, route: str, last: bool) -> bool:
        """Tell whether a route lets the last stage end, or all requests move, if not ``last``."""
        limits = self._limits(route)
        highest = limits.completion if last else limits.moving
        return all(test.is_trusted(highest) for test in self._tests(route))

    def find_doubt(self, stage: int) -> str:
        """Return on which route too little is known to end a stage; empty if on none.

        Args:
          stage: The rollout's stage, from 0.
        """
        last = stage == rollouts.LAST_STAGE
        highest = STREAM_PACE.completion if last else STREAM_PACE.moving
        if self._paced and not self._crawling.is_trusted(highest):
            return "not enough known of the pace of streams"
        for route, answers in self._answers.items():
            if answers < MIN_ROUTE_ANSWERS or self._is_hopeless(route):
                continue
            if not self._is_trusted(route, last):
                trial = self._trial.get(route, rollouts.Evidence())
                return f"not enough known of {route}, {trial.brief}"
        return ""

    def lacking(self, elapsed_share: float) -> dict[str, int]:
        """Return how many responses of the version on trial are lacking on each route.

        Args:
          elapsed_share: Elapsed share of the time over which the responses are collected, so that a
            fault which begins late is met by some.

        Returns:
          The numbers by route, without routes that lack none.
        """
        if self.streams:
            return {}
        results = {}
        for route in self._answers:
            answers = self._trial.get(route, rollouts.Evidence()).answers
            if self._is_hopeless(route):
                continue
            wanted = max((test.samples() for test in self._tests(route)), default=FIRST_SAMPLES)
            lack = math.ceil(wanted * min(1.0, elapsed_share)) - answers
            if elapsed_share >= 1.0 and not self._is_trusted(route, last=True):
                lack = max(lack, sequentialtest.MORE_SAMPLES)
            if lack > 0:
                results[route] = lack
        return results

    def _is_hopeless(self, route: str) -> bool:
        """Tell whether most responses of the stable version are bad, so that samples are wasted."""
        usual = self._stable.get(route, rollouts.Evidence())
        return (
            usual.answers > 0
            and usual.errors + usual.slow > sequentialtest.MAX_USUAL_SHARE * usual.answers
        )

    def answers(self, route: str) -> int:
        """Return the number of responses of both versions on a route."""
        return self._answers.get(route, 0)

    def totals(self) -> tuple[int, int]:
        """Return the number of responses of the version on trial, and of both versions."""
        return sum(item.answers for item in self._trial.values()), sum(self._answers.values())
