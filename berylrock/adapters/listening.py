"""Listens for connections, serves each in a task of its own, and closes what is left at the end.

A stream that is still open when its event loop closes is closed by the garbage collector, which
fails without a loop. So whoever accepts a connection closes it, also if its task was cancelled
before it ran for the first time.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

__all__ = ["ConnectionServer"]

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class ConnectionServer:
    """A listening socket with the connections that it accepted."""

    def __init__(self, serve: Serve) -> None:
        """Create a server that is not listening yet.

        Args:
          serve: Serves one connection until its end.
        """
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, *address: Any, **options: Any) -> None:
        """Start listening.

        Args:
          *address: Address and port; none if ``options`` name a socket.
          **options: Options of ``asyncio.start_server``.

        Raises:
          OSError: The address cannot be used.
        """
        self._server = await asyncio.start_server(self._accept, *address, **options)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._tasks.add(task)

        def end(_: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            if not writer.is_closing():
                writer.transport.abort()

        task.add_done_callback(end)

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open stay."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Accept no more connections, and end those that are open."""
        self.stop_listening()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
