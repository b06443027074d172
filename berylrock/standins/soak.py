"""A soak test that injects random failures, up to two at a time, under mixed traffic.

At the end it compares the results of the callers, the record of the stand-ins and the ledger. The
result contains the seed and the schedule of failures, so that a violation can be reproduced.
"""

import asyncio
import concurrent.futures
import json
import random
import signal
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from berylrock.adapters import platform
from berylrock.core import message, metrics
from berylrock.ops import ledger
from berylrock.standins import caller, fleet, reconciliation, record

__all__ = ["SoakResult", "run"]

ORGANISATIONS = {"ferrante": "infusion", "taurex": "hire-desk"}
SERVICES = {"ferrante": ("gestionale", "/stock/{}", "/orders/dispatch")}
SERVICES["taurex"] = ("ledger-app", "/bulls/{}", "/bookings")
WORKER_COUNT = 10
MAX_FAULT_SECONDS = 2.5
BILLS_TIMEOUT_SECONDS = 40.0
MAX_ORDER_ATTEMPTS = 3


class SoakResult(NamedTuple):
    """The result of a soak test.

    Attributes:
      seed: Seed of the run.
      schedule: Names of the injected failures, in order.
      reconciled: Result of comparing the records.
      violations: All violations, as text.
    """

    seed: int
    schedule: tuple[str, ...]
    reconciled: reconciliation.Reconciliation
    violations: tuple[str, ...]


class _Fault(NamedTuple):
    """A failure, with the functions that start and end it."""

    name: str
    begin: Callable[[], None]
    end: Callable[[], None]


class _FaultGenerator:
    """Draws random failures of a fleet."""

    def __init__(self, running: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = running
        self._random = rng

    def draw(self) -> _Fault:
        """Draw a failure at random."""
        make_fault = self._random.choice(
            (
                self._kill_process,
                self._suspend_process,
                self._silence_path,
                self._cut_path,
                self._cause_outage,
                self._lose_responses,
            )
        )
        return make_fault()

    def _draw_server(self) -> str:
        return self._random.choice(list(self._fleet.servers))

    def _kill_process(self) -> _Fault:
        names = [*self._fleet.servers, *self._fleet.entries()]
        names += [f"{name}.backend" for name in self._fleet.servers]
        name = self._random.choice(names)
        process = self._fleet.processes[name]
        return _Fault(f"kill {name}", process.kill, process.restart)

    def _suspend_process(self) -> _Fault:
        name = self._random.choice([*self._fleet.servers, *self._fleet.entries()])
        process = self._fleet.processes[name]
        return _Fault(
            f"freeze {name}",
            lambda: process.signal(signal.SIGSTOP),
            lambda: process.signal(signal.SIGCONT),
        )

    def _silence_path(self) -> _Fault:
        server = self._draw_server()
        return _Fault(
            f"silence {server}",
            lambda: self._fleet.set_path_fault(server, silent=True),
            lambda: None,
        )

    def _cut_path(self) -> _Fault:
        server = self._draw_server()
        return _Fault(
            f"cut {server}",
            lambda: self._fleet.set_path_fault(server, cut=True, refuse=True),
            lambda: self._fleet.set_path_fault(server),
        )

    def _cause_outage(self) -> _Fault:
        return _Fault(
            "outage",
            lambda: self._fleet.set_platform_faults(outage=True),
            self._fleet.set_platform_faults,
        )

    def _lose_responses(self) -> _Fault:
        lose = {"claims": 3, "bills": 2, "sessions": 2}
        return _Fault(
            "lose answers",
            lambda: self._fleet.set_platform_faults(lose=lose),
            self._fleet.set_platform_faults,
        )


class _Traffic:
    """Mixed requests from several workers until ``end`` is called."""

    def __init__(self, running: fleet.Fleet, deployment: str, seed: int) -> None:
        self._fleet = running
        self._deployment = deployment
        self._seed = seed
        self._end_requested = threading.Event()
        self._lock = threading.Lock()
        self.results: list[tuple[caller.Result, str]] = []

    def _make_caller(self, rng: random.Random) -> caller.Caller:
        name = ORGANISATIONS[self._deployment]
        entry = rng.choice(self._fleet.entries())
        return caller.Caller(self._fleet.caller_url(entry), f"{self._deployment}-key-{name}")

    def _add_result(self, result: caller.Result, key: str) -> None:
        with self._lock:
            self.results.append((result, key))

    def send_requests(self, worker: int) -> None:
        """Send requests one after the other until the traffic is told to end."""
        rng = random.Random(f"{self._seed}-{worker}")
        service, lookup, order = SERVICES[self._deployment]
        index = 0
        while not self._end_requested.is_set():
            index += 1
            name = f"soak-{worker}-{index}"
            kind = rng.random()
            if kind < 0.5:
                tokens = rng.choice((4, 20, 80))
                self._add_result(self._make_caller(rng).chat(f"dossier {name}", tokens, name), "")
            elif kind < 0.75:
                path = lookup.format(name)
                self._add_result(
                    self._make_caller(rng).call(service, "GET", path, request_id=name), ""
                )
            else:
                self._order(rng, service, order, name)

    def _order(self, rng: random.Random, service: str, path: str, name: str) -> None:
        """Send an order, and retry it with the same idempotency key until it is answered."""
        body = json.dumps({"order": name})
        for attempt in range(MAX_ORDER_ATTEMPTS):
            request_id = f"{name}-{attempt}"
            result = self._make_caller(rng).call(
                service, "POST", path, body, name, request_id, X_Timeout_Ms="15000"
            )
            self._add_result(result, name)
            if result.outcome == "done" or self._end_requested.is_set():
                return

    def end(self) -> None:
        """Tell the workers to stop after their current requests."""
        self._end_requested.set()


def _inject_failures(running: fleet.Fleet, rng: random.Random, seconds: float) -> tuple[str, ...]:
    """Inject up to two failures at a time until the time has elapsed; ends each of them.

    Returns:
      The names of the injected failures, in order.
    """
    faults = _FaultGenerator(running, rng)
    schedule = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        pair = [faults.draw()]
        second = faults.draw()
        # Two simultaneous failures of one target count as one, so the second is dropped. It counts
        # if it is drawn again later.
        if second.name.split()[-1] != pair[0].name.split()[-1]:
            pair.append(second)
        schedule.append(" and ".join(fault.name for fault in pair))
        for fault in pair:
            fault.begin()
        time.sleep(MAX_FAULT_SECONDS * rng.uniform(0.3, 1.0))
        for fault in pair:
            fault.end()
        _restart_exited(running)
    return tuple(schedule)


def _restart_exited(running: fleet.Fleet) -> None:
    """Restart processes that have exited, as the platform does."""
    for process in running.processes.values():
        if process.popen.poll() is not None:
            process.restart()


def run(running: fleet.Fleet, deployment: str, seed: int, seconds: float) -> SoakResult:
    """Run a soak test on a fleet.

    Args:
      running: A running fleet that was started with ``paths``.
      deployment: Name of the deployment that the fleet runs.
      seed: Seed of the failures and of the traffic.
      seconds: Duration of the failure injection.

    Returns:
      The result.
    """
    traffic = _Traffic(running, deployment, seed)
    with concurrent.futures.ThreadPoolExecutor(WORKER_COUNT) as pool:
        tasks = [pool.submit(traffic.send_requests, worker) for worker in range(WORKER_COUNT)]
        schedule = _inject_failures(running, random.Random(seed), seconds)
        running.wait_ready()
        traffic.end()
        for task in tasks:
            task.result()
    _wait_bills_stored(running)
    reconciled = reconciliation.reconcile(
        traffic.results, record.read(running.record), _read_bills(running)
    )
    return SoakResult(seed, schedule, reconciled, reconciled.violations)


def _wait_bills_stored(running: fleet.Fleet) -> None:
    names = (*running.entries(), *running.servers)
    running.wait(
        lambda: all(running.status(name).get("unstored_bills", 1) == 0 for name in names),
        "all bills to be stored",
        BILLS_TIMEOUT_SECONDS,
    )


def _read_bills(running: fleet.Fleet) -> list[message.Bill]:
    objects = platform.HttpObjectStore(running.platform_url, metrics.Metrics("", "soak"))
    return list(asyncio.run(ledger.read_all(objects)).values())
