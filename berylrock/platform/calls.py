"""Calls to one service of the platform over HTTP/1.1, on connections that are kept for the next.

Scenario: the service, or a proxy before it, writes an answer once more when the next call has been
sent. An answer names no call, and a list does not even name its kind of object. Each connection is
therefore kept for calls to one path, so that such a copy is older and about the same.
"""

import asyncio
from typing import NamedTuple

import h11

from berylrock.adapters import bodies, http1
from berylrock.core import errors
from berylrock.ops import buffering

__all__ = ["Answer", "Call", "PlatformClient"]

CONNECT_TIMEOUT_S = 0.7
MAX_IDLE_CONNECTIONS = 8
IDLE_LIMIT_S = 5.0
# A page of a list has about 1 MB, and an object at most 1 MiB.
MAX_ANSWER_BYTES = 4_194_304
# What answers may take together: a page of each kind, and a few objects.
BUFFER_BYTES = 2 * MAX_ANSWER_BYTES


class Call(NamedTuple):
    """A call to make.

    Attributes:
      method: HTTP method.
      target: Path and query.
      body: JSON document; empty for none.
      headers: Headers beside those that each call has.
    """

    method: str
    target: str
    body: bytes = b""
    headers: tuple[tuple[bytes, bytes], ...] = ()


class Answer(NamedTuple):
    """Answer to a call, with its headers by name in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class _Idle(NamedTuple):
    """A connection without a call, the address to which it was opened, and the path it is for."""

    conn: http1.EngineConnection
    address: tuple[str, int]
    path: str


class PlatformClient:
    """Client of one service.

    Attributes:
      address: Address and port of the service.
      calls: Calls made so far.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.calls = 0
        self._idle: list[_Idle] = []
        self._buffers = buffering.BufferBudget(BUFFER_BYTES)

    async def make(self, call: Call, limit_s: float) -> Answer:
        """Make a call.

        Args:
          call: The call.
          limit_s: Longest time for the whole call, in seconds.

        Returns:
          The answer, whatever its status.

        Raises:
          StoreUnavailable: There was no valid answer. The call may have taken effect.
        """
        self.calls += 1
        try:
            async with asyncio.timeout(limit_s):
                return await self._attempt(call)
        except (
            *(TimeoutError, http1.ConnectFailed, http1.ResponseBroken),
            *(buffering.BodyTooLarge, buffering.BodyGivenUp),
        ) as exc:
            # Other open connections may have gone silent or broken together with this one.
            self.close()
            text = f"no response to {call.method} {call.target}: {exc}; retried automatically"
            raise errors.StoreUnavailable(text) from exc

    def close(self) -> None:
        """Close the idle connections."""
        for item in self._idle:
            item.conn.close()
        self._idle.clear()

    async def _attempt(self, call: Call) -> Answer:
        address, path = self.address, call.target.partition("?")[0]
        conn = await self._acquire(address, path)
        reusable = False
        try:
            headers = [(b"host", f"{address[0]}:{address[1]}".encode()), *call.headers]
            if call.body:
                headers.append((b"content-type", b"application/json"))
            if call.method != "GET":
                headers.append((b"content-length", str(len(call.body)).encode()))
            await conn.send(call.method, call.target, headers, call.body)
            answer = await self._read(conn)
            reusable = conn.reset_for_reuse()
            return answer
        finally:
            if reusable:
                self._idle.append(_Idle(conn, address, path))
                if len(self._idle) > MAX_IDLE_CONNECTIONS:
                    self._idle.pop(0).conn.close()
            else:
                conn.close()

    async def _read(self, conn: http1.EngineConnection) -> Answer:
        head = await conn.next_event()
        if not isinstance(head, h11.Response):
            raise http1.ResponseBroken("no response head")
        body = buffering.Body(self._buffers, MAX_ANSWER_BYTES)
        try:
            data = await bodies.read(body, conn.next_data)
            return Answer(head.status_code, dict(head.headers), data)
        finally:
            body.release()

    async def _acquire(self, address: tuple[str, int], path: str) -> http1.EngineConnection:
        """Return a connection to an address for calls to a path; unusable ones are closed."""
        now = asyncio.get_running_loop().time()
        items, self._idle = self._idle, []
        found: http1.EngineConnection | None = None
        for item in items:
            is_kept = item.conn.usable and now - item.conn.idle_since < IDLE_LIMIT_S
            if not is_kept or item.address != address:
                item.conn.close()
            elif found is None and item.path == path:
                found = item.conn
            else:
                self._idle.append(item)
        return found or await http1.EngineConnection.open(address, CONNECT_TIMEOUT_S)
