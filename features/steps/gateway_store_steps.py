"""Steps on what the store says, and on its faults, with a gateway process."""

import signal
import time

from behave import given, then, when
from support.platform import fleet, scenario


@given('the engine "{name}" is in zone "{zone}"')
def step_zone(context, name, zone):
    """Register an engine in a zone."""
    context.gateway.add_engine(name, name.partition("-")[0], zone=zone)
    time.sleep(0.2)


@given("the store loses the answers to writes")
def step_lossy(context):
    """Writes are done and not answered."""
    context.gateway.thread.run(context.gateway.store.set_mode("lossy"))


@when("the operator withdraws the key")
def step_withdraw(context):
    """Write a configuration with another key."""
    context.gateway.put("config", "main", fleet.make_config(2, keys=("key-two",)))


@then("within {seconds:g} s the key is answered {status:d}")
def step_key_refused(context, seconds, status):
    """Ask until it is so; the bound is the operators'."""
    begun = time.monotonic()
    context.gateway.wait(lambda: context.gateway.send().status == status, "key refused")
    assert time.monotonic() - begun < seconds


@when("the store becomes {mode}")
def step_mode(context, mode):
    """Change the store's mode."""
    context.gateway.thread.run(context.gateway.store.set_mode(mode))


@when("the store is up again")
def step_up(context):
    """Let the store answer again."""
    context.gateway.thread.run(context.gateway.store.set_mode("up"))


@then("within {seconds:g} s requests are answered {status:d}")
def step_within(context, seconds, status):
    """Ask until it is so."""
    begun = time.monotonic()
    context.gateway.wait(lambda: context.gateway.send().status == status, f"status {status}")
    assert time.monotonic() - begun < seconds + 1.0, time.monotonic() - begun


@then("no engine runs anything after that")
def step_no_more_runs(context):
    """Requests after the stop do not run."""
    before = len(context.gateway.runs("plain"))
    assert [context.gateway.send().status for _ in range(5)] == [503] * 5
    assert len(context.gateway.runs("plain")) == before


@when("the store is down for {seconds:g} s")
def step_down(context, seconds):
    """Send while the store resets all calls."""
    gateway = context.gateway
    gateway.thread.run(gateway.store.set_mode("down"))
    until = time.monotonic() + seconds
    context.results = []
    while time.monotonic() < until:
        context.results.append(gateway.send())
    gateway.thread.run(gateway.store.set_mode("up"))


@then("all requests sent meanwhile are answered {status:d}")
def step_all_status(context, status):
    """All got the status."""
    assert context.results and {answer.status for answer in context.results} == {status}


@when('the engine "{name}" says that it is draining')
def step_draining(context, name):
    """Register an engine as draining."""
    context.gateway.add_engine(name, name.partition("-")[0], state="draining")


@then('the engine "{name}" ran nothing')
def step_engine_idle(context, name):
    """An engine got no request."""
    assert not context.gateway.engines[name].runs


@when('the engine "{name}" is replaced by another one at its address')
def step_replaced(context, name):
    """The process at an address has another id before its old entry is gone."""
    context.gateway.engines[name].id = "someone-else"


@when('the operator takes the zone "{zone}" out')
def step_evacuate(context, zone):
    """Write an evacuation."""
    context.gateway.put("evacuations", zone, {})


@when('the operator orders version "{version}" of "{service}" and its engines start')
def step_rollout(context, version, service):
    """Order a roll-out."""
    order = {"backend": service, "target": version, "duration-s": 2}
    context.gateway.put("rollouts", service, order)
    for number in range(2):
        context.gateway.add_engine(f"{service}-{version}-{number}", service, version=version)


@when("entries that cannot be read are written to the store")
def step_unreadable(context):
    """Write what no engine wrote."""
    gateway = context.gateway
    entry = {"backend": "plain", "address": "127.0.0.1:1", "zone": "z", "version": "v1"}
    gateway.put("servers", "bad-1", "not an entry")
    gateway.put("servers", "bad-2", entry | {"state": 7})
    gateway.put("servers", "bad-3", entry | {"state": "resting"})
    gateway.put("servers", "bad-4", entry | {"address": 5, "state": "ready"})
    gateway.put("rollouts", "plain", ["what"])
    gateway.put("config", "main", "no configuration")
    gateway.put("gateways", "bad", {"beat": "x"})


@when("the store forgets its history and an engine leaves meanwhile")
def step_forget(context):
    """A change is lost between two watches."""
    gateway = context.gateway

    async def forget():
        async with gateway.store._changed:
            gateway.store.revision += 1
            gateway.store.objects.pop(("servers", "plain-0"))
        await gateway.store.drop_history()

    gateway.thread.run(forget())


@when("the settings change without a signal")
def step_settings(context):
    """Write another bound."""
    path = context.root / "entry-1.toml"
    path.write_text(path.read_text().replace("retry-extra = 50", "retry-extra = 5000"))


@then("the gateway reads them again")
def step_reloaded(context):
    """The log says so."""
    context.gateway.wait(lambda: "event=reloaded changed=True" in context.gateway.log(), "reload")


@when("the settings become faulty and SIGHUP comes")
def step_faulty(context):
    """Take the store's address away."""
    path = context.root / "entry-1.toml"
    path.write_text(path.read_text().replace("[platform]", "[plattform]"))
    context.gateway.signal(signal.SIGHUP)


@then("the gateway names the fault and goes on")
def step_goes_on(context):
    """The fault is in the log and requests are served."""
    context.gateway.wait(lambda: "platform.address: missing" in context.gateway.log(), "fault")
    assert context.gateway.send().status == 200


@when('the store answers "{mode}" for {seconds:g} s')
def step_refusing(context, mode, seconds):
    """Send while the store refuses all calls."""
    gateway = context.gateway
    gateway.thread.run(gateway.store.set_mode(mode))
    until = time.monotonic() + seconds
    context.results = []
    while time.monotonic() < until:
        context.results.append(gateway.send())
    gateway.wait(lambda: "event=store_lost" in gateway.log(), "the refusal is noticed")
    gateway.thread.run(gateway.store.set_mode("up"))
    gateway.wait(lambda: "event=store_regained" in gateway.log(), "the store is regained")


@given("a store whose pages hold {count:d} objects")
def step_pages(context, count):
    """Start again with a store of small pages and more engines than one holds."""
    scenario.start_gateway(context, plain=4, page_size=count)


@then("every plain engine ran something")
def step_all_ran(context):
    """The engines of every page are known."""
    assert all(item.runs for item in scenario.plain_engines(context))
