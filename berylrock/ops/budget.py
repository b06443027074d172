"""Rate limits: the retry budgets and the quotas of organisations."""

import collections
from typing import NamedTuple

__all__ = ["RetryBudget", "RetryLimits", "RetryUsage", "TokenBucket", "WindowBudget"]

# Retries that each request adds to the budget.
RETRY_SHARE = 0.2
# Initial and largest number of retries in the budget.
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Limits retries to a share of the requests, so that they cannot amplify an overload."""

    def __init__(self) -> None:
        self._left = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Record a request, which adds ``RETRY_SHARE`` of a retry to the budget."""
        self._left = min(MAX_SAVED_RETRIES, self._left + RETRY_SHARE)

    def take(self) -> bool:
        """Take one retry from the budget; returns whether one was left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class RetryLimits(NamedTuple):
    """Limits on the retries at a service, and the other gateways' usage of them.

    Attributes:
      ratio: Allowed retries per request.
      window_s: Length of the window, in seconds.
      extra: Additional retries that all gateways together may make in a window.
      gateways: Number of gateways that share the additional retries.
      others: Usage that the other gateways reported recently.
    """

    ratio: float
    window_s: float
    extra: float
    gateways: int
    others: "RetryUsage"


class RetryUsage(NamedTuple):
    """Numbers of requests received and retries made in the window that ends now."""

    requests: int = 0
    retries: int = 0


class WindowBudget:
    """Limits the retries at a service in any window to a share of its requests.

    The limit applies to the sum over all gateways. Without coordination, a gateway may use the
    retries for its own requests and its share of the additional ones. A gateway that needs more may
    use what the other gateways leave, according to their last reports.
    """

    OWN_SAFETY_FACTOR = 0.95
    # Smaller, because the other gateways make retries while their reports are in transit.
    SHARED_SAFETY_FACTOR = 0.82

    def __init__(self) -> None:
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def record_request(self, now: float) -> None:
        """Record a request for the service."""
        self._requests.append(now)

    def usage(self, now: float, window_s: float) -> RetryUsage:
        """Return the requests and retries in the window that ends now."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - window_s:
                times.popleft()
        return RetryUsage(len(self._requests), len(self._retries))

    def rate(self, now: float, window_s: float, others: RetryUsage) -> float:
        """Return the requests per second at all gateways.

        Args:
          now: Time in seconds.
          window_s: Length of the window, in seconds.
          others: Usage that the other gateways reported recently.

        Returns:
          The mean over the window, or since this gateway's first request if that is later.
        """
        own = self.usage(now, window_s)
        since_s = now - self._requests[0] if self._requests else window_s
        return (own.requests + others.requests) / max(1.0, min(window_s, since_s))

    def allows(self, now: float, limits: RetryLimits, reserve: float = 0.0) -> bool:
        """Tell whether a retry is allowed that keeps a reserve of the budget.

        Args:
          now: Time in seconds.
          limits: The limits.
          reserve: Share of the budget that has to remain, from 0 to 1.

        Returns:
          Whether the retry is allowed.
        """
        own, others = self.usage(now, limits.window_s), limits.others
        own_limit = limits.ratio * own.requests + limits.extra / limits.gateways
        left = 1.0 - reserve
        if own.retries + 1 <= self.OWN_SAFETY_FACTOR * own_limit * left:
            return True
        total_limit = limits.ratio * (own.requests + others.requests) + limits.extra
        return own.retries + others.retries + 1 <= self.SHARED_SAFETY_FACTOR * total_limit * left

    def take(self, now: float, limits: RetryLimits) -> bool:
        """Take one retry from the budget; returns whether one was left."""
        if not self.allows(now, limits):
            return False
        self._retries.append(now)
        return True


class TokenBucket:
    """Token bucket that allows bursts of up to one second's worth of its rate."""

    def __init__(self, now: float) -> None:
        self._at = now
        self._left: float | None = None

    def take(self, rate: float, now: float) -> bool:
        """Take one token.

        Args:
          rate: Tokens per second at which the bucket refills.
          now: Time in seconds.

        Returns:
          Whether a token was left.
        """
        burst = max(1.0, rate)
        left = burst if self._left is None else self._left
        left = min(burst, left + (now - self._at) * rate)
        self._at = now
        self._left = left - 1.0 if left >= 1.0 else left
        return left >= 1.0
