"""Small HTTP pages of a gateway: readiness for the balancer, and metrics."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from berylrock.adapters import http1
from berylrock.core import errors

__all__ = ["Page", "serve"]

HEADER_BYTES = 8192
IDLE_S = 20.0


class Page(NamedTuple):
    """What a page says: HTTP status and text."""

    status: int
    text: str


async def serve(address: tuple[str, int], render: Callable[[str], Page]) -> asyncio.Server:
    """Serve pages.

    Args:
      address: Where to listen.
      render: Makes the page of a path.

    Returns:
      The running server.

    Raises:
      SettingsError: The address cannot be listened on.
    """

    async def answer(stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        conn = http1.CallerConnection(stream, writer, HEADER_BYTES)
        try:
            async with asyncio.timeout(IDLE_S):
                await _answer_all(conn, render)
        except (OSError, TimeoutError, h11.ProtocolError):
            # A check that goes away or speaks no HTTP needs no answer.
            return
        finally:
            await conn.close()

    try:
        return await asyncio.start_server(answer, *address)
    except OSError as exc:
        remedy = "free the port or name another one"
        raise errors.SettingsError(f"cannot listen on {address}: {exc}; {remedy}") from exc


async def _answer_all(conn: http1.CallerConnection, render: Callable[[str], Page]) -> None:
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
