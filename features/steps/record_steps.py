"""Steps that check the stand-ins' record and the ledger."""

import time

from behave import then
from support import records, traffic

from berylrock.standins import reconciliation


@then("the records are consistent")
def step_records_agree(context):
    """Check the records of callers, stand-ins and the ledger for violations."""
    traffic.finish(context)
    reconciled = reconciliation.reconcile(
        context.results, records.read_record(context), records.read_bills(context)
    )
    assert not reconciled.violations, reconciled.violations


@then("no order ran twice")
def step_no_order_twice(context):
    """Check that no order's key was run more than once."""
    traffic.finish(context)
    reconciled = reconciliation.reconcile(context.results, records.read_record(context), [])
    assert not reconciled.duplicated, reconciled.duplicated


@then("no request that ran is refused as not run")
def step_not_run_true(context):
    """Check that no request refused as not run was run by a backend server."""
    traffic.finish(context)
    reconciled = reconciliation.reconcile(context.results, records.read_record(context), [])
    assert not reconciled.wrongly_refused, reconciled.wrongly_refused


@then("every request is refused as {outcome:Word}")
def step_refused(context, outcome):
    """Check that every caller received this outcome."""
    traffic.finish(context)
    others = [result for result, _ in context.results if result.outcome != outcome]
    assert context.results and not others, others


@then("no request ran")
def step_nothing_ran(context):
    """Check that no backend server ran a request."""
    ran = [row for row in records.read_record(context) if row["event"] in ("ran", "start")]
    assert not ran, ran


@then("each order ran once")
def step_each_once(context):
    """Check that every order that was sent ran exactly once."""
    keys = {key for _, key in context.results if key}
    ran = [row["key"] for row in records.read_record(context) if row["event"] == "ran"]
    assert sorted(ran) == sorted(keys), (ran, keys)


@then("no run was cancelled at its engine")
def step_no_cancelled(context):
    """Check that every run that began at an engine ended there."""
    traffic.finish(context)
    cancelled = [row for row in records.read_record(context) if row["event"] == "cancelled"]
    assert not cancelled, cancelled


@then("no engine crashed")
def step_no_crash(context):
    """Check that no engine received more requests than it can handle."""
    crashes = [row for row in records.read_record(context) if row["event"] == "fell"]
    assert not crashes, crashes


@then("at most {count:d} engines crashed")
def step_crash_count(context, count):
    """Check the number of engines that were lost."""
    crashes = [row for row in records.read_record(context) if row["event"] == "fell"]
    assert len(crashes) <= count, crashes


@then("{version:Version} received no requests after that")
def step_no_work_version(context, version):
    """Check that no engine started a request on the version after the change was in force."""
    late = [
        row
        for row in records.read_record(context)
        if row["event"] == "start"
        and row["version"] == version
        and row["time"] > context.in_force_at
    ]
    assert not late, late


@then("the servers in zone {zone:Word} received no requests after that")
def step_no_work_zone(context, zone):
    """Check that no server of the zone started a request after the change was in force."""
    names = [name for name, row in context.fleet.servers.items() if row["zone"] == zone]
    records.check_no_new_runs(context, names)


@then("{server:Server} received no requests after that")
def step_no_work_server(context, server):
    """Check that the server started no request after the recorded time."""
    records.check_no_new_runs(context, [server])


@then("only the versions {allowed} ran")
def step_versions(context, allowed):
    """Check that no other version ran."""
    ran = {row["version"] for row in records.read_record(context) if row["event"] == "start"}
    assert ran and ran <= set(allowed.split(" and ")), ran


@then("the change was in force within 5 s")
def step_within(context):
    """Check the time between the last change and its being in force everywhere."""
    assert time.time() >= context.in_force_at
    assert context.in_force_at - context.changed_at <= 5.0, context.in_force_at - context.changed_at


@then("{name:Word} counted {counter:Word}")
def step_counted(context, name, counter):
    """Check that a process counted at least one event of this kind."""
    counts = context.fleet.status(name)["counts"]
    assert counts.get(counter, 0) > 0, counts


@then("some entry process counted {counter:Word}")
def step_some_counted(context, counter):
    """Check that an entry process counted at least one event of this kind."""
    counts = [context.fleet.status(name).get("counts", {}) for name in context.fleet.entries()]
    assert any(item.get(counter, 0) > 0 for item in counts), counts
