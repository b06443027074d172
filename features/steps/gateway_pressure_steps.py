"""Steps on who goes first, and who may ask a larger model, while engines are busy."""

import math

from behave import given, then, when
from support import gateway_data
from support.platform import fleet, scenario

from berylrock.ops import loadreport, loadview, pressure, ranks, routetable

USUAL, TARGET_S = 58.0, 2.0
PRIORITIES = (0, 1, 2)
SECONDS_PER_WORK = 2e-5
KEY = ("models", "v1")
URGENT_KEY, OTHER_KEY = "key-urgent", "key-other"
PRIORITY_HEADER = "x-berylrock-request-priority"


def needed(wait_s, priority, target_s=TARGET_S):
    """Return the confidence that is needed after this wait."""
    return pressure.needed_confidence(USUAL, wait_s, target_s, priority)


@then("the least urgent requests stop to ask larger models first, and the most urgent ones last")
def step_order(context):
    """Compare the priorities at each wait."""
    waits = [number * 0.01 for number in range(800)]
    for wait_s in waits:
        found = [needed(wait_s, priority) for priority in PRIORITIES]
        assert found == sorted(found, reverse=True), (wait_s, found)
    ends = [next(wait_s for wait_s in waits if not needed(wait_s, item)) for item in PRIORITIES]
    assert ends[0] > ends[1] > ends[2] and ends[0] <= 3.0 * TARGET_S, ends


@then("answers that are surely wrong are made again the longest")
def step_longest(context):
    """Compare the waits up to which answers of a confidence are made again."""
    waits = [number * 0.01 for number in range(800)]
    for priority in PRIORITIES:
        ends = [
            next(wait_s for wait_s in waits if needed(wait_s, priority) <= confidence)
            for confidence in (pressure.SURELY_WRONG - 10.0, pressure.SURELY_WRONG, USUAL - 1.0)
        ]
        assert ends[0] > ends[1] > ends[2], (priority, ends)


@then("no request is ever surer to be asked again than while engines are idle")
def step_at_most_usual(context):
    """Check the range, also for odd values."""
    for wait_s in (0.0, 1e-9, 0.3, 5.0, 1e9, math.inf):
        for priority in (-3, 0, 1, 2, 7, 10**9):
            for target_s in (0.0, 0.001, 2.0):
                assert 0.0 <= needed(wait_s, priority, target_s) <= USUAL


@then("while engines are idle all kinds of requests ask larger models alike")
def step_idle(context):
    """Nobody yields to nobody."""
    assert {needed(0.0, priority) for priority in PRIORITIES} == {USUAL}


@given(
    "{count:d} engines with {seconds:g} s of prompts before them in all, seen by gateways in parts"
)
def step_burst(context, count, seconds):
    """Let this gateway have sent a quarter of them, and two others the rest."""
    context.states, context.view = gateway_data.make_states(count), loadview.LoadView()
    work = seconds / SECONDS_PER_WORK / count
    for state in context.states:
        state.begin(0.25 * work, 0.0)
    for name, share in (("g2", 0.5), ("g3", 0.25)):
        loads = [
            loadreport.EngineLoad(loadreport.engine_key(item.engine.id), 3, share * work)
            for item in context.states
        ]
        context.view.record(name, tuple(loads), {}, 10.0)
    context.wait_s = pressure.WaitGauge().measure(
        KEY, context.states, context.view, SECONDS_PER_WORK, 10.1
    )
    assert abs(context.wait_s - seconds / count) < 0.01, context.wait_s


@then(
    "requests of priority {priority:d} with a target of {seconds:g} s keep all first answers but"
    " those surely wrong"
)
def step_smallest(context, priority, seconds):
    """They leave the engines to others for all that may be right."""
    assert 0.0 < needed(context.wait_s, priority, seconds) <= pressure.SURELY_WRONG


@then(
    "requests of priority {priority:d} with a target of {seconds:g} s ask a larger model as usual"
)
def step_as_usual(context, priority, seconds):
    """They go first."""
    assert needed(context.wait_s, priority, seconds) == USUAL


@given("routes with targets of 1, 2 and 3 s at one service, and a plain one with 9 s")
def step_targets(context):
    """Make a table of them."""
    routes = [
        gateway_data.make_route(f"r{n}", f"/{n}/", (("models", 1.0),), latency_target_s=float(n))
        for n in (1, 3, 2)
    ]
    plain = gateway_data.make_route("p", "/p/", (("models", 1.0),), latency_target_s=9.0)
    config = gateway_data.make_config([*routes, plain._replace(kind="idempotent")])
    context.routes = routetable.RouteTable(config)


@then("waits are compared with the longest target of the service's streams")
def step_longest_target(context):
    """Look it up, also for a service without any."""
    assert context.routes.longest_target_s("models") == 3.0
    assert context.routes.longest_target_s("other") == 0.0


@then("the wait is computed at most {most:d} times a second, whatever the number of requests")
def step_computed(context, most):
    """Count the look-ups of the other gateways' loads over a second with 900 requests."""
    states, view, gauge = gateway_data.make_states(100), loadview.LoadView(), pressure.WaitGauge()
    looks = []

    class Counted:
        def peer_load(self, engine_id, now):
            looks.append(engine_id)
            return view.peer_load(engine_id, now)

    for number in range(900):
        gauge.measure(KEY, states, Counted(), SECONDS_PER_WORK, 50.0 + number / 900.0)
    assert len(looks) <= most * len(states), len(looks)
    assert set(gauge.latest()) == {KEY}


@then("an organisation's priority goes before its route's, and the route's decides between equals")
def step_rank(context):
    """Order all pairs."""
    pairs = [(organisation, route) for organisation in range(3) for route in range(3)]
    found = [ranks.find_rank(route, organisation) for organisation, route in pairs]
    assert found == sorted(found) and len(set(found)) == len(found)
    alone = [ranks.find_rank(route, None) for route in range(3)]
    assert alone == sorted(set(alone)) and max(*found, *alone) < ranks.LAST_RANK


@then("priorities out of range count as the nearest one in range")
def step_out_of_range(context):
    """Check large and negative ones."""
    assert ranks.find_rank(99, 99) == ranks.find_rank(2, 2)
    assert ranks.find_rank(-1, -7) == ranks.find_rank(0, 0)


@given("a configuration with routes and organisations of different priorities")
def step_ranked(context):
    """Start a gateway with two organisations."""
    scenario.start_gateway(context)
    config = fleet.make_config(2, keys=())
    for number, route in enumerate(config["routes"]):
        route["priority"] = number
    config["tenants"] = [
        {"name": "urgent", "api-keys": [URGENT_KEY], "priority": 0},
        {"name": "other", "api-keys": [OTHER_KEY], "priority": 1},
    ]
    context.gateway.put("config", "main", config)
    context.gateway.wait(
        lambda: "config_in_force version=2" in context.gateway.log(),
        "the configuration is in force",
    )


@when("an urgent and a less urgent organisation ask for streams that claim to be the most urgent")
def step_ask(context):
    """Send the header that only the system may set."""
    context.ranks = {}
    for key in (OTHER_KEY, URGENT_KEY):
        before = len(context.gateway.runs("models"))
        headers = [*fleet.CHAT_HEADERS, ("X-Berylrock-Request-Priority", "0")]
        answer = context.gateway.send("POST", "/chat/a", key=key, headers=headers, body=b"p")
        assert answer.status == 200, answer
        runs = context.gateway.runs("models")[before:]
        context.ranks[key] = {run.headers.get(PRIORITY_HEADER) for run in runs}


@then("the engine got the rank of each, the urgent organisation's lower")
def step_got_ranks(context):
    """Compare the headers that arrived."""
    (urgent,), (other,) = context.ranks[URGENT_KEY], context.ranks[OTHER_KEY]
    assert 0 < int(urgent) < int(other), context.ranks


@when("a stream is asked for")
def step_one_stream(context):
    """Send one request."""
    assert context.gateway.send_chat().status == 200


@then("the engine got no rank")
def step_no_rank(context):
    """Check the header."""
    assert all(PRIORITY_HEADER not in run.headers for run in context.gateway.runs("models"))
