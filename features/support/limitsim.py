"""Simulates gateways that share the limit of one engine, without a network.

Load pattern: every gateway always has requests for the engine, whose limit begins, changes and
ends. Datagrams between the gateways are lost and late; gateways restart, join and leave; what they
read of each other's records is some seconds old.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from berylrock.ops import enginelimits, rendezvous

STEP_S = 0.05
GOSSIP_STEPS, FANOUT = 5, 12
PEERS_INTERVAL_S, MAX_RECORD_AGE_S, RECORD_DELAY_S = 1.5, 3.0, 0.3
MAX_CONNECT_S, MIN_ANSWER_S, MAX_ANSWER_S = 0.2, 0.05, 1.5
MAX_ECHO_AGE_S = 3.0
# Time until a limit is in the record of a gateway.
LIMIT_RECORD_AGE_S = 3.0
ENGINE = "engine-1"
# The users' bound: in any window, from this time after a limit was first named, half as much again
# as the limit allows and some more, from gateways that have passed on an answer this long ago.
WINDOW_S, SETTLE_S, TOLD_S = 4.0, 3.0, 0.5
EXCESS_FACTOR, EXCESS_REQUESTS = 1.5, 5


class Change(NamedTuple):
    """From ``at`` on, in seconds, the engine names ``per_s``."""

    at: float
    per_s: float


class Load(NamedTuple):
    """What is simulated; times are in seconds.

    Attributes:
      gateways: Number of gateways at the start.
      changes: The engine's limits, in order of time.
      per_s: Requests per second at each gateway.
      lost: Share of the datagrams that are lost.
      late_s: Longest delay of a datagram.
      restart_every_s: Mean time between restarts of one of the gateways; 0 for none.
      join_at: When more gateways join, all at once; 0 for never.
      joining: How many join.
      leave_every_s: Mean time between planned stops of a gateway, for good; 0 for none.
    """

    gateways: int
    changes: tuple[Change, ...]
    per_s: float = 4.0
    lost: float = 0.0
    late_s: float = 0.05
    restart_every_s: float = 0.0
    join_at: float = 0.0
    joining: int = 0
    leave_every_s: float = 0.0


class Arrival(NamedTuple):
    """A request that reached the engine, and whether its sender is bound by the limit."""

    at: float
    bound: bool


class Outcome(NamedTuple):
    """What happened in a simulation.

    Attributes:
      arrivals: The requests that reached the engine, in order of time.
      unaware: Gateways that do not know of the engine's last limit at the end.
    """

    arrivals: list[Arrival]
    unaware: int


class _Gateway:
    """A gateway, what it knows, and since when it runs and has been told of a limit."""

    def __init__(self, name, members, joined_at):
        self.name = name
        self.members = members
        self.joined_at = joined_at
        self.limit = enginelimits.EngineLimit()
        self.told_at = float("inf")
        self.alive = True

    def shares(self, now):
        joined = now - self.joined_at >= enginelimits.JOIN_DELAY_S
        members = rendezvous.list_members(self.members, self.name)
        return enginelimits.LimitShares(members, self.name, joined)


class _Simulation:
    """One load with a seed."""

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.names = itertools.count()
        self.gateways = []
        # Names and times of the records in the store; those of gateways that left are removed.
        self.records = {}
        self.removed = {}
        self.events = []
        self.order = itertools.count()
        self.arrivals = []
        for _ in range(load.gateways):
            name = f"gateway-{next(self.names)}"
            self.records[name] = -60.0
        members = tuple(self.records)
        self.gateways = [_Gateway(name, members, float("-inf")) for name in members]

    def run(self, seconds):
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            self._run_events(now)
            self._change_members(now, step)
            for gateway in self.gateways:
                self._receive(gateway, now)
            if step % GOSSIP_STEPS == 0:
                self._gossip(now)
        last = self.load.changes[-1].per_s
        running = [item for item in self.gateways if item.alive]
        unaware = sum(item.limit.report.per_s != last for item in running)
        return Outcome(sorted(self.arrivals), unaware)

    def _later(self, at, action):
        heapq.heappush(self.events, (at, next(self.order), action))

    def _run_events(self, now):
        while self.events and self.events[0][0] <= now:
            at, _, action = heapq.heappop(self.events)
            action(at)

    def _named(self, at):
        """Return the limit that the engine names at a time."""
        found = [item.per_s for item in self.load.changes if item.at <= at]
        return found[-1] if found else enginelimits.NO_LIMIT

    def _receive(self, gateway, now):
        """Let the requests of a step arrive at a gateway, at random moments of it."""
        expected = self.load.per_s * STEP_S if gateway.alive else 0.0
        count = int(expected) + (self.rng.random() < expected % 1.0)
        for at in sorted(self.rng.uniform(now, now + STEP_S) for _ in range(count)):
            self._send(gateway, at)

    def _send(self, gateway, now):
        if gateway.limit.permit_at(gateway.shares(now), ENGINE, now) > now:
            return
        gateway.limit.take(now)
        arrives_at = now + self.rng.uniform(0.001, MAX_CONNECT_S)
        answered_at = arrives_at + self.rng.uniform(MIN_ANSWER_S, MAX_ANSWER_S)
        self._later(arrives_at, lambda at: self._arrive(gateway, at))
        self._later(answered_at, lambda at: self._answer(gateway, at))

    def _arrive(self, gateway, now):
        bound = gateway.alive and gateway.told_at <= now - TOLD_S
        self.arrivals.append(Arrival(now, bound))

    def _answer(self, gateway, now):
        per_s = self._named(now)
        gateway.limit.record(per_s, now)
        if per_s != enginelimits.NO_LIMIT:
            gateway.told_at = min(gateway.told_at, now)

    def _gossip(self, now):
        running = {item.name: item for item in self.gateways if item.alive}
        for gateway in running.values():
            report = gateway.limit.report
            if not gateway.limit.limited and gateway.limit.ended_at == float("-inf"):
                continue
            known = [name for name in gateway.members if name in running and name != gateway.name]
            for name in self.rng.sample(known, min(FANOUT, len(known))):
                if self.rng.random() >= self.load.lost:
                    self._deliver(running[name], report, now)

    def _deliver(self, receiver, report, sent_at):
        age_s, echo_age_s = sent_at - report.at, self.rng.uniform(0.0, MAX_ECHO_AGE_S)

        def hear(at):
            latest = at - age_s
            earliest = sent_at - echo_age_s - age_s
            receiver.limit.hear(report.per_s, earliest, latest)

        self._later(sent_at + self.rng.uniform(0.0, self.load.late_s), hear)

    def _change_members(self, now, step):
        load = self.load
        if step % int(PEERS_INTERVAL_S / STEP_S) == 0:
            for gateway in self.gateways:
                seen_at = now - self.rng.uniform(0.0, MAX_RECORD_AGE_S)
                gateway.members = self._records_at(seen_at)
        if load.restart_every_s and self.rng.random() < STEP_S / load.restart_every_s:
            self._restart(now)
        if load.leave_every_s and self.rng.random() < STEP_S / load.leave_every_s:
            self._leave(now)
        if load.joining and abs(now - load.join_at) < STEP_S / 2:
            for _ in range(load.joining):
                self._join(now)

    def _records_at(self, at):
        names = (name for name, since in self.records.items() if since <= at)
        return tuple(name for name in names if self.removed.get(name, float("inf")) > at)

    def _restart(self, now):
        running = [item for item in self.gateways if item.alive]
        old = self.rng.choice(running)
        old.alive = False
        self._start(_Gateway(old.name, self._records_at(now), float("-inf")), now)

    def _leave(self, now):
        running = [item for item in self.gateways if item.alive]
        if len(running) > 1:
            gone = self.rng.choice(running)
            gone.alive = False
            self.removed[gone.name] = now

    def _join(self, now):
        name, joined_at = f"gateway-{next(self.names)}", now + RECORD_DELAY_S
        self.records[name] = joined_at
        self._start(_Gateway(name, self._records_at(now), joined_at), now)

    def _start(self, gateway, now):
        """Let a gateway read which limit is on record."""
        gateway.limit.assume(self._named(now - LIMIT_RECORD_AGE_S))
        self.gateways.append(gateway)


def simulate(load, seed, seconds):
    """Run a simulation and return its ``Outcome``."""
    return _Simulation(load, seed).run(seconds)


def find_excess(load, arrivals, everyone=False):
    """Return the windows that have more requests than the users' bound allows.

    A limit that falls is bound by the higher one for ``SETTLE_S`` more.

    Args:
      load: The load.
      arrivals: The requests that reached the engine.
      everyone: Whether to count the requests of all gateways, and not just of those that have
        passed on an answer with a limit; from when the limit is on record.

    Returns:
      Start, number of requests and allowed number of each such window.
    """
    first = next(item.at for item in load.changes if item.per_s != enginelimits.NO_LIMIT)
    settle_s = SETTLE_S + LIMIT_RECORD_AGE_S if everyone else SETTLE_S
    counted = (item for item in arrivals if item.bound or everyone)
    times = [item.at for item in counted if item.at >= first + settle_s]
    excess = []
    for number, begin in enumerate(times):
        highest = _highest(load, begin - SETTLE_S, begin + WINDOW_S)
        allowed = EXCESS_FACTOR * WINDOW_S * highest + EXCESS_REQUESTS
        count = sum(at < begin + WINDOW_S for at in times[number:])
        if count > allowed:
            excess.append((begin, count, allowed))
    return excess


def _highest(load, since, until):
    """Return the highest limit in force at any time of a span; infinite if there was none."""
    before = [item.per_s for item in load.changes if item.at <= since]
    within = [item.per_s for item in load.changes if since < item.at < until]
    return max([before[-1] if before else enginelimits.NO_LIMIT, *within])
