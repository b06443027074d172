"""Steps on rollouts that other gateways report, without a network."""

from behave import given, then, when

from berylrock.core import routing, stored
from berylrock.ops import activesessions, heardrollouts, rollouts, versionchoice

SERVICE, OLD, NEW = "models", "v1", "v2"
REVISION = stored.make_revision(2, 500)
SESSIONS = [activesessions.make_session(SERVICE, f"s{number}") for number in range(500)]


@given("a gateway that knows a rollout in its second stage from the store")
def step_known(context):
    """Make what the gateway knows."""
    context.known = routing.Rollout(SERVICE, NEW, 20.0, "running", 1, REVISION)
    context.heard = heardrollouts.HeardRollouts()


@when("another gateway reports the last stage")
def step_report(context):
    """Record the report."""
    context.heard.record(context.known._replace(stage=2, revision=REVISION + 3), 0.0)


@then("every session runs on the new version there")
def step_all_new(context):
    """Check the versions by the rollout in force."""
    rollout = context.heard.choose_later(SERVICE, context.known, REVISION + 1)
    plan = rollouts.make_plan(rollout, [], False)._replace(stable=OLD)
    chosen = {
        versionchoice.choose_for_session(plan, SERVICE, session.digest, False).version
        for session in SESSIONS
    }
    assert chosen == {NEW}, chosen


@then(
    "a report of an earlier order, of the store before it came back, or of a deleted order counts"
    " for nothing"
)
def step_no_force(context):
    """Check reports that are older than what the gateway knows."""
    known = context.known
    for report, own, revision in (
        (known._replace(stage=2, revision=REVISION - 1), known, REVISION),
        (known._replace(stage=2, revision=stored.make_revision(1, 900)), known, REVISION),
        (known._replace(stage=2, revision=stored.make_revision(3, 1)), known, REVISION),
        (known._replace(stage=2, revision=REVISION + 3), None, REVISION + 5),
    ):
        heard = heardrollouts.HeardRollouts()
        heard.record(report, 0.0)
        assert heard.choose_later(SERVICE, own, revision) == own, (report, own)
    heard = heardrollouts.HeardRollouts()
    heard.record(known, 0.0)
    assert heard.choose_later(SERVICE, None, REVISION - 5) == known
    heard.expire(heardrollouts.KEPT_S + 1.0)
    assert heard.choose_later(SERVICE, None, REVISION - 5) is None
