"""Steps on rollouts, cascades, timeouts and baselines, without a process or a network."""

import random

from behave import given, then
from support.gateway_data import make_route

from berylrock.core import routing
from berylrock.ops import baselines, rollouts, routecascade, timeouts, trials

CANARY_SHARE, CANARY_MARGIN = 0.15, 30
SHARED_MODEL = baselines.PaceKey("service", "model", "")


def simulate_rollout(results, seconds=24.0, per_s=30.0, canary_share=CANARY_SHARE):
    """Simulate a rollout.

    Args:
      results: Function of whether the version is on trial, the share of its stage, the rollout's
        age in seconds and the number of the answer; returns 1 or 0 for a failed and for a slow
        answer.
      seconds: Time from the order to the deadline.
      per_s: Answers per second of both versions.
      canary_share: Share of the requests that the new version may receive.

    Returns:
      The final state, the number of bad answers of the new version, and the time in seconds at
      which the rollout ended.
    """
    rollout = routing.Rollout("models", "v2", seconds, "running", 0, 1)
    trial, usual, stage_at, number, bad = rollouts.Evidence(), rollouts.Evidence(), 0.0, 0, 0
    due = rollouts.make_schedule(seconds, canary_share)
    judge, rng = trials.TrialJudge(streams=True), random.Random(5)
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
        judge.update({"": trial}, {"": usual})
        fault = judge.find_fault() or rollouts.find_fault(trial, usual)
        verdict = rollouts.Verdict(fault)
        decision = rollouts.decide(rollout, verdict, age, age - stage_at, due)
        if decision is not None:
            if decision.stage != rollout.stage:
                stage_at = age
            rollout = rollout._replace(state=decision.state, stage=decision.stage)
        if rollout.state in ("reverted", "completed"):
            return rollout.state, bad, age
    return rollout.state, bad, seconds


BAD_RESULTS = {
    "immediately": lambda trial, share, age, n: (int(trial and n % 2 == 0), 0),
    "because it is slow": lambda trial, share, age, n: (0, int(trial and n % 2 == 0)),
    "on one route": lambda trial, share, age, n: (int(trial and n % 9 == 0), 0),
    "only under load": lambda trial, share, age, n: (int(trial and share > 0.3 and n % 2 == 0), 0),
    "after some time": lambda trial, share, age, n: (int(trial and age > 14 and n % 2 == 0), 0),
}


@given("a rollout whose new version is bad {how}")
def step_bad_version(context, how):
    """Simulate the rollout."""
    context.state, context.bad, context.age = simulate_rollout(BAD_RESULTS[how])


@then("it is rolled back before it has given {most:d} bad answers")
def step_reverted(context, most):
    """Check the number of bad answers; the bound to keep is 50."""
    assert context.state == "reverted" and context.bad < most, (context.state, context.bad)


@given("a rollout of a version 8 times slower while 1 in 12 answers of all versions is slow")
def step_slow_in_burst(context):
    """Two in five answers of the new version are slow, and one in twelve of the old one."""

    def results(trial, share, age, number):
        return 0, int(number % 5 < 2 if trial else number % 12 == 0)

    context.state, context.bad, context.age = simulate_rollout(results)


@given(
    "a rollout with {new:d} in {new_of:d} slow answers of the new version"
    " and {old:d} in {old_of:d} of the old one"
)
def step_often_slow(context, new, new_of, old, old_of):
    """Simulate load that slows every version."""

    def results(trial, share, age, number):
        return 0, int(number % new_of < new if trial else number % old_of < old)

    context.state, context.bad, context.age = simulate_rollout(results)


@then("a share of the sessions is sent to the same share of the engines on trial")
def step_trial_engines(context):
    """Check that there is at least one engine, and that the set grows with the share."""
    ids = [f"e{n}" for n in range(10)]
    sizes, kept = [], frozenset()
    for share in rollouts.STAGE_SHARES:
        chosen = rollouts.trial_engines(ids, rollouts.Plan("v1", "v2", share, frozenset()))
        assert kept <= chosen
        kept = chosen
        sizes.append(len(chosen))
    assert sizes == [1, 2, 10], sizes


@given("a rollout of {seconds:g} s whose version may receive {share:g} of the requests")
def step_hidden_fault(context, seconds, share):
    """Simulate a version without bad answers.

    The requests are counted up to the deadline, as if the version received all of them after the
    rollout's end.
    """
    counts = [0, 0]

    def results(trial, stage_share, age, number):
        counts[trial] += 1
        return 0, 0

    context.state, _, context.age = simulate_rollout(results, seconds, 50.0, share)
    rest = int((seconds - context.age) * 50.0)
    context.exposed = counts[True] + rest
    context.allowed = share * (sum(counts) + rest) + CANARY_MARGIN


@then("it is completed, and until its deadline it received fewer requests than allowed")
def step_within_share(context):
    """Check the requests that any fault of the version could have affected."""
    assert context.state == "completed", context.state
    assert context.exposed < 0.95 * context.allowed, (context.exposed, context.allowed)


@given("a rollout whose new version is good while 1 in 20 answers of all versions fails")
def step_good_version(context):
    """Simulate the rollout beside failing engines."""
    context.state, context.bad, context.age = simulate_rollout(
        lambda t, s, a, n: (int(n % 20 == 0), 0)
    )


@then("it completes before its deadline")
def step_completed(context):
    """Check the state and the time of completion."""
    assert context.state == "completed" and context.age < 24.0, (context.state, context.age)


@then("an answer with high confidence is forwarded and one with low confidence is not")
def step_confident_answer(context):
    """Check answers of the small model by their confidence."""
    step = routecascade.first_step(make_route(), 3)
    assert step == routecascade.Step("small", False)
    assert routecascade.accepts(step, 95, 0.1, 1.0, 2)
    assert not routecascade.accepts(step, 10, 0.1, 1.0, 2)
    assert routecascade.accepts(routecascade.next_steps(make_route())[0], 10, 0.1, 1.0, 1)


@then("an answer with low confidence is forwarded if there is no time for another one")
def step_no_time(context):
    """Check late in the latency objective and with no attempt left."""
    step = routecascade.first_step(make_route(), 3)
    assert routecascade.accepts(step, 10, 0.9, 1.0, 2)
    assert routecascade.accepts(step, 10, 0.1, 1.0, 0)


@then("a request that only one engine may run goes to the largest model")
def step_single_attempt(context):
    """Check that there is one step only, since a second engine could not run a second step."""
    assert routecascade.first_step(make_route(), 1) == routecascade.Step("large", True)
    assert routecascade.first_step(make_route(models=()), 3) == routecascade.Step("", True)


@then("an engine that is silent on all connections is abandoned early")
def step_silent_engine(context):
    """Check an engine from which nothing has arrived since the wait began."""
    wait = timeouts.response_start_timeouts(2.0)
    assert not timeouts.should_abandon(10.5, 10.0, 9.0, wait)
    assert timeouts.should_abandon(10.01 + wait.dead_s, 10.0, 9.0, wait)


@then("an engine that still sends other answers is abandoned only late")
def step_slow_engine(context):
    """Check an engine from which data has arrived recently on any connection."""
    wait = timeouts.response_start_timeouts(2.0)
    assert not timeouts.should_abandon(10.0 + wait.dead_s, 10.0, 10.0 + wait.dead_s - 0.1, wait)
    assert timeouts.should_abandon(10.01 + wait.slow_s, 10.0, 10.0 + wait.slow_s, wait)


@then("answers that take 8 times as long as usual are slow and those of twice the time are not")
def step_slow_answers(context):
    """Check the time to the first part and the time between events."""
    usual = baselines.LatencyBaselines()
    for _ in range(20):
        usual.record("r", "m", baselines.Timing(0.2, 0.02))
    assert usual.is_slow("r", "m", baselines.Timing(1.6, 0.02))
    assert usual.is_slow("r", "m", baselines.Timing(0.2, 0.16))
    assert usual.is_slow("r", "m", baselines.Timing(0.2, 0.05))
    assert not usual.is_slow("r", "m", baselines.Timing(0.4, 0.04))
    assert not usual.is_slow("other", "m", baselines.Timing(9.0, 9.0))


@then("a stream with 8 times the usual pauses crawls, and one with 3 times the pauses does not")
def step_crawling(context):
    """Check the time between events; without a baseline no stream crawls."""
    usual = baselines.LatencyBaselines()
    for _ in range(20):
        usual.record("r", "m", baselines.Timing(0.2, 0.02))
    assert usual.is_crawling("r", "m", baselines.Timing(0.2, 0.16))
    assert not usual.is_crawling("r", "m", baselines.Timing(0.2, 0.06))
    assert not usual.is_crawling("other", "m", baselines.Timing(0.2, 0.16))


@then("no answer is slow before there are enough answers for a baseline")
def step_too_few_answers(context):
    """Check that two answers are not enough for a baseline."""
    usual = baselines.LatencyBaselines()
    usual.record("r", "m", baselines.Timing(0.2, 0.02))
    usual.record("r", "m", baselines.Timing(0.2, 0.02))
    assert not usual.is_slow("r", "m", baselines.Timing(9.0, 9.0))


LOADED_EVIDENCE = rollouts.Evidence(1000, 10, 250, 700, 700, 250)


@then("a version with no quick stream among {count:d} is bad and one with one quick stream is not")
def step_never_quick(context, count):
    """Check trials whose share of slow streams equals that of the old version."""
    trial = rollouts.Evidence(40, 0, count // 3, count, count, 0)
    assert rollouts.find_fault(trial, LOADED_EVIDENCE)
    assert not rollouts.find_fault(trial._replace(quick=1), LOADED_EVIDENCE)


@then("few streams without a quick one are not sufficient evidence")
def step_few_streams(context):
    """Check a trial whose few streams may all have had long prompts."""
    assert not rollouts.find_fault(rollouts.Evidence(20, 0, 1, 5, 5, 0), LOADED_EVIDENCE)


def is_quick(context, key, gap_ms):
    """Tell whether a stream with so many milliseconds between events is quick."""
    return context.baselines.is_quick(key, baselines.Timing(0.1, gap_ms / 1000.0))


@given(
    "{count:d} usual streams of a model with {gap_ms:g} ms between events,"
    " then {others:d} with {slow_ms:g} ms"
)
def step_usual_streams(context, count, gap_ms, others, slow_ms):
    """Record them; the slower ones come from another route."""
    context.baselines = baselines.LatencyBaselines()
    for number, gap in ((count, gap_ms), (others, slow_ms)):
        for _ in range(number):
            context.baselines.record_pace(SHARED_MODEL, gap / 1000.0)


@then("a stream with {slow_ms:g} ms between events is not quick, and one with {quick_ms:g} ms is")
def step_quick_streams(context, slow_ms, quick_ms):
    """Check both."""
    assert not is_quick(context, SHARED_MODEL, slow_ms)
    assert is_quick(context, SHARED_MODEL, quick_ms)


@then("one with {gap_ms:g} ms is quick for the same model of another service")
def step_other_service(context, gap_ms):
    """Check a service whose streams are all slower."""
    other = SHARED_MODEL._replace(service="other")
    context.baselines.record_pace(other, gap_ms / 1000.0)
    assert is_quick(context, other, gap_ms)


@then("one with {gap_ms:g} ms is quick on a route whose callers choose the model")
def step_chosen_model(context, gap_ms):
    """Check a route whose streams are all slower than those of another such route."""
    routes = [baselines.PaceKey("service", "", name) for name in ("label", "dossier")]
    for key, usual_ms in zip(routes, (gap_ms / 4, gap_ms), strict=True):
        context.baselines.record_pace(key, usual_ms / 1000.0)
    assert is_quick(context, routes[1], gap_ms)


@then("after a stream whose events all came at once, one with {gap_ms:g} ms is still quick")
def step_burst(context, gap_ms):
    """Check a stream that had waited in a buffer."""
    context.baselines.record_pace(SHARED_MODEL, 0.0001)
    assert is_quick(context, SHARED_MODEL, gap_ms)


@then("a version with no quick stream among 1 is not bad while all 3 of the old one were quick")
def step_one_stream(context):
    """Check counts from right after the start of a rollout."""
    trial = rollouts.Evidence(1, 0, 1, 1, 1, 0)
    assert not rollouts.find_fault(trial, rollouts.Evidence(17, 0, 0, 3, 3, 3))


@then("a request that no engine has run is refused after an eighth of its target at most")
def step_wait_not_run(context):
    """Check the wait for a first engine."""
    assert timeouts.engine_wait_s(2.0, False) <= 2.0 / 8


@then("one that may have run waits up to half of its target, as its caller gets no second chance")
def step_wait_run(context):
    """Check the wait for a second engine."""
    assert timeouts.engine_wait_s(2.0, True) == 1.0


@then("a response of low confidence is followed by the largest model that is in time")
def step_next_steps(context):
    """Check the order of the models that are tried."""
    route = make_route(models=("small", "middle", "large"))
    assert routecascade.next_steps(route) == (
        routecascade.Step("large", True),
        routecascade.Step("middle", True),
    )
    assert routecascade.next_steps(make_route(models=("small",))) == ()


@then("a prompt that the largest model can read in time only at once skips the smallest one")
def step_skips_small(context):
    """Check a limit of 1.7 s for prompts of 0.2, 1.5 and 2 s, after 0.4 s of the small model."""
    assert not routecascade.leaves_no_time(0.4, 0.2, 1.7)
    assert routecascade.leaves_no_time(0.4, 1.5, 1.7)
    assert not routecascade.leaves_no_time(0.4, 2.0, 1.7)
    assert not routecascade.leaves_no_time(0.3, 1.2, 1.7), "engines are idle"
    assert routecascade.leaves_no_time(0.3, 1.2, 1.7, 0.4), "prompts wait at engines"
    assert not routecascade.leaves_no_time(2.0, 0.0, 1.7), "the pace is not known"
    assert not routecascade.leaves_no_time(1.6, 0.2, 1.7), "a short prompt while engines are busy"
