"""Steps on unexpected errors in single requests, with a gateway process and stand-in engines."""

import pathlib
import re

from behave import given, then, when
from support.platform import faultygateway, fleet, scenario

LONG_NUMBER = "9" * 5000
SENT_TO_FAULTY = re.compile(r"event=request_sent .*engine=(?:plain|models)-0 .*running=(\S+)")
METHODS = {"read": "GET", "order": "POST", "chat": "POST"}


def make_request(context, kind, number, headers=()):
    """Return a request of a kind, for ``fleet.exchange_kept``; pairs of bytes replace headers."""
    lines = [
        (b"Host", fleet.HOST.encode()),
        (b"X-Api-Key", fleet.KEY.encode()),
        (b"X-Berylrock-Attempt-Id", f"{number + 1:016x}".encode()),
    ]
    if kind == "chat":
        lines += [(name.encode(), value.encode()) for name, value in fleet.CHAT_HEADERS[:2]]
        # Chats without shared parts are spread over the engines.
        lines.append((b"X-Berylrock-Prefix-Hash", f"c{number}:100".encode()))
    names = {name.lower() for name, _ in headers}
    lines = [item for item in lines if item[0].lower() not in names] + list(headers)
    body = b"" if kind == "read" else b"body"
    if body:
        lines.append((b"Content-Length", str(len(body)).encode()))
    return METHODS[kind], f"/{kind}/a", lines, body


def send_kept(context, requests):
    """Send requests on one connection; keeps their answers in ``context.answers``."""
    running = context.gateway
    address = (running.host, running.port)
    context.answers = running.thread.run(fleet.exchange_kept(address, requests))


def read_value(text):
    """Return the value of a header that a scenario names."""
    return text.replace("5000 digits", LONG_NUMBER)


@given('a gateway whose engines of each service answer with the header {name} "{value}"')
def step_odd_answers(context, name, value):
    """Start a gateway; all its engines answer with the header."""
    scenario.start_gateway(context)
    for item in context.gateway.engines.values():
        item.more_headers = [(name, read_value(value))]


@given("a gateway in whose attempts on one engine an error is raised {place}")
@given("a gateway in which an error is raised {place}")
def step_faulty_gateway(context, place):
    """Start a gateway with the fault."""
    launcher = (str(pathlib.Path(faultygateway.__file__)), place)
    scenario.start_gateway(context, launcher=launcher)


@when('two chats with the header {name} "{value}" are sent on one connection')
def step_send_odd(context, name, value):
    """Send them; the value is encoded as Latin-1."""
    header = (name.encode(), read_value(value).encode("latin-1"))
    send_kept(context, [make_request(context, "chat", n, [header]) for n in range(2)])


@when("a read and a chat are sent")
def step_send_both(context):
    """Send them on one connection."""
    send_kept(context, [make_request(context, "read", 0), make_request(context, "chat", 1)])


@when("{count:d} {kind:w}s are sent on one connection")
def step_send_kind(context, count, kind):
    """Send them one after the other."""
    send_kept(context, [make_request(context, kind, n) for n in range(count)])


@then("both get a complete answer")
@then("all of them are answered by the other engine")
def step_all_answered(context):
    """Check the answers."""
    for answer in context.answers:
        assert answer.status == 200 and answer.whole, (context.answers, context.gateway.log())


@then("the first engine is the one that failed, and holds nothing")
def step_failed(context):
    """Check what the gateway believes of it, and that its later requests went elsewhere."""
    log = context.gateway.log()
    errors = [line for line in log.splitlines() if "event=attempt_error" in line]
    assert 0 < len(errors) < len(context.answers), log
    assert all("-0 " in line and "RaisedByTest" in line for line in errors), errors
    assert set(SENT_TO_FAULTY.findall(log)) == {"0+0"}, log
    assert "task_failed" not in log and "Traceback" not in log, log


@then("each is answered by the other engine or with status 502, and runs at most once")
def step_unknown(context):
    """Check the answers against what the engines ran."""
    statuses = [answer.status for answer in context.answers]
    assert set(statuses) == {200, 502} and all(item.whole for item in context.answers), statuses
    ids = [run.headers["x-berylrock-attempt-id"] for run in context.gateway.runs("plain")]
    assert len(ids) == len(set(ids)), ids


@then("each is refused as not run, and no engine got it")
def step_refused(context):
    """Check the statuses and the engines."""
    assert [answer.status for answer in context.answers][0] == 503, context.answers
    assert not context.gateway.runs("plain")
    assert context.gateway.log().count("event=request_error") >= 1


@then("each gets status 502, and runs once")
def step_each_unknown(context):
    """Check the answers and the runs."""
    assert [answer.status for answer in context.answers] == [502, 502], context.answers
    assert len(context.gateway.runs("plain")) == 2
