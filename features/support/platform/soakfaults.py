"""The faults and planned changes of a soak, injected by a schedule drawn from a seed."""

import signal
from typing import NamedTuple

from . import fleet, soakfleet

ENGINE_FAULTS = ("error", "reset", "silent", "cut 3", "short", "stranger", "garbage", "full")
STORE_MODES = ("down", "silent", "busy", "limited", "lossy")
MAX_DURATION_S = 2.0
FAULTS_PER_S = (0.5, 2.5)
# A draining engine goes on serving for longer than it may get new requests.
DRAIN_EXTRA_S = 3.0
# What engines say of themselves is drawn apart, so that the other faults of a seed stay the same.
NOTICE_KINDS = ("pause_engine", "announce_leaving")
NOTICES_PER_S = 0.6
MS_PER_S = 1000.0
# Returned by a function that ends a fault if it has to be called again.
NOT_ENDED = "again"


class Fault(NamedTuple):
    """A scheduled fault or planned change.

    Attributes:
      at_s: Time from the start of traffic to the beginning of the fault, in seconds.
      kind: Name of the method of ``Faults`` that injects it.
      draw: Random number in [0, 1) that selects the target or the variant.
      duration_s: Duration in seconds.
    """

    at_s: float
    kind: str
    draw: float
    duration_s: float

    def __str__(self):
        return f"{self.at_s:.2f} {self.kind} {self.draw:.3f} for {self.duration_s:.2f}"


class TimelineEntry(NamedTuple):
    """The time of a fault or a planned change, for the checks after the run.

    Attributes:
      at: Time in seconds on the monotonic clock.
      kind: What happened. Faults are ``disturbed`` (a gateway or its connections), ``store`` and
        ``engine``. Planned changes are ``term`` and ``started`` (a gateway), ``drained`` and
        ``back`` (an engine), and ``revoked`` (a key).
      name: Name of the gateway or engine, or the key; empty if none in particular.
    """

    at: float
    kind: str
    name: str


# Time from the order of a rollout to its deadline, in seconds.
ROLLOUT_S = 3
# Changes that operators plan; all other kinds are faults.
PLANNED_KINDS = ("drain", "evacuate", "revoke", "reconfigure", "rollout", "term")
KINDS = (
    *("kill", "pause", "cut_store", "slow_store", "silence_store", "one_way_store", "store_mode"),
    *("forget", "harm_engine", "slow_engine", "reset_engine", "cut_engine", "silence_engine"),
    *PLANNED_KINDS,
    # Listed twice, so that they are drawn twice as often: most promises are about these two.
    *("harm_engine", "term"),
)


def make_schedule(rng, seconds):
    """Draw a schedule in which faults overlap and some come in series of one kind.

    Args:
      rng: The random generator.
      seconds: Time within which faults begin, in seconds.

    Returns:
      The faults, sorted by their times.
    """
    faults, at_s = [], 0.3
    per_s = rng.uniform(*FAULTS_PER_S)
    while at_s < seconds:
        kind = rng.choice(KINDS)
        duration_s = rng.uniform(0.1, MAX_DURATION_S) + (DRAIN_EXTRA_S if kind == "drain" else 0.0)
        faults.append(Fault(at_s, kind, rng.random(), duration_s))
        if rng.random() < 0.25:
            repeat_at_s = at_s + rng.uniform(0.05, 1.0)
            faults.append(Fault(repeat_at_s, kind, rng.random(), duration_s))
        at_s += rng.expovariate(per_s)
    return sorted(faults)


def make_notices(rng, seconds):
    """Draw when engines ask for a pause or say that they leave.

    Args:
      rng: The random generator.
      seconds: Time within which they do, in seconds.

    Returns:
      The faults, sorted by their times.
    """
    faults, at_s = [], rng.expovariate(NOTICES_PER_S)
    while at_s < seconds:
        duration_s = DRAIN_EXTRA_S + rng.uniform(0.1, MAX_DURATION_S)
        faults.append(Fault(at_s, rng.choice(NOTICE_KINDS), rng.random(), duration_s))
        at_s += rng.expovariate(NOTICES_PER_S)
    return faults


class Faults:
    """Injects faults into a fleet.

    Each public method but ``begin`` begins the fault of its name and returns the function that
    ends it. The methods' argument is the fault's ``draw``.

    Args:
      soak_fleet: The ``SoakFleet`` to inject faults into.
      clock: Function that returns the time in seconds on the monotonic clock.

    Attributes:
      timeline: A ``TimelineEntry`` for each fault and planned change so far.
      versions: Times of the roll-outs' orders, by target version.
      current_keys: Keys in the configuration that was written last.
    """

    def __init__(self, soak_fleet, clock):
        self.timeline = []
        self.versions = {}
        self._fleet = soak_fleet
        self._clock = clock
        self.current_keys = (fleet.KEY,)
        self._config_version = 1

    def begin(self, fault):
        """Begin a fault and return the function that ends it.

        That function returns ``NOT_ENDED`` if it has to be called again.
        """
        return getattr(self, fault.kind)(fault.draw)

    def _record(self, kind, name=""):
        self.timeline.append(TimelineEntry(self._clock(), kind, name))

    def _pick(self, items, draw):
        choices = sorted(items)
        return choices[int(draw * len(choices))]

    def _pick_gateway(self, draw):
        return self._fleet.gateways[self._pick(self._fleet.gateways, draw)]

    def kill(self, draw):
        """Send a gateway SIGKILL; the platform restarts it when the fault ends."""
        item = self._pick_gateway(draw)
        self._record("disturbed", item.name)
        item.stop()

        def end():
            if item.popen.poll() is not None:
                item.start()
            self._record("disturbed", item.name)

        return end

    def term(self, draw):
        """Send a gateway SIGTERM, and SIGKILL after the grace period; restart it after its end."""
        item = self._pick_gateway(draw)
        popen = item.popen
        kill_at = self._clock() + soakfleet.GRACE_S
        self._record("term", item.name)
        if popen.poll() is None:
            popen.send_signal(signal.SIGTERM)

        def end():
            if popen.poll() is None:
                if self._clock() > kill_at:
                    self._record("disturbed", item.name)
                    item.stop()
                return NOT_ENDED
            if item.popen is popen:
                item.start()
            self._record("started", item.name)
            return None

        return end

    def pause(self, draw):
        """Stop a gateway with SIGSTOP for a while, as when its VM is suspended."""
        item = self._pick_gateway(draw)
        self._record("disturbed", item.name)
        popen = item.popen
        if popen.poll() is None:
            popen.send_signal(signal.SIGSTOP)

        def end():
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
            self._record("disturbed", item.name)

        return end

    def _inject_at_store_proxy(self, draw, inject):
        """Call ``inject`` with the store proxy of a gateway; the fault's end clears its faults."""
        name = self._pick(self._fleet.store_proxies, draw)
        store_proxy = self._fleet.store_proxies[name]
        self._record("disturbed", name)
        inject(store_proxy)

        def end():
            store_proxy.clear_faults()
            self._record("disturbed", name)

        return end

    def cut_store(self, draw):
        """Reset and refuse a gateway's connections to the store."""

        def inject(store_proxy):
            store_proxy.refusing = True
            store_proxy.reset()

        return self._inject_at_store_proxy(draw, inject)

    def slow_store(self, draw):
        """Delay the data between a gateway and the store."""
        return self._inject_at_store_proxy(draw, lambda item: setattr(item, "delay_s", 0.2))

    def silence_store(self, draw):
        """Silence a gateway's open connections to the store until they are closed."""
        return self._inject_at_store_proxy(draw, lambda item: item.silence_open_connections())

    def one_way_store(self, draw):
        """Hold back the store's answers to a gateway, whose requests still arrive."""
        return self._inject_at_store_proxy(draw, lambda item: item.blocked_directions.add("down"))

    def store_mode(self, draw):
        """Set the store to a faulty mode, for all gateways."""
        self._record("store")
        mode = STORE_MODES[int(draw * len(STORE_MODES))]
        self._fleet.thread.run(self._fleet.store.set_mode(mode))

        def end():
            self._fleet.thread.run(self._fleet.store.set_mode("up"))
            self._record("store")

        return end

    def forget(self, _):
        """Make the store drop its history of changes."""
        self._record("store")
        self._fleet.thread.run(self._fleet.store.drop_history())
        return lambda: self._record("store")

    def _pick_engine(self, draw):
        return self._fleet.engines[self._pick(self._fleet.engines, draw)]

    def harm_engine(self, draw):
        """Make an engine answer its next requests with one fault of each kind in turn."""
        item = self._pick_engine(draw)
        self._record("engine")
        first = int(draw * 1000) % len(ENGINE_FAULTS)
        item.faults += [*ENGINE_FAULTS[first:], *ENGINE_FAULTS[:first]]
        return item.faults.clear

    def slow_engine(self, draw):
        """Delay an engine's responses."""
        item = self._pick_engine(draw)
        self._record("engine")
        item.response_delay_s = 0.4
        return lambda: setattr(item, "response_delay_s", 0.0)

    def _pick_engine_proxy(self, draw):
        """Select an engine's proxy for a fault, and record the fault in the timeline."""
        self._record("engine")
        return self._fleet.engine_proxies[self._pick(self._fleet.engine_proxies, draw)]

    def reset_engine(self, draw):
        """Reset an engine's connections."""
        self._pick_engine_proxy(draw).reset()
        return lambda: None

    def cut_engine(self, draw):
        """Hold back an engine's responses; requests still arrive."""
        engine_proxy = self._pick_engine_proxy(draw)
        engine_proxy.blocked_directions.add("down")
        return engine_proxy.clear_faults

    def silence_engine(self, draw):
        """Silence an engine's open connections until they are closed."""
        self._pick_engine_proxy(draw).silence_open_connections()
        return lambda: None

    def drain(self, draw):
        """Set an engine's state to draining, and back to ready when the fault ends."""
        item = self._pick_engine(draw)
        service, _, version = item.id.partition("-")
        version = version if version in self.versions else "v1"
        self._fleet.add_engine(item.id, service, version, state="draining")
        self._record("drained", item.id)

        def end():
            self._record("back", item.id)
            self._fleet.add_engine(item.id, service, version)

        return end

    def pause_engine(self, draw):
        """Let an engine refuse requests for a while, and ask for none until then."""
        item = self._pick_engine(draw)
        item.pause_s = 0.5 + MAX_DURATION_S * draw
        return lambda: None

    def announce_leaving(self, draw):
        """Let an engine say in its answers that it leaves, and start again when the fault ends."""
        item = self._pick_engine(draw)
        service, _, version = item.id.partition("-")
        version = version if version in self.versions else "v1"
        item.leaving = True

        def end():
            item.leaving = False
            self._fleet.started_ms[item.id] = int(self._clock() * MS_PER_S)
            self._fleet.add_engine(item.id, service, version)

        return end

    def evacuate(self, _):
        """Evacuate an availability zone without engines for a while; the other zones go on."""
        self._fleet.put("evacuations", "giarre-d", {})
        return lambda: self._fleet.thread.run(self._fleet.store.remove("evacuations", "giarre-d"))

    def revoke(self, _):
        """Add a key to the configuration, and withdraw it when the fault ends."""
        key = f"key-{next(self._fleet.counter)}"
        self._write_config((fleet.KEY, key))
        return lambda: self._withdraw_key(key)

    def _withdraw_key(self, key):
        self._write_config((fleet.KEY,))
        self._record("revoked", key)

    def reconfigure(self, _):
        """Write three versions of the configuration in quick succession."""
        for _ in range(3):
            self._write_config((fleet.KEY,))
        return lambda: None

    def _write_config(self, keys):
        self._config_version += 3
        self.current_keys = keys
        self._fleet.put("config", "main", fleet.make_config(self._config_version, keys=keys))

    def rollout(self, _):
        """Order a roll-out to a good version; its engine starts and the old engines stay."""
        version = f"v{len(self.versions) + 2}"
        self.versions[version] = self._clock()
        self._fleet.add_engine(f"models-{version}", "models", version=version)
        order = {"backend": "models", "target": version, "duration-s": ROLLOUT_S}
        self._fleet.put("rollouts", "models", order)
        return lambda: None
