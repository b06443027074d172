"""Reads the stand-ins' record and the ledger of bills."""

import asyncio

from berylrock.adapters import platform
from berylrock.core import metrics
from berylrock.ops import ledger
from berylrock.standins import record

BILLS_TIMEOUT_SECONDS = 20.0


def read_record(context):
    """Return the events in the stand-ins' record so far."""
    return record.read(context.fleet.record)


def read_bills(context):
    """Wait until the running processes have stored all bills, and return the ledger's bills."""
    running = [
        name
        for name in (*context.fleet.entries(), *context.fleet.servers)
        if context.fleet.processes[name].popen.poll() is None
    ]

    def stored():
        return all(context.fleet.status(name).get("unstored_bills", 1) == 0 for name in running)

    context.fleet.wait(stored, "all bills to be stored", BILLS_TIMEOUT_SECONDS)
    objects = platform.HttpObjectStore(context.fleet.platform_url, metrics.Metrics("", "test"))
    return list(asyncio.run(ledger.read_all(objects)).values())


def check_no_new_runs(context, names):
    """Check that none of some backend servers started a request after ``context.in_force_at``."""
    late = [
        row
        for row in read_record(context)
        if row["event"] in ("start", "ran")
        and row["name"] in names
        and row["time"] > context.in_force_at
    ]
    assert not late, late
