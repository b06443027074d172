"""Steps on what proves to a gateway that a request did not run."""

import hypothesis
from behave import given, then, when
from support import gateway_data, refusal_data
from support.platform import fleet, rawengine, scenario

from berylrock.ops import answers
from berylrock.platform import translating

NOT_RUN = b"X-Berylrock-Not-Executed: 1\r\n"
SIGNATURE = b"X-Berylrock-Response-Signature: s\r\n"
OWN_ID = b"X-Berylrock-Attempt-Id: {id}\r\n"
OTHER_ID = b"X-Berylrock-Attempt-Id: ffffffffffffffff\r\n"
EMPTY = b"Content-Length: 0\r\n\r\n"
FULL = b"HTTP/1.1 503 Full\r\n"
ANSWERS = {
    "a refusal without an id on a new connection": FULL + NOT_RUN + EMPTY,
    "a refusal with two ids": FULL + OTHER_ID + OWN_ID + NOT_RUN + EMPTY,
    "a refusal of another request": FULL + OTHER_ID + NOT_RUN + EMPTY,
    "a success that says that it did not run": b"HTTP/1.1 200 OK\r\n"
    + OWN_ID
    + SIGNATURE
    + NOT_RUN
    + EMPTY,
    "a failure that says that it did not run": b"HTTP/1.1 500 Oops\r\n" + OWN_ID + NOT_RUN + EMPTY,
    "a refusal that does not say so": FULL + OWN_ID + EMPTY,
    "bytes that are no answer": b"\x00\x01 no answer\r\n\r\n",
    "a head that breaks off": FULL + OWN_ID + NOT_RUN,
    "a closed connection": b"",
    "informational ones only": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\n\r\n",
    "a refusal of this request": FULL + OWN_ID + NOT_RUN + EMPTY,
    "an answer that it is not the named engine": b"HTTP/1.1 421 Other\r\n" + OWN_ID + EMPTY,
}
PAUSING = FULL + OWN_ID + NOT_RUN + b"Retry-After: 0.3\r\n" + EMPTY


def start_with_script(context, begin, others):
    """Start a gateway with a scripted plain engine, which is chosen first, and some others."""
    scenario.start_gateway(context, plain=0, models=1)
    running = context.gateway
    context.raw = rawengine.RawEngine(rawengine.Script(begin, closes=True))
    running.thread.run(context.raw.start())
    entry = fleet.make_entry("plain", f"127.0.0.1:{context.raw.port}")
    running.put("servers", "plain-raw", entry)
    for number in range(others):
        running.add_engine(f"plain-{number}", "plain", zone="giarre-d")
    known = [f"engine=plain-{number} what=added" for number in range(others)]
    known.append("engine=plain-raw what=added")
    running.wait(lambda: all(item in running.log() for item in known), "the engines are known")


@given("a gateway and a plain engine that runs orders and answers with {claim}")
@given("a gateway and a plain engine that answers orders with {claim}")
def step_scripted(context, claim):
    """Start them; an engine that refuses connections has stopped to listen."""
    context.listens = claim != "a refused connection"
    start_with_script(context, ANSWERS.get(claim, b""), others=1)
    if not context.listens:
        context.gateway.thread.run(context.raw.stop())


@given("a gateway whose only plain engine refuses orders and asks for a pause of 0.3 s")
def step_pausing(context):
    """Start them."""
    start_with_script(context, PAUSING, others=0)


@when("an order is sent there")
def step_order(context):
    """Send an order, and check that the scripted engine got it."""
    context.result = context.gateway.send("POST", "/order/a", body=b"one lorry")
    assert context.raw.requests > 0 or not getattr(context, "listens", True)


@then("its caller gets status 502, and no other engine gets it")
def step_unknown(context):
    """Check the answer and the runs."""
    assert not context.gateway.runs("plain"), context.result
    assert context.result.status == 502 and context.result.whole, context.result


@then("the other engine answers it, and runs it once")
def step_answered_elsewhere(context):
    """Check the answer and the runs."""
    assert context.result.status == 200 and context.result.whole, context.result
    assert len(context.gateway.runs("plain")) == 1


@then("the engine got it once, and its caller is to come back after the pause")
def step_come_back(context):
    """Check the refusal and what arrived."""
    assert context.raw.requests == 1, context.raw.requests
    assert context.result.status == 503, context.result
    assert float(context.result.headers["retry-after"]) > 0.2, context.result


@then("its connection ends without a promise that it has not run")
def step_no_promise(context):
    """Check the answer; the engine did run the order."""
    assert len(context.gateway.runs("plain")) == 1
    assert context.answers[0].status in (0, 502), context.answers


@when("an order without an id is sent")
def step_no_id(context):
    """Send it with an empty id."""
    headers = [("X-Berylrock-Attempt-Id", "")]
    context.result = context.gateway.send("POST", "/order/a", headers=headers, body=b"x")


@then("it is refused with status 400, and no engine gets it")
def step_bad_request(context):
    """Check the answer and the engines."""
    assert context.result.status == 400, context.result
    assert not context.gateway.runs("plain")


@then("a head proves it just if it names this request alone, refuses, and says so")
def step_property(context):
    """Compare what the gateway would believe with what the headers say."""

    proofs = set()

    @hypothesis.settings(gateway_data.property_settings, max_examples=1000)
    @hypothesis.given(refusal_data.heads())
    def check(drawn):
        status, headers = drawn
        head = translating.read_response_head(status, headers)
        history = answers.ConnectionHistory()
        history.begin(refusal_data.OWN_ID, "POST")
        claim = answers.Claim(head.status, head.request_id, head.not_run, head.framed)
        verdict = history.judge(claim)
        believed = verdict.meaning is answers.Meaning.REFUSAL
        assert believed == refusal_data.proves_not_run(status, headers), (drawn, verdict)
        if believed:
            proofs.add(status)

    check()
    assert proofs == set(refusal_data.REFUSING), proofs
