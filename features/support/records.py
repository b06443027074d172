"""Reads the stand-ins' record and the ledger."""

import asyncio

from berylrock.adapters import platform
from berylrock.core import metrics
from berylrock.ops import ledger
from berylrock.standins import record

BILLS_SECONDS = 20.0


def read_record(context):
    """The stand-ins' record so far."""
    return record.read(context.fleet.record)


def read_bills(context):
    """Wait until all bills are stored and read the ledger."""
    alive = [
        name
        for name in (*context.fleet.entries(), *context.fleet.servers)
        if context.fleet.processes[name].popen.poll() is None
    ]

    def stored():
        return all(context.fleet.status(name).get("unstored_bills", 1) == 0 for name in alive)

    context.fleet.wait(stored, "all bills to be stored", BILLS_SECONDS)
    objects = platform.HttpObjectStore(context.fleet.platform_url, metrics.Metrics("", "test"))
    return list(asyncio.run(ledger.read_all(objects)).values())


def check_no_work(context, names):
    """No server of these started a request after the noted moment."""
    late = [
        row
        for row in read_record(context)
        if row["event"] in ("start", "ran")
        and row["name"] in names
        and row["time"] > context.in_force_at
    ]
    assert not late, late
