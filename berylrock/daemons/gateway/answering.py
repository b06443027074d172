"""Sends answers to a caller: an engine's, unchanged, or one of the gateway's own."""

import asyncio

import h11

from berylrock.adapters import http1
from berylrock.platform import translating

__all__ = ["Responder"]

Headers = list[tuple[bytes, bytes]]


class Responder:
    """The answer to one request.

    Attributes:
      begun: The head has been sent.
      outcome: What the caller got, for the log.
      closes: The connection ends with this answer.
    """

    def __init__(self, link: http1.CallerConnection, request_id: str, closes: bool) -> None:
        self.begun = False
        self.outcome = ""
        self.closes = closes
        self._link = link
        self._id = request_id

    def _own_headers(self) -> Headers:
        return [(b"connection", b"close")] if self.closes else []

    async def refuse(self, status: int, reason: str, retry_after_s: float | None = None) -> None:
        """Send an answer of the gateway's own.

        A 503 promises that the request has not run and never will.
        """
        self.begun = True
        self.outcome = f"{status} {reason}"
        headers = translating.write_refusal_headers(self._id, retry_after_s) + self._own_headers()
        await self._link.send(h11.Response(status_code=status, headers=headers))
        await self._link.send(h11.EndOfMessage())

    async def send_whole(self, head: translating.AnswerHead, body: bytes) -> None:
        """Send an engine's whole answer."""
        self.begun = True
        self.outcome = f"{head.status} whole"
        headers = list(head.headers) + self._own_headers()
        headers.append((b"content-length", str(len(body)).encode()))
        await self._link.send(h11.Response(status_code=head.status, headers=headers))
        if body:
            await self._link.send(h11.Data(data=body))
        await self._link.send(h11.EndOfMessage())

    async def begin_stream(self, head: translating.AnswerHead) -> None:
        """Send the head of a stream, whose end is marked."""
        self.begun = True
        headers = list(head.headers) + self._own_headers()
        headers.append((b"transfer-encoding", b"chunked"))
        await self._link.send(h11.Response(status_code=head.status, headers=headers))

    async def send_piece(self, data: bytes) -> None:
        """Send a part of a stream."""
        await self._link.send(h11.Data(data=data))

    async def end_stream(self) -> None:
        """Mark the stream as whole."""
        self.outcome = "200 stream"
        await self._link.send(h11.EndOfMessage())

    def abort(self, reason: str) -> None:
        """End a begun answer so that it cannot look complete."""
        self.outcome = f"broken {reason}"
        self.closes = True
        self._link.abort()


async def sleep_until(when: float) -> None:
    """Sleep until a time on the loop's clock."""
    await asyncio.sleep(max(0.0, when - asyncio.get_running_loop().time()))
