"""Readers of sockets, which limit what they buffer and tell a close in order from a broken one.

They stop reading from the socket until the buffered data has been processed.
"""

import asyncio
from typing import NamedTuple

__all__ = ["DEFAULT_OPTIONS", "ConnectionOptions", "DirectReader", "Reader", "open_reader"]

READ_BYTES = 16_384
MAX_BUFFERED_BYTES = 65_536


class Reader:
    """Reader of a socket in the background, which detects at once when the peer disconnects.

    Attributes:
      ended: Set once the peer has closed the connection or the connection broke.
      broken: Whether the connection ended by a reset or an error instead of a normal close.
    """

    def __init__(self, stream: asyncio.StreamReader) -> None:
        self._stream = stream
        self._received = bytearray()
        self._state_changed = asyncio.Event()
        self.ended = asyncio.Event()
        self.broken = False
        self._task = asyncio.create_task(self._read_loop())

    async def _read_loop(self) -> None:
        try:
            while True:
                data = await self._stream.read(READ_BYTES)
                if not data:
                    break
                self._received += data
                self._state_changed.set()
                while len(self._received) > MAX_BUFFERED_BYTES:
                    await asyncio.sleep(0.01)
        except (OSError, asyncio.IncompleteReadError):
            self.broken = True
        self.ended.set()
        self._state_changed.set()

    @property
    def has_ended(self) -> bool:
        """Whether the peer has closed the connection, as far as that has arrived."""
        return self.ended.is_set() or self._stream.at_eof()

    @property
    def has_data(self) -> bool:
        """Whether received bytes are waiting to be read."""
        return bool(self._received)

    async def wait(self) -> None:
        """Wait until data has arrived or the connection has ended."""
        while not self._received and not self.ended.is_set():
            self._state_changed.clear()
            await self._state_changed.wait()

    async def read(self) -> bytes:
        """Wait for data and return all that has arrived; empty once the connection has ended."""
        await self.wait()
        data = bytes(self._received)
        self._received.clear()
        return data

    def close(self) -> None:
        """Stop reading from the socket."""
        self._task.cancel()


class DirectReader:
    """Reader of a socket that reads when it is asked to, which takes less time for small pieces.

    Attributes:
      ended: Set once the peer was found to have closed the connection, or it broke.
      broken: Whether the connection ended by a reset or an error instead of a normal close.
    """

    def __init__(self, stream: asyncio.StreamReader) -> None:
        self._stream = stream
        self.ended = asyncio.Event()
        self.broken = False

    @property
    def has_data(self) -> bool:
        """Whether received bytes are waiting to be read, as far as is known."""
        return False

    async def read(self) -> bytes:
        """Wait for data and return it; empty once the connection has ended."""
        try:
            data = await self._stream.read(READ_BYTES)
        except (OSError, asyncio.IncompleteReadError):
            self.broken, data = True, b""
        if not data:
            self.ended.set()
        return data

    def close(self) -> None:
        """Stop reading from the socket."""


class ConnectionOptions(NamedTuple):
    """How a client connection reads from its socket.

    Attributes:
      receive_buffer_bytes: Size of the socket's receive buffer; 0 for the system's default.
      reads_ahead: Whether it reads in the background, and so knows at once that the peer has
        disconnected, also while no response is due.
    """

    receive_buffer_bytes: int = 0
    reads_ahead: bool = True

    @property
    def limit_bytes(self) -> int:
        """Bytes that the stream below the reader may hold before it stops reading."""
        return MAX_BUFFERED_BYTES if self.reads_ahead else READ_BYTES


DEFAULT_OPTIONS = ConnectionOptions()


def open_reader(stream: asyncio.StreamReader, options: ConnectionOptions) -> Reader | DirectReader:
    """Return the reader of a client connection."""
    return Reader(stream) if options.reads_ahead else DirectReader(stream)
