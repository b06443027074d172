"""Steps on what gateways tell each other by datagrams."""

import socket

import msgspec
from behave import given, then, when

from berylrock.daemons.gateway import gossip
from berylrock.ops import evidence, staging

KEY = evidence.VersionKey("models", "v2")
CHATS = 6


@given('version "{version}" of "{service}" gets every session of a roll-out')
def step_last_stage(context, version, service):
    """The order is at its last stage, far from its end."""
    gateway = context.gateway
    order = {"backend": service, "target": version, "duration-s": 600}
    status = {"state": "in_progress", "target": version, "stage": staging.LAST_STAGE}
    gateway.add_engine(f"{service}-{version}", service, version=version)
    gateway.thread.run(gateway.store.put("rollouts", service, order, status))
    gateway.wait(
        lambda: gateway.chat().status == 200 and gateway.runs(f"{service}-{version}"), "on"
    )


@when('another gateway says that version "{version}" of "{service}" is bad')
def step_veto(context, version, service):
    """One datagram."""
    gateway = context.gateway
    news = gossip.News("entry-2", [], [], [], [(service, version)])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(msgspec.msgpack.encode(news), (gateway.host, gateway.peer_port))
    gateway.wait(lambda: "version_vetoed" in gateway.log(), "heard")


@then('chats go to other versions than "{version}"')
def step_others(context, version):
    """None is sent there, and all are answered."""
    gateway = context.gateway
    before = len(gateway.runs(f"models-{version}"))
    answers = [gateway.chat() for _ in range(CHATS)]
    assert {(item.status, item.whole) for item in answers} == {(200, True)}, answers
    assert len(gateway.runs(f"models-{version}")) == before


@then("results of several gateways count together, whichever way they come")
def step_pooled(context):
    """By datagram and by record, the later one holds."""
    pool = evidence.EvidencePool()
    pool.note(KEY, staging.Evidence(1, 1, 0))
    pool.take("entry-2", {KEY: staging.Evidence(4, 2, 1)})
    pool.take("entry-3", evidence.read_results({"models v2": (5, 0, 0), "unreadable": (1, 1, 1)}))
    pool.take("entry-2", evidence.read_results({"models v2": (3, 1, 1)}))
    assert pool.pooled(KEY) == staging.Evidence(10, 3, 1), pool.pooled(KEY)


@then("a gateway that starts again does not take back what it had seen")
def step_restart(context):
    """Its counts begin at 0; a new roll-out begins anew."""
    pool = evidence.EvidencePool()
    pool.take("entry-2", {KEY: staging.Evidence(4, 2, 1)})
    pool.take("entry-2", {KEY: staging.Evidence(1, 0, 0)})
    assert pool.pooled(KEY) == staging.Evidence(4, 2, 1)
    pool.clear()
    assert pool.pooled(KEY) == staging.Evidence()
