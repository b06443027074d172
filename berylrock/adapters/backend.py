"""HTTP clients for model engines and plain services, based on aiohttp.

Every request opens a new connection to the backend server next to the sidecar, and is sent once.
Therefore an error while connecting proves that nothing was passed on.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
import yarl

from berylrock.adapters import bodies, interfaces
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
RECEIVE_BUFFER_BYTES = 32_768
END_MARKER = b"[DONE]"
DATA_PREFIX = b"data: "
OVERLOADED = 503
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


def _make_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Create a socket with a small receive buffer.

    A small buffer keeps a server from sending much more than a slow reader has consumed.
    """
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock


async def _send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request; raises ``aiohttp.ClientError`` itself for a broken connection.

    Scenario: a server runs a PUT call and closes its connection. By itself, aiohttp sends requests
    of such methods once more after an error of the kinds below, which are derived from that class.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise aiohttp.ClientError(f"{type(exc).__name__}: {exc}") from exc


def _open_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(force_close=True, limit=0, socket_factory=_make_socket)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
        auto_decompress=False,
        read_bufsize=16384,
        middlewares=(_send_once,),
    )


def _unreachable_error(exc: Exception) -> interfaces.BackendUnreachable:
    return interfaces.BackendUnreachable(f"backend server is unreachable: {exc}")


def _lost_error(exc: BaseException) -> interfaces.BackendLost:
    return interfaces.BackendLost(
        f"connection to backend server broke: {type(exc).__name__}: {exc}"
    )


class HttpEngine:
    """Client for a model engine with an OpenAI-compatible interface.

    Args:
      base_url: URL of the engine.
      buffers: Budget for what is received from it.
    """

    def __init__(self, base_url: str, buffers: buffering.BufferBudget) -> None:
        self._base = base_url.rstrip("/")
        self._buffers = buffers
        self._session = _open_session()

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
        headers = {"X-Request-Id": start.request_id, "Content-Type": "application/json"}
        url = f"{self._base}/v1/chat/completions"
        try:
            resp = await self._session.post(url, data=msgspec.json.encode(body), headers=headers)
        except aiohttp.ClientConnectorError as exc:
            raise _unreachable_error(exc) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost_error(exc) from exc
        try:
            if resp.status != 200:
                raise interfaces.BackendError(resp.status, await self._read_error(resp))
            splitter = lines.LineSplitter(buffering.Hold(self._buffers), MAX_EVENT_LINE_BYTES)
            try:
                async for item in self._read_events(resp, splitter):
                    yield item
            finally:
                splitter.close()
        finally:
            resp.close()

    async def _read_error(self, resp: aiohttp.ClientResponse) -> str:
        """Read the begin of an error's text; what is wrong with it, if it cannot be read."""
        body = buffering.Body(self._buffers, MAX_TEXT_BYTES)
        try:
            async with asyncio.timeout(TEXT_TIMEOUT_SECONDS):
                data = await bodies.read_start(body, resp.content.readany, MAX_TEXT_BYTES)
            return data.decode("utf-8", "replace")[:ERROR_DETAIL_CHARACTERS]
        except (aiohttp.ClientError, OSError, TimeoutError, buffering.BodyGivenUp) as exc:
            return f"its text cannot be read: {type(exc).__name__}: {exc}"

    async def _read_events(
        self, resp: aiohttp.ClientResponse, splitter: lines.LineSplitter
    ) -> AsyncIterator[interfaces.StreamChunk | interfaces.KeepAlive | interfaces.StreamEnd]:
        usage = _Usage()
        while True:
            for line in await self._read_lines(resp, splitter):
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
        self, resp: aiohttp.ClientResponse, splitter: lines.LineSplitter
    ) -> list[bytes]:
        """Wait for data; returns the lines that it completes, and raises ``BackendLost``."""
        try:
            data = await resp.content.readany()
            found = splitter.feed(data)
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost_error(exc) from exc
        except (lines.LineTooLong, buffering.BodyGivenUp) as exc:
            raise interfaces.BackendLost(f"engine sent an event that was given up: {exc}") from exc
        if not data:
            raise interfaces.BackendLost("engine closed the stream without the end marker")
        return found

    async def load_report(self) -> interfaces.LoadReport:
        """Fetch the engine's load report; raises ``BackendUnreachable``."""
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_SECONDS)
        body = buffering.Body(self._buffers, MAX_REPORT_BYTES)
        try:
            async with self._session.get(f"{self._base}/load", timeout=timeout) as resp:
                data = await bodies.read(body, resp.content.readany)
            found = msgspec.json.decode(data, type=_Report)
        except (
            *(aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError),
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
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
        body = buffering.Body(self._buffers, MAX_TEXT_BYTES)
        try:
            async with (
                self._session.post(
                    f"{self._base}/orders",
                    data=msgspec.json.encode(order._asdict()),
                    timeout=timeout,
                ) as resp,
                asyncio.timeout(TEXT_TIMEOUT_SECONDS),
            ):
                text = await bodies.read(body, resp.content.readany)
            return resp.status == 200, text.decode("utf-8", "replace")
        except (
            *(aiohttp.ClientError, OSError, TimeoutError),
            *(buffering.BodyTooLarge, buffering.BodyGivenUp),
        ) as exc:
            return False, f"engine did not respond to the order: {exc}"
        finally:
            body.release()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


class HttpPlainServer:
    """Client for a backend server of a plain service."""

    def __init__(self, base_url: str) -> None:
        self._base = base_url.rstrip("/")
        self._session = _open_session()

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
        headers = [tuple(line.split(": ", 1)) for line in start.headers]
        try:
            resp = await self._session.request(
                start.method,
                self._base + start.path,
                data=start.body or None,
                headers=headers,  # type: ignore[arg-type]
                allow_redirects=False,
            )
        except aiohttp.ClientConnectorError as exc:
            raise _unreachable_error(exc) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost_error(exc) from exc
        try:
            return await self._read_answer(resp, body)
        finally:
            resp.close()

    async def _read_answer(
        self, resp: aiohttp.ClientResponse, body: buffering.Body
    ) -> interfaces.ServiceResponse:
        try:
            data = await bodies.read(body, resp.content.readany)
        except (buffering.BodyTooLarge, buffering.BodyGivenUp) as exc:
            raise interfaces.BackendLost(f"answer was given up: {exc}") from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost_error(exc) from exc
        headers = tuple(
            f"{name}: {value}"
            for name, value in resp.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return interfaces.ServiceResponse(resp.status, headers, data)

    async def load_report(self) -> interfaces.LoadReport:
        """Check that the server accepts connections; raises ``BackendUnreachable`` if not.

        Plain services report no load, so the returned report is empty.
        """
        url = yarl.URL(self._base)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(url.host, url.port)
        except (OSError, TimeoutError) as exc:
            raise _unreachable_error(exc) from exc
        writer.close()
        return interfaces.LoadReport("")

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
