"""Steps on what gateways tell each other by datagrams."""

import re
import socket
import time

import msgspec
from behave import given, then, when
from support.platform import soakfleet

from berylrock.daemons.gateway import gossip
from berylrock.ops import evidence, rollouts, views

KEY = evidence.VersionKey("models", "v2")
CHATS = 6
LONG_WATCH = re.compile(rb"evacuations\?watch=.*wait-ms=8000")


@given('version "{version}" of "{service}" gets every session of a roll-out')
def step_last_stage(context, version, service):
    """The order is at its last stage, far from its end."""
    gateway = context.gateway
    order = {"backend": service, "target": version, "duration-s": 600}
    status = {"state": "in_progress", "target": version, "stage": rollouts.LAST_STAGE}
    gateway.add_engine(f"{service}-{version}", service, version=version)
    gateway.thread.run(gateway.store.put("rollouts", service, order, status))
    gateway.wait(
        lambda: gateway.send_chat().status == 200 and gateway.runs(f"{service}-{version}"), "on"
    )


@when('another gateway says that version "{version}" of "{service}" is bad')
def step_veto(context, version, service):
    """One datagram."""
    gateway = context.gateway
    news = gossip.GossipMessage("entry-2", [], [], [], [(service, version)])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(msgspec.msgpack.encode(news), (gateway.host, gateway.peer_port))
    gateway.wait(lambda: "version_vetoed" in gateway.log(), "heard")


@then('chats go to other versions than "{version}"')
def step_others(context, version):
    """None is sent there, and all are answered."""
    gateway = context.gateway
    before = len(gateway.runs(f"models-{version}"))
    answers = [gateway.send_chat() for _ in range(CHATS)]
    assert {(item.status, item.whole) for item in answers} == {(200, True)}, answers
    assert len(gateway.runs(f"models-{version}")) == before


@then("results of several gateways count together, whichever way they come")
def step_pooled(context):
    """By datagram and by record, the later one holds."""
    pool = evidence.EvidencePool()
    pool.record(KEY, rollouts.Evidence(1, 1, 0))
    pool.record_peer("entry-2", {KEY: rollouts.Evidence(4, 2, 1)})
    pool.record_peer(
        "entry-3", evidence.decode_results({"models v2": (5, 0, 0, 1, 0, 0), "unreadable": (1, 1)})
    )
    pool.record_peer("entry-2", evidence.decode_results({"models v2": (3, 1, 1, 1)}))
    assert pool.total(KEY) == rollouts.Evidence(10, 3, 1, 1), pool.total(KEY)


@then("a gateway that starts again does not take back what it had seen")
def step_restart(context):
    """Its counts begin at 0; a new roll-out begins anew."""
    pool = evidence.EvidencePool()
    pool.record_peer("entry-2", {KEY: rollouts.Evidence(4, 2, 1)})
    pool.record_peer("entry-2", {KEY: rollouts.Evidence(1, 0, 0)})
    assert pool.total(KEY) == rollouts.Evidence(4, 2, 1)
    pool.clear()
    assert pool.total(KEY) == rollouts.Evidence()


def make_view(revisions, confirmed_at):
    """A view with these revisions, confirmed at a time."""
    view = views.StoreView()
    view.replace(revisions)
    view.freshness.record(confirmed_at)
    return view


@then("a view like another gateway's is as fresh as that one can be at the oldest")
def step_confirmed(context):
    """The datagram was under way, or in a suspended VM, for some unknown time."""
    mine, other = make_view({"a": 1}, 2.0), make_view({"a": 1}, 9.0)
    sent_at = views.find_sent_at(views.SendTimestamp(7, 30_000), views.SendTimestamp(7, 10_000))
    mine.receive_report(other.make_report(9.5), sent_at, 30.0)
    assert 20.5 <= mine.freshness.age(30.0) < 20.6, mine.freshness.age(30.0)


@then("a mark of an earlier process or of an earlier start of the VM says nothing")
def step_marks(context):
    """Its clock was another one."""
    assert (
        views.find_sent_at(views.SendTimestamp(7, 30_000), views.SendTimestamp(8, 10_000)) is None
    )
    assert (
        views.find_sent_at(views.SendTimestamp(7, 30_000), views.SendTimestamp(7, 40_000)) is None
    )


@then("a view that differs from a fresher one for long has missed a change")
def step_behind(context):
    """At once it is merely under way; an older view says nothing."""
    mine, older = make_view({"a": 1}, 5.0), make_view({"a": 0}, 1.0)
    mine.receive_report(older.make_report(6.0), 6.0, 6.0)
    assert not mine.is_behind(60.0)
    mine.receive_report(make_view({"a": 2}, 6.0).make_report(6.0), 6.0, 6.2)
    assert not mine.is_behind(6.3) and mine.is_behind(7.0)
    assert mine.freshness.age(7.0) == 2.0
    mine.change({"a": 2}, set())
    assert not mine.is_behind(60.0)


@given("three gateways, of which one's connections to the store have gone silent")
def step_three(context):
    """The last by name, so that another one asks the store for all."""
    context.gateway.stop()
    running = soakfleet.SoakFleet(context.root)
    context.cleanups.append(running.stop)
    running.start_all()
    running.wait(lambda: knows_others(running), "the gateways know each other")
    path = running.store_proxies["entry-3"]
    path.first_lines.clear()
    running.wait(lambda: any(LONG_WATCH.search(head) for head in path.first_lines), "a long watch")
    path.silence_open_connections()
    context.gateway = running


def knows_others(running):
    """Whether each gateway has been heard by the last one, by its own metrics."""
    page = running.get_metrics_page("entry-3", "/metrics")
    return b"gateways_heard 2" in page


@when('the operator takes out the zone of all engines but "{name}"')
def step_out(context, name):
    """Its entry names another zone."""
    context.gateway.add_engine(name, name.partition("-")[0], zone="giarre-d")
    context.gateway.put("evacuations", "etna-a", {})
    context.begun = time.monotonic()


@then('within {seconds:g} s the silenced gateway sends reads to "{name}" only')
def step_only(context, seconds, name):
    """By the operators' bound."""
    running = context.gateway
    while time.monotonic() < context.begun + seconds:
        time.sleep(0.05)
    before = len(running.runs("plain")) - len(running.engines[name].runs)
    item = running.gateways["entry-3"]
    for _ in range(30):
        assert running.thread.run(running.send_read_async(item)).status == 200
    assert len(running.runs("plain")) - len(running.engines[name].runs) == before
