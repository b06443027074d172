"""Steps on callers that leave before their answers, with a gateway process."""

import asyncio
import signal
import socket
import time

from behave import given, then, when
from support.platform import fleet, scenario

METHODS = {"read": "GET", "order": "POST", "chat": "POST", "talk": "POST"}
MODEL_HEADERS = "X-Berylrock-Model: *\r\nX-Berylrock-Token-Usage: 10,10\r\n"
KEPT_S = 2.5
CONNECT_BACKLOG = 2


def make_request(kind, number):
    """Return the bytes of a request of a kind."""
    lines = (
        f"{METHODS[kind]} /{kind}/a HTTP/1.1\r\nHost: {fleet.HOST}\r\nX-Api-Key: {fleet.KEY}\r\n"
    )
    lines += f"X-Berylrock-Attempt-Id: {number:016x}\r\nContent-Length: 0\r\n"
    lines += MODEL_HEADERS if kind in ("chat", "talk") else ""
    return lines.encode() + b"\r\n"


def add_talk_route(gateway):
    """Add a route of streams that cannot be resumed, and wait until it is in force."""
    config = fleet.make_config(2)
    talk = {"sizes": ["small", "large"], "itl-target-ms": 600}
    config["routes"].append(fleet.make_route("talk", "/talk/", "streaming", "models", **talk))
    gateway.put("config", "main", config)
    in_force = "event=config_in_force version=2"
    gateway.wait(lambda: in_force in gateway.log(), "the route is there")


def arrivals(context):
    """Return the arrivals at all engines, but for those that made them ask for a pause."""
    engines = context.gateway.engines.values()
    return [item for one in engines for item in one.arrivals if not item.paused_until]


@given("every engine is full and asks for a pause of {seconds:g} s")
def step_all_pause(context, seconds):
    """Let each engine refuse its next request, and all until the pause is over."""
    for item in context.gateway.engines.values():
        item.pause_s = seconds


@given("a gateway whose first engine of each service accepts no connection")
def step_no_connection(context):
    """Register a socket whose queue of new connections is full as an engine of each service."""
    scenario.start_gateway(context, plain=0, models=0)
    sock = socket.socket()
    sock.bind(("127.0.0.1", 0))
    sock.listen(0)
    address = sock.getsockname()
    fillers = [socket.socket() for _ in range(CONNECT_BACKLOG)]
    for item in fillers:
        item.setblocking(False)
        item.connect_ex(address)
    context.cleanups += [item.close for item in (sock, *fillers)]
    for service in ("plain", "models"):
        entry = fleet.make_entry(service, f"127.0.0.1:{address[1]}")
        context.gateway.put("servers", f"{service}-0", entry)
        context.gateway.add_engine(f"{service}-1", service, zone="giarre-d")
    running = context.gateway
    running.wait(lambda: "engine=models-1 what=added" in running.log(), "the engines are known")


@given("the next answer of a plain engine is a refusal after {seconds:g} s")
def step_late_refusal(context, seconds):
    """Apply the fault once, to whichever plain engine receives the next request."""
    shared = ["full"]
    for item in scenario.plain_engines(context):
        item.faults, item.refusal_delay_s = shared, seconds


@given("the engines take {seconds:g} s for an answer")
def step_slow_answers(context, seconds):
    """Delay the plain engines' answers."""
    for item in scenario.plain_engines(context):
        item.response_delay_s = seconds


@given("the engines pause {seconds:g} s between the events of long streams")
def step_long_streams(context, seconds):
    """Let the models' streams last."""
    for item in scenario.model_engines(context):
        item.event_count, item.event_interval_s = 1000, seconds


@when("{count:d} {kind:w}s are sent of which {given_up:d} are given up after {seconds:g} s")
def step_give_up(context, count, kind, given_up, seconds):
    """Send them at the same time; the first ones are closed early, the others wait longer."""
    gateway = context.gateway
    if kind == "talk":
        add_talk_route(gateway)

    async def send(number):
        _, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(make_request(kind, number))
        await asyncio.sleep(seconds)
        if number > given_up:
            await asyncio.sleep(KEPT_S)
        writer.close()

    async def send_all():
        calls = [asyncio.create_task(send(number + 1)) for number in range(count)]
        await asyncio.sleep(seconds)
        context.left_at = time.monotonic()
        await asyncio.gather(*calls)

    context.kept = {f"{number:016x}" for number in range(given_up + 1, count + 1)}
    gateway.thread.run(send_all())


@when("{count:d} orders and the closes of their connections arrive at the same time")
def step_arrive_together(context, count):
    """Send and close while the gateway's process is stopped, so that it finds both."""
    running = context.gateway

    async def send(number):
        _, writer = await asyncio.open_connection(running.host, running.port)
        writer.write(make_request("order", number))
        writer.close()
        await writer.wait_closed()

    running.signal(signal.SIGSTOP)
    for number in range(count):
        running.thread.run(send(number + 1))
    running.signal(signal.SIGCONT)
    left = "event=caller_left"
    running.wait(lambda: running.log().count(left) == count, "the gateway has seen them leave")


@then("only the {kind:w} that was kept reaches an engine after the pause")
def step_only_kept(context, kind):
    """Check the ids of the requests that arrived after the pause."""
    assert {item.attempt_id for item in arrivals(context)} == context.kept, arrivals(context)
    context.gateway.wait(lambda: "event=caller_left" in context.gateway.log(), "it is logged")


@then("no {kind:w} reaches an engine later than {seconds:g} s after that")
def step_none_later(context, kind, seconds):
    """Wait for longer than a gateway waits for a connection, and check all arrivals."""
    time.sleep(1.5)
    late = [item for item in arrivals(context) if item.at > context.left_at + seconds]
    assert not late, late
    log = context.gateway.log()
    assert "event=caller_left" in log and "at_engine=False" in log, log


@then("no order has run after {seconds:g} s")
def step_none_ran(context, seconds):
    """Wait and check the runs."""
    time.sleep(seconds)
    assert not context.gateway.runs("plain"), context.gateway.log()


@then("the order has run to its end, once")
def step_ran_once(context):
    """Wait until the gateway knows the outcome, and check the run."""
    running = context.gateway
    running.wait(lambda: "event=request_done" in running.log(), "the order has ended")
    runs = running.runs("plain")
    assert len(runs) == 1 and not runs[0].cancelled, runs
    assert "at_engine=True cancelled=False" in running.log(), running.log()


@then("within {seconds:g} s the run of each {kind:w} is cancelled")
def step_cancelled(context, seconds, kind):
    """Check that the engine's connection was closed in time."""
    running = context.gateway
    running.wait(lambda: running.runs("models"), "the stream runs")
    running.wait(lambda: all(run.cancelled for run in running.runs("models")), "it is cancelled")
    assert time.monotonic() < context.left_at + seconds
