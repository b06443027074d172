"""Steps on a store that comes back from an older copy, with a gateway process."""

import time

from behave import given, then, when
from support.platform import fleet, scenario

PROBES_PER_S = 20


@given("a copy of the store")
def step_copy(context):
    """Keep what the store has now."""
    time.sleep(0.3)
    context.copy = context.gateway.store.take_copy()


@given("a copy of the store without gateways")
def step_copy_without_gateways(context):
    """Start a gateway, and leave its record out of the copy."""
    scenario.start_gateway(context)
    store = context.gateway.store
    context.gateway.wait(lambda: gateway_records(store), "the record is written")
    copy = store.take_copy()
    objects = {key: item for key, item in copy.objects.items() if key[0] != "gateways"}
    context.copy = copy._replace(objects=objects)


def gateway_records(store):
    """Return the names of the gateways with a record."""
    return [name for kind, name in store.objects if kind == "gateways"]


@then("within {seconds:g} s the gateway's record is in the store")
def step_record_again(context, seconds):
    """Wait for the record."""
    begun = time.monotonic()
    store = context.gateway.store
    context.gateway.wait(lambda: gateway_records(store), "the record is written again")
    assert time.monotonic() - begun < seconds, time.monotonic() - begun


def make_config(version):
    """Return a configuration with a route for each version from 2 on."""
    config = fleet.make_config(version)
    for number in range(2, version + 1):
        config["routes"].append(
            fleet.make_route(f"more-{number}", f"/more/{number}/", "idempotent", "plain")
        )
    return config


@when("the operator adds routes until configuration {version:d}")
def step_add_routes(context, version):
    """Write one configuration after the other, and wait until the last one is in force."""
    gateway = context.gateway
    for number in range(2, version + 1):
        gateway.put("config", "main", make_config(number))
    path = f"/more/{version}/a"
    gateway.wait(lambda: gateway.send(path=path).status == 200, "the route is served")


@when("the store comes back from the copy after {seconds:g} s")
def step_restore(context, seconds):
    """Let the store reset all connections, and come back with the copy."""
    gateway = context.gateway
    gateway.thread.run(gateway.store.set_mode("down"))
    time.sleep(seconds)
    restore(context)
    gateway.thread.run(gateway.store.set_mode("up"))


def restore(context):
    """Come back from the copy, and count calls from now on."""
    gateway = context.gateway
    gateway.store.calls.clear()
    gateway.thread.run(gateway.store.restore(context.copy))


@when("the operator writes configuration {first:d} again, and then {second:d} with one more route")
def step_write_again(context, first, second):
    """Leave some time between the two."""
    context.gateway.put("config", "main", make_config(first))
    time.sleep(1.0)
    context.gateway.put("config", "main", make_config(second))
    context.path = f"/more/{second}/a"


@then("within {seconds:g} s the new route is served")
def step_new_route(context, seconds):
    """Wait for the route of the last configuration."""
    gateway, begun = context.gateway, time.monotonic()
    gateway.wait(lambda: gateway.send(path=context.path).status == 200, "the route is served")
    assert time.monotonic() - begun < seconds, time.monotonic() - begun


@then("the gateway has called the store at most {count:d} times since it came back")
def step_few_calls(context, count):
    """Count all calls; a gateway in peace makes about 4 in a second."""
    calls = context.gateway.store.calls
    assert len(calls) <= count, (len(calls), calls[-5:])


@when('the store comes back from the copy, with engine "{name}" draining and {count:d} more writes')
def step_restore_with_writes(context, name, count):
    """Let the revisions pass those before the copy while the store is away."""
    gateway = context.gateway
    gateway.thread.run(gateway.store.set_mode("down"))
    restore(context)
    gateway.add_engine(name, name.partition("-")[0], state="draining", sequence=9)
    for number in range(count):
        gateway.put("other", f"item-{number}", {})
    gateway.thread.run(gateway.store.set_mode("up"))


def count_runs(context, name, seconds):
    """Send reads for some time, and return how many ran on an engine."""
    gateway = context.gateway
    before, until = len(gateway.engines[name].runs), time.monotonic() + seconds
    while time.monotonic() < until:
        gateway.send()
        time.sleep(1 / PROBES_PER_S)
    return len(gateway.engines[name].runs) - before


@then('within {seconds:g} s the engine "{name}" gets no more requests')
def step_no_more(context, seconds, name):
    """Look at a second of reads after the time has passed."""
    count_runs(context, name, seconds)
    assert count_runs(context, name, 1.0) == 0


@then('the engine "{name}" gets no requests for {seconds:g} s')
def step_none_for(context, name, seconds):
    """Send reads meanwhile."""
    assert count_runs(context, name, seconds) == 0


@then('within {seconds:g} s the engine "{name}" gets requests')
def step_gets_requests(context, seconds, name):
    """Send reads until one runs there."""
    gateway, until = context.gateway, time.monotonic() + seconds
    before = len(gateway.engines[name].runs)
    while len(gateway.engines[name].runs) == before:
        assert time.monotonic() < until, gateway.log()[-3000:]
        gateway.send()
        time.sleep(1 / PROBES_PER_S)


@when('the operator takes the zone "{zone}" back')
def step_zone_back(context, zone):
    """Remove the evacuation."""
    context.gateway.thread.run(context.gateway.store.remove("evacuations", zone))


@given('the engine "{name}" has written its entry {sequence:d} times')
def step_sequence(context, name, sequence):
    """Write the entry with this number."""
    context.sequence = sequence
    context.gateway.add_engine(name, name.partition("-")[0], sequence=sequence)


@when('the engine "{name}" is {state:w}, and the gateway has seen it')
def step_engine_state(context, name, state):
    """Write the entry once more, as draining, or remove it."""
    gateway = context.gateway
    if state == "removed":
        gateway.thread.run(gateway.store.remove("servers", name))
    else:
        service = name.partition("-")[0]
        gateway.add_engine(name, service, state=state, sequence=context.sequence + 1)
    gateway.wait(
        lambda: f"event=engine_changed engine={name} what={state}" in gateway.log(), "it is seen"
    )


@when('the engine "{name}" has started again under its name')
def step_engine_restarted(context, name):
    """Write an entry with a later start, and a count that starts anew."""
    context.gateway.started_ms[name] += 1000
    context.gateway.add_engine(name, name.partition("-")[0])


@given('version "{version}" of "{service}" is in the first stage of a rollout of {seconds:g} s')
def step_in_rollout(context, version, service, seconds):
    """Order a rollout, register two engines of the version, and wait for the first status."""
    gateway = context.gateway
    order = {"backend": service, "target": version, "duration-s": seconds}
    gateway.put("rollouts", service, order)
    for number in range(2):
        gateway.add_engine(f"{service}-{version}-{number}", service, version=version)
    gateway.wait(lambda: find_status(context, service), "the rollout has a status")


def find_status(context, service):
    """Return the status of a rollout in the store; None before the first one."""
    stored = context.gateway.store.objects.get(("rollouts", service)) or {}
    return stored.get("status")


@when('another gateway completes the rollout of "{service}"')
def step_complete(context, service):
    """Write the status as another gateway does, and wait until it is seen."""
    gateway = context.gateway
    status = find_status(context, service) | {"state": "completed", "stage": 3}
    gateway.thread.run(gateway.store.put("rollouts", service, status=status))
    gateway.wait(lambda: "state=completed" in gateway.log(), "the end is seen")


@then(
    'within {seconds:g} s the rollout of "{service}" is completed again, '
    'and all its requests run on "{version}"'
)
def step_completed_again(context, seconds, service, version):
    """Send reads meanwhile; the engines of the old version still have their entries."""
    gateway = context.gateway
    old = [
        item
        for name, item in gateway.engines.items()
        if name.startswith(service) and version not in name
    ]
    before, until = sum(len(item.runs) for item in old), time.monotonic() + seconds
    while time.monotonic() < until:
        gateway.send()
        time.sleep(1 / PROBES_PER_S)
    assert find_status(context, service)["state"] == "completed", find_status(context, service)
    assert sum(len(item.runs) for item in old) == before


@when("{seconds:g} s pass")
def step_pass(context, seconds):
    """Count the calls to the store within this time."""
    context.gateway.store.calls.clear()
    time.sleep(seconds)
    context.call_count = len(context.gateway.store.calls)


@then("the gateway has called the store at most {count:d} times meanwhile")
def step_calls_meanwhile(context, count):
    """Check the count."""
    assert 0 < context.call_count <= count, context.call_count


@then("requests are answered")
def step_requests_answered(context):
    """Check one read while the store still has its fault."""
    assert context.gateway.send().status in (200, 503)
