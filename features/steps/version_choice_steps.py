"""Steps on the versions that sessions get in the stages of a rollout, without a network."""

from behave import then
from support.gateway_data import make_engine

from berylrock.core import routing
from berylrock.ops import activesessions, rollouts, versionchoice

CANARY_SHARE = 0.15
SESSIONS = [activesessions.make_session("models", f"s{number}") for number in range(500)]
COLLECTING = rollouts.COLLECTING_STAGE


def choose(stage, session, held=False):
    """Return the version that a session gets in a stage."""
    share = rollouts.STAGE_SHARES[max(0, stage)]
    plan = rollouts.Plan("v1", "v2", share, frozenset(), stage)
    return versionchoice.choose_for_session(plan, "models", session.digest, held).version


def begins_at(duration_s, held):
    """Return when a rollout leaves the state in which sessions are collected."""
    due = rollouts.make_schedule(duration_s, CANARY_SHARE, held=held)
    ordered = routing.Rollout("models", "v2", duration_s, "new", 0, 1)
    ages_s = [step / 10 for step in range(int(duration_s * 10))]
    return next(
        age_s
        for age_s in ages_s
        if rollouts.decide(ordered, rollouts.Verdict(), age_s, age_s, due) is not None
    )


@then(
    "the first stage begins after {few_s:g} s with {few:d} held sessions, and after {many_s:g} s"
    " with {many:d}"
)
def step_collection(context, few_s, few, many_s, many):
    """Check a rollout of a minute."""
    assert begins_at(60.0, few) == few_s
    assert begins_at(60.0, many) == many_s


@then("it begins within a tenth of the rollout's time, and within {most_s:g} s")
def step_collection_bounds(context, most_s):
    """Check a short rollout, and one with more sessions than planned for."""
    assert begins_at(8.0, 50) <= 0.8
    assert begins_at(600.0, 100_000) <= most_s


@then("an active session keeps its version in the first stages")
def step_session_keeps_version(context):
    """Check sessions that began before the rollout, and those that begin in its first stage."""
    for session in SESSIONS:
        before = {choose(COLLECTING, session), choose(0, session, held=True)}
        assert before == {"v1"}, before
    begun = [choose(0, session) for session in SESSIONS]
    assert 0 < begun.count("v2") < len(begun)


@then("every gateway chooses the same version for a new session")
def step_deterministic(context):
    """Check that the choice depends on nothing but session and stage."""
    for stage in (COLLECTING, *range(len(rollouts.STAGE_SHARES))):
        first = [choose(stage, session) for session in SESSIONS]
        assert first == [choose(stage, session) for session in SESSIONS]
    later = [choose(1, session, held=True) for session in SESSIONS]
    assert later == [choose(1, session) for session in SESSIONS]
    share = later.count("v2") / len(later)
    assert abs(share - rollouts.STAGE_SHARES[1]) < 0.06, share


@then("shares only grow from stage to stage")
def step_shares_grow(context):
    """Check that a session on the new version stays there."""
    moved = set()
    for stage in (COLLECTING, *range(len(rollouts.STAGE_SHARES))):
        now = {session for session in SESSIONS if choose(stage, session) == "v2"}
        assert moved <= now
        moved = now
    assert len(moved) == len(SESSIONS)


@then("engines of a version that was rolled back or not ordered receive no requests")
def step_forbidden(context):
    """Check the plan for each state of the rollout."""
    engines = [make_engine("a"), make_engine("b"), make_engine("c", version="v2", revision=9)]
    rollout = routing.Rollout("models", "v2", 24.0, "reverted", 1, 1)
    for plan in (
        rollouts.make_plan(rollout, engines, False),
        rollouts.make_plan(rollout._replace(state="running"), engines, True),
        rollouts.make_plan(None, engines, False),
    ):
        chosen = {
            versionchoice.choose_for_session(plan, "models", session.digest, False).version
            for session in SESSIONS
        }
        chosen |= {
            versionchoice.choose_for_request(plan, "models", str(n), 0.5).version
            for n in range(100)
        }
        assert chosen == {"v1"}
    done = rollouts.make_plan(rollout._replace(state="completed"), engines, False)
    chosen = versionchoice.choose_for_session(done, "models", SESSIONS[0].digest, True)
    assert chosen.version == "v2", chosen
