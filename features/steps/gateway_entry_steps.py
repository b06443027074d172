"""Steps on entries in the store that another writer made, with a gateway process."""

import time

from behave import then, when
from support.platform import fleet

# Names of raw texts in place of an entry's spec, or of one of its fields.
SPEC, FIELD = "raw-spec", "raw-field"
NESTED = b"[" * 5000 + b"]" * 5000
ODD_SPECS = {
    "5000 nested lists": NESTED,
    "300 nested objects": b'{"a":' * 300 + b"1" + b"}" * 300,
    "a number of 5000 digits": b"9" * 5000,
    "the number 1e999": b"1e999",
    "a value that is no number": b"NaN",
    "half of a character": b'"\\ud800"',
    "bytes that are no text": b'"\xff\xfe"',
}
ODD_FIELDS = {
    "port 99999": {"address": "127.0.0.1:99999"},
    "port -5": {"address": "127.0.0.1:-5"},
    "a host with a zero byte": {"address": "127.0.0.1\0:8000"},
    "a host that is a name": {"address": "engine.example:8000"},
    "an address of another network": {"address": "[::1%x]:8000"},
    "10^30 slots": {"batch-slots": 10**30},
    "a count below zero": {"sequence": -1},
    "a start in the far future": {"born": 10**30},
}
ODD_NAMES = {
    "a name outside Latin-1": "plain \u2013 prova",
    "a name with a line break": "plain\r\nX-Odd: 1",
    "a name that ends in a space": "plain ",
}
PROBE_INTERVAL_S = 0.03
# An address on which no one listens.
NOBODY = "127.0.0.1:1"


@when("an engine's entry with {what} is written, and another engine is added after it")
def step_odd_entry(context, what):
    """Write the entry between those of sound engines, by name and by time."""
    gateway = context.gateway
    entry = fleet.make_entry("plain", NOBODY)
    if what in ODD_SPECS:
        gateway.store.raw_texts[FIELD] = ODD_SPECS[what]
        entry["more"] = FIELD
    elif what.startswith("no "):
        del entry[what.removeprefix("no ")]
    elif what in ODD_NAMES:
        # The address is that of an engine that would answer.
        entry["address"] = gateway.address_of("plain-0")
    else:
        entry |= ODD_FIELDS[what]
    gateway.put("servers", ODD_NAMES.get(what, "plain-00"), entry)
    time.sleep(0.1)
    gateway.add_engine("plain-9", "plain")


@when('the entry of the engine "{name}" becomes 5000 nested lists')
def step_entry_replaced(context, name):
    """Replace the whole spec."""
    context.gateway.store.raw_texts[SPEC] = NESTED
    context.gateway.put("servers", name, SPEC)


@when('the engine "{name}" writes its entry again')
def step_entry_again(context, name):
    """Write the entry that it had."""
    context.gateway.add_engine(name, name.partition("-")[0])


@then("all reads are answered by engines that exist")
def step_answered(context):
    """Send reads and check the answers."""
    for _ in range(20):
        answer = context.gateway.send()
        assert answer.status == 200 and answer.whole, answer
        time.sleep(PROBE_INTERVAL_S)


@when("the gateway is started again")
def step_started_again(context):
    """Let it read the whole list."""
    gateway = context.gateway
    gateway.entry.stop()
    gateway.start()


@then("no task of the gateway has failed")
def step_no_task_failed(context):
    """Check the log; requests that met an unexpected error count as well."""
    log = context.gateway.log()
    assert "attempt_error" not in log and "request_error" not in log, log[-3000:]
    assert "task_failed" not in log and "Traceback" not in log, log[-3000:]
