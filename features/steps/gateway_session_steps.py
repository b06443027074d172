"""Steps on sessions whose requests come to several gateways."""

import asyncio
import signal

from behave import then, when
from support.platform import fleet

from berylrock.ops import activesessions, positions, rollouts, tracing

SERVICE, NEW_VERSION = "models", "v2"
DISTANT_S = 600
# Chats that are under way at a time, which the engines have room for.
CHATS_AT_ONCE = 10


def send_chats(context, name, numbers, mark=""):
    """Send a chat of each session to a gateway; each has to be answered.

    Args:
      context: The scenario's state.
      name: The gateway.
      numbers: Numbers of the sessions.
      mark: Start of the chats' ids, if the gateway has got chats of these sessions before.
    """
    item = context.gateway.gateways[name]
    room = asyncio.Semaphore(CHATS_AT_ONCE)

    async def send(number):
        lines = [
            ("Host", fleet.HOST),
            ("X-Api-Key", fleet.KEY),
            ("X-Berylrock-Attempt-Id", f"{mark}{name}-{number}"),
            *fleet.CHAT_HEADERS,
            ("Session", f"session-{number}"),
        ]
        async with room:
            return await fleet.exchange((item.host, item.port), "GET", "/chat/a", lines, b"")

    async def run():
        return await asyncio.gather(*map(send, numbers))

    results = context.gateway.thread.run(run())
    assert {result.status for result in results} == {200}, results[:3]


@when("a chat of each of {count:d} sessions is sent to the first gateway")
def step_first_chats(context, count):
    """Let the sessions begin there."""
    context.sessions = count
    send_chats(context, context.names[0], range(count))


@when("a rollout of the models with a distant deadline is under way at all gateways")
def step_rollout(context):
    """Start an engine of the new version, order the rollout, and wait until each gateway has it."""
    running = context.gateway
    running.add_engine(f"{SERVICE}-{NEW_VERSION}", SERVICE, version=NEW_VERSION)
    order = {"backend": SERVICE, "target": NEW_VERSION, "duration-s": DISTANT_S}
    running.put("rollouts", SERVICE, order)
    for name in context.names:
        item = running.gateways[name]
        running.wait(
            lambda item=item: "event=rollout_seen" in item.log() and "state=running" in item.log(),
            f"{name} follows the rollout",
        )


@when("a chat of each of these sessions is sent to the second gateway")
def step_second_chats(context):
    """Let the sessions go on there."""
    second = getattr(context, "second", context.names[1])
    send_chats(context, second, range(context.sessions))


@then("at most {most:d} of these chats run on the new version")
def step_pinned(context, most):
    """Check how many sessions have changed their version."""
    count = len(context.gateway.runs(f"{SERVICE}-{NEW_VERSION}"))
    assert count <= most, f"{count} of {context.sessions} sessions have changed their version"


@when("the rollout has come to its second stage at all gateways")
def step_second_stage(context):
    """Write the stage to the store, as any gateway may, and wait until each gateway knows it."""
    running = context.gateway
    status = {"state": "in_progress", "target": NEW_VERSION, "stage": 1, "began_ms": 1}
    running.thread.run(running.store.put("rollouts", SERVICE, status=status))
    for name in context.names:
        item = running.gateways[name]
        running.wait(
            lambda item=item: "state=running stage=1" in item.log(), f"{name} knows the stage"
        )


@when("a chat of each of these sessions is sent to the first gateway again")
def step_third_chats(context):
    """Let the sessions return within their time to live."""
    context.moved = find_sessions(new_runs(context))
    send_chats(context, context.names[0], range(context.sessions), "again-")


def new_runs(context):
    """Return the ids of the chats that ran on the new version."""
    runs = context.gateway.runs(f"{SERVICE}-{NEW_VERSION}")
    return {run.headers["x-berylrock-attempt-id"] for run in runs}


def find_sessions(ids):
    """Return the numbers of the sessions of chats."""
    return {item.rpartition("-")[2] for item in ids}


@then("some sessions have moved to the new version, and none has gone back")
def step_none_back(context):
    """Compare the sessions' last chats with the ones before."""
    last = find_sessions(item for item in new_runs(context) if item.startswith("again-"))
    assert len(context.moved) > 30, len(context.moved)
    assert context.moved <= last, f"{len(context.moved - last)} of {len(context.moved)} went back"


@when("the first gateway is stopped as planned")
def step_stop_first(context):
    """Send it SIGTERM and wait for its end."""
    item = context.gateway.gateways[context.names[0]]
    item.popen.send_signal(signal.SIGTERM)
    item.popen.wait(15.0)
    del context.names[0]
    context.second = context.names[0]


@when("the second gateway is restarted, and takes callers as soon as it is ready")
def step_restart_second(context):
    """Stop it as planned, start it, and wait for its readiness page."""
    running, item = context.gateway, context.gateway.gateways[context.names[1]]
    item.popen.send_signal(signal.SIGTERM)
    item.popen.wait(15.0)
    item.start()

    def is_ready():
        request = fleet.exchange(
            (item.host, item.ready_port), "GET", "/readyz", [("Host", "x")], b""
        )
        return running.thread.run(request).status == 200

    running.wait(is_ready, "the restarted gateway is ready")


@when("a chat of each session that the first stage covers is sent to the second gateway")
def step_covered_chats(context):
    """Send them at once."""
    send_chats(context, context.names[1], find_covered(context.sessions))


def find_covered(count):
    """Return the numbers of the sessions that the first stage's share covers."""
    found = []
    for number in range(count):
        session = activesessions.make_session(SERVICE, f"session-{number}")
        position = positions.find_position(SERVICE, NEW_VERSION, session.digest.hex())
        if position < rollouts.STAGE_SHARES[0]:
            found.append(number)
    assert len(found) > 5, found
    return found


@then("the trace of each covered one says that another gateway told of its session")
def step_trace(context):
    """Trace the chats of the sessions that the first stage's share covers."""
    covered = find_covered(context.sessions)
    name = context.names[1]
    lines = context.gateway.gateways[name].log().splitlines()
    texts = [tracing.explain(tracing.trace(lines, f"{name}-{number}")) for number in covered]
    assert texts
    assert all("as another gateway told for" in text for text in texts), texts
