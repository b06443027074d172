"""Steps on sessions whose requests come to several gateways."""

import asyncio

from behave import then, when
from support.platform import fleet

SERVICE, NEW_VERSION = "models", "v2"
DISTANT_S = 600
# Chats that are under way at a time, which the engines have room for.
CHATS_AT_ONCE = 10


def send_chats(context, name, count):
    """Send a chat of each session to a gateway; each has to be answered."""
    item = context.gateway.gateways[name]
    room = asyncio.Semaphore(CHATS_AT_ONCE)

    async def send(number):
        lines = [
            ("Host", fleet.HOST),
            ("X-Api-Key", fleet.KEY),
            ("X-Berylrock-Attempt-Id", f"{name}-{number}"),
            *fleet.CHAT_HEADERS,
            ("Session", f"session-{number}"),
        ]
        async with room:
            return await fleet.exchange((item.host, item.port), "GET", "/chat/a", lines, b"")

    async def run():
        return await asyncio.gather(*map(send, range(count)))

    results = context.gateway.thread.run(run())
    assert {result.status for result in results} == {200}, results[:3]


@when("a chat of each of {count:d} sessions is sent to the first gateway")
def step_first_chats(context, count):
    """Let the sessions begin there."""
    context.sessions = count
    send_chats(context, context.names[0], count)


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
    send_chats(context, context.names[1], context.sessions)


@then("at most {most:d} of these chats run on the new version")
def step_pinned(context, most):
    """Check how many sessions have changed their version."""
    count = len(context.gateway.runs(f"{SERVICE}-{NEW_VERSION}"))
    assert count <= most, f"{count} of {context.sessions} sessions have changed their version"
