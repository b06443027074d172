"""HTTP clients for model engines and plain services, based on aiohttp.

Every request opens a new connection to the backend server next to the sidecar. Therefore an error
while connecting proves that nothing was passed on, and aiohttp never retries a request itself.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
import yarl

from berylrock.adapters import interfaces
from berylrock.core import message

__all__ = ["HttpEngine", "HttpPlainServer"]

CONNECT_TIMEOUT_SECONDS = 1.0
REPORT_TIMEOUT_SECONDS = 1.0
ORDER_TIMEOUT_SECONDS = 60.0
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


def _open_session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(force_close=True, limit=0, socket_factory=_make_socket)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
    return aiohttp.ClientSession(
        connector=connector, timeout=timeout, auto_decompress=False, read_bufsize=16384
    )


def _unreachable_error(exc: Exception) -> interfaces.BackendUnreachable:
    return interfaces.BackendUnreachable(f"backend server is unreachable: {exc}")


def _lost_error(exc: BaseException) -> interfaces.BackendLost:
    return interfaces.BackendLost(
        f"connection to backend server broke: {type(exc).__name__}: {exc}"
    )


async def _fetch_load_report(session: aiohttp.ClientSession, url: str) -> interfaces.LoadReport:
    timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_SECONDS)
    try:
        async with session.get(url, timeout=timeout) as resp:
            found = msgspec.json.decode(await resp.read(), type=_Report)
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as exc:
        raise _unreachable_error(exc) from exc
    return interfaces.LoadReport(**msgspec.structs.asdict(found))


class HttpEngine:
    """Client for a model engine with an OpenAI-compatible interface."""

    def __init__(self, base_url: str) -> None:
        self._base = base_url.rstrip("/")
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
                raise interfaces.BackendError(resp.status, (await resp.text())[:200])
            async for item in self._read_events(resp):
                yield item
        finally:
            resp.close()

    async def _read_events(
        self, resp: aiohttp.ClientResponse
    ) -> AsyncIterator[interfaces.StreamChunk | interfaces.KeepAlive | interfaces.StreamEnd]:
        incomplete_line = b""
        usage = _Usage()
        while True:
            try:
                data = await resp.content.readany()
            except (aiohttp.ClientError, OSError, TimeoutError) as exc:
                raise _lost_error(exc) from exc
            if not data:
                raise interfaces.BackendLost("engine closed the stream without the end marker")
            *lines, incomplete_line = (incomplete_line + data).split(b"\n")
            for line in lines:
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

    async def load_report(self) -> interfaces.LoadReport:
        """Fetch the engine's load report; raises ``BackendUnreachable``."""
        return await _fetch_load_report(self._session, f"{self._base}/load")

    async def order(self, order: message.Order) -> tuple[bool, str]:
        """Send an order to the engine.

        Args:
          order: The order.

        Returns:
          Whether the engine accepted the order, and the text of its response or the error.
        """
        body = msgspec.json.encode(order._asdict())
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                f"{self._base}/orders", data=body, timeout=timeout
            ) as resp:
                return resp.status == 200, await resp.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return False, f"engine did not respond to the order: {exc}"

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


class HttpPlainServer:
    """Client for a backend server of a plain service."""

    def __init__(self, base_url: str) -> None:
        self._base = base_url.rstrip("/")
        self._session = _open_session()

    async def call(self, start: message.Start, max_bytes: int) -> interfaces.ServiceResponse:
        """Pass a call on exactly once, with the caller's method, path, headers and body.

        Args:
          start: The call.
          max_bytes: Largest body of an answer.

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
            return await self._read_answer(resp, max_bytes)
        finally:
            resp.close()

    async def _read_answer(
        self, resp: aiohttp.ClientResponse, max_bytes: int
    ) -> interfaces.ServiceResponse:
        body = bytearray()
        try:
            while data := await resp.content.readany():
                body += data
                if len(body) > max_bytes:
                    raise interfaces.BackendLost(
                        f"answer is larger than {max_bytes} bytes; request less data per call"
                    )
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost_error(exc) from exc
        lines = tuple(
            f"{name}: {value}"
            for name, value in resp.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return interfaces.ServiceResponse(resp.status, lines, bytes(body))

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
