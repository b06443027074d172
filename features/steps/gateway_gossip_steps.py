"""Steps on the datagrams that gateways send each other."""

import re
import socket
import time

import msgspec
from behave import given, then, when
from support.platform import fleet, peergateway, soakfleet

from berylrock.daemons.gateway import gossipmessage
from berylrock.ops import crashlog, evidence, loadreport, rollouts, soundness, views

KEY = evidence.VersionKey("models", "v2")
CHAT, READ = (evidence.ResultKey(*KEY, route) for route in ("chat", "read"))
CHAT_COUNT = 6
METRICS_PORT = 9464
# With this bound every gateway watches the store itself.
TIGHT_APPLY_MS = 2000
LONG_WATCH = re.compile(rb"evacuations\?watch=.*wait-ms=8000")


@given('version "{version}" of "{service}" is in the last stage of a rollout')
def step_last_stage(context, version, service):
    """Order a rollout with a distant deadline, at its last stage, and wait for the version."""
    gateway = context.gateway
    order = {"backend": service, "target": version, "duration-s": 600}
    status = {"state": "in_progress", "target": version, "stage": rollouts.LAST_STAGE}
    gateway.add_engine(f"{service}-{version}", service, version=version)
    gateway.thread.run(gateway.store.put("rollouts", service, order, status))
    gateway.wait(
        lambda: gateway.send_chat().status == 200 and gateway.runs(f"{service}-{version}"),
        "a chat runs on the new version",
    )


@given('another gateway "{name}" is registered and gets datagrams')
def step_peer_gateway(context, name):
    """Register a stand-in, and wait until the gateway under test sends to it."""
    context.peer = peergateway.PeerGateway(context.gateway, name)
    context.cleanups.append(context.peer.close)
    context.mark = context.peer.receive_mark()


def make_report(name, service, version):
    """Return a message that a version is bad, and that the gateway runs three requests."""
    load = loadreport.EngineLoad(loadreport.engine_key("models-0"), 3, 0.0)
    return gossipmessage.GossipMessage(
        name, [], [], [], [(service, version)], packed_loads=loadreport.pack([load], 0.0)
    )


@when('another gateway reports that version "{version}" of "{service}" is bad')
def step_report_bad_version(context, version, service):
    """Send the report as one datagram and wait until the gateway has logged it."""
    gateway = context.gateway
    context.peer.send(make_report(context.peer.name, service, version), context.mark)
    gateway.wait(lambda: "version_vetoed" in gateway.log(), "the report is logged")


@when('a process at another address reports the same about "{version}" of "{service}"')
def step_forged_address(context, version, service):
    """Send the report in the name of the stand-in, with its echo, from another socket."""
    report = make_report(context.peer.name, service, version)
    report.repeated = context.mark
    send_from_elsewhere(context.gateway, report)


@when('a process without a record reports the same about "{version}" of "{service}"')
def step_unknown_name(context, version, service):
    """Send the report in the name of a gateway that has no record."""
    send_from_elsewhere(context.gateway, make_report("entry-9", service, version))


@when('a datagram without an echo reports the same about "{version}" of "{service}"')
def step_without_echo(context, version, service):
    """Send the report from the stand-in's address, as who forges the address could."""
    foreign = context.mark._replace(process=context.mark.process ^ 1)
    for repeated in (gossipmessage.NO_TIMESTAMP, foreign):
        context.peer.send(make_report(context.peer.name, service, version), repeated)


def send_from_elsewhere(gateway, message):
    """Send a message from a new socket, which has an address of its own."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(msgspec.msgpack.encode(message), (gateway.host, gateway.peer_port))


def count_of(gateway, name):
    """Return a counter of the gateway's metrics page; 0 if it is missing."""
    request = fleet.exchange((gateway.host, METRICS_PORT), "GET", "/metrics", [("Host", "x")], b"")
    page = gateway.thread.run(request).body.decode()
    return int(dict(line.split(" ", 1) for line in page.splitlines()).get(name, 0))


@then("{count:d} datagrams were dropped because of their senders")
def step_dropped(context, count):
    """Wait until the metrics say so."""
    gateway = context.gateway
    gateway.wait(lambda: count_of(gateway, "gossip_unknown_sender") == count, "they are counted")


@then("the other gateway is heard, and no version is taken for bad")
def step_heard_only(context):
    """Check that the load report counted, and the rest of the message did not."""
    gateway = context.gateway
    gateway.wait(lambda: count_of(gateway, "gateways_heard") == 1, "the gateway is heard")
    assert "version_vetoed" not in gateway.log()


@then('chats run on other versions than "{version}"')
def step_other_versions(context, version):
    """Check that all chats are answered and that none runs on the version."""
    gateway = context.gateway
    before = len(gateway.runs(f"models-{version}"))
    answers = [gateway.send_chat() for _ in range(CHAT_COUNT)]
    assert {(item.status, item.whole) for item in answers} == {(200, True)}, answers
    assert len(gateway.runs(f"models-{version}")) == before


@then("results of several gateways are summed, from datagrams as well as from records")
def step_pooled(context):
    """Check that a gateway's later report replaces its earlier one, by either way."""
    pool = evidence.EvidencePool()
    pool.record(CHAT, rollouts.Evidence(1, 1, 0))
    pool.record_peer("entry-2", {CHAT: rollouts.Evidence(4, 2, 1)})
    earlier_release = {"models v2": (5, 0, 0, 1, 0, 0), "unreadable": (1, 1)}
    pool.record_peer("entry-3", evidence.decode_results(earlier_release))
    pool.record_peer("entry-2", evidence.decode_results({"models v2 chat": (3, 1, 1, 1)}))
    assert pool.total(KEY) == rollouts.Evidence(10, 3, 1, 1), pool.total(KEY)
    assert pool.by_route(KEY)["chat"] == rollouts.Evidence(5, 3, 1), pool.by_route(KEY)


@then("each route has its own results, and a message carries those with the most answers")
def step_by_route(context):
    """Check that routes are kept apart, and the limit on a message."""
    pool = evidence.EvidencePool()
    pool.record(READ, rollouts.Evidence(9, 0))
    pool.record(CHAT, rollouts.Evidence(2, 1))
    assert pool.by_route(KEY) == {"chat": rollouts.Evidence(2, 1), "read": rollouts.Evidence(9, 0)}
    assert list(evidence.busiest(pool.own, 1)) == [READ]
    assert evidence.decode_results(evidence.encode_results(pool.own)) == pool.own


@then("a request that fails twice on a version counts once, and a later success counts as well")
def step_request_errors(context):
    """Check a request that is sent to four engines of two versions."""
    found = evidence.RequestErrors()
    error, good = rollouts.Evidence(1, 1), rollouts.Evidence(1, 0, 0, 1)
    assert found.is_new("v2", error)
    assert not found.is_new("v2", error)
    assert found.is_new("v1", error)
    assert found.is_new("v2", good)


@then("the lower counts of a restarted gateway do not replace its earlier ones")
def step_restarted_counts(context):
    """Check that a restart, which resets the counts to 0, loses no evidence.

    A new rollout starts without evidence.
    """
    pool = evidence.EvidencePool()
    pool.record_peer("entry-2", {CHAT: rollouts.Evidence(4, 2, 1)})
    pool.record_peer("entry-2", {CHAT: rollouts.Evidence(1, 0, 0)})
    assert pool.total(KEY) == rollouts.Evidence(4, 2, 1)
    other = evidence.VersionKey("other", "v2")
    pool.record(evidence.ResultKey(*other, "chat"), rollouts.Evidence(2, 1, 0))
    pool.discard(KEY.service)
    assert pool.total(KEY) == rollouts.Evidence()
    assert pool.total(other) == rollouts.Evidence(2, 1, 0)


def make_view(revisions, confirmed_at):
    """Return a view with these revisions that was confirmed at the given time."""
    view = views.StoreView()
    view.update(revisions)
    view.freshness.record(confirmed_at)
    return view


@then("a view that equals another gateway's takes over the oldest age which that may have")
def step_confirmed(context):
    """Check for the oldest possible confirmation.

    The datagram may have been in transit, or in a suspended VM, for an unknown time.
    """
    mine, other = make_view({"a": 1}, 2.0), make_view({"a": 1}, 9.0)
    sent_at = views.find_sent_at(views.SendTimestamp(7, 30_000), views.SendTimestamp(7, 10_000))
    mine.receive_report(other.make_report(9.5), sent_at, 30.0)
    assert 20.5 <= mine.freshness.age(30.0) < 20.6, mine.freshness.age(30.0)


@then("timestamps of an earlier process or an earlier boot of the VM are ignored")
def step_foreign_timestamps(context):
    """Check timestamps that come from another clock."""
    assert (
        views.find_sent_at(views.SendTimestamp(7, 30_000), views.SendTimestamp(8, 10_000)) is None
    )
    assert (
        views.find_sent_at(views.SendTimestamp(7, 30_000), views.SendTimestamp(7, 40_000)) is None
    )


@then("a view that differs from a fresher one for too long has missed a change")
def step_behind(context):
    """Check that a new difference may still be in transit, and that an older view is ignored."""
    mine, older = make_view({"a": 1}, 5.0), make_view({"a": 0}, 1.0)
    mine.receive_report(older.make_report(6.0), 6.0, 6.0)
    assert not mine.is_behind(60.0)
    mine.receive_report(make_view({"a": 2}, 6.0).make_report(6.0), 6.0, 6.2)
    assert not mine.is_behind(6.3) and mine.is_behind(7.0)
    assert mine.freshness.age(7.0) == 2.0
    mine.update({"a": 2})
    assert not mine.is_behind(60.0)


@given("three gateways, one of which has silent connections to the store")
def step_three_gateways(context):
    """Silence the store connections of the last gateway.

    It is the last one by name, so that another gateway queries the store for all of them.
    """
    context.gateway.stop()
    running = soakfleet.SoakFleet(context.root, apply_ms=TIGHT_APPLY_MS)
    context.cleanups.append(running.stop)
    running.start_all()
    running.wait(lambda: hears_others(running), "the last gateway receives reports of the others")
    path = running.store_proxies["entry-3"]
    path.first_lines.clear()
    running.wait(
        lambda: any(LONG_WATCH.search(head) for head in path.first_lines), "a watch of 8 s is open"
    )
    path.silence_open_connections()
    context.gateway = running


def hears_others(running):
    """Return whether the last gateway has received reports of both others, by its metrics."""
    page = running.get_metrics_page("entry-3", "/metrics")
    return b"gateways_heard 2" in page


@when('the operator evacuates the zone of all engines but "{name}"')
def step_evacuate_others(context, name):
    """Move the engine to another zone and evacuate the zone of the other engines."""
    context.gateway.add_engine(name, name.partition("-")[0], zone="giarre-d")
    context.gateway.put("evacuations", "etna-a", {})
    context.begun = time.monotonic()


@then('within {seconds:g} s that gateway sends reads to "{name}" only')
def step_reads_only_at(context, seconds, name):
    """Wait for the operators' bound, then check where reads are run."""
    running = context.gateway
    while time.monotonic() < context.begun + seconds:
        time.sleep(0.05)
    before = len(running.runs("plain")) - len(running.engines[name].runs)
    item = running.gateways["entry-3"]
    for _ in range(30):
        assert running.thread.run(running.send_read_async(item)).status == 200
    assert len(running.runs("plain")) - len(running.engines[name].runs) == before


def make_message(engines, routes=0, crashes=0):
    """Return a message on so many engines, routes of a rollout and requests at crashes."""
    reports = [
        crashlog.CrashReport(f"i-{n % 4:010x}", f"{n:012x}", ("5c1e07a2", f"{n:08x}"), 1.0, 0.5)
        for n in range(crashes)
    ]
    crash_parts, crash_news = gossipmessage.encode_crashes(reports, 1.25)
    return gossipmessage.CrashGossipMessage(
        "edge-cluj-a-1",
        [],
        [("models", 4000, 300), ("plain", 900, 20)],
        vetoes=[("models", "v2")],
        route_results=[
            ("models", "v3", f"route-{n}", (99, 9, 9, 99, 90, 80)) for n in range(routes)
        ],
        blamed_parts=[(f"{n:08x}", True, 1_765_000_000_000) for n in range(8)],
        leaving=[f"i-{number:010x}" for number in range(16)],
        packed_loads=loadreport.pack(
            [
                loadreport.EngineLoad(loadreport.engine_key(f"i-{n:010x}"), 3, 1000.0 * (n % 97))
                for n in range(engines)
            ],
            0.25,
        ),
        trials=[1] * 8,
        crash_parts=crash_parts,
        crash_news=crash_news,
        sound=[soundness.SoundNews(f"{n:08x}", 1000) for n in range(soundness.MAX_TOLD)],
    )


@given(
    "a message on {engines:d} engines, {routes:d} routes of a rollout and {crashes:d} broken runs"
)
def step_large_message(context, engines, routes, crashes):
    """Make the message of a gateway that has much to report."""
    context.message = make_message(engines, routes, crashes)


@then("it fits a datagram once it is shrunk, and still names the busiest engines")
def step_shrunk(context):
    """Check the size, and that nothing is missing which decides."""
    gossipmessage.shrink(context.message)
    message = context.message
    assert len(msgspec.msgpack.encode(message)) <= gossipmessage.MAX_DATAGRAM_BYTES
    assert message.vetoes and len(message.blamed_parts) == 8 and len(message.leaving) == 16
    loads = loadreport.unpack(message.packed_loads, 0.0)
    assert loads and message.route_results
    assert all(load.work >= 90_000 for load in loads), loads
    reports = list(gossipmessage.decode_crashes(message, 1.25))
    assert len(reports) >= gossipmessage.FEW_CRASHED_RUNS, reports
    for report in reports:
        assert report.parts == ("5c1e07a2", f"{int(report.request, 16):08x}"), report


@then("a message on {engines:d} engines is not changed")
def step_not_shrunk(context, engines):
    """Check a message that fits."""
    message = make_message(engines, 1, 1)
    gossipmessage.shrink(message)
    assert message == make_message(engines, 1, 1)
