"""A loopback proxy that harms the connections through it: delay, reset, one-way cut, silence."""

import asyncio

CHUNK_BYTES = 65_536
POLL_S = 0.02
UP, DOWN = "up", "down"


class Proxy:
    """Passes TCP connections on to a port of this host.

    Attributes:
      delay_s: Added to each chunk.
      blocked: Directions (``up`` to the target, ``down`` from it) in which bytes are held for now.
      refusing: New connections are reset.
      heads: First lines of the chunks that went up.
    """

    def __init__(self, target_port):
        self.delay_s = 0.0
        self.blocked = set()
        self.refusing = False
        self.heads = []
        self.port = 0
        self._target_port = target_port
        self._server = None
        self._writers = set()
        self._silent = set()

    async def start(self):
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open(self):
        """Pass nothing more on connections that are open now; new ones work."""
        self._silent |= self._writers

    def heal(self):
        """Take all back but the silence of single connections, which is for good."""
        self.delay_s, self.refusing = 0.0, False
        self.blocked.clear()

    async def _serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self._target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, upstream[1])
        self._writers.update(pair)
        try:
            await asyncio.gather(
                self._pump(reader, upstream[1], UP), self._pump(upstream[0], writer, DOWN)
            )
        except (OSError, asyncio.CancelledError):
            # One side is gone: the other one is reset below.
            pass
        finally:
            for item in pair:
                self._writers.discard(item)
                self._silent.discard(item)
                item.transport.abort()

    async def _pump(self, reader, writer, way):
        while data := await reader.read(CHUNK_BYTES):
            if way == UP:
                self.heads.append(data.partition(b"\r\n")[0])
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while way in self.blocked or writer in self._silent:
                await asyncio.sleep(POLL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()
