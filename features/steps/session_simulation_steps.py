"""Steps on sessions in simulated rollouts, without a network."""

from behave import given, then
from support import sessionsim

from berylrock.ops import rollouts

TROUBLES = {
    "without trouble": sessionsim.Trouble(),
    "with a fifth of the datagrams lost and repeated": sessionsim.Trouble(lost=0.2, repeated=0.2),
    "with a third of the gateways told 3 s late": sessionsim.Trouble(late=0.34, late_s=3.0),
    "with half of the gateways restarted as planned": sessionsim.Trouble(restarts=0.5),
    "with half of the gateways restarted after the order": sessionsim.Trouble(
        restarts=0.5, restarts_before_s=-1.2
    ),
    "with no word of other gateways": sessionsim.Trouble(forgets_word=True),
}


@given(
    "{runs:d} simulated rollouts with {gateways:d} gateways and {sessions:d} sessions at a time,"
    " {trouble}"
)
def step_simulate(context, runs, gateways, sessions, trouble):
    """Simulate rollouts with different seeds."""
    context.outcomes = [
        sessionsim.Simulation(seed, gateways, sessions, TROUBLES[trouble]).run()
        for seed in range(runs)
    ]
    for item in context.outcomes:
        assert item.moved > 0.8 * item.followers > 1000, item


@then("new sessions reach the new version in the first half")
def step_first_stage(context):
    """Check that the first stage's share of the sessions that begin in it is on trial."""
    begun = sum(item.begun for item in context.outcomes)
    share = sum(item.begun_new for item in context.outcomes) / begun
    assert 0.7 < share / rollouts.STAGE_SHARES[0] < 1.3, (share, begun)


@then("at most {most:d} requests of a simulation change their session's version early or go back")
def step_no_change(context, most):
    """Check each simulation; the operators' pages allow three requests."""
    assert all(item.early + item.back <= most for item in context.outcomes), context.outcomes


@then("over {least:d} requests change their session's version early")
def step_many_changes(context, least):
    """Check that the simulation shows the fault."""
    assert all(item.early > least for item in context.outcomes), context.outcomes
