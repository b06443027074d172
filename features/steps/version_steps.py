"""Steps about organisations, sessions, roll-outs and the lease."""

import asyncio
import collections
import threading

from behave import then, when
from support import fleets, records, traffic, versions

from berylrock.core import message
from berylrock.standins import fleet, record
from berylrock.wire import link


@when("{organisation:Word} sends {count:d} chats of {tokens:d} tokens")
def step_as(context, organisation, count, tokens):
    """Send chats of an organisation."""
    versions.send_chats_as(context, organisation, count, tokens)
    traffic.finish(context)


@when("{organisation:Word} has {count:d} chats of {tokens:d} tokens under way")
def step_as_under_way(context, organisation, count, tokens):
    """Send chats of an organisation and wait until they have reached an engine."""
    before = traffic.count_events(context, "start")
    versions.send_chats_as(context, organisation, count, tokens)
    traffic.wait_for_events(context, "start", before, count)


@when("cascades are allowed to {organisation:Word}")
def step_cascade(context, organisation):
    """Set the organisation's cascade in the document in force."""
    fleets.change_config(context, versions.allow_cascade, organisation)
    fleets.wait_in_force(context)


@when("{organisation:Word} sends {count:d} whole chats of {tokens:d} tokens")
def step_whole(context, organisation, count, tokens):
    """Send chats that are answered whole, not as streams."""
    versions.send_chats_as(context, organisation, count, tokens, stream=False)
    traffic.finish(context)


@then("some answers came from one step and some from two")
def step_steps(context):
    """The cascade was left at both places."""
    lengths = {len(versions.read_cascade(result)) for result, _ in context.results}
    assert lengths == {1, 2}, lengths


@then("the ledger has one bill for each step that ran")
def step_step_bills(context):
    """Each step is billed once, to the version that ran it."""
    bills = [(bill.request_id, bill.target) for bill in records.read_bills(context)]
    asked = [
        (result.request_id, version)
        for result, _ in context.results
        for version in versions.read_cascade(result)
    ]
    assert sorted(bills) == sorted(asked), (bills, asked)


@when("{organisation:Word} asks for {version:Version}")
def step_asks(context, organisation, version):
    """Send one chat for a version; it is judged apart from the others."""
    sender = traffic.make_caller(context, "entry-1", organisation)
    context.last = sender.chat("question", 4, "asked", model=version)


@then("the last request is refused as {outcome:Word}")
def step_last_refused(context, outcome):
    """The last single request ended so."""
    assert context.last.outcome == outcome, context.last


@when("{count:d} chats of {tokens:d} tokens for {model:Word} are under way")
def step_for_under_way(context, count, tokens, model):
    """Send chats for a model and wait until they have reached an engine."""
    before = traffic.count_events(context, "start")
    traffic.start_chats(context, count, tokens, model=model)
    traffic.wait_for_events(context, "start", before, count)


@when("{count:d} chats of {tokens:d} tokens for {model:Word} are on their way")
def step_for_on_their_way(context, count, tokens, model):
    """Send chats for a model without waiting for anything."""
    traffic.start_chats(context, count, tokens, model=model)


@when("{count:d} chats of {tokens:d} tokens for {model:Word} are sent")
def step_for_sent(context, count, tokens, model):
    """Send chats for a model."""
    traffic.start_chats(context, count, tokens, model=model)
    traffic.finish(context)


@when("{count:d} sessions send a chat for {model:Word}")
def step_sessions(context, count, model):
    """Begin sessions."""
    if not hasattr(context, "sessions"):
        context.sessions = collections.defaultdict(list)
    base = len(context.sessions)
    versions.send_sessions(context, [f"session-{base + index}" for index in range(count)], model)


@when("{count:d} new sessions send a chat for {model:Word}")
def step_new_sessions(context, count, model):
    """Begin more sessions."""
    step_sessions(context, count, model)


@when("all sessions send a chat for {model:Word}")
def step_all_sessions(context, model):
    """Go on with all sessions, by their bare names."""
    versions.send_sessions(context, context.sessions, model)


@when("all sessions send a chat for {model:Word} with their tokens")
def step_all_sessions_tokens(context, model):
    """Go on with all sessions, by the tokens that they were given."""
    tokens = {name: results[-1].headers["X-Session"] for name, results in context.sessions.items()}
    versions.send_sessions(context, context.sessions, model, tokens)


@then("every session kept its version")
def step_kept(context):
    """All answers of a session came from one version, and both versions served."""
    found = set()
    for name, results in context.sessions.items():
        versions = {result.headers.get("X-Berylrock-Version") for result in results}
        assert len(versions) == 1, (name, versions)
        found |= versions
    assert len(found) == 2, found


@then("every answer came from {version:Version} and says that the version changed")
def step_changed(context, version):
    """The last answer of each session names both versions."""
    for results in context.sessions.values():
        headers = results[-1].headers
        assert headers["X-Berylrock-Version"] == version, headers
        changed = headers.get("X-Berylrock-Version-Changed-From")
        assert changed == results[0].headers["X-Berylrock-Version"], headers


@when("{version:Version} is found bad")
def step_found_bad(context, version):
    """Wait until every entry process knows that a version is bad."""
    for name in context.fleet.entries():
        context.fleet.wait(
            lambda name=name: version in context.fleet.status(name).get("bad_versions", {}),
            f"{version} to be found bad",
            versions.BAD_VERSION_TIMEOUT_SECONDS,
        )


@then("the last {count:d} answers are from {version:Version}")
def step_last_from(context, count, version):
    """The last answers came from a version."""
    found = {result.headers["X-Berylrock-Version"] for result, _ in context.results[-count:]}
    assert found == {version}, found


@then("{version:Version} answered badly less than {count:d} times")
def step_exposure(context, version, count):
    """Few callers got an answer of the bad version."""
    bad = [
        result
        for result, _ in context.results
        if "BAD" in result.body and result.headers.get("X-Berylrock-Version") == version
    ]
    assert 0 < len(bad) < count, len(bad)


@when("the holder of the lease is killed")
def step_holder_killed(context):
    """End the holder at once."""
    versions.wait_holder(context)
    context.fleet.processes[context.holder].kill()
    context.fleet.processes[context.holder].restart()


@when("the holder of the lease is frozen")
def step_holder_frozen(context):
    """Freeze the holder."""
    versions.wait_holder(context)
    context.old_holder, context.old_fence = context.holder, context.fence
    fleets.suspend(context, context.holder)


@when("the frozen holder is thawed")
def step_holder_thawed(context):
    """Let the frozen holder go on."""
    fleets.resume(context, context.old_holder)


@when("the lease has passed to another process")
def step_passed(context):
    """Wait until another process holds the lease."""
    context.fence = context.fleet.wait(lambda: versions.find_other_holder(context), "a new holder")


@then("the lease has a new holder with a higher fencing number")
def step_new_holder(context):
    """The fencing number grew."""
    before = context.fence
    versions.wait_holder(context)
    assert context.fence > before, (before, context.fence)


@when("an order of the old holder reaches {server:Server}")
def step_old_order(context, server):
    """Give an order with the old fencing number, as a thawed holder would."""
    row = context.fleet.servers[server]

    async def give():
        conn, _ = await link.connect(
            row["address"], row["port"], fleet.SECRET, context.old_holder, "zone"
        )
        order = message.Order("old-order", context.old_fence, "unload", context.models[0])
        conn.send(order)
        async for msg in conn.messages():
            if isinstance(msg, message.OrderDone):
                conn.close()
                return msg
        return None

    context.order_done = asyncio.run(asyncio.wait_for(give(), 20.0))


@then("no order of the old fencing number took effect")
def step_no_old_order(context):
    """The sidecar refused, and the engine's record has no such order."""
    assert not context.order_done.accepted, context.order_done
    orders = [row for row in record.read(context.fleet.record) if row["event"] == "order"]
    assert all(row["order_id"] != "old-order" for row in orders), orders


@when("a crashing chat is sent to {entry:Word}")
def step_crashing(context, entry):
    """Send a request that crashes each engine that runs it."""
    prompt = "dossier CRASH-THE-ENGINE"
    context.crashing = getattr(context, "crashing", [])
    sender = traffic.make_caller(context, entry)
    context.crashing.append(sender.chat(prompt, 8, f"crash-{len(context.crashing)}"))


@when("the crashing chat is sent again to {entry:Word}")
def step_crashing_again(context, entry):
    """Send it again, through another entry process and with another id."""
    step_crashing(context, entry)


@then("the crashing chats were never answered")
def step_crashing_unanswered(context):
    """No caller got an answer to it."""
    outcomes = [result.outcome for result in context.crashing]
    assert "done" not in outcomes, outcomes


@when("fallen engines are started again by the platform")
def step_revive(context):
    """Start each backend server again that falls, as the platform does."""
    stop = threading.Event()

    def revive():
        while not stop.wait(0.1):
            for name in list(context.fleet.servers):
                process = context.fleet.processes[f"{name}.backend"]
                if process.popen.poll() is not None and not stop.is_set():
                    process.restart()

    thread = threading.Thread(target=revive, daemon=True)
    thread.start()

    def end():
        stop.set()
        thread.join()

    context.cleanups.append(end)
