"""A seeded run of failures drawn at random, two at a time, under mixed traffic.

What callers saw, what stand-ins ran and what was billed are compared at the end; the seed and the
schedule are printed, so that a breach can be run again.
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
WORKERS = 10
FAULT_SECONDS = 2.5
SETTLE_SECONDS = 40.0
KEY_RETRIES = 3


class SoakResult(NamedTuple):
    """What a soak showed.

    Attributes:
      seed: Its seed.
      schedule: The failures, in order.
      reconciled: What the records say together.
      violations: All that is off, in words.
    """

    seed: int
    schedule: tuple[str, ...]
    reconciled: reconciliation.Reconciliation
    violations: tuple[str, ...]


class _Fault(NamedTuple):
    """A failure that can begin and end."""

    name: str
    begin: Callable[[], None]
    end: Callable[[], None]


class _Faults:
    """The failures that can be drawn for a fleet."""

    def __init__(self, running: fleet.Fleet, rng: random.Random) -> None:
        self._fleet = running
        self._random = rng

    def draw(self) -> _Fault:
        """Draw a failure."""
        maker = self._random.choice(
            (self._kill, self._freeze, self._silence, self._cut, self._outage, self._lose)
        )
        return maker()

    def _server(self) -> str:
        return self._random.choice(list(self._fleet.servers))

    def _kill(self) -> _Fault:
        names = [*self._fleet.servers, *self._fleet.entries()]
        names += [f"{name}.backend" for name in self._fleet.servers]
        name = self._random.choice(names)
        process = self._fleet.processes[name]
        return _Fault(f"kill {name}", process.kill, process.restart)

    def _freeze(self) -> _Fault:
        name = self._random.choice([*self._fleet.servers, *self._fleet.entries()])
        process = self._fleet.processes[name]
        return _Fault(
            f"freeze {name}",
            lambda: process.signal(signal.SIGSTOP),
            lambda: process.signal(signal.SIGCONT),
        )

    def _silence(self) -> _Fault:
        server = self._server()
        return _Fault(
            f"silence {server}",
            lambda: self._fleet.set_path_fault(server, silent=True),
            lambda: None,
        )

    def _cut(self) -> _Fault:
        server = self._server()
        return _Fault(
            f"cut {server}",
            lambda: self._fleet.set_path_fault(server, cut=True, refuse=True),
            lambda: self._fleet.set_path_fault(server),
        )

    def _outage(self) -> _Fault:
        return _Fault(
            "outage",
            lambda: self._fleet.set_platform_faults(outage=True),
            self._fleet.set_platform_faults,
        )

    def _lose(self) -> _Fault:
        lose = {"claims": 3, "bills": 2, "sessions": 2}
        return _Fault(
            "lose answers",
            lambda: self._fleet.set_platform_faults(lose=lose),
            self._fleet.set_platform_faults,
        )


class _Traffic:
    """Mixed requests from several workers, until it is told to end."""

    def __init__(self, running: fleet.Fleet, deployment: str, seed: int) -> None:
        self._fleet = running
        self._deployment = deployment
        self._seed = seed
        self._end = threading.Event()
        self._lock = threading.Lock()
        self.results: list[tuple[caller.Result, str]] = []

    def _sender(self, rng: random.Random) -> caller.Caller:
        name = ORGANISATIONS[self._deployment]
        entry = rng.choice(self._fleet.entries())
        return caller.Caller(self._fleet.caller_url(entry), f"{self._deployment}-key-{name}")

    def _keep(self, result: caller.Result, key: str) -> None:
        with self._lock:
            self.results.append((result, key))

    def work(self, worker: int) -> None:
        """Send requests one after the other."""
        rng = random.Random(f"{self._seed}-{worker}")
        service, lookup, order = SERVICES[self._deployment]
        index = 0
        while not self._end.is_set():
            index += 1
            name = f"soak-{worker}-{index}"
            kind = rng.random()
            if kind < 0.5:
                tokens = rng.choice((4, 20, 80))
                self._keep(self._sender(rng).chat(f"dossier {name}", tokens, name), "")
            elif kind < 0.75:
                path = lookup.format(name)
                self._keep(self._sender(rng).call(service, "GET", path, request_id=name), "")
            else:
                self._order(rng, service, order, name)

    def _order(self, rng: random.Random, service: str, path: str, name: str) -> None:
        """Send an order, and again with its key until it is answered, as a careful caller does."""
        body = json.dumps({"order": name})
        for attempt in range(KEY_RETRIES):
            request_id = f"{name}-{attempt}"
            result = self._sender(rng).call(
                service, "POST", path, body, name, request_id, X_Timeout_Ms="15000"
            )
            self._keep(result, name)
            if result.outcome == "done" or self._end.is_set():
                return

    def end(self) -> None:
        """Let the workers finish their last requests."""
        self._end.set()


def _disturb(running: fleet.Fleet, rng: random.Random, seconds: float) -> tuple[str, ...]:
    """Draw two failures at a time until the time is up; heals all of them."""
    faults = _Faults(running, rng)
    schedule = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        pair = [faults.draw()]
        second = faults.draw()
        # The same failure twice at once is one failure; it counts when it comes again later.
        if second.name.split()[-1] != pair[0].name.split()[-1]:
            pair.append(second)
        schedule.append(" and ".join(fault.name for fault in pair))
        for fault in pair:
            fault.begin()
        time.sleep(FAULT_SECONDS * rng.uniform(0.3, 1.0))
        for fault in pair:
            fault.end()
        _revive(running)
    return tuple(schedule)


def _revive(running: fleet.Fleet) -> None:
    """Start what has fallen by itself, as the platform does."""
    for process in running.processes.values():
        if process.popen.poll() is not None:
            process.restart()


def run(running: fleet.Fleet, deployment: str, seed: int, seconds: float) -> SoakResult:
    """Run a soak on a fleet.

    Args:
      running: A fleet with stand-in paths.
      deployment: Name of its deployment.
      seed: Seed of the failures and of the traffic.
      seconds: How long failures are drawn.

    Returns:
      What it showed.
    """
    traffic = _Traffic(running, deployment, seed)
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        tasks = [pool.submit(traffic.work, worker) for worker in range(WORKERS)]
        schedule = _disturb(running, random.Random(seed), seconds)
        running.wait_ready()
        traffic.end()
        for task in tasks:
            task.result()
    _wait_settled(running)
    reconciled = reconciliation.reconcile(
        traffic.results, record.read(running.record), _read_bills(running)
    )
    return SoakResult(seed, schedule, reconciled, reconciled.violations)


def _wait_settled(running: fleet.Fleet) -> None:
    names = (*running.entries(), *running.servers)
    running.wait(
        lambda: all(running.status(name).get("unstored_bills", 1) == 0 for name in names),
        "all bills to be stored",
        SETTLE_SECONDS,
    )


def _read_bills(running: fleet.Fleet) -> list[message.Bill]:
    objects = platform.HttpObjectStore(running.platform_url, metrics.Metrics("", "soak"))
    return list(asyncio.run(ledger.read_all(objects)).values())
