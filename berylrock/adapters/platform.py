"""HTTP clients for the platform's object API, VM list and rating service, based on urllib3.

The calls are few, so each one runs in a thread of a small pool. Watches, which wait for a long
time, use a separate pool, so that they cannot delay other calls such as claims.

Scenario: the platform, or a proxy before it, writes an answer once more when the next call has been
sent, and a claim that another request holds counts as written. An answer names no call, so each
call has a connection of its own, on which nothing but its answer can come.
"""

import asyncio
import concurrent.futures
import contextlib
import functools
import math
import socket
import threading
import time
from collections.abc import Iterator, Mapping
from typing import Any, NamedTuple, TypeVar

import msgspec
import urllib3

from berylrock.adapters import bodies, interfaces
from berylrock.core import data, errors, metrics
from berylrock.ops import buffering

__all__ = ["HttpObjectStore", "HttpRatingService", "HttpVmList"]

CALL_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5
WATCH_MARGIN_SECONDS = 2.0
# An object has 1 MB at most, and so has a page of a list.
MAX_ANSWER_BYTES = 4 * buffering.BYTES_PER_MB
READ_BYTES = 65_536
T = TypeVar("T")
CALL_THREADS = 16
WATCH_THREADS = 4
VERSION_HEADER = "X-Version"
CONDITION_HEADER = "If-Version"
NOT_MODIFIED, MISSING, CONFLICT = 304, 404, 409


_FAILURES = (
    *(urllib3.exceptions.HTTPError, OSError, bodies.BodyTooSlow),
    *(buffering.BodyTooLarge, buffering.BodyGivenUp),
)


class PlatformResponse(NamedTuple):
    """A whole response of the platform."""

    status: int
    headers: Mapping[str, str]
    data: bytes


class _Call:
    """A call that a thread makes, and that the event loop ends once its time is over.

    Attributes:
      expires_at: Time by which it must have ended, on the monotonic clock; infinite before it
        begins.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, limit_s: float) -> None:
        self.expires_at = math.inf
        self._loop = loop
        self._limit_s = limit_s
        self._sock: socket.socket | None = None
        self._cut = False
        self._lock = threading.Lock()

    def begin(self) -> None:
        """Let the time of the call run, now that a thread makes it."""
        self.expires_at = time.monotonic() + self._limit_s
        self._loop.call_soon_threadsafe(self._loop.call_later, self._limit_s, self.cut)

    @property
    def is_cut(self) -> bool:
        """Whether the call was ended, so that what looks like an end of the data is none."""
        return self._cut

    def use(self, sock: socket.socket | None) -> None:
        """Remember the socket on which the call waits; None once it does not."""
        with self._lock:
            self._sock = sock
            if self._cut:
                self._shut_down()

    def cut(self) -> None:
        """Shut the call's connection down, so that its thread waits no longer."""
        with self._lock:
            self._cut = True
            self._shut_down()

    def _shut_down(self) -> None:
        if self._sock is None:
            return
        with contextlib.suppress(OSError):
            # The other side may have closed it already.
            self._sock.shutdown(socket.SHUT_RDWR)


_current = threading.local()


class _Connection(urllib3.connection.HTTPConnection):
    """A connection that tells the call of its thread which socket it waits on."""

    def getresponse(self) -> urllib3.HTTPResponse:  # type: ignore[override]
        """Wait for the head of the response."""
        _current.call.use(self.sock)
        return super().getresponse()


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def _open_pool() -> urllib3.PoolManager:
    """Return a pool for the connection of one call."""
    pool = urllib3.PoolManager(maxsize=1, retries=False)
    pool.pool_classes_by_scheme = {"http": _ConnectionPool, "https": urllib3.HTTPSConnectionPool}
    return pool


def _read_parts(resp: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    """Yield the bytes of a body as they arrive, unpacked."""
    while True:
        part = resp.read1(READ_BYTES)
        if not part:
            return
        yield part


class _Client:
    """HTTP client that runs calls in threads and raises ``StoreUnavailable`` for every failure.

    Each answer has a limit on its bytes and its time, whatever bytes arrive.
    """

    def __init__(self, meter: metrics.Metrics) -> None:
        self._buffers = buffering.BufferBudget(2 * MAX_ANSWER_BYTES)
        executor = concurrent.futures.ThreadPoolExecutor
        self._calls = executor(CALL_THREADS, thread_name_prefix="platform")
        self._watches = executor(WATCH_THREADS, thread_name_prefix="watch")
        self._meter = meter

    async def call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        wait_seconds: float = 0.0,
    ) -> PlatformResponse:
        """Make one HTTP call.

        Args:
          method: HTTP method.
          url: URL.
          body: Request body; None for none.
          headers: Request headers; None for none.
          wait_seconds: Longest time for which the platform may hold back its answer, in seconds;
            a value above 0 marks a watch.

        Returns:
          The response, whose status is neither 429 nor 500 or above.

        Raises:
          StoreUnavailable: The platform did not answer, or with such a status.
        """
        self._meter.count(metrics.Metrics.STORE_CALLS)
        read_timeout = CALL_TIMEOUT_SECONDS
        if wait_seconds:
            read_timeout = wait_seconds + WATCH_MARGIN_SECONDS
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=read_timeout)
        loop = asyncio.get_running_loop()
        call = _Call(loop, CONNECT_TIMEOUT_SECONDS + read_timeout)
        request = functools.partial(
            self._exchange, call, method, url, body=body, headers=headers or {}, timeout=timeout
        )
        pool = self._watches if wait_seconds else self._calls
        try:
            resp = await loop.run_in_executor(pool, request)
        except _FAILURES as exc:
            raise self._unavailable(f"did not answer {method} {url}: {exc}") from exc
        if resp.status >= 500 or resp.status == 429:
            raise self._unavailable(f"returned status {resp.status}")
        return resp

    def _unavailable(self, reason: str) -> errors.StoreUnavailable:
        """Count a failed call, and return its error."""
        self._meter.count(metrics.Metrics.STORE_ERRORS)
        return errors.StoreUnavailable(f"platform {reason}; the call is retried automatically")

    def _exchange(self, call: _Call, method: str, url: str, **options: Any) -> PlatformResponse:
        """Make a call in the current thread, and read its answer within the limits."""
        call.begin()
        _current.call = call
        try:
            with _open_pool() as pool:
                resp = pool.request(method, url, preload_content=False, **options)
                found = self._read(resp, call)
        finally:
            call.use(None)
        return PlatformResponse(resp.status, resp.headers, found)

    def _read(self, resp: urllib3.BaseHTTPResponse, call: _Call) -> bytes:
        """Read a body within the limits."""
        body = buffering.Body(self._buffers, MAX_ANSWER_BYTES)
        try:
            found = bodies.read_blocking(body, _read_parts(resp), call.expires_at)
            if call.is_cut:
                raise bodies.BodyTooSlow("answer did not end in time; check the platform")
        except BaseException:
            resp.close()
            raise
        resp.release_conn()
        return found


def _read_version(resp: PlatformResponse) -> int:
    """Return the version of an object; raises ``StoreUnavailable`` if the answer names none."""
    text = resp.headers.get(VERSION_HEADER, "")
    if not text.isascii() or not text.isdigit():
        raise errors.StoreUnavailable(f"answer without {VERSION_HEADER}; retried automatically")
    return int(text)


def _decode(resp: PlatformResponse, kind: type[T]) -> T:
    """Decode an answer; raises ``StoreUnavailable`` if it is none of that kind."""
    try:
        return msgspec.json.decode(resp.data, type=kind)
    except msgspec.MsgspecError as exc:
        raise errors.StoreUnavailable(f"invalid answer: {exc}; retried automatically") from exc


class HttpObjectStore:
    """Client for the object API."""

    def __init__(self, base_url: str, meter: metrics.Metrics) -> None:
        self._base = base_url.rstrip("/")
        self._client = _Client(meter)

    def _url(self, kind: str, name: str) -> str:
        return f"{self._base}/objects/{kind}/{name}"

    async def get(self, kind: str, name: str) -> interfaces.StoredObject:
        """Read an object; raises ``NotFound``."""
        resp = await self._client.call("GET", self._url(kind, name))
        if resp.status == MISSING:
            raise errors.NotFound(f"no object {kind}/{name}; create it first")
        return interfaces.StoredObject(_read_version(resp), resp.data)

    async def put(self, kind: str, name: str, body: bytes, if_version: int | None) -> int:
        """Write an object, conditionally unless ``if_version`` is None; raises ``Conflict``."""
        headers = {} if if_version is None else {CONDITION_HEADER: str(if_version)}
        resp = await self._client.call("PUT", self._url(kind, name), body, headers)
        if resp.status == CONFLICT:
            raise errors.Conflict(f"{kind}/{name} has another version; read it and try again")
        return _read_version(resp)

    async def delete(self, kind: str, name: str, if_version: int) -> None:
        """Delete an object if it has this version; raises ``Conflict`` or ``NotFound``."""
        headers = {CONDITION_HEADER: str(if_version)}
        resp = await self._client.call("DELETE", self._url(kind, name), None, headers)
        if resp.status == CONFLICT:
            raise errors.Conflict(f"{kind}/{name} has another version; read it and try again")
        if resp.status == MISSING:
            raise errors.NotFound(f"no object {kind}/{name}; it has already been deleted")

    async def watch(
        self, kind: str, name: str, after: int, seconds: float
    ) -> interfaces.StoredObject | None:
        """Wait for a version above ``after`` and read it; None if there is none in time."""
        url = f"{self._url(kind, name)}?after={after}&wait={seconds}"
        resp = await self._client.call("GET", url, wait_seconds=seconds)
        if resp.status in (NOT_MODIFIED, MISSING):
            return None
        return interfaces.StoredObject(_read_version(resp), resp.data)

    async def watch_version(self, kind: str, name: str, after: int, seconds: float) -> int | None:
        """Wait for a version above ``after`` without reading it; None if there is none in time."""
        url = f"{self._url(kind, name)}?after={after}&wait={seconds}&body=0"
        resp = await self._client.call("GET", url, wait_seconds=seconds)
        if resp.status in (NOT_MODIFIED, MISSING):
            return None
        return _read_version(resp)

    async def names(self, kind: str) -> tuple[str, ...]:
        """List the names of all objects of a kind."""
        resp = await self._client.call("GET", f"{self._base}/objects/{kind}")
        return _decode(resp, tuple[str, ...])


class _VmListBody(msgspec.Struct):
    servers: list[dict[str, Any]]


class HttpVmList:
    """Client for the VM list, which uses ETags to avoid transferring an unchanged list."""

    def __init__(self, url: str, meter: metrics.Metrics) -> None:
        self._url = url
        self._client = _Client(meter)
        self._etag = ""

    async def servers(self) -> tuple[data.Server, ...] | None:
        """Read the list; None if it has not changed since the last call."""
        headers = {"Accept-Encoding": "gzip"}
        if self._etag:
            headers["If-None-Match"] = self._etag
        resp = await self._client.call("GET", self._url, headers=headers)
        if resp.status == NOT_MODIFIED:
            return None
        body = _decode(resp, _VmListBody)
        self._etag = resp.headers.get("ETag", "")
        return tuple(data.Server(**row) for row in body.servers)


class HttpRatingService:
    """Client for the rating service."""

    def __init__(self, base_url: str, meter: metrics.Metrics) -> None:
        self._base = base_url.rstrip("/")
        self._client = _Client(meter)

    async def submit(self, request_id: str, version: str, kind: str, text: str) -> None:
        """Submit an answer for rating."""
        answer = {"request_id": request_id, "version": version, "kind": kind, "text": text}
        await self._client.call("POST", f"{self._base}/answers", msgspec.json.encode(answer))

    async def ratings(self, after: int) -> tuple[interfaces.Rating, ...]:
        """Read the ratings after a position in the feed."""
        resp = await self._client.call("GET", f"{self._base}/ratings?after={after}")
        rows = _decode(resp, list[dict[str, Any]])
        return tuple(interfaces.Rating(**row) for row in rows)
