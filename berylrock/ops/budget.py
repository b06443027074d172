"""Limits on rates: the retry budget and the quotas of organisations."""

__all__ = ["RetryBudget", "TokenBucket"]

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
