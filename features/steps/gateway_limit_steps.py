"""Steps on engines that limit the requests that they take from all gateways together."""

import asyncio
import time

from behave import given, then, when
from support.platform import fleet, scenario

from berylrock.daemons.gateway import gossipmessage

SEND_INTERVAL_S = 0.03
WINDOW_S = 4.0


def limit_engines(context, engines, per_s):
    """Let engines name a limit from now on."""
    context.limited = engines
    for item in engines:
        item.limit = f"{per_s:g}"


@given("one engine of each service limits its requests to {per_s:g} a second")
def step_one_limited(context, per_s):
    """Choose the first engine of each."""
    engines = context.gateway.engines
    limit_engines(context, [engines["plain-0"], engines["models-0"]], per_s)


@given("every plain engine limits its requests to {per_s:g} a second")
def step_all_limited(context, per_s):
    """Leave no engine without a limit."""
    limit_engines(context, scenario.plain_engines(context), per_s)


@when("those engines name no limit any more")
def step_limit_ends(context):
    """Let the answers of the engines show it."""
    for item in context.limited:
        item.limit = ""


def send(context, name, path, headers=()):
    """Return a coroutine that sends a request to a gateway, named in its id, and times it."""
    context.sent += 1
    item = context.gateway.gateways[name]
    lines = [
        ("Host", fleet.HOST),
        ("X-Api-Key", fleet.KEY),
        ("X-Berylrock-Attempt-Id", f"{name}-{context.sent}"),
        *headers,
    ]

    async def exchange():
        begun = time.monotonic()
        answer = await fleet.exchange((item.host, item.port), "GET", path, lines, b"")
        return answer, time.monotonic() - begun

    return exchange()


def send_for(context, seconds, chats):
    """Send requests at a steady rate to the gateways in turn, and keep the answers."""

    async def run():
        calls, until = [], time.monotonic() + seconds
        while time.monotonic() < until:
            name = context.names[len(calls) % len(context.names)]
            calls.append(asyncio.ensure_future(send(context, name, "/read/a")))
            if chats:
                calls.append(
                    asyncio.ensure_future(send(context, name, "/chat/a", fleet.CHAT_HEADERS))
                )
            await asyncio.sleep(SEND_INTERVAL_S)
        return await asyncio.gather(*calls)

    context.results = context.gateway.thread.run(run())


@when("reads and chats are sent to the gateways in turn for {seconds:g} s")
def step_send_both(context, seconds):
    """Send far more than the engines with a limit take."""
    send_for(context, seconds, True)


@when("reads are sent to the gateways in turn for {seconds:g} s")
def step_send_reads(context, seconds):
    """Send far more than the engines take."""
    send_for(context, seconds, False)


def most_in_window(times):
    """Return the largest number of times within any ``WINDOW_S``."""
    return max(sum(begin <= at < begin + WINDOW_S for at in times) for begin in times)


@then(
    "each of those engines gets at most {count:d} requests in any 4 s "
    "from {settled:g} s after it named its limit"
)
def step_within_limit(context, count, settled):
    """Count what arrived, run or not; each engine named its limit in its first answer."""
    for item in context.limited:
        first = item.arrivals[0].at
        times = [arrival.at for arrival in item.arrivals if arrival.at >= first + settled]
        assert most_in_window(times) <= count if times else True, (item.id, len(times))


@then("it still gets some")
def step_some(context):
    """Count what arrived once the limit was known everywhere."""
    for item in context.limited:
        first = item.arrivals[0].at
        assert any(arrival.at >= first + 3.0 for arrival in item.arrivals), item.id


@then("all reads and chats are answered")
def step_all_answered(context):
    """Check the statuses."""
    failed = [answer for answer, _ in context.results if answer.status != 200 or not answer.whole]
    assert not failed, failed[:3]


@then(
    "some reads are answered, and the others refused within {limit:g} s, "
    "to come back in {first:g} to {last:g} s"
)
def step_refused(context, limit, first, last):
    """Check the status, the time and the header of each refusal."""
    refused = [(answer, took) for answer, took in context.results if answer.status != 200]
    assert 0 < len(refused) < len(context.results), len(refused)
    for answer, took_s in refused:
        assert answer.status == 503, answer
        assert took_s < limit, took_s
        assert first <= float(answer.headers["retry-after"]) <= last, answer


def last_limits(context, name):
    """Return the limit that a gateway last logged for each engine, as text."""
    lines = context.gateway.gateways[name].log().splitlines()
    fields = [dict(item.split("=", 1) for item in line.split() if "=" in item) for line in lines]
    limited = [item for item in fields if item.get("event") == "engine_limited"]
    return {item["engine"]: item["per_s"] for item in limited}


@then("every gateway knows of the limit of each of those engines")
def step_known(context):
    """Check the last line of each log on each engine."""
    for name in context.names:
        found = last_limits(context, name)
        assert {found.get(item.id) for item in context.limited} == {"0.5"}, (name, found)


@then("every gateway knows that they have none")
def step_known_ended(context):
    """Check the last line of each log on each engine."""
    for name in context.names:
        found = last_limits(context, name)
        assert {found.get(item.id) for item in context.limited} == {"inf"}, (name, found)


def recorded_limits(context):
    """Return the ids of the engines whose limit is in a gateway's record."""
    records = [
        item for (kind, _), item in context.gateway.store.objects.items() if kind == "gateways"
    ]
    return {name for item in records for name in item["spec"]["limits"]}


@when("each limit is in a gateway's record, and a gateway is killed and started again")
def step_restart(context):
    """Wait for the records, and send nothing more."""
    running, item = context.gateway, context.gateway.gateways[context.names[0]]
    limited = {engine.id for engine in context.limited}
    running.wait(lambda: recorded_limits(context) >= limited, "the limits are on record")
    item.stop()
    context.log_before = len(item.log())
    item.start()
    running.wait_ready()


@then("it has read the limit of each of those engines from the records")
def step_read(context):
    """Check the log since the start for limits that no gateway has told."""
    text = context.gateway.gateways[context.names[0]].log()[context.log_before :]
    for item in context.limited:
        assert (
            f'event=engine_limited engine={item.id} per_s=0.5 before_per_s=inf by=""' in text
        ), text


@then("the others hear it, and no task of it has failed")
def step_heard(context):
    """Check its datagrams by the metrics of another gateway, which counts those that it hears."""
    running, name = context.gateway, context.names[0]
    page = lambda: running.get_metrics_page(context.names[1], "/metrics").decode()  # noqa: E731
    running.wait(lambda: "gateways_heard 2" in page(), "both others are heard")
    text = running.gateways[name].log()[context.log_before :]
    assert "task_failed" not in text and "Traceback" not in text, text[-3000:]


@when('it reports that the engine "{name}" takes {per_s:g} requests a second')
def step_report(context, name, per_s):
    """Send a datagram that echoes the last timestamp."""
    send_limit(context, name, per_s, context.peer.receive_next_mark())


@when('it reports without an echo that the engine "{name}" takes {per_s:g} requests a second')
def step_report_unproved(context, name, per_s):
    """Send a datagram as a process that does not read those of the gateway could."""
    send_limit(context, name, per_s, gossipmessage.NO_TIMESTAMP)


def send_limit(context, name, per_s, mark):
    """Send a report on one engine that was just told."""
    report = gossipmessage.GossipMessage(context.peer.name, [], [], limits=[(name, per_s, 0)])
    context.peer.send(report, mark)


@then(
    'within {seconds:g} s the gateway knows that "{name}" takes {per_s}, by "{gateway}", '
    'and no limit of "{other}"'
)
def step_knows(context, seconds, name, per_s, gateway, other):
    """Wait for the line in the log."""
    begun, running = time.monotonic(), context.gateway
    per_s = "inf" if per_s == "inf" else f"{float(per_s)}"
    running.wait(lambda: f"engine_limited engine={name} per_s={per_s} " in running.log(), "known")
    assert time.monotonic() - begun < seconds
    lines = [line for line in running.log().splitlines() if "engine_limited" in line]
    assert f"by={gateway}" in lines[-1] and not any(other in line for line in lines), lines
