"""Steps on unexpected errors in a sidecar or an entry process, without processes."""

import asyncio
import types
from unittest import mock

from aiohttp import test_utils
from behave import given, then, when
from support import entries
from support.platform import breakingserver, rawengine
from support.sidecars import TIMEOUT_S, make_buffers, make_links, make_runner

from berylrock.adapters import backend
from berylrock.core import message
from berylrock.daemons.entry import callers, outcome, request
from berylrock.daemons.sidecar import backend as sidecar_backend
from berylrock.ops import runs

SENSELESS = rawengine.Script(
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: {no event\n\n", closes=True
)


class RaisingEngine:
    """An engine client with a fault of its own."""

    async def run(self, start):
        """Raise an error of a kind that no caller knows."""
        raise ZeroDivisionError(f"raised for {start.attempt}")
        yield


@given("a sidecar whose server is one that raises an error of no known kind")
def step_raising(context):
    """Keep how to make the server."""
    context.make_server = lambda port: RaisingEngine()


@given("a sidecar whose server is an engine that sends an event without sense")
def step_senseless(context):
    """Keep how to make the server."""
    context.make_server = lambda port: backend.HttpEngine(
        f"http://127.0.0.1:{port}", make_buffers()
    )


@when("it runs a request")
def step_run(context):
    """Run it and keep what is left."""

    async def play():
        raw = rawengine.RawEngine(SENSELESS)
        await raw.start()
        context.runner = make_runner(context.make_server(raw.port))
        start = message.Start(attempt="a1", target="m@v1", body=b"{}", timeout_ms=9000)
        run = runs.Run(start, "entry", None, 0.0)
        async with asyncio.timeout(TIMEOUT_S):
            await context.runner.run(run)
        return run.end

    context.end = asyncio.run(play())


@then('the run ends within 2 s with the outcome "{outcome}"')
def step_ended(context, outcome):
    """Check its last frame."""
    assert isinstance(context.end, message.End), context.end
    assert context.end.outcome == outcome, context.end


@then("nothing runs there any more")
def step_free(context):
    """Check the places."""
    assert not context.runner.admission.running


@given("an entry process in which an error is raised while a request is served")
def step_raising_entry(context):
    """Keep what its handlers need."""
    context.entry, context.caller = entries.make_context(), entries.make_caller()


@when("a caller sends it a request")
def step_send_to_entry(context):
    """Pass a request to the handler, with a server function that raises."""

    async def serve(req, doc, caller, body):
        raise ZeroDivisionError("raised while the request is served")

    async def play():
        made = callers.Callers(context.entry, lambda *answer: None)
        req = test_utils.make_mocked_request("POST", "/v1/chat/completions")
        req.writer.output_size = 0
        with mock.patch.object(request, "read_caller", return_value=context.caller):
            return await made._handle(req, serve)

    context.response = asyncio.run(play())


@then('the caller gets status 502 and the outcome "unknown-not-repeated"')
def step_unknown_outcome(context):
    """Check the response."""
    assert context.response.status == 502
    assert context.response.headers[outcome.HEADER] == outcome.UNKNOWN


@given("a sidecar that runs a read for an entry process, and that has got no other attempt")
def step_running(context):
    """Keep the sidecar's links, with a run whose connection is lost at time 0."""
    context.links, context.runner, context.clock = make_links()
    run = runs.Run(message.Start(attempt="known", target="m@v1"), "entry", None, 0.0)
    context.runner.runs["known"] = run


@when("the connection is lost for 11 s, and the entry process then asks for both attempts")
def step_attach(context):
    """Let the sidecar handle what is left over, then reattach."""
    context.clock.at = 11.0
    context.links.handle_orphans()
    context.sent = []
    conn = types.SimpleNamespace(send=context.sent.append)
    for attempt in ("known", "other"):
        context.links._handle_attach(conn, message.Attach(attempt, 0))


@then("the read is said to have ended without an answer, and the other one never to have started")
def step_said(context):
    """Check the frames."""
    ended, refused = context.sent
    assert isinstance(ended, message.End) and ended.outcome == message.Outcome.STALLED, ended
    assert isinstance(refused, message.Refused) and refused.attempt == "other", refused


@given("an engine whose connections {breaks} after each request has arrived")
def step_breaking(context, breaks):
    """Keep the server."""
    context.server = breakingserver.BreakingServer(resets=breaks == "are reset")


@when("a sidecar asks whether it has crashed, and sends it an order")
def step_ask(context):
    """Keep what it learns."""

    async def play():
        await context.server.start()
        client = backend.HttpEngine(f"http://127.0.0.1:{context.server.port}", make_buffers())
        log = types.SimpleNamespace(write=lambda name, **fields: None)
        tracker = types.SimpleNamespace(cold=False, reset=lambda: None)
        polled = sidecar_backend.Backend(client, tracker, log)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                context.crashed = await polled.has_crashed("one")
                context.accepted, _ = await client.order(message.Order("o1", 1, "load", "m@v1"))
        finally:
            await context.server.stop()

    asyncio.run(play())


@then("it has crashed, and the order was not accepted")
def step_crashed(context):
    """Check what the sidecar learnt."""
    assert context.crashed
    assert not context.accepted
