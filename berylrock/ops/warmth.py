"""Decides how much a backend server bears, from evidence that it is warm.

A server is held to be cold after a start of the server or of the sidecar, when its report says so,
and when first tokens come late. A cold server gets ``cold_limit`` requests at a time; each
``warm_after`` prompt answers double that.
"""

from berylrock.core import data

__all__ = ["Warmth"]

LATE_ANSWERS_TO_COLD = 3
UNBOUNDED = 100_000
MAX_DOUBLINGS = 8


class Warmth:
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
    def allowance(self) -> int:
        """Most requests that the server may hold now."""
        if self.pool is None:
            return 0
        if self.cold:
            return self.pool.cold_limit
        doublings = self._prompt_answers // max(1, self.pool.warm_after)
        if doublings >= MAX_DOUBLINGS:
            return UNBOUNDED
        return self.pool.cold_limit * 2**doublings

    def reset(self) -> None:
        """Forget all evidence, for example after a restart of the server."""
        self._prompt_answers = 0
        self._late_answers = 0

    def note_report(self, cold: bool) -> None:
        """Take the server's own word."""
        if cold and not self._reported_cold:
            self.reset()
        self._reported_cold = cold

    def note_first_token(self, seconds: float) -> None:
        """Take the time to a first token, or to the answer of a plain call."""
        if self.pool is None:
            return
        if seconds <= self.pool.warm_first_token_seconds:
            self._late_answers = 0
            if not self._reported_cold:
                self._prompt_answers += 1
            return
        self._late_answers += 1
        if self._late_answers >= LATE_ANSWERS_TO_COLD:
            self.reset()
