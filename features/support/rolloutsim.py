"""Simulates rollouts of services with several kinds of requests, without a network.

Load pattern of plain services: a dozen requests a second, of which one kind hardly ever fails, one
fails in one of seven answers on sound versions, one always lasts longer than its timeout, and one
is answered at once.
"""

import random
from typing import NamedTuple

from berylrock.core import gatewaysettings, routing
from berylrock.ops import baselines, rollouts, sampling, trials

STEP_S = 0.1
CANARY_SHARE, CANARY_MARGIN = 0.15, 30
BOUNDS = gatewaysettings.Bounds(canary_share=CANARY_SHARE, canary_margin=CANARY_MARGIN)
# Bound on a bad version: bad answers after which it gets no more requests, some seconds later.
MAX_BAD_ANSWERS, ROLLBACK_S = 50, 5.0
# The simulation goes on for this long after the deadline.
OVERTIME_S = 30.0


class RouteLoad(NamedTuple):
    """Requests of one route and how sound versions answer them.

    Attributes:
      per_s: Requests per second.
      error_share: Share of the answers that are errors.
      usual_s: Median time of an answer, in seconds.
    """

    per_s: float
    error_share: float
    usual_s: float


LOADS = {
    "book": RouteLoad(8.0, 0.004, 0.03),
    "look": RouteLoad(3.4, 0.14, 0.03),
    "timeout": RouteLoad(1.0, 1.0, 0.37),
    "instant": RouteLoad(1.5, 0.0, 0.003),
}


class Fault(NamedTuple):
    """What is wrong with the new version.

    Attributes:
      routes: Names of the routes on which it is bad.
      share: Share of the answers there that are bad.
      slowdown: Factor on the times of bad answers; 0 if they are errors instead.
      after_s: Seconds after the order from which on they are bad.
    """

    routes: tuple[str, ...] = ()
    share: float = 0.0
    slowdown: float = 0.0
    after_s: float = 0.0


class Outcome(NamedTuple):
    """How a simulated rollout ended.

    Attributes:
      state: State of the rollout at the end of the simulation.
      in_time: Whether it ended before its deadline.
      exposed: Requests that the new version received before the deadline.
      requests: All requests before the deadline.
      bad: Bad answers of the new version.
      late: Requests that it received too late after its last allowed bad answer.
    """

    state: str
    in_time: bool
    exposed: int
    requests: int
    bad: int
    late: int

    @property
    def within_share(self):
        """Whether the new version received no more requests than allowed."""
        return self.exposed <= CANARY_SHARE * self.requests + CANARY_MARGIN


class Simulation:
    """One rollout with a seed, and the traffic beside it.

    Subclasses serve the requests.
    """

    STREAMS = False

    def __init__(self, seed, fault, duration_s=15.0, loads=None):
        self._rng = random.Random(seed)
        self._fault = fault
        self._loads = LOADS if loads is None else loads
        self._rollout = routing.Rollout("service", "v2", duration_s, "new", 0, 1)
        self._results = {"v1": {}, "v2": {}}
        self._sampling = {}
        self._judge = trials.TrialJudge(self.STREAMS)
        self._stage_at = 0.0
        self.exposed = self.requests = 0
        self._age_s = 0.0
        self._bad_at, self._sent_at = [], []

    @property
    def bad(self):
        """Bad answers of the new version."""
        return len(self._bad_at)

    def run(self):
        """Run to the rollout's deadline, or longer while it has not ended."""
        for _ in range(50):
            self.serve_step(-1.0)
        self._results = {"v1": {}, "v2": {}}
        self.exposed = self.requests = 0
        deadline_s, age_s, in_time = self._rollout.duration_s, 0.0, False
        while age_s < deadline_s + OVERTIME_S and self._rollout.state != "reverted":
            before = self.exposed, self.requests
            self._age_s = age_s
            self.serve_step(age_s)
            if age_s >= deadline_s:
                self.exposed, self.requests = before
            if self._running:
                self._decide(age_s)
                in_time = not self._running and age_s < deadline_s
            age_s += STEP_S
        late = self._count_late()
        return Outcome(self._rollout.state, in_time, self.exposed, self.requests, self.bad, late)

    def _count_late(self):
        """Count the requests of the new version that a bad one should not have received."""
        if len(self._bad_at) < MAX_BAD_ANSWERS:
            return 0
        limit_s = sorted(self._bad_at)[MAX_BAD_ANSWERS - 1] + ROLLBACK_S
        return sum(at > limit_s for at in self._sent_at)

    @property
    def _running(self):
        return self._rollout.state in ("new", "running")

    def _share(self):
        if self._rollout.state == "running":
            return rollouts.STAGE_SHARES[self._rollout.stage]
        return 1.0 if self._rollout.state == "completed" else 0.0

    def _is_on_trial(self, name):
        """Choose the version of the next request of a route, and count the request."""
        on_trial = self._rng.random() < max(self._share(), self._sampling.get(name, 0.0))
        self.requests += 1
        self.exposed += on_trial
        if on_trial:
            self._sent_at.append(self._age_s)
        return on_trial

    def _is_bad(self, name, on_trial, age_s):
        """Choose whether the next answer is bad, and count it."""
        fault = self._fault
        affected = on_trial and name in fault.routes and age_s >= fault.after_s
        bad = affected and self._rng.random() < fault.share
        if bad:
            self._bad_at.append(age_s + self._bad_length_s(name))
        return bad

    def _bad_length_s(self, name):
        """Return how long a bad answer takes, in seconds."""
        return 0.0

    def _record(self, name, on_trial, result):
        found = self._results["v2" if on_trial else "v1"]
        found[name] = found.get(name, rollouts.Evidence()).plus(result)

    def _decide(self, age_s):
        duration_s = self._rollout.duration_s
        margin_s = sampling.second_stage_margin_s(
            self.STREAMS, self.requests / max(1.0, age_s), BOUNDS
        )
        trial, stable = self._results["v2"], self._results["v1"]
        self._judge.update(trial, stable)
        usual = self._total("v1") if self.STREAMS else sampling.reweigh(trial, stable)
        fault = self._judge.find_fault() or rollouts.find_fault(self._total("v2"), usual)
        decision = rollouts.decide(
            self._rollout,
            rollouts.Verdict(fault, self._judge.find_doubt(self._rollout.stage)),
            age_s,
            age_s - self._stage_at,
            rollouts.make_schedule(duration_s, CANARY_SHARE, margin_s),
        )
        self._sampling = sampling.sampling_shares(self._judge, age_s, duration_s, BOUNDS)
        if decision is None:
            return
        if decision.state not in ("new", "running"):
            self._sampling = {}
        if decision.stage != self._rollout.stage:
            self._stage_at = age_s
        self._rollout = self._rollout._replace(state=decision.state, stage=decision.stage)

    def _total(self, version):
        result = rollouts.Evidence()
        for found in self._results[version].values():
            result = result.plus(found)
        return result


class PlainSimulation(Simulation):
    """Rollout of a plain service."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._baselines = baselines.LatencyBaselines()

    def serve_step(self, age_s):
        """Serve the requests of one step of time."""
        for name, load in self._loads.items():
            for _ in range(int(load.per_s * STEP_S + self._rng.random())):
                self._answer(name, load, age_s)

    def _answer(self, name, load, age_s):
        on_trial = self._is_on_trial(name)
        failed = self._rng.random() < load.error_share
        seconds = load.usual_s * self._rng.lognormvariate(0.0, 0.5)
        if self._is_bad(name, on_trial, age_s):
            failed = failed or not self._fault.slowdown
            seconds *= self._fault.slowdown or 1.0
        timing = baselines.Timing(seconds, 0.0)
        slow = not failed and self._baselines.is_slow(name, "", timing)
        if not on_trial and not failed:
            self._baselines.record(name, "", timing)
        result = rollouts.Evidence(1, int(failed), int(slow), int(not failed))
        self._record(name, on_trial, result)


class StreamSimulation(Simulation):
    """Rollout of a model service.

    Load pattern: 25 requests a second on three routes, of which two in five have enough events to
    measure their pace; of those, load leaves 72 in 100 quick. The pace is known after the first
    events, and the rest at the end.
    """

    STREAMS = True
    PACE_SHARE = 0.2
    LENGTH_S = {"dossier": 1.2, "label": 0.9, "summary": 0.1}
    PER_S = {"dossier": 4.5, "label": 8.5, "summary": 12.0}
    PACED = {"dossier": 0.85, "label": 0.6, "summary": 0.15}
    QUICK_SHARE, SLOW_SHARE, CRAWLING_SHARE = 0.72, 0.12, 0.02

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._open = []

    def serve_step(self, age_s):
        """Serve the requests of one step of time."""
        ended = [item for item in self._open if item[0] <= age_s]
        self._open = [item for item in self._open if item[0] > age_s]
        for _, name, on_trial, result in ended:
            self._record(name, on_trial, result)
        for name, per_s in self.PER_S.items():
            for _ in range(int(per_s * STEP_S + self._rng.random())):
                self._answer(name, age_s)

    def _bad_length_s(self, name):
        return self.LENGTH_S[name] * self._fault.slowdown

    def _answer(self, name, age_s):
        on_trial = self._is_on_trial(name)
        paced = self._rng.random() < self.PACED[name]
        bad = self._is_bad(name, on_trial, age_s)
        if bad and not self._fault.slowdown:
            self._record(name, on_trial, rollouts.Evidence(1, 1))
            return
        quick = paced and not bad and self._rng.random() < self.QUICK_SHARE
        slow = paced and not quick and (bad or self._rng.random() < self.SLOW_SHARE)
        length_s = self._bad_length_s(name) if bad else self.LENGTH_S[name]
        crawling = paced and self._rng.random() < (0.95 if bad else self.CRAWLING_SHARE)
        pace = rollouts.Evidence(paced=int(paced), quick=int(quick), crawling=int(crawling))
        result = rollouts.Evidence(1, slow=int(slow), timed=int(paced))
        self._open.append((age_s + self.PACE_SHARE * length_s, name, on_trial, pace))
        self._open.append((age_s + length_s, name, on_trial, result))


def run_many(kind, fault, count, **options):
    """Simulate rollouts with the seeds from 0 to ``count`` and return their outcomes."""
    return [kind(seed, fault, **options).run() for seed in range(count)]
