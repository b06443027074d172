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
    "a copy that asks for a pause and says that it leaves": {
        "first": copyingengine.make_refusal(503),
        "copy": copyingengine.make_refusal(503, b"Retry-After: 30\r\nServer-Leaving: 1\r\n"),
    },
    "a long copy of an answer": {
        "first": copyingengine.make_success(body=b"x" * 100_000),
        "refuses": False,
    },
    "a copy without a length": {
        "first": copyingengine.make_refusal(503),
        "copy": copyingengine.make_refusal(503).replace(b"Content-Length: 0\r\n", b""),
    },
}

STREAMS = {
    "a copy of a refusal": {"first": copyingengine.make_refusal(503)},
    "a copy of an earlier stream": {"first": copyingengine.make_stream(), "refuses": False},
    "two copies of an earlier stream": {
        "first": copyingengine.make_stream(),
        "refuses": False,
        "copies": 2,
    },
}
LATE_S = {"together with it": 0.0, "later on the idle connection": 0.03}
CHAT_HEADERS = (("X-Berylrock-Model", "*"), ("X-Berylrock-Token-Usage", "100,20"))
# Time that an engine takes for a read, in which a second run elsewhere would be one too many.
READ_S = 0.3
# Time after which a run that the gateway has given up must have ended.
GIVEN_UP_S = 0.4


def start(context, engine, ids, service="plain"):
    """Start a gateway with a copying engine of the gateway's zone, and one in another zone."""
    scenario.start_gateway(context, plain=int(service != "plain"), models=int(service == "plain"))
    running = context.gateway
    context.copying, context.service = engine, service
    running.thread.run(engine.start())
    for engine_id in ids:
        entry = fleet.make_entry(service, f"127.0.0.1:{engine.port}")
        running.put("servers", engine_id, entry)
    context.other = running.add_engine(f"{service}-other", service, zone="giarre-d")
    # As slow as the one that copies, which is otherwise taken for slow and gets less.
    context.other.response_delay_s = copyingengine.ANSWER_DELAY_S
    known = [f"engine={engine_id} what=added" for engine_id in (*ids, f"{service}-other")]
    running.wait(lambda: all(item in running.log() for item in known), "the engines are known")


@given(
    "a gateway and a process that is known under two ids, refuses each order once with {status:d},"
    " and copies that"
)
def step_two_ids(context, status):
    """Start them; the process at the address takes itself for either engine."""
    refusal = copyingengine.make_refusal(status)
    engine = copyingengine.CopyingEngine(refusal, by_id=True, is_proxied=True)
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
    engine = copyingengine.CopyingEngine(
        refusal, by_id=True, is_proxied=True, answer_delay_s=LONG_RUN_S
    )
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


@when("{count:d} orders are sent, each after the answer to the one before")
def step_orders(context, count):
    """Send them with a pause between them."""
    context.answers = []
    send_orders(context, count, lambda: None)


def send_orders(context, count, look):
    """Send orders, and call ``look`` after the pause behind each."""
    for _ in range(count):
        context.answers.append(context.gateway.send("POST", "/order/a", body=b"one lorry"))
        time.sleep(ORDER_PAUSE_S)
        look()


@when("{count:d} orders are sent, with a look at the engine's connections after each")
def step_orders_and_looks(context, count):
    """Keep how many connections were open on which nothing had been asked."""
    context.answers, context.unasked = [], []
    send_orders(context, count, lambda: context.unasked.append(len(context.copying.unasked)))


def check_once(context):
    """Check that no order has begun twice."""
    began = [item.decode() for item in context.copying.runs]
    began += [run.headers[ID_HEADER] for run in context.other.runs]
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


@then("the gateway has not looked whether the engine has crashed")
def step_no_look(context):
    """Check the connections that were open without a request."""
    assert not any(context.unasked), context.unasked


@then("no order came to the process twice")
def step_came_once(context):
    """Check what arrived; a proxy may copy a refusal to any connection to its address."""
    arrived = context.copying.arrived
    assert arrived and len(set(arrived)) == len(arrived), arrived


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


@given("a gateway and a model engine that writes {copies} before a stream")
def step_copies_before_stream(context, copies):
    """Start them."""
    engine = copyingengine.CopyingEngine(answer=copyingengine.make_stream(), **STREAMS[copies])
    start(context, engine, ("models-copy",), "models")


@when("{count:d} streams are asked for, each after the end of the one before")
def step_streams(context, count):
    """Ask for them with a pause between them."""
    context.answers = []
    for _ in range(count):
        context.answers.append(
            context.gateway.send("POST", "/chat/a", headers=CHAT_HEADERS, body=b"prompt")
        )
        time.sleep(ORDER_PAUSE_S)


@then("no stream begins at two engines, and each is whole, in order and its own")
def step_whole_streams(context):
    """Check the events; those of the copying engine name their request."""
    check_once(context)
    ids = [item.headers.get(ID_HEADER) for item in context.answers]
    assert len(set(ids)) == len(ids) and None not in ids, ids
    for item in context.answers:
        assert item.status == 200 and item.whole, item
        assert item.event_ids == list(range(1, copyingengine.EVENTS + 1)), item
        own = item.headers[ID_HEADER]
        if own.encode() in context.copying.runs:
            assert item.body.count(own.encode()) == copyingengine.EVENTS, item


@given("a gateway and a plain engine that copies its answers {when}")
def step_late_copies(context, when):
    """Start them; each connection's first answer is copied."""
    engine = copyingengine.CopyingEngine(
        copyingengine.make_success(), refuses=False, late_s=LATE_S[when]
    )
    start(context, engine, ("plain-copy",))


@then("the gateway does not take the engine to leave or to want a pause")
def step_no_news(context):
    """Check the gateway's log."""
    log = context.gateway.log()
    assert "event=engine_paused" not in log and "event=engine_leaving" not in log, log


@given(
    "a gateway and a process that is known under two ids, refuses each read once, and copies that"
)
def step_two_ids_read(context):
    """Start them; the process takes its time for a read."""
    engine = copyingengine.CopyingEngine(
        copyingengine.make_refusal(503), by_id=True, answer_delay_s=READ_S
    )
    start(context, engine, ("plain-copy-1", "plain-copy-2"))


@given("a gateway and an engine that refuses each read once for a pause, and copies that")
def step_pausing_reads(context):
    """Start them; the other engine wants a longer pause."""
    refusal = copyingengine.make_refusal(503, b"Retry-After: 0.3\r\n")
    engine = copyingengine.CopyingEngine(refusal, by_id=True, answer_delay_s=READ_S)
    start(context, engine, ("plain-copy",))
    context.other.pause_s = 60.0


@given("a gateway and an engine that writes a copy before each second answer, and none for long")
def step_silent_reads(context):
    """Start them; the engine is silent for longer than a read may take."""
    engine = copyingengine.CopyingEngine(copyingengine.make_refusal(503), answer_delay_s=20.0)
    start(context, engine, ("plain-copy",))


@when("{count:d} reads are sent, each after the answer to the one before")
def step_reads(context, count):
    """Send them with a pause between them."""
    context.answers = []
    for _ in range(count):
        context.answers.append(context.gateway.send())
        time.sleep(ORDER_PAUSE_S)


@then("each read has an answer of 200, and runs at one engine alone")
def step_reads_once(context):
    """Check the answers and the runs; none was given up, and some came again."""
    check_answered(context, {200})
    arrived = context.copying.arrived
    assert len(arrived) >= len(set(arrived)) + 2, arrived
    assert not context.copying.given_up, context.copying.given_up


@then("each read has an answer of 200, and its first engine has learned that it goes on elsewhere")
def step_given_up(context):
    """Check that the silent engine's connections were closed about when the other one began."""
    assert [item.status for item in context.answers] == [200] * len(context.answers)
    began = {run.headers[ID_HEADER]: run.started_at for run in context.other.runs}
    for item in context.copying.met:
        closed_at = context.copying.given_up.get(item)
        assert closed_at is not None, (item, "was not given up")
        assert closed_at - began[item.decode()] < GIVEN_UP_S, (closed_at, began)
