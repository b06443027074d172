"""One attempt as the sidecar runs it, with a bounded buffer of unacknowledged answer chunks.

The buffer serves two purposes. An entry process whose connection broke attaches again and receives
the chunks that it missed. If an entry process stops reading, the full buffer blocks the run,
which fails when the wait times out.
"""

import asyncio
import collections

from berylrock.core import message
from berylrock.ops import buffering
from berylrock.wire import link

__all__ = ["ReaderStalled", "Run"]

MAX_BUFFERED_CHUNKS = 32
MAX_BUFFERED_BYTES = 16_384


class ReaderStalled(Exception):
    """Raised when the buffer stayed full because the entry process stopped reading."""


class Run:
    """One attempt.

    Attributes:
      start: The request.
      owner: Name of the entry process that sent the request.
      link: The connection to the entry process; None while it is broken.
      end: The last frame, once the run has ended.
      task: The task that runs the attempt.
      started_at: Event-loop time at which the run started.
      detached_at: Event-loop time at which the connection broke.
      hold: Counts the bytes of its answer that are kept; None if they are not counted.
    """

    def __init__(self, start: message.Start, owner: str, conn: link.Link, now: float) -> None:
        self.start = start
        self.owner = owner
        self.link: link.Link | None = conn
        self.end: message.End | message.Refused | None = None
        self.task: asyncio.Task[None] | None = None
        self.started_at = now
        self.detached_at = now
        self.hold: buffering.Hold | None = None
        self._buffer: collections.deque[message.Chunk] = collections.deque()
        self._buffered_bytes = 0
        self._next_offset = 0
        self._space_freed = asyncio.Event()

    @property
    def offset(self) -> int:
        """Number of chunks so far."""
        return self._next_offset

    async def put(self, data: bytes, stall_seconds: float) -> None:
        """Append a chunk to the answer; waits while the buffer of a repeatable request is full.

        Args:
          data: Bytes of the chunk.
          stall_seconds: Longest wait for the entry process to acknowledge chunks.

        Raises:
          ReaderStalled: The buffer stayed full for that time.
        """
        bounded = self.start.repeatable
        while bounded and (
            len(self._buffer) >= MAX_BUFFERED_CHUNKS or self._buffered_bytes >= MAX_BUFFERED_BYTES
        ):
            self._space_freed.clear()
            try:
                async with asyncio.timeout(stall_seconds):
                    await self._space_freed.wait()
            except TimeoutError as exc:
                raise ReaderStalled from exc
        chunk = message.Chunk(self.start.attempt, self._next_offset, data)
        self._next_offset += 1
        self._buffer.append(chunk)
        self._buffered_bytes += len(data)
        if self.link is not None:
            self.link.send(chunk)

    def acknowledge(self, offset: int) -> None:
        """Discard the chunks below ``offset``, which the entry process has received."""
        if not self.start.repeatable:
            return
        while self._buffer and self._buffer[0].offset < offset:
            self._buffered_bytes -= len(self._buffer.popleft().data)
        self._space_freed.set()

    def attach(self, conn: link.Link, offset: int) -> None:
        """Continue on another connection.

        Args:
          conn: The connection.
          offset: The first chunk that the entry process has not received.
        """
        self.link = conn
        self.acknowledge(offset)
        for chunk in self._buffer:
            if chunk.offset >= offset:
                conn.send(chunk)
        if self.end is not None:
            conn.send(self.end)

    def detach(self, now: float) -> None:
        """Continue without a connection, after it broke.

        Args:
          now: Event-loop time.
        """
        self.link = None
        self.detached_at = now

    def finish(self, end: message.End | message.Refused) -> None:
        """Store the last frame, and send it if there is a connection."""
        self.end = end
        if self.link is not None:
            self.link.send(end)

    def discard(self) -> None:
        """Cancel what still runs, and return the memory of its answer."""
        if self.task is not None:
            self.task.cancel()
        if self.hold is not None:
            self.hold.release()

    def body(self) -> bytes:
        """Return the whole answer of a request that runs at most once; its buffer is unbounded."""
        return b"".join(chunk.data for chunk in self._buffer)
