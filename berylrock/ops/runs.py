"""One attempt as the sidecar runs it: a bounded tail of the answer that survives a broken path.

The tail serves two ends. A reader whose connection broke attaches again and gets what it missed; a
reader who does not read stops the run once the tail is full.
"""

import asyncio
import collections

from berylrock.core import message
from berylrock.wire import link

__all__ = ["ReaderStalled", "Run"]

MAX_BUFFERED_CHUNKS = 32
MAX_BUFFERED_BYTES = 16_384


class ReaderStalled(Exception):
    """The reader took nothing for too long."""


class Run:
    """One attempt.

    Attributes:
      start: The request.
      owner: Name of the entry process that sent it.
      link: The connection on which its frames go; None while the path is broken.
      end: The last frame, once the run has ended.
      task: The task that runs it.
      detached_at: Event-loop time at which the path broke.
    """

    def __init__(self, start: message.Start, owner: str, conn: link.Link, now: float) -> None:
        self.start = start
        self.owner = owner
        self.link: link.Link | None = conn
        self.end: message.End | message.Refused | None = None
        self.task: asyncio.Task[None] | None = None
        self.started_at = now
        self.detached_at = now
        self._tail: collections.deque[message.Chunk] = collections.deque()
        self._tail_bytes = 0
        self._next = 0
        self._room = asyncio.Event()

    @property
    def offset(self) -> int:
        """Number of pieces so far."""
        return self._next

    async def put(self, data: bytes, stall_seconds: float) -> None:
        """Add a piece to the answer.

        Args:
          data: The piece.
          stall_seconds: Longest wait for a reader who does not read.

        Raises:
          ReaderStalled: The tail stayed full.
        """
        bounded = self.start.repeatable
        while bounded and (
            len(self._tail) >= MAX_BUFFERED_CHUNKS or self._tail_bytes >= MAX_BUFFERED_BYTES
        ):
            self._room.clear()
            try:
                async with asyncio.timeout(stall_seconds):
                    await self._room.wait()
            except TimeoutError as exc:
                raise ReaderStalled from exc
        chunk = message.Chunk(self.start.attempt, self._next, data)
        self._next += 1
        self._tail.append(chunk)
        self._tail_bytes += len(data)
        if self.link is not None:
            self.link.send(chunk)

    def acknowledge(self, offset: int) -> None:
        """The reader has all pieces below ``offset``."""
        if not self.start.repeatable:
            return
        while self._tail and self._tail[0].offset < offset:
            self._tail_bytes -= len(self._tail.popleft().data)
        self._room.set()

    def attach(self, conn: link.Link, offset: int) -> None:
        """Continue on a connection from a piece onwards."""
        self.link = conn
        self.acknowledge(offset)
        for chunk in self._tail:
            if chunk.offset >= offset:
                conn.send(chunk)
        if self.end is not None:
            conn.send(self.end)

    def detach(self, now: float) -> None:
        """The path broke."""
        self.link = None
        self.detached_at = now

    def finish(self, end: message.End | message.Refused) -> None:
        """Note and send the last frame."""
        self.end = end
        if self.link is not None:
            self.link.send(end)

    def body(self) -> bytes:
        """All pieces of an answer that runs at most once; its tail is kept whole."""
        return b"".join(chunk.data for chunk in self._tail)
