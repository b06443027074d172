"""Judges a version on trial by its results on each route, against those of the stable version.

Scenario: a version fails on one route of a service, while a sound version often fails on another
one. Over all routes together the fault is hidden, so each route has a test of its own: a
sequential likelihood ratio test between the stable version's share of bad responses and a much
higher one. Its score is bounded below, so that a fault which begins late is found as soon.
"""

import math

from berylrock.ops import rollouts

__all__ = ["TrialJudge"]

# A bad version makes at least this share of the otherwise good responses bad.
FAULT_SHARE = 0.45
# Share of bad responses of the stable version: counts that are assumed before any response, and the
# smallest shares, as connections fail and engines are busy now and then.
PRIOR_BAD, PRIOR_RESPONSES = 0.5, 10.0
MIN_USUAL_ERRORS, MIN_USUAL_SLOW = 0.01, 0.03
# On a route on which most responses are bad, a fault does not show.
MAX_USUAL_SHARE = 0.6
# Logarithms of likelihood ratios: the version counts as bad from the first one on; the second one
# is the lowest score.
FAULT_SCORE, LOWEST_SCORE = 6.0, -3.0
# An engine that crashes fails all that it was running, which is more for streams.
MIN_BAD_PLAIN, MIN_BAD_STREAMS = 3, 5
MIN_SLOW_PLAIN = 4


class _RouteTest:
    """Test of one kind of bad response on one route.

    Attributes:
      score: Logarithm of the likelihood ratio of a bad version to a good one, within its bounds.
      bad: Bad responses of the version on trial.
    """

    def __init__(self) -> None:
        self.score = 0.0
        self.bad = 0
        self._good = 0

    def update(self, bad: int, good: int, usual_share: float) -> None:
        """Count the responses since the last update.

        Args:
          bad: All bad responses of the version on trial so far.
          good: All its good responses so far.
          usual_share: Share of bad responses of the stable version.
        """
        new_bad, new_good = max(0, bad - self.bad), max(0, good - self._good)
        self.bad, self._good = max(bad, self.bad), max(good, self._good)
        if usual_share > MAX_USUAL_SHARE:
            return
        fault_share = usual_share + FAULT_SHARE * (1.0 - usual_share)
        self.score += new_good * math.log((1.0 - fault_share) / (1.0 - usual_share))
        self.score = max(LOWEST_SCORE, self.score)
        self.score += new_bad * math.log(fault_share / usual_share)


def _usual_share(bad: int, responses: int, smallest: float) -> float:
    """Estimate the stable version's share of bad responses."""
    return max(smallest, (bad + PRIOR_BAD) / (responses + PRIOR_RESPONSES))


class TrialJudge:
    """Judges one version on trial; each gateway judges the results of all gateways."""

    def __init__(self, streams: bool) -> None:
        """Create a judge without results.

        Args:
          streams: Whether the service's responses are streams. Their times depend on prompts and
            caches, which a version on trial does not have yet, so they are not compared by route.
        """
        self._streams = streams
        self._errors: dict[str, _RouteTest] = {}
        self._slow: dict[str, _RouteTest] = {}

    def update(
        self, trial: dict[str, rollouts.Evidence], stable: dict[str, rollouts.Evidence]
    ) -> None:
        """Count the responses since the last update.

        Args:
          trial: All results of the version on trial, by route.
          stable: All results of the stable version, by route.
        """
        for route, found in trial.items():
            usual = stable.get(route, rollouts.Evidence())
            share = _usual_share(usual.errors, usual.answers, MIN_USUAL_ERRORS)
            test = self._errors.setdefault(route, _RouteTest())
            test.update(found.errors, found.answers - found.errors, share)
            if self._streams:
                continue
            share = _usual_share(usual.slow, usual.timed, MIN_USUAL_SLOW)
            test = self._slow.setdefault(route, _RouteTest())
            test.update(found.slow, found.timed - found.slow, share)

    def find_fault(self) -> str:
        """Return on which route the version is bad, for the log; empty if it is on none."""
        min_errors = MIN_BAD_STREAMS if self._streams else MIN_BAD_PLAIN
        for what, tests, min_bad in (
            ("errors", self._errors, min_errors),
            ("slow", self._slow, MIN_SLOW_PLAIN),
        ):
            for route, test in tests.items():
                if test.bad >= min_bad and test.score >= FAULT_SCORE:
                    return f"{what} on {route}, score {test.score:.1f}"
        return ""
