"""Tests one kind of bad response of a version on trial, response by response.

The test is a sequential likelihood ratio test between the stable version's share of bad responses
and a much higher one. Its score is bounded below, so that a fault which begins late is found as
soon.
"""

import math
from typing import NamedTuple

__all__ = ["FAULT_SCORE", "MAX_USUAL_SHARE", "MORE_SAMPLES", "Counts", "SequentialTest"]

# On a route on which most responses are bad, a fault does not show.
MAX_USUAL_SHARE = 0.6
# Logarithms of likelihood ratios: the version counts as bad from the first one on; the second one
# is the lowest score.
FAULT_SCORE, LOWEST_SCORE = 6.0, -3.5
# Updates that are kept apart, an even number; beyond it, neighbours are merged.
MAX_STEPS = 128
# Responses to ask for: those which bring a good version on average to this score, and some more
# because of chance.
SAMPLING_SCORE, MORE_SAMPLES = -4.0, 3


class Counts(NamedTuple):
    """Bad responses, and all responses among which they were counted."""

    bad: int
    responses: int


class _Step(NamedTuple):
    """Bad and good responses between two updates; the good ones count first."""

    bad: int
    good: int


class SequentialTest:
    """Test of one kind of bad response.

    Attributes:
      bad: Bad responses of the version on trial.
      score: Logarithm of the likelihood ratio of a bad version to a good one, within its bounds.
    """

    def __init__(self, fault_share: float) -> None:
        """Create a test without responses.

        Args:
          fault_share: Share of the otherwise good responses that a bad version makes bad. The
            smaller it is, the more responses are needed.
        """
        self.bad = 0
        self.score = 0.0
        self._good = 0
        self._fault_share_of_good = fault_share
        self._usual_share = 0.0
        self._steps: list[_Step] = []

    def update(self, trial: Counts, usual_share: float) -> None:
        """Count the responses since the last update, and compute the score.

        The score is computed from the first response on, because the stable version's share of bad
        responses is known better with time.

        Args:
          trial: All responses of the version on trial so far.
          usual_share: Share of bad responses of the stable version.
        """
        good = trial.responses - trial.bad
        step = _Step(max(0, trial.bad - self.bad), max(0, good - self._good))
        self.bad, self._good = self.bad + step.bad, self._good + step.good
        self._usual_share = usual_share
        if any(step):
            self._steps.append(step)
        if len(self._steps) >= MAX_STEPS:
            self._steps = [
                _Step(one.bad + two.bad, one.good + two.good)
                for one, two in zip(self._steps[::2], self._steps[1::2], strict=True)
            ]
        self.score = self._compute_score() if self.decides else 0.0

    def _compute_score(self) -> float:
        score = 0.0
        for step in self._steps:
            score = max(LOWEST_SCORE, score + step.good * self._good_weight)
            score += step.bad * self._bad_weight
        return score

    @property
    def decides(self) -> bool:
        """Whether a fault would show beside the usual share of bad responses."""
        return self._usual_share <= MAX_USUAL_SHARE

    def is_trusted(self, highest: float) -> bool:
        """Tell whether the score is low enough, or the responses cannot speak at all."""
        return not self.decides or self.score <= highest

    @property
    def _fault_share(self) -> float:
        return self._usual_share + self._fault_share_of_good * (1.0 - self._usual_share)

    @property
    def _good_weight(self) -> float:
        return math.log((1.0 - self._fault_share) / (1.0 - self._usual_share))

    @property
    def _bad_weight(self) -> float:
        return math.log(self._fault_share / self._usual_share)

    def samples(self) -> int:
        """Return the number of responses after which a good version is probably trusted."""
        if not self.decides:
            return 0
        usual = self._usual_share
        mean = usual * self._bad_weight + (1.0 - usual) * self._good_weight
        return math.ceil(SAMPLING_SCORE / mean) + MORE_SAMPLES
