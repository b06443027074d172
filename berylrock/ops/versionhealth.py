"""Detects versions that become bad while serving, by cumulative sums (CUSUM) of ratings and errors.

Each rating adds its shortfall from the rating that the document expects, less half the significant
drop; the sum never goes below zero. It therefore crosses the threshold soon after a real drop,
however long the version was good before. The threshold grows with the variance of all ratings: a
noisy rating service raises no false alarms, and with a steady one two bad ratings are enough.
"""

import math

from berylrock.core import data

__all__ = ["HealthMonitor", "RatingSpread", "VersionHealth", "expected_quality", "find_version"]

SIGNIFICANT_DROP = 0.2
MIN_THRESHOLD = 0.8
# While a version is good, the sum crosses the threshold by chance with a probability of
# exp(-FALSE_ALARM_EXPONENT), given the drift and the variance of its steps.
FALSE_ALARM_EXPONENT = 12.0
INITIAL_VARIANCE = 0.04
MIN_RATINGS = 30
MIN_SMOOTHING_FACTOR = 0.02
EXPECTED_ERROR_RATE = 0.05
SIGNIFICANT_ERROR_RATE = 0.5
ERROR_THRESHOLD = 3.0


class RatingSpread:
    """Estimates the variance of ratings around their expected values, over all versions.

    Attributes:
      ratings: Number of differences recorded.
      variance: Smoothed mean of half the squared difference between successive ratings.
    """

    def __init__(self) -> None:
        self.ratings = 0
        self.variance = INITIAL_VARIANCE

    def record(self, step: float) -> None:
        """Record the difference between two successive ratings of one version.

        A lasting drop appears in only one difference, so it does not raise the threshold.
        """
        self.ratings += 1
        factor = max(MIN_SMOOTHING_FACTOR, 1.0 / (self.ratings + 1))
        self.variance += factor * (step * step / 2.0 - self.variance)

    @property
    def threshold(self) -> float:
        """Sum of shortfalls at which a version counts as bad."""
        variance = self.variance
        if self.ratings < MIN_RATINGS:
            variance = max(variance, INITIAL_VARIANCE)
        return max(MIN_THRESHOLD, FALSE_ALARM_EXPONENT * variance / SIGNIFICANT_DROP)


class VersionHealth:
    """Ratings and errors of one version.

    Attributes:
      ratings: Number of ratings recorded.
      rating_sum: Cumulative sum of its ratings' shortfalls.
      error_sum: Cumulative sum of its errors.
    """

    def __init__(self, spread: RatingSpread) -> None:
        self._spread = spread
        self._last_shortfall = math.nan
        self.ratings = 0
        self.rating_sum = 0.0
        self.error_sum = 0.0

    def record_rating(self, rating: float, expected: float) -> None:
        """Record a rating.

        Args:
          rating: The rating, 0 to 1.
          expected: The rating that the document expects for the kind of request, 0 to 1.
        """
        shortfall = expected - rating
        if not math.isnan(self._last_shortfall):
            self._spread.record(shortfall - self._last_shortfall)
        self._last_shortfall = shortfall
        self.ratings += 1
        self.rating_sum = max(0.0, self.rating_sum + shortfall - SIGNIFICANT_DROP / 2)

    def record_result(self, failed: bool) -> None:
        """Record whether an answer of this version ended in an error."""
        allowance = (EXPECTED_ERROR_RATE + SIGNIFICANT_ERROR_RATE) / 2
        self.error_sum = max(0.0, self.error_sum + (1.0 if failed else 0.0) - allowance)

    def describe(self) -> str:
        """Describe why the version counts as bad; empty if it does not."""
        if self.rating_sum >= self._spread.threshold:
            return f"ratings fell short: sum {self.rating_sum:.2f} after {self.ratings} ratings"
        if self.error_sum >= ERROR_THRESHOLD:
            return f"answers failed: sum {self.error_sum:.2f}"
        return ""


class HealthMonitor:
    """Health of all versions, from the ratings and errors that one process has recorded."""

    def __init__(self) -> None:
        self._spread = RatingSpread()
        self._health: dict[str, VersionHealth] = {}

    def find(self, version_id: str) -> VersionHealth:
        """Return the health of a version; creates its entry if there is none."""
        if version_id not in self._health:
            self._health[version_id] = VersionHealth(self._spread)
        return self._health[version_id]

    def record_rating(self, doc: data.Document, version_id: str, kind: str, rating: float) -> None:
        """Record a rating of an answer; ignores versions that the document no longer lists."""
        found = find_version(doc, version_id)
        if found is not None:
            self.find(version_id).record_rating(rating, expected_quality(found, kind))

    def find_bad(self) -> dict[str, str]:
        """Return the versions that count as bad, each with the reason."""
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
    """Return the rating that the document expects of a version for a kind of request."""
    return version.quality.get(kind, version.quality[data.DEFAULT_KIND])
