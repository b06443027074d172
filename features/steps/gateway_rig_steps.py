"""Steps on the rig of gateways, engines and callers as processes of their own."""

from behave import then, when
from support.platform import rig

MIN_RUNS = 100


@when("the rig plays {seconds:g} s with seed {seed:d}")
def step_play(context, seconds, seed):
    """Play the seed with sound gateways."""
    play(context, seconds, seed, "")


@when('the rig plays {seconds:g} s with seed {seed:d} and gateways with the fault "{fault}"')
def step_play_fault(context, seconds, seed, fault):
    """Play the seed with gateways that have a fault."""
    play(context, seconds, seed, fault)


@when(
    "the rig plays {seconds:g} s, mostly orders, with seed {seed:d} and gateways with the fault "
    '"{fault}"'
)
def step_play_orders(context, seconds, seed, fault):
    """Play the seed with gateways that have a fault, and many requests that may run once."""
    play(context, seconds, seed, fault, "orders")


def play(context, seconds, seed, fault, mix="all"):
    """Play a seed and keep what was found."""
    found = rig.run(context.root, seed, seconds, fault=fault, mix=mix)
    context.attempts, context.runs, context.disturbances, context.breaches = found


@then("it reports no breach, and enough has run")
def step_no_breach(context):
    """Check the breaches, and that requests have run at all."""
    assert not context.breaches, "\n".join(context.breaches)
    assert len(context.runs) > MIN_RUNS, len(context.runs)


@then("it reports that engines worked on one request at the same time")
def step_overlaps(context):
    """Check the breaches."""
    assert any(item.startswith("overlap") for item in context.breaches), context.breaches


@then("it reports that requests ran twice or were falsely refused")
def step_twice(context):
    """Check the breaches."""
    found = [item for item in context.breaches if item.startswith(("twice", "not run", "again"))]
    assert found, (context.breaches, len(context.runs))
