"""Steps on events, logs, settings and the age of knowledge: no process, no network."""

import logging
import os
import time

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from support.gateway_data import property_settings

from berylrock.core import boundedlog, errors
from berylrock.ops import freshness, sse
from berylrock.platform import settings


@then("any cutting of a stream gives the same whole events")
def step_split_events(context):
    """Both kinds of line ends, cut anywhere."""

    @property_settings
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 40), max_size=30), strategies.booleans()
    )
    def check(sizes, carriage):
        end = "\r\n" if carriage else "\n"
        whole = "".join(f"id: {n}{end}data: text {n}{end}{end}" for n in range(1, 9)).encode()
        splitter, found, at = sse.EventSplitter(), [], 0
        for size in [*sizes, len(whole)]:
            found += splitter.feed(whole[at : at + size])
            at += size
        assert [item.id for item in found] == list(range(1, 9))
        assert b"".join(item.data for item in found) == whole and not splitter.rest

    check()


@then("events that the caller has are not passed on again")
def step_once(context):
    """A resumed run may begin too early."""
    sequence = sse.EventSequence(None)
    first = [sequence.advance(sse.Event(b"", n)) for n in (1, 2, 3)]
    again = [sequence.advance(sse.Event(b"", n)) for n in (2, 3, 4)]
    assert first == [True] * 3 and again == [False, False, True]


@then("a missing event is noticed")
def step_gap(context):
    """Only right after the last one is no gap."""
    sequence = sse.EventSequence(3)
    assert sequence.has_gap(sse.Event(b"", 5))
    assert not sequence.has_gap(sse.Event(b"", 4))


@given("a log whose reader takes nothing")
def step_log(context):
    """A pipe that nobody reads."""
    context.reader, context.writer = os.pipe()
    context.handler = boundedlog.RateLimitedHandler(context.writer, lines_per_s=1000.0)
    context.cleanups += [lambda: os.close(context.reader), lambda: os.close(context.writer)]


@then("{count:d} lines are written in a moment and the dropped ones are counted")
def step_many_lines(context, count):
    """Far more than the pipe holds."""
    begun = time.monotonic()
    for number in range(count):
        context.handler.emit(
            logging.makeLogRecord({"msg": f"event=x number={number} " + "y" * 200})
        )
    assert time.monotonic() - begun < 5.0
    assert context.handler.dropped > count / 2


@when("its reader takes lines again")
def step_reader(context):
    """Empty the pipe between lines."""
    os.set_blocking(context.reader, False)
    context.lines = b""
    until = time.monotonic() + 5.0
    while b"log_dropped" not in context.lines and time.monotonic() < until:
        time.sleep(0.005)
        context.handler.emit(logging.makeLogRecord({"msg": "event=later"}))
        try:
            context.lines += os.read(context.reader, 1_000_000)
        except BlockingIOError:
            continue


@then("a line tells how many were dropped")
def step_dropped(context):
    """The count is in the log."""
    assert b"event=log_dropped lines=" in context.lines


@given("platform settings without a store address and with a bad port")
def step_bad_settings(context):
    """Two faults in one file."""
    path = context.root / "boot.toml"
    path.write_text(
        'node-name = "n"\nzone = "z"\nip = "1.2.3.4"\n[listen]\nfrontend = "1.2.3.4"\n'
        'readiness = "1.2.3.4:5"\n[platform]\n'
    )
    try:
        settings.load(str(path))
    except errors.SettingsError as exc:
        context.error = str(exc)


@then("the error names both and how to mend them")
def step_both(context):
    """One line each."""
    assert "platform.address: missing; set it" in context.error
    assert "listen.frontend: write it as IP:PORT" in context.error


@then("knowledge is as old as the call that confirmed it")
def step_age(context):
    """Not as the answer to it."""
    found = freshness.Freshness()
    assert found.age(5.0) == float("inf")
    found.record(10.0)
    assert found.age(12.0) == 2.0
    found.record(9.0)
    assert found.age(12.0) == 2.0


@then("a watch that saw nothing for its whole time confirms less than that time")
def step_quiet(context):
    """Less the time for which watches may hear nothing."""
    found = freshness.Freshness()
    found.record(10.0, 3.0)
    assert found.age(13.0) == freshness.WATCH_BLIND_S
