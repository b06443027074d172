"""Steps on even load of engines from news that is a little old."""

import contextlib
import random

import hypothesis
from behave import given, then
from hypothesis import strategies
from support import choicesim, gateway_data

from berylrock.ops import evidence, loadreport, rollouts, selection

SEEDS = (1, 2, 3)
ALL = 1_000_000


@contextlib.contextmanager
def compared(count):
    """Let gateways compare so many engines for a request."""
    before = selection.COMPARED
    selection.COMPARED = count
    try:
        yield
    finally:
        selection.COMPARED = before


def mean(items):
    """Return the mean of some numbers."""
    return sum(items) / len(items)


@given("{gateways:d} gateways, {engines:d} engines, and reports every {age:g} s")
def step_play(context, gateways, engines, age):
    """Play the same arrivals with the gateways' choice, and with one among all engines."""
    context.found = [choicesim.play(gateways, engines, age, seed) for seed in SEEDS]
    with compared(ALL):
        context.others = [choicesim.play(gateways, engines, age, seed) for seed in SEEDS]


@then("prompts wait at most {factor:g} times as long as when gateways compare all engines")
def step_mean(context, factor):
    """Compare the means."""
    found = mean([item.mean_s for item in context.found])
    others = mean([item.mean_s for item in context.others])
    assert found <= factor * others, (found, others)


@then("prompts wait at most {seconds:g} s on average, a fiftieth of a target of 1 s")
def step_fresh(context, seconds):
    """Check the mean."""
    found = mean([item.mean_s for item in context.found])
    assert found <= seconds, found


@then("one in a hundred waits at most {factor:g} times as long as then")
def step_late(context, factor):
    """Compare the 99th percentiles."""
    found = mean([item.p99_s for item in context.found])
    others = mean([item.p99_s for item in context.others])
    assert found <= factor * others, (found, others)


@then("the engine that keeps the part is compared for each request, whichever others are")
def step_affinity(context):
    """Choose among equal engines with many seeds."""
    states = gateway_data.make_states(24)
    for part in range(20):
        criteria = gateway_data.make_criteria(f"p{part}")
        chosen = {
            selection.choose(states, criteria, random.Random(seed)).engine.id for seed in range(40)
        }
        assert len(chosen) == 1, chosen


@then("a request leaves it once it is busier by more than the part saves")
def step_leaves(context):
    """Add work to the engine that keeps a part."""
    states = gateway_data.make_states(24)
    criteria = gateway_data.make_criteria("p", shared=12_000.0)
    keeper = selection.choose(states, criteria, random.Random(1))
    keeper.work = 11_000.0
    assert selection.choose(states, criteria, random.Random(2)) is keeper
    keeper.work = 13_000.0
    assert selection.choose(states, criteria, random.Random(3)) is not keeper


@then("the one that is left is chosen each time")
def step_one_left(context):
    """Leave one engine of 24 that may get the request."""
    states = gateway_data.make_states(24)
    tried = frozenset(item.engine.id for item in states[:12])
    for item in states[12:23]:
        item.notices.record_pause(5.0, 100.0)
    criteria = gateway_data.make_criteria("p", tried=tried)
    for seed in range(50):
        assert selection.choose(states, criteria, random.Random(seed)) is states[23]


LOADS = strategies.lists(
    strategies.builds(
        loadreport.EngineLoad,
        key=strategies.integers(0, 2**24 - 1),
        running=strategies.integers(0, 255),
        work=strategies.floats(0.0, 4_000_000.0),
        heard_at=strategies.floats(96.0, 100.0),
    ),
    max_size=40,
)


@then("any loads are read as they were written, but for rounding, those with the most work first")
def step_packed(context):
    """Compare them one by one."""

    @gateway_data.property_settings
    @hypothesis.given(LOADS)
    def check(loads):
        found = loadreport.unpack(loadreport.pack(loads, 100.0), 100.0)
        ordered = sorted(loads, key=lambda load: (-load.work, -load.running))
        for one, other in zip(found, ordered, strict=True):
            assert (one.key, one.running) == (other.key, other.running)
            assert 0.0 <= other.work - one.work < 64.0
            assert abs(other.heard_at - one.heard_at) <= 0.017

    check()


@then("{engines:d} engines take at most {size:d} bytes, and a report that was cut is refused")
def step_size(context, engines, size):
    """Pack them, and cut a byte off."""
    loads = [loadreport.EngineLoad(number, 3, 9000.0, 99.0) for number in range(engines)]
    data = loadreport.pack(loads, 100.0)
    assert len(data) <= size, len(data)
    try:
        loadreport.unpack(data[:-1], 100.0)
    except ValueError:
        return
    raise AssertionError("it was read")


@then("of {engines:d} engines at most {most:d} share their key with another one")
def step_keys(context, engines, most):
    """Count the keys of many ids."""
    keys = {loadreport.engine_key(f"i-{number:010x}") for number in range(engines)}
    assert engines - len(keys) <= most // 2, engines - len(keys)


def count_sent(rounds):
    """Return in how many messages a result is sent after a change, of 12 messages."""
    key = evidence.ResultKey("models", "v2", "chat")
    changed = evidence.ChangedResults()
    changed.update({}, rounds)
    result = {key: rollouts.Evidence(answers=1)}
    return [key in changed.update(result, rounds) for _ in range(12)]


@then("a result is sent in the {count:d} messages after each change, and at no other time")
def step_changed(context, count):
    """Change it once."""
    assert count_sent(2) == [True] * count + [False] * (12 - count), count_sent(2)


@then("in a fleet of which each message reaches half, it is sent in {count:d}")
def step_changed_large(context, count):
    """Change it once in a fleet with twice as many gateways as a message reaches."""
    assert sum(count_sent(2 * 2)) == count
