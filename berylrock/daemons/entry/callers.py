"""Serves callers over HTTP: chat completions and calls to plain services."""

import time
from collections.abc import AsyncGenerator, Awaitable, Callable

import msgspec
from aiohttp import web

from berylrock.adapters import bodies
from berylrock.core import data, errors, metrics
from berylrock.daemons.entry import calls, cascading, completions, context, outcome, request
from berylrock.ops import budget, buffering

__all__ = ["Callers"]

HEARTBEAT_SECONDS = 5.0
# What the bodies of all callers may take together, beside 60 MB of the process itself.
BUFFER_BYTES = 32 * buffering.BYTES_PER_MB
WRITE_BUFFER_BYTES = 4_096
RATED_TEXT_CHARS = 2000

Handler = Callable[
    [web.Request, data.Document, request.Caller, bytes], Awaitable[web.StreamResponse]
]


class Callers:
    """The HTTP handlers for callers' requests.

    Attributes:
      calls: Runs calls to plain services.
      active: Number of requests being served.
      stopping: Whether new requests are refused.
    """

    def __init__(self, ctx: context.Context, submit: Callable[[str, str, str, str], None]) -> None:
        """Create the handlers.

        Args:
          ctx: The entry process's shared parts.
          submit: Called as ``submit(request_id, version, kind, text)`` with each answer, so that
            it can be rated.
        """
        self._ctx = ctx
        self._submit = submit
        self._quotas: dict[str, budget.TokenBucket] = {}
        self._buffers = buffering.BufferBudget(BUFFER_BYTES)
        self.calls = calls.CallRunner(ctx)
        self._cascade_runner = cascading.CascadeRunner(ctx)
        self.active = 0
        self.stopping = False

    def build(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=self._ctx.cfg.max_body_bytes)
        app.router.add_post("/v1/chat/completions", self._make_handler(self._serve_completion))
        app.router.add_route(
            "*", "/services/{service}/{path:.*}", self._make_handler(self._serve_call)
        )
        return app

    def _make_handler(
        self, serve: Handler
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def handle(req: web.Request) -> web.StreamResponse:
            self.active += 1
            try:
                return await self._handle(req, serve)
            finally:
                self.active -= 1

        return handle

    async def _handle(self, req: web.Request, serve: Handler) -> web.StreamResponse:
        meter, log = self._ctx.runtime.meter, self._ctx.runtime.log
        meter.count(metrics.Metrics.REQUESTS)
        self._ctx.budget.record_request()
        request_id = ""
        try:
            doc = self._ctx.runtime.config.doc
            if doc is None:
                detail = "this entry VM has no configuration document yet; try another one"
                raise outcome.NotRun(503, "no_config", detail)
            caller = request.read_caller(req, doc, self._ctx.cfg)
            request_id = caller.request_id
            self._check_quota(caller)
            body = buffering.Body(self._buffers, self._ctx.cfg.max_body_bytes)
            try:
                response = await serve(req, doc, caller, await self._read_body(req, body))
            finally:
                body.release()
            meter.count(metrics.Metrics.ANSWERED)
            return response
        except outcome.RequestFailed as exc:
            return self._refuse(req, request_id, exc)
        except (web.HTTPException, ConnectionError):
            raise
        except Exception as exc:
            log.write("request_error", request=request_id, error=repr(exc), at=errors.locate(exc))
            if req.writer.output_size:
                # A response that has begun must break off; aiohttp closes its connection.
                raise
            detail = f"internal error, the request may have run: {exc!r}; report it"
            return self._refuse(req, request_id, outcome.Unknown(502, "internal_error", detail))

    def _refuse(
        self, req: web.Request, request_id: str, exc: outcome.RequestFailed
    ) -> web.Response:
        """Count and log a request that failed; returns the response that tells its outcome."""
        name = metrics.Metrics.NOT_RUN
        if exc.outcome == outcome.UNKNOWN:
            name = metrics.Metrics.OUTCOME_UNKNOWN
        self._ctx.runtime.meter.count(name)
        self._ctx.runtime.log.write(
            "request_refused",
            request=request_id,
            outcome=exc.outcome,
            reason=exc.reason,
            detail=exc.detail,
            address=req.remote,
        )
        return outcome.make_error_response(exc, request_id)

    async def _read_body(self, req: web.Request, body: buffering.Body) -> bytes:
        try:
            return await bodies.read(body, req.content.readany)
        except buffering.BodyTooLarge as exc:
            limit = self._ctx.cfg.max_body_bytes
            detail = f"body is larger than {limit} bytes; send a smaller one"
            raise outcome.NotRun(413, "too_large", detail) from exc
        except buffering.BodyGivenUp as exc:
            raise outcome.NotRun(503, "overload", f"{exc}; not run") from exc

    def _check_quota(self, caller: request.Caller) -> None:
        rate = caller.organisation.requests_per_second
        if not rate:
            return
        now = self._ctx.runtime.timer.now()
        bucket = self._quotas.setdefault(caller.organisation.name, budget.TokenBucket(now))
        if not bucket.take(rate / self._ctx.server_links.entry_count(), now):
            detail = f"the quota of {rate:g} requests per second is exceeded; send more slowly"
            raise outcome.NotRun(429, "quota", detail)

    async def _serve_call(
        self, req: web.Request, doc: data.Document, caller: request.Caller, body: bytes
    ) -> web.StreamResponse:
        parsed = request.read_call(req, body, caller, doc)
        started_at = time.monotonic()
        answer = await self.calls.run(parsed)
        self._ctx.runtime.meter.time(metrics.Metrics.CALL, time.monotonic() - started_at)
        self._ctx.runtime.log.write(
            "request_answered",
            request=caller.request_id,
            organisation=caller.organisation.name,
            target=parsed.service.name,
            status=answer.status,
            replayed=answer.replayed,
            seconds=round(time.monotonic() - started_at, 4),
        )
        response = web.Response(status=answer.status, body=answer.body)
        response.headers.popall("Content-Type", None)
        for line in answer.headers:
            name, _, value = line.partition(": ")
            response.headers.add(name, value)
        response.headers[outcome.HEADER] = outcome.DONE
        response.headers["X-Request-Id"] = caller.request_id
        if answer.replayed:
            response.headers["Idempotency-Replayed"] = "true"
        return response

    async def _serve_completion(
        self, req: web.Request, doc: data.Document, caller: request.Caller, body: bytes
    ) -> web.StreamResponse:
        parsed = request.read_completion(req, body, caller)
        started_at = time.monotonic()
        steps = self._cascade_runner.plan(parsed)
        if len(steps) > 1:
            return await self._serve_cascade(parsed, steps, started_at)
        run = completions.CompletionRun(self._ctx, parsed)
        try:
            if parsed.stream:
                return await self._serve_stream(req, parsed, run, started_at)
            chunks = [chunk async for chunk in run.chunks(self._deadline(parsed))]
            return self._build_response(parsed, run, started_at, chunks)
        finally:
            run.close()

    async def _serve_cascade(
        self, parsed: request.CompletionRequest, steps: tuple[str, ...], started_at: float
    ) -> web.StreamResponse:
        result = await self._cascade_runner.run(parsed, steps, self._deadline(parsed))
        response = self._build_response(parsed, result.run, started_at, result.chunks)
        response.headers["X-Berylrock-Cascade"] = ",".join(result.versions)
        return response

    def _deadline(self, parsed: request.CompletionRequest) -> float:
        return self._ctx.runtime.timer.now() + parsed.caller.timeout_seconds

    def _response_headers(
        self, parsed: request.CompletionRequest, run: completions.CompletionRun
    ) -> dict[str, str]:
        assert run.selected is not None
        headers = {
            outcome.HEADER: outcome.DONE,
            "X-Request-Id": parsed.caller.request_id,
            "X-Berylrock-Version": str(run.selected.version_id),
        }
        if run.selected.token:
            headers["X-Session"] = run.selected.token
        if run.selected.changed_from:
            headers["X-Berylrock-Version-Changed-From"] = run.selected.changed_from
        return headers

    def _build_response(
        self,
        parsed: request.CompletionRequest,
        run: completions.CompletionRun,
        started_at: float,
        chunks: list[bytes],
    ) -> web.Response:
        choices = completions.merge_chunks(chunks)
        self._record_answer(parsed, run, started_at)
        body = {
            "id": parsed.caller.request_id,
            "object": "chat.completion",
            "model": str(run.selected.version_id) if run.selected else "",
            "choices": choices,
            "usage": _usage(run),
        }
        return web.Response(
            body=msgspec.json.encode(body),
            content_type="application/json",
            headers=self._response_headers(parsed, run),
        )

    async def _serve_stream(
        self,
        req: web.Request,
        parsed: request.CompletionRequest,
        run: completions.CompletionRun,
        started_at: float,
    ) -> web.StreamResponse:
        chunks = run.chunks(self._deadline(parsed))
        response = web.StreamResponse()
        try:
            first = await anext(chunks, None)
            response.headers.update(self._response_headers(parsed, run))
            response.content_type = "text/event-stream"
            await response.prepare(req)
            if req.transport is not None:
                req.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
            self._ctx.runtime.meter.time(metrics.Metrics.FIRST_TOKEN, time.monotonic() - started_at)
            await self._send_chunks(req, response, parsed, run, first, chunks, started_at)
        except ConnectionError as exc:
            # The caller disconnected; ``_serve_completion`` then closes the run.
            self._ctx.runtime.log.write(
                "caller_left", request=parsed.caller.request_id, detail=str(exc)
            )
        finally:
            await chunks.aclose()
        return response

    async def _send_chunks(
        self,
        req: web.Request,
        response: web.StreamResponse,
        parsed: request.CompletionRequest,
        run: completions.CompletionRun,
        first: bytes | None,
        chunks: AsyncGenerator[bytes],
        started_at: float,
    ) -> None:
        assert run.selected is not None
        request_id = parsed.caller.request_id
        head = msgspec.json.encode(
            {"id": request_id, "object": "chat.completion.chunk", "model": str(run.selected[0])}
        )
        prefix = b"data: " + head[:-1] + b',"choices":'
        chunk = first
        try:
            while chunk is not None:
                await _write(req, response, b"".join((prefix, chunk, b"}\n\n")))
                chunk = await anext(chunks, None)
        except outcome.RequestFailed as exc:
            # The status line has been sent, so the error is sent as an event of the stream, and
            # the final [DONE] is left out.
            self._ctx.runtime.log.write(
                "answer_cut", request=request_id, reason=exc.reason, detail=exc.detail
            )
            await response.write(
                b"event: error\ndata: " + outcome.encode_error(exc, request_id) + b"\n\n"
            )
            return
        usage = msgspec.json.encode(_usage(run))
        await response.write(b"".join((prefix, b'[],"usage":', usage, b"}\n\ndata: [DONE]\n\n")))
        await response.write_eof()
        self._record_answer(parsed, run, started_at)

    def _record_answer(
        self, parsed: request.CompletionRequest, run: completions.CompletionRun, started_at: float
    ) -> None:
        assert run.selected is not None
        caller = parsed.caller
        self._ctx.runtime.log.write(
            "request_answered",
            request=caller.request_id,
            organisation=caller.organisation.name,
            target=str(run.selected.version_id),
            kind=parsed.kind,
            tokens=run.usage.tokens,
            seconds=round(time.monotonic() - started_at, 4),
        )
        version = str(run.selected.version_id)
        self._submit(caller.request_id, version, parsed.kind, run.text[:RATED_TEXT_CHARS])


async def _write(req: web.Request, response: web.StreamResponse, data: bytes) -> None:
    """Write a chunk, and wait while the caller has not read what was written before.

    aiohttp itself waits only once per 64 KB, which is more memory than one slow reader may use.
    """
    await response.write(data)
    if req.transport is not None and req.transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
        await response.drain()


def _usage(run: completions.CompletionRun) -> dict[str, int]:
    prompt, tokens = run.usage.prompt_tokens, run.usage.tokens
    return {
        "prompt_tokens": prompt,
        "completion_tokens": tokens,
        "total_tokens": prompt + tokens,
    }
