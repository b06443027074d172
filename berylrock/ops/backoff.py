"""Computes the pauses between attempts at something that fails repeatedly."""

__all__ = ["Backoff"]


class Backoff:
    """Doubles the pause after each failure, up to a limit."""

    def __init__(self, first_s: float, limit_s: float) -> None:
        self._first_s = first_s
        self._limit_s = limit_s
        self._next_s = first_s

    def next_pause_s(self) -> float:
        """Return the pause in seconds after another failure."""
        pause_s = self._next_s
        self._next_s = min(self._limit_s, 2.0 * pause_s)
        return pause_s

    def reset(self) -> None:
        """Begin with the first pause again, after a success."""
        self._next_s = self._first_s
