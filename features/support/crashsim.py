"""Simulates engines that crash under requests with prompt parts, and gateways that look for why.

Load pattern: each request has the part of its kind, the part of a subject that many share, and goes
to any engine from any gateway. Engines crash by chance, by turns, or on one subject.
"""

import random
from typing import NamedTuple

from berylrock.ops import crashblame, enginestate

STEP_S, GOSSIP_STEPS = 0.05, 5
KINDS, SUBJECTS = 3, 12
ATTEMPTS = 3
MS_PER_S = 1000
# The subject that crashes engines, and the operators' bound on requests with it: few may reach
# engines later than this after so many crashes.
BAD = "kind-0/subject-1"
MAX_CRASHES, CONTACT_S = 5, 3.0


class Load(NamedTuple):
    """What is simulated; times are in seconds.

    Attributes:
      engines: Number of engines.
      gateways: Number of gateways.
      per_s: Requests per second.
      reading_s: Mean time until an engine begins to answer.
      crash_every_s: Mean time from one crash by chance to the next one; 0 for none.
      down_s: Time until a crashed engine is back.
      bad_from_s: Time from which one subject crashes engines; None for never.
      bad_per_s: Requests per second with that subject.
    """

    engines: int = 5
    gateways: int = 5
    per_s: float = 30.0
    reading_s: float = 0.3
    crash_every_s: float = 0.0
    down_s: float = 3.0
    bad_from_s: float | None = None
    bad_per_s: float = 1.5


class Outcome(NamedTuple):
    """What happened in a simulation.

    Attributes:
      blamed: Parts that any gateway blamed.
      crashes: Crashes on the bad subject.
      late_sends: Requests with it that reached engines later than ``CONTACT_S`` after the last
        crash that is allowed.
      sound: Requests without it.
      refused: Those of them that were refused because of a blamed part.
    """

    blamed: frozenset[str]
    crashes: int
    late_sends: int
    sound: int
    refused: int


class _Request:
    """A request at the gateway that got it, and at the engine that it was sent to last."""

    def __init__(self, number: int, parts: tuple[str, ...], gateway: int) -> None:
        self.number = number
        self.parts = parts
        self.gateway = gateway
        self.engine = -1
        self.attempts = 0
        self.sent_at = 0.0
        self.begins_at = 0.0


class _Simulation:
    """One load with a seed; each gateway keeps what it knows, and hears of the others in steps."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.rng = random.Random(seed)
        self.blames = [crashblame.CrashBlame() for _ in range(load.gateways)]
        self.back_at = [0.0] * load.engines
        self.waiting: list[_Request] = []
        self.count = 0
        self.crash_times: list[float] = []
        self.late_sends = self.sound = self.refused = 0
        self.blamed: set[str] = set()

    def run(self, seconds: float) -> Outcome:
        now = 0.0
        for step in range(int(seconds / STEP_S)):
            now = step * STEP_S
            self._arrive(now)
            self._crash_by_chance(now)
            self._begin(now)
            if step % GOSSIP_STEPS == 0:
                self._gossip(now)
        return Outcome(
            frozenset(self.blamed),
            len(self.crash_times),
            self.late_sends,
            self.sound,
            self.refused,
        )

    def _is_bad(self, part: str, now: float) -> bool:
        return part == BAD and self.load.bad_from_s is not None and now >= self.load.bad_from_s

    def _arrive(self, now: float) -> None:
        bad_now = self._is_bad(BAD, now)
        for _ in range(self._poisson(self.load.per_s)):
            kind = self.rng.randrange(KINDS)
            subject = int(SUBJECTS * self.rng.random() ** 2)
            part = f"kind-{kind}/subject-{subject}"
            if not (bad_now and part == BAD):
                self._submit((f"kind-{kind}", part), now)
        for _ in range(self._poisson(self.load.bad_per_s) if bad_now else 0):
            self._submit(("kind-0", BAD), now)

    def _poisson(self, per_s: float) -> int:
        left, count = per_s * STEP_S, 0
        while (left := left - self.rng.expovariate(1.0)) > 0.0:
            count += 1
        return count

    def _submit(self, parts: tuple[str, ...], now: float) -> None:
        self.count += 1
        req = _Request(self.count, parts, self.rng.randrange(self.load.gateways))
        self.blames[req.gateway].record_sent(parts)
        sound = not self._is_bad(parts[1], now)
        self.sound += sound
        self.refused += sound and bool(self.blames[req.gateway].find_blamed(parts))
        self._send(req, now)

    def _send(self, req: _Request, now: float) -> None:
        up = [item for item, at in enumerate(self.back_at) if at <= now]
        blame = self.blames[req.gateway]
        blamed = blame.find_blamed(req.parts)
        if blamed and not req.attempts and blame.take_trial(blamed, req.gateway, now):
            blamed = ""
        if blamed or not up or req.attempts >= ATTEMPTS:
            return
        if self._is_bad(req.parts[1], now) and len(self.crash_times) >= MAX_CRASHES:
            self.late_sends += now > self.crash_times[MAX_CRASHES - 1] + CONTACT_S
        req.attempts += 1
        req.engine = self.rng.choice(up)
        req.sent_at = now
        req.begins_at = now + self.rng.expovariate(1.0 / self.load.reading_s)
        self.waiting.append(req)

    def _begin(self, now: float) -> None:
        for req in [item for item in self.waiting if item.begins_at <= now]:
            if req not in self.waiting:
                continue
            if self._is_bad(req.parts[1], now):
                self.crash_times.append(now)
                self._crash(req.engine, now)
                continue
            self.waiting.remove(req)
            self.blames[req.gateway].record_begun(req.parts, now, int(now * MS_PER_S))

    def _crash_by_chance(self, now: float) -> None:
        every_s = self.load.crash_every_s
        if every_s and self.rng.random() < STEP_S / every_s:
            up = [item for item, at in enumerate(self.back_at) if at <= now]
            if up:
                self._crash(self.rng.choice(up), now)

    def _crash(self, engine: int, now: float) -> None:
        self.back_at[engine] = now + self.load.down_s
        lost = [item for item in self.waiting if item.engine == engine]
        self.waiting = [item for item in self.waiting if item.engine != engine]
        for gateway, blame in enumerate(self.blames):
            broken = [
                enginestate.BrokenRequest(
                    f"{item.number:08x}", item.parts, False, now, item.sent_at
                )
                for item in lost
                if item.gateway == gateway
            ]
            if broken:
                blame.record_crash(f"engine-{engine}", broken, now)
                self._decide(blame, now)
        for req in lost:
            self._send(req, now)

    def _decide(self, blame: crashblame.CrashBlame, now: float) -> None:
        for item in blame.decide(now, int(now * MS_PER_S)):
            self.blamed.add(item.part)

    def _gossip(self, now: float) -> None:
        for blame in self.blames:
            for other in self.blames:
                if other is not blame:
                    blame.record_peer(other.reports())
                    for decision in other.decisions():
                        blame.adopt(decision, now)
            self._decide(blame, now)


def simulate(load: Load, seed: int, seconds: float) -> Outcome:
    """Simulate a load for some seconds."""
    return _Simulation(load, seed).run(seconds)
