"""Sends responses to a caller: an engine's response, or an error of the gateway."""

import asyncio

import h11

from berylrock.adapters import http1
from berylrock.platform import translating

__all__ = ["Responder"]

Headers = list[tuple[bytes, bytes]]


class Responder:
    """Sends the response to one request.

    Attributes:
      begun: Whether the head has been sent.
      outcome: What the caller got, for the log.
      closes: Whether the connection closes after this response.
      first_chunk_at: When the first part of a stream was sent, on the event loop's clock; 0 before.
      longest_gap_s: Longest time between two parts of a stream, in seconds.
    """

    def __init__(self, conn: http1.CallerConnection, request_id: str, closes: bool) -> None:
        self.begun = False
        self.outcome = ""
        self.closes = closes
        self.first_chunk_at = 0.0
        self.longest_gap_s = 0.0
        self._last_chunk_at = 0.0
        self._conn = conn
        self._id = request_id

    def _connection_headers(self) -> Headers:
        return [(b"connection", b"close")] if self.closes else []

    async def refuse(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        """Send an error of the gateway.

        A 503 guarantees that the request has not run and will not run.

        Args:
          status: HTTP status.
          reason: Why, for the log.
          retry_after_s: Seconds for the Retry-After header; None to leave it out.
        """
        headers = (
            translating.build_refusal_headers(self._id, retry_after_s) + self._connection_headers()
        )
        head = h11.Response(status_code=status, headers=headers)
        self.begun = True
        self.outcome = f"{status} {reason}"
        await self._conn.send(head)
        await self._conn.send(h11.EndOfMessage())

    async def send_response(self, head: translating.ResponseHead, body: bytes) -> None:
        """Send an engine's complete response."""
        headers = list(head.headers) + self._connection_headers()
        headers.append((b"content-length", str(len(body)).encode()))
        first = h11.Response(status_code=head.status, headers=headers)
        self.begun = True
        self.outcome = f"{head.status} whole"
        await self._conn.send(first)
        if body:
            await self._conn.send(h11.Data(data=body))
        await self._conn.send(h11.EndOfMessage())

    async def begin_stream(self, head: translating.ResponseHead) -> None:
        """Send the head of a stream, in chunked encoding, which marks the end of a complete one."""
        headers = list(head.headers) + self._connection_headers()
        headers.append((b"transfer-encoding", b"chunked"))
        first = h11.Response(status_code=head.status, headers=headers)
        self.begun = True
        await self._conn.send(first)

    async def send_chunk(self, data: bytes) -> None:
        """Send a part of the stream."""
        await self._conn.send(h11.Data(data=data))
        now = asyncio.get_running_loop().time()
        if not self.first_chunk_at:
            self.first_chunk_at = self._last_chunk_at = now
        self.longest_gap_s = max(self.longest_gap_s, now - self._last_chunk_at)
        self._last_chunk_at = now

    async def end_stream(self) -> None:
        """Mark the stream as complete."""
        self.outcome = "200 stream"
        await self._conn.send(h11.EndOfMessage())

    def abort(self, reason: str) -> None:
        """Abort the connection, so that a response that has begun cannot appear complete."""
        self.outcome = f"broken {reason}"
        self.closes = True
        self._conn.abort()


async def sleep_until(when: float) -> None:
    """Sleep until a time on the event loop's clock."""
    await asyncio.sleep(max(0.0, when - asyncio.get_running_loop().time()))
