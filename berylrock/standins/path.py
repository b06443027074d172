"""A stand-in for the network between two processes: a TCP proxy that simulates network faults.

``POST /control`` with ``{"silent": true}`` permanently drops the data of all connections that are
open at that time, while new connections work; ``{"cut": true}`` aborts the open connections;
``{"refuse": true}`` also rejects new ones.
"""

import asyncio
from typing import NamedTuple

from aiohttp import web

__all__ = ["PathOptions", "TcpProxy", "run"]

CHUNK_BYTES = 65_536


class PathOptions(NamedTuple):
    """Addresses of the proxy and of its target.

    Attributes:
      address: IP address to listen on.
      port: TCP port to listen on.
      control_port: TCP port of the control interface.
      target_address: IP address of the target.
      target_port: TCP port of the target.
    """

    address: str
    port: int
    control_port: int
    target_address: str
    target_port: int


class TcpProxy:
    """The proxied connections and the faults in effect."""

    def __init__(self, options: PathOptions) -> None:
        self._options = options
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced_writers: set[asyncio.StreamWriter] = set()
        self._refuse = False

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Proxy a connection to the target."""
        if self._refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._options.target_address, self._options.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer), self._forward(target_reader, writer)
        )
        self._writers -= {writer, target_writer}

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if writer not in self._silenced_writers:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if writer not in self._silenced_writers:
            writer.transport.abort()

    async def control(self, req: web.Request) -> web.Response:
        """Apply a fault from ``POST /control``."""
        fault = await req.json()
        if fault.get("silent"):
            self._silenced_writers |= self._writers
        if fault.get("cut"):
            for writer in list(self._writers):
                writer.transport.abort()
        self._refuse = bool(fault.get("refuse"))
        return web.Response()


def run(options: PathOptions) -> None:
    """Run the stand-in until the process is terminated."""

    async def build() -> web.Application:
        proxy = TcpProxy(options)
        server = await asyncio.start_server(proxy.serve, options.address, options.port)
        app = web.Application()
        app["server"] = server
        app.router.add_post("/control", proxy.control)
        return app

    web.run_app(
        build(), host=options.address, port=options.control_port, print=None, access_log=None
    )
