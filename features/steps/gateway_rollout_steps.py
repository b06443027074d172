"""Steps on who writes a rollout's next stage and on its age, without a process or a network."""

import random

from behave import then

from berylrock.core import routing
from berylrock.ops import rolloutclock, turns

GATEWAYS = [f"entry-{zone}-{number}" for zone in "abcdef" for number in range(62)][:370]
SUBJECT = "models\0v2\0running\0"
START_MS = 1_000_000_000_000.0


def first_write_s(left, subject=SUBJECT):
    """Return when the first write is made if only some gateways are left; all are still heard."""
    return min(turns.delay_s(name, set(GATEWAYS) - {name}, subject) for name in left)


@then("of 370 gateways one writes first, and another write has another order")
def step_one_first(context):
    """Check that exactly one gateway has no delay, and that it is not the same for each stage."""
    firsts = []
    for stage in range(8):
        subject = f"{SUBJECT}{stage}"
        delays = {name: turns.delay_s(name, set(GATEWAYS) - {name}, subject) for name in GATEWAYS}
        firsts += [name for name, delay in delays.items() if delay == 0.0]
        assert len(firsts) == stage + 1, firsts
    assert len(set(firsts)) > 4, firsts


@then(
    "with one in three gateways left a write is late by less than {bound:g} s, whichever are left"
)
def step_third_left(context, bound):
    """Check random thirds, and each third of the names in order, such as two lost zones."""
    rng = random.Random(3)
    chosen = [rng.sample(GATEWAYS, 123) for _ in range(20)]
    chosen += [GATEWAYS[:123], GATEWAYS[123:246], GATEWAYS[246:]]
    found = [first_write_s(left) for left in chosen]
    assert max(found) < bound, found


@then("with 369 of 370 gateways away a write is late by less than {bound:g} s")
def step_one_left(context, bound):
    """Check each gateway as the only one that is left."""
    assert max(first_write_s([name]) for name in GATEWAYS) < bound


def make_rollout(state="running", revision=7, began_ms=int(START_MS)):
    """Return a rollout of 24 s that began at ``START_MS``."""
    return routing.Rollout("models", "v2", 24.0, state, 1, revision, began_ms)


@then("a restarted gateway counts the time of a running rollout from its start")
def step_restarted(context):
    """See a running rollout 10 s after its start, on a clock that was just started."""
    clock = rolloutclock.RolloutClock(make_rollout(), 3.0, START_MS + 10_000)
    assert abs(clock.age_s(5.0) - (12.0 - rolloutclock.CLOCK_SKEW_S)) < 1e-6, clock.age_s(5.0)
    assert clock.stage_s(5.0) == 2.0
    fresh = rolloutclock.RolloutClock(make_rollout("new", began_ms=0), 3.0, START_MS + 10_000)
    assert fresh.age_s(5.0) == 2.0


@then("it decides nothing from that time before it could hear the others")
def step_hears_first(context):
    """Check that the age begins at zero for a moment."""
    clock = rolloutclock.RolloutClock(make_rollout(), 3.0, START_MS + 10_000)
    assert clock.age_s(3.5) == 0.5


@then("a start that makes no sense is bounded by the order's duration")
def step_senseless_start(context):
    """Check starts in the future, long ago and below zero."""
    for began_ms, expected in ((int(START_MS) + 60_000, 2.0), (1, 26.0), (-5, 2.0)):
        clock = rolloutclock.RolloutClock(make_rollout(began_ms=began_ms), 3.0, START_MS)
        assert abs(clock.age_s(5.0) - expected) < 1e-6, (began_ms, clock.age_s(5.0))


@then("a second order for the same version starts from zero")
def step_second_order(context):
    """Check that the clock of the first order is not used for it."""
    clock = rolloutclock.RolloutClock(make_rollout("new", 3, 0), 0.0, START_MS)
    clock.observe(make_rollout(revision=4), 0.2)
    assert clock.is_for(make_rollout(revision=5))
    assert clock.is_for(make_rollout("new", 3, 0)), "an event that arrives late"
    assert not clock.is_for(make_rollout("new", 9, 0))
