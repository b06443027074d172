"""Sends one request to a backend server, on a connection of its own, and reads its response.

A request is sent once. An error while connecting proves that nothing was passed on; any other one
leaves open whether the request has run. A response that breaks off is never taken for complete: one
without a length ends when the server closes its connection in order, and not with a reset.
"""

import urllib.parse
from typing import NamedTuple

import h11

from berylrock.adapters import http1, interfaces, readers

__all__ = ["BackendCall", "BaseUrl", "parse_base_url"]

CONNECT_TIMEOUT_SECONDS = 1.0
# A small buffer keeps a server from sending much more than a slow reader has consumed.
OPTIONS = readers.ConnectionOptions(receive_buffer_bytes=32_768, reads_ahead=False)
DEFAULT_PORT = 80
# Requests with these methods have no body unless they are given one.
BODILESS_METHODS = frozenset(("GET", "HEAD", "DELETE", "OPTIONS"))


class BaseUrl(NamedTuple):
    """Where a backend server is: its address, and a path that precedes those of requests."""

    host: str
    port: int
    path: str


def parse_base_url(text: str) -> BaseUrl:
    """Parse the base URL of a backend server, as it stands in the settings."""
    parts = urllib.parse.urlsplit(text)
    return BaseUrl(parts.hostname or "", parts.port or DEFAULT_PORT, parts.path.rstrip("/"))


class BackendCall:
    """A request whose response has begun.

    Attributes:
      status: HTTP status of the response.
      headers: Names and values of its headers, in order.
    """

    def __init__(self, conn: http1.EngineConnection, head: h11.Response) -> None:
        self.status = head.status_code
        self.headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        )
        self._conn = conn

    @classmethod
    async def open(
        cls, base: BaseUrl, method: str, path: str, headers: http1.Headers, body: bytes
    ) -> "BackendCall":
        """Send a request and wait for the head of its response.

        Args:
          base: The server.
          method: HTTP method.
          path: Path and query.
          headers: Headers, but for those that concern the connection or the body's length.
          body: The body; may be empty.

        Returns:
          The request; the caller closes it.

        Raises:
          BackendUnreachable: The request was not passed on.
          BackendLost: The connection broke, or the response is no HTTP; the request may have run.
        """
        try:
            conn = await http1.EngineConnection.open(
                (base.host, base.port), CONNECT_TIMEOUT_SECONDS, OPTIONS
            )
        except http1.ConnectFailed as exc:
            raise interfaces.BackendUnreachable(f"backend server is unreachable: {exc}") from exc
        sent = [(b"host", f"{base.host}:{base.port}".encode()), (b"connection", b"close"), *headers]
        if body or method not in BODILESS_METHODS:
            sent.append((b"content-length", str(len(body)).encode()))
        try:
            await conn.send(method, base.path + path, sent, body)
            head = await conn.next_event()
        except http1.ResponseBroken as exc:
            conn.close()
            raise _lost_error(exc) from exc
        except BaseException:
            conn.close()
            raise
        assert isinstance(head, h11.Response)
        return cls(conn, head)

    async def read(self) -> bytes:
        """Wait for the next bytes of the body; none at its end. Raises ``BackendLost``."""
        try:
            return await self._conn.next_data()
        except http1.ResponseBroken as exc:
            raise _lost_error(exc) from exc

    def close(self) -> None:
        """Close the connection, so that the server cancels a request that it still runs."""
        self._conn.close()


def _lost_error(exc: http1.ResponseBroken) -> interfaces.BackendLost:
    return interfaces.BackendLost(f"connection to backend server broke: {exc}")
