"""Steps on the limits of engines, in simulations without processes or a network."""

from behave import given, then, when
from support import limitsim
from support.gateway_data import make_engine

from berylrock.ops import enginelimits, engineset

NAMED_AT_S = 2.0
# Requests per second at all gateways together, and at least at each one.
TOTAL_PER_S, LEAST_PER_S = 150.0, 2.0
JOIN_AT_S, CHANGE_EVERY_S = 10.0, 4.0
LOST, LATE_S = 1 / 3, 2.0


@given("{gateways:d} gateways and an engine that limits their requests to {per_s:g} a second")
def step_load(context, gateways, per_s):
    """Start with a limit that begins early."""
    change = limitsim.Change(NAMED_AT_S, per_s)
    each_per_s = max(LEAST_PER_S, TOTAL_PER_S / gateways)
    context.load = limitsim.Load(gateways, (change,), per_s=each_per_s)


@given("a third of the datagrams is lost, and the others are up to 2 s late")
def step_lost(context):
    """Change the load."""
    context.load = context.load._replace(lost=LOST, late_s=LATE_S)


@given("gateways restart and leave every 4 s, and as many as there were join at once")
def step_members(context):
    """Change the load; the fleet has at least one gateway at any time."""
    context.load = context.load._replace(
        restart_every_s=CHANGE_EVERY_S,
        leave_every_s=CHANGE_EVERY_S,
        join_at=JOIN_AT_S,
        joining=context.load.gateways,
    )


@given("the limit is 1 from 10 s, 0.5 from 18 s, 10 from 26 s, none from 34 s and 2 from 40 s on")
def step_changes(context):
    """Add the changes to the first limit."""
    none = float("inf")
    pairs = ((10.0, 1.0), (18.0, 0.5), (26.0, 10.0), (34.0, none), (40.0, 2.0))
    changes = tuple(limitsim.Change(*pair) for pair in pairs)
    context.load = context.load._replace(changes=context.load.changes + changes)


@when("{plays:d} plays of {seconds:g} s are simulated")
def step_simulate(context, plays, seconds):
    """Use the numbers of the plays as seeds."""
    context.seconds = seconds
    context.outcomes = [limitsim.simulate(context.load, seed, seconds) for seed in range(plays)]


@then("the gateways that were told never send more than the users allow")
def step_bound(context):
    """Check each window of each play."""
    for seed, outcome in enumerate(context.outcomes):
        excess = limitsim.find_excess(context.load, outcome.arrivals)
        assert not excess, (seed, excess[:3])


@then("no gateways together ever send more than the users allow")
def step_bound_for_all(context):
    """Check each window of each play, for all gateways together."""
    step_bound(context)
    for seed, outcome in enumerate(context.outcomes):
        excess = limitsim.find_excess(context.load, outcome.arrivals, everyone=True)
        assert not excess, (seed, excess[:3])


@then("the engine gets at least {share:g} of what it takes")
def step_used(context, share):
    """Check the requests after the limit became known."""
    since = NAMED_AT_S + limitsim.SETTLE_S
    (change,) = context.load.changes
    for seed, outcome in enumerate(context.outcomes):
        count = sum(item.at >= since for item in outcome.arrivals)
        demand_per_s = context.load.per_s * context.load.gateways
        taken = min(change.per_s, demand_per_s) * (context.seconds - since)
        assert count >= share * taken, (seed, count, taken)


@then("every gateway knows the last limit")
def step_known(context):
    """Check the end of each play."""
    assert not any(outcome.unaware for outcome in context.outcomes), context.outcomes


@then("an engine whose limit is on record is limited, also if its entry comes later")
def step_on_record(context):
    """Read the records between the entries of two engines."""
    context.engines = engineset.EngineSet()
    context.engines.put(make_engine("e1"), 0.0)
    context.engines.assume_limits({"e1": 1.5, "e2": 2.0, "e3": float("nan")})
    context.engines.put(make_engine("e2"), 1.0)
    context.engines.put(make_engine("e3"), 1.0)
    assert context.engines.limited() == {"e1": 1.5, "e2": 2.0}


@then("the limit is not among those that the gateway tells the others")
def step_not_told(context):
    """Nothing is known of when the engine named it."""
    assert context.engines.limits(0.0) == []


@then("an answer or a report without a limit ends it, and that is passed on")
def step_ended(context):
    """End one by an answer, and the other by a report of another gateway."""
    limits = {name: context.engines.find(name).notices.limit for name in ("e1", "e2")}
    assert limits["e1"].record(enginelimits.NO_LIMIT, 5.0)
    assert limits["e2"].hear(enginelimits.NO_LIMIT, 4.0, 5.0)
    assert not context.engines.limited()
    told = {name: report.per_s for name, report in context.engines.limits(0.0)}
    assert told == {"e1": enginelimits.NO_LIMIT, "e2": enginelimits.NO_LIMIT}
