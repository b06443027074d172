"""Steps on copies of earlier answers on connections to engines."""

import time

from behave import given, then, when
from support.platform import copyingengine, fleet, scenario

# Pause between orders, after which an engine that has refused one may get the next.
ORDER_PAUSE_S = 0.18
ID_HEADER = "x-berylrock-attempt-id"
ENGINES = {
    "a copy of a refusal": {"first": copyingengine.make_refusal(503)},
    "two copies of a refusal": {"first": copyingengine.make_refusal(503), "copies": 2},
    "a copy of an answer": {"first": copyingengine.make_success(body=b"old"), "refuses": False},
    "a copy of an answer in chunks": {
        "first": copyingengine.make_success(chunked=True, body=b"old"),
        "refuses": False,
    },
    "a copy of an answer with no body": {
        "first": copyingengine.make_success(status=204, body=b""),
        "refuses": False,
    },
    "ten copies of a refusal": {"first": copyingengine.make_refusal(503), "copies": 10},
    "a long copy of an answer": {
        "first": copyingengine.make_success(body=b"x" * 100_000),
        "refuses": False,
    },
    "a copy without a length": {
        "first": copyingengine.make_refusal(503),
        "copy": copyingengine.make_refusal(503).replace(b"Content-Length: 0\r\n", b""),
    },
}


def start(context, engine, ids):
    """Start a gateway with a copying engine of the gateway's zone, and one in another zone."""
    scenario.start_gateway(context, plain=0, models=1)
    running = context.gateway
    context.copying = engine
    running.thread.run(engine.start())
    for engine_id in ids:
        entry = fleet.make_entry("plain", f"127.0.0.1:{engine.port}")
        running.put("servers", engine_id, entry)
    other = running.add_engine("plain-other", "plain", zone="giarre-d")
    # As slow as the one that copies, which is otherwise taken for slow and gets less.
    other.response_delay_s = copyingengine.ANSWER_DELAY_S
    known = [f"engine={engine_id} what=added" for engine_id in (*ids, "plain-other")]
    running.wait(lambda: all(item in running.log() for item in known), "the engines are known")


@given(
    "a gateway and a process that is known under two ids, refuses each order once with {status:d},"
    " and copies that"
)
def step_two_ids(context, status):
    """Start them; the process at the address takes itself for either engine."""
    engine = copyingengine.CopyingEngine(copyingengine.make_refusal(status), by_id=True)
    start(context, engine, ("plain-copy-1", "plain-copy-2"))


@given("a gateway and a plain engine that writes {copies} before an answer")
def step_copies(context, copies):
    """Start them."""
    start(context, copyingengine.CopyingEngine(**ENGINES[copies]), ("plain-copy",))


@when("{count:d} orders are sent, each after the answer to the one before")
def step_orders(context, count):
    """Send them with a pause between them."""
    context.answers = []
    for _ in range(count):
        context.answers.append(context.gateway.send("POST", "/order/a", body=b"one lorry"))
        time.sleep(ORDER_PAUSE_S)


def check_once(context):
    """Check that no order has begun twice."""
    began = [item.decode() for item in context.copying.runs]
    began += [run.headers[ID_HEADER] for run in context.gateway.runs("plain")]
    twice = sorted({item for item in began if began.count(item) > 1})
    assert not twice, f"{len(twice)} of {len(context.answers)} began twice: {twice}"


@then("no order begins at two engines, and each has an answer of {status:d}")
def step_once(context, status):
    """Check the answers, and what the engines have begun to run."""
    check_answered(context, {status})


@then("no order begins at two engines, and each has an answer of 200 or 204")
def step_success(context):
    """Check the same where some answers have no body."""
    check_answered(context, {200, 204})


def check_answered(context, allowed):
    """Check that no order has begun twice, and that each has an answer of its own."""
    check_once(context)
    statuses = [item.status for item in context.answers]
    assert set(statuses) <= allowed, statuses
    ids = [item.headers[ID_HEADER] for item in context.answers]
    assert len(set(ids)) == len(ids), "an answer names another request"


@then("no order begins at two engines, and each that met a copy has an answer of {status:d}")
def step_failed(context, status):
    """Check the answers; the gateway's own name their requests too."""
    check_once(context)
    met = [item.decode() for item in context.copying.met]
    statuses = {item.headers[ID_HEADER]: item.status for item in context.answers}
    assert all(statuses[item] == status for item in met), (met, statuses)


@then("at least {count:d} of them met a copy")
def step_met(context, count):
    """Check that the scenario has shown what it is about."""
    assert len(context.copying.met) >= count, context.copying.met
