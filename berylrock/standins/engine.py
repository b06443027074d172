"""A stand-in for a model engine: it batches, streams, resumes, warms up, and falls over.

It falls when a cold engine is given more than it bears, when the tokens it holds outgrow its
memory, and when a request's text holds the crash mark. ``POST /control`` changes its behaviour.
"""

import asyncio
import hashlib
import json
import os
import random
import secrets
from typing import Any, NamedTuple

from aiohttp import web

from berylrock.standins import record

__all__ = ["CRASH_MARKER", "Engine", "EngineOptions", "expected_text", "run"]

CRASH_MARKER = "CRASH-THE-ENGINE"
BAD_VERSION_MARKER = "BAD "
KEEP_ALIVE_SECONDS = 1.0
REPORT_LAG_SECONDS = 0.2
CRASH_DELAY_SECONDS = 0.1
CHARS_PER_TOKEN = 4
FELL_STATUS = 70
DEFAULT_QUALITY = 0.8
QUALITY_SPREAD = 0.12
CONFIDENCE_NOISE = 0.05


class EngineOptions(NamedTuple):
    """How a stand-in engine behaves.

    Attributes:
      name: Its name in the record.
      address: IP number.
      port: TCP port.
      record: File of its record.
      loaded: Versions loaded at the start.
      token_seconds: Time between tokens.
      first_token_seconds: Time to the first token.
      capacity_tokens: Tokens that it holds before it falls.
      cold_bears: Requests that it bears while cold.
      cold_answers: Answers after which it is warm; 0 to start warm.
      cold_factor: By how much a cold engine's first token is later.
      checks_fencing: Whether it refuses an order with an old fencing number.
      load_seconds: Time to load a version.
      quality: True quality of each version's answers, 0 to 1; each answer varies around it.
    """

    name: str
    address: str
    port: int
    record: str
    loaded: tuple[str, ...]
    token_seconds: float = 0.02
    first_token_seconds: float = 0.05
    capacity_tokens: int = 20_000
    cold_bears: int = 2
    cold_answers: int = 2
    cold_factor: float = 10.0
    checks_fencing: bool = False
    load_seconds: float = 0.2
    quality: dict[str, float] = {}


def _prompt_text(body: dict[str, Any]) -> str:
    return " ".join(str(item.get("content", "")) for item in body["messages"])


def expected_text(prompt: str, tokens: int) -> str:
    """The text that a good version answers to a prompt."""
    mark = hashlib.sha256(prompt.encode()).hexdigest()[:6]
    return "".join(f"{mark}-{index} " for index in range(tokens))


class Engine:
    """The engine's state."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._record = record.Record(options.record, options.name)
        self._incarnation = secrets.token_hex(4)
        self._loaded = list(options.loaded)
        self._held: dict[int, int] = {}
        self._held_cold: set[int] = set()
        self._answers = 0
        self._cold = options.cold_answers > 0
        self._reported_cold = self._cold
        self._fence = 0
        self._control: dict[str, Any] = {}
        self._record.write("up", incarnation=self._incarnation)

    def build(self) -> web.Application:
        """Make the HTTP application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/load", self._load)
        app.router.add_post("/orders", self._order)
        app.router.add_post("/control", self._take_control)
        return app

    def _fall(self, why: str) -> None:
        self._record.write("fell", why=why)
        os._exit(FELL_STATUS)

    def _check_load(self) -> None:
        if self._cold and len(self._held_cold) > self._options.cold_bears:
            self._fall("cold engine was given more than it bears")
        if sum(self._held.values()) > self._options.capacity_tokens:
            self._fall("requests held outgrew the memory")

    async def _take_control(self, req: web.Request) -> web.Response:
        """Options: stall, bad (versions), cold, error, slow (factor)."""
        self._control |= await req.json()
        if self._control.pop("cold", False):
            self._cold, self._answers = True, 0
            self._held_cold.clear()
            self._record.write("turned_cold")
            asyncio.get_running_loop().call_later(REPORT_LAG_SECONDS, self._lag)
        return web.json_response(self._control)

    def _lag(self) -> None:
        self._reported_cold = self._cold

    async def _load(self, _req: web.Request) -> web.Response:
        return web.json_response(
            {
                "incarnation": self._incarnation,
                "loaded": self._loaded,
                "held_tokens": sum(self._held.values()),
                "capacity_tokens": self._options.capacity_tokens,
                "cold": self._reported_cold,
            }
        )

    async def _order(self, req: web.Request) -> web.Response:
        order = json.loads(await req.read())
        if self._options.checks_fencing and order["fence"] < self._fence:
            return web.Response(status=409, text=f"old fencing number, {self._fence} was seen")
        self._fence = max(self._fence, order["fence"])
        await asyncio.sleep(self._options.load_seconds)
        if order["verb"] == "load" and order["target"] not in self._loaded:
            self._loaded.append(order["target"])
        elif order["verb"] == "unload" and order["target"] in self._loaded:
            self._loaded.remove(order["target"])
        self._record.write("order", **order)
        return web.Response(text="done")

    async def _complete(self, req: web.Request) -> web.StreamResponse:
        body = json.loads(await req.read())
        if body["model"] not in self._loaded:
            return web.Response(status=404, text=f"{body['model']} is not loaded")
        if self._control.get("error"):
            return web.Response(status=500, text="engine error")
        prompt = _prompt_text(body)
        ticket = object()
        prompt_tokens = len(prompt) // CHARS_PER_TOKEN + 1
        skip = body.get("resume", {}).get("tokens", 0)
        self._held[id(ticket)] = prompt_tokens + skip
        if self._cold:
            self._held_cold.add(id(ticket))
        request_id = req.headers.get("X-Request-Id", "")
        self._record.write("start", request=request_id, version=body["model"], resume=skip)
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        try:
            self._check_load()
            if CRASH_MARKER in prompt:
                await asyncio.sleep(CRASH_DELAY_SECONDS)
                self._fall("request crashed the engine")
            await response.prepare(req)
            await self._generate(response, body, prompt, ticket)
            quality = self._draw_quality(body["model"], prompt)
            self._record.write("done", request=request_id, version=body["model"], quality=quality)
        except (ConnectionError, asyncio.CancelledError):
            self._record.write("cancelled", request=request_id, version=body["model"])
        finally:
            del self._held[id(ticket)]
            self._held_cold.discard(id(ticket))
        return response

    async def _stall(self) -> None:
        while self._control.get("stall"):
            await asyncio.sleep(KEEP_ALIVE_SECONDS / 10)

    async def _wait_first(self, response: web.StreamResponse) -> None:
        seconds = self._options.first_token_seconds
        if self._cold:
            seconds *= self._options.cold_factor
        seconds *= self._control.get("slow", 1.0)
        while seconds > 0:
            await asyncio.sleep(min(seconds, KEEP_ALIVE_SECONDS))
            seconds -= KEEP_ALIVE_SECONDS
            if seconds > 0:
                await response.write(b": working\n\n")

    async def _generate(
        self, response: web.StreamResponse, body: dict[str, Any], prompt: str, ticket: object
    ) -> None:
        total = int(body.get("max_tokens") or 16)
        skip = int(body.get("resume", {}).get("tokens", 0))
        mark = hashlib.sha256(prompt.encode()).hexdigest()[:6]
        bad = BAD_VERSION_MARKER if body["model"] in self._control.get("bad", ()) else ""
        await self._wait_first(response)
        for index in range(skip, total):
            await self._stall()
            if index > skip:
                await asyncio.sleep(self._options.token_seconds * self._control.get("slow", 1.0))
            self._held[id(ticket)] += 1
            self._check_load()
            choice = {"index": 0, "delta": {"content": f"{bad}{mark}-{index} "}}
            event = json.dumps({"choices": [choice]})
            await response.write(f"data: {event}\n\n".encode())
        quality = self._draw_quality(body["model"], prompt)
        await self._finish(response, prompt, total, quality)

    def _draw_quality(self, version: str, prompt: str) -> float:
        """The true quality of one answer, the same each time it is asked for."""
        rng = random.Random(f"{version}-{prompt}")
        middle = self._options.quality.get(version, DEFAULT_QUALITY)
        return min(1.0, max(0.0, rng.gauss(middle, QUALITY_SPREAD)))

    async def _finish(
        self, response: web.StreamResponse, prompt: str, total: int, quality: float
    ) -> None:
        last = [{"index": 0, "delta": {}, "finish_reason": "length"}]
        noise = random.Random(f"confidence-{prompt}").gauss(0.0, CONFIDENCE_NOISE)
        usage = {
            "prompt_tokens": len(prompt) // CHARS_PER_TOKEN + 1,
            "completion_tokens": total,
            "confidence": min(1.0, max(0.0, quality + noise)),
        }
        event = json.dumps({"choices": last})
        closing = json.dumps({"choices": [], "usage": usage})
        await response.write(f"data: {event}\n\ndata: {closing}\n\ndata: [DONE]\n\n".encode())
        self._answers += 1
        if self._cold and self._answers >= self._options.cold_answers:
            self._cold = False
            asyncio.get_running_loop().call_later(REPORT_LAG_SECONDS, self._lag)


def run(options: EngineOptions) -> None:
    """Run the stand-in until it is ended."""

    async def build() -> web.Application:
        return Engine(options).build()

    web.run_app(
        build(),
        host=options.address,
        port=options.port,
        print=None,
        access_log=None,
        handler_cancellation=True,
    )
