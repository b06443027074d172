"""Holds the state that the parts of a gateway share."""

import asyncio
import math
import random
import time
from typing import NamedTuple

from berylrock.core import (
    duties,
    eventlog,
    gatewaysettings,
    histograms,
    metrics,
    routing,
    stored,
    timer,
)
from berylrock.ops import (
    baselines,
    budget,
    buffering,
    crashblame,
    dutybook,
    enginelimits,
    engineset,
    enginestate,
    evacuations,
    evidence,
    freshness,
    heardrollouts,
    latency,
    loadview,
    mirrors,
    pressure,
    readiness,
    rendezvous,
    rolloutrecovery,
    rollouts,
    routetable,
    sessionplacement,
    storegaps,
    views,
)
from berylrock.platform import names, store

__all__ = ["Context"]

MS_PER_S = 1000.0
# Sessions are remembered for so much longer than they live, as messages between gateways take time.
SESSION_MARGIN_S = 1.0
# Longest time after its start for which a gateway takes no callers, as it may not have heard from
# the others which sessions are held; they read its record within about half of it.
MAX_JOINING_S = 3.0
# Kinds of objects without which no request can be served.
SERVED_KINDS = (names.CONFIG_KIND, names.ENGINES_KIND)


class _PlanBasis(NamedTuple):
    """What a plan follows from: the state of the engines, the rollout, and whether it is vetoed."""

    generation: int
    rollout: routing.Rollout | None
    vetoed: bool


class Context:
    """State of a gateway process, shared by all its tasks.

    Attributes:
      cfg: Settings of the gateway.
      log: Writes log events.
      meter: Counters.
      latency_histograms: Latency histograms.
      timer: Runs background tasks and periodic callbacks.
      store: Client of the platform's store.
      rng: Random numbers for jitter and for breaking ties.
      table: Lookup tables of the configuration in force; None before the first configuration.
      views: Objects of each watched kind as last read from the store, and how fresh they are.
      mirrors: Copies of the objects of each kind, from which other gateways may read.
      relay: Name of the gateway through which this one reads the store; empty while this one
        watches the store itself.
      watching_store: Set while this gateway watches the store itself.
      relayed_at: Time at which another gateway last read through this one, on the event loop's
        clock.
      engines: Known engines and their state.
      evacuations: Zones that the operators have evacuated.
      engines_known: Whether a full list of engines has been read.
      peers_asked: Whether the other gateways' records have been read, or at least asked for, since
        the start. They name what must not be sent: crashing requests, and versions found bad.
      joined_at: Since when the other gateways can know of this one, on the event loop's clock;
        infinite before they can, and minus infinity if they knew it before it started.
      rollouts: Rollouts by service.
      rollout_recovery: Their progress that the store has lost.
      evidence: Results of each version, and the versions that were found bad.
      sampling_shares: Share of the requests without a session that goes to the version on trial, by
        service and route.
      peers: Records of the gateways by name, with the time at which each last changed.
      peers_restored_at: When the store was last seen to have come back with older records, on the
        event loop's clock.
      peer_freshness: When the store last confirmed the views of the other gateways.
      sessions: The versions that sessions run on.
      heard_rollouts: Rollouts as other gateways report them.
      blame: Requests, and parts of prompts, that may crash engines.
      budgets: Retry budgets by service.
      buffers: Bytes of bodies that all requests together may hold.
      baselines: Usual response times of the stable version.
      latency_estimator: Recent response times by engine and model.
      load_view: Running requests of the other gateways.
      wait_gauge: How long new prompts wait at the engines of each service.
      duties: State of the duties of the deployment; None if it has none.
      stopping: Whether the process was told to stop.
      idle_limit_s: Longest idle timeout for callers of any configuration so far, in seconds.
    """

    def __init__(
        self,
        cfg: gatewaysettings.GatewaySettings,
        log: eventlog.EventLog,
        meter: metrics.Metrics,
        timers: timer.Timer,
    ) -> None:
        self.cfg = cfg
        self.log = log
        self.meter = meter
        self.latency_histograms = histograms.Histograms()
        self.timer = timers
        self.store = store.Store(cfg.store_address)
        self.rng = random.Random()
        self.table: routetable.RouteTable | None = None
        self.views = {kind: views.StoreView() for kind in names.WATCHED_KINDS}
        self.mirrors = {kind: mirrors.Mirror() for kind in names.RELAYED_KINDS}
        self.relay = ""
        self.watching_store = asyncio.Event()
        self.watching_store.set()
        self.relayed_at = float("-inf")
        self.engines = engineset.EngineSet(cfg.heartbeat_s)
        self.engines_known = False
        self.evacuations = evacuations.EvacuatedZones()
        self.peers_asked = False
        self.joined_at = math.inf
        self.rollouts: dict[str, routing.Rollout] = {}
        self.rollout_recovery = rolloutrecovery.RolloutRecovery()
        self._plans: dict[str, tuple[_PlanBasis, rollouts.Plan]] = {}
        self.evidence = evidence.EvidencePool()
        self.sampling_shares: dict[str, dict[str, float]] = {}
        self.peers: dict[str, tuple[routing.Peer, float]] = {}
        self.peers_restored_at = -math.inf
        self.peer_freshness = readiness.PeerFreshness()
        self.sessions = sessionplacement.SessionPlacement()
        self.heard_rollouts = heardrollouts.HeardRollouts()
        self._started_at = freshness.boottime_clock()
        self._joined_rollouts = False
        self.blame = crashblame.CrashBlame()
        self.budgets: dict[str, budget.WindowBudget] = {}
        self.buffers = buffering.BufferBudget(buffering.budget_bytes(cfg.memory_mb))
        self.baselines = baselines.LatencyBaselines()
        self.latency_estimator = latency.LatencyEstimator()
        self.load_view = loadview.LoadView()
        self.wait_gauge = pressure.WaitGauge()
        self.duties = self._make_duties(cfg)
        self.stopping = False
        self.idle_limit_s = 0.0

    def _make_duties(self, cfg: gatewaysettings.GatewaySettings) -> dutybook.DutyBook | None:
        if cfg.duty_cfg is None or not cfg.duty_cfg.reports_usage:
            return None
        return dutybook.DutyBook(cfg.duty_cfg, duties.Holder(cfg.name, self.rng.getrandbits(48)))

    def record_run(self, organisation: str | None) -> None:
        """Record that an engine has begun to run a request, if usage has to be reported."""
        if self.duties is not None and organisation is not None:
            self.duties.counter.record(organisation, time.time())

    @property
    def config_freshness(self) -> freshness.Freshness:
        """When the configuration was last confirmed by the store."""
        return self.views[names.CONFIG_KIND].freshness

    @property
    def informed(self) -> bool:
        """Whether enough has been read since the start to serve requests."""
        if self.table is None or not self.engines_known or not self.peers_asked:
            return False
        # Without rollouts and evacuations, engines might be used that must not be.
        return all(self.mirrors[kind].revision > 0 for kind in names.WATCHED_KINDS)

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this gateway."""
        if not self.informed or self.stopping or not self._has_joined_rollouts():
            return False
        now = freshness.boottime_clock()
        oldest_s = max(self.views[kind].freshness.age(now) for kind in SERVED_KINDS)
        if oldest_s < readiness.READY_MAX_AGE_S:
            return True
        zones = {name: peer.zone for name, (peer, _) in self.peers.items() if name != self.cfg.name}
        confirmed = self.peer_freshness.of(self.gateways_heard())
        fleet = readiness.Fleet(self.cfg.zone, zones, confirmed)
        return readiness.is_lost_for_all(fleet, now)

    def _has_joined_rollouts(self) -> bool:
        """Tell whether this gateway has, since its start, learned which sessions are held.

        It waits for that no longer than ``MAX_JOINING_S``, as the others may have ended.
        """
        if not self._joined_rollouts:
            is_alone = not self.peers.keys() - {self.cfg.name}
            waited_s = freshness.boottime_clock() - self._started_at
            self._joined_rollouts = (
                is_alone or waited_s >= MAX_JOINING_S or self.sessions.knows_held()
            )
        return self._joined_rollouts

    def read_through(self, relay: str) -> None:
        """Read the store through a relay from now on, in place of watching it."""
        if self.relay != relay:
            self.log.write("relay_used", relay=relay)
        self.relay = relay
        self.watching_store.clear()

    def watch_store(self, reason: str) -> None:
        """Watch the store from now on, in place of reading through a relay."""
        if self.relay:
            self.log.write("relay_left", relay=self.relay, reason=reason)
            self.meter.count("relays_left")
        self.relay = ""
        self.watching_store.set()

    def position_by_datagram(self) -> int:
        """Return the position of this gateway, from 0, by name among those heard by datagram."""
        return sum(name < self.cfg.name for name in self.gateways_heard())

    def is_peer_address(self, name: str, address: str) -> bool:
        """Tell whether an address is the one in the record of another gateway of this name."""
        if name not in self.peers or name == self.cfg.name:
            return False
        return self.peers[name][0].address == address

    def gateways_heard(self) -> list[str]:
        """Return the names of the other gateways that were heard by datagram lately."""
        return self.load_view.live_gateways(asyncio.get_running_loop().time())

    def record_store_answer(self) -> None:
        """Record that the store has answered a call of this gateway, before its answer is used."""
        self._log_gap(self.engines.gaps.record_answer(asyncio.get_running_loop().time()))

    def record_store_heard(self, confirmed_at: float) -> None:
        """Record that the store has answered another gateway.

        Args:
          confirmed_at: Time of the answer, or an earlier one, by ``freshness.boottime_clock``.
        """
        age_s = max(0.0, freshness.boottime_clock() - confirmed_at)
        now = asyncio.get_running_loop().time()
        self._log_gap(self.engines.gaps.record_heard(now - age_s))

    def _log_gap(self, gap: storegaps.Gap | None) -> None:
        if gap is None:
            return
        self.meter.count("store_gaps")
        self.log.write(
            "store_gap",
            seconds=round(gap.ended_at - gap.began_at, 2),
            grace_s=round(gap.grace_until - gap.ended_at, 2),
        )

    def record_restored(self, kind: str, revision: int) -> None:
        """Record that the store has come back from an older copy, before a kind is updated.

        What was written since the copy is missing until it is written again, as after an outage.
        """
        self.meter.count("store_restored")
        self.log.write(
            "store_restored",
            kind=kind,
            era=stored.find_era(revision),
            revision=stored.find_number(revision),
        )
        now = asyncio.get_running_loop().time()
        if kind == names.PEERS_KIND:
            self.peers_restored_at = now
        if kind == names.ENGINES_KIND:
            self.engines.record_restored(now)
        if kind == names.EVACUATIONS_KIND:
            self.evacuations.record_restored(now)
        if kind == names.ROLLOUTS_KIND:
            self.rollout_recovery.record_restored(now)

    def limit_shares(self) -> enginelimits.LimitShares:
        """Return how the limits that engines name are divided among the gateways."""
        members = rendezvous.list_members(tuple(self.peers), self.cfg.name)
        now = asyncio.get_running_loop().time()
        joined = now - self.joined_at >= enginelimits.JOIN_DELAY_S
        return enginelimits.LimitShares(members, self.cfg.name, joined)

    def log_limit(self, state: enginestate.EngineState, before_per_s: float, gateway: str) -> None:
        """Log that an engine has another limit than before, and which gateway it told."""
        self.meter.count("engine_limits")
        self.log.write(
            "engine_limited",
            engine=state.engine.id,
            per_s=state.notices.limit.report.per_s,
            before_per_s=before_per_s,
            by=gateway,
            running=state.running,
        )

    def gateway_count(self) -> int:
        """Return the number of gateways that may be sending requests, including this one."""
        return max(1, len(self.peers) + (self.cfg.name not in self.peers))

    def budget_for(self, service: str) -> budget.WindowBudget:
        """Return the retry budget of a service."""
        return self.budgets.setdefault(service, budget.WindowBudget())

    def request_rate(self, service: str) -> float:
        """Return the requests per second for a service at all gateways."""
        now, window_s = asyncio.get_running_loop().time(), self.cfg.bounds.retry_window_s
        others = self.load_view.peer_usage(service, now)
        return self.budget_for(service).rate(now, window_s, others)

    @property
    def session_ttl_s(self) -> float:
        """Time after its last request for which a session is active, in seconds."""
        return self.cfg.bounds.session_ttl_s + SESSION_MARGIN_S

    def rollout_in_force(self, service: str) -> routing.Rollout | None:
        """Return a service's rollout, also if only other gateways know of it yet."""
        revision = self.mirrors[names.ROLLOUTS_KIND].revision
        return self.heard_rollouts.choose_later(service, self.rollouts.get(service), revision)

    def rollouts_in_force(self) -> dict[str, routing.Rollout]:
        """Return the rollouts by service, also those that only other gateways know of yet."""
        services = self.rollouts.keys() | self.heard_rollouts.services
        found = {name: self.rollout_in_force(name) for name in services}
        return {name: item for name, item in found.items() if item is not None}

    def follow_rollouts(self) -> None:
        """Hold the sessions that new rollouts may not move yet; forget what has passed."""
        now = asyncio.get_running_loop().time()
        self.heard_rollouts.expire(now)
        self.sessions.follow(self.rollouts_in_force().values(), now, self.session_ttl_s)

    def plan_for(self, service: str) -> rollouts.Plan:
        """Return which versions of a service may get requests now."""
        rollout = self.rollout_in_force(service)
        vetoed = rollout is not None and self.is_vetoed(service, rollout.target)
        basis = _PlanBasis(self.engines.generation, rollout, vetoed)
        known = self._plans.get(service)
        if known is not None and known[0] == basis:
            return known[1]
        engines = [item.engine for item in self.engines.of_service(service)]
        plan = rollouts.make_plan(rollout, engines, vetoed)
        self._plans[service] = (basis, plan)
        return plan

    def runs_models(self, service: str) -> bool:
        """Tell whether a service's engines run models; a plain service's do not."""
        found = self.table.services.get(service) if self.table is not None else None
        return found is not None and found.token_capacity > 0

    def sampling_share(self, req: routing.Request) -> float:
        """Return the share of such requests that goes to the version on trial; 0 for the plan's."""
        if req.head.session:
            return 0.0
        return self.sampling_shares.get(req.service, {}).get(req.route.name, 0.0)

    def services_in_rollout(self) -> set[str]:
        """Return the services that have a rollout in progress."""
        return {item.service for item in self.rollouts.values() if item.state in ("new", "running")}

    def is_vetoed(self, service: str, version: str) -> bool:
        """Tell whether a version was found bad."""
        return evidence.VersionKey(service, version) in self.evidence.vetoes

    def add_evidence(self, req: routing.Request, version: str, result: rollouts.Evidence) -> None:
        """Add the result of a response to the evidence about a version."""
        key = evidence.ResultKey(req.service, version, req.route.name)
        self.evidence.record(key, result)
