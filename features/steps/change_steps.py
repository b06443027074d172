"""Steps on configuration changes, restarts, continuous traffic, bills and memory."""

import json
import threading
import time

from behave import then, when
from support import fleets, operators, traffic

from berylrock.loader import document, editing
from berylrock.standins import soak

MAX_BYTES_PER_CALLER = 65_536
WARM_CHATS = 64


@when("the results so far are discarded")
def step_discard_results(context):
    """Wait for running requests and discard all results so far."""
    traffic.finish(context)
    context.results = []


@when("the current time is recorded")
def step_record_time(context):
    """Record the time for the steps that check what came after it."""
    context.in_force_at = time.time()


@when("all entry processes know that {server:Server} is leaving")
def step_know_leaving(context, server):
    """Wait until every entry process has the leaving state from the sidecar's reports."""
    for name in context.fleet.entries():
        context.fleet.wait(
            lambda name=name: context.fleet.status(name)["servers"][server]["leaving"],
            f"{name} to know that {server} is leaving",
        )


@when("{count:d} orders are running at {entry:Word}")
def step_orders_run_at(context, count, entry):
    """Send orders to one entry process and wait until they run."""
    before = traffic.count_events(context, "ran")
    traffic.start_orders(context, count, [entry])
    traffic.wait_for_events(context, "ran", before, count)


@then("each repeated order was answered")
def step_repeated_answered(context):
    """Check that each repeated order got a complete answer."""
    repeated = context.results[len(context.first_results) :]
    unanswered = [result for result, _ in repeated if not result.complete]
    assert repeated and not unanswered, unanswered


@then("every request is answered or refused as not-run")
def step_answered_or_refused(context):
    """Check that no caller was cut off or left without a known outcome."""
    traffic.finish(context)
    outcomes = {result.outcome for result, _ in context.results}
    assert outcomes <= {"done", "not-run"}, outcomes
    whole = [result for result, _ in context.results if result.complete]
    assert whole, "nothing was answered"


@when("the object API refuses bills")
def step_refuse_bills(context):
    """Let the object API refuse all bills."""
    context.fleet.set_platform_faults(outage_kinds=["bills"])


@when("{name:Word} has lost its connection to {server:Word}")
def step_lost_connection(context, name, server):
    """Wait until a process knows that a sidecar is gone, which until then counts as a holder."""
    context.fleet.wait(
        lambda: not context.fleet.status(name)["servers"][server]["connected"],
        f"{name} to lose its connection to {server}",
    )


@when("each bill at {name:Word} has a second holder")
def step_bills_have_copies(context, name):
    """Wait until every bill has two holders again."""
    context.fleet.wait(
        lambda: context.fleet.status(name).get("single_bills") == 0,
        f"{name} to have a second holder of each bill",
    )


@when("the object API accepts bills again")
def step_accept_bills(context):
    """Let the object API accept bills."""
    context.fleet.set_platform_faults()


@when("a request has been retried or resumed on another server")
def step_moved_elsewhere(context):
    """Wait until an entry process has counted a retry or a resume."""

    def is_moved():
        pages = [context.fleet.status(name).get("counts", {}) for name in context.fleet.entries()]
        return any(page.get("resumes") or page.get("retries") for page in pages)

    context.fleet.wait(is_moved, "a retry or a resume")


@when("{version:Version} is withdrawn while {name:Word} is suspended and the platform fails")
def step_withdraw_outage(context, version, name):
    """Withdraw a version, and make the store unavailable before all processes have the change."""
    fleets.suspend(context, name)
    fleets.change_config(context, editing.add_withdrawal, version)
    context.fleet.wait_config(context.version, 5.0, ["entry-3"])
    context.fleet.set_platform_faults(outage=True)


@when("the change is in force at all processes")
def step_in_force(context):
    """Wait until the last change is in force at every running process."""
    fleets.wait_in_force(context)


@then("no process reverted to an older version")
def step_never_back(context):
    """Check that the versions in each process's event log only increase."""
    for name in (*context.fleet.servers, *context.fleet.entries()):
        body = context.fleet.fetch(f"{context.fleet.admin_url(name)}/events", "operator-key")
        events = [json.loads(line) for line in body.splitlines() if line]
        versions = [
            event["fields"]["version"] for event in events if event["name"] == "config_in_force"
        ]
        assert versions == sorted(versions), (name, versions)
        assert versions[-1] == context.version, (name, versions)


@when("an operator takes zone {zone:Word} out of service")
def step_operator_zone(context, zone):
    """Run the zone command."""
    context.completed = operators.run_command(context, "zone", "out", zone)


@then("the command reports that the change was accepted although its first answer was lost")
def step_lost_answer_reported(context):
    """Check the command's exit status and output."""
    assert context.completed.returncode == 0, context.completed
    assert "its first answer was lost" in context.completed.stdout, context.completed


@then("zone {zone:Word} is out of service in the stored document")
def step_zone_is_out(context, zone):
    """Check the document in the platform's store."""
    body = context.fleet.fetch(f"{context.fleet.platform_url}/objects/config/production")
    doc, _ = document.load(body.decode(), "stored")
    states = {item.name: item.in_service for item in doc.zones}
    assert states[zone] is False, states


@when("two operators apply different documents concurrently")
def step_concurrent_apply(context):
    """Apply two documents that are both based on the version in force."""
    text = context.fleet.text
    doc, _ = document.load(text, "test")
    zones = [zone.name for zone in doc.zones]
    files = []
    for index in range(2):
        path = context.root / f"race-{index}.jsonc"
        path.write_text(editing.set_zone(text, doc, zones[index], False))
        files.append(path)
    context.applied = [None, None]
    version = str(context.fleet.config_version)

    def run(index):
        context.applied[index] = operators.run_command(
            context, "apply", str(files[index]), "--if-version", version
        )

    threads = [threading.Thread(target=run, args=(index,)) for index in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@then("one is accepted and the other is told how to see what changed")
def step_one_accepted(context):
    """Check the exit statuses of both commands and the message of the refused one."""
    codes = sorted(item.returncode for item in context.applied)
    assert codes == [0, 3], context.applied
    refused = next(item for item in context.applied if item.returncode == 3)
    assert "is in force" in refused.stderr and "berylrock diff" in refused.stderr, refused


@when("{name:Word} answers callers")
def step_answers(context, name):
    """Wait until an entry process accepts requests of callers."""
    url = f"{context.fleet.caller_url(name)}/v1/chat/completions"
    context.fleet.wait(lambda: context.fleet.responds(url), f"{name} to answer")


@when("continuous traffic is sent through ready entry processes")
def step_start_traffic(context):
    """Send mixed requests to ready entry processes only, as the platform's balancer does."""
    context.flow_end = threading.Event()
    lock = threading.Lock()

    def send(worker):
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

    context.flow = [threading.Thread(target=send, args=(worker,)) for worker in range(4)]
    for thread in context.flow:
        thread.start()
    context.cleanups.append(lambda: operators.stop_traffic(context))


@when("the traffic is stopped")
def step_stop_traffic(context):
    """Stop the traffic and wait for its last requests."""
    operators.stop_traffic(context)


@when("every process is restarted in turn")
def step_rolling_restart(context):
    """Stop each process gracefully, start it again, and wait until it serves."""
    for name in (*context.fleet.entries(), *context.fleet.servers):
        process = context.fleet.processes[name]
        process.signal(15)
        context.fleet.wait(
            lambda process=process: process.popen.poll() is not None, f"{name} to stop"
        )
        assert process.popen.returncode == 0, (name, process.popen.returncode)
        process.restart()
        context.fleet.wait_ready()


@when("{count:d} callers request {tokens:d} tokens and do not read them")
def step_open_unread_streams(context, count, tokens):
    """Open streams at one entry process and leave them unread."""
    entry = context.fleet.entries()[:1]
    traffic.start_chats(context, WARM_CHATS, 1, entry)
    traffic.finish(context)
    context.memory_before = context.fleet.status(entry[0])["rss_bytes"]
    context.cancelled_before = traffic.count_events(context, "cancelled")
    context.read_on = threading.Event()
    context.cleanups.append(context.read_on.set)
    traffic.start_chats(context, count, tokens, entry, hold=context.read_on)
    context.unread_count = count


@when("the engines have cancelled the runs of these callers")
def step_runs_cancelled(context):
    """Wait until every run of these callers has been cancelled at its engine."""
    before = context.cancelled_before
    traffic.wait_for_events(context, "cancelled", before, context.unread_count)
    entry = context.fleet.entries()[0]
    context.memory_during = context.fleet.status(entry)["rss_bytes"]


@then("each of these callers cost the entry process less than 64 KB")
def step_memory_per_caller(context):
    """Check the growth of the process's memory per caller."""
    per_caller = (context.memory_during - context.memory_before) / context.unread_count
    assert per_caller < MAX_BYTES_PER_CALLER, per_caller
    print(f"each caller cost {per_caller:.0f} bytes")


@when("these callers read their streams")
def step_read_streams(context):
    """Let the callers read their streams to the end."""
    context.read_on.set()
    traffic.finish(context)


@when("a soak of {seconds:d} s with seed {seed:d} is run")
def step_run_soak(context, seconds, seed):
    """Inject random failures under mixed traffic."""
    context.soak = soak.run(context.fleet, context.deployment, seed, seconds)


@then("the soak shows no violation")
def step_soak_clean(context):
    """Check the violations found in the records of callers, stand-ins and the ledger."""
    assert not context.soak.violations, (context.soak.schedule, context.soak.violations)
