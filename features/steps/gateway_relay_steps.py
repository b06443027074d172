"""Steps on running gateways that read the store through a relay."""

import signal
import socket
import time

import msgspec
from behave import given, then, when
from support import relay_data
from support.platform import fleet, soakfleet

from berylrock.daemons.gateway import relay
from berylrock.ops import views
from berylrock.platform import names

NEW_KEY = "key-two"
METRIC = b"reads_through_relay 1"


def reads_through_relay(running, name):
    """Return whether a gateway reads through a relay, by its metrics."""
    return METRIC in running.get_metrics_page(name, "/metrics")


@given("three gateways that read through one")
def step_three_relayed(context):
    """Start three gateways of one zone and wait until two of them read through the third."""
    running = soakfleet.SoakFleet(context.root)
    context.cleanups.append(running.stop)
    running.start_all()
    names = list(running.gateways)
    running.wait(
        lambda: sum(reads_through_relay(running, name) for name in names) == 2,
        "two gateways read through a relay",
    )
    context.running = running
    ranked = sorted(
        names,
        key=lambda name: len(
            relay_data.rank_for(
                relay_data.make_peer(name), names, list(map(relay_data.make_peer, names))
            )
        ),
    )
    context.relay, context.followers = ranked[0], ranked[1:]
    context.out_of_reach = set()
    assert not reads_through_relay(running, context.relay)


@then("for {seconds:g} s the other two make no call to the store but for their records")
def step_no_calls(context, seconds):
    """Check the first lines that arrive at their proxies."""
    proxies = [context.running.store_proxies[name] for name in context.followers]
    for item in proxies:
        item.first_lines.clear()
    time.sleep(seconds)
    lines = [line for item in proxies for line in item.first_lines]
    assert not [line for line in lines if b"/objects/gateways/" not in line], lines


@when("nothing happens")
def step_nothing(context):
    """Leave all gateways as they are."""


@when("the relay is frozen")
def step_freeze(context):
    """Stop the relay's process with a signal."""
    context.running.gateways[context.relay].popen.send_signal(signal.SIGSTOP)
    context.out_of_reach.add(context.relay)


@when("the relay and the next one are frozen")
def step_freeze_both(context):
    """Stop the two gateways that rank first."""
    step_freeze(context)
    context.running.gateways[context.followers[0]].popen.send_signal(signal.SIGSTOP)
    context.out_of_reach.add(context.followers[0])


@when("the relay is killed")
def step_kill(context):
    """Send SIGKILL to the relay."""
    context.running.gateways[context.relay].stop()
    context.out_of_reach.add(context.relay)


@when("the relay's path to the store is cut")
def step_cut(context):
    """Hold back all bytes between the relay and the store, in both directions."""
    context.running.store_proxies[context.relay].blocked_directions |= {"up", "down"}
    context.out_of_reach.add(context.relay)


@when("the relay's connections to the store reset")
def step_refuse(context):
    """Reset the relay's open and new connections to the store."""
    path = context.running.store_proxies[context.relay]
    path.refusing = True
    path.reset()
    context.out_of_reach.add(context.relay)


@when("the relay's open connections to the store go silent")
def step_silence(context):
    """Stop forwarding on the connections that are open now."""
    context.running.store_proxies[context.relay].silence_open_connections()
    context.out_of_reach.add(context.relay)


@when("the operator replaces the key")
def step_replace_key(context):
    """Write a configuration that has another key instead."""
    context.running.put("config", "main", fleet.make_config(2, keys=(NEW_KEY,)))
    context.begun = time.monotonic()


@then("within {seconds:g} s every gateway that can reach the store refuses the old key")
def step_key_refused_everywhere(context, seconds):
    """Poll each gateway until it refuses the key; the bound is the operators'."""
    running = context.running
    for name, item in running.gateways.items():
        if name in context.out_of_reach:
            continue
        running.wait(
            lambda item=item: running.thread.run(running.send_read_async(item)).status == 401,
            f"{name} refuses the key",
        )
        assert time.monotonic() - context.begun < seconds, (name, time.monotonic() - context.begun)


@when("the store is down for {seconds:g} s for all gateways")
def step_store_down_for_all(context, seconds):
    """Let the store reset all connections."""
    running = context.running
    running.thread.run(running.store.set_mode("down"))
    for item in running.store_proxies.values():
        item.first_lines.clear()
    time.sleep(seconds)
    context.calls = {name: len(item.first_lines) for name, item in running.store_proxies.items()}
    running.thread.run(running.store.set_mode("up"))


@then("each gateway made at most {most:d} calls during this time")
def step_few_calls(context, most):
    """Check the gateways that read through the relay; the relay itself watches four kinds."""
    found = {name: context.calls[name] for name in context.followers}
    assert max(found.values()) <= most, context.calls


@then("the gateway that watches the store made at most {most:d} calls during this time")
def step_few_calls_of_relay(context, most):
    """Check the relay, which tries to list four kinds again."""
    assert context.calls[context.relay] <= most, context.calls


@then("within {seconds:g} s every gateway answers reads")
def step_all_answer(context, seconds):
    """Poll each gateway until it answers a read."""
    running, begun = context.running, time.monotonic()
    for name, item in running.gateways.items():
        running.wait(
            lambda item=item: running.thread.run(running.send_read_async(item)).status == 200,
            f"{name} answers",
        )
    assert time.monotonic() - begun < seconds + 1.0, time.monotonic() - begun


@then("no engine was taken out of use")
def step_no_engine_removed(context):
    """Check the logs of all gateways."""
    for item in context.running.gateways.values():
        assert "what=removed" not in item.log(), item.name


@when("bytes that are no poll are sent to the relay")
def step_send_garbage(context):
    """Send a length that is too large, and wait for the end of the connection."""
    context.rest = send_to_relay(context, b"\xff" * 64)


@when("a process at another address polls the relay in the name of a gateway")
def step_poll_from_elsewhere(context):
    """Send a poll that is valid but for its source, and wait for the end of the connection."""
    positions = [relay.KindPosition(0, b"")] * len(names.RELAYED_KINDS)
    poll = relay.Poll(context.followers[0], views.SendTimestamp(1, 1), positions)
    data = msgspec.msgpack.encode(poll)
    context.rest = send_to_relay(context, len(data).to_bytes(4, "big") + data)


def send_to_relay(context, data):
    """Send bytes to the relay from a new connection, and return the first bytes of the answer."""
    item = context.running.gateways[context.relay]
    with socket.create_connection((item.host, item.peer_port), timeout=5.0) as sock:
        sock.sendall(data)
        try:
            return sock.recv(64)
        except ConnectionResetError:
            return b""


@then("the relay closes that connection and counts it")
def step_garbage_counted(context):
    """Check the answer and the relay's metrics."""
    assert context.rest == b""
    page = context.running.get_metrics_page(context.relay, "/metrics")
    assert b"relay_unreadable 1" in page, page


@when("the relay and the next one are refused by the store for {seconds:g} s")
def step_refuse_both(context, seconds):
    """Reset the connections of the two gateways that rank first, and wait."""
    for name in (context.relay, context.followers[0]):
        path = context.running.store_proxies[name]
        path.refusing = True
        path.reset()
    time.sleep(seconds)


@when('the entry of the engine "{name}" is removed')
def step_remove_entry(context, name):
    """Remove the entry, as the platform does for an engine that left without notice."""
    context.running.thread.run(context.running.store.remove("servers", name))


@then('within {seconds:g} s the gateway that reaches the store has taken "{name}" out of use')
def step_out_of_use(context, seconds, name):
    """Wait until the log of the third gateway says so; the bound is the operators'."""
    item, begun = context.running.gateways[context.followers[1]], time.monotonic()
    context.running.wait(
        lambda: f"engine={name} what=removed" in item.log(), "the engine is removed"
    )
    assert time.monotonic() - begun < seconds, time.monotonic() - begun
