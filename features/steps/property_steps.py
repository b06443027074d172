"""Steps that check properties on many generated values."""

import hashlib
import string
import typing

import hypothesis
from behave import then
from hypothesis import strategies

from berylrock.core import data, errors, message
from berylrock.loader import document, editing
from berylrock.ops import configuration, sessions, subsets
from berylrock.wire import codec

EXAMPLE_COUNT = 200
ENTRY_COUNT, SERVER_COUNT, SUBSET_SIZE = 370, 2800, 64
UINT32_MAX = 2**32 - 1
TEXT = strategies.text(alphabet=string.printable, max_size=40)
run_draws = hypothesis.settings(
    max_examples=EXAMPLE_COUNT, deadline=None, derandomize=True, database=None
)


def field_strategy(name, hint):
    """Return a strategy for the values of a message's field.

    Args:
      name: The name of the field.
      hint: Its type.
    """
    if hint is bool:
        return strategies.booleans()
    if hint is int:
        limit = 2**16 - 1 if name == "status" else UINT32_MAX
        return strategies.integers(0, min(limit, 2**31 - 1))
    if hint is float:
        return strategies.floats(0.0, 1.0)
    if hint is bytes:
        return strategies.binary(max_size=200)
    if hint is str:
        return TEXT
    item = typing.get_args(hint)[0]
    inner = TEXT if item is str else message_strategy(item)
    return strategies.lists(inner, max_size=4).map(tuple)


def message_strategy(cls):
    """Return a strategy for the messages of one type."""
    hints = typing.get_type_hints(cls)
    fields = {name: field_strategy(name, hints[name]) for name in cls._fields}
    return strategies.builds(cls, **fields)


@then("every message is the same after encoding and decoding")
def step_codec(context):
    """Check that decoding returns what was encoded."""
    kinds = [message_strategy(cls) for cls in typing.get_args(message.Message)]

    @run_draws
    @hypothesis.given(strategies.one_of(kinds))
    def check(msg):
        assert codec.decode(codec.encode(msg)) == msg

    check()


@then("the codec decodes any bytes or refuses them")
def step_hostile(context):
    """Check that any bytes are either a message or a ProtocolError."""

    @run_draws
    @hypothesis.given(strategies.binary(max_size=400))
    def check(body):
        try:
            codec.decode(body)
        except errors.ProtocolError:
            pass

    check()


@then("an edited document differs only where it was edited")
def step_edit(context):
    """Check that edits of zones and withdrawals change nothing else."""
    with open("examples/ferrante.jsonc", encoding="utf-8") as file:
        text = file.read()
    doc, _ = document.load(text, "ferrante")
    zones = [zone.name for zone in doc.zones]
    versions = [f"{model.name}@{item.name}" for model in doc.models for item in model.versions]

    @run_draws
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.tuples(strategies.sampled_from(zones), strategies.booleans()),
                strategies.tuples(strategies.sampled_from(versions), strategies.none()),
            ),
            max_size=6,
        )
    )
    def check(edits):
        changed, current = text, doc
        states, withdrawn = {}, set()
        for name, state in edits:
            if state is None:
                changed = editing.add_withdrawal(changed, current, name)
                withdrawn.add(name)
            else:
                changed = editing.set_zone(changed, current, name, state)
                states[name] = state
            current, found = document.load(changed, "edited")
            assert current is not None, found
        assert set(current.withdrawals) == withdrawn
        for zone in current.zones:
            assert zone.in_service == states.get(zone.name, True)
        assert current._replace(zones=doc.zones, withdrawals=()) == doc

    check()


@then("a change of a document gives the new one, and any other result is detected")
def step_change(context):
    """Check that a change between any two texts gives the new one.

    On another base its result does not match its digest.
    """
    texts = strategies.text(alphabet="ab", max_size=30).map(str.encode)

    @run_draws
    @hypothesis.given(texts, texts, texts)
    def check(old, new, other):
        change = configuration.make_change(1, old, 2, new)
        assert configuration.apply_change(old, change) == new
        applied = configuration.apply_change(other, change)
        assert (applied == new) == (hashlib.sha256(applied).digest() == change.digest)

    check()


@then("nearly every server of a large pool is chosen by some entry process")
def step_subsets(context):
    """Check at the designed fleet size that few servers are left out, and print the spread."""
    servers = tuple(data.Server(f"engine-{n}", "z", "p", "a", 1) for n in range(SERVER_COUNT))
    counts = dict.fromkeys((server.name for server in servers), 0)
    for index in range(ENTRY_COUNT):
        chosen = subsets.choose(servers, f"entry-{index}", SUBSET_SIZE)
        assert len(chosen) == SUBSET_SIZE
        for server in chosen:
            counts[server.name] += 1
    values = sorted(counts.values())
    print(
        f"entry processes per server: {values[0]} to {values[-1]}, "
        f"median {values[SERVER_COUNT // 2]}"
    )
    left_out = values.count(0)
    assert left_out <= SERVER_COUNT // 1000, left_out


@then("a session token of one organisation is not valid for another")
def step_tokens(context):
    """Check that tokens are bound to organisation, session and version."""
    version = data.VersionId("maestro", "2")

    @run_draws
    @hypothesis.given(strategies.from_regex(r"[a-z0-9-]{1,20}", fullmatch=True), TEXT)
    def check(session, other):
        token = sessions.sign_token("secret", "cellar", session, version)
        assert sessions.read_token("secret", "cellar", token) == (session, version)
        assert sessions.read_token("secret", "export", token)[1] is None
        assert sessions.read_token("secret", "cellar", session + "~" + other)[1] is None

    check()
