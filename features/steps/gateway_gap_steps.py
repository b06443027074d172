"""Steps on engines whose records are missing after the store was not heard."""

import random
import time

from behave import given, then, when
from support import gateway_data
from support.platform import fleet, gatewayprocess, proxy

from berylrock.ops import engineset, storegaps

HEARD_EVERY_S, FAILED_EVERY_S = 0.5, 1.5
CUT_BEGAN_S = 10.0
CONTACT_S, DRAIN_S = 3.0, 2.0
READ_EVERY_S = 0.03


def make_set(count):
    """Return a set of engines that was heard of until the cut begins."""
    engines = engineset.EngineSet()
    for number in range(count):
        engines.put(gateway_data.make_engine(f"e{number}"), 0.0)
    engines.gaps.record_answer(0.0)
    pass_time(engines, 0.0, CUT_BEGAN_S, HEARD_EVERY_S)
    return engines


def pass_time(engines, began, ended, heard_every_s=None):
    """Let time pass; others hear the store in this interval, or nobody does."""
    at = began
    while heard_every_s and at <= ended:
        engines.gaps.record_heard(at)
        at += heard_every_s


def fail_calls(engines, began, ended):
    """Let this gateway's own calls fail for a time."""
    at = began
    while at < ended:
        engines.gaps.record_failure(at)
        at += FAILED_EVERY_S


def usable(context):
    """Return the number of engines in use."""
    return len(context.engines.group("models", "v1").states)


@given(
    "{count:d} engines, and a gateway that is cut off for {seconds:g} s while others hear the store"
)
def step_cut_alone(context, count, seconds):
    """Let only its own calls fail."""
    context.engines, context.count = make_set(count), count
    context.now = CUT_BEGAN_S + seconds
    fail_calls(context.engines, CUT_BEGAN_S, context.now)
    pass_time(context.engines, CUT_BEGAN_S, context.now, HEARD_EVERY_S)


@given("{count:d} engines, and no gateway that hears the store for {seconds:g} s")
def step_cut_all(context, count, seconds):
    """Let all calls fail."""
    context.engines, context.count = make_set(count), count
    context.now = CUT_BEGAN_S + seconds
    fail_calls(context.engines, CUT_BEGAN_S, context.now)


def apply_list(context, missing, rewritten=0):
    """Answer the gateway with a list that lacks some engines and has some records written anew."""
    context.engines.gaps.record_answer(context.now)
    names = [f"e{number}" for number in range(missing, context.count)]
    records = [
        gateway_data.make_engine(name, revision=9 if number < rewritten else 1)
        for number, name in enumerate(names)
    ]
    context.engines.replace(tuple(records), context.now)


@when("its next list has all but {missing:d} of the engines")
def step_list(context, missing):
    """Apply the list."""
    apply_list(context, missing)


@when("its next list has all but {missing:d} of the engines, and {count:d} were written again")
def step_list_rewritten(context, missing, count):
    """Apply the list."""
    apply_list(context, missing, count)


@when("calls that were sent before fail for another {seconds:g} s")
def step_late_failures(context, seconds):
    """Let other calls be answered meanwhile."""
    fail_calls(context.engines, context.now, context.now + seconds)
    pass_time(context.engines, context.now, context.now + seconds, HEARD_EVERY_S)
    context.now += seconds


@when("the record of {count:d} engine is removed")
def step_removed(context, count):
    """Apply the change."""
    context.engines.remove_all([f"e{number}" for number in range(count)], context.now)


@then("{count:d} of them are out of use at once")
@then("{count:d} of them is out of use at once")
def step_out_of_use(context, count):
    """Check what may get requests."""
    assert usable(context) == context.count - count, usable(context)


@then("they are in use until they have had {first:g} s, and out of use after {last:g} s")
def step_kept(context, first, last):
    """Check the time for which missing engines are kept."""
    before = usable(context)
    failed_at = context.engines.gaps._failed_at
    kept_s = min(first, failed_at + storegaps.FAILURE_GRACE_S - context.now) - 0.1
    context.engines.expire(context.now + max(kept_s, storegaps.MIN_GRACE_S - 0.1))
    assert usable(context) == before == context.count
    context.engines.expire(context.now + last)
    assert usable(context) < before


@then("it ends within {last:g} s of the return, and not before {first:g} s after it is heard")
def step_grace_bounds(context, last, first):
    """Check outages of random lengths, with calls that fail until the store is back.

    A call fails 0.7 s after it was sent, if the store was away then, and the next one follows up to
    1.2 s later.
    """
    rng = random.Random(5)
    for _ in range(2000):
        gaps = storegaps.StoreGaps()
        gaps.record_answer(0.0)
        returned_at, sent_at = 2.0 + 8.0 * rng.random(), 0.1
        while sent_at < returned_at:
            gaps.record_failure(sent_at + 0.7)
            sent_at += 0.7 + rng.uniform(0.4, 1.2)
        gap = gaps.record_answer(sent_at)
        assert gap.grace_until <= returned_at + last, (gap, returned_at)
        assert gap.grace_until >= sent_at + first, (gap, sent_at)


@given("a gateway that reaches the store through a path that can be cut")
def step_path(context):
    """Start a gateway whose store is a proxy."""
    running = context.gateway = fleet.GatewayFleet(context.root, plain=4)
    context.cleanups.append(running.stop)
    context.path = proxy.Path(running.store.port)
    running.thread.run(context.path.start())
    running.entry = gatewayprocess.GatewayProcess(
        running.root, "entry-1", running.host, context.path.port, 5000, 4
    )
    running.port, running.ready_port = running.entry.port, running.entry.ready_port
    running.start()


def send_reads(context, until):
    """Send reads one after the other."""
    while time.monotonic() < until:
        context.gateway.send()
        time.sleep(READ_EVERY_S)


@when("its path is cut for {seconds:g} s, and an engine leaves {after:g} s after its end")
def step_leaves_after(context, seconds, after):
    """Remove the engine's record once the path is whole."""
    play_cut(context, seconds, after)


@when("its path is cut for {seconds:g} s, and an engine leaves {before:g} s before its end")
def step_leaves_before(context, seconds, before):
    """Remove the engine's record while the path is cut."""
    play_cut(context, seconds, -before)


def play_cut(context, seconds, leaves_s):
    """Cut the path while reads are sent; the engine leaves this long after the cut's end."""
    running, begun = context.gateway, time.monotonic()
    send_reads(context, begun + 2.0)
    context.path.cut()
    ends_at = time.monotonic() + seconds
    send_reads(context, ends_at + min(0.0, leaves_s))
    if leaves_s < 0.0:
        running.thread.run(running.store.remove("servers", "plain-0"))
        context.left_at = time.monotonic()
        send_reads(context, ends_at)
    context.path.heal()
    context.healed_at = time.monotonic()
    if leaves_s >= 0.0:
        send_reads(context, context.healed_at + leaves_s)
        running.thread.run(running.store.remove("servers", "plain-0"))
        context.left_at = time.monotonic()
    send_reads(context, context.healed_at + CONTACT_S + DRAIN_S)


@then(
    "that engine gets no request {cut_s:g} s after the cut and {left_s:g} s after it left, or later"
)
def step_none_late(context, cut_s, left_s):
    """Check the times of its runs."""
    bound = max(context.healed_at + cut_s, context.left_at + left_s)
    item = context.gateway.engines["plain-0"]
    late = [run.started_at - context.healed_at for run in item.runs if run.started_at > bound]
    assert not late, (late, context.gateway.log()[-3000:])
