"""A stand-in for the platform: object store, VM list and rating service in one process.

``POST /faults`` makes it slow, makes calls for objects fail, or drops the responses of changes
that have taken effect.
"""

import asyncio
import json
import random
from typing import Any, NamedTuple

from aiohttp import web

from berylrock.standins import record

__all__ = ["Platform", "PlatformOptions", "run"]

MAX_OBJECT_BYTES = 1_048_576
RATING_NOISE = 0.08
BAD_RATING = 0.25


class PlatformOptions(NamedTuple):
    """Options of the stand-in platform.

    Attributes:
      address: IP address to listen on.
      port: TCP port to listen on.
      record: File to which it appends its record.
      seed: Seed of the random generator of the ratings.
      quality: Mean rating by version and kind of request.
      rating_lag_seconds: Delay from an answer to its rating, in seconds.
      rating_share: Share of answers that are rated.
    """

    address: str
    port: int
    record: str
    seed: int = 1
    quality: dict[str, dict[str, float]] = {}
    rating_lag_seconds: float = 0.2
    rating_share: float = 1.0


class _Object(NamedTuple):
    version: int
    body: bytes


class Platform:
    """The state and the HTTP handlers of the platform."""

    def __init__(self, options: PlatformOptions) -> None:
        self._options = options
        self._record = record.Record(options.record, "platform")
        self._objects: dict[tuple[str, str], _Object] = {}
        self._revision = 0
        self._objects_changed = asyncio.Condition()
        self._servers: list[dict[str, Any]] = []
        self._servers_revision = 0
        self._ratings: list[dict[str, Any]] = []
        self._faults: dict[str, Any] = {}
        self._random = random.Random(options.seed)
        self._counts: dict[str, int] = {}

    def build(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_get("/objects/{kind}", self._list_names)
        app.router.add_get("/objects/{kind}/{name}", self._get)
        app.router.add_put("/objects/{kind}/{name}", self._put)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        app.router.add_get("/vms", self._get_vms)
        app.router.add_put("/vms", self._put_vms)
        app.router.add_post("/answers", self._accept_answer)
        app.router.add_get("/ratings", self._get_ratings)
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/counts", self._get_counts)
        app.middlewares.append(self._inject_faults)  # type: ignore[arg-type]
        return app

    async def _set_faults(self, req: web.Request) -> web.Response:
        """Handle ``POST /faults``.

        The JSON keys are ``outage``, ``outage_kinds``, ``slow`` (seconds) and ``lose`` (number of
        responses to drop, by kind of object).
        """
        self._faults = await req.json()
        async with self._objects_changed:
            self._objects_changed.notify_all()
        return web.json_response(self._faults)

    @web.middleware
    async def _inject_faults(self, req: web.Request, handler: Any) -> web.StreamResponse:
        if req.path in ("/faults", "/counts") or (req.path == "/vms" and req.method == "PUT"):
            return await handler(req)
        kind = req.match_info.get("kind", "")
        name = f"{req.method} {kind or req.path}"
        self._counts[name] = self._counts.get(name, 0) + 1
        if self._is_out(kind):
            return web.Response(status=503, text="outage")
        await asyncio.sleep(self._faults.get("slow", 0.0))
        response = await handler(req)
        lose = self._faults.get("lose", {})
        if req.method != "GET" and lose.get(kind, 0) > 0:
            lose[kind] -= 1
            self._record.write("answer_lost", kind=kind)
            if req.transport is not None:
                req.transport.abort()
        if req.method == "GET" and self._is_out(kind):
            return web.Response(status=503, text="outage")
        return response

    def _is_out(self, kind: str) -> bool:
        """Return whether calls for a kind of object fail; outages do not affect the VM list."""
        if not kind:
            return False
        return bool(self._faults.get("outage")) or kind in self._faults.get("outage_kinds", ())

    async def _get_counts(self, _req: web.Request) -> web.Response:
        return web.json_response(self._counts)

    def _respond(self, found: _Object) -> web.Response:
        return web.Response(body=found.body, headers={"X-Version": str(found.version)})

    async def _list_names(self, req: web.Request) -> web.Response:
        kind = req.match_info["kind"]
        return web.json_response(sorted(name for item, name in self._objects if item == kind))

    async def _get(self, req: web.Request) -> web.Response:
        key = (req.match_info["kind"], req.match_info["name"])
        after = int(req.query.get("after", -1))
        if after >= 0:
            found = await self._wait_for_change(key, after, float(req.query.get("wait", 0)))
            if found and req.query.get("body") == "0":
                found = found._replace(body=b"")
            return self._respond(found) if found else web.Response(status=304)
        found = self._objects.get(key)
        return self._respond(found) if found else web.Response(status=404)

    async def _wait_for_change(
        self, key: tuple[str, str], after: int, seconds: float
    ) -> _Object | None:
        def newer() -> bool:
            found = self._objects.get(key)
            return bool(self._faults.get("outage")) or (found is not None and found.version > after)

        try:
            async with asyncio.timeout(seconds), self._objects_changed:
                await self._objects_changed.wait_for(newer)
        except TimeoutError:
            return None
        return self._objects.get(key)

    def _has_version_conflict(self, req: web.Request, found: _Object | None) -> bool:
        condition = req.headers.get("If-Version")
        version = found.version if found else 0
        return condition is not None and int(condition) != version

    async def _put(self, req: web.Request) -> web.Response:
        key = (req.match_info["kind"], req.match_info["name"])
        body = await req.read()
        if len(body) > MAX_OBJECT_BYTES:
            return web.Response(status=413, text="object exceeds the limit of 1 MiB")
        if self._has_version_conflict(req, self._objects.get(key)):
            return web.Response(status=409)
        self._revision += 1
        self._objects[key] = _Object(self._revision, body)
        self._record.write("put", kind=key[0], object=key[1], version=self._revision)
        async with self._objects_changed:
            self._objects_changed.notify_all()
        return web.Response(headers={"X-Version": str(self._revision)})

    async def _delete(self, req: web.Request) -> web.Response:
        key = (req.match_info["kind"], req.match_info["name"])
        found = self._objects.get(key)
        if found is None:
            return web.Response(status=404)
        if self._has_version_conflict(req, found):
            return web.Response(status=409)
        del self._objects[key]
        return web.Response()

    async def _get_vms(self, req: web.Request) -> web.Response:
        etag = f'"{self._servers_revision}"'
        if req.headers.get("If-None-Match") == etag:
            return web.Response(status=304)
        response = web.json_response({"servers": self._servers}, headers={"ETag": etag})
        response.enable_compression()
        return response

    async def _put_vms(self, req: web.Request) -> web.Response:
        self._servers = await req.json()
        self._servers_revision += 1
        return web.Response()

    async def _accept_answer(self, req: web.Request) -> web.Response:
        answer = json.loads(await req.read())
        if self._random.random() < self._options.rating_share:
            asyncio.get_running_loop().call_later(
                self._options.rating_lag_seconds, self._add_rating, answer
            )
        return web.Response()

    def _add_rating(self, answer: dict[str, Any]) -> None:
        quality = self._options.quality.get(answer["version"], {})
        rating = quality.get(answer["kind"], quality.get("default", 0.5))
        if "BAD" in answer["text"]:
            rating = BAD_RATING
        rating = min(1.0, max(0.0, self._random.gauss(rating, RATING_NOISE)))
        self._ratings.append(
            {
                "sequence": len(self._ratings) + 1,
                "request_id": answer["request_id"],
                "version": answer["version"],
                "kind": answer["kind"],
                "rating": rating,
            }
        )

    async def _get_ratings(self, req: web.Request) -> web.Response:
        after = int(req.query.get("after", 0))
        return web.json_response(self._ratings[after:])


def run(options: PlatformOptions) -> None:
    """Run the stand-in until the process is terminated."""

    async def build() -> web.Application:
        return Platform(options).build()

    web.run_app(build(), host=options.address, port=options.port, print=None, access_log=None)
