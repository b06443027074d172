"""Steps that send requests through a gateway process between stand-ins."""

import asyncio
import re
import time

from behave import given, then, when
from support.platform import scenario

from berylrock.ops import tracing

SYSTEM_HEADERS = [
    ("X-Berylrock-Cache-Retain", "theirs"),
    ("X-Berylrock-Pin-Ms", "4000"),
    ("X-Berylrock-Kv-Replica", "127.0.0.1:9"),
    ("Kv-From", "127.0.0.1:9/x"),
    ("Kv-Fetch", "127.0.0.1:9"),
    ("X-Berylrock-Request-Priority", "0"),
    ("X-Berylrock-Expected-Version", "7"),
    ("X-Berylrock-Tenant", "theirs"),
    ("X-Berylrock-Target-Instance", "theirs"),
]
ENDS = re.compile("event=request_(done|refused)")
BAD_REQUESTS = {
    "both lengths": b"POST /read/a HTTP/1.1\r\nHost: calls.example\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "a bad length": b"POST /read/a HTTP/1.1\r\nHost: calls.example\r\n"
    b"Content-Length: 3x\r\n\r\nabc",
    "a bad chunk size": b"POST /read/a HTTP/1.1\r\nHost: calls.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "a space before the colon": b"GET /read/a HTTP/1.1\r\nHost : calls.example\r\n\r\n",
    "a head that is too large": b"GET /read/a HTTP/1.1\r\nHost: calls.example\r\nX: "
    + b"a" * 40_000
    + b"\r\n\r\n",
    "a body that is too large": b"POST /read/a HTTP/1.1\r\nHost: calls.example\r\n"
    b"Content-Length: 200000\r\n\r\n" + b"a" * 200_000,
}


@given("a gateway between stand-ins")
def step_start(context):
    """Start with the usual settings."""
    scenario.start_gateway(context)


@given("a gateway that must stop withdrawn keys within {seconds:g} s")
def step_start_revoke(context, seconds):
    """Start with a short bound on withdrawn keys."""
    scenario.start_gateway(context, revoke_ms=int(seconds * 1000))


@given('the next plain answer is "{fault}"')
def step_next_fault(context, fault):
    """Whichever engine is asked first answers with a fault; only that one."""
    shared = [fault]
    for item in scenario.plain_engines(context):
        item.faults = shared


@given('the first chat is answered with "{fault}"')
def step_first_chat(context, fault):
    """Whichever engine is asked first answers with a fault."""
    shared = [fault]
    for item in scenario.model_engines(context):
        item.faults = shared


@given('every chat is answered with "{fault}"')
def step_every_chat(context, fault):
    """Engines answer with a fault again and again."""
    for item in scenario.model_engines(context):
        item.faults = [fault] * 10


@given("the small model's confidence is {value:d}")
def step_confidence(context, value):
    """Set what the small model thinks of its answers."""
    for item in scenario.model_engines(context):
        item.confidence = {"small": value}


@given("each read takes {seconds:g} s")
def step_work(context, seconds):
    """Make plain calls slow."""
    for item in scenario.plain_engines(context):
        item.response_delay_s = seconds


@when("a read, an order and a chat are sent")
def step_all_kinds(context):
    """Send one of each."""
    gateway = context.gateway
    context.results = [
        gateway.send("POST", "/read/a?b=c", body=b"\x00read"),
        gateway.send("POST", "/order/a", body=b"order"),
        gateway.send_chat(),
    ]


@then("each is answered whole by an engine")
def step_whole(context):
    """All got signed, whole answers."""
    for answer in context.results:
        assert answer.status == 200 and answer.whole, answer
        assert answer.headers["x-berylrock-response-signature"].startswith("sig-")


@then("each reached an engine with its method, path, body and id")
def step_unchanged(context):
    """Nothing was changed on the way."""
    runs = context.gateway.runs("plain") + context.gateway.runs("models")
    found = {(run.method, run.target, run.body) for run in runs}
    assert ("POST", "/read/a?b=c", b"\x00read") in found, found
    assert ("POST", "/order/a", b"order") in found
    assert ("POST", "/chat/a", b"prompt") in found
    ids = {run.headers["x-berylrock-attempt-id"] for run in runs}
    assert {answer.headers["x-berylrock-attempt-id"] for answer in context.results} == ids


@when("a chat is sent with every header that only the system may set")
def step_system_headers(context):
    """Send what a caller may not set."""
    context.result = context.gateway.send_chat(headers=SYSTEM_HEADERS)


@then("the engine got the system's own values and none of the caller's")
def step_own_values(context):
    """Only the system's own values arrived."""
    run = context.gateway.runs("models")[0]
    assert run.headers["x-berylrock-tenant"] == "one"
    assert run.headers["x-berylrock-target-instance"].startswith("models-")
    assert 0 < int(run.headers["x-berylrock-deadline-ms"]) <= 3000
    left = {name.lower() for name, _ in SYSTEM_HEADERS} & set(run.headers)
    assert left == {"x-berylrock-tenant", "x-berylrock-target-instance"}, left
    assert "x-api-key" not in run.headers


@when('a request is sent with key "{key}"')
def step_key(context, key):
    """Send with another key."""
    context.result = context.gateway.send(key=key)


@when('a request is sent to "{path}"')
def step_path(context, path):
    """Send to another path."""
    context.result = context.gateway.send(path=path)


@when("a read is sent")
def step_read(context):
    """Send a read."""
    context.result = context.gateway.send()


@when("an order is sent")
def step_order(context):
    """Send an order."""
    context.result = context.gateway.send("POST", "/order/a", body=b"order")


@when("a chat is sent")
def step_chat(context):
    """Send a chat."""
    context.result = context.gateway.send_chat()


@when("{count:d} reads are sent one after the other")
def step_reads(context, count):
    """Send reads with paths of their own, on one connection each."""
    gateway = context.gateway
    time.sleep(0.3)
    context.results = [(n, gateway.send(path=f"/read/{n}")) for n in range(count)]


@when("{count:d} chats are sent one after the other")
def step_chats(context, count):
    """Send chats."""
    context.results = [context.gateway.send_chat() for _ in range(count)]


@then("it is answered {status:d} whole")
def step_status_whole(context, status):
    """The answer has a status and is whole."""
    assert context.result.status == status and context.result.whole, context.result


@then("it is answered {status:d}")
def step_status(context, status):
    """The answer has a status."""
    assert context.result.status == status, (context.result, context.gateway.log()[-2000:])


@then("no engine ran anything")
def step_no_run(context):
    """No request reached a run."""
    assert not context.gateway.runs("plain") + context.gateway.runs("models")


@then("the plain engines ran {count:d} requests")
def step_runs(context, count):
    """Count runs."""
    assert len(context.gateway.runs("plain")) == count, len(context.gateway.runs("plain"))


@then("each read got the answer to its own request")
def step_own_answers(context):
    """Each answer names the path that was asked."""
    for number, answer in context.results:
        assert answer.status == 200 and answer.whole, (answer, context.gateway.log()[-2000:])
        assert answer.body.decode().endswith(f" GET /read/{number}"), answer


@then("each chat is whole")
def step_chats_whole(context):
    """Every stream is whole."""
    for answer in context.results:
        assert answer.whole and answer.event_ids == [1, 2, 3, 4, 5, 6], answer


@then("the stream is whole, with each event once")
def step_stream(context):
    """No event is missing or doubled."""
    answer = context.result
    assert answer.status == 200 and answer.whole, (answer, context.gateway.log()[-2000:])
    assert answer.event_ids == [1, 2, 3, 4, 5, 6], answer.event_ids


@then("the stream is not whole")
def step_stream_broken(context):
    """The break is visible."""
    assert not context.result.whole
    ids = context.result.event_ids
    assert ids == sorted(set(ids))


@then("the stream is the {model} model's")
def step_model(context, model):
    """All events are of one model."""
    assert f"data: {model} 1".encode() in context.result.body, context.result.body


@when("a chat's caller leaves after the first event")
def step_leave(context):
    """Read a little of a stream and reset the connection."""
    gateway = context.gateway
    for item in scenario.model_engines(context):
        item.event_count, item.event_interval_s = 1000, 0.01

    async def leave():
        reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(
            b"POST /chat/a HTTP/1.1\r\nHost: calls.example\r\nX-Api-Key: key-one\r\n"
            b"X-Berylrock-Attempt-Id: 1111111111111111\r\nX-Berylrock-Model: *\r\n"
            b"X-Berylrock-Token-Usage: 10,10\r\nContent-Length: 0\r\n\r\n"
        )
        await reader.readuntil(b"id: 1")
        writer.transport.abort()

    gateway.thread.run(leave())


@then("within {seconds:g} s the engine's run has been stopped")
def step_stopped(context, seconds):
    """The engine saw its connection close."""
    begun = time.monotonic()
    context.gateway.wait(
        lambda: all(run.cancelled for run in context.gateway.runs("models")), "stop"
    )
    assert time.monotonic() - begun < seconds


@when('the gateway is sent "{what}"')
def step_bad_bytes(context, what):
    """Send bytes that are no proper request."""
    gateway = context.gateway

    async def send():
        reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(BAD_REQUESTS[what])
        try:
            return await asyncio.wait_for(reader.read(), 10)
        except ConnectionResetError:
            return b""
        finally:
            writer.transport.abort()

    context.result = gateway.thread.run(send())


@then("the connection gets status {status:d} and is closed")
def step_bad_status(context, status):
    """The refusal came, or the connection was reset while the body was still under way."""
    if status == 413 and not context.result:
        return
    assert context.result.startswith(f"HTTP/1.1 {status} ".encode()), context.result


@when("a read is sent whose body holds another request")
def step_smuggle(context):
    """Send a body that looks like a request."""
    context.inner = b"POST /order/a HTTP/1.1\r\nHost: calls.example\r\n\r\n"
    context.result = context.gateway.send("POST", "/read/a", body=context.inner)


@then("that run had the whole body")
def step_inner(context):
    """The body arrived as a body."""
    assert context.gateway.runs("plain")[0].body == context.inner


@when("a read that crashes engines is sent again and again among other reads")
def step_crasher(context):
    """One caller repeats the same request; others send their own."""
    gateway = context.gateway
    context.results = []
    for number in range(12):
        gateway.send(path="/read/crasher")
        time.sleep(0.5)
        context.results.append((number, gateway.send(path=f"/read/{number}")))


@then("it has run at most {count:d} times")
def step_crasher_runs(context, count):
    """Three falls find it, and a retry under way may add some."""
    runs = [run for run in context.gateway.runs("plain") if run.target.endswith("crasher")]
    assert 0 < len(runs) <= count, len(runs)
    assert gateway_refused(context), context.gateway.log()[-3000:]


def gateway_refused(context):
    """Whether the gateway has refused the request that crashes engines."""
    return "reason=crashes_engines" in context.gateway.log()


@then("the other reads are answered")
def step_others(context):
    """Most are: an engine that is down for a moment may cost one."""
    good = [answer for _, answer in context.results if answer.status == 200]
    assert len(good) >= len(context.results) - 1, context.results


@when("an order, a request with a wrong key and a chat that breaks off are sent")
def step_three(context):
    """Three ends; the ids are the fleet's first three."""
    gateway = context.gateway
    step_first_chat(context, "cut 3")
    gateway.send("POST", "/order/a", body=b"order")
    gateway.send(key="nobody")
    gateway.send_chat()
    gateway.wait(lambda: len(ENDS.findall(gateway.log())) == 3, "three ends in the log")


@then("the log alone explains each of them")
def step_explained(context):
    """Each explanation names what decided."""
    lines = context.gateway.log().splitlines()
    texts = [tracing.explain(tracing.trace(lines, f"{n:016x}")) for n in (1, 2, 3)]
    assert "502" in texts[0] and "may have run" in texts[0], texts[0]
    assert "Refused with 401: unknown_key" in texts[1], texts[1]
    assert "200 stream" in texts[2] and "3 attempts" not in texts[2], texts[2]
    context_lines = tracing.trace(lines, f"{3:016x}").context
    assert any(line.event == "config_in_force" for line in context_lines)


@when("an order is sent in chunks")
def step_chunks(context):
    """Send a body without a length, in two parts."""
    chunks = b"6\r\nfirst \r\n6\r\nsecond\r\n0\r\n\r\n"
    context.result = context.gateway.send_chunks("/order/a", chunks)


@then('the engine got "{text}" as its body')
def step_body(context, text):
    """The parts arrived as one body."""
    assert context.gateway.runs("plain")[0].body == text.encode()
