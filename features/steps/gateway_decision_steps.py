"""Steps on routes, limits, engines and the choice among them: no process, no network."""

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

from berylrock.ops import budget, engineset, health, pacing, routetable, selection


@given("a configuration with {count:d} routes")
def step_routes(context, count):
    """Nested prefixes of several depths."""
    context.routes = [
        make_route(f"r{n}", f"/p{n % 50}/" + f"q{n}/" * (n // 50 % 4)) for n in range(count)
    ]
    context.route_table = routetable.RouteTable(make_config(context.routes))


@then("each path finds the route with the longest prefix that begins it")
def step_longest(context):
    """Compare with a search through all routes."""
    for route in context.routes[::37]:
        path = route.prefix + "x/y?z=/p1/"
        begins = [item for item in context.routes if path.startswith(item.prefix)]
        best = max(begins, key=lambda item: len(item.prefix))
        assert context.route_table.find_route("h", path).prefix == best.prefix


@then("a path that no prefix begins finds none")
def step_none(context):
    """Neither an unknown path nor an unknown host."""
    assert context.route_table.find_route("h", "/other/x") is None
    assert context.route_table.find_route("other", "/p1/x") is None


@then("of {count:d} sessions a split of 90 to 10 sends 9 in 10 to the first service")
def step_split(context, count):
    """The share is near the weight."""
    route = make_route(splits=(("one", 90.0), ("two", 10.0)))
    chosen = [routetable.choose_service(route, f"s{n}") for n in range(count)]
    assert 0.87 < chosen.count("one") / count < 0.93


@then("the same session always goes to the same service")
def step_same_session(context):
    """Nothing but the session decides."""
    route = make_route(splits=(("one", 50.0), ("two", 50.0)))
    for number in range(50):
        assert len({routetable.choose_service(route, f"s{number}") for _ in range(5)}) == 1


@then("for any number of gateways no second holds more requests than a cold engine bears")
def step_cold(context):
    """Every gateway sends whenever it may."""

    @property_settings
    @hypothesis.given(
        strategies.integers(1, 60), strategies.lists(strategies.floats(0, 3), max_size=200)
    )
    def check(gateways, times):
        names = [f"entry-{number}" for number in range(gateways)]
        shares = [pacing.make_shares(COLD_SERVICE, BOUNDS, names, name) for name in names]
        paces = [pacing.SendWindow() for _ in range(gateways)]
        sent = []
        for now in sorted(times):
            for share, pace in zip(shares, paces, strict=True):
                if pace.allows(share.limit("e1", True), now):
                    pace.record(now)
                    sent.append(now)
        limit = 18.0 * 1.5 + 5
        for begin in sent:
            assert sum(begin <= item < begin + 1.0 for item in sent) <= limit

    check()


@then("over any traffic of several gateways no window holds more repeats than allowed")
def step_budget(context):
    """Each gateway repeats as often as its budget lets it."""

    @property_settings
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.floats(0, 30), strategies.integers(0, 4)), max_size=300
        ),
        strategies.floats(0.0, 0.3),
    )
    def check(arrivals, lag_s):
        budgets = [budget.WindowBudget() for _ in range(5)]
        requests, repeats, said = [], [], {}
        for now, index in sorted(arrivals):
            budgets[index].record_request(now)
            requests.append(now)
            for number, item in enumerate(budgets):
                at, _ = said.get(number, (-1.0, None))
                if now - at >= lag_s:
                    said[number] = (now, item.usage(now, 10.0))
            heard = [item for number, (_, item) in said.items() if number != index]
            others = budget.RetryUsage(
                sum(i.requests for i in heard), sum(i.retries for i in heard)
            )
            limits = budget.RetryLimits(0.9, 10.0, 56, 5, others)
            for _ in range(4):
                if budgets[index].take(now, limits):
                    repeats.append(now)
        for end in repeats:
            inside = sum(end - 10.0 < item <= end for item in repeats)
            asked = sum(end - 10.0 < item <= end for item in requests)
            assert inside <= 0.9 * asked + 56

    check()


@given("an engine whose answers fail")
def step_failing(context):
    """Enough failures to tell."""
    context.health = health.EngineHealth()
    for _ in range(health.MIN_RESULTS):
        context.health.record_failure(10.0)


@then("it is left out until its pause is over")
def step_paused(context):
    """Out now, in again later."""
    assert not context.health.usable(10.1)
    assert context.health.usable(10.0 + health.FIRST_PAUSE_S)


@then("an engine with the usual share of errors is not left out")
def step_usual(context):
    """One failure in seven is what some services do on a good day."""
    item = health.EngineHealth()
    for number in range(70):
        if number % 7 == 0:
            item.record_failure(float(number))
        else:
            item.record_response(0.1)
        assert item.usable(float(number))


@given("an engine whose entry vanishes while the store is away")
def step_lapse(context):
    """The store is lost, then the entry."""
    context.set = engineset.EngineSet()
    context.set.put(make_engine("e1"), 0.0)
    context.set.record_store_lost(10.0)
    context.set.remove("e1", 10.5)


@then("it may still get requests until the store has been back for a while")
def step_lapsed(context):
    """Kept in the outage and a little after."""
    assert context.set.available_for("models")
    context.set.expire(12.0)
    assert context.set.available_for("models")
    context.set.record_store_back(14.0)
    context.set.expire(15.0)
    assert context.set.available_for("models")
    context.set.expire(14.0 + engineset.RETURN_GRACE_S + 0.1)
    assert not context.set.available_for("models")


@then("an engine whose entry vanishes at another time is gone at once")
def step_gone(context):
    """No outage, no grace."""
    found = engineset.EngineSet()
    found.put(make_engine("e1"), 0.0)
    found.remove("e1", 10.0)
    assert not found.available_for("models")


@then("an engine that was draining is gone at once even then")
def step_draining_gone(context):
    """It had said that it leaves."""
    found = engineset.EngineSet()
    found.put(make_engine("e1"), 0.0)
    found.put(make_engine("e1", revision=2, draining=True), 1.0)
    assert not found.available_for("models")
    found.record_store_lost(10.0)
    found.remove("e1", 10.5)
    assert found.find("e1") is None


@given("an engine whose zone is taken out and returns")
def step_zone_returns(context):
    """Out at 5, back at 10."""
    context.set = engineset.EngineSet()
    context.set.put(make_engine("e1", zone="z"), 0.0)
    context.set.set_evacuated(frozenset({"z"}), 5.0)
    assert not context.set.available_for("models")
    context.set.set_evacuated(frozenset(), 10.0)


@then("it is held to be cold for a while")
def step_cold_doubt(context):
    """Cold after the return, warm later."""
    state = context.set.available_for("models")[0]
    assert state.cold_until > 10.0
    assert state.cold_until <= 10.0 + engineset.POSSIBLY_COLD_S


@given("{count:d} engines with equal load")
def step_engines(context, count):
    """Nothing runs anywhere."""
    context.states = make_states(count)


@then("requests with the same prompt part go to the same engine from every gateway")
def step_affinity(context):
    """Random ties do not matter."""
    for part in range(20):
        pick = make_criteria(f"part{part}")
        chosen = {
            selection.choose(context.states, pick, random.Random(seed)).engine.id
            for seed in range(6)
        }
        assert len(chosen) == 1


@then("parts are spread over all engines")
def step_spread(context):
    """No engine is the favourite of most."""
    counts = {}
    for part in range(500):
        found = selection.choose(context.states, make_criteria(f"part{part}"), random.Random(1))
        counts[found.engine.id] = counts.get(found.engine.id, 0) + 1
    assert len(counts) == 5 and max(counts.values()) < 170, counts


@then("a request leaves its part's engine when that holds much more work than the others")
def step_overflow(context):
    """The favourite is loaded until it is passed over."""
    pick = make_criteria("part")
    first = selection.choose(context.states, pick, random.Random(1))
    for _ in range(3):
        first.begin(16_000.0, 0.0)
    assert selection.choose(context.states, pick, random.Random(1)) is not first


@given("{count:d} engines of which {slow:d} answer slowly")
def step_slow(context, count, slow):
    """Slow ones take five times as long."""
    context.states = make_states(count)
    context.slow = {item.engine.id for item in context.states[:slow]}
    for item in context.states:
        for _ in range(20):
            item.health.record_response(1.0 if item.engine.id in context.slow else 0.2)


@then("nearly all requests go to the others")
def step_avoid(context):
    """Simulate requests that end in turn."""
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
    """All have just failed."""
    context.states = make_states(count)
    for item in context.states:
        item.health.record_unreachable(100.0)


@then("one of them is still chosen")
def step_still(context):
    """Better a doubtful engine than none."""
    assert selection.choose(context.states, make_criteria(), random.Random(1)) is not None
