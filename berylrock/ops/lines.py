"""Splits received bytes into lines, with limits on an incomplete one.

Scenario: an engine sends a line without end. Each byte is searched once, and the line is given up
at its limit, or when the memory for all of them is taken.
"""

from berylrock.core import errors
from berylrock.ops import buffering

__all__ = ["LineSplitter", "LineTooLong"]

LINE_END = b"\n"


class LineTooLong(errors.BerylrockError):
    """A line is longer than its limit; check the server that sends it."""


class LineSplitter:
    """Collects bytes until lines are complete."""

    def __init__(self, hold: buffering.Hold, max_bytes: int) -> None:
        """Create a splitter without bytes.

        Args:
          hold: Counts the bytes of the incomplete line.
          max_bytes: Most bytes of an incomplete line.
        """
        self._hold = hold
        self._max_bytes = max_bytes
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes that have arrived.

        Returns:
          The lines that they complete, without their ends.

        Raises:
          LineTooLong: The incomplete line is longer than the limit.
          BodyGivenUp: There is no memory for the incomplete line.
        """
        if LINE_END not in data:
            self._rest += data
            self._check()
            return []
        first, *lines = data.split(LINE_END)
        lines.insert(0, bytes(self._rest) + first)
        self._rest[:] = lines.pop()
        self._check()
        return lines

    def _check(self) -> None:
        if len(self._rest) > self._max_bytes:
            raise LineTooLong(f"line without end after {self._max_bytes} bytes")
        self._hold.resize(len(self._rest))

    def close(self) -> None:
        """Return the bytes of an incomplete line."""
        self._hold.release()
        self._rest.clear()
