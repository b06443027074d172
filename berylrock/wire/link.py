"""One authenticated TCP connection between an entry process and a sidecar.

Frames are length-prefixed. Frames sent within one turn of the event loop leave in one system
call, which is what makes many concurrent streams cheap.
"""

import asyncio
import hashlib
import hmac
import secrets
import struct
from collections.abc import AsyncIterator

from berylrock.core import errors, message
from berylrock.wire import codec

__all__ = ["Link", "accept", "connect"]

_LENGTH = struct.Struct("<I")
MAX_FRAME_BYTES = 4 * 1024 * 1024
HANDSHAKE_TIMEOUT_SECONDS = 2.0
NONCE_BYTES = 16
MAX_UNSENT_BYTES = 8 * 1024 * 1024


class Link:
    """A framed connection.

    Attributes:
      last_received_at: Event-loop time of the last frame received.
      bytes_received: Bytes received.
      bytes_sent: Bytes sent.
      closed: Whether it has been closed from this side.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._pending: list[bytes] = []
        self._loop = asyncio.get_running_loop()
        self.last_received_at = self._loop.time()
        self.bytes_received = 0
        self.bytes_sent = 0
        self.closed = False

    @property
    def total_bytes(self) -> int:
        """Bytes sent and received."""
        return self.bytes_sent + self.bytes_received

    def send(self, msg: message.Message) -> None:
        """Queue a message; it leaves at the end of this turn of the event loop.

        A peer that does not read is cut off once ``MAX_UNSENT_BYTES`` wait for it.
        """
        if self.closed:
            return
        data = codec.encode(msg)
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append(_LENGTH.pack(len(data)))
        self._pending.append(data)

    def _flush(self) -> None:
        data = b"".join(self._pending)
        self._pending.clear()
        if self.closed:
            return
        self.bytes_sent += len(data)
        self._writer.write(data)
        if self._writer.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.close()

    async def receive(self) -> message.Message:
        """Wait for a message.

        Returns:
          The message.

        Raises:
          LinkLost: The connection broke.
          ProtocolError: The peer sent something else than a frame.
        """
        try:
            prefix = await self._reader.readexactly(_LENGTH.size)
            (length,) = _LENGTH.unpack(prefix)
            if length > MAX_FRAME_BYTES:
                raise errors.ProtocolError(
                    f"frame of {length} bytes, at most {MAX_FRAME_BYTES}; is this port the peer's?"
                )
            data = await self._reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError) as exc:
            raise errors.LinkLost(f"connection broke, will be made anew: {exc}") from exc
        self.last_received_at = self._loop.time()
        self.bytes_received += _LENGTH.size + length
        return codec.decode(data)

    async def messages(self) -> AsyncIterator[message.Message]:
        """Yield messages until the connection breaks."""
        while True:
            try:
                msg = await self.receive()
            except errors.LinkLost:
                return
            yield msg

    def close(self) -> None:
        """Close the connection at once."""
        if not self.closed:
            self.closed = True
            self._writer.transport.abort()

    async def flush_and_close(self) -> None:
        """Send what is queued, then close."""
        self._flush()
        self.closed = True
        self._writer.close()
        try:
            await asyncio.wait_for(self._writer.wait_closed(), HANDSHAKE_TIMEOUT_SECONDS)
        except (OSError, TimeoutError):
            self._writer.transport.abort()


def _prove(secret: str, nonce: bytes, name: str) -> bytes:
    return hmac.new(secret.encode(), nonce + name.encode(), hashlib.sha256).digest()


async def connect(
    host: str, port: int, secret: str, name: str, zone: str
) -> tuple[Link, message.Welcome]:
    """Open a connection to a sidecar.

    Args:
      host: The sidecar's IP number.
      port: Its TCP port.
      secret: The secret shared by all processes of the system.
      name: This process's name.
      zone: This process's availability zone.

    Returns:
      The connection and the sidecar's answer.

    Raises:
      LinkLost: No connection, or no answer in time.
    """
    link: Link | None = None
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, port)
            link = Link(reader, writer)
            challenge = await link.receive()
            if not isinstance(challenge, message.Challenge):
                raise errors.ProtocolError(f"{host}:{port} is no sidecar; check the VM list")
            link.send(message.Hello(name, zone, _prove(secret, challenge.nonce, name)))
            welcome = await link.receive()
            if not isinstance(welcome, message.Welcome):
                raise errors.ProtocolError(f"{host}:{port} refused; check the shared secret")
            return link, welcome
    except (OSError, TimeoutError, errors.BerylrockError) as exc:
        _close(link)
        raise errors.LinkLost(f"no connection to sidecar {host}:{port}: {exc}") from exc
    except asyncio.CancelledError:
        _close(link)
        raise


def _close(link: Link | None) -> None:
    if link is not None:
        link.close()


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: str,
    welcome: message.Welcome,
) -> tuple[Link, message.Hello]:
    """Check an entry process that has connected.

    Args:
      reader: The connection's reader.
      writer: The connection's writer.
      secret: The secret shared by all processes of the system.
      welcome: What to answer to a process that has the secret.

    Returns:
      The connection and the entry process's introduction.

    Raises:
      LinkLost: The connection broke or stayed silent.
      ProtocolError: The peer does not hold the secret; the connection is closed.
    """
    link = Link(reader, writer)
    nonce = secrets.token_bytes(NONCE_BYTES)
    link.send(message.Challenge(nonce))
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            hello = await link.receive()
        if not isinstance(hello, message.Hello):
            raise errors.ProtocolError("peer did not introduce itself; is it an entry process?")
        if not hmac.compare_digest(hello.proof, _prove(secret, nonce, hello.name)):
            raise errors.ProtocolError(
                f"{hello.name} does not hold the shared secret; check its settings"
            )
    except TimeoutError as exc:
        link.close()
        raise errors.LinkLost("peer stayed silent; it will connect anew") from exc
    except errors.BerylrockError:
        link.close()
        raise
    link.send(welcome)
    return link, hello
