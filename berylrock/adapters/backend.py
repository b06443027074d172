"""Model engines and plain services over HTTP, by aiohttp.

Every request has a connection of its own to the server beside the sidecar. A connection error is
then proof that nothing was passed on, and the library never repeats a call by itself.
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
DONE_MARK = b"[DONE]"
DATA_PREFIX = b"data: "
OVERLOADED = 503
HOP_HEADERS = frozenset(
    ("connection", "content-length", "host", "keep-alive", "te", "transfer-encoding", "upgrade")
)


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    confidence: float = 0.0


class _Event(msgspec.Struct):
    choices: msgspec.Raw = msgspec.Raw(b"[]")
    usage: _Usage | None = None


_decode_event = msgspec.json.Decoder(_Event).decode


def _make_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Make a socket on which a server cannot run far ahead of a slow reader."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return sock


def _session() -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(force_close=True, limit=0, socket_factory=_make_socket)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS)
    return aiohttp.ClientSession(
        connector=connector, timeout=timeout, auto_decompress=False, read_bufsize=16384
    )


def _unreachable(exc: Exception) -> interfaces.BackendUnreachable:
    return interfaces.BackendUnreachable(f"backend server does not accept connections: {exc}")


def _lost(exc: BaseException) -> interfaces.BackendLost:
    return interfaces.BackendLost(f"backend server broke off: {type(exc).__name__}: {exc}")


async def _read_load(session: aiohttp.ClientSession, url: str) -> interfaces.LoadReport:
    timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT_SECONDS)
    try:
        async with session.get(url, timeout=timeout) as resp:
            body = msgspec.json.decode(await resp.read(), type=dict[str, Any])
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.MsgspecError) as exc:
        raise _unreachable(exc) from exc
    body["loaded"] = tuple(body.get("loaded", ()))
    return interfaces.LoadReport(**body)


class HttpEngine:
    """A model engine with an OpenAI-compatible interface."""

    def __init__(self, base_url: str) -> None:
        self._base = base_url.rstrip("/")
        self._session = _session()

    async def run(
        self, start: message.Start
    ) -> AsyncIterator[interfaces.StreamChunk | interfaces.KeepAlive | interfaces.StreamEnd]:
        """Run a request, always as a stream so that a stalled engine shows."""
        body = msgspec.json.decode(start.body, type=dict[str, Any])
        body |= {"model": start.target, "stream": True, "priority": start.priority}
        if start.resume_tokens:
            body["resume"] = {"tokens": start.resume_tokens, "text": start.resume_text}
        headers = {"X-Request-Id": start.request_id, "Content-Type": "application/json"}
        url = f"{self._base}/v1/chat/completions"
        try:
            resp = await self._session.post(url, data=msgspec.json.encode(body), headers=headers)
        except aiohttp.ClientConnectorError as exc:
            raise _unreachable(exc) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost(exc) from exc
        try:
            if resp.status != 200:
                raise interfaces.BackendError(resp.status, (await resp.text())[:200])
            async for item in self._events(resp):
                yield item
        finally:
            resp.close()

    async def _events(
        self, resp: aiohttp.ClientResponse
    ) -> AsyncIterator[interfaces.StreamChunk | interfaces.KeepAlive | interfaces.StreamEnd]:
        rest = b""
        usage = _Usage()
        while True:
            try:
                data = await resp.content.readany()
            except (aiohttp.ClientError, OSError, TimeoutError) as exc:
                raise _lost(exc) from exc
            if not data:
                raise interfaces.BackendLost("engine ended the answer without its end mark")
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                if not line.startswith(DATA_PREFIX):
                    if line:
                        yield interfaces.KeepAlive()
                    continue
                payload = line[len(DATA_PREFIX) :]
                if payload == DONE_MARK:
                    yield interfaces.StreamEnd(
                        usage.prompt_tokens, usage.completion_tokens, usage.confidence
                    )
                    return
                event = _decode_event(payload)
                usage = event.usage or usage
                if bytes(event.choices) != b"[]":
                    yield interfaces.StreamChunk(bytes(event.choices))

    async def load_report(self) -> interfaces.LoadReport:
        """Ask for its load."""
        return await _read_load(self._session, f"{self._base}/load")

    async def order(self, order: message.Order) -> tuple[bool, str]:
        """Give an order."""
        body = msgspec.json.encode(order._asdict())
        timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
        try:
            async with self._session.post(
                f"{self._base}/orders", data=body, timeout=timeout
            ) as resp:
                return resp.status == 200, await resp.text()
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            return False, f"engine did not answer the order: {exc}"

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


class HttpPlainServer:
    """A backend server of a plain service."""

    def __init__(self, base_url: str) -> None:
        self._base = base_url.rstrip("/")
        self._session = _session()

    async def call(self, start: message.Start, max_bytes: int) -> interfaces.ServiceResponse:
        """Pass a call on, once, with method, path, headers and body as the caller sent them."""
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
            raise _unreachable(exc) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost(exc) from exc
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
                        f"answer is over {max_bytes} bytes; ask for less at a time"
                    )
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise _lost(exc) from exc
        lines = tuple(
            f"{name}: {value}"
            for name, value in resp.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return interfaces.ServiceResponse(resp.status, lines, bytes(body))

    async def load_report(self) -> interfaces.LoadReport:
        """Tell whether it accepts connections; a plain service says nothing else of itself."""
        url = yarl.URL(self._base)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(url.host, url.port)
        except (OSError, TimeoutError) as exc:
            raise _unreachable(exc) from exc
        writer.close()
        return interfaces.LoadReport("")

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
