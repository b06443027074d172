"""HTTP clients for the platform's object API, VM list and rating service, based on urllib3.

The calls are few, so each one runs in a thread of a small pool. Watches, which wait for a long
time, use a separate pool, so that they cannot delay other calls such as claims.
"""

import asyncio
import concurrent.futures
import functools
from collections.abc import Callable
from typing import Any

import msgspec
import urllib3

from berylrock.adapters import interfaces
from berylrock.core import data, errors, metrics

__all__ = ["HttpObjectStore", "HttpRatingService", "HttpVmList"]

CALL_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 0.5
WATCH_MARGIN_SECONDS = 2.0
CALL_THREADS = 16
WATCH_THREADS = 4
VERSION_HEADER = "X-Version"
CONDITION_HEADER = "If-Version"
NOT_MODIFIED, MISSING, CONFLICT = 304, 404, 409


class _Client:
    """HTTP client that runs calls in threads and raises ``StoreUnavailable`` for every failure."""

    def __init__(self, meter: metrics.Metrics) -> None:
        self._pool = urllib3.PoolManager(maxsize=CALL_THREADS + WATCH_THREADS, retries=False)
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
    ) -> urllib3.BaseHTTPResponse:
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
        request: Callable[[], Any] = functools.partial(
            self._pool.request, method, url, body=body, headers=headers or {}, timeout=timeout
        )
        pool = self._watches if wait_seconds else self._calls
        try:
            resp = await asyncio.get_running_loop().run_in_executor(pool, request)
        except urllib3.exceptions.HTTPError as exc:
            self._meter.count(metrics.Metrics.STORE_ERRORS)
            raise errors.StoreUnavailable(
                f"platform did not answer {method} {url}; the call is retried automatically: {exc}"
            ) from exc
        if resp.status >= 500 or resp.status == 429:
            self._meter.count(metrics.Metrics.STORE_ERRORS)
            raise errors.StoreUnavailable(
                f"platform returned status {resp.status}; the call is retried automatically"
            )
        return resp


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
        return interfaces.StoredObject(int(resp.headers[VERSION_HEADER]), resp.data)

    async def put(self, kind: str, name: str, body: bytes, if_version: int | None) -> int:
        """Write an object, conditionally unless ``if_version`` is None; raises ``Conflict``."""
        headers = {} if if_version is None else {CONDITION_HEADER: str(if_version)}
        resp = await self._client.call("PUT", self._url(kind, name), body, headers)
        if resp.status == CONFLICT:
            raise errors.Conflict(f"{kind}/{name} has another version; read it and try again")
        return int(resp.headers[VERSION_HEADER])

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
        return interfaces.StoredObject(int(resp.headers[VERSION_HEADER]), resp.data)

    async def watch_version(self, kind: str, name: str, after: int, seconds: float) -> int | None:
        """Wait for a version above ``after`` without reading it; None if there is none in time."""
        url = f"{self._url(kind, name)}?after={after}&wait={seconds}&body=0"
        resp = await self._client.call("GET", url, wait_seconds=seconds)
        if resp.status in (NOT_MODIFIED, MISSING):
            return None
        return int(resp.headers[VERSION_HEADER])

    async def names(self, kind: str) -> tuple[str, ...]:
        """List the names of all objects of a kind."""
        resp = await self._client.call("GET", f"{self._base}/objects/{kind}")
        return msgspec.json.decode(resp.data, type=tuple[str, ...])


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
        body = msgspec.json.decode(resp.data, type=_VmListBody)
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
        rows = msgspec.json.decode(resp.data, type=list[dict[str, Any]])
        return tuple(interfaces.Rating(**row) for row in rows)
