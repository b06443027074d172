"""The demo: a full deployment, 100 mixed requests, a killed sidecar and a withdrawn version.

At the end it prints a summary that is based on the stand-ins' own record, then the timeline.
"""

import asyncio
import concurrent.futures
import json
import pathlib
import sys
import tempfile
import threading
import time

from berylrock.adapters import platform
from berylrock.core import metrics
from berylrock.loader import settings
from berylrock.ops import ledger, timeline
from berylrock.scripts import inspect
from berylrock.standins import caller, fleet, reconciliation, record

__all__ = ["main"]

REQUEST_COUNT = 100
CONCURRENCY = 24
LONG_ANSWER_TOKENS = 60
WITHDRAWN_VERSION = "garzone@1"
KILLED_SERVER = "engine-2"
BILLS_TIMEOUT_SECONDS = 15.0


def _send(
    running: fleet.Fleet, index: int, requests_started: threading.Semaphore
) -> tuple[caller.Result, str]:
    entries = running.entries()
    organisation = "infusion" if index % 2 else "agents"
    sender = caller.Caller(
        running.caller_url(entries[index % len(entries)]), f"ferrante-key-{organisation}"
    )
    name = f"demo-{index}"
    requests_started.release()
    if index % 4 == 0:
        order = json.dumps({"lorry": index})
        key = f"key-{index}"
        return sender.call("gestionale", "POST", "/orders/dispatch", order, key, name), key
    if index % 4 == 1:
        return sender.call("gestionale", "GET", f"/stock/{index}", request_id=name), ""
    tokens = LONG_ANSWER_TOKENS if index % 4 == 2 else 8
    return sender.chat(f"dossier {index}", tokens, name), ""


def _inject_failures(running: fleet.Fleet, requests_started: threading.Semaphore) -> None:
    """Kill a sidecar and withdraw a version while requests are in progress."""
    for _ in range(REQUEST_COUNT // 3):
        requests_started.acquire()
    running.processes[KILLED_SERVER].kill()
    print(f"demo: killed the sidecar of {KILLED_SERVER}")
    text = running.text.rstrip()
    changed = text.removesuffix("}").rstrip() + f',\n  "withdrawals": ["{WITHDRAWN_VERSION}"]\n}}\n'
    version = running.put_config(changed)
    print(f"demo: withdrew {WITHDRAWN_VERSION} in version {version}")
    running.processes[KILLED_SERVER].restart()


def _read_bills(running: fleet.Fleet) -> list:
    objects = platform.HttpObjectStore(running.platform_url, metrics.Metrics("", "demo"))
    return list(asyncio.run(ledger.read_all(objects)).values())


def _wait_bills(running: fleet.Fleet) -> None:
    def stored() -> bool:
        return all(running.status(name).get("unstored_bills") == 0 for name in running.entries())

    running.wait(stored, "all bills to be stored", BILLS_TIMEOUT_SECONDS)


def run(root: pathlib.Path) -> int:
    """Run the demo in a directory; returns the exit code."""
    options = fleet.FleetOptions("examples/ferrante.jsonc", root, engines=5, services=4)
    with fleet.Fleet(options) as running:
        print(f"demo: {len(running.processes)} processes are up, logs in {root}")
        requests_started = threading.Semaphore(0)
        failure_thread = threading.Thread(target=_inject_failures, args=(running, requests_started))
        failure_thread.start()
        began = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(CONCURRENCY) as pool:
            tasks = [
                pool.submit(_send, running, index, requests_started)
                for index in range(REQUEST_COUNT)
            ]
            results = [task.result() for task in tasks]
        failure_thread.join()
        print(f"demo: all ended after {time.monotonic() - began:.1f} s")
        _wait_bills(running)
        reconciled = reconciliation.reconcile(
            results, record.read(running.record), _read_bills(running)
        )
        cfg = settings.load(running.operator_settings(), settings.OperatorSettings)
        events = timeline.merge(inspect.fetch_events(cfg))
        code = _print_summary(results, reconciled)
        inspect.print_events([event for event in events if "attempt" not in event.fields])
        return code


def _print_summary(
    results: list[tuple[caller.Result, str]], reconciled: reconciliation.Reconciliation
) -> int:
    for violation in reconciled.violations:
        print(f"demo: breach: {violation}")
    others = reconciled.unknown + reconciled.broken
    if others:
        print(f"demo: {others} callers heard that the outcome is unknown or were cut off")
    print(
        f"demo: {len(results)} requests, {reconciled.answered} answered, "
        f"{reconciled.not_run} refused as not run, {len(reconciled.lost)} lost, "
        f"{len(reconciled.duplicated)} doubled"
    )
    return 1 if reconciled.violations or reconciled.broken else 0


def main() -> None:
    """Run the demo in a temporary directory."""
    with tempfile.TemporaryDirectory(prefix="berylrock-demo-") as directory:
        sys.exit(run(pathlib.Path(directory)))


if __name__ == "__main__":
    main()
