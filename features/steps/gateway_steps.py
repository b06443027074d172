"""Steps that send requests through a gateway to stand-in engines and check the answers."""

import asyncio
import re
import time

from behave import given, then, when
from support.platform import scenario

from berylrock.ops import tracing

RESERVED_HEADERS = [
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
END_EVENT = re.compile("event=request_(done|refused)")
MALFORMED_REQUESTS = {
    "both Content-Length and chunked encoding": b"POST /read/a HTTP/1.1\r\n"
    b"Host: calls.example\r\nContent-Length: 3\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "an invalid Content-Length": b"POST /read/a HTTP/1.1\r\nHost: calls.example\r\n"
    b"Content-Length: 3x\r\n\r\nabc",
    "an invalid chunk size": b"POST /read/a HTTP/1.1\r\nHost: calls.example\r\n"
    b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    "a space before the colon": b"GET /read/a HTTP/1.1\r\nHost : calls.example\r\n\r\n",
    "an oversized head": b"GET /read/a HTTP/1.1\r\nHost: calls.example\r\nX: "
    + b"a" * 40_000
    + b"\r\n\r\n",
    "an oversized body": b"POST /read/a HTTP/1.1\r\nHost: calls.example\r\n"
    b"Content-Length: 200000\r\n\r\n" + b"a" * 200_000,
}


@given("a gateway with a stand-in store and stand-in engines")
def step_start_gateway(context):
    """Start a gateway with the default settings."""
    scenario.start_gateway(context)


@given("a gateway that must stop accepting withdrawn keys within {seconds:g} s")
def step_start_with_revoke_timeout(context, seconds):
    """Start a gateway with a short revoke timeout."""
    scenario.start_gateway(context, revoke_ms=int(seconds * 1000))


@given('the next answer of a plain engine has the fault "{fault}"')
def step_next_plain_fault(context, fault):
    """Apply the fault once, to whichever plain engine receives the next request."""
    shared = [fault]
    for item in scenario.plain_engines(context):
        item.faults = shared


@given('the first chat is answered with the fault "{fault}"')
def step_first_chat_fault(context, fault):
    """Apply the fault once, to whichever model engine receives the first chat."""
    shared = [fault]
    for item in scenario.model_engines(context):
        item.faults = shared


@given('every chat is answered with the fault "{fault}"')
def step_every_chat_fault(context, fault):
    """Apply the fault to the next 10 chats of each model engine."""
    for item in scenario.model_engines(context):
        item.faults = [fault] * 10


@given("the small model reports a confidence of {value:d}")
def step_small_model_confidence(context, value):
    """Set the confidence that the engines report for answers of the small model."""
    for item in scenario.model_engines(context):
        item.confidence = {"small": value}


@given("each read takes {seconds:g} s")
def step_read_duration(context, seconds):
    """Set how long the plain engines work on a request."""
    for item in scenario.plain_engines(context):
        item.response_delay_s = seconds


@when("a read, an order and a chat are sent")
def step_send_all_kinds(context):
    """Send one request of each kind of route."""
    gateway = context.gateway
    context.results = [
        gateway.send("POST", "/read/a?b=c", body=b"\x00read"),
        gateway.send("POST", "/order/a", body=b"order"),
        gateway.send_chat(),
    ]


@then("each is answered completely by an engine")
def step_all_complete(context):
    """Check that each answer is complete and carries an engine's signature."""
    for answer in context.results:
        assert answer.status == 200 and answer.whole, answer
        assert answer.headers["x-berylrock-response-signature"].startswith("sig-")


@then("an engine received each with its method, path, body and id")
def step_unchanged(context):
    """Check that methods, paths, bodies and attempt ids arrived unchanged."""
    runs = context.gateway.runs("plain") + context.gateway.runs("models")
    found = {(run.method, run.target, run.body) for run in runs}
    assert ("POST", "/read/a?b=c", b"\x00read") in found, found
    assert ("POST", "/order/a", b"order") in found
    assert ("POST", "/chat/a", b"prompt") in found
    ids = {run.headers["x-berylrock-attempt-id"] for run in runs}
    assert {answer.headers["x-berylrock-attempt-id"] for answer in context.results} == ids


@when("a chat is sent with every header that only the gateway may set")
def step_send_reserved_headers(context):
    """Send a value for each header that callers must not set."""
    context.result = context.gateway.send_chat(headers=RESERVED_HEADERS)


@then("the engine received the gateway's values and none of the caller's")
def step_reserved_headers_replaced(context):
    """Check that no value of the caller and no API key was forwarded."""
    run = context.gateway.runs("models")[0]
    assert run.headers["x-berylrock-tenant"] == "one"
    assert run.headers["x-berylrock-target-instance"].startswith("models-")
    assert 0 < int(run.headers["x-berylrock-deadline-ms"]) <= 3000
    forwarded = {name.lower() for name, _ in RESERVED_HEADERS} & set(run.headers)
    assert forwarded == {"x-berylrock-tenant", "x-berylrock-target-instance"}, forwarded
    assert "x-api-key" not in run.headers


@when('a request is sent with the key "{key}"')
def step_send_with_key(context, key):
    """Send a read with another API key."""
    context.result = context.gateway.send(key=key)


@when('a request is sent to "{path}"')
def step_send_to_path(context, path):
    """Send a request to another path."""
    context.result = context.gateway.send(path=path)


@when("a read is sent")
def step_send_read(context):
    """Send a read and wait for its answer."""
    context.result = context.gateway.send()


@when("an order is sent")
def step_send_order(context):
    """Send an order, which must not be repeated, and wait for its answer."""
    context.result = context.gateway.send("POST", "/order/a", body=b"order")


@when("a chat is sent")
def step_send_chat(context):
    """Send a chat and wait for the end of its stream."""
    context.result = context.gateway.send_chat()


@when("{count:d} reads are sent one after the other")
def step_send_reads(context, count):
    """Send reads with distinct paths, each on a new connection."""
    gateway = context.gateway
    time.sleep(0.3)
    context.results = [(n, gateway.send(path=f"/read/{n}")) for n in range(count)]


@when("{count:d} chats are sent one after the other")
def step_send_chats(context, count):
    """Send chats, each on a new connection."""
    context.results = [context.gateway.send_chat() for _ in range(count)]


@then("the answer is complete and has status {status:d}")
def step_status_complete(context, status):
    """Check the status of the answer and that it was not cut off."""
    assert context.result.status == status and context.result.whole, context.result


@then("the answer has status {status:d}")
def step_status(context, status):
    """Check the status of the answer."""
    assert context.result.status == status, (context.result, context.gateway.log()[-2000:])


@then("no engine ran a request")
def step_no_run(context):
    """Check that no engine started to run a request."""
    assert not context.gateway.runs("plain") + context.gateway.runs("models")


@then("the plain engines ran {count:d} requests")
def step_run_count(context, count):
    """Check the number of requests that the plain engines ran in total."""
    assert len(context.gateway.runs("plain")) == count, len(context.gateway.runs("plain"))


@then("each read got the answer to its own request")
def step_own_answers(context):
    """Check that each answer names the path of its own request."""
    for number, answer in context.results:
        assert answer.status == 200 and answer.whole, (answer, context.gateway.log()[-2000:])
        assert answer.body.decode().endswith(f" GET /read/{number}"), answer


@then("each chat is answered completely")
def step_chats_complete(context):
    """Check that each stream is complete and has all events in order."""
    for answer in context.results:
        assert answer.whole and answer.event_ids == [1, 2, 3, 4, 5, 6], answer


@then("the stream is complete and has each event once")
def step_stream_complete(context):
    """Check that no event is missing or repeated."""
    answer = context.result
    assert answer.status == 200 and answer.whole, (answer, context.gateway.log()[-2000:])
    assert answer.event_ids == [1, 2, 3, 4, 5, 6], answer.event_ids


@then("the stream is incomplete")
def step_stream_incomplete(context):
    """Check that the caller can see the break, and that no event is repeated or out of order."""
    assert not context.result.whole
    ids = context.result.event_ids
    assert ids == sorted(set(ids))


@then("the stream comes from the {model} model")
def step_stream_model(context, model):
    """Check that the stream has events of the model."""
    assert f"data: {model} 1".encode() in context.result.body, context.result.body


@when("the caller of a chat disconnects after the first event")
def step_caller_disconnects(context):
    """Read the first event of a long stream and reset the connection."""
    gateway = context.gateway
    for item in scenario.model_engines(context):
        item.event_count, item.event_interval_s = 1000, 0.01

    async def disconnect():
        reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(
            b"POST /chat/a HTTP/1.1\r\nHost: calls.example\r\nX-Api-Key: key-one\r\n"
            b"X-Berylrock-Attempt-Id: 1111111111111111\r\nX-Berylrock-Model: *\r\n"
            b"X-Berylrock-Token-Usage: 10,10\r\nContent-Length: 0\r\n\r\n"
        )
        await reader.readuntil(b"id: 1")
        writer.transport.abort()

    gateway.thread.run(disconnect())


@then("within {seconds:g} s the engine's run has been cancelled")
def step_run_cancelled(context, seconds):
    """Check that the engine's connection was closed within the time."""
    begun = time.monotonic()
    context.gateway.wait(
        lambda: all(run.cancelled for run in context.gateway.runs("models")), "the run is cancelled"
    )
    assert time.monotonic() - begun < seconds


@when("the gateway receives a malformed request with {what}")
def step_send_malformed(context, what):
    """Send a malformed request and read all bytes of the reply."""
    gateway = context.gateway

    async def send():
        reader, writer = await asyncio.open_connection(gateway.host, gateway.port)
        writer.write(MALFORMED_REQUESTS[what])
        try:
            return await asyncio.wait_for(reader.read(), 10)
        except ConnectionResetError:
            return b""
        finally:
            writer.transport.abort()

    context.result = gateway.thread.run(send())


@then("the connection receives status {status:d} and is closed")
def step_malformed_status(context, status):
    """Check the reply.

    While an oversized body is still being sent, the connection may be reset before the reply.
    """
    if status == 413 and not context.result:
        return
    assert context.result.startswith(f"HTTP/1.1 {status} ".encode()), context.result


@when("a read whose body contains another request is sent")
def step_send_request_in_body(context):
    """Send a body that looks like a request, as in request smuggling."""
    context.embedded = b"POST /order/a HTTP/1.1\r\nHost: calls.example\r\n\r\n"
    context.result = context.gateway.send("POST", "/read/a", body=context.embedded)


@then("that run received the whole body")
def step_body_received(context):
    """Check that the embedded request arrived as a body."""
    assert context.gateway.runs("plain")[0].body == context.embedded


@when("an order, a request with a wrong key and a chat that breaks off are sent")
def step_send_three_failures(context):
    """Send three requests; their attempt ids are the first three of the fleet."""
    gateway = context.gateway
    step_first_chat_fault(context, "cut 3")
    gateway.send("POST", "/order/a", body=b"order")
    gateway.send(key="nobody")
    gateway.send_chat()
    gateway.wait(
        lambda: len(END_EVENT.findall(gateway.log())) == 3, "the log has the end of three requests"
    )


@then("each of them can be explained from the log alone")
def step_explained(context):
    """Check that each explanation names the cause."""
    lines = context.gateway.log().splitlines()
    texts = [tracing.explain(tracing.trace(lines, f"{n:016x}")) for n in (1, 2, 3)]
    assert "502" in texts[0] and "may have run" in texts[0], texts[0]
    assert "Refused with 401: unknown_key" in texts[1], texts[1]
    assert "200 stream" in texts[2] and "3 attempts" not in texts[2], texts[2]
    related = tracing.trace(lines, f"{3:016x}").context
    assert any(line.event == "config_in_force" for line in related)


@when("an order is sent with a chunked body")
def step_send_chunked(context):
    """Send a body of two chunks without a Content-Length."""
    chunks = b"6\r\nfirst \r\n6\r\nsecond\r\n0\r\n\r\n"
    context.result = context.gateway.send_chunks("/order/a", chunks)


@then('the engine received the body "{text}"')
def step_engine_body(context, text):
    """Check that the chunks arrived as one body."""
    assert context.gateway.runs("plain")[0].body == text.encode()
