"""Steps on rollouts of plain services with several kinds of requests, without a network."""

import collections

from behave import given, then
from support import rolloutsim

from berylrock.ops import baselines, rollouts, trials

ALL_ROUTES = tuple(rolloutsim.LOADS)


@given(
    "{count:d} rollouts whose new version fails half of the {kind} requests from {seconds:g} s on"
)
def step_one_kind_fails(context, count, kind, seconds):
    """Simulate a fault on one route."""
    fault = rolloutsim.Fault((kind,), 0.5, after_s=seconds)
    context.outcomes = rolloutsim.run_many(rolloutsim.PlainSimulation, fault, count)


@given("{count:d} rollouts whose new version answers half of all requests {x:g} times slower")
def step_slow(context, count, x):
    """Simulate a slow version."""
    context.outcomes = rolloutsim.run_many(
        rolloutsim.PlainSimulation, rolloutsim.Fault(ALL_ROUTES, 0.5, x), count
    )


@given("{count:d} rollouts whose new version fails {share:g} of the {kind} requests")
def step_one_kind_partly_fails(context, count, share, kind):
    """Simulate a fault of some requests on one route."""
    fault = rolloutsim.Fault((kind,), share)
    context.outcomes = rolloutsim.run_many(rolloutsim.PlainSimulation, fault, count)


@given("{count:d} rollouts whose new version answers {share:g} of all requests {x:g} times slower")
def step_partly_slow(context, count, share, x):
    """Simulate a version that is slow now and then."""
    fault = rolloutsim.Fault(ALL_ROUTES, share, x)
    context.outcomes = rolloutsim.run_many(rolloutsim.PlainSimulation, fault, count)


@given("{count:d} rollouts of models whose new version answers half of all requests slowly")
def step_slow_streams(context, count):
    """Simulate a slow version of a model service."""
    fault = rolloutsim.Fault(tuple(rolloutsim.StreamSimulation.PER_S), 0.5, 8.0)
    context.outcomes = rolloutsim.run_many(rolloutsim.StreamSimulation, fault, count)


@given("{count:d} rollouts of models whose new version answers {share:g} of all requests slowly")
def step_partly_slow_streams(context, count, share):
    """Simulate a version of a model service that is slow now and then."""
    fault = rolloutsim.Fault(tuple(rolloutsim.StreamSimulation.PER_S), share, 8.0)
    context.outcomes = rolloutsim.run_many(rolloutsim.StreamSimulation, fault, count)


@given("{count:d} rollouts of models whose new version fails {share:g} of the {kind} requests")
def step_one_kind_of_streams_fails(context, count, share, kind):
    """Simulate a fault on one route of a model service."""
    fault = rolloutsim.Fault((kind,), share)
    context.outcomes = rolloutsim.run_many(rolloutsim.StreamSimulation, fault, count)


@given("{count:d} rollouts of models whose new version is good")
def step_good_streams(context, count):
    """Simulate sound versions of a model service."""
    fault = rolloutsim.Fault()
    context.outcomes = rolloutsim.run_many(rolloutsim.StreamSimulation, fault, count)


@given("{count:d} rollouts whose new version is good")
def step_good(context, count):
    """Simulate sound versions."""
    context.outcomes = rolloutsim.run_many(rolloutsim.PlainSimulation, rolloutsim.Fault(), count)


@then("none is completed, and no new version receives more requests than allowed")
def step_none_completed(context):
    """Check each rollout: after its completion nobody can roll it back."""
    states = collections.Counter(item.state for item in context.outcomes)
    assert not states["completed"], states
    beyond = [item for item in context.outcomes if not item.within_share]
    assert not beyond, beyond[:3]
    assert all(item.bad < rolloutsim.MAX_BAD_ANSWERS for item in context.outcomes)


@then("{least:d} in 100 at least are rolled back in time")
def step_most_rolled_back(context, least):
    """Check the share of the rollouts whose version gets no request too late."""
    found = [item for item in context.outcomes if item.state == "reverted" and not item.late]
    assert len(found) * 100 >= least * len(context.outcomes), len(found)


@then("{all_in:d} in 100 at least are completed, and {in_time:d} in 100 before the deadline")
def step_most_completed(context, all_in, in_time):
    """Check the share of the rollouts that need no operator."""
    completed = [item for item in context.outcomes if item.state == "completed"]
    early = [item for item in completed if item.in_time]
    found = len(completed), len(early), len(context.outcomes)
    assert found[0] * 100 >= all_in * found[2], found
    assert found[1] * 100 >= in_time * found[2], found


@then("an answer {x:g} times slower than {usual_ms:g} ms is slow and one {y:g} times slower is not")
def step_slow_plain_answer(context, x, usual_ms, y):
    """Check the times of a service that answers quickly."""
    usual = baselines.LatencyBaselines()
    usual_s = usual_ms / 1000.0
    for _ in range(20):
        usual.record("r", "", baselines.Timing(usual_s, 0.0))
    assert usual.is_slow("r", "", baselines.Timing(x * usual_s, 0.0))
    assert not usual.is_slow("r", "", baselines.Timing(y * usual_s, 0.0))


def judge_routes(trial, stable, streams=False):
    """Return the fault that is found from pairs of errors and answers by route."""
    judge = trials.TrialJudge(streams)
    judge.update(
        {route: rollouts.Evidence(answers, errors) for route, (errors, answers) in trial.items()},
        {route: rollouts.Evidence(answers, errors) for route, (errors, answers) in stable.items()},
    )
    return judge.find_fault()


@then("3 errors in 6 answers are a fault where the old version has none, whatever fails elsewhere")
def step_fault_on_route(context):
    """Check a rollout that was completed at these counts."""
    trial = {"book": (3, 6), "look": (1, 3), "timeout": (1, 1)}
    stable = {"book": (0, 125), "look": (21, 55), "timeout": (23, 23)}
    assert "book" in judge_routes(trial, stable)


@then("3 errors in 6 answers are none where the old version has as many")
def step_no_fault_on_route(context):
    """Check a route that fails on both versions."""
    assert not judge_routes({"look": (3, 6)}, {"look": (25, 50)})
    assert not judge_routes({"timeout": (6, 6)}, {"timeout": (25, 25)})


@then("3 streams that end with one engine are no fault of a version")
def step_crashed_streams(context):
    """Check the streams that an engine was running when it crashed."""
    assert not judge_routes({"chat": (3, 6)}, {"chat": (0, 125)}, streams=True)
