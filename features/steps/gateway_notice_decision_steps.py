"""Steps on the use of what engines say of themselves, without a process or a network.

Load pattern: engines leave or ask for a pause while others of their service serve; at times there
are no others.
"""

import asyncio
import random
import types

from behave import then
from support.gateway_data import make_criteria, make_engine, make_states

from berylrock.daemons.gateway import attempt, pool
from berylrock.ops import enginelimits, engineset, loadview, notices, selection, timeouts
from berylrock.platform import translating

SERVICE, VERSION = "models", "v1"


def choose(states, now=100.0):
    """Return the id of the chosen engine; None if there is none."""
    state = selection.choose(states, make_criteria(now=now), random.Random(1))
    return None if state is None else state.engine.id


def make_set(*names, **more):
    """Return a set of engines."""
    engines = engineset.EngineSet()
    for name in names:
        engines.put(make_engine(name, **more), 0.0)
    return engines


def usable(engines):
    """Return the ids of the engines that may be offered for a request."""
    return {item.engine.id for item in engines.group(SERVICE, VERSION).states}


@then("an engine that leaves is not used, also if its record says ready or it is the only one")
def step_leaving(context):
    """Check two engines and then one, and a record that is written again."""
    engines = make_set("e1", "e2")
    assert engines.record_leaving(engines.find("e1"))
    assert not engines.record_leaving(engines.find("e1"))
    engines.put(make_engine("e1", revision=2), 1.0)
    assert usable(engines) == {"e2"}
    engines.record_leaving(engines.find("e2"))
    assert not usable(engines)
    states = make_states(1)
    states[0].notices.leaving = True
    assert choose(states) is None


@then("it is gone once its record is removed, also around an outage of the store")
def step_leaving_removed(context):
    """Check that it is not kept like an engine whose record lapsed."""
    engines = make_set("e1", "e2")
    engines.gaps.record_failure(1.0)
    engines.record_leaving(engines.find("e1"))
    assert engines.remove("e1", 2.0).what == "removed"
    assert engines.remove("e2", 2.0).what == "lapsed"


@then("it stays out of use if its record returns without a restart")
def step_leaving_returned(context):
    """Check a record that lapses as the store is away, and one that an old list brings back."""
    engines = make_set("e1", "e2", started_ms=1000)
    engines.record_leaving(engines.find("e1"))
    engines.remove("e1", 2.0)
    engines.put(make_engine("e1", revision=3, started_ms=1000), 5.0)
    assert usable(engines) == {"e2"}
    engines.replace((make_engine("e2", started_ms=1000),), 6.0)
    engines.replace((make_engine("e1", started_ms=1000),), 7.0)
    assert not usable(engines)
    engines.remove("e1", 8.0)
    engines.put(make_engine("e1", revision=9, started_ms=9000), 9.0)
    assert usable(engines) == {"e1"}
    engines.find("e1").pause(5.0, 10.0)
    engines.remove("e1", 11.0)
    engines.put(make_engine("e1", revision=11, started_ms=9000), 12.0)
    assert engines.find("e1").notices.obstacle(14.0) == "engine asked for a pause"
    answering = engines.find("e1")
    engines.remove("e1", 15.0)
    engines.record_leaving(answering)
    engines.put(make_engine("e1", revision=12, started_ms=9000), 20.0)
    assert not usable(engines)


@then("a new engine at its address is used, and so is the engine once it has started again")
def step_leaving_restarted(context):
    """Check another id at the address, and the same id with a later start."""
    engines = make_set("e1", started_ms=1000)
    engines.record_leaving(engines.find("e1"))
    engines.put(make_engine("e2", started_ms=2000), 1.0)
    assert usable(engines) == {"e2"}
    engines.put(make_engine("e1", revision=2, started_ms=3000), 2.0)
    assert usable(engines) == {"e1", "e2"}


@then("an engine that another gateway reports as leaving is used only if there is no other")
def step_hint(context):
    """Check two engines and then one; the report expires."""
    states = make_states(2)
    states[0].notices.record_hint(99.0)
    assert {choose(states) for _ in range(20)} == {"e1"}
    assert choose(states[:1]) == "e0"
    assert not states[0].notices.is_avoided(110.0)


@then("a Retry-After of {text} is a pause of {seconds:g} s")
def step_accepted(context, text, seconds):
    """Check the value as the adapter reads it, and what is kept of it."""
    pause_s = notices.accept_pause(read_retry_after(text))
    assert pause_s == seconds, pause_s


def read_retry_after(text):
    """Return the number of seconds in a refusal's header; None if there is none."""
    head = translating.read_response_head(503, [(b"Retry-After", text.encode())])
    return head.retry_after_s


@then("an engine that wants a pause gets nothing, also as the only one or after other answers")
def step_paused(context):
    """Check one engine until the end of its pause; a shorter pause does not end a longer one."""
    states = make_states(1)
    states[0].pause(3.0, 100.0)
    states[0].pause(1.0, 100.1)
    states[0].health.record_response(0.1)
    assert choose(states, 102.9) is None
    assert choose(states, 103.0) == "e0"


@then("it gets no more than a cold one in the first second after that")
def step_ramp(context):
    """Check the limit by which a cold engine is sent to."""
    states = make_states(1)
    states[0].pause(3.0, 100.0)
    assert states[0].cold_until == 104.0


@then("requests wait for the first pause that ends in time, and are refused if none does")
def step_wait_for_pause(context):
    """Check the first end, an engine without a pause, and the time that an answer takes."""
    states = make_states(2)
    states[0].pause(3.0, 100.0)
    shares = enginelimits.UNSHARED
    assert notices.find_obstacle(states, shares, 100.0) is None
    states[1].pause(5.0, 100.0)
    assert notices.find_obstacle(states, shares, 100.0) == notices.Obstacle(103.0, True)
    states[0].notices.leaving = True
    assert notices.find_obstacle(states, shares, 100.0) == notices.Obstacle(105.0, True)
    assert notices.find_obstacle([], shares, 100.0) is None
    assert timeouts.wait_for_pause(103.0, 0.1, 0.5, 104.0) == 103.1
    assert timeouts.wait_for_pause(103.0, 0.1, 1.5, 104.0) < 100.0


@then("a request that waits for a connection to an engine is not sent once the engine leaves")
def step_waiting(context):
    """Let the engine say so to another request while a connection is opened."""
    state = make_states(1)[0]

    class SlowPool(pool.ConnectionPool):
        async def acquire(self, engine, request_id, run_once, timeout_s=0.0):
            state.notices.leaving = True
            return object()

        def release(self, engine, conn, closes):
            context.kept = conn

    assert asyncio.run(start_attempt(state, SlowPool())) == attempt.Failure(
        False, "engine is leaving", arrived=False, paused=True
    )
    assert context.kept is not None
    assert state.running == 0


async def start_attempt(state, conns):
    """Start an attempt of a request with the parts of a gateway that it uses before it sends."""
    meter = types.SimpleNamespace(count=lambda name: None)
    ctx = types.SimpleNamespace(table=None, load_view=loadview.LoadView(), meter=meter)
    head = types.SimpleNamespace(id="a", parts=(), prompt_tokens=0, model="")
    route = types.SimpleNamespace(kind="idempotent", resumable=False)
    req = types.SimpleNamespace(service=SERVICE, head=head, route=route)
    current = attempt.Attempt(ctx, conns, req, state, "", lambda: False)
    return await current.start(None, None)
