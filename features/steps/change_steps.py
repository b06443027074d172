"""Steps about operators, restarts, traffic that flows, and memory."""

import json
import threading
import time

from behave import then, when
from support import fleets, operators, traffic

from berylrock.loader import document, editing
from berylrock.standins import soak

READER_BYTES = 65_536
WARM_CHATS = 64


@when("the results are forgotten")
def step_forget(context):
    """Judge only what comes after this."""
    traffic.finish(context)
    context.results = []


@when("that moment is noted")
def step_note(context):
    """Remember the time, for steps that judge what came after."""
    context.in_force_at = time.time()


@when("entry processes know that {server:Server} leaves")
def step_know(context, server):
    """Wait until every entry process has heard it from the sidecar."""
    for name in context.fleet.entries():
        context.fleet.wait(
            lambda name=name: context.fleet.status(name)["servers"][server]["leaving"],
            f"{name} to hear that {server} leaves",
        )


@when("{count:d} orders are under way at {entry:Word}")
def step_orders_at(context, count, entry):
    """Send orders to one entry process and wait until they run."""
    before = traffic.count_events(context, "ran")
    traffic.start_orders(context, count, [entry])
    traffic.wait_for_events(context, "ran", before, count)


@then("each order sent again was answered")
def step_again_answered(context):
    """The second try of each order got the whole answer."""
    again = context.results[len(context.first_results) :]
    bad = [result for result, _ in again if not result.complete]
    assert again and not bad, bad


@then("every request is answered or refused as not-run")
def step_answered_or_refused(context):
    """No caller was cut or left in doubt."""
    traffic.finish(context)
    outcomes = {result.outcome for result, _ in context.results}
    assert outcomes <= {"done", "not-run"}, outcomes
    whole = [result for result, _ in context.results if result.complete]
    assert whole, "nothing was answered"


@when("bills are held back")
def step_hold_bills(context):
    """The object API refuses bills."""
    context.fleet.set_platform_faults(outage_kinds=["bills"])


@when("{name:Word} has seen the loss of {server:Word}")
def step_seen_loss(context, name, server):
    """Wait until a process knows that a sidecar is gone; until then it counts as a holder."""
    context.fleet.wait(
        lambda: not context.fleet.status(name)["servers"][server]["connected"],
        f"{name} to see the loss of {server}",
    )


@when("{name:Word} holds no bill alone")
def step_no_single(context, name):
    """Wait until every bill has two holders again."""
    context.fleet.wait(
        lambda: context.fleet.status(name).get("single_bills") == 0, f"{name} to pass copies on"
    )


@when("bills are let through")
def step_let_bills(context):
    """The object API takes bills again."""
    context.fleet.set_platform_faults()


@when("requests are run elsewhere")
def step_elsewhere(context):
    """Wait until a request has left its first server for another."""

    def moved():
        pages = [context.fleet.status(name).get("counts", {}) for name in context.fleet.entries()]
        return any(page.get("resumes") or page.get("retries") for page in pages)

    context.fleet.wait(moved, "requests to be run elsewhere")


@when("{version:Version} is withdrawn while {name:Word} is frozen and the platform goes out")
def step_withdraw_outage(context, version, name):
    """A change is accepted, and the store goes out before all have heard of it."""
    fleets.suspend(context, name)
    fleets.change_config(context, editing.add_withdrawal, version)
    context.fleet.wait_config(context.version, 5.0, ["entry-3"])
    context.fleet.set_platform_faults(outage=True)


@when("the change is in force at all processes")
def step_in_force(context):
    """Wait until the last change is in force everywhere."""
    fleets.wait_in_force(context)


@then("no process ever went back to an older version")
def step_never_back(context):
    """In each process's log the versions only grow."""
    for name in (*context.fleet.servers, *context.fleet.entries()):
        body = context.fleet.fetch(f"{context.fleet.admin_url(name)}/events", "operator-key")
        events = [json.loads(line) for line in body.splitlines() if line]
        versions = [
            event["fields"]["version"] for event in events if event["name"] == "config_in_force"
        ]
        assert versions == sorted(versions), (name, versions)
        assert versions[-1] == context.version, (name, versions)


@when("an operator takes zone {zone:Word} out")
def step_operator_zone(context, zone):
    """Run the operators' command."""
    context.ran = operators.run_command(context, "zone", "out", zone)


@then("the operator hears that it is accepted though its answer was lost")
def step_hears_lost(context):
    """The command says so and ends well."""
    assert context.ran.returncode == 0, context.ran
    assert "its first answer was lost" in context.ran.stdout, context.ran


@then("zone {zone:Word} is out at every entry process")
def step_zone_is_out(context, zone):
    """The document in force has the zone out."""
    body = context.fleet.fetch(f"{context.fleet.platform_url}/objects/config/production")
    doc, _ = document.load(body.decode(), "stored")
    states = {item.name: item.in_service for item in doc.zones}
    assert states[zone] is False, states


@when("two operators apply different documents at once")
def step_race(context):
    """Both traffic.start from the version in force."""
    text = context.fleet.text
    doc, _ = document.load(text, "test")
    zones = [zone.name for zone in doc.zones]
    files = []
    for index in range(2):
        path = context.root / f"race-{index}.jsonc"
        path.write_text(editing.set_zone(text, doc, zones[index], False))
        files.append(path)
    context.races = [None, None]
    version = str(context.fleet.config_version)

    def run(index):
        context.races[index] = operators.run_command(
            context, "apply", str(files[index]), "--if-version", version
        )

    threads = [threading.Thread(target=run, args=(index,)) for index in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("one is accepted and the other is told what changed")
def step_race_ends(context):
    """One exit code says done, the other refused."""
    codes = sorted(item.returncode for item in context.races)
    assert codes == [0, 3], context.races
    loser = next(item for item in context.races if item.returncode == 3)
    assert "is in force" in loser.stderr and "berylrock diff" in loser.stderr, loser


@when("{name:Word} answers")
def step_answers(context, name):
    """Wait until an entry process answers callers at all."""
    url = f"{context.fleet.caller_url(name)}/v1/chat/completions"
    context.fleet.wait(lambda: context.fleet.responds(url), f"{name} to answer")


@when("traffic flows through ready entry processes")
def step_flow(context):
    """Send mixed requests steadily, as through the platform's balancer, until told to end."""
    context.flow_end = threading.Event()
    lock = threading.Lock()

    def flow(worker):
        index = 0
        while not context.flow_end.is_set():
            index += 1
            ready = [name for name in context.fleet.entries() if operators.is_ready(context, name)]
            if not ready:
                continue
            sender = traffic.make_caller(context, ready[(worker + index) % len(ready)])
            name = f"flow-{worker}-{index}"
            if index % 3:
                result = sender.chat(f"dossier {name}", 12, name)
            else:
                result = sender.call(context.service, "GET", f"/stock/{index}", request_id=name)
            with lock:
                context.results.append((result, ""))

    context.flow = [threading.Thread(target=flow, args=(worker,)) for worker in range(4)]
    for thread in context.flow:
        thread.start()
    context.cleanups.append(lambda: operators.stop_traffic(context))


@when("the traffic ends")
def step_flow_ends(context):
    """End the traffic."""
    operators.stop_traffic(context)


@when("every process is restarted in turn")
def step_rolling(context):
    """Stop each process gracefully, traffic.start it again, and wait until it serves."""
    for name in (*context.fleet.entries(), *context.fleet.servers):
        process = context.fleet.processes[name]
        process.signal(15)
        context.fleet.wait(
            lambda process=process: process.popen.poll() is not None, f"{name} to stop"
        )
        assert process.popen.returncode == 0, (name, process.popen.returncode)
        process.restart()
        context.fleet.wait_ready()


@when("{count:d} readers ask for {tokens:d} tokens and read nothing")
def step_readers(context, count, tokens):
    """Open streams at one entry process and leave them unread."""
    entry = context.fleet.entries()[:1]
    traffic.start_chats(context, WARM_CHATS, 1, entry)
    traffic.finish(context)
    context.memory_before = context.fleet.status(entry[0])["rss_bytes"]
    context.cancelled_before = traffic.count_events(context, "cancelled")
    context.hold = threading.Event()
    context.cleanups.append(context.hold.set)
    traffic.start_chats(context, count, tokens, entry, hold=context.hold)
    context.readers = count


@when("the engines have been freed of the readers")
def step_freed(context):
    """Wait until every run has been cancelled at its engine."""
    before = context.cancelled_before
    traffic.wait_for_events(context, "cancelled", before, context.readers)
    entry = context.fleet.entries()[0]
    context.memory_during = context.fleet.status(entry)["rss_bytes"]


@then("each reader cost the entry process less than 64 KB")
def step_reader_memory(context):
    """The process grew by less than that for each reader."""
    each = (context.memory_during - context.memory_before) / context.readers
    assert each < READER_BYTES, each
    print(f"each reader cost {each:.0f} bytes")


@when("the readers read on")
def step_read_on(context):
    """Let the readers read to the end."""
    context.hold.set()
    traffic.finish(context)


@when("a soak of {seconds:d} s with seed {seed:d} is run")
def step_soak(context, seconds, seed):
    """Draw failures at random under mixed traffic."""
    context.soak = soak.run(context.fleet, context.deployment, seed, seconds)


@then("the soak shows no breach")
def step_soak_clean(context):
    """The three records agree."""
    assert not context.soak.violations, (context.soak.schedule, context.soak.violations)
