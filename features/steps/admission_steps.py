"""Steps about admission alone, without processes."""

import asyncio
import time

from behave import then, when

from berylrock.core import data, message
from berylrock.ops import admission, strikes, warmup

WAIT_SECONDS = 0.05


def make_start(name):
    """A request that may wait for long."""
    return message.Start(attempt=name, tokens=10, timeout_ms=60_000)


@when("room comes up in the same turn of the event loop in which a wait runs out")
def step_same_turn(context):
    """Block the loop until both timers are due, the one that makes room first."""
    pool = data.Pool("pool", "engine", cold_limit=1)
    gate = admission.Admission(warmup.WarmupTracker(pool), strikes.StrikeTable(), 10)
    gate.capacity_tokens = 1000
    context.gate = gate

    async def run():
        loop = asyncio.get_running_loop()
        gate.max_wait_seconds = WAIT_SECONDS
        await gate.acquire(make_start("first"))
        waiting = asyncio.ensure_future(gate.acquire(make_start("second")))
        await asyncio.sleep(0)
        loop.call_later(WAIT_SECONDS * 0.9, gate.release, "first")
        time.sleep(WAIT_SECONDS * 2)
        try:
            await waiting
            return True
        except admission.Refusal:
            return False

    context.admitted = asyncio.run(run())


@then("the server holds what it says it holds")
def step_holds(context):
    """A request that was refused is not held, one that was admitted is."""
    held = "second" in context.gate.running
    assert held == context.admitted, (held, context.admitted)
