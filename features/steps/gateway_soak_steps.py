"""Steps on the seeded soak of several gateways."""

from behave import then, when
from support.platform import soak


@when("a gateway soak of {seconds:g} s is run with seed {seed:d}")
def step_run_soak(context, seconds, seed):
    """Run the soak and print its schedule of faults."""
    schedule, calls, context.breaches = soak.run(context.root, seed, seconds)
    print(f"seed {seed}: {calls} calls")
    print("\n".join(str(fault) for fault in schedule))


@then("no guarantee was violated")
def step_no_breach(context):
    """Check the records of the callers and the engines."""
    assert not context.breaches, "\n".join(context.breaches)
