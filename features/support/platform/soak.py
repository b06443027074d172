"""A seeded soak of gateway processes under faults from outside; prints schedule and breaches.

Run by hand: ``make soak-gateway SEEDS=1-50``.
"""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile
import time

from . import soakcalls, soakchecks, soakfaults, soakfleet

CALLERS = 8
RECOVERY_S = 12.0
TICK_S = 0.02
# Running, ended after SIGTERM, killed, or told to stop before it had begun to listen.
EXPECTED = (None, 0, -9, -15)
FAULTY_LOG = ("Traceback", "Exception in", "exception was never retrieved")


def run(root, seed, seconds):
    """Run one seed.

    Args:
      root: Folder for settings and logs.
      seed: Seed of schedule and traffic.
      seconds: How long faults begin.

    Returns:
      The schedule, the number of calls, and the breaches in words.
    """
    rng = random.Random(seed)
    schedule = soakfaults.make_schedule(rng, seconds)
    running = soakfleet.SoakFleet(root)
    try:
        return schedule, *_play(running, rng, schedule)
    finally:
        running.stop()


def _play(running, rng, schedule):
    faults = soakfaults.Faults(running, time.monotonic)
    running.start_all()
    callers = soakcalls.Callers(running, random.Random(rng.random()), faults)
    tasks = [
        asyncio.run_coroutine_threadsafe(callers.work(number % 4 > 0), running.thread.loop)
        for number in range(CALLERS)
    ]
    breaches = _disturb(running, faults, schedule)
    breaches += _recover(running)
    callers.end()
    for task in tasks:
        task.result(soakcalls.PATIENCE_S + 2.0)
    breaches += _read_logs(running)
    breaches += soakchecks.judge(callers.calls, running.engines, faults)
    return len(callers.calls), breaches


def _disturb(running, faults, schedule):
    """Begin and end each fault at its time."""
    begun = time.monotonic()
    waiting, ends, breaches = list(schedule), [], []
    while waiting or ends:
        now = time.monotonic() - begun
        while waiting and waiting[0].at_s <= now:
            fault = waiting.pop(0)
            ends.append((fault.at_s + fault.for_s, faults.begin(fault)))
        for item in [item for item in ends if item[0] <= now]:
            if item[1]() != soakfaults.AGAIN:
                ends.remove(item)
        breaches += _look_for_exits(running, faults)
        time.sleep(TICK_S)
    running.clear_faults()
    faults.marks.append(soakfaults.Mark(time.monotonic(), "store", ""))
    return breaches


def _look_for_exits(running, faults):
    """A process that ends by itself was not told to."""
    found = []
    for name, item in running.gateways.items():
        code = item.popen.poll()
        if code in EXPECTED:
            continue
        found.append(f"exit: {name} ended with {code}")
        item.start()
    return found


def _recover(running):
    """Every gateway serves every kind of request within the time allowed for it."""
    breaches = []
    until = time.monotonic() + RECOVERY_S
    for name, item in running.gateways.items():
        for kind in soakcalls.KINDS:
            while not _serves(running, item, kind):
                if time.monotonic() > until:
                    breaches.append(f"recovery: {name} does not answer a {kind}")
                    break
                time.sleep(TICK_S)
    return breaches


def _serves(running, item, kind):
    async def ask():
        link = await soakcalls.http1.EngineConnection.open((item.host, item.port), 1.0)
        try:
            return await soakcalls.exchange(
                link, kind, f"/{kind}/x", soakcalls.PROBE, soakcalls.fleet.KEY
            )
        finally:
            link.close()

    try:
        status, *_, whole = running.thread.run(ask())
    except soakcalls.http1.ConnectFailed:
        return False
    return status == 200 and whole


def _read_logs(running):
    return [
        f"log: {name} has {word!r}"
        for name, item in running.gateways.items()
        for word in FAULTY_LOG
        if word in item.log()
    ]


def main():
    """Run seeds and print what each showed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="first and last seed")
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--schedule", action="store_true", help="print each schedule")
    parser.add_argument("--first", action="store_true", help="end after the first breach")
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
