"""A stand-in for an engine that answers with scripted bytes, whether they are HTTP or not."""

import asyncio
from typing import NamedTuple

from berylrock.adapters import sockets

HEAD_BYTES = 65_536
RESET_DELAY_S = 0.1
ID_HEADER = b"x-berylrock-attempt-id: "


class Script(NamedTuple):
    """Bytes of an answer; ``{id}`` in them stands for the id of the request.

    Attributes:
      begin: Bytes to send first.
      repeat: Bytes to send again and again until the connection is closed.
      pause_s: Pause after each of these, in seconds.
      end: Bytes to send after ``count`` repetitions.
      count: Number of repetitions; None for no end.
      closes: Whether the engine closes the connection after that, and not with a reset.
      resets: Whether it resets the connection soon after that, unread requests or not.
    """

    begin: bytes
    repeat: bytes = b""
    pause_s: float = 0.0
    end: bytes = b""
    count: int | None = None
    closes: bool = False
    resets: bool = False


class Listener:
    """Listens on a free port of the loopback interface.

    Attributes:
      port: The port; 0 before ``start``.
    """

    def __init__(self):
        self.port = 0
        self._server = None

    async def start(self):
        """Start listening."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=HEAD_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening, so that new connections are refused."""
        self._server.close()

    async def _serve(self, reader, writer):
        """Serve one connection until it ends."""
        raise NotImplementedError


class RawEngine(Listener):
    """Reads the head of each request and answers with the script; each connection is used once.

    Attributes:
      script: The answer.
      requests: Number of requests so far.
      closed: Number of connections that the other side has closed.
      sent_bytes: Bytes that were repeated so far, over all connections.
    """

    def __init__(self, script):
        super().__init__()
        self.script = script
        self.requests = 0
        self.closed = 0
        self.sent_bytes = 0

    async def _serve(self, reader, writer):
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            await self._answer(writer, head)
            if self.script.resets:
                await self._reset(writer)
                return
            if self.script.closes:
                writer.write_eof()
            await reader.read()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has closed the connection, or the scenario ends.
            pass
        finally:
            self.closed += 1
            writer.transport.abort()

    @staticmethod
    async def _reset(writer):
        """Reset a connection when what was sent has arrived."""
        await asyncio.sleep(RESET_DELAY_S)
        sockets.set_reset_on_close(writer.get_extra_info("socket"))

    async def _answer(self, writer, head):
        script = self.script
        request_id = head.lower().partition(ID_HEADER)[2].partition(b"\r\n")[0]
        writer.write(script.begin.replace(b"{id}", request_id))
        sent = 0
        while script.repeat and (script.count is None or sent < script.count):
            writer.write(script.repeat)
            await writer.drain()
            self.sent_bytes += len(script.repeat)
            await asyncio.sleep(script.pause_s)
            sent += 1
        writer.write(script.end)
        await writer.drain()
