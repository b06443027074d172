"""Authenticated TCP connections between entry processes and sidecars.

Frames are length-prefixed. All frames that are sent within one iteration of the event loop are
written with one system call, which keeps the cost of many concurrent streams low.
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

_LENGTH_PREFIX = struct.Struct("<I")
MAX_FRAME_BYTES = 4 * 1024 * 1024
HANDSHAKE_TIMEOUT_SECONDS = 2.0
NONCE_BYTES = 16
MAX_UNSENT_BYTES = 8 * 1024 * 1024


class Link:
    """Connection that sends and receives framed messages.

    Attributes:
      last_received_at: Time at which the last frame arrived, on the event loop's clock.
      bytes_received: Number of bytes received.
      bytes_sent: Number of bytes sent.
      closed: Whether this side has closed the connection.
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
        """Number of bytes sent and received."""
        return self.bytes_sent + self.bytes_received

    def send(self, msg: message.Message) -> None:
        """Queue a message, which is written in the event loop's next iteration.

        The connection to a peer that does not read is closed once more than ``MAX_UNSENT_BYTES``
        are waiting to be sent.
        """
        if self.closed:
            return
        data = codec.encode(msg)
        if not self._pending:
            self._loop.call_soon(self._flush)
        self._pending.append(_LENGTH_PREFIX.pack(len(data)))
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
          ProtocolError: The peer sent an invalid frame.
        """
        try:
            prefix = await self._reader.readexactly(_LENGTH_PREFIX.size)
            (length,) = _LENGTH_PREFIX.unpack(prefix)
            if length > MAX_FRAME_BYTES:
                raise errors.ProtocolError(
                    f"frame of {length} bytes exceeds {MAX_FRAME_BYTES}; check the peer's port"
                )
            data = await self._reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError) as exc:
            raise errors.LinkLost(f"connection broke; it is reopened automatically: {exc}") from exc
        self.last_received_at = self._loop.time()
        self.bytes_received += _LENGTH_PREFIX.size + length
        return codec.decode(data)

    async def messages(self) -> AsyncIterator[message.Message]:
        """Yield messages until the connection breaks; raises ``ProtocolError``."""
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
        """Send all queued messages, then close the connection."""
        self._flush()
        self.closed = True
        self._writer.close()
        try:
            await asyncio.wait_for(self._writer.wait_closed(), HANDSHAKE_TIMEOUT_SECONDS)
        except (OSError, TimeoutError):
            self._writer.transport.abort()


def _sign(secret: str, nonce: bytes, name: str) -> bytes:
    """Compute the proof that a process knows the shared secret."""
    return hmac.new(secret.encode(), nonce + name.encode(), hashlib.sha256).digest()


async def connect(
    host: str, port: int, secret: str, name: str, zone: str
) -> tuple[Link, message.Welcome]:
    """Open a connection to a sidecar.

    Args:
      host: The sidecar's IP address.
      port: The sidecar's TCP port.
      secret: The secret shared by all processes of the system.
      name: This process's name.
      zone: This process's availability zone.

    Returns:
      The connection and the sidecar's welcome message.

    Raises:
      LinkLost: The connection or the handshake failed, or took too long.
    """
    link: Link | None = None
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, port)
            link = Link(reader, writer)
            challenge = await link.receive()
            if not isinstance(challenge, message.Challenge):
                raise errors.ProtocolError(f"{host}:{port} is not a sidecar; check the VM list")
            link.send(message.Hello(name, zone, _sign(secret, challenge.nonce, name)))
            welcome = await link.receive()
            if not isinstance(welcome, message.Welcome):
                raise errors.ProtocolError(
                    f"{host}:{port} refused the handshake; check the shared secret"
                )
            return link, welcome
    except (OSError, TimeoutError, errors.BerylrockError) as exc:
        _close_if_open(link)
        raise errors.LinkLost(f"cannot connect to sidecar {host}:{port}: {exc}") from exc
    except asyncio.CancelledError:
        _close_if_open(link)
        raise


def _close_if_open(link: Link | None) -> None:
    if link is not None:
        link.close()


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: str,
    welcome: message.Welcome,
) -> tuple[Link, message.Hello]:
    """Authenticate an entry process that has connected.

    Args:
      reader: The connection's reader.
      writer: The connection's writer.
      secret: The secret shared by all processes of the system.
      welcome: The message to send to a process that knows the secret.

    Returns:
      The connection and the entry process's ``Hello`` message.

    Raises:
      LinkLost: The connection broke or the peer did not answer in time.
      ProtocolError: The peer does not know the secret; the connection is closed.
    """
    link = Link(reader, writer)
    nonce = secrets.token_bytes(NONCE_BYTES)
    link.send(message.Challenge(nonce))
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
            hello = await link.receive()
        if not isinstance(hello, message.Hello):
            raise errors.ProtocolError("peer sent no Hello message; is it an entry process?")
        if not hmac.compare_digest(hello.proof, _sign(secret, nonce, hello.name)):
            raise errors.ProtocolError(
                f"{hello.name} does not know the shared secret; check its settings"
            )
    except TimeoutError as exc:
        link.close()
        raise errors.LinkLost("peer did not answer in time; it reconnects automatically") from exc
    except errors.BerylrockError:
        link.close()
        raise
    link.send(welcome)
    return link, hello
