"""The faults and planned changes of a soak: each begins, lasts and ends by a seeded schedule."""

import signal
from typing import NamedTuple

from . import fleet, soakfleet

ENGINE_FAULTS = ("error", "reset", "silent", "cut 3", "short", "stranger", "garbage", "full")
STORE_MODES = ("down", "silent", "busy", "limited", "lossy")
LONGEST_S = 2.0
FAULTS_PER_S = (0.5, 2.5)
# An engine that leaves goes on serving for longer than it may get new work.
LEAVING_S = 3.0
# What an end returns that has to be called again.
AGAIN = "again"


class Fault(NamedTuple):
    """One entry of the schedule.

    Attributes:
      at_s: When it begins, after the start of traffic.
      kind: What it is; a method of ``Faults``.
      draw: A number in [0, 1) that picks where.
      for_s: How long it lasts.
    """

    at_s: float
    kind: str
    draw: float
    for_s: float

    def __str__(self):
        return f"{self.at_s:.2f} {self.kind} {self.draw:.3f} for {self.for_s:.2f}"


class Mark(NamedTuple):
    """When something was acknowledged or harmed, on the monotonic clock."""

    at: float
    what: str
    name: str


# Changes that operators plan; everything else disturbs machines.
PLANNED = ("drain", "evacuate", "revoke", "reconfigure", "rollout", "term")
KINDS = (
    *("kill", "pause", "cut_store", "slow_store", "silence_store", "one_way_store", "store_mode"),
    *("forget", "harm_engine", "slow_engine", "reset_engine", "cut_engine", "silence_engine"),
    *PLANNED,
    # The ones that the promises are mostly about come twice as often.
    *("harm_engine", "term"),
)


def make_schedule(rng, seconds):
    """Draw a schedule: faults come in series and overlap."""
    faults, at_s = [], 0.3
    per_s = rng.uniform(*FAULTS_PER_S)
    while at_s < seconds:
        kind = rng.choice(KINDS)
        for_s = rng.uniform(0.1, LONGEST_S) + (LEAVING_S if kind == "drain" else 0.0)
        faults.append(Fault(at_s, kind, rng.random(), for_s))
        if rng.random() < 0.25:
            again = at_s + rng.uniform(0.05, 1.0)
            faults.append(Fault(again, kind, rng.random(), for_s))
        at_s += rng.expovariate(per_s)
    return sorted(faults)


class Faults:
    """Carries faults out on a fleet; each method begins one and returns what ends it."""

    def __init__(self, running, clock):
        self.marks = []
        self.versions = {}
        self._fleet = running
        self._clock = clock
        self.current_keys = (fleet.KEY,)
        self._config = 1

    def begin(self, fault):
        """Begin a fault; returns a function that ends it."""
        return getattr(self, fault.kind)(fault.draw)

    def _mark(self, what, name=""):
        self.marks.append(Mark(self._clock(), what, name))

    def _pick(self, items, draw):
        found = sorted(items)
        return found[int(draw * len(found))]

    def _gateway(self, draw):
        return self._fleet.gateways[self._pick(self._fleet.gateways, draw)]

    def kill(self, draw):
        """SIGKILL; the platform starts the process again."""
        item = self._gateway(draw)
        self._mark("disturbed", item.name)
        item.stop()

        def end():
            if item.popen.poll() is not None:
                item.start()
            self._mark("disturbed", item.name)

        return end

    def term(self, draw):
        """SIGTERM, SIGKILL after the grace time, and a start when the process has ended."""
        item = self._gateway(draw)
        popen = item.popen
        kill_at = self._clock() + soakfleet.GRACE_S
        self._mark("term", item.name)
        if popen.poll() is None:
            popen.send_signal(signal.SIGTERM)

        def end():
            if popen.poll() is None:
                if self._clock() > kill_at:
                    self._mark("disturbed", item.name)
                    item.stop()
                return AGAIN
            if item.popen is popen:
                item.start()
            self._mark("started", item.name)
            return None

        return end

    def pause(self, draw):
        """SIGSTOP for a while, as when a VM is suspended."""
        item = self._gateway(draw)
        self._mark("disturbed", item.name)
        popen = item.popen
        if popen.poll() is None:
            popen.send_signal(signal.SIGSTOP)

        def end():
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
            self._mark("disturbed", item.name)

        return end

    def _harm_store_path(self, draw, harm):
        name = self._pick(self._fleet.store_proxies, draw)
        path = self._fleet.store_proxies[name]
        self._mark("disturbed", name)
        harm(path)

        def end():
            path.clear_faults()
            self._mark("disturbed", name)

        return end

    def cut_store(self, draw):
        """A gateway's connections to the store are reset and refused."""

        def harm(path):
            path.refusing = True
            path.reset()

        return self._harm_store_path(draw, harm)

    def slow_store(self, draw):
        """A gateway's path to the store is slow."""
        return self._harm_store_path(draw, lambda path: setattr(path, "delay_s", 0.2))

    def silence_store(self, draw):
        """A gateway's open connections to the store go silent for good."""
        return self._harm_store_path(draw, lambda path: path.silence_open_connections())

    def one_way_store(self, draw):
        """The store hears a gateway, whose answers are held."""
        return self._harm_store_path(draw, lambda path: path.blocked_directions.add("down"))

    def store_mode(self, draw):
        """The store misbehaves towards all."""
        self._mark("store")
        mode = STORE_MODES[int(draw * len(STORE_MODES))]
        self._fleet.thread.run(self._fleet.store.set_mode(mode))

        def end():
            self._fleet.thread.run(self._fleet.store.set_mode("up"))
            self._mark("store")

        return end

    def forget(self, _):
        """The store drops its history."""
        self._mark("store")
        self._fleet.thread.run(self._fleet.store.drop_history())
        return lambda: self._mark("store")

    def _engine(self, draw):
        return self._fleet.engines[self._pick(self._fleet.engines, draw)]

    def harm_engine(self, draw):
        """Some answers of an engine are faulty, each in another way."""
        item = self._engine(draw)
        self._mark("engine")
        first = int(draw * 1000) % len(ENGINE_FAULTS)
        item.faults += [*ENGINE_FAULTS[first:], *ENGINE_FAULTS[:first]]
        return item.faults.clear

    def slow_engine(self, draw):
        """An engine takes long."""
        item = self._engine(draw)
        self._mark("engine")
        item.response_delay_s = 0.4
        return lambda: setattr(item, "response_delay_s", 0.0)

    def _engine_path(self, draw):
        self._mark("engine")
        return self._fleet.engine_proxies[self._pick(self._fleet.engine_proxies, draw)]

    def reset_engine(self, draw):
        """An engine's connections are reset."""
        self._engine_path(draw).reset()
        return lambda: None

    def cut_engine(self, draw):
        """An engine hears, but its answers are held."""
        path = self._engine_path(draw)
        path.blocked_directions.add("down")
        return path.clear_faults

    def silence_engine(self, draw):
        """An engine's open connections go silent for good."""
        self._engine_path(draw).silence_open_connections()
        return lambda: None

    def drain(self, draw):
        """An engine says that it leaves, and later comes back."""
        item = self._engine(draw)
        service, _, version = item.id.partition("-")
        version = version if version in self.versions else "v1"
        self._fleet.add_engine(item.id, service, version, state="draining")
        self._mark("drained", item.id)

        def end():
            self._mark("back", item.id)
            self._fleet.add_engine(item.id, service, version)

        return end

    def evacuate(self, _):
        """A zone without engines is taken out and comes back; the others go on."""
        self._fleet.put("evacuations", "giarre-d", {})
        return lambda: self._fleet.thread.run(self._fleet.store.remove("evacuations", "giarre-d"))

    def revoke(self, _):
        """A configuration takes a key away and gives another."""
        key = f"key-{next(self._fleet.counter)}"
        self._write_config((fleet.KEY, key))
        return lambda: self._take_away(key)

    def _take_away(self, key):
        self._write_config((fleet.KEY,))
        self._mark("revoked", key)

    def reconfigure(self, _):
        """Three versions in quick succession."""
        for _ in range(3):
            self._write_config((fleet.KEY,))
        return lambda: None

    def _write_config(self, keys):
        self._config += 3
        self.current_keys = keys
        self._fleet.put("config", "main", fleet.make_config(self._config, keys=keys))

    def rollout(self, _):
        """A good version is ordered; its engines start, the old ones stay."""
        version = f"v{len(self.versions) + 2}"
        self.versions[version] = self._clock()
        self._fleet.add_engine(f"models-{version}", "models", version=version)
        order = {"backend": "models", "target": version, "duration-s": 3}
        self._fleet.put("rollouts", "models", order)
        return lambda: None
