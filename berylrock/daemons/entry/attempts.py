"""Tracks one attempt in the entry process.

Delivers each frame of the sidecar exactly once and in order, even if the connection breaks and is
re-established.
"""

import asyncio
from typing import NamedTuple, Protocol

from berylrock.core import message

__all__ = ["Attempt", "Frame", "AttemptLost", "AttemptTransport"]

ACKNOWLEDGE_EVERY_CHUNKS = 8
ACKNOWLEDGE_EVERY_BYTES = 4096


class AttemptLost(NamedTuple):
    """Takes the place of the last frame if an attempt cannot be continued.

    The backend server may have run the request.

    Attributes:
      detail: Why the attempt was lost.
    """

    detail: str


Frame = message.Chunk | message.End | message.Refused | AttemptLost


class AttemptTransport(Protocol):
    """The connection to the backend server on which an attempt sends its messages."""

    def send(self, msg: message.Message) -> None:
        """Send a message if the connection is open."""

    def discard(self, attempt: str) -> None:
        """Ignore all further frames of an attempt, given its id."""


class Attempt:
    """One attempt to run a request on one backend server.

    Attributes:
      start: The message that started the attempt.
      offset: Number of chunks received in order.
    """

    def __init__(self, start: message.Start, transport: AttemptTransport) -> None:
        self.start = start
        self.offset = 0
        self._transport = transport
        self._frames: asyncio.Queue[Frame] = asyncio.Queue()
        self._unacknowledged_chunks = 0
        self._unacknowledged_bytes = 0

    def deliver(self, frame: Frame) -> bool:
        """Queue a frame received from the backend server.

        Args:
          frame: The frame. An ``End`` frame whose offset is not the number of chunks received is
            replaced by ``AttemptLost``.

        Returns:
          False if the frame is a chunk out of sequence, which is dropped: after a reattachment
          the sidecar may send chunks that have been received before.
        """
        if isinstance(frame, message.Chunk):
            if frame.offset != self.offset:
                return False
            self.offset += 1
        elif isinstance(frame, message.End) and frame.offset != self.offset:
            # Chunks are missing, so the answer is incomplete.
            frame = AttemptLost(
                f"end frame at offset {frame.offset}, {self.offset} chunks received"
            )
        self._frames.put_nowait(frame)
        return True

    async def next_frame(self) -> Frame:
        """Wait for the next frame and return it."""
        return await self._frames.get()

    def acknowledge(self, chunk: message.Chunk) -> None:
        """Record that the caller has taken a chunk.

        Sends the sidecar a ``Window`` message, which lets it send more, each time
        ``ACKNOWLEDGE_EVERY_CHUNKS`` chunks or ``ACKNOWLEDGE_EVERY_BYTES`` bytes have been taken.
        """
        self._unacknowledged_chunks += 1
        self._unacknowledged_bytes += len(chunk.data)
        if (
            self._unacknowledged_chunks >= ACKNOWLEDGE_EVERY_CHUNKS
            or self._unacknowledged_bytes >= ACKNOWLEDGE_EVERY_BYTES
        ):
            self._unacknowledged_chunks = 0
            self._unacknowledged_bytes = 0
            self._transport.send(message.Window(self.start.attempt, chunk.offset + 1))

    def close(self) -> None:
        """Ignore the attempt's further frames and tell the sidecar to cancel or discard it."""
        self._transport.discard(self.start.attempt)
        self._transport.send(message.Cancel(self.start.attempt))
