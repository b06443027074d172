"""Limits the concurrent requests of a backend server while it warms up.

A server counts as cold after it or its sidecar starts, when its load report says so, and after
several late first tokens in a row. A server that reports itself cold gets ``cold_limit`` requests
at a time. After that each first token in time raises the limit by one, so the limit doubles with
each round of requests.
"""

from berylrock.core import data

__all__ = ["WarmupTracker"]

# Late first tokens in a row after which a server counts as cold again.
LATE_ANSWERS_TO_COLD = 3
UNLIMITED = 100_000
# First tokens in time after which the number of requests is no longer limited.
ANSWERS_TO_UNLIMITED = 256


class WarmupTracker:
    """Tracks whether one backend server is warm, and the limits that follow from it."""

    def __init__(self, pool: data.Pool | None = None) -> None:
        """Start with a cold server.

        Args:
          pool: The server's pool; None until the first configuration document arrives.
        """
        self.pool = pool
        self._timely_answers = 0
        self._late_answers = 0
        self._reported_cold = False

    @property
    def cold(self) -> bool:
        """Whether the server is in cold start."""
        if self.pool is None or self._reported_cold:
            return True
        return self._timely_answers < self.pool.warm_after

    @property
    def first_token_limit(self) -> int:
        """Maximum number of requests that may wait for their first token at a time.

        The limit applies to warm servers too: a server that turned cold without notice answers
        late, and so gets no more requests than this until its first tokens or its load report show
        that it is cold.
        """
        return self.pool.cold_limit if self.pool is not None else 0

    @property
    def concurrency_limit(self) -> int:
        """Maximum number of requests that the server may run now."""
        if self.pool is None:
            return 0
        if self._reported_cold:
            return self.pool.cold_limit
        if self._timely_answers >= ANSWERS_TO_UNLIMITED:
            return UNLIMITED
        return self.pool.cold_limit + self._timely_answers

    def reset(self) -> None:
        """Discard all recorded first tokens, for example after a restart of the server."""
        self._timely_answers = 0
        self._late_answers = 0

    def record_report(self, cold: bool) -> None:
        """Record whether the server's load report says that it is cold."""
        if cold and not self._reported_cold:
            self.reset()
        self._reported_cold = cold

    def record_first_token(self, seconds: float) -> None:
        """Record a time to first token.

        Args:
          seconds: Time to the first token, or to the answer of a plain service's call.
        """
        if self.pool is None:
            return
        if seconds <= self.pool.warm_first_token_seconds:
            self._late_answers = 0
            self._timely_answers += 1
            return
        self._late_answers += 1
        if self._late_answers >= LATE_ANSWERS_TO_COLD:
            self.reset()
