"""Finds a version that turned bad while serving, by a cumulative sum over ratings and errors.

Each rating adds how far it falls short of what the document expects, less half the drop that
matters; the sum never goes below zero. It crosses the threshold soon after a real drop, however
long the version was good before. The threshold follows the spread of all ratings, so that a noisy
rating service raises no false alarms and a steady one is believed after two bad ratings.
"""

import math

from berylrock.core import data

__all__ = ["HealthMonitor", "RatingSpread", "VersionHealth", "expected_quality", "find_version"]

SIGNIFICANT_DROP = 0.2
MIN_THRESHOLD = 0.8
# A sum of steps with this drift and variance crosses the threshold by chance with
# exp(-FALSE_ALARM_EXPONENT).
FALSE_ALARM_EXPONENT = 12.0
INITIAL_VARIANCE = 0.04
MIN_RATINGS = 30
MIN_SMOOTHING_FACTOR = 0.02
EXPECTED_ERROR_RATE = 0.05
SIGNIFICANT_ERROR_RATE = 0.5
ERROR_THRESHOLD = 3.0


class RatingSpread:
    """How much ratings vary around what the document expects, over all versions.

    Attributes:
      ratings: Ratings seen.
      variance: Variance of one rating from the one before, halved.
    """

    def __init__(self) -> None:
        self.ratings = 0
        self.variance = INITIAL_VARIANCE

    def record(self, step: float) -> None:
        """Take the difference between two ratings of one version that follow each other.

        A lasting drop shows in one difference only, so it does not raise the threshold.
        """
        self.ratings += 1
        share = max(MIN_SMOOTHING_FACTOR, 1.0 / (self.ratings + 1))
        self.variance += share * (step * step / 2.0 - self.variance)

    @property
    def threshold(self) -> float:
        """The sum at which a version counts as bad."""
        variance = self.variance
        if self.ratings < MIN_RATINGS:
            variance = max(variance, INITIAL_VARIANCE)
        return max(MIN_THRESHOLD, FALSE_ALARM_EXPONENT * variance / SIGNIFICANT_DROP)


class VersionHealth:
    """The evidence against one version.

    Attributes:
      ratings: Ratings seen.
      rating_sum: Evidence that its ratings dropped.
      error_sum: Evidence that it fails.
    """

    def __init__(self, spread: RatingSpread) -> None:
        self._spread = spread
        self._last = math.nan
        self.ratings = 0
        self.rating_sum = 0.0
        self.error_sum = 0.0

    def record_rating(self, rating: float, expected: float) -> None:
        """Take a rating, and what the document expects for its kind of request."""
        shortfall = expected - rating
        if not math.isnan(self._last):
            self._spread.record(shortfall - self._last)
        self._last = shortfall
        self.ratings += 1
        self.rating_sum = max(0.0, self.rating_sum + shortfall - SIGNIFICANT_DROP / 2)

    def record_result(self, failed: bool) -> None:
        """Take whether an answer of this version ended in an error."""
        middle = (EXPECTED_ERROR_RATE + SIGNIFICANT_ERROR_RATE) / 2
        self.error_sum = max(0.0, self.error_sum + (1.0 if failed else 0.0) - middle)

    def describe(self) -> str:
        """The evidence if the version is bad, or an empty text."""
        if self.rating_sum >= self._spread.threshold:
            return f"ratings fell short: sum {self.rating_sum:.2f} after {self.ratings} ratings"
        if self.error_sum >= ERROR_THRESHOLD:
            return f"answers failed: sum {self.error_sum:.2f}"
        return ""


class HealthMonitor:
    """The evidence by version, as one process knows it."""

    def __init__(self) -> None:
        self._spread = RatingSpread()
        self._health: dict[str, VersionHealth] = {}

    def find(self, version_id: str) -> VersionHealth:
        """The evidence for a version."""
        if version_id not in self._health:
            self._health[version_id] = VersionHealth(self._spread)
        return self._health[version_id]

    def record_rating(self, doc: data.Document, version_id: str, kind: str, rating: float) -> None:
        """Take a rating of an answer; ignores versions that are no longer listed."""
        found = find_version(doc, version_id)
        if found is not None:
            self.find(version_id).record_rating(rating, expected_quality(found, kind))

    def find_bad(self) -> dict[str, str]:
        """The versions found bad, and the evidence."""
        found = {name: health.describe() for name, health in self._health.items()}
        return {name: text for name, text in found.items() if text}


def find_version(doc: data.Document, version_id: str) -> data.Version | None:
    """Find a version in a document by its ``model@version``."""
    for model in doc.models:
        for version in model.versions:
            if f"{model.name}@{version.name}" == version_id:
                return version
    return None


def expected_quality(version: data.Version, kind: str) -> float:
    """The rating that the document expects of a version for a kind of request."""
    return version.quality.get(kind, version.quality[data.DEFAULT_KIND])
