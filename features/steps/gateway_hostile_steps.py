"""Steps on engines and a store that send bytes which are no answer."""

import asyncio
import pathlib
import resource
import time

from behave import given, then, when
from support.platform import fleet, rawengine, scenario

JUNK = b"x" * 4096
HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Berylrock-Attempt-Id: {id}\r\nX-Berylrock-Response-Signature: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
)
ERROR_HEAD = b"HTTP/1.1 500 Oops\r\nX-Berylrock-Attempt-Id: {id}\r\n"
STREAM = HEAD + b"\r\n"
FIRST_EVENT = b"15\r\nid: 1\ndata: small 1\n\n\r\n"
ENDLESS = {
    "head": rawengine.Script(HEAD + b"X-Long: ", JUNK),
    "informational responses": rawengine.Script(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20),
    "chunk size": rawengine.Script(STREAM, b"0" * 4096),
    "chunk extension": rawengine.Script(STREAM + b"5;", JUNK),
    "event": rawengine.Script(STREAM, b"1000\r\n" + JUNK + b"\r\n"),
    "body of an error": rawengine.Script(ERROR_HEAD + b"\r\n", JUNK),
}
TRICKLE_PAUSE_S = 0.1
TRICKLES = {
    "single bytes": rawengine.Script(STREAM + FIRST_EVENT, b"1\r\ni\r\n", TRICKLE_PAUSE_S),
    "comment lines": rawengine.Script(STREAM + FIRST_EVENT, b"3\r\n:\n\n\r\n", TRICKLE_PAUSE_S),
    "empty events": rawengine.Script(STREAM + FIRST_EVENT, b"2\r\n\n\n\r\n", TRICKLE_PAUSE_S),
}


def read_memory(context):
    """Return the resident memory of the gateway, in bytes."""
    text = pathlib.Path(f"/proc/{context.gateway.process.pid}/statm").read_text()
    return int(text.split()[1]) * resource.getpagesize()


def start_with_raw_engine(context, script):
    """Start a gateway with one scripted engine of the models and one that answers correctly."""
    scenario.start_gateway(context, models=1)
    running = context.gateway
    context.raw = rawengine.RawEngine(script)
    running.thread.run(context.raw.start())
    entry = fleet.make_entry("models", f"127.0.0.1:{context.raw.port}")
    running.put("servers", "models-raw", entry)
    running.wait(lambda: "engine=models-raw" in running.log(), "the gateway knows the engine")
    context.memory = read_memory(context)


@given('a gateway and an engine of the models that sends "{part}" without end')
def step_endless(context, part):
    """Start them."""
    start_with_raw_engine(context, ENDLESS[part])


ENDLESS_SUCCESS = rawengine.Script(
    b"HTTP/1.1 200 OK\r\nX-Berylrock-Attempt-Id: {id}\r\nX-Berylrock-Response-Signature: s\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    b"10000\r\n" + b"x" * 65_536 + b"\r\n",
    0.02,
)


@given("a gateway with {count:d} sound plain engines and one whose successes never end")
def step_endless_success(context, count):
    """Start a gateway whose sound engines also serve the orders; the endless one gets none."""
    scenario.start_gateway(context, plain=count, models=1)
    running = context.gateway
    config = fleet.make_config(2)
    route = fleet.make_route("order", "/order/", "non_idempotent", "orders")
    config["routes"] = [item for item in config["routes"] if item["name"] != "order"] + [route]
    config["backends"].append(config["backends"][0] | {"name": "orders"})
    running.put("config", "main", config)
    for number in range(count):
        running.add_engine(f"orders-{number}", "orders")
    context.raw = rawengine.RawEngine(ENDLESS_SUCCESS)
    running.thread.run(context.raw.start())
    entry = fleet.make_entry("plain", f"127.0.0.1:{context.raw.port}")
    running.put("servers", "plain-raw", entry)
    running.wait(lambda: "engine=plain-raw" in running.log(), "the gateway knows the engine")
    running.wait(lambda: running.send("POST", "/order/a", body=b"x").status == 200, "orders go")
    context.memory = read_memory(context)


@when("{rate:d} reads a second are sent for {seconds:g} s, and orders to the sound engines besides")
def step_send_rate(context, rate, seconds):
    """Send them at even pauses, an order after every tenth read."""
    running = context.gateway

    async def send_all():
        reads, orders, begun = [], [], time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, begun + number / rate - time.monotonic()))
            reads.append(asyncio.create_task(running.send_async()))
            if number % 10 == 0:
                order = running.send_async("POST", "/order/a", body=b"x")
                orders.append(asyncio.create_task(order))
        return await asyncio.gather(*reads), await asyncio.gather(*orders)

    context.reads, context.orders = running.thread.run(send_all(), seconds + 30.0)


@then("every read is answered by a sound engine, and every order too")
def step_all_sound(context):
    """Check the answers."""
    for item in [*context.reads, *context.orders]:
        assert item.status == 200 and item.whole, (item, context.gateway.log()[-3000:])


@then("the endless engine was asked, and the memory of the gateway grew by less than {limit:d} MB")
def step_endless_asked(context, limit):
    """Check that the scenario played what it says."""
    assert context.raw.requests > 1, context.raw.requests
    step_memory(context, limit)


@given('a gateway and an engine of the models that sends "{part}" now and then')
def step_trickle(context, part):
    """Start them; the other engine is in another zone, so the scripted one is chosen first."""
    start_with_raw_engine(context, TRICKLES[part])
    context.gateway.add_engine("models-0", "models", zone="giarre-d")
    time.sleep(0.4)


@given("a gateway whose engines pause {seconds:g} s between the events of a stream")
def step_slow_engines(context, seconds):
    """Start a gateway with two engines."""
    scenario.start_gateway(context)
    for item in scenario.model_engines(context):
        item.event_interval_s, item.event_count = seconds, 4


@given("a gateway with one engine of each service")
def step_one_engine_each(context):
    """Start a gateway that cannot retry on another engine."""
    scenario.start_gateway(context, plain=1, models=1)


@given("a gateway with three engines of the models")
def step_three_model_engines(context):
    """Start a gateway that can resume a stream twice."""
    scenario.start_gateway(context, models=3)


@given('the next answers of a plain engine have the faults "{faults}"')
def step_plain_faults(context, faults):
    """Apply each fault once."""
    shared = faults.split("; ")
    for item in scenario.plain_engines(context):
        item.faults = shared


@given('the first chats are answered with the faults "{faults}"')
def step_chat_faults(context, faults):
    """Apply each fault once; where no gateway was started, start one with two model engines."""
    if getattr(context, "gateway", None) is None:
        scenario.start_gateway(context)
    shared = faults.split("; ")
    for item in scenario.model_engines(context):
        item.faults = shared


@when("{count:d} reads are sent on connections that the gateway keeps")
def step_send_kept(context, count):
    """Send reads one right after the other."""
    context.results = [context.gateway.send(path=f"/read/{number}") for number in range(count)]


@then("the first one is refused as not run, and the second one ends with {status:d}")
def step_second_not_refused(context, status):
    """Check the statuses; the engine ran the second read only."""
    assert len(context.gateway.runs("plain")) == 1
    assert context.results[0].status == 503, context.results
    assert context.results[1].status == status, context.results


@then("the stream has events of the models and nothing else")
def step_only_events(context):
    """Check the text of the stream: each line is an id, a model's data, or empty."""
    for line in context.result.body.decode().splitlines():
        assert line == "" or line.startswith(("id: ", "data: small ", "data: large ")), line


@when("{count:d} chats are sent at the same time")
def step_send_chats(context, count):
    """Send the chats on connections of their own."""
    running = context.gateway

    async def send_all():
        headers = [("X-Berylrock-Model", "*"), ("X-Berylrock-Deadline-Ms", "9000")]
        calls = [
            running.send_async("POST", "/chat/a", headers=headers, body=b"hello")
            for _ in range(count)
        ]
        return await asyncio.gather(*calls)

    context.begun = time.monotonic()
    context.results = running.thread.run(send_all())
    context.took_s = time.monotonic() - context.begun


@then("each chat got its complete answer")
def step_complete(context):
    """Check the status, the end and the order of the events of each answer."""
    for item in context.results:
        assert (item.status, item.whole) == (200, True), item
        assert item.event_ids == list(range(1, len(item.event_ids) + 1)), item
        assert len(item.event_ids) >= 4, item


@then("the engine was asked, and all its connections were closed")
def step_closed(context):
    """Wait until the gateway has closed what it opened."""
    raw = context.raw
    assert raw.requests
    context.gateway.wait(lambda: raw.closed >= raw.requests, "the connections are closed")


@then("the memory of the gateway grew by less than {limit:d} MB")
def step_memory(context, limit):
    """Compare the resident memory with that before the chats."""
    grown = read_memory(context) - context.memory
    assert grown < limit * 1_048_576, grown


@then("the chat was answered within {seconds:g} s")
def step_in_time(context, seconds):
    """Check the time of the whole answer: the slowest bound on a pause, and the rest."""
    assert context.raw.requests == 1
    assert context.took_s < seconds, context.took_s


@then("only one engine was asked")
def step_one_engine(context):
    """Check that the stream was not moved."""
    assert len(context.gateway.runs("models")) == 1


@when("the store answers the next calls with bytes without end")
def step_endless_store(context):
    """Let the store send a body without end on all its connections for two seconds."""
    running = context.gateway
    context.memory = read_memory(context)
    running.thread.run(running.store.set_mode("endless"))
    time.sleep(2.0)
    running.thread.run(running.store.set_mode("up"))


@then("within {seconds:g} s the gateway serves by the store's changes again")
def step_changes_again(context, seconds):
    """Replace the key and wait until the old one is refused."""
    running, begun = context.gateway, time.monotonic()
    running.put("config", "main", fleet.make_config(2, keys=("key-two",)))
    running.wait(lambda: running.send().status == 401, "the old key is refused")
    assert time.monotonic() - begun < seconds


ANSWER_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Berylrock-Attempt-Id: {id}\r\nX-Berylrock-Response-Signature: s\r\n"
)
BROKEN_HEADS = {
    "with a length": ANSWER_HEAD + b"Content-Length: 20\r\n\r\n",
    "in chunks": ANSWER_HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "without a length": ANSWER_HEAD + b"Connection: close\r\n\r\n",
    "after an informational one": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
    + ANSWER_HEAD
    + b"Content-Length: 20\r\n\r\n",
    "with bare line feeds": (ANSWER_HEAD + b"Content-Length: 20\r\n\r\n").replace(b"\r\n", b"\n"),
}
CUT_STEP_BYTES = 13


@given("a gateway whose engines break off answers {framing}")
def step_broken_heads(context, framing):
    """Start a gateway whose only engines are scripted ones."""
    scenario.start_gateway(context, plain=0, models=0)
    running = context.gateway
    context.head = BROKEN_HEADS[framing]
    context.raw = rawengine.RawEngine(rawengine.Script(context.head, closes=True))
    running.thread.run(context.raw.start())
    for service in ("plain", "models"):
        entry = fleet.make_entry(service, f"127.0.0.1:{context.raw.port}")
        running.put("servers", f"{service}-raw", entry)
        running.wait(lambda name=service: f"engine={name}-raw" in running.log(), "it is known")


@when("a read, an order and a chat are sent for each place at which the head may end")
def step_send_to_broken_heads(context):
    """End the answer within the head at some places, and right after the head."""
    running, context.results = context.gateway, []
    places = [*range(0, len(context.head), CUT_STEP_BYTES), len(context.head)]
    for place in places:
        context.raw.script = rawengine.Script(context.head[:place], closes=True)
        answers = [
            running.send(),
            running.send("POST", "/order/a", body=b"x"),
            running.send_chat(),
        ]
        context.results += [(place, answer) for answer in answers]


@then("none of them gets a complete success")
def step_no_success(context):
    """Check each answer; a refusal that says that nothing has run would be false as well."""
    found = [(place, answer) for place, answer in context.results if 200 <= answer.status < 300]
    assert not [item for item in found if item[1].whole], found[:3]
    assert context.raw.requests > len(context.results) / 3, context.raw.requests


@given("each stream of the models breaks off")
def step_each_breaks(context):
    """Cut each stream within its third event or its next one."""
    for item in scenario.model_engines(context):
        item.faults = ["cut 3", "cut 4", "cut 5"] * 4
        item.event_interval_s = 0.05


@when("a chat is sent in HTTP/1.0")
def step_http10(context):
    """Read the answer until the connection ends."""
    running = context.gateway
    lines = [f"POST /chat/a HTTP/1.0\r\nHost: {fleet.HOST}\r\nX-Api-Key: {fleet.KEY}\r\n"]
    lines += [f"{name}: {value}\r\n" for name, value in fleet.CHAT_HEADERS]
    lines.append("X-Berylrock-Attempt-Id: 00000000000000ab\r\nContent-Length: 0\r\n\r\n")

    async def read_all():
        reader, writer = await asyncio.open_connection(running.host, running.port)
        writer.write("".join(lines).encode())
        data, end = b"", "closed"
        try:
            while chunk := await reader.read(4096):
                data += chunk
        except ConnectionResetError:
            end = "reset"
        writer.transport.abort()
        return data, end

    context.received, context.end = running.thread.run(read_all())


@then("some events arrive, and then the connection is reset")
def step_reset_to_caller(context):
    """Check what arrived and how it ended."""
    assert context.received.startswith(b"HTTP/1.1 200"), context.received
    assert b"chunked" not in context.received.lower(), context.received
    assert context.end == "reset", (context.end, context.received)


EARLY_ANSWERS = {
    "a part without a length, and then a reset": rawengine.Script(
        BROKEN_HEADS["without a length"] + b"id: 1\ndata: part\n\n" * 60, resets=True
    )
}
EARLY_ANSWERS |= {
    f"with the status {status}": rawengine.Script(
        ANSWER_HEAD.replace(b"200 OK", status.encode() + b" What")
        + b"Content-Length: 18\r\n\r\nid: 1\ndata: part\n\n"
    )
    for status in ("000", "099", "600", "999")
}


@given("a gateway whose engines answer {what}")
def step_early_answers(context, what):
    """Start a gateway whose only engines are scripted ones, which do not read bodies."""
    scenario.start_gateway(context, plain=0, models=0)
    running = context.gateway
    config = fleet.make_config(2)
    config["limits"]["max-body-bytes"] = 4_000_000
    running.put("config", "main", config)
    running.wait(lambda: "config_in_force version=2" in running.log(), "long bodies are allowed")
    context.raw = rawengine.RawEngine(EARLY_ANSWERS[what])
    running.thread.run(context.raw.start())
    for service in ("plain", "models"):
        entry = fleet.make_entry(service, f"127.0.0.1:{context.raw.port}")
        running.put("servers", f"{service}-raw", entry)
        running.wait(lambda name=service: f"engine={name}-raw" in running.log(), "it is known")


@when("orders, reads and chats with bodies of 200 bytes and 2 MB are sent")
def step_send_uploads(context):
    """Send each of them twice."""
    running = context.gateway
    context.results = []
    for size in (200, 2_000_000) * 2:
        body = b"x" * size
        context.results += [
            running.send("POST", "/order/a", body=body),
            running.send("POST", "/read/a", body=body),
            running.send("POST", "/chat/a", headers=fleet.CHAT_HEADERS, body=body),
        ]


@then("each of them ends with status 502, or as a stream that broke")
def step_no_answer(context):
    """Check each answer, and that the engine got them."""
    for answer in context.results:
        is_broken_stream = answer.status == 200 and not answer.whole
        assert answer.status == 502 or is_broken_stream, answer
    assert context.raw.requests >= len(context.results), context.raw.requests
