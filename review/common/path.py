"""A path to the store that can be cut, as a partition of one machine from it."""

import asyncio
import socket

CHUNK_BYTES = 65_536
HOLD_STEP_S = 0.02


class Path:
    """Forwards TCP connections to the store.

    While the path is cut, open connections carry nothing, and new ones are not accepted: the queue
    of new connections holds one, and the opening packets of the others are dropped.

    Attributes:
      address: Host and port on which the path listens.
    """

    def __init__(self, target):
        self.address = ("", 0)
        self._target = target
        self._whole = asyncio.Event()
        self._whole.set()
        self._sock = None
        self._tasks = set()

    async def start(self, host):
        """Listen on a free port of an address."""
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self._sock.bind((host, 0))
        self._sock.listen(0)
        self.address = self._sock.getsockname()
        self._keep(self._accept())

    def cut(self):
        """Cut the path."""
        self._whole.clear()

    def heal(self):
        """End the cut."""
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
                async with asyncio.timeout(HOLD_STEP_S):
                    sock, _ = await loop.sock_accept(self._sock)
            except TimeoutError:
                continue
            self._keep(self._serve(sock))

    async def _serve(self, sock):
        writers = []
        try:
            reader, writer = await asyncio.open_connection(sock=sock)
            writers.append(writer)
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            writers.append(far_writer)
            ways = [self._forward(reader, far_writer), self._forward(far_reader, writer)]
            tasks = [asyncio.ensure_future(way) for way in ways]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
        except OSError:
            pass
        finally:
            for item in writers:
                item.close()

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
