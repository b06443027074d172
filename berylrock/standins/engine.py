"""A stand-in for a model engine that batches, streams, resumes, warms up and can crash.

It crashes if it is cold and receives more requests than a cold engine can run, if the tokens it
holds exceed its capacity, or if a prompt contains the crash marker. ``POST /control`` changes its
behaviour at run time.
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
KEEP_ALIVE_INTERVAL_SECONDS = 1.0
COLD_REPORT_LAG_SECONDS = 0.2
CRASH_DELAY_SECONDS = 0.1
CHARS_PER_TOKEN = 4
CRASH_EXIT_STATUS = 70
DEFAULT_QUALITY = 0.8
QUALITY_SPREAD = 0.12
CONFIDENCE_NOISE = 0.05


class EngineOptions(NamedTuple):
    """Options of a stand-in engine.

    Attributes:
      name: Name under which it writes to the record.
      address: IP address to listen on.
      port: TCP port to listen on.
      record: File to which it appends its record.
      loaded: Versions that are loaded at startup.
      token_seconds: Time between tokens, in seconds.
      first_token_seconds: Time to the first token when warm, in seconds.
      capacity_tokens: Maximum number of tokens held; the engine crashes if it is exceeded.
      cold_bears: Maximum number of concurrent requests while cold; the engine crashes if it is
        exceeded.
      cold_answers: Number of answers after which the engine is warm; 0 to start warm.
      cold_factor: Factor by which the time to the first token is longer while cold.
      checks_fencing: Whether it rejects an order whose fencing token is out of date.
      load_seconds: Time to execute an order, in seconds.
      quality: Mean true quality of each version's answers, from 0 to 1.
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
    """Return the text with which a good version answers a prompt."""
    mark = hashlib.sha256(prompt.encode()).hexdigest()[:6]
    return "".join(f"{mark}-{index} " for index in range(tokens))


class Engine:
    """The state and the HTTP handlers of the engine."""

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._record = record.Record(options.record, options.name)
        self._incarnation = secrets.token_hex(4)
        self._loaded = list(options.loaded)
        self._held_tokens: dict[int, int] = {}
        self._held_while_cold: set[int] = set()
        self._answers_since_cold = 0
        self._cold = options.cold_answers > 0
        self._reported_cold = self._cold
        self._highest_fence = 0
        self._control: dict[str, Any] = {}
        self._record.write("up", incarnation=self._incarnation)

    def build(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/load", self._report_load)
        app.router.add_post("/orders", self._execute_order)
        app.router.add_post("/control", self._update_control)
        return app

    def _crash(self, why: str) -> None:
        self._record.write("fell", why=why)
        os._exit(CRASH_EXIT_STATUS)

    def _check_load(self) -> None:
        if self._cold and len(self._held_while_cold) > self._options.cold_bears:
            self._crash("too many concurrent requests for a cold engine")
        if sum(self._held_tokens.values()) > self._options.capacity_tokens:
            self._crash("tokens held exceed the capacity")

    async def _update_control(self, req: web.Request) -> web.Response:
        """Handle ``POST /control``.

        The JSON keys are ``stall``, ``bad`` (list of versions), ``cold``, ``error`` and ``slow``
        (factor).
        """
        self._control |= await req.json()
        if self._control.pop("cold", False):
            self._cold, self._answers_since_cold = True, 0
            self._held_while_cold.clear()
            self._record.write("turned_cold")
            asyncio.get_running_loop().call_later(
                COLD_REPORT_LAG_SECONDS, self._update_reported_cold
            )
        return web.json_response(self._control)

    def _update_reported_cold(self) -> None:
        self._reported_cold = self._cold

    async def _report_load(self, _req: web.Request) -> web.Response:
        return web.json_response(
            {
                "incarnation": self._incarnation,
                "loaded": self._loaded,
                "held_tokens": sum(self._held_tokens.values()),
                "capacity_tokens": self._options.capacity_tokens,
                "cold": self._reported_cold,
            }
        )

    async def _execute_order(self, req: web.Request) -> web.Response:
        order = json.loads(await req.read())
        if self._options.checks_fencing and order["fence"] < self._highest_fence:
            return web.Response(
                status=409,
                text=f"outdated fencing token; the highest seen is {self._highest_fence}",
            )
        self._highest_fence = max(self._highest_fence, order["fence"])
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
        slot = object()
        prompt_tokens = len(prompt) // CHARS_PER_TOKEN + 1
        resume_offset = body.get("resume", {}).get("tokens", 0)
        self._held_tokens[id(slot)] = prompt_tokens + resume_offset
        if self._cold:
            self._held_while_cold.add(id(slot))
        request_id = req.headers.get("X-Request-Id", "")
        self._record.write("start", request=request_id, version=body["model"], resume=resume_offset)
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        try:
            self._check_load()
            if CRASH_MARKER in prompt:
                await asyncio.sleep(CRASH_DELAY_SECONDS)
                self._crash("request crashed the engine")
            await response.prepare(req)
            await self._generate(response, body, prompt, slot)
            quality = self._draw_quality(body["model"], prompt)
            self._record.write("done", request=request_id, version=body["model"], quality=quality)
        except (ConnectionError, asyncio.CancelledError):
            self._record.write("cancelled", request=request_id, version=body["model"])
        finally:
            del self._held_tokens[id(slot)]
            self._held_while_cold.discard(id(slot))
        return response

    async def _wait_while_stalled(self) -> None:
        while self._control.get("stall"):
            await asyncio.sleep(KEEP_ALIVE_INTERVAL_SECONDS / 10)

    async def _wait_for_first_token(self, response: web.StreamResponse) -> None:
        seconds = self._options.first_token_seconds
        if self._cold:
            seconds *= self._options.cold_factor
        seconds *= self._control.get("slow", 1.0)
        while seconds > 0:
            await asyncio.sleep(min(seconds, KEEP_ALIVE_INTERVAL_SECONDS))
            seconds -= KEEP_ALIVE_INTERVAL_SECONDS
            if seconds > 0:
                await response.write(b": working\n\n")

    async def _generate(
        self, response: web.StreamResponse, body: dict[str, Any], prompt: str, slot: object
    ) -> None:
        total = int(body.get("max_tokens") or 16)
        resume_offset = int(body.get("resume", {}).get("tokens", 0))
        mark = hashlib.sha256(prompt.encode()).hexdigest()[:6]
        bad = BAD_VERSION_MARKER if body["model"] in self._control.get("bad", ()) else ""
        await self._wait_for_first_token(response)
        for index in range(resume_offset, total):
            await self._wait_while_stalled()
            if index > resume_offset:
                await asyncio.sleep(self._options.token_seconds * self._control.get("slow", 1.0))
            self._held_tokens[id(slot)] += 1
            self._check_load()
            choice = {"index": 0, "delta": {"content": f"{bad}{mark}-{index} "}}
            event = json.dumps({"choices": [choice]})
            await response.write(f"data: {event}\n\n".encode())
        quality = self._draw_quality(body["model"], prompt)
        await self._finish(response, prompt, total, quality)

    def _draw_quality(self, version: str, prompt: str) -> float:
        """Draw the true quality of an answer; deterministic for a version and prompt."""
        rng = random.Random(f"{version}-{prompt}")
        mean = self._options.quality.get(version, DEFAULT_QUALITY)
        return min(1.0, max(0.0, rng.gauss(mean, QUALITY_SPREAD)))

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
        self._answers_since_cold += 1
        if self._cold and self._answers_since_cold >= self._options.cold_answers:
            self._cold = False
            asyncio.get_running_loop().call_later(
                COLD_REPORT_LAG_SECONDS, self._update_reported_cold
            )


def run(options: EngineOptions) -> None:
    """Run the stand-in until the process is terminated."""

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
