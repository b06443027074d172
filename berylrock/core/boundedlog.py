"""A log handler for standard output that never blocks and bounds its volume.

Lines over the rate, and lines that the reader does not take, are dropped and counted; a line
``log_dropped`` tells how many.
"""

import logging
import os
import time

__all__ = ["RateLimitedHandler"]

LINES_PER_S = 400.0
BURST_LINES = 2000.0
PENDING_BYTES = 262_144


class RateLimitedHandler(logging.Handler):
    """Writes lines to a descriptor that was made non-blocking.

    Attributes:
      dropped: Lines dropped since the start.
    """

    def __init__(self, descriptor: int = 1, lines_per_s: float = LINES_PER_S) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._rate = lines_per_s
        self._left = BURST_LINES
        self._at = time.monotonic()
        self._pending = b""
        self._reported = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if self._pending:
            self._write(b"")
        if not self._allowed() or len(self._pending) > PENDING_BYTES:
            self.dropped += 1
            return
        text = self.format(record) + "\n"
        if self.dropped > self._reported:
            text = f"event=log_dropped lines={self.dropped - self._reported}\n{text}"
            self._reported = self.dropped
        self._write(text.encode())

    def _allowed(self) -> bool:
        now = time.monotonic()
        self._left = min(BURST_LINES, self._left + (now - self._at) * self._rate)
        self._at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True

    def _write(self, data: bytes) -> None:
        self._pending += data
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            # The reader is slow; the rest is written with a later line.
            return
        except OSError:
            # Nobody reads any more: there is nowhere left to report it.
            self._pending = b""
            return
        self._pending = self._pending[written:]
