"""Steps on events, logs, settings and freshness, without a process or a network."""

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


@then("a stream split at any positions has the same complete events")
def step_split_events(context):
    """Use both kinds of line ends and split the stream at any position."""

    @property_settings
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 40), max_size=30), strategies.booleans()
    )
    def check(sizes, crlf):
        end = "\r\n" if crlf else "\n"
        whole = "".join(f"id: {n}{end}data: text {n}{end}{end}" for n in range(1, 9)).encode()
        splitter, events, at = sse.EventSplitter(), [], 0
        for size in [*sizes, len(whole)]:
            events += splitter.feed(whole[at : at + size])
            at += size
        assert [item.id for item in events] == list(range(1, 9))
        assert b"".join(item.data for item in events) == whole and not splitter.rest

    check()


@then("events that the caller already has are not forwarded again")
def step_no_repeated_event(context):
    """Check a resumed run, which may start with events that were sent before."""
    sequence = sse.EventSequence(None)
    first = [sequence.advance(sse.Event(b"", n)) for n in (1, 2, 3)]
    again = [sequence.advance(sse.Event(b"", n)) for n in (2, 3, 4)]
    assert first == [True] * 3 and again == [False, False, True]


@then("a missing event is detected")
def step_gap(context):
    """Check that only an event right after the last one leaves no gap."""
    sequence = sse.EventSequence(3)
    assert sequence.has_gap(sse.Event(b"", 5))
    assert not sequence.has_gap(sse.Event(b"", 4))


@given("a log that is not read")
def step_unread_log(context):
    """Write the log to a pipe that is not read."""
    context.reader, context.writer = os.pipe()
    context.handler = boundedlog.RateLimitedHandler(context.writer, lines_per_s=1000.0)
    context.cleanups += [lambda: os.close(context.reader), lambda: os.close(context.writer)]


@then("{count:d} lines are written without blocking and the dropped ones are counted")
def step_many_lines(context, count):
    """Write far more lines than the pipe holds."""
    begun = time.monotonic()
    for number in range(count):
        context.handler.emit(
            logging.makeLogRecord({"msg": f"event=x number={number} " + "y" * 200})
        )
    assert time.monotonic() - begun < 5.0
    assert context.handler.dropped > count / 2


@when("the log is read again")
def step_read_log(context):
    """Read the pipe between further lines until the dropped lines are reported."""
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


@then("a log line has the number of dropped lines")
def step_dropped(context):
    """Check for the log line that has the count."""
    assert b"event=log_dropped lines=" in context.lines


@given("platform settings without a store address and with an invalid port")
def step_invalid_settings(context):
    """Load a settings file with two errors."""
    path = context.root / "boot.toml"
    path.write_text(
        'node-name = "n"\nzone = "z"\nip = "1.2.3.4"\n[listen]\nfrontend = "1.2.3.4"\n'
        'readiness = "1.2.3.4:5"\n[platform]\n'
    )
    try:
        settings.load(str(path))
    except errors.SettingsError as exc:
        context.error = str(exc)


@then("the error message names both errors and how to correct them")
def step_both_errors(context):
    """Check for both errors with their remedies."""
    assert "platform.address: missing; set it" in context.error
    assert "listen.frontend: write it as IP:PORT" in context.error


@then("the age of a confirmation counts from the call, not from its answer")
def step_age(context):
    """Check that an earlier confirmation does not replace a later one."""
    confirmed = freshness.Freshness()
    assert confirmed.age(5.0) == float("inf")
    confirmed.record(10.0)
    assert confirmed.age(12.0) == 2.0
    confirmed.record(9.0)
    assert confirmed.age(12.0) == 2.0


@then("a watch that ends without a change confirms less than its whole duration")
def step_watch_without_change(context):
    """Check that the time in which watches may miss changes is subtracted."""
    confirmed = freshness.Freshness()
    confirmed.record(10.0, 3.0)
    assert confirmed.age(13.0) == freshness.WATCH_BLIND_S
