"""Steps on what engines, callers and the store do on their connections."""

import asyncio
import time

from behave import given, then, when
from support.platform import fleet, scenario


def change_limits(context, **limits):
    """Write a configuration with other limits, and wait until it is in force."""
    gateway = context.gateway
    words = {name.replace("_", "-"): value for name, value in limits.items()}
    base = {"max-header-bytes": 16384, "max-body-bytes": 100_000}
    gateway.put("config", "main", fleet.make_config(2, limits=base | words))
    gateway.wait(lambda: "event=config_in_force version=2" in gateway.log(), "in force")


@given("bodies may have {count:d} bytes")
def step_bodies(context, count):
    """Far more than the buffers of a connection hold."""
    change_limits(context, max_body_bytes=count)


@given("heads must come within {seconds:g} s")
def step_heads(context, seconds):
    """A short limit."""
    change_limits(context, header_timeout_ms=seconds * 1000)


@when("an order of {count:d} bytes is sent")
def step_long_order(context, count):
    """Wait for its answer."""
    context.body = bytes(ord("a") + number % 26 for number in range(1000)) * (count // 1000)
    context.begun = time.monotonic()
    context.result = context.gateway.send("POST", "/order/long", body=context.body)


@then("it is answered whole and early")
def step_early(context):
    """The engine's own words."""
    result = context.result
    assert (result.status, result.whole) == (200, True) and b"early" in result.body, result


@then("the engine reads the rest of the body as it was sent")
def step_rest(context):
    """Byte by byte."""
    gateway = context.gateway
    gateway.wait(lambda: gateway.runs("plain")[0].body, "the body is read")
    assert gateway.runs("plain")[0].body == context.body


@then("another order is answered whole")
def step_another(context):
    """On whichever connection."""
    result = context.gateway.send("POST", "/order/next", body=b"next")
    assert (result.status, result.whole) == (200, True), result
    latest = max(context.gateway.runs("plain"), key=lambda run: run.started_at)
    assert latest.body == b"next", latest.body


@then("within {seconds:g} s it is answered {status:d}")
def step_in_time(context, seconds, status):
    """Counted from its sending."""
    assert context.result.status == status, context.result
    assert time.monotonic() - context.begun < seconds, time.monotonic() - context.begun


@then("the order has reached one engine only")
def step_one_engine(context):
    """It may have run there."""
    assert len(context.gateway.runs("plain")) == 1


@when("a caller sends half a head")
def step_half_head(context):
    """And nothing more."""
    gateway = context.gateway

    async def send():
        reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(b"GET /read/a HTTP/1.1\r\nHost: calls.ex")
        context.begun = time.monotonic()
        data = await reader.read()
        writer.close()
        return data

    context.data = gateway.thread.run(send())


@then("within {seconds:g} s it gets {status:d} and is closed")
def step_closed(context, seconds, status):
    """The read ended, so the connection did."""
    assert time.monotonic() - context.begun < seconds, time.monotonic() - context.begun
    assert context.data.startswith(f"HTTP/1.1 {status} ".encode()), context.data


@given("the store does writes late and does not answer them")
def step_late(context):
    """From now on."""
    context.gateway.thread.run(context.gateway.store.set_mode("late"))


@then("the roll-out is completed, and its stage never falls")
def step_completed(context):
    """Followed in the store."""
    gateway = context.gateway
    stages = []

    def done():
        status = gateway.store.objects[("rollouts", "models")]["status"] or {}
        stages.append(status.get("stage", 0))
        return status.get("state") == "completed"

    gateway.wait(done, "completed")
    assert stages == sorted(stages), stages


@then('a chat goes to version "{version}"')
def step_chat_version(context, version):
    """By the engine that ran it."""
    gateway = context.gateway
    gateway.wait(lambda: "state=completed" in gateway.log(), "the gateway knows")
    assert gateway.send_chat().status == 200
    assert gateway.runs(f"models-{version}"), "no run there"


@given("lists of the store that may be old are empty")
def step_stale(context):
    """As of a time before any gateway wrote its record."""
    context.gateway.store.stale_revision = 1


@given("a gateway without a retry budget")
def step_no_budget(context):
    """One request alone leaves no whole repeat."""
    scenario.start_gateway(context, retry_extra=0)


@given('the engine "{name}" does not listen')
def step_deaf(context, name):
    """Connections are refused."""
    gateway = context.gateway
    gateway.thread.run(gateway.engines[name].stop())


@then('the log says that "{engine}" was left as "{reason}"')
def step_left(context, engine, reason):
    """One line for each engine that was left."""
    lines = context.gateway.log().splitlines()
    left = [line for line in lines if "event=attempt_failed" in line and f"engine={engine}" in line]
    assert any(reason in line for line in left), left


@given("the store no longer answers about engines")
def step_silent_engines(context):
    """All else is answered."""
    store = context.gateway.store
    context.gateway.thread.call(store.silent_kinds.add, "servers")


@then("within {seconds:g} s the gateway says that it is not ready")
def step_not_ready(context, seconds):
    """Watches that wait already end first."""
    begun = time.monotonic()
    context.gateway.wait(lambda: context.gateway.get_readiness() == 503, "not ready")
    assert time.monotonic() - begun < seconds
