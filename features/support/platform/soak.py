"""Runs seeded soak tests of gateway processes under injected faults and prints all breaches.

To run it by hand: ``make soak-gateway SEEDS=1-50``.
"""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

from . import dutyfleet, soakcalls, soakchecks, soakfaults

CALLERS = 8
# Time after the end of all faults within which every gateway must serve again.
RECOVERY_S = 12.0
POLL_S = 0.02
# Calls of a VM that was suspended do not count for this time after it has woken.
WOKEN_SLACK_S = 0.3
# Still running, ended after SIGTERM, killed, or sent SIGTERM before it had started to listen.
EXPECTED_EXIT_CODES = (None, 0, -9, -15)
# Texts in a gateway's log that show an unhandled exception.
LOG_ERROR_MARKERS = ("Traceback", "Exception in", "exception was never retrieved")


def run(root, seed, seconds):
    """Run one seed.

    Args:
      root: Folder for settings and logs.
      seed: Seed of the schedule and the traffic.
      seconds: Time within which faults begin, in seconds.

    Returns:
      The schedule, the number of calls, and the descriptions of the breaches.
    """
    rng = random.Random(seed)
    notices = soakfaults.make_notices(random.Random(f"notices {seed}"), seconds)
    schedule = sorted(soakfaults.make_schedule(rng, seconds) + notices)
    soak_fleet = dutyfleet.DutyFleet(root)
    try:
        return schedule, *_run_schedule(soak_fleet, rng, schedule)
    finally:
        soak_fleet.stop()


def _run_schedule(soak_fleet, rng, schedule):
    faults = soakfaults.Faults(soak_fleet, time.monotonic)
    soak_fleet.start_all()
    callers = soakcalls.Callers(soak_fleet, random.Random(rng.random()), faults)
    tasks = [
        asyncio.run_coroutine_threadsafe(
            callers.send_requests(number % 4 > 0), soak_fleet.thread.loop
        )
        for number in range(CALLERS)
    ]
    breaches = _run_faults(soak_fleet, faults, schedule)
    breaches += _check_recovery(soak_fleet)
    callers.stop()
    for task in tasks:
        task.result(soakcalls.EXCHANGE_TIMEOUT_S + 2.0)
    breaches += _check_logs(soak_fleet)
    breaches += _check_duties(soak_fleet, faults)
    breaches += soakchecks.find_breaches(callers.calls, soak_fleet.engines, faults)
    return len(callers.calls), breaches


def _run_faults(soak_fleet, faults, schedule):
    """Begin and end each fault at its scheduled time; returns breaches found meanwhile."""
    started_at = time.monotonic()
    pending, active, breaches = list(schedule), [], []
    while pending or active:
        now = time.monotonic() - started_at
        while pending and pending[0].at_s <= now:
            fault = pending.pop(0)
            active.append((fault.at_s + fault.duration_s, faults.begin(fault)))
        for item in [item for item in active if item[0] <= now]:
            if item[1]() != soakfaults.NOT_ENDED:
                active.remove(item)
        breaches += _check_exits(soak_fleet, faults)
        time.sleep(POLL_S)
    soak_fleet.clear_faults()
    faults.timeline.append(soakfaults.TimelineEntry(time.monotonic(), "store", ""))
    return breaches


def _check_exits(soak_fleet, faults):
    """Return a breach for each gateway that exited with an unexpected status, and restart it."""
    found = []
    for name, item in soak_fleet.gateways.items():
        code = item.popen.poll()
        if code in EXPECTED_EXIT_CODES:
            continue
        found.append(f"exit: {name} exited with status {code}")
        item.start()
    return found


def _check_recovery(soak_fleet):
    """Return a breach for each gateway and kind of request that does not recover in time."""
    breaches = []
    deadline = time.monotonic() + RECOVERY_S
    for name, item in soak_fleet.gateways.items():
        for kind in soakcalls.METHODS:
            while not _serves(soak_fleet, item, kind):
                if time.monotonic() > deadline:
                    breaches.append(f"recovery: {name} does not answer a request of kind {kind}")
                    break
                time.sleep(POLL_S)
    return breaches


def _serves(soak_fleet, item, kind):
    """Return whether a gateway answers a request of a kind."""

    async def send_probe():
        conn = await soakcalls.http1.EngineConnection.open((item.host, item.port), 1.0)
        try:
            return await soakcalls.exchange(
                conn, kind, f"/{kind}/x", soakcalls.PROBE_ID, soakcalls.fleet.KEY
            )
        finally:
            conn.close()

    try:
        status, *_, whole = soak_fleet.thread.run(send_probe())
    except soakcalls.http1.ConnectFailed:
        return False
    return status == 200 and whole


def _check_duties(soak_fleet, faults):
    """Return the breaches of the rules on duties, without calls of a VM that has just woken."""
    woken = [item.at for item in faults.timeline if item.kind == "disturbed"]
    excused = [(at, at + WOKEN_SLACK_S) for at in woken]
    found = dutyfleet.find_breaches(soak_fleet.provider.reports, dutyfleet.LEASE_S, excused)
    return [f"duty: {item}" for item in found]


def _check_logs(soak_fleet):
    return [
        f"log: the log of {name} contains {marker!r}"
        for name, item in soak_fleet.gateways.items()
        for marker in LOG_ERROR_MARKERS
        if marker in item.log()
    ]


def main():
    """Run the soak for each seed and print the results; exit with 1 if any breach was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="first and last seed")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--schedule", action="store_true", help="print each schedule")
    parser.add_argument(
        "--first", action="store_true", help="stop after the first seed with a breach"
    )
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        root = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        schedule, calls, breaches = run(root, seed, args.seconds)
        print(f"seed {seed}: {calls} calls, {len(schedule)} faults, {len(breaches)} breaches")
        if args.schedule or breaches:
            print("\n".join(f"  {fault}" for fault in schedule))
        print("\n".join(f"  BREACH {item}" for item in breaches[:20]), end="\n" if breaches else "")
        if breaches:
            print(f"  logs in {root}")
        failed += bool(breaches)
        sys.stdout.flush()
        if breaches and args.first:
            break
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
