"""HTTP/1.1 server and client connections over asyncio, parsed strictly by h11.

``CallerConnection`` is the server side and ``EngineConnection`` the client side. Both distinguish a
connection that the peer closed from one that broke.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Self

import h11

from berylrock.adapters import readers, sockets
from berylrock.core import errors

__all__ = [
    "CallerConnection",
    "CallerGone",
    "ConnectFailed",
    "EngineConnection",
    "ResponseBroken",
    "ResponseEvent",
    "read_data",
]

WRITE_BUFFER_BYTES = 65_536
# Informational (1xx) responses that are skipped before a final one.
MAX_INFORMATIONAL = 8
# The largest status that HTTP has; the parser checks the smallest one.
LAST_STATUS = 599
# The kernel closes a connection if the peer accepts none of the sent data for this time. Callers
# may read slowly, and engines may be late to read a long body.
CALLER_TIMEOUT_MS = 15_000
ENGINE_TIMEOUT_MS = 6000

Headers = list[tuple[bytes, bytes]]
ResponseEvent = h11.Response | h11.Data | h11.EndOfMessage


class ConnectFailed(errors.BerylrockError):
    """The connection could not be made, so nothing was sent."""


class CallerGone(errors.BerylrockError, ConnectionError):
    """The caller's connection was closed, so that nothing more can be sent to it."""


class ResponseBroken(errors.BerylrockError):
    """The peer closed or reset the connection, or sent an invalid HTTP response."""


class CallerConnection:
    """Server side of a connection from a caller.

    Attributes:
      reader: Reader of the data that the caller sends.
    """

    def __init__(
        self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter, header_bytes: int
    ) -> None:
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self._writer = writer
        self.reader = readers.Reader(stream)
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sockets.set_options(sock, CALLER_TIMEOUT_MS)

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        return self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE

    async def next_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """Wait for the next h11 event of a request.

        Returns:
          The event; None once the caller has closed the connection.

        Raises:
          h11.RemoteProtocolError: The caller sent an invalid HTTP request.
        """
        while True:
            event = self._conn.next_event()
            if event is h11.NEED_DATA:
                if self._conn.they_are_waiting_for_100_continue:
                    await self.send(h11.InformationalResponse(status_code=100, headers=[]))
                data = await self.reader.read()
                if not data and self.reader.broken:
                    return None
                self._conn.receive_data(data)
                continue
            if isinstance(event, h11.ConnectionClosed):
                return None
            return event  # type: ignore[return-value]

    def start_next_request(self) -> None:
        """Prepare the connection for the next request."""
        self._conn.start_next_cycle()

    @property
    def has_pipelined_data(self) -> bool:
        """Whether bytes of the next request arrived together with the last request."""
        return bool(self._conn.trailing_data[0])

    @property
    def response_started(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def response_complete(self) -> bool:
        """Whether a response has been sent to its end, and no other one has begun."""
        return self._conn.our_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    async def send(self, event: h11.Event) -> None:
        """Send a part of a response; wait while the caller reads slowly.

        Args:
          event: The h11 event to send.

        Raises:
          CallerGone: The connection was closed.
        """
        data = self._conn.send(event)
        if not data:
            return
        try:
            self._writer.write(data)
            await self._writer.drain()
        except OSError as exc:
            raise CallerGone(f"caller's connection was closed: {exc!r}") from exc

    def unsent_bytes(self) -> int:
        """Return the number of written bytes that the socket has not accepted yet."""
        return self._writer.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Abort the connection, so that the caller cannot take a partial response for complete.

        A response to HTTP/1.0 ends with its connection, which therefore must not close in order.
        """
        self.reader.close()
        transport = self._writer.transport
        by_close = self._conn.their_http_version == b"1.0" and not self.response_complete
        if by_close and not transport.is_closing():
            sockets.set_reset_on_close(transport.get_extra_info("socket"))
        transport.abort()

    async def close(self) -> None:
        """Send the remaining data, then close the connection."""
        self.reader.close()
        try:
            self._writer.close()
            await self._writer.wait_closed()
        except OSError:
            # The caller has already disconnected.
            return


async def read_data(next_event: Callable[[], Awaitable[ResponseEvent]]) -> bytes:
    """Wait for the next bytes of a response's body.

    Args:
      next_event: Waits for the next part of the response, after its head.

    Returns:
      The bytes; none once the body is complete.
    """
    while isinstance(event := await next_event(), h11.Data):
        if event.data:
            return bytes(event.data)
    return b""


class EngineConnection:
    """Client side of a connection to an engine or the store, for one request at a time.

    Attributes:
      reader: Reader of the data that the peer sends.
      idle_since: Time at which the last response ended, on the event loop's clock.
      keep_alive_s: Time in seconds for which the peer keeps an idle connection open; None if
        unknown.
      responses_read: Number of responses that were read completely.
      request_written: Whether any part of the current request may have reached the peer.
    """

    def __init__(
        self,
        stream: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        options: readers.ConnectionOptions = readers.DEFAULT_OPTIONS,
    ) -> None:
        sock = writer.get_extra_info("socket")
        sockets.set_options(sock, ENGINE_TIMEOUT_MS)
        if options.receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, options.receive_buffer_bytes)
        self._conn = h11.Connection(h11.CLIENT)
        self._writer = writer
        self.reader = readers.open_reader(stream, options)
        self.idle_since = asyncio.get_running_loop().time()
        self.keep_alive_s: float | None = None
        self.responses_read = 0
        self.request_written = False
        self._method = ""

    @classmethod
    async def open(
        cls,
        address: tuple[str, int],
        timeout_s: float,
        options: readers.ConnectionOptions = readers.DEFAULT_OPTIONS,
    ) -> Self:
        """Open a connection.

        Args:
          address: IP address and port.
          timeout_s: Longest time to wait for the connection, in seconds.
          options: How it reads from the socket.

        Returns:
          The connection.

        Raises:
          ConnectFailed: The connection was refused or not made in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                stream, writer = await asyncio.open_connection(*address, limit=options.limit_bytes)
            return cls(stream, writer, options)
        except (OSError, TimeoutError, OverflowError, ValueError) as exc:
            # The last two are for addresses that no socket can have.
            raise ConnectFailed(f"cannot connect to {address[0]}:{address[1]}: {exc!r}") from exc

    @property
    def usable(self) -> bool:
        """Whether a request may be sent: the peer is connected and has sent no unsolicited data."""
        idle = not self.reader.has_data and not self.reader.ended.is_set()
        return idle and self._conn.our_state is h11.IDLE

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Write a request to the connection's buffer, which is sent in the background.

        The method does not wait until a long body has been sent, because the peer may respond
        before it has read the body, or never read it.

        Args:
          method: HTTP method.
          target: Path and query.
          headers: Names and values of the headers.
          body: The body; may be empty.

        Raises:
          ResponseBroken: The connection broke; the peer may have received part of the request.
          h11.LocalProtocolError: The request is no valid HTTP; nothing was sent.
        """
        data = self._conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        self._method = method
        self.request_written = True
        try:
            self._writer.write(data)
        except OSError as exc:
            raise ResponseBroken(f"connection broke during the request: {exc!r}") from exc

    async def next_event(self) -> ResponseEvent:
        """Wait for the next part of the response; informational (1xx) responses are skipped.

        Raises:
          ResponseBroken: The response ended early or is not valid HTTP.
        """
        informational = 0
        while True:
            try:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    data = await self.reader.read()
                    if not data and self.reader.broken:
                        raise ResponseBroken("connection was reset")
                    self._conn.receive_data(data)
                    continue
            except h11.ProtocolError as exc:
                raise ResponseBroken(f"invalid HTTP response: {exc}") from exc
            if isinstance(event, h11.InformationalResponse):
                informational += 1
                if informational > MAX_INFORMATIONAL:
                    raise ResponseBroken("informational responses without end")
                continue
            if isinstance(event, h11.Response) and event.status_code > LAST_STATUS:
                raise ResponseBroken(f"invalid HTTP response: status {event.status_code}")
            if isinstance(event, ResponseEvent):
                return event
            raise ResponseBroken("connection was closed before the response ended")

    async def next_data(self) -> bytes:
        """Wait for the next bytes of a response's body; returns none once it is complete.

        Raises:
          ResponseBroken: The response ended early or is not valid HTTP.
        """
        return await read_data(self.next_event)

    def expect_another_response(self) -> None:
        """Prepare to read a further response to the current request, after a complete one."""
        received, _ = self._conn.trailing_data
        self._conn = h11.Connection(h11.CLIENT)
        # Only the state of the new parser is wanted: the peer has the request already.
        self._conn.send(
            h11.Request(method=self._method, target="/", headers=[(b"host", b"engine")])
        )
        self._conn.send(h11.EndOfMessage())
        if received:
            self._conn.receive_data(received)

    def reset_for_reuse(self) -> bool:
        """Prepare the connection for another request; return whether it can be reused."""
        trailing = self._conn.trailing_data[0]
        complete = self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE
        if not complete or trailing or self.reader.has_data or self.reader.ended.is_set():
            return False
        self._conn.start_next_cycle()
        self.idle_since = asyncio.get_running_loop().time()
        self.responses_read += 1
        self.request_written = False
        return True

    @property
    def has_open_request(self) -> bool:
        """Whether a request was written whose response has not been read to its end."""
        return self.request_written and self._conn.their_state is not h11.DONE

    def close(self) -> None:
        """Close the connection at once, so that the peer cancels a request that it still runs.

        A request without a complete response is reset: what the peer has not received yet is
        discarded. Otherwise the kernel would still deliver it, and the close would look like the
        end of the sent data to a peer that goes on to respond.
        """
        self.reader.close()
        transport = self._writer.transport
        if self.has_open_request and not transport.is_closing():
            sockets.set_reset_on_close(transport.get_extra_info("socket"))
        transport.abort()
