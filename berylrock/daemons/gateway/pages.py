"""Serves the plain-text HTTP pages of a gateway: readiness for the load balancer, and metrics."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from berylrock.adapters import http1, listening
from berylrock.core import errors

__all__ = ["Page", "serve"]

MAX_HEADER_BYTES = 8192
# Longest life of a connection, with all its requests.
MAX_CONNECTION_S = 20.0


class Page(NamedTuple):
    """HTTP status and text of a page."""

    status: int
    text: str


async def serve(
    address: tuple[str, int], render: Callable[[str], Page]
) -> listening.ConnectionServer:
    """Start an HTTP server for pages.

    Args:
      address: Address and port to listen on.
      render: Renders the page for a request target.

    Returns:
      The running server.

    Raises:
      SettingsError: The port is in use or the address is not available.
    """

    async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = http1.CallerConnection(reader, writer, MAX_HEADER_BYTES)
        try:
            async with asyncio.timeout(MAX_CONNECTION_S):
                await _serve_connection(conn, render)
        except (OSError, TimeoutError, h11.ProtocolError):
            # A health check that disconnects or sends no valid HTTP needs no response.
            return
        finally:
            await conn.close()

    server = listening.ConnectionServer(handle)
    try:
        await server.start(*address)
    except OSError as exc:
        remedy = "free the port or set another one"
        raise errors.SettingsError(f"cannot listen on {address}: {exc}; {remedy}") from exc
    return server


async def _serve_connection(conn: http1.CallerConnection, render: Callable[[str], Page]) -> None:
    while True:
        event = await conn.next_event()
        if not isinstance(event, h11.Request):
            return
        target = event.target.decode("latin-1")
        while not isinstance(await conn.next_event(), h11.EndOfMessage):
            pass
        page = render(target)
        body = page.text.encode()
        headers = [
            (b"content-length", str(len(body)).encode()),
            (b"content-type", b"text/plain; charset=utf-8"),
        ]
        await conn.send(h11.Response(status_code=page.status, headers=headers))
        await conn.send(h11.Data(data=body))
        await conn.send(h11.EndOfMessage())
        if not conn.reusable:
            return
        conn.start_next_request()
