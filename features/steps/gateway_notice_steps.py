"""Steps on engines that say in their answers that they leave or want a pause."""

import asyncio
import time

from behave import given, then, when
from support.platform import scenario

SEND_INTERVAL_S = 0.05
FAULTS = {"response": "", "refusal": "full", "error": "error"}


def one_of_each(context):
    """Return one plain engine, and that of the models which gets the chats of these scenarios."""
    gateway = context.gateway
    gateway.send_chat()
    (preferred,) = [item for item in scenario.model_engines(context) if item.runs]
    preferred.arrivals.clear()
    return [gateway.engines["plain-0"], preferred]


@given("one engine of each service says in each {answer} that it leaves")
def step_leaving(context, answer):
    """Let the engines leave; no entry of the store says so."""
    context.leaving = one_of_each(context)
    for item in context.leaving:
        item.leaving = True
        item.faults = [FAULTS[answer]] * 100


@given("one plain engine is full and asks for a pause of {seconds:g} s")
def step_one_pauses(context, seconds):
    """Let the engine refuse requests until the pause is over."""
    context.pausing = one_of_each(context)[:1]
    context.pausing[0].pause_s = seconds


@given("every plain engine is full and asks for a pause of {seconds:g} s")
def step_all_pause(context, seconds):
    """Let the engines refuse requests until the pause is over."""
    context.pause_s = seconds
    context.pausing = scenario.plain_engines(context)
    for item in context.pausing:
        item.pause_s = seconds


@when("{count:d} reads and {chats:d} chats are sent one after the other")
def step_send_both(context, count, chats):
    """Send them in turns."""
    gateway = context.gateway
    context.reads = [gateway.send(path=f"/read/{number}") for number in range(count)]
    context.chats = [gateway.send_chat() for _ in range(chats)]


@when("{count:d} reads and {chats:d} chats are sent while the store is down")
def step_send_both_store_down(context, count, chats):
    """Send them while no change of the store's can arrive."""
    context.gateway.thread.run(context.gateway.store.set_mode("down"))
    step_send_both(context, count, chats)


@then("each of those engines got 1 request")
def step_one_request(context):
    """Check what arrived there, including what was refused."""
    assert [len(item.arrivals) for item in context.leaving] == [1, 1], [
        len(item.arrivals) for item in context.leaving
    ]


@then("all of them but one of each kind are answered by the others")
def step_answered_by_others(context):
    """Check the statuses; an error of the leaving engine may be passed on."""
    for answers in (context.reads, context.chats):
        failed = [item for item in answers if item.status != 200 or not item.whole]
        assert len(failed) <= 1, failed


@when("reads are sent for {seconds:g} s")
def step_send_for(context, seconds):
    """Send reads one after the other."""
    context.results, begun = [], time.monotonic()
    while time.monotonic() < begun + seconds:
        context.results.append(context.gateway.send())
        time.sleep(SEND_INTERVAL_S)


@then("that engine got 1 request in the first {seconds:g} s, and more after that")
def step_paused(context, seconds):
    """Check the times of its requests, from the first one."""
    times = [item.at - context.pausing[0].arrivals[0].at for item in context.pausing[0].arrivals]
    assert sum(at < seconds for at in times) == 1, times
    assert len(times) > 1, times


@then("all reads are answered")
def step_reads_answered(context):
    """Check the statuses."""
    assert {item.status for item in context.results} == {200}, context.results


@then("the engines got {count:d} requests in all")
def step_arrivals(context, count):
    """Check what arrived at the engines that pause."""
    assert sum(len(item.arrivals) for item in context.pausing) == count


@when("{count:d} reads are sent in turn")
def step_send_in_turn(context, count):
    """Send reads one after the other, and keep the time that each took."""
    context.results, context.times = [], []
    for _ in range(count):
        begun = time.monotonic()
        context.results.append(context.gateway.send())
        context.times.append(time.monotonic() - begun)


@then("each read is refused within {limit:g} s, to come back in {first:g} to {last:g} s")
def step_refused_at_once(context, limit, first, last):
    """Check the status, the time and the header of each refusal."""
    for answer in context.results:
        assert answer.status == 503, answer
        assert first <= float(answer.headers["retry-after"]) <= last, answer
    assert max(context.times) < limit, context.times


@when("{count:d} reads are sent at the same time")
def step_send_reads_at_once(context, count):
    """Send the reads on connections of their own."""
    gateway, begun = context.gateway, time.monotonic()

    async def send_all():
        calls = [gateway.send_async(path=f"/read/{number}") for number in range(count)]
        return await asyncio.gather(*calls)

    context.results = gateway.thread.run(send_all())
    context.took_s = time.monotonic() - begun


@then("all reads are answered after the pause")
def step_answered_after_pause(context):
    """Check that nothing was refused, and that nothing was answered before."""
    step_reads_answered(context)
    assert context.took_s >= context.pause_s, context.took_s
