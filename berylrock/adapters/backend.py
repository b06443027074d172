"""HTTP clients for model engines and plain services.

Every request has a connection of its own to the backend server next to the sidecar.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import msgspec

from berylrock.adapters import backendcall, bodies, interfaces
from berylrock.core import message
from berylrock.ops import buffering, lines

__all__ = ["HttpEngine", "HttpPlainServer"]

CONNECT_TIMEOUT_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 60.0
# Longest time from the head of a response to its end, where its text only describes the outcome.
TEXT_TIMEOUT_SECONDS = 1.0
MAX_REPORT_BYTES = 262_144
MAX_TEXT_BYTES = 4096
MAX_EVENT_LINE_BYTES = 262_144
ERROR_DETAIL_CHARACTERS = 200
END_MARKER = b"[DONE]"
DATA_PREFIX = b"data: "
OK = 200
HOP_BY_HOP_HEADERS = frozenset(
    ("connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade")
)


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    confidence: float = 0.0


class _Event(msgspec.Struct):
    choices: msgspec.Raw = msgspec.Raw(b"[]")
    usage: _Usage | None = None


class _Report(msgspec.Struct):
    incarnation: str
    loaded: tuple[str, ...] = ()
    held_tokens: int = 0
    capacity_tokens: int = 0
    cold: bool = False


_decode_event = msgspec.json.Decoder(_Event).decode


def _read_event(payload: bytes) -> _Event:
    try:
        return _decode_event(payload)
    except msgspec.MsgspecError as exc:
        raise interfaces.BackendLost(f"engine sent an event that cannot be read: {exc}") from exc


def _unreachable_error(exc: Exception) -> interfaces.BackendUnreachable:
    return interfaces.BackendUnreachable(f"backend server is unreachable: {exc}")


class HttpEngine:
    """Client for a model engine with an OpenAI-compatible interface.

    Args:
      base_url: URL of the engine.
      buffers: Budget for what is received from it.
    """

    def __init__(self, base_url: str, buffers: buffering.BufferBudget) -> None:
        self._base = backendcall.parse_base_url(base_url)
        self._buffers = buffers

    async def run(
        self, start: message.Start
    ) -> AsyncIterator[interfaces.StreamChunk | interfaces.KeepAlive | interfaces.StreamEnd]:
        """Run a request, or resume one; closing the iterator cancels the request.

        The request always runs as a stream, so that a stalled engine is detected.

        Args:
          start: The request.

        Yields:
          The chunks and keep-alive signs of the answer, then its end.

        Raises:
          BackendUnreachable: The request was not passed on.
          BackendLost: The connection broke; the request may have run.
          BackendError: The engine returned an error.
        """
        body = msgspec.json.decode(start.body, type=dict[str, Any])
        body |= {"model": start.target, "stream": True, "priority": start.priority}
        if start.resume_tokens:
            body["resume"] = {"tokens": start.resume_tokens, "text": start.resume_text}
        headers = [
            (b"x-request-id", start.request_id.encode()),
            (b"content-type", b"application/json"),
        ]
        call = await backendcall.BackendCall.open(
            self._base, "POST", "/v1/chat/completions", headers, msgspec.json.encode(body)
        )
        try:
            if call.status != OK:
                raise interfaces.BackendError(call.status, await self._read_error(call))
            splitter = lines.LineSplitter(buffering.Hold(self._buffers), MAX_EVENT_LINE_BYTES)
            try:
                async for item in self._read_events(call, splitter):
                    yield item
            finally:
                splitter.close()
        finally:
            call.close()

    async def _read_error(self, call: backendcall.BackendCall) -> str:
        """Read the begin of an error's text; what is wrong with it, if it cannot be read."""
        body = buffering.Body(self._buffers, MAX_TEXT_BYTES)
        try:
            async with asyncio.timeout(TEXT_TIMEOUT_SECONDS):
                data = await bodies.read_start(body, call.read, MAX_TEXT_BYTES)
            return data.decode("utf-8", "replace")[:ERROR_DETAIL_CHARACTERS]
        except (interfaces.BackendLost, TimeoutError, buffering.BodyGivenUp) as exc:
            return f"its text cannot be read: {type(exc).__name__}: {exc}"

    async def _read_events(
        self, call: backendcall.BackendCall, splitter: lines.LineSplitter
    ) -> AsyncIterator[interfaces.StreamChunk | interfaces.KeepAlive | interfaces.StreamEnd]:
        usage = _Usage()
        while True:
            for line in await self._read_lines(call, splitter):
                if not line.startswith(DATA_PREFIX):
                    if line:
                        yield interfaces.KeepAlive()
                    continue
                payload = line[len(DATA_PREFIX) :]
                if payload == END_MARKER:
                    yield interfaces.StreamEnd(
                        usage.prompt_tokens, usage.completion_tokens, usage.confidence
                    )
                    return
                event = _read_event(payload)
                usage = event.usage or usage
                if bytes(event.choices) != b"[]":
                    yield interfaces.StreamChunk(bytes(event.choices))

    async def _read_lines(
        self, call: backendcall.BackendCall, splitter: lines.LineSplitter
    ) -> list[bytes]:
        """Wait for data; returns the lines that it completes, and raises ``BackendLost``."""
        try:
            data = await call.read()
            found = splitter.feed(data)
        except (lines.LineTooLong, buffering.BodyGivenUp) as exc:
            raise interfaces.BackendLost(f"engine sent an event that was given up: {exc}") from exc
        if not data:
            raise interfaces.BackendLost("engine closed the stream without the end marker")
        return found

    async def load_report(self) -> interfaces.LoadReport:
        """Fetch the engine's load report; raises ``BackendUnreachable``."""
        body = buffering.Body(self._buffers, MAX_REPORT_BYTES)
        try:
            async with asyncio.timeout(REPORT_TIMEOUT_SECONDS):
                call = await backendcall.BackendCall.open(self._base, "GET", "/load", [], b"")
                with contextlib.closing(call):
                    data = await bodies.read(body, call.read)
            found = msgspec.json.decode(data, type=_Report)
        except (
            *(interfaces.BackendLost, TimeoutError, msgspec.MsgspecError),
            *(buffering.BodyTooLarge, buffering.BodyGivenUp),
        ) as exc:
            raise _unreachable_error(exc) from exc
        finally:
            body.release()
        return interfaces.LoadReport(**msgspec.structs.asdict(found))

    async def order(self, order: message.Order) -> tuple[bool, str]:
        """Send an order to the engine.

        Args:
          order: The order.

        Returns:
          Whether the engine accepted the order, and the text of its response or the error.
        """
        body = buffering.Body(self._buffers, MAX_TEXT_BYTES)
        content = msgspec.json.encode(order._asdict())
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                call = await backendcall.BackendCall.open(
                    self._base, "POST", "/orders", [], content
                )
            with contextlib.closing(call):
                async with asyncio.timeout(TEXT_TIMEOUT_SECONDS):
                    text = await bodies.read(body, call.read)
            return call.status == OK, text.decode("utf-8", "replace")
        except (
            *(interfaces.BackendUnreachable, interfaces.BackendLost, TimeoutError),
            *(buffering.BodyTooLarge, buffering.BodyGivenUp),
        ) as exc:
            return False, f"engine did not respond to the order: {exc}"
        finally:
            body.release()


class HttpPlainServer:
    """Client for a backend server of a plain service."""

    def __init__(self, base_url: str) -> None:
        self._base = backendcall.parse_base_url(base_url)

    async def call(self, start: message.Start, body: buffering.Body) -> interfaces.ServiceResponse:
        """Pass a call on exactly once, with the caller's method, path, headers and body.

        Args:
          start: The call.
          body: Collects the body of the answer; it stays counted until it is released.

        Returns:
          The answer.

        Raises:
          BackendUnreachable: The call was not passed on.
          BackendLost: The connection broke or the answer is too large; the call may have run.
        """
        pairs = (line.split(": ", 1) for line in start.headers)
        headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in pairs]
        call = await backendcall.BackendCall.open(
            self._base, start.method, start.path, headers, start.body
        )
        with contextlib.closing(call):
            return await self._read_answer(call, body)

    async def _read_answer(
        self, call: backendcall.BackendCall, body: buffering.Body
    ) -> interfaces.ServiceResponse:
        try:
            data = await bodies.read(body, call.read)
        except (buffering.BodyTooLarge, buffering.BodyGivenUp) as exc:
            raise interfaces.BackendLost(f"answer was given up: {exc}") from exc
        headers = tuple(
            f"{name}: {value}"
            for name, value in call.headers
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return interfaces.ServiceResponse(call.status, headers, data)

    async def load_report(self) -> interfaces.LoadReport:
        """Check that the server accepts connections; raises ``BackendUnreachable`` if not.

        Plain services report no load, so the returned report is empty.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(self._base.host, self._base.port)
        except (OSError, TimeoutError) as exc:
            raise _unreachable_error(exc) from exc
        writer.close()
        return interfaces.LoadReport("")
