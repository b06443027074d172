"""Steps on servers that send bytes without end to the clients of sidecars and entry processes."""

import asyncio
import gzip
import time
import tracemalloc
from unittest import mock

from aiohttp import test_utils, web
from behave import given, then, when
from support import entries
from support.platform import rawengine
from support.sidecars import make_buffers, make_runner

from berylrock.adapters import backend, interfaces, platform
from berylrock.core import errors, message, metrics
from berylrock.daemons.entry import callers, request
from berylrock.ops import runs

MB = 1_048_576
JUNK = b"x" * 65_536
CHUNK = b"10000\r\n" + JUNK + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
OK, ERROR = b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 500 Oops\r\n"
ONE_BYTE = b"1\r\nx\r\n"
PAUSE_S = 0.05
ZEROS = gzip.compress(bytes(64 * MB))
PIECE_BYTES, LINE_BYTES = 16, 200_000
TIMEOUT_S, MANY_TIMEOUT_S = 9.0, 40.0
SCRIPTS = {
    "the body of an error": rawengine.Script(ERROR + CHUNKED, CHUNK),
    "single bytes of an error's body": rawengine.Script(ERROR + CHUNKED, ONE_BYTE, PAUSE_S),
    "a head": rawengine.Script(OK + b"X-Long: ", JUNK),
    "an event line": rawengine.Script(OK + CHUNKED + b"6\r\ndata: \r\n", CHUNK),
    "an answer": rawengine.Script(OK + CHUNKED, CHUNK),
    "a load report": rawengine.Script(OK + CHUNKED, CHUNK),
    "the response to an order": rawengine.Script(OK + CHUNKED, CHUNK),
    "single bytes of such a response": rawengine.Script(OK + CHUNKED, ONE_BYTE, PAUSE_S),
    "the body of a page": rawengine.Script(OK + b"X-Version: 1\r\n" + CHUNKED, CHUNK),
    "single bytes": rawengine.Script(OK + b"X-Version: 1\r\n" + CHUNKED, ONE_BYTE, PAUSE_S),
    "single bytes of a page with a length": rawengine.Script(
        OK + b"X-Version: 1\r\nContent-Length: 99999\r\n\r\n", b"x", PAUSE_S
    ),
    "single bytes of a head": rawengine.Script(OK + b"X-Long: ", b"x", PAUSE_S),
    "a packed page": rawengine.Script(
        OK + b"Content-Encoding: gzip\r\nContent-Length: %d\r\n\r\n" % len(ZEROS),
        end=ZEROS,
        count=0,
    ),
}


async def run_attempt(port, kind, number=0):
    """Run an attempt at a server on this port; returns its last frame."""
    url = f"http://127.0.0.1:{port}"
    engine, plain = backend.HttpEngine(url, make_buffers()), backend.HttpPlainServer(url)
    server = engine if kind == "engine" else plain
    runner = make_runner(server, kind)
    start = message.Start(
        attempt=f"a{number}", target="m@v1", body=b"{}", timeout_ms=9000, method="GET", path="/a"
    )
    run = runs.Run(start, "entry", None, 0.0)
    await runner.run(run)
    return run.end


async def ask_load(port):
    """Ask an engine for its load; returns how that ended."""
    server = backend.HttpEngine(f"http://127.0.0.1:{port}", make_buffers())
    try:
        await server.load_report()
        return "a report"
    except interfaces.BackendUnreachable:
        return "unreachable"


async def give_order(port):
    """Give an engine an order; returns how that ended."""
    server = backend.HttpEngine(f"http://127.0.0.1:{port}", make_buffers())
    accepted, _ = await server.order(message.Order(target="m@v1"))
    return "taken" if accepted else "not taken"


def play(context, use, timeout_s=TIMEOUT_S):
    """Run a function of the server's port beside the server; keeps what it returns and took."""

    async def run():
        context.raw = raw = rawengine.RawEngine(context.script)
        await raw.start()
        tracemalloc.start()
        before, busy = tracemalloc.get_traced_memory()[0], time.process_time()
        begun = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                context.end = await use(raw.port)
        except TimeoutError:
            context.end = "no end"
        context.took_s, context.busy_s = time.monotonic() - begun, time.process_time() - busy
        context.grown_bytes = tracemalloc.get_traced_memory()[1] - before
        tracemalloc.stop()
        await raw.stop()

    asyncio.run(run())


@given("a server that sends {what} without end")
def step_endless(context, what):
    """Keep its script."""
    context.script = SCRIPTS[what]


@given("a server that sends an event line of 200 kB in pieces of 16 bytes")
def step_pieces(context):
    """Keep its script, with which it closes after that."""
    piece = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    context.script = rawengine.Script(
        OK + CHUNKED, piece, count=LINE_BYTES // PIECE_BYTES, end=b"0\r\n\r\n", closes=True
    )


@given("a server that sends answers of {size:d} kB")
def step_large(context, size):
    """Keep its script."""
    body = b"x" * (size * 1000)
    head = OK + b"Content-Length: %d\r\n\r\n" % len(body)
    context.script = rawengine.Script(head, end=body, count=0, repeat=b"", closes=False)


@when("a sidecar runs a request there")
def step_run(context):
    """Run it; the outcome of its last frame is what is kept."""
    play(context, lambda port: run_attempt(port, "engine"))
    context.end = getattr(context.end, "outcome", context.end)


@when("a sidecar passes a call on")
def step_call(context):
    """Run it; the outcome of its last frame is what is kept."""
    play(context, lambda port: run_attempt(port, "service"))
    context.end = getattr(context.end, "outcome", context.end)


@when("a sidecar asks for its load")
def step_load(context):
    """Ask for it."""
    play(context, ask_load)


@when("a sidecar gives it an order")
def step_order(context):
    """Give it."""
    play(context, give_order)


@then('it gives up within {seconds:g} s with "{end}", and has taken less than {limit:d} MB')
def step_given_up(context, seconds, end, limit):
    """Check the end, the time and what the server could send."""
    assert context.end == end, context.end
    assert context.took_s < seconds, context.took_s
    assert context.raw.sent_bytes < limit * MB, context.raw.sent_bytes


@then('the run ends with "{end}", and took less than {seconds:g} s of processor time')
def step_cheap(context, end, seconds):
    """Check the end and the processor time of client and server together."""
    assert context.end == end, context.end
    assert context.busy_s < seconds, context.busy_s


@when("a sidecar passes {count:d} calls on at the same time, and then one with a small answer")
def step_many_calls(context, count):
    """Run them through one runner, and keep their runs as a sidecar does until they are fetched."""

    async def run_all(port):
        server = backend.HttpPlainServer(f"http://127.0.0.1:{port}")
        runner = make_runner(server, "service")
        made = []
        for number in range(count + 1):
            start = message.Start(
                attempt=f"a{number}", method="GET", path="/a", timeout_ms=9000, repeatable=False
            )
            made.append(runs.Run(start, "entry", None, 0.0))
        await asyncio.gather(*(runner.run(run) for run in made[:-1]))
        context.raw.script = rawengine.Script(OK + b"Content-Length: 5\r\n\r\nsmall")
        await runner.run(made[-1])
        return made

    play(context, run_all, MANY_TIMEOUT_S)


@then("its memory grew by less than {limit:d} MB, and the small answer is complete")
def step_room(context, limit):
    """Check the peak of the memory and the last run; each large one was answered or given up."""
    assert context.end != "no end"
    small = context.end[-1]
    assert (small.end.outcome, small.body()) == ("done", b"small"), small.end
    others = [run.end for run in context.end[:-1]]
    assert {end.outcome for end in others} <= {"done", "stalled"}, others[:2]
    assert context.grown_bytes < limit * MB, context.grown_bytes


CLIENTS = {
    "the object API": lambda url, meter: platform.HttpObjectStore(url, meter).get("kind", "name"),
    "the VM list": lambda url, meter: platform.HttpVmList(url, meter).servers(),
    "the rating service": lambda url, meter: platform.HttpRatingService(url, meter).ratings(0),
}


@when("{service} is read there")
def step_read_platform(context, service):
    """Read it; keeps whether it is unavailable."""

    async def read(port):
        try:
            await CLIENTS[service](f"http://127.0.0.1:{port}", metrics.Metrics("", "test"))
            return "read"
        except errors.StoreUnavailable:
            return "unavailable"

    play(context, read)


@then("it is unavailable within {seconds:g} s, and less than {limit:d} MB were taken")
def step_unavailable(context, seconds, limit):
    """Check the end, the time and what the server could send, or what was unpacked."""
    assert context.end == "unavailable", context.end
    assert context.took_s < seconds, context.took_s
    assert context.raw.sent_bytes < limit * MB, context.raw.sent_bytes
    assert context.grown_bytes < limit * MB, context.grown_bytes


@given("an entry process without backend servers")
def step_entry(context):
    """Keep its parts; it answers each request with the size of its body."""
    context.entry, context.caller = entries.make_context(), entries.make_caller()


@when("{count:d} callers send 900 kB of a body of 950 kB, and one sends a whole body of 2 kB")
def step_unfinished(context, count):
    """Send them, and measure what is held while the others are unfinished."""

    async def serve(self, req, doc, caller, body):
        return web.Response(text=str(len(body)))

    async def upload(server):
        reader, writer = await asyncio.open_connection(server.host, server.port)
        writer.write(b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n")
        writer.write(b"Content-Length: 950000\r\n\r\n")
        for _ in range(90):
            writer.write(b"x" * 10_000)
            await asyncio.sleep(0)
        return reader, writer

    async def run():
        made = callers.Callers(context.entry, lambda *answer: None)
        server = test_utils.TestServer(made.build())
        await server.start_server()
        before = tracemalloc.get_traced_memory()[0]
        opened = await asyncio.gather(*(upload(server) for _ in range(count)))
        # Callers that wait for an answer have been read as far as there is room.
        await asyncio.sleep(1.0)
        async with test_utils.TestClient(server) as client:
            resp = await client.post("/v1/chat/completions", data=b"x" * 2000)
            context.answer = (resp.status, await resp.text())
            context.held_bytes = tracemalloc.get_traced_memory()[0] - before
            for _, writer in opened:
                writer.transport.abort()

    tracemalloc.start()
    with (
        mock.patch.object(request, "read_caller", return_value=context.caller),
        mock.patch.object(callers.Callers, "_serve_completion", serve),
    ):
        asyncio.run(run())
    tracemalloc.stop()


@then("the whole one is served, and less than {limit:d} MB are held for the others")
def step_held(context, limit):
    """Check the answer and what was held."""
    assert context.answer == (200, "2000"), context.answer
    assert context.held_bytes < limit * MB, context.held_bytes
