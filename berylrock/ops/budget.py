"""Limits on rates: the retry budgets and the quotas of organisations."""

import collections
from typing import NamedTuple

__all__ = ["RetryBudget", "RetryLimits", "RetryUsage", "TokenBucket", "WindowBudget"]

RETRY_SHARE = 0.2
RETRY_RESERVE = 20.0


class RetryBudget:
    """Lets retries be a share of traffic, so that they cannot multiply an overload."""

    def __init__(self) -> None:
        self._left = RETRY_RESERVE

    def note_request(self) -> None:
        """A request came in; it earns a share of a retry."""
        self._left = min(RETRY_RESERVE, self._left + RETRY_SHARE)

    def take(self) -> bool:
        """Spend one retry; returns whether there was one."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class RetryLimits(NamedTuple):
    """Bounds on the repeats at a service, and what the other gateways have made of them.

    Attributes:
      ratio: Repeats allowed for each request.
      window_s: The window.
      extra: Repeats that all gateways together may make on top in a window.
      gateways: Gateways that share them.
      others: What the other gateways said a moment ago.
    """

    ratio: float
    window_s: float
    extra: float
    gateways: int
    others: "RetryUsage"


class RetryUsage(NamedTuple):
    """Requests that came, and repeats that were made, in the window that ends now."""

    requests: int = 0
    retries: int = 0


class WindowBudget:
    """Bounds the repeats at a service in any window, as a share of its requests.

    The bound is a sum over all gateways. Each may use what follows from its own requests, with its
    part of what is allowed on top, without asking anybody. One that needs more may use what the
    others leave, by what they said a moment ago.
    """

    OWN_SAFETY = 0.95
    # The others go on while their word is on its way.
    SHARED_SAFETY = 0.82

    def __init__(self) -> None:
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def note_request(self, now: float) -> None:
        """A request for the service came in."""
        self._requests.append(now)

    def usage(self, now: float, window_s: float) -> RetryUsage:
        """What came and was repeated in the window that ends now."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - window_s:
                times.popleft()
        return RetryUsage(len(self._requests), len(self._retries))

    def allows(self, now: float, limits: RetryLimits, reserve: float = 0.0) -> bool:
        """Tell whether a repeat could be made that leaves a share of the budget to others.

        Args:
          now: Time in seconds.
          limits: The bounds.
          reserve: Share of the budget that has to be left, 0 to 1.

        Returns:
          Whether there is one.
        """
        own, others = self.usage(now, limits.window_s), limits.others
        part = limits.ratio * own.requests + limits.extra / limits.gateways
        left = 1.0 - reserve
        if own.retries + 1 <= self.OWN_SAFETY * part * left:
            return True
        whole = limits.ratio * (own.requests + others.requests) + limits.extra
        return own.retries + others.retries + 1 <= self.SHARED_SAFETY * whole * left

    def take(self, now: float, limits: RetryLimits) -> bool:
        """Spend one repeat; returns whether there was one."""
        if not self.allows(now, limits):
            return False
        self._retries.append(now)
        return True


class TokenBucket:
    """Lets through a rate with bursts of up to one second's worth."""

    def __init__(self, now: float) -> None:
        self._at = now
        self._left: float | None = None

    def take(self, rate: float, now: float) -> bool:
        """Spend one; returns whether there was one.

        Args:
          rate: Rate per second at which it refills.
          now: Time in seconds.
        """
        burst = max(1.0, rate)
        left = burst if self._left is None else self._left
        left = min(burst, left + (now - self._at) * rate)
        self._at = now
        self._left = left - 1.0 if left >= 1.0 else left
        return left >= 1.0
