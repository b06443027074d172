"""Steps on routes, limits and the choice of engines, without a process or a network."""

import random

import hypothesis
from behave import given, then
from hypothesis import strategies
from support.gateway_data import (
    BOUNDS,
    COLD_SERVICE,
    make_config,
    make_criteria,
    make_engine,
    make_route,
    make_states,
    property_settings,
)

from berylrock.ops import (
    budget,
    engineset,
    enginestate,
    health,
    pacing,
    routetable,
    selection,
    storegaps,
)


@given("a configuration with {count:d} routes")
def step_routes(context, count):
    """Create nested prefixes of several depths."""
    context.routes = [
        make_route(f"r{n}", f"/p{n % 50}/" + f"q{n}/" * (n // 50 % 4)) for n in range(count)
    ]
    context.route_table = routetable.RouteTable(make_config(context.routes))


@then("each path is routed by the longest prefix that matches it")
def step_longest_prefix(context):
    """Compare the route table with a linear search through all routes."""
    for route in context.routes[::37]:
        path = route.prefix + "x/y?z=/p1/"
        matching = [item for item in context.routes if path.startswith(item.prefix)]
        best = max(matching, key=lambda item: len(item.prefix))
        assert context.route_table.find_route("h", path).prefix == best.prefix


@then("a path without a matching prefix has no route")
def step_no_route(context):
    """Try an unknown path and an unknown host."""
    assert context.route_table.find_route("h", "/other/x") is None
    assert context.route_table.find_route("other", "/p1/x") is None


@then("of {count:d} sessions a split of 90 to 10 sends 9 in 10 to the first service")
def step_split(context, count):
    """Check that the share of the first service is close to its weight."""
    route = make_route(splits=(("one", 90.0), ("two", 10.0)))
    chosen = [routetable.choose_service(route, f"s{n}") for n in range(count)]
    assert 0.87 < chosen.count("one") / count < 0.93


@then("the same session always goes to the same service")
def step_same_session(context):
    """Check that the choice depends on nothing but the session."""
    route = make_route(splits=(("one", 50.0), ("two", 50.0)))
    for number in range(50):
        assert len({routetable.choose_service(route, f"s{number}") for _ in range(5)}) == 1


@then("for any number of gateways no second has more requests than a cold engine can handle")
def step_cold_rate(context):
    """Let every gateway send whenever its share allows it."""

    @property_settings
    @hypothesis.given(
        strategies.integers(1, 60), strategies.lists(strategies.floats(0, 3), max_size=200)
    )
    def check(gateways, times):
        names = [f"entry-{number}" for number in range(gateways)]
        shares = [pacing.make_shares(COLD_SERVICE, BOUNDS, names, name) for name in names]
        windows = [pacing.SendWindow() for _ in range(gateways)]
        sent = []
        for now in sorted(times):
            for share, window in zip(shares, windows, strict=True):
                if window.allows(share.limit("e1", True), now):
                    window.record(now)
                    sent.append(now)
        limit = 18.0 * 1.5 + 5
        for begin in sent:
            assert sum(begin <= item < begin + 1.0 for item in sent) <= limit

    check()


@then("for any traffic of several gateways no window has more retries than allowed")
def step_shared_budget(context):
    """Let each gateway retry whenever its budget allows it."""

    @property_settings
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 30), strategies.integers(0, 4)), max_size=300
        ),
        strategies.floats(0.0, 0.3),
    )
    def check(arrivals, lag_s):
        budgets = [budget.WindowBudget() for _ in range(5)]
        requests, retries, reported = [], [], {}
        for now, index in sorted(arrivals):
            budgets[index].record_request(now)
            requests.append(now)
            for number, item in enumerate(budgets):
                at, _ = reported.get(number, (-1.0, None))
                if now - at >= lag_s:
                    reported[number] = (now, item.usage(now, 10.0))
            received = [item for number, (_, item) in reported.items() if number != index]
            others = budget.RetryUsage(
                sum(i.requests for i in received), sum(i.retries for i in received)
            )
            limits = budget.RetryLimits(0.9, 10.0, 56, 5, others)
            for _ in range(4):
                if budgets[index].take(now, limits):
                    retries.append(now)
        for end in retries:
            retried = sum(end - 10.0 < item <= end for item in retries)
            requested = sum(end - 10.0 < item <= end for item in requests)
            assert retried <= 0.9 * requested + 56

    check()


@given("an engine whose answers fail")
def step_failing(context):
    """Record the minimum number of failures for a verdict."""
    context.health = health.EngineHealth()
    for _ in range(health.MIN_RESULTS):
        context.health.record_failure(10.0)


@then("it is not used until its pause is over")
def step_paused(context):
    """Check that the engine is unusable now and usable after the pause."""
    assert not context.health.usable(10.1)
    assert context.health.usable(10.0 + health.FIRST_PAUSE_S)


@then("an engine with the usual share of errors remains in use")
def step_usual_errors(context):
    """Record one failure in seven answers, which is usual for some services in normal operation."""
    state = health.EngineHealth()
    for number in range(70):
        if number % 7 == 0:
            state.record_failure(float(number))
        else:
            state.record_response(0.1)
        assert state.usable(float(number))


@given("an engine whose entry expires during an outage of the store")
def step_entry_expires(context):
    """Lose the store, then the entry."""
    context.engines = engineset.EngineSet()
    context.engines.put(make_engine("e1"), 0.0)
    for at in (10.0, 11.7, 13.4):
        context.engines.gaps.record_failure(at)
    context.engines.remove("e1", 10.5)


@then("it may receive requests until the store has been available for a while")
def step_kept_during_outage(context):
    """Check that the engine is kept during the outage and the grace time after it."""
    assert context.engines.group("models", "v1").states
    context.engines.expire(12.0)
    assert context.engines.group("models", "v1").states
    context.engines.gaps.record_answer(14.0)
    context.engines.expire(15.0)
    assert context.engines.group("models", "v1").states
    context.engines.expire(14.0 + storegaps.RETURN_GRACE_S + 0.1)
    assert not context.engines.group("models", "v1").states


@then("an engine whose entry disappears at another time is removed immediately")
def step_removed(context):
    """Check that there is no grace time without an outage."""
    engines = engineset.EngineSet()
    engines.put(make_engine("e1"), 0.0)
    engines.remove("e1", 10.0)
    assert not engines.group("models", "v1").states


@then("a draining engine is removed immediately even during an outage")
def step_draining_removed(context):
    """Remove the entry of an engine that had announced that it leaves."""
    engines = engineset.EngineSet()
    engines.put(make_engine("e1"), 0.0)
    engines.put(make_engine("e1", revision=2, draining=True), 1.0)
    assert not engines.group("models", "v1").states
    engines.gaps.record_failure(10.0)
    engines.remove("e1", 10.5)
    assert engines.find("e1") is None


@given("an engine whose zone is evacuated and returns to service")
def step_zone_returns(context):
    """Evacuate the zone at 5 s and return it to service at 10 s."""
    context.engines = engineset.EngineSet()
    context.engines.put(make_engine("e1", zone="z"), 0.0)
    context.engines.set_evacuated(frozenset({"z"}), 5.0)
    assert not context.engines.group("models", "v1").states
    context.engines.set_evacuated(frozenset(), 10.0)


@then("it is treated as cold for a while")
def step_possibly_cold(context):
    """Check that the engine counts as cold after the return and as warm later."""
    state = context.engines.group("models", "v1").states[0]
    assert state.cold_until > 10.0
    assert state.cold_until <= 10.0 + enginestate.POSSIBLY_COLD_S


@given("{count:d} engines with equal load")
def step_idle_engines(context, count):
    """Create engines without running requests."""
    context.states = make_states(count)


@then("requests with the same prompt part go to the same engine from every gateway")
def step_affinity(context):
    """Check that the random choice between equal engines has no influence."""
    for part in range(20):
        pick = make_criteria(f"part{part}")
        chosen = {
            selection.choose(context.states, pick, random.Random(seed)).engine.id
            for seed in range(6)
        }
        assert len(chosen) == 1


@then("prompt parts are spread over all engines")
def step_spread(context):
    """Check that no engine is preferred for most parts."""
    counts = {}
    for part in range(500):
        found = selection.choose(context.states, make_criteria(f"part{part}"), random.Random(1))
        counts[found.engine.id] = counts.get(found.engine.id, 0) + 1
    assert len(counts) == 5 and max(counts.values()) < 170, counts


@then("a request leaves the preferred engine of its part when that is much busier than the others")
def step_overflow(context):
    """Load the preferred engine until another one is chosen."""
    pick = make_criteria("part")
    first = selection.choose(context.states, pick, random.Random(1))
    for _ in range(3):
        first.begin(16_000.0, 0.0)
    assert selection.choose(context.states, pick, random.Random(1)) is not first


@given("{count:d} engines of which {slow:d} answer slowly")
def step_slow_engines(context, count, slow):
    """Let the slow engines take five times as long as the others."""
    context.states = make_states(count)
    context.slow = {item.engine.id for item in context.states[:slow]}
    for item in context.states:
        for _ in range(20):
            item.health.record_response(1.0 if item.engine.id in context.slow else 0.2)


@then("nearly all requests go to the other engines")
def step_avoid_slow(context):
    """Simulate requests of which up to 12 run at the same time."""
    rng, chosen = random.Random(3), []
    for number in range(300):
        found = selection.choose(context.states, make_criteria(now=100.0 + number), rng)
        found.begin(1000.0, float(number))
        chosen.append(found)
        if len(chosen) > 12:
            chosen[-13].end(1000.0)
    share = sum(item.engine.id in context.slow for item in chosen) / len(chosen)
    assert share < 0.25, share


@given("{count:d} engines that are all paused")
def step_all_paused(context, count):
    """Mark all engines as unreachable."""
    context.states = make_states(count)
    for item in context.states:
        item.health.record_unreachable(100.0)


@then("one of them is still chosen")
def step_paused_chosen(context):
    """Check that a paused engine is chosen rather than none."""
    assert selection.choose(context.states, make_criteria(), random.Random(1)) is not None
