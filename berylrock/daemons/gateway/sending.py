"""Chooses the engines for a request, within its limits on attempts and the retry budget."""

import asyncio

from berylrock.core import routing
from berylrock.daemons.gateway import attempt, context, crashes, pool
from berylrock.ops import (
    activesessions,
    budget,
    enginegroup,
    enginelimits,
    enginestate,
    enginework,
    freshness,
    notices,
    pacing,
    rollouts,
    selection,
    timeouts,
    versionchoice,
)

__all__ = ["Dispatcher"]

# A gateway may use this many times its even share of an engine's slots, since callers are not
# spread evenly over the gateways.
SLOT_SHARE_FACTOR = 2.0
MIN_RUNNING_LIMIT = 4


class Dispatcher:
    """Chooses engines for one request, sends it, and counts its attempts.

    Attributes:
      sent_to: Ids of the engines that the request was sent to.
      tried: Those that it is not sent to again; one that asked for a pause may get it after that.
      reached: Addresses at which it may have arrived.
      attempts_run: Attempts that an engine may have run.
      attempts_sent: All attempts.
      attempts_arrived: Attempts that may have reached an engine; all but the first are retries.
      version: Version that the request is to run on; None before it is chosen.
      version_choice: The version as it was chosen, and what decided it.
      version_stage: The stage of the rollout at that time.
      last_reason: Why the last attempt failed; empty if none has.
      caller_left: Whether the caller has disconnected, so that no further attempt is made.
    """

    def __init__(
        self, ctx: context.Context, conns: pool.ConnectionPool, req: routing.Request
    ) -> None:
        self.sent_to: set[str] = set()
        self.tried: set[str] = set()
        self.reached: set[tuple[str, int]] = set()
        self.attempts_run = 0
        self.attempts_sent = 0
        self.attempts_arrived = 0
        self.last_reason = ""
        self.version: str | None = None
        self.version_choice = versionchoice.VersionChoice(None, "")
        self.version_stage = rollouts.COLLECTING_STAGE
        self.caller_left = False
        self._current: attempt.Attempt | None = None
        self._is_counted = False
        self._session = activesessions.make_session(req.service, req.head.session)
        # Version of the attempt that was recorded as running for the session.
        self._begun_version: str | None = None
        self._ctx = ctx
        self._conns = conns
        self._req = req

    @property
    def attempts_left(self) -> int:
        """Number of further attempts that may run the request.

        None is left once the request is known to crash engines, or its caller has left.
        """
        if self.caller_left or self.crashes_engines:
            return 0
        if not routing.is_repeatable(self._req.route):
            return 0 if self.attempts_run else 1
        return self._req.route.max_attempts - self.attempts_run

    @property
    def is_at_engine(self) -> bool:
        """Whether an engine may have got the request, and has not failed or refused it."""
        return self._current is not None and self._current.has_arrived

    @property
    def crashes_engines(self) -> bool:
        """Whether the request must not be sent, or not again, because it crashes engines."""
        req = self._req
        blamed = crashes.find_blamed(self._ctx, req.head, req.fingerprint)
        return bool(blamed) and (self.attempts_sent > 0 or not set(blamed) <= set(req.tried))

    def trial_in_s(self) -> float:
        """Return the seconds after which the request may be tried, although it is blamed."""
        blamed = crashes.find_blamed(self._ctx, self._req.head, self._req.fingerprint)
        return max((crashes.trial_in_s(self._ctx, item) for item in blamed), default=0.0)

    def _limits(self) -> budget.RetryLimits:
        bounds, ctx = self._ctx.cfg.bounds, self._ctx
        now = asyncio.get_running_loop().time()
        return budget.RetryLimits(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_extra,
            ctx.gateway_count(),
            ctx.load_view.peer_usage(self._req.service, now),
        )

    def spend_retry(self) -> bool:
        """Spend one retry of the service's budget if the next attempt is a retry.

        Returns:
          Whether the next attempt may be made; False if the budget is spent.
        """
        if self.attempts_arrived == 0:
            return True
        now = asyncio.get_running_loop().time()
        return self._ctx.budget_for(self._req.service).take(now, self._limits())

    def can_fail_over(self, model: str, reserve: float = 0.0) -> bool:
        """Tell whether another engine could take the request now, within the retry budget."""
        return not self.failover_obstacle(model, reserve)

    def failover_obstacle(self, model: str, reserve: float = 0.0) -> str:
        """Return why no other engine could take the request now; empty if one could."""
        if self.attempts_left < 1:
            return "no attempts left"
        now = asyncio.get_running_loop().time()
        if not self._ctx.budget_for(self._req.service).allows(now, self._limits(), reserve):
            return "retry budget spent"
        return "" if self.choose(model) is not None else "no engine can take it"

    def choose(self, model: str) -> enginestate.EngineState | None:
        """Choose an engine of the version that the request's session is assigned to."""
        ctx, req = self._ctx, self._req
        table = ctx.table
        if table is None or req.service not in table.services:
            return None
        service = table.services[req.service]
        now = asyncio.get_running_loop().time()
        key = selection.affinity_key(req.head, model)
        group = self._group_of(self._choose_version(now))
        offer = group.offer(key, ctx.cfg.zone, ctx.rng)
        max_running = max(
            MIN_RUNNING_LIMIT, int(group.slots * SLOT_SHARE_FACTOR / ctx.gateway_count()) + 1
        )
        criteria = selection.Criteria(
            zone=ctx.cfg.zone,
            key=key,
            work=enginework.estimate(req.head, service, model),
            shares=pacing.make_shares(service, ctx.cfg.bounds, ctx.peers, ctx.cfg.name),
            max_running=max_running,
            tried=frozenset(self.tried),
            now=now,
            preferred=offer.preferred,
            limits=ctx.limit_shares(),
            left=self._left,
        )
        return selection.choose(offer.states, criteria, ctx.rng, ctx.load_view)

    def engine_wait_s(self) -> float:
        """Return how long a new prompt waits at the engines of the request's version."""
        ctx, now = self._ctx, asyncio.get_running_loop().time()
        service, version = self._req.service, self._choose_version(now)
        pace_s = ctx.latency_estimator.predict_work(service, 1.0)
        states = ctx.engines.group(service, version).states
        return ctx.wait_gauge.measure((service, version), states, ctx.load_view, pace_s, now)

    def find_obstacle(self) -> notices.Obstacle | None:
        """Return when the first engine may get the request, if pauses or limits prevent it now."""
        now = asyncio.get_running_loop().time()
        return notices.find_obstacle(self._untried(now), self._ctx.limit_shares(), now)

    def find_obstacle_to_return(self) -> notices.Obstacle | None:
        """Return when the first engine may get the request if its caller sends it anew."""
        now = asyncio.get_running_loop().time()
        return notices.find_obstacle(self._engines(now), self._ctx.limit_shares(), now)

    def sum_limits(self) -> float:
        """Return the requests per second that the engines take from all gateways together."""
        engines = self._engines(asyncio.get_running_loop().time())
        return enginelimits.sum_limits(item.notices.limit for item in engines)

    def _untried(self, now: float) -> list[enginestate.EngineState]:
        """Return the engines of the request's version that it was not sent to."""
        return [item for item in self._engines(now) if self._may_get(item.engine)]

    @property
    def has_tried_all(self) -> bool:
        """Whether there are engines for the request, and it may be sent to none of them again."""
        engines = self._engines(asyncio.get_running_loop().time())
        return bool(engines) and not any(self._may_get(item.engine) for item in engines)

    def _may_get(self, engine: routing.Engine) -> bool:
        """Tell whether the request may be sent to an engine, as far as it was sent before."""
        return engine.id not in self.tried and engine.address not in self._left

    def _engines(self, now: float) -> list[enginestate.EngineState]:
        """Return the engines of the request's version."""
        table = self._ctx.table
        if table is None or self._req.service not in table.services:
            return []
        return list(self._group_of(self._choose_version(now)).states)

    def _group_of(self, version: str | None) -> enginegroup.EngineGroup:
        """Return the engines of a version.

        A version on trial has the engines of its share, unless all of them were tried.
        """
        group = self._ctx.engines.group(self._req.service, version)
        plan = self._ctx.plan_for(self._req.service)
        if plan.trial is None or plan.trial != version:
            return group
        trial = group.trial(plan)
        untried = any(self._may_get(item.engine) for item in trial.states)
        return trial if untried else group

    def _choose_version(self, now: float) -> str | None:
        """Return the version to run on; a retry keeps the version of the request while allowed."""
        ctx, req = self._ctx, self._req
        plan = ctx.plan_for(req.service)
        allowed = {plan.stable, plan.trial} - {None} - plan.forbidden
        if self.version in allowed:
            return self.version
        if self._session is not None:
            choice = ctx.sessions.choose(plan, self._session, now)
        else:
            sampling_share = ctx.sampling_share(req)
            choice = versionchoice.choose_for_request(
                plan, req.service, req.head.id, sampling_share
            )
        self.version, self.version_choice, self.version_stage = choice.version, choice, plan.stage
        return self.version

    def _begin_session(self) -> None:
        """Record the version that the request's session runs on, once for each version."""
        session, version = self._session, self.version
        if session is None or version is None or version == self._begun_version:
            return
        now, plan = asyncio.get_running_loop().time(), self._ctx.plan_for(session.service)
        if self._begun_version is None:
            self._log_session_change(session, version, plan, now)
        else:
            self._ctx.sessions.active.end(session, now)
        self._begun_version = version
        self._ctx.sessions.begin(plan, session, version, now)

    def end_session(self) -> None:
        """Record that the request has ended, from when on its session lives for some seconds."""
        if self._session is not None and self._begun_version is not None:
            self._begun_version = None
            self._ctx.sessions.active.end(self._session, asyncio.get_running_loop().time())

    def _log_session_change(
        self, session: activesessions.Session, version: str, plan: rollouts.Plan, now: float
    ) -> None:
        """Log and count a session that changes its version before it may, or goes back."""
        ctx = self._ctx
        last = ctx.sessions.active.find(session, now, ctx.session_ttl_s)
        if last is None or not last.version or plan.trial is None or last.version == version:
            return
        if version == plan.trial and plan.stage > 0:
            return
        early = version == plan.trial
        ctx.meter.count("sessions_changed_early" if early else "sessions_changed_back")
        ctx.log.write(
            "session_changed",
            request=self._req.head.id,
            session=self._req.head.session,
            before=last.version,
            after=version,
            age_s=round(now - last.at, 2),
            source=self.version_choice.source,
            stage=plan.stage,
        )

    def _log_sent(self, state: enginestate.EngineState, model: str, last_event: int | None) -> None:
        """Log which engine was chosen and the state that the choice was based on.

        The field ``running`` holds this gateway's requests plus those of the other gateways.
        """
        ctx, now = self._ctx, asyncio.get_running_loop().time()
        others = ctx.load_view.peer_load(state.engine.id, now)
        ctx.meter.count("sends")
        ctx.log.write(
            "request_sent",
            request=self._req.head.id,
            engine=state.engine.id,
            address=state.engine.host_port,
            version=state.engine.version,
            version_source=self.version_choice.source,
            stage=self.version_stage,
            model=model,
            after_event=last_event,
            running=f"{state.running}+{others.running}",
            failing=round(state.health.failing_share(), 2),
            config=self._req.config_version,
            config_age_s=round(ctx.config_freshness.age(freshness.boottime_clock()), 2),
        )

    async def send(
        self,
        state: enginestate.EngineState,
        model: str,
        last_event: int | None,
        wait: timeouts.ResponseTimeouts | None,
    ) -> attempt.OpenedResponse | attempt.Failure:
        """Send the request to an engine.

        Args:
          state: The engine.
          model: Model to ask for; empty to use the caller's.
          last_event: Id of the last event that the caller has; None for a new stream.
          wait: When to abandon an engine that is silent or too slow; None to wait until the
            request's deadline.

        Returns:
          The opened response, or why there is none.
        """
        self.attempts_sent += 1
        self._begin_session()
        current = self._current = attempt.Attempt(
            *(self._ctx, self._conns, self._req, state, model),
            can_fail_over=lambda: self.can_fail_over(model),
            returns=state.engine.address in self.reached,
        )
        self._log_sent(state, model, last_event)
        # Counted before sending, because the engine may run the request as soon as a byte arrives.
        self.attempts_run += 1
        self.attempts_arrived += 1
        self.sent_to.add(state.engine.id)
        self.tried.add(state.engine.id)
        try:
            result = await current.start(last_event, wait)
        except BaseException:
            current.end()
            raise
        if isinstance(result, attempt.OpenedResponse):
            self._record_run()
        else:
            self._current = None
            self.attempts_run -= not result.may_have_run
            self.attempts_arrived -= not result.arrived
            self.last_reason = result.reason
            if result.paused and self._may_return_after(result):
                self.tried.discard(current.engine.id)
        if isinstance(result, attempt.OpenedResponse) or result.arrived:
            self.reached.add(current.engine.address)
        return result

    @property
    def _left(self) -> frozenset[tuple[str, int]]:
        """Addresses that the request is not sent to again, as it may run once.

        A second refusal could not be told from a copy of the first one, and the process at an
        address may be known under several ids.
        """
        is_repeatable = routing.is_repeatable(self._req.route)
        return frozenset() if is_repeatable else frozenset(self.reached)

    def _may_return_after(self, failure: attempt.Failure) -> bool:
        """Tell whether the request may be sent to the engine of this attempt again."""
        return not failure.arrived or routing.is_repeatable(self._req.route)

    def _record_run(self) -> None:
        """Count the request as one that has begun to run, once for all its attempts."""
        if not self._is_counted:
            self._is_counted = True
            self._ctx.record_run(self._req.organisation)
