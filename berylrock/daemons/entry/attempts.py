"""One attempt as the entry process sees it: frames in order, each once, across broken paths."""

import asyncio
from typing import NamedTuple, Protocol

from berylrock.core import message

__all__ = ["Attempt", "Frame", "AttemptLost", "Sender"]

ACKNOWLEDGE_EVERY_CHUNKS = 8
ACKNOWLEDGE_EVERY_BYTES = 4096


class AttemptLost(NamedTuple):
    """The path to the sidecar broke for good; the attempt may have run."""

    detail: str


Frame = message.Chunk | message.End | message.Refused | AttemptLost


class Sender(Protocol):
    """What an attempt needs of the peer that it runs at."""

    def send(self, msg: message.Message) -> None:
        """Send a message, if the path is open."""

    def discard(self, attempt: str) -> None:
        """Drop frames of this attempt from now on."""


class Attempt:
    """One try to run a request on one backend server.

    Attributes:
      start: What was sent.
      offset: Number of pieces received in order.
    """

    def __init__(self, start: message.Start, peer: Sender) -> None:
        self.start = start
        self.offset = 0
        self._peer = peer
        self._frames: asyncio.Queue[Frame] = asyncio.Queue()
        self._unacknowledged_chunks = 0
        self._unacknowledged_bytes = 0

    def deliver(self, frame: Frame) -> bool:
        """Take a frame from the peer.

        Returns:
          Whether it was the next one; after a new attachment the tail may overlap.
        """
        if isinstance(frame, message.Chunk):
            if frame.offset != self.offset:
                return False
            self.offset += 1
        elif isinstance(frame, message.End) and frame.offset != self.offset:
            # Pieces are missing, so the answer is not whole.
            frame = AttemptLost(f"end mark at {frame.offset}, {self.offset} pieces received")
        self._frames.put_nowait(frame)
        return True

    async def next_frame(self) -> Frame:
        """Wait for the next frame."""
        return await self._frames.get()

    def acknowledge(self, chunk: message.Chunk) -> None:
        """The caller has taken a piece; let the sidecar send more."""
        self._unacknowledged_chunks += 1
        self._unacknowledged_bytes += len(chunk.data)
        if (
            self._unacknowledged_chunks >= ACKNOWLEDGE_EVERY_CHUNKS
            or self._unacknowledged_bytes >= ACKNOWLEDGE_EVERY_BYTES
        ):
            self._unacknowledged_chunks = 0
            self._unacknowledged_bytes = 0
            self._peer.send(message.Window(self.start.attempt, chunk.offset + 1))

    def close(self) -> None:
        """The attempt is of no more interest: stop it, or forget it if it has ended."""
        self._peer.discard(self.start.attempt)
        self._peer.send(message.Cancel(self.start.attempt))
