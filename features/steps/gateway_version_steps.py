"""Steps on roll-outs, cascades and patience: no process, no network."""

import random

from behave import given, then
from support.gateway_data import make_engine, make_route

from berylrock.core import routing
from berylrock.ops import baselines, rollouts, routecascade, timeouts

CANARY_SHARE, CANARY_MARGIN = 0.15, 30


def play_rollout(results, seconds=24.0, per_s=30.0, canary_share=CANARY_SHARE):
    """Play a roll-out; ``results(share, age, n)`` tells whether an answer fails or is slow."""
    rollout = routing.Rollout("models", "v2", seconds, "running", 0, 1)
    trial, usual, stage_at, number, bad = rollouts.Evidence(), rollouts.Evidence(), 0.0, 0, 0
    rng = random.Random(5)
    for step in range(int(seconds * 10)):
        age = step / 10
        share = rollouts.STAGE_SHARES[rollout.stage]
        for _ in range(int(per_s / 10)):
            number += 1
            on_trial = rng.random() < share
            failed, slow = results(on_trial, share, age, number)
            result = rollouts.Evidence(1, failed, slow, 1)
            if on_trial:
                trial, bad = trial.plus(result), bad + failed + slow
            else:
                usual = usual.plus(rollouts.Evidence(1, failed, slow, 1))
        verdict = rollouts.decide(rollout, trial, usual, age, age - stage_at, canary_share)
        if verdict is not None:
            if verdict.stage != rollout.stage:
                stage_at = age
            rollout = rollout._replace(state=verdict.state, stage=verdict.stage)
        if rollout.state in ("reverted", "completed"):
            return rollout.state, bad, age
    return rollout.state, bad, seconds


BAD = {
    "at once": lambda trial, share, age, n: (int(trial and n % 2 == 0), 0),
    "by being slow": lambda trial, share, age, n: (0, int(trial and n % 2 == 0)),
    "on one route": lambda trial, share, age, n: (int(trial and n % 9 == 0), 0),
    "only under load": lambda trial, share, age, n: (int(trial and share > 0.3 and n % 2 == 0), 0),
    "after a while": lambda trial, share, age, n: (int(trial and age > 14 and n % 2 == 0), 0),
}


@given("a roll-out whose new version is bad {how}")
def step_bad(context, how):
    """Play it."""
    context.state, context.bad, context.age = play_rollout(BAD[how])


@then("it is taken back before {most:d} of its bad answers were seen")
def step_reverted(context, most):
    """In time for the bound of 50."""
    assert context.state == "reverted" and context.bad < most, (context.state, context.bad)


@given("a roll-out of a version 8 times slower while 1 in 12 answers of all versions is slow")
def step_slow_in_burst(context):
    """Two in five answers of the new version are slow, and one in twelve of the old one."""

    def results(trial, share, age, number):
        return 0, int(number % 5 < 2 if trial else number % 12 == 0)

    context.state, context.bad, context.age = play_rollout(results)


@given(
    "a roll-out with {new:d} in {new_of:d} slow answers of the new version"
    " and {old:d} in {old_of:d} of the old one"
)
def step_often_slow(context, new, new_of, old, old_of):
    """Load makes every version slow."""

    def results(trial, share, age, number):
        return 0, int(number % new_of < new if trial else number % old_of < old)

    context.state, context.bad, context.age = play_rollout(results)


@then("a share of the sessions goes to the same share of the engines on trial")
def step_trial_engines(context):
    """At least one engine, and more as the share grows."""
    ids = [f"e{n}" for n in range(10)]
    sizes, kept = [], frozenset()
    for share in rollouts.STAGE_SHARES:
        found = rollouts.trial_engines(ids, rollouts.Plan("v1", "v2", share, frozenset()))
        assert kept <= found
        kept = found
        sizes.append(len(found))
    assert sizes == [1, 2, 10], sizes


@given("a roll-out of {seconds:g} s whose version may get {share:g} of the requests")
def step_hidden(context, seconds, share):
    """No answer is bad; requests are counted as they would be until the deadline."""
    counts = [0, 0]

    def results(trial, stage_share, age, number):
        counts[trial] += 1
        return 0, 0

    context.state, _, context.age = play_rollout(results, seconds, 50.0, share)
    rest = int((seconds - context.age) * 50.0)
    context.exposed = counts[True] + rest
    context.allowed = share * (sum(counts) + rest) + CANARY_MARGIN


@then("it is completed, and until its deadline it got fewer requests than it may")
def step_within_share(context):
    """Whatever is wrong with it."""
    assert context.state == "completed", context.state
    assert context.exposed < 0.95 * context.allowed, (context.exposed, context.allowed)


@given("a roll-out whose new version is good while 1 in 20 answers of all versions fails")
def step_good(context):
    """Play it beside failing engines."""
    context.state, context.bad, context.age = play_rollout(lambda t, s, a, n: (int(n % 20 == 0), 0))


@then("it completes before its time is over")
def step_completed(context):
    """Done in time."""
    assert context.state == "completed" and context.age < 24.0, (context.state, context.age)


@then("a session that is under way keeps its version in the first stages")
def step_keeps(context):
    """On either version."""
    for share in rollouts.STAGE_SHARES[:-1]:
        plan = rollouts.Plan("v1", "v2", share, frozenset())
        for number in range(200):
            for kept in ("v1", "v2"):
                assert rollouts.choose_version(plan, "models", f"s{number}", kept) == kept


@then("every gateway finds the same version for a new session")
def step_pure(context):
    """Nothing but session and stage decides."""
    plan = rollouts.Plan("v1", "v2", 0.5, frozenset())
    first = [rollouts.choose_version(plan, "models", f"s{n}", None) for n in range(100)]
    assert first == [rollouts.choose_version(plan, "models", f"s{n}", None) for n in range(100)]
    assert 30 < first.count("v2") < 70


@then("shares only grow from stage to stage")
def step_grow(context):
    """Who is on the new version stays there."""
    moved = set()
    for share in rollouts.STAGE_SHARES:
        plan = rollouts.Plan("v1", "v2", share, frozenset())
        now = {n for n in range(500) if rollouts.choose_version(plan, "m", f"s{n}", None) == "v2"}
        assert moved <= now
        moved = now
    assert len(moved) == 500


@then("engines of a version that was taken back or is not ordered get nothing")
def step_forbidden(context):
    """By plan, for each state."""
    engines = [make_engine("a"), make_engine("b"), make_engine("c", version="v2", revision=9)]
    rollout = routing.Rollout("models", "v2", 24.0, "reverted", 1, 1)
    for plan in (
        rollouts.make_plan(rollout, engines, False),
        rollouts.make_plan(rollout._replace(state="running"), engines, True),
        rollouts.make_plan(None, engines, False),
    ):
        chosen = {rollouts.choose_version(plan, "models", f"s{n}", None) for n in range(100)}
        assert chosen == {"v1"}
    done = rollouts.make_plan(rollout._replace(state="completed"), engines, False)
    assert rollouts.choose_version(done, "models", "s", "v1") == "v2"


@then("a trusted answer is passed on and an unsure one is not")
def step_trust(context):
    """By the small model's confidence."""
    step = routecascade.first_step(make_route(), 3)
    assert step == routecascade.Step("small", False)
    assert routecascade.accepts(step, 95, 0.1, 1.0, 2)
    assert not routecascade.accepts(step, 10, 0.1, 1.0, 2)
    assert routecascade.accepts(routecascade.next_step(make_route()), 10, 0.1, 1.0, 1)


@then("an unsure answer is passed on when there is no time for another")
def step_no_time(context):
    """Late in the objective, or with no attempt left."""
    step = routecascade.first_step(make_route(), 3)
    assert routecascade.accepts(step, 10, 0.9, 1.0, 2)
    assert routecascade.accepts(step, 10, 0.1, 1.0, 0)


@then("a request that only one engine may run goes to the largest model")
def step_single(context):
    """No second step would be possible."""
    assert routecascade.first_step(make_route(), 1) == routecascade.Step("large", True)
    assert routecascade.first_step(make_route(models=()), 3) == routecascade.Step("", True)


@then("an engine that is silent on all connections is left early")
def step_dead(context):
    """Nothing came since the wait began."""
    wait = timeouts.response_start_timeouts(2.0)
    assert not timeouts.should_abandon(10.5, 10.0, 9.0, wait)
    assert timeouts.should_abandon(10.01 + wait.dead_s, 10.0, 9.0, wait)


@then("an engine that goes on with other answers is left only late")
def step_alive(context):
    """Something came a moment ago."""
    wait = timeouts.response_start_timeouts(2.0)
    assert not timeouts.should_abandon(10.0 + wait.dead_s, 10.0, 10.0 + wait.dead_s - 0.1, wait)
    assert timeouts.should_abandon(10.01 + wait.slow_s, 10.0, 10.0 + wait.slow_s, wait)


@then("answers of 8 times the usual length are slow and those of twice are not")
def step_norms(context):
    """First parts and gaps between events."""
    found = baselines.LatencyBaselines()
    for _ in range(20):
        found.record("r", "m", baselines.Timing(0.2, 0.02))
    assert found.is_slow("r", "m", baselines.Timing(1.6, 0.02))
    assert found.is_slow("r", "m", baselines.Timing(0.2, 0.16))
    assert found.is_slow("r", "m", baselines.Timing(0.2, 0.05))
    assert not found.is_slow("r", "m", baselines.Timing(0.4, 0.04))
    assert not found.is_slow("other", "m", baselines.Timing(9.0, 9.0))


@then("nothing is slow before there are enough answers to know")
def step_few(context):
    """Two answers are no norm."""
    found = baselines.LatencyBaselines()
    found.record("r", "m", baselines.Timing(0.2, 0.02))
    found.record("r", "m", baselines.Timing(0.2, 0.02))
    assert not found.is_slow("r", "m", baselines.Timing(9.0, 9.0))


LOADED = rollouts.Evidence(1000, 10, 250, 700, 700, 250)


@then("no quick stream among {count:d} is held against a version and one quick stream is not")
def step_never_quick(context, count):
    """The share of slow ones alone is that of the old version."""
    trial = rollouts.Evidence(40, 0, count // 3, count, count, 0)
    assert rollouts.should_roll_back(trial, LOADED)
    assert not rollouts.should_roll_back(trial._replace(quick=1), LOADED)


@then("few streams without a quick one prove nothing")
def step_few_streams(context):
    """They may have met a long prompt."""
    assert not rollouts.should_roll_back(rollouts.Evidence(20, 0, 1, 5, 5, 0), LOADED)
