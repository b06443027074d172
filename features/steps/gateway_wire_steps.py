"""Steps on the behaviour of engines, callers and the store on their connections."""

import asyncio
import time

from behave import given, then, when
from support.platform import fleet, scenario


def change_limits(context, **limits):
    """Write a configuration with these limits and wait until it is in force.

    Args:
      context: The context of the scenario.
      limits: Limits by their names in the configuration, with underscores for hyphens.
    """
    gateway = context.gateway
    changed = {name.replace("_", "-"): value for name, value in limits.items()}
    base = {"max-header-bytes": 16384, "max-body-bytes": 100_000}
    gateway.put("config", "main", fleet.make_config(2, limits=base | changed))
    gateway.wait(
        lambda: "event=config_in_force version=2" in gateway.log(), "the limits are in force"
    )


@given("bodies may have up to {count:d} bytes")
def step_max_body(context, count):
    """Allow bodies far larger than the buffers of a connection."""
    change_limits(context, max_body_bytes=count)


@given("request heads must arrive within {seconds:g} s")
def step_header_timeout(context, seconds):
    """Set a short limit on the time in which a request head must arrive."""
    change_limits(context, header_timeout_ms=seconds * 1000)


@when("an order of {count:d} bytes is sent")
def step_send_long_order(context, count):
    """Send an order with a long body and wait for its answer."""
    context.body = bytes(ord("a") + number % 26 for number in range(1000)) * (count // 1000)
    context.begun = time.monotonic()
    context.result = context.gateway.send("POST", "/order/long", body=context.body)


@then("the early answer is received completely")
def step_early_answer(context):
    """Check for the body that the engine sends before it has read the request."""
    result = context.result
    assert (result.status, result.whole) == (200, True) and b"early" in result.body, result


@then("the engine reads the rest of the body unchanged")
def step_body_read(context):
    """Compare the body that the engine received with the one that was sent."""
    gateway = context.gateway
    gateway.wait(lambda: gateway.runs("plain")[0].body, "the body is read")
    assert gateway.runs("plain")[0].body == context.body


@then("another order is answered completely")
def step_next_order(context):
    """Send an order; the gateway may reuse the connection or open another one."""
    result = context.gateway.send("POST", "/order/next", body=b"next")
    assert (result.status, result.whole) == (200, True), result
    latest = max(context.gateway.runs("plain"), key=lambda run: run.started_at)
    assert latest.body == b"next", latest.body


@then("within {seconds:g} s it is answered {status:d}")
def step_answered_in_time(context, seconds, status):
    """Check the status and the time since the request was sent."""
    assert context.result.status == status, context.result
    assert time.monotonic() - context.begun < seconds, time.monotonic() - context.begun


@then("only one engine received the order")
def step_one_engine(context):
    """Check that the order was not sent to a second engine, since it may have run at the first."""
    assert len(context.gateway.runs("plain")) == 1


@when("a caller sends only half of a request head")
def step_send_half_head(context):
    """Send the first half of a request head and read until the connection is closed."""
    gateway = context.gateway

    async def send():
        reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(b"GET /read/a HTTP/1.1\r\nHost: calls.ex")
        context.begun = time.monotonic()
        data = await reader.read()
        writer.close()
        return data

    context.data = gateway.thread.run(send())


@then("within {seconds:g} s the caller receives {status:d} and the connection is closed")
def step_closed(context, seconds, status):
    """Check the reply; the read in the step before has ended, so the connection is closed."""
    assert time.monotonic() - context.begun < seconds, time.monotonic() - context.begun
    assert context.data.startswith(f"HTTP/1.1 {status} ".encode()), context.data


@given("the store applies writes late and does not answer them")
def step_late_writes(context):
    """Set the store's fault mode from now on."""
    context.gateway.thread.run(context.gateway.store.set_mode("late"))


@then("the rollout is completed, and its stage never decreases")
def step_rollout_completed(context):
    """Follow the rollout's stage in the store until it is completed."""
    gateway = context.gateway
    stages = []

    def is_completed():
        status = gateway.store.objects[("rollouts", "models")]["status"] or {}
        stages.append(status.get("stage", 0))
        return status.get("state") == "completed"

    gateway.wait(is_completed, "the rollout is completed")
    assert stages == sorted(stages), stages


@then('a chat runs on version "{version}"')
def step_chat_version(context, version):
    """Check which engine ran a chat."""
    gateway = context.gateway
    gateway.wait(
        lambda: "state=completed" in gateway.log(), "the gateway has completed the rollout"
    )
    assert gateway.send_chat().status == 200
    assert gateway.runs(f"models-{version}"), "no run on this version"


@given("lists that the store may answer from old data are empty")
def step_stale_lists(context):
    """Answer such lists as of a time before any gateway wrote its record."""
    context.gateway.store.stale_revision = 1


@given("a gateway without a retry budget")
def step_no_retry_budget(context):
    """Start a gateway whose budget allows no retry after a single request."""
    scenario.start_gateway(context, retry_extra=0)


@given('the engine "{name}" does not listen')
def step_engine_not_listening(context, name):
    """Let the engine refuse connections."""
    gateway = context.gateway
    gateway.thread.run(gateway.engines[name].stop())


@then('the log says that an attempt at "{engine}" failed with the reason "{reason}"')
def step_attempt_failure_logged(context, engine, reason):
    """Check the log lines on failed attempts at the engine."""
    lines = context.gateway.log().splitlines()
    failed = [
        line for line in lines if "event=attempt_failed" in line and f"engine={engine}" in line
    ]
    assert any(reason in line for line in failed), failed


@given("the store no longer answers calls about engines")
def step_silent_engines(context):
    """Leave the store's calls about engines unanswered; it answers all others."""
    store = context.gateway.store
    context.gateway.thread.call(store.silent_kinds.add, "servers")


@then("within {seconds:g} s the gateway reports that it is not ready")
def step_not_ready_within(context, seconds):
    """Wait for the readiness page; watches that are already open have to end first."""
    begun = time.monotonic()
    context.gateway.wait(lambda: context.gateway.get_readiness() == 503, "the gateway is not ready")
    assert time.monotonic() - begun < seconds
