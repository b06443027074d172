"""Rate-limited log handler for standard output that never blocks.

Lines that exceed the rate limit, and lines that the reader does not consume, are dropped and
counted. The event ``log_dropped`` reports how many lines were dropped.
"""

import logging
import os
import time

__all__ = ["RateLimitedHandler"]

DEFAULT_LINES_PER_S = 400.0
BURST_LINES = 2000.0
MAX_PENDING_BYTES = 262_144


class RateLimitedHandler(logging.Handler):
    """Log handler that writes to a file descriptor, which it sets to non-blocking mode.

    Attributes:
      dropped: Number of lines dropped since the start.
    """

    def __init__(self, descriptor: int = 1, lines_per_s: float = DEFAULT_LINES_PER_S) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines_per_s = lines_per_s
        self._tokens = BURST_LINES
        self._refilled_at = time.monotonic()
        self._pending = b""
        self._reported_dropped = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or count it as dropped."""
        if self._pending:
            self._write(b"")
        if not self._take_token() or len(self._pending) > MAX_PENDING_BYTES:
            self.dropped += 1
            return
        text = self.format(record) + "\n"
        if self.dropped > self._reported_dropped:
            text = f"event=log_dropped lines={self.dropped - self._reported_dropped}\n{text}"
            self._reported_dropped = self.dropped
        self._write(text.encode())

    def _take_token(self) -> bool:
        now = time.monotonic()
        self._tokens = min(
            BURST_LINES, self._tokens + (now - self._refilled_at) * self._lines_per_s
        )
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _write(self, data: bytes) -> None:
        self._pending += data
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            # The reader is slow. The rest is written together with a later line.
            return
        except OSError:
            # Nobody reads the output any more, so there is nowhere to report the error.
            self._pending = b""
            return
        self._pending = self._pending[written:]
