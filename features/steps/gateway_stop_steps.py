"""Steps on planned stops of a gateway."""

import asyncio
import signal
import time

import h11
from behave import given, then, when
from support.platform import fleet, scenario

from berylrock.adapters import http1

# Idle connections are closed so long after SIGTERM; a little later, to be sure.
IDLE_CLOSED_S = 2.3


@when("SIGTERM comes while reads are running")
def step_term(context):
    """Stop the gateway in the middle of its work."""
    gateway = context.gateway

    async def send_all():
        return await asyncio.gather(*(gateway.send_async(path=f"/read/{n}") for n in range(6)))

    fut = asyncio.run_coroutine_threadsafe(send_all(), gateway.thread.loop)
    gateway.wait(lambda: len(gateway.runs("plain")) >= 4, "reads are running")
    gateway.signal(signal.SIGTERM)
    gateway.wait(lambda: gateway.get_readiness() == 503, "not ready")
    context.results = fut.result(10)


@then("all of them are answered {status:d}")
def step_all_answered(context, status):
    """No answer was cut."""
    assert {(answer.status, answer.whole) for answer in context.results} == {(status, True)}


@then("the gateway says at once that it is not ready")
def step_not_ready(context):
    """It stays out of rotation."""
    assert context.gateway.get_readiness() in (0, 503)


@then("it ends by itself within the grace time")
def step_ends(context):
    """The process ends with success."""
    assert context.gateway.process.wait(5) == 0


@given("a caller whose connection is idle")
def step_idle(context):
    """It has had one answer on it."""
    gateway = context.gateway

    async def open_and_use():
        link = await http1.EngineConnection.open((gateway.host, gateway.port), 2.0)
        await link.send("GET", "/read/first", read_headers("00000000000000d1"), b"")
        await read_answer(link)
        assert link.reset_for_reuse()
        return link

    context.link = gateway.thread.run(open_and_use())


def read_headers(identity):
    """The head of a read."""
    return [
        (b"host", fleet.HOST.encode()),
        (b"x-berylrock-attempt-id", identity.encode()),
        (b"x-api-key", fleet.KEY.encode()),
    ]


async def read_answer(link):
    """Read an answer to its end; returns its status."""
    status = 0
    while not isinstance(event := await link.next_event(), h11.EndOfMessage):
        status = event.status_code if isinstance(event, h11.Response) else status
    return status


@when("SIGTERM comes and the VM is suspended until the caller has sent a read")
def step_suspended(context):
    """The read is there when idle connections are to be closed."""
    gateway = context.gateway
    gateway.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    gateway.wait(lambda: gateway.get_readiness() == 503, "not ready")
    gateway.signal(signal.SIGSTOP)
    link = context.link
    gateway.thread.run(link.send("GET", "/read/last", read_headers("00000000000000d2"), b""))
    gateway.wait(lambda: time.monotonic() > stopped_at + IDLE_CLOSED_S, "time has passed")
    gateway.signal(signal.SIGCONT)


@then("the caller gets the whole answer")
def step_answered(context):
    """Its connection was not closed under it."""
    assert context.gateway.thread.run(read_answer(context.link)) == 200


@given("a gateway with a grace time of {seconds:d} s")
def step_grace(context, seconds):
    """Start again with another setting."""
    scenario.start_gateway(context, grace_s=seconds)


@when("SIGTERM comes while a read is running")
def step_term_running(context):
    """It runs longer than the grace time."""
    gateway = context.gateway
    coro = gateway.send_async(path="/read/long")
    fut = asyncio.run_coroutine_threadsafe(coro, gateway.thread.loop)
    gateway.wait(lambda: gateway.runs("plain"), "the read runs")
    gateway.signal(signal.SIGTERM)
    context.result = fut.result(10)


@then("its caller gets no answer")
def step_no_answer(context):
    """The connection is closed; nothing is promised."""
    assert not context.result.whole, context.result


@then("the gateway has ended with success and said what it cut")
def step_said(context):
    """One line, and no traceback."""
    assert context.gateway.process.wait(5) == 0
    log = context.gateway.log()
    assert "event=callers_cut connections=1" in log and "Traceback" not in log, log[-2000:]
