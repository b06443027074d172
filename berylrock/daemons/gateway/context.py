"""What all parts of a gateway share."""

import asyncio
import random
import time

from berylrock.core import eventlog, histograms, message, metrics, routing, timer
from berylrock.ops import (
    baselines,
    budget,
    engineset,
    evidence,
    freshness,
    latency,
    loadview,
    rollouts,
    routetable,
    strikes,
    views,
)
from berylrock.platform import names, store

__all__ = ["Context"]

# A gateway that has lost the store sends callers elsewhere before it has to refuse them.
READY_AGE_S = 4.3
# Engines fall together now and then, and requests that are sent again can be held by two of them.
FALLS_TO_REFUSE = 3


class Context:
    """The state of a gateway.

    Attributes:
      cfg: Its settings.
      log: Writes events.
      meter: Counters.
      times: Latency histograms.
      timer: Runs tasks and calls back.
      store: The platform's store.
      rng: Random numbers for jitter and ties.
      table: Look-ups in the configuration in force; None before the first.
      views: What the store holds of each kind, and how fresh that is.
      engines: The engines.
      rollouts: Roll-outs by service.
      evidence: Results of versions, and those that were found bad.
      peers: The other gateways by name, with the time of their last heartbeat.
      sessions: Versions of the sessions that are under way.
      strikes: Requests that were held when an engine fell.
      budgets: Retry budgets by service.
      norms: Usual times of answers.
      speeds: Recent times by engine and model.
      loads: What the other gateways have running.
      stopping: The process was told to stop.
    """

    def __init__(
        self,
        cfg: routing.GatewaySettings,
        log: eventlog.EventLog,
        meter: metrics.Metrics,
        clock: timer.Timer,
    ) -> None:
        self.cfg = cfg
        self.log = log
        self.meter = meter
        self.latencies = histograms.Histograms()
        self.timer = clock
        self.store = store.Store(cfg.store_address)
        self.rng = random.Random()
        self.table: routetable.RouteTable | None = None
        self.views = {kind: views.StoreView() for kind in names.WATCHED_KINDS}
        self.engines = engineset.EngineSet()
        self.engines_known = False
        self.rollouts: dict[str, routing.Rollout] = {}
        self.evidence = evidence.EvidencePool()
        self.peers: dict[str, tuple[routing.Peer, float]] = {}
        self.sessions = rollouts.SessionVersions()
        self.strikes = strikes.StrikeTable(FALLS_TO_REFUSE)
        self.budgets: dict[str, budget.WindowBudget] = {}
        self.norms = baselines.LatencyBaselines()
        self.speeds = latency.LatencyEstimator()
        self.loads = loadview.LoadView()
        self.stopping = False
        self.idle_limit_s = 0.0

    @property
    def config_freshness(self) -> freshness.Freshness:
        """How old the knowledge of the configuration is."""
        return self.views[names.CONFIG_KIND].freshness

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        if self.table is None or not self.engines_known or self.stopping:
            return False
        now = freshness.boottime_clock()
        needed = (names.CONFIG_KIND, names.ENGINES_KIND)
        return all(self.views[kind].freshness.age(now) < READY_AGE_S for kind in needed)

    def record_engine_crash(self, engine_id: str, fingerprints: list[str], now: float) -> None:
        """An engine fell while it held these requests: one of them may be the cause."""
        # An engine may come back under the same id and fall again.
        fall = f"{engine_id}@{int(time.time())}"
        falls = [message.Strike(item, fall) for item in fingerprints]
        for strike in self.strikes.add(falls, now):
            refused = self.strikes.is_refused(strike.fingerprint)
            self.meter.count("suspects")
            self.log.write(
                "request_suspected",
                fingerprint=strike.fingerprint,
                engine=engine_id,
                refused=refused,
            )

    def rank(self) -> int:
        """This gateway's place among those that are heard, from 0."""
        heard = self.loads.live_gateways(asyncio.get_running_loop().time())
        return sum(name < self.cfg.name for name in heard)

    def gateway_count(self) -> int:
        """Gateways that may be sending, this one included."""
        return max(1, len(self.peers) + (self.cfg.name not in self.peers))

    def budget_for(self, service: str) -> budget.WindowBudget:
        """The retry budget of a service."""
        return self.budgets.setdefault(service, budget.WindowBudget())

    def plan_for(self, service: str) -> rollouts.Plan:
        """Which versions of a service may get requests now."""
        rollout = self.rollouts.get(service)
        engines = [item.engine for item in self.engines.of_service(service)]
        vetoed = rollout is not None and self.is_vetoed(service, rollout.target)
        return rollouts.make_plan(rollout, engines, vetoed)

    def services_in_rollout(self) -> set[str]:
        """Services whose roll-out is under way."""
        return {item.service for item in self.rollouts.values() if item.state == "running"}

    def is_vetoed(self, service: str, version: str) -> bool:
        """Whether a version was found bad."""
        return evidence.VersionKey(service, version) in self.evidence.vetoes

    def note_result(self, service: str, version: str, result: rollouts.Evidence) -> None:
        """Take the result of an answer as evidence for or against a version."""
        self.evidence.note(evidence.VersionKey(service, version), result)
