"""Steps on the admission of requests at a sidecar, without a process or a network."""

import asyncio
import time

from behave import then, when

from berylrock.core import data, message
from berylrock.ops import admission, strikes, warmup

WAIT_SECONDS = 0.05


def make_start(name):
    """Return a request with a long timeout."""
    return message.Start(attempt=name, tokens=10, timeout_ms=60_000)


@when("capacity becomes free in the same event loop iteration in which a wait times out")
def step_release_at_timeout(context):
    """Block the loop until both timers are due, and let the one that frees capacity run first."""
    pool = data.Pool("pool", "engine", cold_limit=1)
    server = admission.Admission(warmup.WarmupTracker(pool), strikes.StrikeTable(), 10)
    server.capacity_tokens = 1000
    context.server = server

    async def run():
        loop = asyncio.get_running_loop()
        server.max_wait_seconds = WAIT_SECONDS
        await server.acquire(make_start("first"))
        waiting = asyncio.ensure_future(server.acquire(make_start("second")))
        await asyncio.sleep(0)
        loop.call_later(WAIT_SECONDS * 0.9, server.release, "first")
        time.sleep(WAIT_SECONDS * 2)
        try:
            await waiting
            return True
        except admission.Refusal:
            return False

    context.admitted = asyncio.run(run())


@then("the server holds the request only if it was admitted")
def step_held_if_admitted(context):
    """Check that a refused request holds no capacity and an admitted one does."""
    held = "second" in context.server.running
    assert held == context.admitted, (held, context.admitted)
