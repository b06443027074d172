"""Steps on the graceful shutdown of a gateway."""

import asyncio
import signal
import time

import h11
from behave import given, then, when
from support.platform import fleet, scenario

from berylrock.adapters import http1
from berylrock.daemons.gateway import process

# Time after SIGTERM at which idle connections have been closed, with a small margin.
IDLE_CLOSED_S = 2.3


@when("SIGTERM is sent while reads are running")
def step_sigterm_during_reads(context):
    """Send SIGTERM while at least four of six reads run."""
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
    """Check that all answers are complete and have the status."""
    assert {(answer.status, answer.whole) for answer in context.results} == {(status, True)}


@then("the gateway is no longer ready")
def step_not_ready(context):
    """Check that the readiness page fails or no longer exists."""
    assert context.gateway.get_readiness() in (0, 503)


@then("the gateway exits within the grace time")
def step_exits(context):
    """Check that the process exits with status 0."""
    assert context.gateway.process.wait(5) == 0


@given("a caller with an idle connection")
def step_idle_caller(context):
    """Open a connection and complete one request on it."""
    gateway = context.gateway

    async def open_idle():
        link = await http1.EngineConnection.open((gateway.host, gateway.port), 2.0)
        await link.send("GET", "/read/first", read_headers("00000000000000d1"), b"")
        await read_answer(link)
        assert link.reset_for_reuse()
        return link

    context.link = gateway.thread.run(open_idle())


def read_headers(identity):
    """Return the headers of a read with this attempt id."""
    return [
        (b"host", fleet.HOST.encode()),
        (b"x-berylrock-attempt-id", identity.encode()),
        (b"x-api-key", fleet.KEY.encode()),
    ]


async def read_answer(link):
    """Read an answer to its end and return its status."""
    status = 0
    while not isinstance(event := await link.next_event(), h11.EndOfMessage):
        status = event.status_code if isinstance(event, h11.Response) else status
    return status


@when("SIGTERM is sent and the VM is suspended until the caller has sent a read")
def step_suspend_during_stop(context):
    """Send a read while the gateway is suspended and due to close idle connections."""
    gateway = context.gateway
    gateway.signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    gateway.wait(lambda: gateway.get_readiness() == 503, "not ready")
    gateway.signal(signal.SIGSTOP)
    link = context.link
    gateway.thread.run(link.send("GET", "/read/last", read_headers("00000000000000d2"), b""))
    gateway.wait(
        lambda: time.monotonic() > stopped_at + IDLE_CLOSED_S,
        "idle connections are due to be closed",
    )
    gateway.signal(signal.SIGCONT)


@then("the caller receives the complete answer")
def step_read_answered(context):
    """Check that the gateway did not close the connection before it answered."""
    assert context.gateway.thread.run(read_answer(context.link)) == 200


@given("a gateway with a grace time of {seconds:d} s")
def step_start_with_grace_time(context, seconds):
    """Restart the gateway with another grace time."""
    scenario.start_gateway(context, grace_s=seconds)


@when("SIGTERM is sent while a read is running")
def step_sigterm_during_long_read(context):
    """Send SIGTERM during a read that takes longer than the grace time."""
    gateway = context.gateway
    coro = gateway.send_async(path="/read/long")
    fut = asyncio.run_coroutine_threadsafe(coro, gateway.thread.loop)
    gateway.wait(lambda: gateway.runs("plain"), "the read is running")
    gateway.signal(signal.SIGTERM)
    context.result = fut.result(10)


@then("its caller is told that the outcome is unknown")
def step_unknown(context):
    """Check for a complete answer that promises nothing."""
    assert context.result.status == 504 and context.result.whole, context.result


@when("SIGTERM is sent while a chat is running")
def step_sigterm_during_chat(context):
    """Stop the gateway after the chat's first event."""
    context.gateway.signal(signal.SIGTERM)
    context.result = context.chat.result(10)


@then("its caller receives no complete stream")
def step_no_complete_stream(context):
    """Check that the connection was closed without the end of the stream."""
    assert context.result.event_ids and not context.result.whole, context.result


def stop_during_read(context, seconds):
    """Send SIGTERM while a read is running, and wait."""
    gateway = context.gateway
    coro = gateway.send_async(path="/read/long")
    context.running = asyncio.run_coroutine_threadsafe(coro, gateway.thread.loop)
    gateway.wait(lambda: gateway.runs("plain"), "the read is running")
    gateway.signal(signal.SIGTERM)
    time.sleep(seconds)


@when(
    "SIGTERM is sent while a read is running, "
    "and {seconds:g} s later an order, a read and a chat come"
)
def step_late_requests(context, seconds):
    """Send requests whose routes allow them 3 s, which is after the end of the grace time."""
    gateway = context.gateway
    stop_during_read(context, seconds)
    context.results, context.times = [], []
    for method, path in (("POST", "/order/a"), ("GET", "/read/a"), ("POST", "/chat/a")):
        begun = time.monotonic()
        context.results.append(gateway.send(method, path, body=b"x" if method == "POST" else b""))
        context.times.append(time.monotonic() - begun)


@then(
    "each of them is refused within {limit:g} s, to come back within {soon:g} s, and none has run"
)
def step_late_refused(context, limit, soon):
    """Check the refusals and the engines."""
    for answer in context.results:
        assert answer.status == 503 and answer.headers["connection"] == "close", answer
        assert float(answer.headers["retry-after"]) <= soon, answer
    assert max(context.times) < limit, context.times
    assert {run.target for run in context.gateway.runs("plain")} == {"/read/long"}
    assert not context.gateway.runs("models")


@when(
    "SIGTERM is sent while a read is running, "
    "and {seconds:g} s later a read that is waited {deadline:g} s for"
)
def step_late_short_read(context, seconds, deadline):
    """Send a read whose deadline is before the end of the grace time."""
    stop_during_read(context, seconds)
    for item in scenario.plain_engines(context):
        item.response_delay_s = 0.1
    headers = [("X-Berylrock-Deadline-Ms", str(int(deadline * 1000)))]
    context.result = context.gateway.send(headers=headers)


@then("that read is answered")
def step_late_answered(context):
    """Check the answer."""
    assert context.result.status == 200 and context.result.whole, context.result


@then("the gateway has exited with status 0 and logged the closed connections")
def step_cut_logged(context):
    """Check for exit status 0, one log line on the closed connections and no traceback."""
    assert context.gateway.process.wait(5) == 0
    log = context.gateway.log()
    assert "event=callers_cut connections=1" in log and "Traceback" not in log, log[-2000:]


@given("idle connections to the readiness page, the metrics page and the port for other gateways")
def step_idle_connections(context):
    """Open a connection to each of the gateway's other ports, and leave it idle."""
    gateway = context.gateway
    ports = (gateway.ready_port, process.METRICS_PORT, gateway.peer_port)
    context.idle_links = [
        gateway.thread.run(http1.EngineConnection.open((gateway.host, port), 2.0)) for port in ports
    ]


@given("a chat that pauses for {seconds:g} s after each event")
def step_pausing_chat(context, seconds):
    """Send a chat, and wait until an engine runs it."""
    gateway = context.gateway
    for item in scenario.model_engines(context):
        item.event_interval_s = seconds
    chat = gateway.send_async("POST", "/chat/a", headers=fleet.CHAT_HEADERS, body=b"hello")
    context.chat = asyncio.run_coroutine_threadsafe(chat, gateway.thread.loop)
    gateway.wait(lambda: gateway.runs("models"), "the chat is running")


@then("the gateway has exited with status 0, and its last line is that it stopped")
def step_nothing_after_stop(context):
    """Check that neither log nor standard error has anything after the stop."""
    assert context.gateway.process.wait(5) == 0
    lines = context.gateway.log().splitlines()
    assert "event=stopped" in lines[-1], lines[-12:]
    assert not any("Traceback" in line for line in lines), lines[-40:]
