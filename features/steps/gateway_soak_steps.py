"""Steps of the seeded soak of gateways."""

from behave import then, when
from support.platform import soak


@when("a soak of {seconds:g} s is played with seed {seed:d}")
def step_play(context, seconds, seed):
    """Play it and print its schedule."""
    schedule, calls, context.breaches = soak.run(context.root, seed, seconds)
    print(f"seed {seed}: {calls} calls")
    print("\n".join(str(fault) for fault in schedule))


@then("no promise was broken")
def step_none(context):
    """By what callers and engines saw."""
    assert not context.breaches, "\n".join(context.breaches)
