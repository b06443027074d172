"""Sends and receives messages between gateways over TCP, and serves one kind of them on a port.

Each message is a length in bytes, as four bytes in network order, and a MessagePack document. A
message has to come from the address in the record of the gateway that it names.
"""

import asyncio
import struct
from collections.abc import Callable
from typing import Generic, NamedTuple, Protocol, TypeVar

import msgspec

from berylrock.adapters import listening
from berylrock.core import errors
from berylrock.daemons.gateway import context

__all__ = ["MessageBroken", "PeerServer", "Service", "receive", "send"]

T = TypeVar("T")


class FromGateway(Protocol):
    """A message that names its sender."""

    gateway: str


M = TypeVar("M", bound=FromGateway)
_LENGTH = struct.Struct("!I")


class MessageBroken(errors.BerylrockError):
    """The other side sent a message that is not accepted; the connection is closed."""


async def send(writer: asyncio.StreamWriter, message: msgspec.Struct) -> None:
    """Send a message; raises ``OSError`` if the connection was closed."""
    data = msgspec.msgpack.encode(message)
    writer.write(_LENGTH.pack(len(data)) + data)
    await writer.drain()


async def receive(stream: asyncio.StreamReader, kind: type[T], max_bytes: int) -> T:
    """Receive a message.

    Args:
      stream: The connection.
      kind: Type of the message.
      max_bytes: Largest size of the message.

    Returns:
      The message.

    Raises:
      MessageBroken: The message cannot be read.
      IncompleteReadError: The connection was closed.
      OSError: The connection broke.
    """
    (size,) = _LENGTH.unpack(await stream.readexactly(_LENGTH.size))
    if size > max_bytes:
        raise MessageBroken(f"message of {size} bytes, more than {max_bytes}; update the gateways")
    try:
        return msgspec.msgpack.decode(await stream.readexactly(size), type=kind)
    except msgspec.MsgspecError as exc:
        raise MessageBroken(f"unreadable message: {exc}; update the gateways") from exc


class Service(NamedTuple, Generic[M]):
    """What is served on a port.

    Attributes:
      port: The TCP port.
      kind: Type of the messages.
      max_bytes: Largest size of a message.
      idle_s: Time without a message after which a connection is closed, in seconds.
      answer: Returns the answer to a message; None to close the connection.
      ended_counter: Counter of connections that ended.
      broken_counter: Counter of messages that were not accepted.
      broken_event: Name of their log event.
    """

    port: int
    kind: type[M]
    max_bytes: int
    idle_s: float
    answer: Callable[[M], msgspec.Struct | None]
    ended_counter: str
    broken_counter: str
    broken_event: str


class PeerServer(Generic[M]):
    """Answers the messages of other gateways, each connection in a task of its own."""

    def __init__(self, ctx: context.Context, service: Service[M]) -> None:
        self._ctx = ctx
        self._service = service
        self._server = listening.ConnectionServer(self._serve)

    async def start(self) -> None:
        """Start listening; raises ``SettingsError`` if the port cannot be used."""
        address = (self._ctx.cfg.address, self._service.port)
        try:
            await self._server.start(*address)
        except OSError as exc:
            remedy = "free the port or set another port-range"
            raise errors.SettingsError(f"cannot use TCP {address}: {exc}; {remedy}") from exc

    async def _serve(self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        service = self._service
        try:
            while await self._serve_one(stream, writer):
                pass
        except MessageBroken as exc:
            self._ctx.meter.count(service.broken_counter)
            self._ctx.log.write(service.broken_event, error=str(exc))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self._ctx.meter.count(service.ended_counter)
        finally:
            writer.transport.abort()

    async def _serve_one(self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one message; returns whether the connection stays open."""
        service = self._service
        async with asyncio.timeout(service.idle_s):
            message = await receive(stream, service.kind, service.max_bytes)
            self._check_sender(message.gateway, writer)
            answer = service.answer(message)
            if answer is not None:
                await send(writer, answer)
        return answer is not None

    def _check_sender(self, gateway: str, writer: asyncio.StreamWriter) -> None:
        address = writer.get_extra_info("peername", ("",))[0]
        if not self._ctx.is_peer_address(gateway, address):
            raise MessageBroken(f"message of {gateway} from {address}, which is not in its record")

    async def close(self) -> None:
        """Stop listening, and close the connections of the other gateways."""
        await self._server.close()
