"""Steps on what single processes remember of sessions and rollouts."""

import asyncio
import time

from behave import given, then, when
from support import virtualtime
from support.platform import fleet

from berylrock.adapters import interfaces
from berylrock.core import data, errors, routing, stored
from berylrock.ops import rolloutrecovery, sessions

NEW, OLD = data.VersionId("model", "v2"), data.VersionId("model", "v1")
OUTAGE_S, REQUEST_INTERVAL_S = 4.0, 0.1
# Time in which a gateway that has read everything else becomes ready.
KNOWN_S = 1.0


class PinStore:
    """Holds the objects of one kind, or answers nothing."""

    def __init__(self):
        self.out = True
        self.calls = 0
        self._objects = {}

    async def put(self, kind, name, body, condition):
        """Store an object on the condition of its version."""
        self._call()
        version = self._objects[name].version if name in self._objects else 0
        if version != condition:
            raise errors.Conflict(f"{name} has version {version}; read it again")
        self._objects[name] = interfaces.StoredObject(version + 1, body)

    async def get(self, kind, name):
        """Return an object."""
        self._call()
        if name not in self._objects:
            raise errors.NotFound(f"no {name}; create it")
        return self._objects[name]

    def _call(self):
        self.calls += 1
        if self.out:
            raise errors.StoreUnavailable("the store is out; try later")


@given("a gateway that has written the last stage of a rollout")
def step_written(context):
    """Make what the write returned."""
    context.recovery = rolloutrecovery.RolloutRecovery()
    revision = stored.make_revision(1, 90)
    context.written = routing.Rollout("models", "v2", 20.0, "running", 2, revision, 5)


@when("it reads a list from before that write, and then one of an order that came later")
def step_older_list(context):
    """Apply both lists."""
    older = context.written._replace(stage=1, revision=stored.make_revision(1, 80))
    later = context.written._replace(
        state="new", stage=0, revision=stored.make_revision(1, 95), began_ms=0
    )
    known = {"models": context.written}
    context.after_older = context.recovery.replace(known, [older], 1.0)["models"]
    context.after_later = context.recovery.replace(known, [later], 2.0)["models"]


@then("the first leaves the stage as it is, and the second begins anew")
def step_stage_kept(context):
    """Check the rollouts in force."""
    assert context.after_older == context.written, context.after_older
    assert context.after_later.state == "new", context.after_later


@given("two entry processes without the store, which choose different versions for a session")
def step_two_entries(context):
    """Make their tables of sessions, over one store."""
    context.store = PinStore()
    context.tables = [sessions.SessionTable(context.store) for _ in range(2)]


async def pin(table, wanted):
    """Return the version of the session at a process that would choose ``wanted``."""
    return await table.pin("one", "session", wanted, lambda item: True)


@when("the store is back and the session's requests go on")
def step_store_back(context):
    """Send requests to both processes in turn, during the outage and after it."""

    async def play():
        while asyncio.get_running_loop().time() < OUTAGE_S:
            for table, wanted in zip(context.tables, (OLD, NEW), strict=True):
                await pin(table, wanted)
            await asyncio.sleep(REQUEST_INTERVAL_S)
        context.calls = context.store.calls
        context.store.out = False
        await asyncio.sleep(1.0)
        return [
            await pin(table, wanted)
            for _ in range(3)
            for table, wanted in zip(context.tables, (OLD, NEW), strict=True)
        ]

    context.versions = virtualtime.run(play())


@then("both processes send the session to one version from then on")
def step_one_version(context):
    """Check the versions after the outage."""
    assert len(set(context.versions)) == 1, context.versions


@then("while the store is out, one request a second waits for it, not each")
def step_few_calls(context):
    """Check the calls of both processes during the outage."""
    most = len(context.tables) * (OUTAGE_S + 1.0)
    assert context.calls <= most, context.calls


@given("a gateway that starts while the store answers no calls about rollouts")
def step_start_without_rollouts(context):
    """Start it, and wait until it knows the configuration and the engines."""
    context.gateway = fleet.GatewayFleet(context.root)
    context.cleanups.append(context.gateway.stop)
    running = context.gateway
    running.thread.call(running.store.silent_kinds.add, "rollouts")
    running.start(ready=False)
    running.wait(lambda: "event=config_in_force" in running.log(), "it has the configuration")
    running.wait(lambda: "event=engine_changed" in running.log(), "it has the engines")


@then("it is not ready, and refuses a read as not run, until the store answers them")
def step_not_ready_until(context):
    """Check the readiness page and a read before and after."""
    running = context.gateway
    time.sleep(KNOWN_S)
    assert running.get_readiness() == 503
    assert running.send().status == 503
    running.thread.call(running.store.silent_kinds.discard, "rollouts")
    running.wait(lambda: running.get_readiness() == 200, "it is ready")
    assert running.send().status == 200
