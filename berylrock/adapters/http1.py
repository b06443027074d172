"""HTTP/1.1 connections over asyncio, parsed by h11: strict, and told apart when they break.

One class for each side. Both keep what the peer sends bounded: reading stops while a message
waits to be taken.
"""

import asyncio
import socket

import h11

from berylrock.core import errors

__all__ = [
    "CallerConnection",
    "ConnectFailed",
    "EngineConnection",
    "Reader",
    "ResponseBroken",
    "ResponseEvent",
]

READ_BYTES = 16_384
WRITE_BUFFER_BYTES = 65_536
MAX_EVENT_BYTES = 65_536
# The kernel ends a connection on which nothing sent was taken for this long. Callers may read
# slowly, and engines may read a long body late.
CALLER_TIMEOUT_MS = 15_000
ENGINE_TIMEOUT_MS = 6000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

Headers = list[tuple[bytes, bytes]]
ResponseEvent = h11.Response | h11.Data | h11.EndOfMessage


class ConnectFailed(errors.BerylrockError):
    """No connection: nothing was sent."""


class ResponseBroken(errors.BerylrockError):
    """The peer closed or reset the connection, or sent what is no answer."""


def set_socket_options(sock: socket.socket, timeout_ms: int) -> None:
    """Let the kernel end a connection whose peer is silent, also in the middle of a write."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


class Reader:
    """Reads a socket in the background, so that a peer that leaves is seen at once.

    Attributes:
      ended: Set once the peer has closed or the connection broke.
      broken: The connection ended by a reset or an error, not by a close.
    """

    def __init__(self, stream: asyncio.StreamReader) -> None:
        self._stream = stream
        self._waiting = bytearray()
        self._arrived = asyncio.Event()
        self.ended = asyncio.Event()
        self.broken = False
        self._task = asyncio.create_task(self._pump())

    async def _pump(self) -> None:
        try:
            while True:
                data = await self._stream.read(READ_BYTES)
                if not data:
                    break
                self._waiting += data
                self._arrived.set()
                while len(self._waiting) > MAX_EVENT_BYTES:
                    await asyncio.sleep(0.01)
        except (OSError, asyncio.IncompleteReadError):
            self.broken = True
        self.ended.set()
        self._arrived.set()

    @property
    def has_data(self) -> bool:
        """Whether bytes wait to be taken."""
        return bool(self._waiting)

    async def wait(self) -> None:
        """Wait until something has arrived or the peer has ended."""
        while not self._waiting and not self.ended.is_set():
            self._arrived.clear()
            await self._arrived.wait()

    async def read(self) -> bytes:
        """Take what has arrived; empty once the peer has ended."""
        await self.wait()
        data = bytes(self._waiting)
        self._waiting.clear()
        return data

    def close(self) -> None:
        """Stop reading."""
        self._task.cancel()


class CallerConnection:
    """A caller's connection.

    Attributes:
      reader: What the caller sends.
    """

    def __init__(
        self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter, header_bytes: int
    ) -> None:
        self._conn = h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)
        self._writer = writer
        self.reader = Reader(stream)
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        sock = writer.get_extra_info("socket")
        if sock is not None:
            set_socket_options(sock, CALLER_TIMEOUT_MS)

    @property
    def reusable(self) -> bool:
        """Whether another request may follow on this connection."""
        return self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE

    async def next_event(self) -> h11.Event | type[h11.PAUSED] | None:
        """The next part of a request; None once the caller has closed.

        Raises:
          h11.RemoteProtocolError: The caller sent what is no request.
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
        """Begin to read another request."""
        self._conn.start_next_cycle()

    @property
    def has_pipelined_data(self) -> bool:
        """Whether bytes of a next request came with the last one."""
        return bool(self._conn.trailing_data[0])

    @property
    def response_started(self) -> bool:
        """Whether the head of an answer has been sent."""
        return self._conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    async def send(self, event: h11.Event) -> None:
        """Send a part of an answer; waits while the caller reads slowly.

        Raises:
          OSError: The connection is gone.
        """
        data = self._conn.send(event)
        if data:
            self._writer.write(data)
            await self._writer.drain()

    def unsent_bytes(self) -> int:
        """Bytes that wait for a slow caller."""
        return self._writer.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Break the connection off, so that an unfinished answer cannot look complete."""
        self.reader.close()
        self._writer.transport.abort()

    async def close(self) -> None:
        """Close after what was written has been sent."""
        self.reader.close()
        try:
            self._writer.close()
            await self._writer.wait_closed()
        except OSError:
            # The caller was gone first; nothing is left to do.
            return


class EngineConnection:
    """A connection to an engine or to the store, for one request at a time.

    Attributes:
      idle_since: When the last answer ended, on the loop's clock.
      keep_alive_s: How long the peer keeps an idle connection open.
      responses_read: Answers that were read whole.
    """

    def __init__(self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._conn = h11.Connection(h11.CLIENT)
        self._writer = writer
        self.reader = Reader(stream)
        self.idle_since = asyncio.get_running_loop().time()
        self.keep_alive_s: float | None = None
        self.responses_read = 0
        set_socket_options(writer.get_extra_info("socket"), ENGINE_TIMEOUT_MS)

    @classmethod
    async def open(cls, address: tuple[str, int], timeout_s: float) -> "EngineConnection":
        """Connect.

        Args:
          address: IP number and port.
          timeout_s: Longest wait.

        Returns:
          The connection.

        Raises:
          ConnectFailed: There is none in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                stream, writer = await asyncio.open_connection(*address)
        except (OSError, TimeoutError) as exc:
            raise ConnectFailed(f"no connection to {address[0]}:{address[1]}: {exc!r}") from exc
        return cls(stream, writer)

    @property
    def usable(self) -> bool:
        """Whether a request may be sent: the peer is there and has sent nothing unasked."""
        quiet = not self.reader.has_data and not self.reader.ended.is_set()
        return quiet and self._conn.our_state is h11.IDLE

    async def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Hand a request to the connection; it is sent while the answer is awaited.

        The peer may answer before it has read a long body, or never read it.

        Raises:
          ResponseBroken: The connection broke; some of it may have arrived.
        """
        data = self._conn.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += self._conn.send(h11.Data(data=body)) or b""
        data += self._conn.send(h11.EndOfMessage()) or b""
        try:
            self._writer.write(data)
        except OSError as exc:
            raise ResponseBroken(f"broke while the request was sent: {exc!r}") from exc

    async def next_event(self) -> ResponseEvent:
        """The next part of the answer.

        Raises:
          ResponseBroken: The answer ended early, or is none.
        """
        while True:
            try:
                event = self._conn.next_event()
                if event is h11.NEED_DATA:
                    data = await self.reader.read()
                    if not data and self.reader.broken:
                        raise ResponseBroken("the connection was reset")
                    self._conn.receive_data(data)
                    continue
            except h11.ProtocolError as exc:
                raise ResponseBroken(f"not an answer: {exc}") from exc
            if isinstance(event, h11.InformationalResponse):
                continue
            if isinstance(event, ResponseEvent):
                return event
            raise ResponseBroken("the connection was closed before the answer")

    def reset_for_reuse(self) -> bool:
        """Make ready for another request; returns whether the connection may be used again."""
        trailing = self._conn.trailing_data[0]
        done = self._conn.our_state is h11.DONE and self._conn.their_state is h11.DONE
        if not done or trailing or self.reader.has_data or self.reader.ended.is_set():
            return False
        self._conn.start_next_cycle()
        self.idle_since = asyncio.get_running_loop().time()
        self.responses_read += 1
        return True

    def close(self) -> None:
        """Close at once; the peer drops what it still runs for it."""
        self.reader.close()
        self._writer.transport.abort()
