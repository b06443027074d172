"""Steps on copies of earlier answers on connections to engines."""

import time

from behave import given, then, when
from support.platform import copyingengine, fleet, scenario

# Pause between orders, after which an engine that has refused one may get the next.
ORDER_PAUSE_S = 0.18
# Longer than the time for which a request may run at two engines.
LONG_RUN_S = 0.8
# Longest time in which an order that no engine can take is refused.
AT_ONCE_S = 0.1
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
    "a copy that does not end": {
        "first": copyingengine.make_success(),
        "refuses": False,
        "copy": copyingengine.make_success(chunked=True).partition(b"4\r\n")[0],
        "drips": True,
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


@given(
    "a gateway and a process that is known under two ids, runs reads for long, and copies their"
    " refusals before"
)
def step_long_reads(context):
    """Start them."""
    refusal = copyingengine.make_refusal(503)
    engine = copyingengine.CopyingEngine(refusal, by_id=True, run_s=LONG_RUN_S)
    start(context, engine, ("plain-copy-1", "plain-copy-2"))


@given("a gateway whose only plain engine has started again under a new id")
def step_restarted(context):
    """Start an engine, and write the entry that it had under its old id."""
    scenario.start_gateway(context, plain=1, models=1)
    running = context.gateway
    (engine,) = scenario.plain_engines(context)
    entry = fleet.make_entry("plain", f"127.0.0.1:{engine.port}")
    running.put("servers", "plain-old", entry)
    running.wait(lambda: "engine=plain-old what=added" in running.log(), "the entry is known")


@when("{count:d} reads are sent, each after the answer to the one before")
def step_reads(context, count):
    """Send them with a pause between them."""
    context.answers = []
    for _ in range(count):
        context.answers.append(context.gateway.send("GET", "/read/a"))
        time.sleep(ORDER_PAUSE_S)


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


def read_times(context, outcome=""):
    """Return how long the requests with an outcome took, in milliseconds, from the log."""
    lines = [line for line in context.gateway.log().splitlines() if "event=request_done" in line]
    return [int(line.partition("took_ms=")[2].split()[0]) for line in lines if outcome in line]


@then("each has an answer of {status:d}, and no run that was given up goes on for {seconds:g} s")
def step_no_overlap(context, status, seconds):
    """Check the answers, and how long the runs went on whose refusals were copied."""
    statuses = [item.status for item in context.answers]
    assert statuses == [status] * len(context.answers), statuses
    assert context.copying.ran_s, "no read met a copy"
    assert max(context.copying.ran_s) < seconds, context.copying.ran_s


@then("at most {most:d} of them are refused, at once, and the others have an answer of {status:d}")
def step_few_refused(context, most, status):
    """Check the answers, and when the refused ones came."""
    refused = [item for item in context.answers if item.status == 503]
    assert len(refused) <= most, [item.status for item in context.answers]
    assert all(item.status in (status, 503) for item in context.answers), context.answers
    took_ms = read_times(context, 'outcome="503')
    assert len(took_ms) == len(refused) and max(took_ms, default=0) < AT_ONCE_S * 1000, took_ms


@then("each has an answer of {status:d} within its target of {seconds:g} s")
def step_in_time(context, status, seconds):
    """Check the answers, and the times that the gateway has logged."""
    statuses = [item.status for item in context.answers]
    assert statuses == [status] * len(context.answers), statuses
    took_ms = read_times(context)
    assert max(took_ms) < seconds * 1000, took_ms
