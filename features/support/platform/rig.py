"""Plays gateways, engines and callers as processes of their own under faults, and checks all runs.

To run it by hand: ``make rig SEEDS=1-20 SIZE=ferrante``. Engines with an odd number are reached
through a proxy, the others directly. ``--fault`` starts the gateways with a fault of
``faultygateway``, to show that the checks notice it. ``--code`` names a checkout of another commit
whose gateways are played.
"""

import argparse
import asyncio
import atexit
import collections
import contextlib
import itertools
import math
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from . import (
    faultygateway,
    fleet,
    gatewayprocess,
    loop,
    proxy,
    rigcalls,
    rigchecks,
    rigengine,
    rigfaults,
    store,
)

FEATURES = pathlib.Path(__file__).parents[2]
# Gateways, engines of models and of a plain service.
SIZES = {
    "small": (2, 3, 2),
    "ferrante": (5, 9, 4),
    "taurex": (4, 18, 4),
    "grown": (14, 24, 4),
    "large": (40, 120, 40),
}
REQUESTS_PER_S = {"small": 25.0, "ferrante": 41.0, "taurex": 45.0, "grown": 70.0, "large": 120.0}
# The habits that engines have in turn; most are as they should be.
HABITS = ("", "hasty", "stubborn", "", "proxied", "stubborn", "deaf")
# Each engine whose number is a multiple of this is known under two ids.
ALIAS_EVERY = 5
IDLE_TIMEOUT_MS = 1500
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 2_000_000,
    "idle-timeout-ms": IDLE_TIMEOUT_MS,
}
REVOKE_MS = 5000
SETTLE_S, READY_TIMEOUT_S = 2.0, 40.0
BUSY = "while True: pass"


class RigEngine:
    """An engine process, its address and its log.

    Attributes:
      id: The engine's id.
      ids: All ids under which it is known, each with an entry of its own.
      service: Name of its service.
      address: Where gateways reach it.
      link: The proxy before it; None if there is none.
      popen: The process.
    """

    def __init__(self, root, engine_id, seed, link_thread=None, former=None):
        """Prepare an engine, at the address of a former one that has ended if one is given."""
        self.id = engine_id
        self._alias = "" if seed % ALIAS_EVERY else f"{engine_id}-also"
        self.ids = (engine_id, self._alias) if self._alias else (engine_id,)
        self.service = engine_id.partition("-")[0]
        self.log = root / f"{engine_id}.runs"
        self.popen = None
        self._seed = seed
        self._habit = HABITS[seed % len(HABITS)]
        if former is not None:
            self.link, self.address, self._own = former.link, former.address, former._own
            return
        host = gatewayprocess.new_host()
        (port,) = gatewayprocess.free_ports(host, 1)
        self.link, self.address = None, f"{host}:{port}"
        self._own = self.address
        if link_thread is not None:
            self.link = proxy.Proxy(port, host)
            link_thread.run(self.link.start())
            self.address = f"127.0.0.1:{self.link.port}"

    def start(self):
        """Start the process, also after an earlier one has ended."""
        command = [sys.executable, "-m", "support.platform.rigengine", self.id, self._own]
        command += [str(self.log), str(self._seed)]
        command += ["--habit", self._habit, "--alias", self._alias]
        self._seed += 1000
        self.popen = subprocess.Popen(command, cwd=FEATURES)

    def stop(self):
        """Kill the process, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait(5)


class Rig:
    """The processes of one run.

    Attributes:
      rng: Random numbers for what is done to them.
      rename_rng: Those for restarts under new ids, which do not change the other faults of a seed.
      disturbances: What was done to them, as ``rigchecks.Disturbance``.
      config: The configuration in force.
    """

    def __init__(self, root, size, seed, launcher=("-m", "berylrock", "gateway"), code=None):
        self.root = pathlib.Path(root)
        self.rng = random.Random(seed)
        self.rename_rng = random.Random(f"{seed} renames")
        self.thread = loop.LoopThread()
        self.store = store.StandInStore()
        self.thread.run(self.store.start())
        self.disturbances = []
        self.gateways, self.store_links, self.engines = {}, {}, {}
        self._numbers = itertools.count(1)
        self._busy = set()
        try:
            self._build(SIZES[size], launcher, code)
        except BaseException:
            self.stop()
            raise

    def _build(self, counts, launcher, code):
        """Write the configuration, prepare the gateways and start the engines."""
        gateways, models, plain = counts
        self.config = make_config()
        self._put("config", "main", self.config)
        peer_port = gatewayprocess.free_ports("127.0.0.1", 1)[0]
        for number in range(gateways):
            self._add_gateway(f"entry-{number:02}", peer_port, launcher, code)
        for service, count in (("models", models), ("plain", plain)):
            for _ in range(count):
                self.add_engine(service)

    def _put(self, kind, name, spec):
        self.thread.run(self.store.put(kind, name, spec))

    def _add_gateway(self, name, peer_port, launcher, code):
        link = self.store_links[name] = proxy.Proxy(self.store.port)
        self.thread.run(link.start())
        self.gateways[name] = gatewayprocess.GatewayProcess(
            *(
                self.root,
                name,
                gatewayprocess.new_host(),
                link.port,
                REVOKE_MS,
                rigfaults.GRACE_S,
                peer_port,
            ),
            apply_ms=rigfaults.APPLY_MS,
            launcher=launcher,
            code=code,
        )

    def add_engine(self, service, former=None):
        """Start an engine, maybe at the address of one that has ended, and write its entry."""
        number = next(self._numbers)
        link_thread = self.thread if number % 2 else None
        item = RigEngine(self.root, f"{service}-{number:03}", number, link_thread, former)
        self.engines[item.id] = item
        item.start()
        self.write_entry(item)

    def write_entry(self, item, state="ready"):
        """Write an engine's entry under each of its ids, as one that has started now."""
        born = int(time.monotonic() * 1000)
        entry = fleet.make_entry(item.service, item.address, state=state, born=born)
        for engine_id in item.ids:
            self._put("servers", engine_id, entry)

    def start(self):
        """Start the gateways and wait until they are ready."""
        for item in self.gateways.values():
            item.start()
        until = time.monotonic() + READY_TIMEOUT_S
        for item in self.gateways.values():
            while not self._is_ready(item):
                assert time.monotonic() < until, f"{item.name} is not ready: {item.log()[-2000:]}"
                time.sleep(0.05)

    def _is_ready(self, item):
        address = (item.host, item.ready_port)
        page = fleet.exchange(address, "GET", "/readyz", [("Host", "x")], b"")
        return self.thread.run(page).status == 200

    def stop(self):
        """End all processes that the rig has started."""
        for item in (*self.gateways.values(), *self.engines.values()):
            if item.popen is not None and item.popen.poll() is None:
                item.popen.send_signal(signal.SIGCONT)
            item.stop()
        self.thread.stop()

    async def watch_lateness(self):
        """Record when this process, and so the machine, was too busy."""
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(rigengine.LATE_CHECK_S)
            now = time.monotonic()
            if now - began_at - rigengine.LATE_CHECK_S > rigengine.LATE_S:
                late = rigchecks.Disturbance(*rigchecks.STARVED, began_at, now)
                self.disturbances.append(late)

    def pick(self, items, is_fit=lambda item: True, rng=None):
        """Return a random one to which nothing is being done; None if there is none."""
        fit = [name for name in sorted(items) if name not in self._busy and is_fit(items[name])]
        return items[(rng or self.rng).choice(fit)] if fit else None

    def count(self, service):
        """Return the number of engines of a service that run, or start again soon."""
        return sum(item.service == service for item in self.engines.values())

    def mark(self, kind):
        """Record that something begins now and lasts."""
        self.disturbances.append(rigchecks.Disturbance(kind, "", time.monotonic(), math.inf))

    def reserve(self, name):
        """Keep others from doing anything to an engine or a gateway from now on."""
        self._busy.add(name)

    @contextlib.asynccontextmanager
    async def disturb(self, kind, name):
        """Record a disturbance for as long as the block runs."""
        began_at = time.monotonic()
        index = len(self.disturbances)
        self._busy.add(name)
        self.disturbances.append(rigchecks.Disturbance(kind, name, began_at, math.inf))
        try:
            yield
        finally:
            ended_at = time.monotonic()
            self.disturbances[index] = rigchecks.Disturbance(kind, name, began_at, ended_at)
            self._busy.discard(name)


def make_config():
    """Return the configuration: plain calls, and streams that can and cannot be resumed."""
    config = fleet.make_config(1, limits=LIMITS)
    config["routes"].append(fleet.make_route("flip", "/flip/", "idempotent", "plain"))
    for route in config["routes"]:
        route["timeout-ms"] = 8000 if route["route-type"] == "streaming" else 3000
        route["target-latency-ms"] = 1000 if route["route-type"] == "streaming" else 400
    talk = {"sizes": ["small", "large"], "itl-target-ms": 600, "timeout-ms": 8000}
    config["routes"].append(fleet.make_route("talk", "/talk/", "streaming", "models", **talk))
    config["backends"][1]["engine"]["batch-slots"] = 48
    return config


def run(root, seed, seconds, size="small", fault="", mix="all", code=None, per_s=0.0):
    """Play one seed.

    Args:
      root: Folder for settings and logs.
      seed: Seed of the faults and the traffic.
      seconds: Time for which requests are sent.
      size: Key of ``SIZES``.
      fault: Key of ``faultygateway.PLACES``; empty for sound gateways.
      mix: Key of ``rigcalls.MIXES``.
      code: Checkout whose gateways are played; None for this one's.
      per_s: Requests a second; 0 for those of the size.

    Returns:
      The attempts, the runs, the disturbances and the descriptions of the breaches.
    """
    launcher = ("-m", "berylrock", "gateway")
    if fault:
        launcher = (str(pathlib.Path(faultygateway.__file__)), fault)
    rig = Rig(root, size, seed, launcher, code)
    try:
        rig.start()
        rate = per_s or REQUESTS_PER_S[size]
        callers = rigcalls.Callers(rig.gateways, random.Random(seed + 1), rate, mix)

        async def play():
            watch = asyncio.create_task(rig.watch_lateness())
            await asyncio.gather(rigfaults.Faults(rig).run(seconds), callers.run(seconds))
            # Runs of requests that were given up end within the time allowed for it.
            await asyncio.sleep(SETTLE_S)
            watch.cancel()

        rig.thread.run(play(), seconds + 60.0)
    finally:
        rig.stop()
    names = {path.stem for path in rig.root.glob("*.runs")}
    runs = [
        item
        for name in sorted(names)
        for item in rigchecks.read_runs(rig.root / f"{name}.runs", name, rig.disturbances)
    ]
    breaches = rigchecks.find_breaches(runs, callers.attempts, rig.disturbances)
    return callers.attempts, runs, rig.disturbances, breaches


def main():
    """Play each seed and print the results; exit with 1 if any breach was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="first and last seed")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--size", choices=sorted(SIZES), default="ferrante")
    parser.add_argument("--fault", choices=sorted(faultygateway.PLACES), default="")
    parser.add_argument("--mix", choices=sorted(rigcalls.MIXES), default="all")
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second")
    parser.add_argument("--beside", type=int, default=0, help="busy processes beside")
    parser.add_argument("--code", help="checkout of another commit, whose gateways are played")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    failed = 0
    busy = [subprocess.Popen([sys.executable, "-c", BUSY]) for _ in range(args.beside)]
    atexit.register(lambda: [item.kill() for item in busy])
    for seed in range(int(first), int(last or first) + 1):
        root = pathlib.Path(tempfile.mkdtemp(prefix=f"rig-{seed}-"))
        attempts, runs, disturbances, breaches = run(
            *(root, seed, args.seconds, args.size, args.fault, args.mix, args.code, args.rate)
        )
        done = sum(item.status == 200 and item.whole for item in attempts)
        counts = f"{len(attempts)} attempts, {done} answered, {len(runs)} runs"
        kinds = collections.Counter(item.partition(":")[0] for item in breaches)
        faults = f"{len(disturbances)} faults, {len(breaches)} breaches {dict(kinds) or ''}"
        print(f"seed {seed}, {args.size}: {counts}, {faults}")
        for item in breaches[:20]:
            print(f"  BREACH {item}")
        if breaches:
            for name, items in (("disturbances", disturbances), ("breaches", breaches)):
                lines = "".join(f"{item}\n" for item in items)
                (root / f"{name}.txt").write_text(lines, encoding="utf-8")
            print(f"  logs in {root}")
        failed += bool(breaches)
        sys.stdout.flush()
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
