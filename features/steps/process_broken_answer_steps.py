"""Steps on servers whose answers break off, or are none, at the clients of a sidecar."""

import asyncio
import time

from behave import given, then, when
from support.platform import rawengine
from support.sidecars import make_runner

from berylrock.adapters import backend
from berylrock.core import message
from berylrock.ops import runs

OK = b"HTTP/1.1 200 OK\r\n"
CLOSE = b"Connection: close\r\n\r\n"
PART = b"x" * 1000
REPORT = b'{"incarnation": "one", "loaded": ["m@v1"]}'
SCRIPTS = {
    "a body without a length, and then a reset": rawengine.Script(OK + CLOSE + PART, resets=True),
    "a long body without a length, and then a reset": rawengine.Script(
        OK + CLOSE, PART, count=60, resets=True
    ),
    "a body that is shorter than its length": rawengine.Script(
        OK + b"Content-Length: 2000\r\n\r\n" + PART, closes=True
    ),
    "a body without a length, and then its end in order": rawengine.Script(
        OK + CLOSE + PART, closes=True
    ),
    "a load report": rawengine.Script(OK + CLOSE + REPORT, resets=True),
    "the response to an order": rawengine.Script(OK + CLOSE + b"taken", resets=True),
}
CALL_TIMEOUT_S = 9.0


@given("a server whose answers have the status {status}")
def step_status(context, status):
    """Keep a whole answer with this status."""
    head = f"HTTP/1.1 {status} What\r\nContent-Length: 4\r\n\r\n".encode()
    context.script = rawengine.Script(head + b"text")


@given("a server that answers calls with {what}")
@given("a server that answers with {what} without a length, and then a reset")
def step_script(context, what):
    """Keep its script."""
    context.script = SCRIPTS[what]


def play(context, use):
    """Run a function of the server's URL beside the server; keeps what it returns."""

    async def run():
        raw = rawengine.RawEngine(context.script)
        await raw.start()
        begun = time.monotonic()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                context.end = await use(f"http://127.0.0.1:{raw.port}")
        finally:
            context.took_s = time.monotonic() - begun
            await raw.stop()

    asyncio.run(run())


@when("a sidecar passes a call of {size:d} bytes on")
def step_call(context, size):
    """Run the call; keeps its run."""

    async def call(url):
        server = backend.HttpPlainServer(url)
        start = message.Start(
            attempt="a1", method="POST", path="/a", body=bytes(size), timeout_ms=9000
        )
        run = runs.Run(start, "entry", None, 0.0)
        await make_runner(server, "service").run(run)
        return run.end

    play(context, call)


@then('the call ends within {seconds:g} s with the outcome "{outcome}"')
def step_ended(context, seconds, outcome):
    """Check its last frame and the time."""
    assert context.end.outcome == outcome, context.end
    assert context.took_s < seconds, context.took_s
