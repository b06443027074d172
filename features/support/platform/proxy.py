"""A loopback TCP proxy that injects network faults: delays, resets, one-way blocks and silence."""

import asyncio
import socket

CHUNK_BYTES = 65_536
POLL_S = 0.02
UP, DOWN = "up", "down"


class Proxy:
    """Forwards TCP connections to a port of this host.

    Args:
      target_port: The port.
      target_host: Its address.

    Attributes:
      delay_s: Delay added to each chunk, in seconds.
      blocked_directions: Directions in which bytes are held back until the fault is cleared:
        ``up`` (to the target) or ``down`` (from the target).
      refusing: Whether new connections are reset.
      first_lines: The first line of each chunk that was received from a client.
      port: Port on which the proxy listens; 0 before ``start``.
    """

    def __init__(self, target_port, target_host="127.0.0.1"):
        self.delay_s = 0.0
        self.blocked_directions = set()
        self.refusing = False
        self.first_lines = []
        self.port = 0
        self._target = (target_host, target_port)
        self._server = None
        self._writers = set()
        self._silent = set()

    async def start(self):
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def silence_open_connections(self):
        """Stop forwarding on the connections that are open now; new connections work."""
        self._silent |= self._writers

    def clear_faults(self):
        """End all faults except the silence of connections, which lasts until they close."""
        self.delay_s, self.refusing = 0.0, False
        self.blocked_directions.clear()

    async def _serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, upstream[1])
        self._writers.update(writers)
        try:
            await asyncio.gather(
                self._forward(reader, upstream[1], UP), self._forward(upstream[0], writer, DOWN)
            )
        except (OSError, asyncio.CancelledError):
            # One side has closed its connection; both connections are reset below.
            pass
        finally:
            for item in writers:
                self._writers.discard(item)
                self._silent.discard(item)
                item.transport.abort()

    async def _forward(self, reader, writer, direction):
        while data := await reader.read(CHUNK_BYTES):
            if direction == UP:
                self.first_lines.append(data.partition(b"\r\n")[0])
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while direction in self.blocked_directions or writer in self._silent:
                await asyncio.sleep(POLL_S)
            writer.write(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


class Path(Proxy):
    """A proxy that can be cut as a partition does: nothing passes and no connection is accepted.

    The queue of new connections holds one; the opening packets of the others are dropped, as on a
    path that is cut.
    """

    def __init__(self, target_port):
        super().__init__(target_port)
        self._whole = asyncio.Event()
        self._whole.set()
        self._tasks = set()
        self._sock = None

    async def start(self):
        """Start listening on a free port."""
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen(0)
        self.port = self._sock.getsockname()[1]
        self._keep(self._accept())

    def cut(self):
        """Cut the path."""
        self._whole.clear()
        self.blocked_directions.update((UP, DOWN))

    def heal(self):
        """End the cut; what was held back arrives."""
        self.clear_faults()
        self._whole.set()

    def _keep(self, coro):
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            await self._whole.wait()
            try:
                async with asyncio.timeout(POLL_S):
                    sock, _ = await loop.sock_accept(self._sock)
            except TimeoutError:
                continue
            self._keep(self._serve(*await asyncio.open_connection(sock=sock)))
