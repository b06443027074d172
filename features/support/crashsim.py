"""Simulates engines that crash under requests, and gateways that look for the cause.

Load pattern: each request has the part of its kind and the part of a subject that many share, and
goes to any engine from any gateway, mostly to the one that its subject prefers. An engine that
crashes takes all its requests with it, which go to other engines at once. Engines crash by chance,
by turns, on one prompt part, or on one request that comes again and again.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import crashblame, enginestate, soundness, suspects

GOSSIP_S = 0.25
KINDS, ATTEMPTS = 3, 3
BAD_PART, TURNED_PART, BAD_REQUEST = "dead", "subject-3", "0badc0de0000"
# The operators' bounds are from so many crashes on, plus this time.
PART_CRASHES, REQUEST_CRASHES, CONTACT_S = 5, 3, 3.0
MAX_LATE_SENDS = 3
RETRY_S, FLAP_EVERY_S, FLAP_DOWN_S = 0.005, 4.0, 2.0
MS_PER_S = 1000
# Blamed suspects that one message carries.
TOLD_BLAMES = 8


class Load(NamedTuple):
    """What is simulated; times are in seconds.

    Attributes:
      engines: Number of engines.
      gateways: Number of gateways.
      per_s: Sound requests per second.
      reading_s: Mean time until an engine begins to answer.
      answer_s: Mean time of an answer.
      crash_at: Share of its answer after which a bad request crashes its engine; None for any.
      bad: What crashes engines: ``part``, ``turned`` (a part that was sound), ``request``, or
        nothing if empty.
      bad_from_s: Time from which it does.
      bad_per_s: Bad requests per second.
      down_s: Time until a crashed engine is back.
      chance_every_s: Mean time from one crash by chance to the next one; 0 for none.
      chance_share: Share of the engines that crash together then; one at least.
      flapping: Engines that go down again and again.
      subjects: Number of subjects.
      affinity: Share of the requests that go to the engine which their subject prefers.
    """

    engines: int = 5
    gateways: int = 5
    per_s: float = 30.0
    reading_s: float = 0.3
    answer_s: float = 2.0
    crash_at: float | None = 0.0
    bad: str = "part"
    bad_from_s: float = 10.0
    bad_per_s: float = 1.0
    down_s: float = 4.0
    chance_every_s: float = 0.0
    chance_share: float = 0.0
    flapping: int = 0
    subjects: int = 30
    affinity: float = 0.6


class Outcome(NamedTuple):
    """What happened in a simulation.

    Attributes:
      crashes: Crashes by bad requests.
      crashes_at_blame: Those before their cause was blamed; None if it never was.
      late_sends: Bad requests that reached engines after the operators' bound, trials included.
      sound: Requests that crash no engine.
      refused: Those of them that were refused because something was blamed.
      broken: Those of them that no engine answered to the end.
      false_parts: Sound prompt parts that any gateway blamed.
    """

    crashes: int
    crashes_at_blame: int | None
    late_sends: int
    sound: int
    refused: int
    broken: int
    false_parts: frozenset[str]


class _Request:
    """A request at the gateway that got it, and at the engine that it was sent to last."""

    def __init__(self, digest, parts, bad, gateway, answer_s):
        self.digest = digest
        self.parts = parts
        self.bad = bad
        self.gateway = gateway
        self.left_s = answer_s
        self.attempts = 0
        self.engine = -1
        self.sent_at = self.begins_at = self.ends_at = 0.0


class _Simulation:
    """One load with a seed; each gateway keeps what it knows, and hears of the others in steps."""

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.now = 0.0
        self.blames = [crashblame.CrashBlame() for _ in range(load.gateways)]
        self.events, self.order, self.numbers = [], itertools.count(), itertools.count(1)
        self.starts = [0] * load.engines
        self.back_at = [0.0] * load.engines
        self.running = [{} for _ in range(load.engines)]
        self.crash_times = []
        self.crashes_at_blame = None
        self.late_sends = self.sound = self.refused = self.broken = 0
        self.blamed = set()
        self.bad_part = TURNED_PART if load.bad == "turned" else BAD_PART
        self.culprit = self.bad_part
        if load.bad == "request":
            self.culprit = suspects.name_request(BAD_REQUEST)

    def run(self, seconds):
        """Simulate some seconds."""
        load = self.load
        self.schedule(0.0, self.arrive_sound)
        self.schedule(0.0, self.gossip)
        if load.bad:
            self.schedule(load.bad_from_s, self.arrive_bad)
        if load.chance_every_s:
            self.schedule(load.chance_every_s, self.crash_by_chance)
        for engine in range(load.flapping):
            self.schedule(5.0 + engine % FLAP_EVERY_S, self.flap, engine)
        while self.events and self.events[0][0] < seconds:
            self.now, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        false = {item for item in self.blamed if not suspects.is_request(item)} - {self.bad_part}
        return Outcome(
            *(len(self.crash_times), self.crashes_at_blame, self.late_sends),
            *(self.sound, self.refused, self.broken, frozenset(false)),
        )

    def schedule(self, at, function, *arguments):
        """Call a function at a time."""
        heapq.heappush(self.events, (at, next(self.order), function, arguments))

    def arrive_sound(self):
        """Let a request arrive, and the next one after it."""
        load = self.load
        self.schedule(self.now + self.rng.expovariate(load.per_s), self.arrive_sound)
        subject = int(load.subjects * self.rng.random() ** 2)
        part = f"subject-{subject}"
        if load.bad == "turned" and part == TURNED_PART and self.now >= load.bad_from_s:
            return
        self.submit(f"{next(self.numbers):012x}", (f"kind-{subject % KINDS}", part), False)

    def arrive_bad(self):
        """Let a bad request arrive, and the next one after it."""
        self.schedule(self.now + self.rng.expovariate(self.load.bad_per_s), self.arrive_bad)
        if self.load.bad == "request":
            self.submit(BAD_REQUEST, ("kind-0", "subject-4"), True)
        else:
            self.submit(f"{next(self.numbers):012x}", ("kind-0", self.bad_part), True)

    def submit(self, digest, parts, bad):
        """Admit a request, or refuse it."""
        load = self.load
        gateway = self.rng.randrange(load.gateways)
        answer_s = load.answer_s * self.rng.uniform(0.5, 1.5)
        req, blame = _Request(digest, parts, bad, gateway, answer_s), self.blames[gateway]
        self.sound += not bad
        now_ms, share = int(self.now * MS_PER_S), gateway / load.gateways
        blamed = blame.find_blamed(parts, digest)
        if any(blame.trial_in_s(item, share, now_ms) > 0.0 for item in blamed):
            self.refused += not bad
            return
        for item in blamed:
            blame.take_trial(item, now_ms)
        blame.rates.record(parts, self.now)
        self.send(req)

    def send(self, req):
        """Send a request to an engine, unless it has to be given up."""
        blame, load = self.blames[req.gateway], self.load
        up = [item for item, at in enumerate(self.back_at) if at <= self.now]
        given_up = req.attempts >= ATTEMPTS
        given_up |= req.attempts > 0 and bool(blame.find_blamed(req.parts, req.digest))
        if given_up or not up:
            self.broken += not req.bad
            return
        self.late_sends += req.bad and self.is_late()
        req.attempts += 1
        req.engine = self.rng.choice(up)
        if self.rng.random() < load.affinity:
            req.engine = min(up, key=lambda item: random.Random(f"{req.parts[1]} {item}").random())
        req.sent_at = self.now
        req.begins_at = self.now + self.rng.expovariate(1.0 / load.reading_s)
        req.ends_at = req.begins_at + req.left_s
        self.running[req.engine][id(req)] = req
        ends_at = req.ends_at
        if req.bad:
            share = self.rng.random() if load.crash_at is None else load.crash_at
            ends_at = req.begins_at + share * req.left_s
        self.schedule(ends_at, self.end, req, req.attempts)

    def is_late(self):
        """Return whether a bad request that is sent now is past the operators' bound."""
        count = REQUEST_CRASHES if self.load.bad == "request" else PART_CRASHES
        times = self.crash_times
        return len(times) >= count and self.now > times[count - 1] + CONTACT_S

    def end(self, req, attempt):
        """End an attempt: a sound one is complete, a bad one crashes its engine."""
        if req.attempts != attempt or id(req) not in self.running[req.engine]:
            return
        if req.bad:
            self.crash_times.append(self.now)
            self.crash(req.engine)
            return
        del self.running[req.engine][id(req)]
        run = soundness.Run(self.name_of(req.engine), req.sent_at, req.begins_at)
        item = soundness.EndedRun(run, req.digest, req.parts, True)
        self.blames[req.gateway].soundness.record_ended(item, self.now)

    def name_of(self, engine):
        """Return the id of an engine, another one after each start."""
        return f"engine-{engine}-{self.starts[engine]}"

    def crash(self, engine, down_s=None):
        """Let an engine crash, and send its requests to others."""
        lost, self.running[engine] = list(self.running[engine].values()), {}
        record = routing.Engine(self.name_of(engine), "s", ("h", 1), "z", "v", 48, False, 0.0, 1)
        self.starts[engine] += 1
        self.back_at[engine] = self.now + (self.load.down_s if down_s is None else down_s)
        for gateway in sorted({req.gateway for req in lost}):
            broken = [
                enginestate.BrokenRequest(req.digest, req.parts, self.now, req.sent_at)
                for req in lost
                if req.gateway == gateway
            ]
            self.blames[gateway].record_crash(record, self.load.engines, broken, self.now)
            self.decide(self.blames[gateway])
        for req in lost:
            if req.begins_at < self.now:
                req.left_s = max(0.05, req.ends_at - self.now)
            self.schedule(self.now + RETRY_S, self.send, req)

    def crash_by_chance(self):
        """Let some engines crash together, and others later."""
        load = self.load
        next_at = self.now + self.rng.expovariate(1.0 / load.chance_every_s)
        self.schedule(next_at, self.crash_by_chance)
        up = [item for item, at in enumerate(self.back_at) if at <= self.now]
        count = max(1, int(load.chance_share * load.engines))
        for engine in self.rng.sample(up, min(count, len(up))):
            self.crash(engine)

    def flap(self, engine):
        """Let an engine go down for a while, and again later."""
        self.schedule(self.now + FLAP_EVERY_S, self.flap, engine)
        if self.back_at[engine] <= self.now:
            self.crash(engine, FLAP_DOWN_S)

    def decide(self, blame):
        """Let a gateway decide."""
        now_ms = int(self.now * MS_PER_S)
        blame.settle(self.now, now_ms)
        for case in blame.decide(self.load.gateways, self.now, now_ms):
            self.blamed.add(case.suspect)
            if case.suspect == self.culprit and self.crashes_at_blame is None:
                self.crashes_at_blame = len(self.crash_times)

    def gossip(self):
        """Exchange what the gateways know."""
        self.schedule(self.now + GOSSIP_S, self.gossip)
        told = [
            (
                blame.soundness.take_news(self.now),
                blame.take_reports(),
                blame.decisions()[-TOLD_BLAMES:],
            )
            for blame in self.blames
        ]
        for number, blame in enumerate(self.blames):
            for news, reports, decisions in told[:number] + told[number + 1 :]:
                blame.hear_sound(news, self.now)
                blame.record_reports(reports, self.now)
                for decision in decisions:
                    blame.adopt(decision, self.now)
            self.decide(blame)


def simulate(load: Load, seed: int, seconds: float) -> Outcome:
    """Simulate a load for some seconds."""
    return _Simulation(load, seed).run(seconds)
