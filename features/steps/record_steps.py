"""Steps that judge from the stand-ins' own record and from the ledger."""

import time

from behave import then
from support import records, traffic

from berylrock.standins import reconciliation


@then("the records agree")
def step_records_agree(context):
    """Callers', stand-ins' and the ledger's records show no breach."""
    traffic.finish(context)
    reconciled = reconciliation.reconcile(
        context.results, records.read_record(context), records.read_bills(context)
    )
    assert not reconciled.violations, reconciled.violations


@then("no order ran twice")
def step_no_order_twice(context):
    """No key was run more than once."""
    traffic.finish(context)
    reconciled = reconciliation.reconcile(context.results, records.read_record(context), [])
    assert not reconciled.duplicated, reconciled.duplicated


@then("no request is refused as not run that ran")
def step_not_run_true(context):
    """A refusal that says not run is true."""
    traffic.finish(context)
    reconciled = reconciliation.reconcile(context.results, records.read_record(context), [])
    assert not reconciled.wrongly_refused, reconciled.wrongly_refused


@then("every request is refused as {outcome:Word}")
def step_refused(context, outcome):
    """Every caller heard this outcome."""
    traffic.finish(context)
    others = [result for result, _ in context.results if result.outcome != outcome]
    assert context.results and not others, others


@then("nothing ran")
def step_nothing_ran(context):
    """No backend server saw a request."""
    ran = [row for row in records.read_record(context) if row["event"] in ("ran", "start")]
    assert not ran, ran


@then("each order ran once")
def step_each_once(context):
    """Every order that was sent ran exactly once."""
    keys = {key for _, key in context.results if key}
    ran = [row["key"] for row in records.read_record(context) if row["event"] == "ran"]
    assert sorted(ran) == sorted(keys), (ran, keys)


@then("no run was cut at its engine")
def step_no_cut(context):
    """Every run that began at an engine ended there."""
    traffic.finish(context)
    cut = [row for row in records.read_record(context) if row["event"] == "cancelled"]
    assert not cut, cut


@then("no engine fell")
def step_no_fall(context):
    """No engine was given more than it bears."""
    fell = [row for row in records.read_record(context) if row["event"] == "fell"]
    assert not fell, fell


@then("{count:d} engines fell at the most")
def step_falls(context, count):
    """So many engines were lost, not more."""
    fell = [row for row in records.read_record(context) if row["event"] == "fell"]
    assert len(fell) <= count, fell


@then("{version:Version} got no work after that")
def step_no_work_version(context, version):
    """No engine started a request on a version after the change was in force."""
    late = [
        row
        for row in records.read_record(context)
        if row["event"] == "start"
        and row["version"] == version
        and row["time"] > context.in_force_at
    ]
    assert not late, late


@then("the servers in zone {zone:Word} got no work after that")
def step_no_work_zone(context, zone):
    """No server of a zone started a request after the change was in force."""
    names = [name for name, row in context.fleet.servers.items() if row["zone"] == zone]
    records.check_no_new_runs(context, names)


@then("{server:Server} got no work after that")
def step_no_work_server(context, server):
    """A server started no request after that moment."""
    records.check_no_new_runs(context, [server])


@then("the versions that ran are all of {allowed}")
def step_versions(context, allowed):
    """Only these versions ran."""
    ran = {row["version"] for row in records.read_record(context) if row["event"] == "start"}
    assert ran and ran <= set(allowed.split(" and ")), ran


@then("the change was in force within 5 s")
def step_within(context):
    """The last change was in force everywhere in time."""
    assert time.time() >= context.in_force_at
    assert context.in_force_at - context.changed_at <= 5.0, context.in_force_at - context.changed_at


@then("{name:Word} counted {counter:Word}")
def step_counted(context, name, counter):
    """A process counted at least one of something."""
    counts = context.fleet.status(name)["counts"]
    assert counts.get(counter, 0) > 0, counts


@then("some entry counted {counter:Word}")
def step_some_counted(context, counter):
    """Some entry process counted at least one of something."""
    counts = [context.fleet.status(name).get("counts", {}) for name in context.fleet.entries()]
    assert any(item.get(counter, 0) > 0 for item in counts), counts
