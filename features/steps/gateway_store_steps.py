"""Steps on the contents and the faults of the store, with a gateway process."""

import signal
import time

from behave import given, then, when
from support.platform import fleet, scenario


@given('the engine "{name}" is in zone "{zone}"')
def step_engine_zone(context, name, zone):
    """Register an engine in a zone."""
    context.gateway.add_engine(name, name.partition("-")[0], zone=zone)
    time.sleep(0.2)


@given("the store applies writes without answering them")
def step_store_drops_write_answers(context):
    """Let the store apply writes without answering them."""
    context.gateway.thread.run(context.gateway.store.set_mode("lossy"))


@when("the operator withdraws the key")
def step_withdraw_key(context):
    """Write a configuration that has another key instead."""
    context.gateway.put("config", "main", fleet.make_config(2, keys=("key-two",)))


@then("within {seconds:g} s a request with the key is answered {status:d}")
def step_key_refused(context, seconds, status):
    """Poll until a read with the key has the status; the operators set the bound."""
    begun = time.monotonic()
    context.gateway.wait(lambda: context.gateway.send().status == status, "the key has the status")
    assert time.monotonic() - begun < seconds


@when('the store enters the mode "{mode}"')
def step_store_mode(context, mode):
    """Set the fault mode of the store."""
    context.gateway.thread.run(context.gateway.store.set_mode(mode))


@when("the store is available again")
def step_store_available(context):
    """Let the store answer again."""
    context.gateway.thread.run(context.gateway.store.set_mode("up"))


@then("within {seconds:g} s requests are answered {status:d}")
def step_requests_answered_within(context, seconds, status):
    """Poll until a read has the status; the check adds 1 s to the bound."""
    begun = time.monotonic()
    context.gateway.wait(lambda: context.gateway.send().status == status, f"status {status}")
    assert time.monotonic() - begun < seconds + 1.0, time.monotonic() - begun


@then("no engine runs a request after that")
def step_no_more_runs(context):
    """Check that further requests are refused and do not run."""
    before = len(context.gateway.runs("plain"))
    assert [context.gateway.send().status for _ in range(5)] == [503] * 5
    assert len(context.gateway.runs("plain")) == before


@when("the store is down for {seconds:g} s")
def step_store_down(context, seconds):
    """Send reads while the store resets all connections."""
    gateway = context.gateway
    gateway.thread.run(gateway.store.set_mode("down"))
    until = time.monotonic() + seconds
    context.results = []
    while time.monotonic() < until:
        context.results.append(gateway.send())
    gateway.thread.run(gateway.store.set_mode("up"))


@then("all requests sent during this time are answered {status:d}")
def step_all_status(context, status):
    """Check the status of all answers."""
    assert context.results and {answer.status for answer in context.results} == {status}


@when('the engine "{name}" reports that it is draining')
def step_engine_drains(context, name):
    """Register the engine as draining."""
    context.gateway.add_engine(name, name.partition("-")[0], state="draining")


@then('the engine "{name}" ran no request')
def step_engine_idle(context, name):
    """Check that the engine ran no request."""
    assert not context.gateway.engines[name].runs


@when('the engine "{name}" is replaced by another one at its address')
def step_engine_replaced(context, name):
    """Change the id of the process at the address while the old entry still exists."""
    context.gateway.engines[name].id = "someone-else"


@when('the operator evacuates the zone "{zone}"')
def step_evacuate_zone(context, zone):
    """Write an evacuation of the zone."""
    context.gateway.put("evacuations", zone, {})


@when('the operator orders a rollout of version "{version}" of "{service}" and its engines start')
def step_order_rollout(context, version, service):
    """Order a rollout of 2 s and register two engines of the version."""
    order = {"backend": service, "target": version, "duration-s": 2}
    context.gateway.put("rollouts", service, order)
    for number in range(2):
        context.gateway.add_engine(f"{service}-{version}-{number}", service, version=version)


@when("entries that cannot be decoded are written to the store")
def step_write_unreadable(context):
    """Write objects with fields that are missing, unknown or of another type."""
    gateway = context.gateway
    entry = {"backend": "plain", "address": "127.0.0.1:1", "zone": "z", "version": "v1"}
    gateway.put("servers", "bad-1", "not an entry")
    gateway.put("servers", "bad-2", entry | {"state": 7})
    gateway.put("servers", "bad-3", entry | {"state": "resting"})
    gateway.put("servers", "bad-4", entry | {"address": 5, "state": "ready"})
    gateway.put("rollouts", "plain", ["what"])
    gateway.put("config", "main", "no configuration")
    gateway.put("gateways", "bad", {"beat": "x"})


@when("the store drops its history and an engine leaves at the same time")
def step_store_drops_history(context):
    """Remove an engine between two watches, so that no watch reports it."""
    gateway = context.gateway

    async def drop_history():
        async with gateway.store._changed:
            gateway.store.revision += 1
            gateway.store.objects.pop(("servers", "plain-0"))
        await gateway.store.drop_history()

    gateway.thread.run(drop_history())


@when("the settings change without a signal")
def step_change_settings(context):
    """Change one setting in the settings file."""
    path = context.root / "entry-1.toml"
    path.write_text(path.read_text().replace("retry-extra = 50", "retry-extra = 5000"))


@then("the gateway reloads them")
def step_settings_reloaded(context):
    """Wait for the log line on the reload."""
    context.gateway.wait(
        lambda: "event=reloaded changed=True" in context.gateway.log(), "the settings are reloaded"
    )


@when("the settings become invalid and SIGHUP is sent")
def step_break_settings(context):
    """Remove the address of the store from the settings file and send SIGHUP."""
    path = context.root / "entry-1.toml"
    path.write_text(path.read_text().replace("[platform]", "[plattform]"))
    context.gateway.signal(signal.SIGHUP)


@then("the gateway logs the error and continues")
def step_keeps_old_settings(context):
    """Check that the log names the error and that reads are still answered."""
    context.gateway.wait(
        lambda: "platform.address: missing" in context.gateway.log(), "the error is logged"
    )
    assert context.gateway.send().status == 200


@when('the store is in the mode "{mode}" for {seconds:g} s')
def step_store_refuses(context, mode, seconds):
    """Send reads while the store refuses all calls, and wait until it is in use again."""
    gateway = context.gateway
    gateway.thread.run(gateway.store.set_mode(mode))
    until = time.monotonic() + seconds
    context.results = []
    while time.monotonic() < until:
        context.results.append(gateway.send())
    gateway.wait(lambda: "event=store_lost" in gateway.log(), "the loss of the store is logged")
    gateway.thread.run(gateway.store.set_mode("up"))
    gateway.wait(lambda: "event=store_regained" in gateway.log(), "the store is in use again")


@given(
    "a store that returns {count:d} objects per page and loses {lost:d} requests for later pages"
)
def step_lost_pages(context, count, lost):
    """Restart the gateway with a store that resets some requests."""
    scenario.start_gateway(context, plain=4, page_size=count, lost_pages=lost)


@then("the gateway is ready and has read the first page of the engines once")
def step_first_page_once(context):
    """Check the calls that the store received."""
    gateway = context.gateway
    assert gateway.store.lost_pages == 0
    calls = [target for _, target in gateway.store.calls]
    assert calls.count("/objects/servers") == 1, calls


@given("a store that returns {count:d} objects per page")
def step_small_pages(context, count):
    """Restart the gateway with a store whose pages hold fewer objects than there are engines."""
    scenario.start_gateway(context, plain=4, page_size=count)


@then("every plain engine ran a request")
def step_all_ran(context):
    """Check that the engines of all pages are known."""
    assert all(item.runs for item in scenario.plain_engines(context))
