"""A stand-in for the network between two processes: a TCP path that can break or fall silent.

``POST /control`` with ``{"silent": true}`` makes the connections open now go silent for good, while
new ones work; ``{"cut": true}`` breaks them; ``{"refuse": true}`` also refuses new ones.
"""

import asyncio
from typing import NamedTuple

from aiohttp import web

__all__ = ["PathOptions", "TcpProxy", "run"]

CHUNK_BYTES = 65_536


class PathOptions(NamedTuple):
    """Where the path starts and ends.

    Attributes:
      address: IP number on which it listens.
      port: TCP port of the path.
      control_port: TCP port of its control.
      target_address: IP number of the other end.
      target_port: TCP port of the other end.
    """

    address: str
    port: int
    control_port: int
    target_address: str
    target_port: int


class TcpProxy:
    """The path's state."""

    def __init__(self, options: PathOptions) -> None:
        self._options = options
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._refuse = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Join a connection to the other end."""
        if self._refuse:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self._options.target_address, self._options.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        self._writers -= {writer, far_writer}

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if writer not in self._silent:
            writer.transport.abort()

    async def control(self, req: web.Request) -> web.Response:
        """Take a fault."""
        fault = await req.json()
        if fault.get("silent"):
            self._silent |= self._writers
        if fault.get("cut"):
            for writer in list(self._writers):
                writer.transport.abort()
        self._refuse = bool(fault.get("refuse"))
        return web.Response()


def run(options: PathOptions) -> None:
    """Run the stand-in until it is ended."""

    async def build() -> web.Application:
        path = TcpProxy(options)
        server = await asyncio.start_server(path.serve, options.address, options.port)
        app = web.Application()
        app["server"] = server
        app.router.add_post("/control", path.control)
        return app

    web.run_app(
        build(), host=options.address, port=options.control_port, print=None, access_log=None
    )
