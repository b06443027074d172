"""Decides how much a backend server bears, from evidence that it is warm.

A server is held to be cold after a start of the server or of the sidecar, when its report says so,
and when first tokens come late. A server that says it is cold gets ``cold_limit`` requests at a
time; after that each prompt first token allows one more, which doubles them with each round.
"""

from berylrock.core import data

__all__ = ["WarmupTracker"]

LATE_ANSWERS_BEFORE_COLD = 3
UNBOUNDED = 100_000
UNBOUNDED_AFTER = 256


class WarmupTracker:
    """The evidence for one backend server."""

    def __init__(self, pool: data.Pool | None = None) -> None:
        """Start cold; ``pool`` may follow with the first document."""
        self.pool = pool
        self._prompt_answers = 0
        self._late_answers = 0
        self._reported_cold = False

    @property
    def cold(self) -> bool:
        """Whether the server is in cold start."""
        if self.pool is None or self._reported_cold:
            return True
        return self._prompt_answers < self.pool.warm_after

    @property
    def first_token_limit(self) -> int:
        """Most requests that may wait for their first token at a time.

        It holds for warm servers too: one that turned cold without warning answers late, and so
        gets no more than this until its first tokens or its report tell.
        """
        return self.pool.cold_limit if self.pool is not None else 0

    @property
    def concurrency_limit(self) -> int:
        """Most requests that the server may hold now."""
        if self.pool is None:
            return 0
        if self._reported_cold:
            return self.pool.cold_limit
        if self._prompt_answers >= UNBOUNDED_AFTER:
            return UNBOUNDED
        return self.pool.cold_limit + self._prompt_answers

    def reset(self) -> None:
        """Forget all evidence, for example after a restart of the server."""
        self._prompt_answers = 0
        self._late_answers = 0

    def record_report(self, cold: bool) -> None:
        """Take the server's own word."""
        if cold and not self._reported_cold:
            self.reset()
        self._reported_cold = cold

    def record_first_token(self, seconds: float) -> None:
        """Take the time to a first token, or to the answer of a plain call."""
        if self.pool is None:
            return
        if seconds <= self.pool.warm_first_token_seconds:
            self._late_answers = 0
            self._prompt_answers += 1
            return
        self._late_answers += 1
        if self._late_answers >= LATE_ANSWERS_BEFORE_COLD:
            self.reset()
