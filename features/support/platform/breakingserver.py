"""Stand-in for a server whose connections break once a request has arrived."""

import asyncio

from berylrock.adapters import sockets
from support.platform import rawengine


class BreakingServer:
    """Reads the head of each request, and ends its connection without an answer.

    Attributes:
      arrived: Heads of the requests.
      port: Port on which it listens; 0 before ``start``.
    """

    def __init__(self, resets=False, stops=False):
        """Prepare the server.

        Args:
          resets: Whether connections are reset, and not closed in order.
          stops: Whether it stops listening before the first connection ends.
        """
        self.arrived = []
        self.port = 0
        self._resets, self._stops = resets, stops
        self._server = None

    async def start(self):
        """Start listening on a free port."""
        limit = rawengine.HEAD_BYTES
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=limit)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        self.arrived.append(await reader.readuntil(b"\r\n\r\n"))
        if self._stops:
            self._server.close()
        if self._resets:
            sockets.set_reset_on_close(writer.get_extra_info("socket"))
        writer.close()
