"""Steps on the readers of what others write, without a process or a network."""

import hypothesis
import hypothesis.strategies as st
import msgspec
from behave import then
from support import gateway_data, hostile_data

from berylrock.core import routing, stored
from berylrock.daemons.gateway import gossipmessage
from berylrock.ops import crashblame, evidence, loadreport, soundness
from berylrock.platform import configfile, decoding, dutyobjects, storedobjects, translating

INPUTS = 1500
ERA = 1


def read_answer(body):
    """Read bytes as each kind of answer of the store."""
    storedobjects.decode_list(body, ERA)
    storedobjects.decode_changes(body, ERA)
    storedobjects.decode_stored(body, ERA)


def read_objects(body):
    """Read the objects of a list as each kind of object."""
    page = storedobjects.decode_list(body, ERA)
    for item in page.objects if page is not None else ():
        assert isinstance(item, stored.StoredObject)
        decoding.decode_engine(item)
        decoding.decode_config(item.spec)
        decoding.decode_rollout(item)
        decoding.decode_peer(item)
        dutyobjects.decode_duty(item.spec)


def read_request(drawn):
    """Read headers as those of a caller."""
    translating.read_request(b"POST", b"/a?b=\xff", drawn)


def read_response(drawn):
    """Read headers as those of an engine."""
    translating.read_response_head(200, drawn)


def read_file(body):
    """Read a text as a configuration file."""
    text = body.decode("utf-8", "replace")
    configfile.is_config_file(text)
    config, faults = configfile.read_config(text, "drawn")
    assert (config is None) == bool(faults), faults


def read_datagram(body):
    """Read a datagram, and the reports in it."""
    try:
        found = msgspec.msgpack.decode(body, type=gossipmessage.CrashGossipMessage)
    except msgspec.MsgspecError:
        return
    try:
        loadreport.unpack(found.packed_loads, 1.0)
    except ValueError:
        # The gateway counts these, and drops them.
        pass
    for _, _, counts in found.results:
        evidence.decode_counts(counts)
    for item in gossipmessage.decode_crashes(found, 1.0):
        crashblame.CrashBlame().record_reports([item], 1.0)
    for decision in routing.make_blames(found.blamed_parts, found.trials):
        blame = crashblame.CrashBlame()
        blame.adopt(decision, 1.0)
        assert not decision.blamed or blame.trial_in_s(decision.suspect, 0.5, 0) >= 0.0
    crashblame.CrashBlame().hear_sound(found.sound, 1.0)


DATAGRAM = msgspec.msgpack.encode(
    gossipmessage.CrashGossipMessage(
        *("g1", [], [("s", 1, 2)], [("s", "v", (1, 0, 0))], [("s", "v")]),
        blamed_parts=[("a1", True, 1000)],
        trials=[1],
        crash_parts=["a1", "b2"],
        crash_news=[gossipmessage.CrashNews("e", 9, [gossipmessage.CrashedRun("d", 3, b"\0\1")])],
        sound=[soundness.SoundNews("a1", 100)],
    )
)
datagrams = st.tuples(st.integers(0, len(DATAGRAM)), st.binary(max_size=12)).map(
    lambda drawn: DATAGRAM[: drawn[0]] + drawn[1] + DATAGRAM[drawn[0] + len(drawn[1]) :]
)
READERS = {
    "the store's answers": (
        read_answer,
        hostile_data.spoilt_bytes((*hostile_data.LISTS, *hostile_data.CHANGES)),
    ),
    "the store's objects": (read_objects, hostile_data.spoilt_bytes(hostile_data.LISTS)),
    "heads of requests": (read_request, hostile_data.headers),
    "heads of responses": (read_response, hostile_data.headers),
    "configuration files": (
        read_file,
        hostile_data.spoilt_bytes([item["spec"] for item in hostile_data.OBJECTS]),
    ),
    "datagrams of another gateway": (read_datagram, datagrams),
}


@then("no drawn input makes the reader of {what} raise what its caller does not expect")
def step_read(context, what):
    """Read drawn inputs."""
    read, strategy = READERS[what]

    @hypothesis.settings(
        gateway_data.property_settings,
        max_examples=INPUTS,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategy)
    def check(drawn):
        read(drawn)

    check()
