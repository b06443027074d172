"""Steps on the gateway's decision modules: no process, no network."""

import logging
import os
import random
import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from berylrock.core import boundedlog, errors, routing
from berylrock.ops import (
    budget,
    engineset,
    events,
    freshness,
    health,
    norms,
    pacing,
    patience,
    routetable,
    selection,
    staging,
    steps,
)
from berylrock.platform import settings

run_draws = hypothesis.settings(max_examples=100, deadline=None, derandomize=True, database=None)
BOUNDS = routing.Bounds()
COLD = routing.Service("models", "/healthz", 300, 3.0, 18.0, 48, 1000, ())


def make_route(name="r", prefix="/a/", splits=(("s", 1.0),), **more):
    """A route with usual values."""
    pairs = tuple(routing.Split(*item) for item in splits)
    base = routing.Route(
        name, "h", prefix, pairs, "stream", 10.0, 1.0, 3, 0, False, True, ("small", "large"), 1.0
    )
    return base._replace(**more)


def make_engine(name, version="v1", zone="a", revision=1, **more):
    """An engine's entry with usual values."""
    base = routing.Engine(name, "models", ("x", 1), zone, version, 48, False, 0.0, revision)
    return base._replace(**more)


def make_config(routes):
    """A configuration of routes only."""
    return routing.Config(1, tuple(routes), (), (), False, routing.Limits())


def make_states(count, **more):
    """States of engines that know each other's load."""
    return [engineset.EngineState(make_engine(f"e{n}", **more)) for n in range(count)]


def make_pick(key="", tried=frozenset(), now=100.0):
    """What a choice goes by, without bounds."""
    return selection.Pick("a", key, None, 1000, tried, now)


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

    @run_draws
    @hypothesis.given(
        strategies.integers(1, 30), strategies.lists(strategies.floats(0, 3), max_size=200)
    )
    def check(gateways, times):
        share = pacing.share_per_second(COLD, BOUNDS, gateways)
        paces = [pacing.Pace() for _ in range(gateways)]
        sent = []
        for now in sorted(times):
            for pace in paces:
                if pace.allows(pacing.limit_for(share, True), now):
                    pace.note(now)
                    sent.append(now)
        limit = max(18.0 * 1.5 + 5, gateways)
        for begin in sent:
            assert sum(begin <= item < begin + 1.0 for item in sent) <= limit

    check()


@then("over any traffic of several gateways no window holds more repeats than allowed")
def step_budget(context):
    """Each gateway repeats as often as its budget lets it."""

    @run_draws
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
            budgets[index].note_request(now)
            requests.append(now)
            for number, item in enumerate(budgets):
                at, _ = said.get(number, (-1.0, None))
                if now - at >= lag_s:
                    said[number] = (now, item.spent(now, 10.0))
            heard = [item for number, (_, item) in said.items() if number != index]
            others = budget.Spent(sum(i.requests for i in heard), sum(i.repeats for i in heard))
            limits = budget.RepeatLimits(0.9, 10.0, 56, 5, others)
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
    for _ in range(health.LEAST_RESULTS):
        context.health.note_failure(10.0)


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
            item.note_failure(float(number))
        else:
            item.note_answer(0.1)
        assert item.usable(float(number))


@given("an engine whose entry vanishes while the store is away")
def step_lapse(context):
    """The store is lost, then the entry."""
    context.set = engineset.EngineSet()
    context.set.put(make_engine("e1"), 0.0)
    context.set.note_store_lost(10.0)
    context.set.remove("e1", 10.5)


@then("it may still get requests until the store has been back for a while")
def step_lapsed(context):
    """Kept in the outage and a little after."""
    assert context.set.open_to("models")
    context.set.expire(12.0)
    assert context.set.open_to("models")
    context.set.note_store_back(14.0)
    context.set.expire(15.0)
    assert context.set.open_to("models")
    context.set.expire(14.0 + engineset.RETURN_GRACE_S + 0.1)
    assert not context.set.open_to("models")


@then("an engine whose entry vanishes at another time is gone at once")
def step_gone(context):
    """No outage, no grace."""
    found = engineset.EngineSet()
    found.put(make_engine("e1"), 0.0)
    found.remove("e1", 10.0)
    assert not found.open_to("models")


@then("an engine that was draining is gone at once even then")
def step_draining_gone(context):
    """It had said that it leaves."""
    found = engineset.EngineSet()
    found.put(make_engine("e1"), 0.0)
    found.put(make_engine("e1", revision=2, draining=True), 1.0)
    assert not found.open_to("models")
    found.note_store_lost(10.0)
    found.remove("e1", 10.5)
    assert found.find("e1") is None


@given("an engine whose zone is taken out and returns")
def step_zone_returns(context):
    """Out at 5, back at 10."""
    context.set = engineset.EngineSet()
    context.set.put(make_engine("e1", zone="z"), 0.0)
    context.set.set_evacuated(frozenset({"z"}), 5.0)
    assert not context.set.open_to("models")
    context.set.set_evacuated(frozenset(), 10.0)


@then("it is held to be cold for a while")
def step_cold_doubt(context):
    """Cold after the return, warm later."""
    state = context.set.open_to("models")[0]
    assert state.cold_until > 10.0
    assert state.cold_until <= 10.0 + engineset.COLD_DOUBT_S


@given("{count:d} engines with equal load")
def step_engines(context, count):
    """Nothing runs anywhere."""
    context.states = make_states(count)


@then("requests with the same prompt part go to the same engine from every gateway")
def step_affinity(context):
    """Random ties do not matter."""
    for part in range(20):
        pick = make_pick(f"part{part}")
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
        found = selection.choose(context.states, make_pick(f"part{part}"), random.Random(1))
        counts[found.engine.id] = counts.get(found.engine.id, 0) + 1
    assert len(counts) == 5 and max(counts.values()) < 170, counts


@then("a request leaves its part's engine when that holds much more work than the others")
def step_overflow(context):
    """The favourite is loaded until it is passed over."""
    pick = make_pick("part")
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
            item.health.note_answer(1.0 if item.engine.id in context.slow else 0.2)


@then("nearly all requests go to the others")
def step_avoid(context):
    """Simulate requests that end in turn."""
    rng, chosen = random.Random(3), []
    for number in range(300):
        found = selection.choose(context.states, make_pick(now=100.0 + number), rng)
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
        item.health.note_unreachable(100.0)


@then("one of them is still chosen")
def step_still(context):
    """Better a doubtful engine than none."""
    assert selection.choose(context.states, make_pick(), random.Random(1)) is not None


def play_rollout(results, seconds=24.0, per_s=30.0):
    """Play a roll-out; ``results(share, age, n)`` tells whether an answer fails or is slow."""
    rollout = routing.Rollout("models", "v2", seconds, "running", 0, 1)
    trial, usual, stage_at, number, bad = staging.Evidence(), staging.Evidence(), 0.0, 0, 0
    rng = random.Random(5)
    for step in range(int(seconds * 4)):
        age = step / 4
        share = staging.STAGE_SHARES[rollout.stage]
        for _ in range(int(per_s / 4)):
            number += 1
            on_trial = rng.random() < share
            failed, slow = results(on_trial, share, age, number)
            result = staging.Evidence(1, failed, slow)
            if on_trial:
                trial, bad = trial.plus(result), bad + failed + slow
            else:
                usual = usual.plus(staging.Evidence(1, failed, 0))
        verdict = staging.decide(rollout, trial, usual, age, age - stage_at)
        if verdict is not None:
            if verdict.stage != rollout.stage:
                stage_at = age
            rollout = rollout._replace(state=verdict.state, stage=verdict.stage)
        if rollout.state in ("reverted", "completed"):
            return rollout.state, bad, age
    return rollout.state, bad, seconds


BAD = {
    "at once": lambda trial, share, age, n: (int(trial and n % 2 == 0), 0),
    "by being slow": lambda trial, share, age, n: (0, int(trial and n % 2 == 0)),
    "on one route": lambda trial, share, age, n: (int(trial and n % 9 == 0), 0),
    "only under load": lambda trial, share, age, n: (int(trial and share > 0.3 and n % 2 == 0), 0),
    "after a while": lambda trial, share, age, n: (int(trial and age > 14 and n % 2 == 0), 0),
}


@given("a roll-out whose new version is bad {how}")
def step_bad(context, how):
    """Play it."""
    context.state, context.bad, context.age = play_rollout(BAD[how])


@then("it is taken back before {most:d} of its bad answers were seen")
def step_reverted(context, most):
    """In time for the bound of 50."""
    assert context.state == "reverted" and context.bad < most, (context.state, context.bad)


@given("a roll-out whose new version is good while 1 in 20 answers of all versions fails")
def step_good(context):
    """Play it beside failing engines."""
    context.state, context.bad, context.age = play_rollout(lambda t, s, a, n: (int(n % 20 == 0), 0))


@then("it completes before its time is over")
def step_completed(context):
    """Done in time."""
    assert context.state == "completed" and context.age < 24.0, (context.state, context.age)


@then("a session that is under way keeps its version in the first stages")
def step_keeps(context):
    """On either version."""
    for share in staging.STAGE_SHARES[:2]:
        plan = staging.Plan("v1", "v2", share, frozenset())
        for number in range(200):
            for kept in ("v1", "v2"):
                assert staging.plan_version(plan, "models", f"s{number}", kept) == kept


@then("every gateway finds the same version for a new session")
def step_pure(context):
    """Nothing but session and stage decides."""
    plan = staging.Plan("v1", "v2", 0.5, frozenset())
    first = [staging.plan_version(plan, "models", f"s{n}", None) for n in range(100)]
    assert first == [staging.plan_version(plan, "models", f"s{n}", None) for n in range(100)]
    assert 30 < first.count("v2") < 70


@then("shares only grow from stage to stage")
def step_grow(context):
    """Who is on the new version stays there."""
    moved = set()
    for share in staging.STAGE_SHARES:
        plan = staging.Plan("v1", "v2", share, frozenset())
        now = {n for n in range(500) if staging.plan_version(plan, "m", f"s{n}", None) == "v2"}
        assert moved <= now
        moved = now
    assert len(moved) == 500


@then("engines of a version that was taken back or is not ordered get nothing")
def step_forbidden(context):
    """By plan, for each state."""
    engines = [make_engine("a"), make_engine("b"), make_engine("c", version="v2", revision=9)]
    rollout = routing.Rollout("models", "v2", 24.0, "reverted", 1, 1)
    for plan in (
        staging.make_plan(rollout, engines, False),
        staging.make_plan(rollout._replace(state="running"), engines, True),
        staging.make_plan(None, engines, False),
    ):
        chosen = {staging.plan_version(plan, "models", f"s{n}", None) for n in range(100)}
        assert chosen == {"v1"}
    done = staging.make_plan(rollout._replace(state="completed"), engines, False)
    assert staging.plan_version(done, "models", "s", "v1") == "v2"


@then("a trusted answer is passed on and an unsure one is not")
def step_trust(context):
    """By the small model's confidence."""
    step = steps.first_step(make_route(), 3)
    assert step == steps.Step("small", False)
    assert steps.accepts(step, 95, 0.1, 1.0, 2)
    assert not steps.accepts(step, 10, 0.1, 1.0, 2)
    assert steps.accepts(steps.next_step(make_route()), 10, 0.1, 1.0, 1)


@then("an unsure answer is passed on when there is no time for another")
def step_no_time(context):
    """Late in the objective, or with no attempt left."""
    step = steps.first_step(make_route(), 3)
    assert steps.accepts(step, 10, 0.9, 1.0, 2)
    assert steps.accepts(step, 10, 0.1, 1.0, 0)


@then("a request that only one engine may run goes to the largest model")
def step_single(context):
    """No second step would be possible."""
    assert steps.first_step(make_route(), 1) == steps.Step("large", True)
    assert steps.first_step(make_route(models=()), 3) == steps.Step("", True)


@then("an engine that is silent on all connections is left early")
def step_dead(context):
    """Nothing came since the wait began."""
    wait = patience.for_first(2.0)
    assert not patience.is_dead(10.5, 10.0, 9.0, wait)
    assert patience.is_dead(10.01 + wait.dead_s, 10.0, 9.0, wait)


@then("an engine that goes on with other answers is left only late")
def step_alive(context):
    """Something came a moment ago."""
    wait = patience.for_first(2.0)
    assert not patience.is_dead(10.0 + wait.dead_s, 10.0, 10.0 + wait.dead_s - 0.1, wait)
    assert patience.is_dead(10.01 + wait.slow_s, 10.0, 10.0 + wait.slow_s, wait)


@then("answers of 8 times the usual length are slow and those of twice are not")
def step_norms(context):
    """First parts and gaps between events."""
    found = norms.Norms()
    for _ in range(20):
        found.note("r", "m", norms.Timing(0.2, 0.02))
    assert found.is_slow("r", "m", norms.Timing(1.6, 0.02))
    assert found.is_slow("r", "m", norms.Timing(0.2, 0.16))
    assert not found.is_slow("r", "m", norms.Timing(0.4, 0.04))
    assert not found.is_slow("other", "m", norms.Timing(9.0, 9.0))


@then("nothing is slow before there are enough answers to know")
def step_few(context):
    """Two answers are no norm."""
    found = norms.Norms()
    found.note("r", "m", norms.Timing(0.2, 0.02))
    found.note("r", "m", norms.Timing(0.2, 0.02))
    assert not found.is_slow("r", "m", norms.Timing(9.0, 9.0))


@then("any cutting of a stream gives the same whole events")
def step_split_events(context):
    """Both kinds of line ends, cut anywhere."""

    @run_draws
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 40), max_size=30), strategies.booleans()
    )
    def check(sizes, carriage):
        end = "\r\n" if carriage else "\n"
        whole = "".join(f"id: {n}{end}data: text {n}{end}{end}" for n in range(1, 9)).encode()
        splitter, found, at = events.EventSplitter(), [], 0
        for size in [*sizes, len(whole)]:
            found += splitter.feed(whole[at : at + size])
            at += size
        assert [item.id for item in found] == list(range(1, 9))
        assert b"".join(item.data for item in found) == whole and not splitter.rest

    check()


@then("events that the caller has are not passed on again")
def step_once(context):
    """A resumed run may begin too early."""
    sequence = events.Sequence(None)
    first = [sequence.accepts(events.Event(b"", n)) for n in (1, 2, 3)]
    again = [sequence.accepts(events.Event(b"", n)) for n in (2, 3, 4)]
    assert first == [True] * 3 and again == [False, False, True]


@then("a missing event is noticed")
def step_gap(context):
    """Only right after the last one is no gap."""
    sequence = events.Sequence(3)
    assert sequence.has_gap(events.Event(b"", 5))
    assert not sequence.has_gap(events.Event(b"", 4))


@given("a log whose reader takes nothing")
def step_log(context):
    """A pipe that nobody reads."""
    context.reader, context.writer = os.pipe()
    context.handler = boundedlog.BoundedHandler(context.writer, lines_per_s=1000.0)
    context.cleanups += [lambda: os.close(context.reader), lambda: os.close(context.writer)]


@then("{count:d} lines are written in a moment and the dropped ones are counted")
def step_many_lines(context, count):
    """Far more than the pipe holds."""
    begun = time.monotonic()
    for number in range(count):
        context.handler.emit(
            logging.makeLogRecord({"msg": f"event=x number={number} " + "y" * 200})
        )
    assert time.monotonic() - begun < 5.0
    assert context.handler.dropped > count / 2


@when("its reader takes lines again")
def step_reader(context):
    """Empty the pipe between lines."""
    os.set_blocking(context.reader, False)
    context.lines = b""
    until = time.monotonic() + 5.0
    while b"log_dropped" not in context.lines and time.monotonic() < until:
        time.sleep(0.005)
        context.handler.emit(logging.makeLogRecord({"msg": "event=later"}))
        try:
            context.lines += os.read(context.reader, 1_000_000)
        except BlockingIOError:
            continue


@then("a line tells how many were dropped")
def step_dropped(context):
    """The count is in the log."""
    assert b"event=log_dropped lines=" in context.lines


@given("platform settings without a store address and with a bad port")
def step_bad_settings(context):
    """Two faults in one file."""
    path = context.root / "boot.toml"
    path.write_text(
        'node-name = "n"\nzone = "z"\nip = "1.2.3.4"\n[listen]\nfrontend = "1.2.3.4"\n'
        'readiness = "1.2.3.4:5"\n[platform]\n'
    )
    try:
        settings.load(str(path))
    except errors.SettingsError as exc:
        context.error = str(exc)


@then("the error names both and how to mend them")
def step_both(context):
    """One line each."""
    assert "platform.address: missing; set it" in context.error
    assert "listen.frontend: write it as IP:PORT" in context.error


@then("knowledge is as old as the call that confirmed it")
def step_age(context):
    """Not as the answer to it."""
    found = freshness.Freshness()
    assert found.age(5.0) == float("inf")
    found.note(10.0)
    assert found.age(12.0) == 2.0
    found.note(9.0)
    assert found.age(12.0) == 2.0


@then("a watch that saw nothing for its whole time confirms less than that time")
def step_quiet(context):
    """Less the time for which watches may hear nothing."""
    found = freshness.Freshness()
    found.note(10.0, 3.0)
    assert found.age(13.0) == freshness.DEAF_S
