"""Takes a request to engines, one after the other: which one, on which version, how often."""

import asyncio

from berylrock.core import routing
from berylrock.daemons.gateway import attempt, context, pool
from berylrock.ops import budget, engineset, freshness, pacing, rollouts, selection, timeouts

__all__ = ["Sender"]

# A gateway may hold this many times its even part of an engine's places: callers are not spread
# evenly over the gateways.
MAX_RUNNING_SHARE = 2.0
LEAST_RUNNING = 4


class Sender:
    """Chooses engines for one request and counts what it has used up.

    Attributes:
      tried: Engines that the request was sent to.
      runs: Attempts that an engine may have run.
      sends: Attempts in all.
      arrivals: Attempts that may have reached an engine; all but the first are repeats.
      version: The version that the request is to run on; None before it was chosen.
      last_reason: Why the last attempt failed.
    """

    def __init__(
        self, ctx: context.Context, conns: pool.ConnectionPool, req: routing.Request
    ) -> None:
        self.tried: set[str] = set()
        self.runs = 0
        self.sends = 0
        self.arrivals = 0
        self.last_reason = ""
        self.version: str | None = None
        self._ctx = ctx
        self._conns = conns
        self._req = req

    @property
    def runs_left(self) -> int:
        """Engines that may still run the request."""
        if not routing.is_repeatable(self._req.route):
            return 0 if self.runs else 1
        return self._req.route.max_attempts - self.runs

    def _limits(self) -> budget.RetryLimits:
        bounds, ctx = self._ctx.cfg.bounds, self._ctx
        now = asyncio.get_running_loop().time()
        return budget.RetryLimits(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_extra,
            ctx.gateway_count(),
            ctx.loads.peer_usage(self._req.service, now),
        )

    def spend_repeat(self) -> bool:
        """Spend one repeat of the service's retry budget, if this is one."""
        if self.arrivals == 0:
            return True
        now = asyncio.get_running_loop().time()
        return self._ctx.budget_for(self._req.service).take(now, self._limits())

    def can_fail_over(self, model: str, reserve: float = 0.0) -> bool:
        """Tell whether another engine could take the request now, within the retry budget."""
        return not self.failover_obstacle(model, reserve)

    def failover_obstacle(self, model: str, reserve: float = 0.0) -> str:
        """Why no other engine could take the request now; empty if one could."""
        if self.runs_left < 1:
            return "no attempts left"
        now = asyncio.get_running_loop().time()
        if not self._ctx.budget_for(self._req.service).allows(now, self._limits(), reserve):
            return "retry budget spent"
        return "" if self.choose(model) is not None else "no engine can take it"

    def choose(self, model: str) -> engineset.EngineState | None:
        """Choose an engine of the version that the request's session is to have."""
        ctx, req = self._ctx, self._req
        table = ctx.table
        if table is None or req.service not in table.services:
            return None
        service = table.services[req.service]
        now = asyncio.get_running_loop().time()
        version = self._choose_version(now)
        states = self._narrow(
            [
                item
                for item in ctx.engines.available_for(req.service)
                if item.engine.version == version
            ]
        )
        slots = max((item.engine.slots for item in states), default=1)
        share = max(LEAST_RUNNING, int(slots * MAX_RUNNING_SHARE / ctx.gateway_count()) + 1)
        pick = selection.Criteria(
            zone=ctx.cfg.zone,
            key=selection.affinity_key(req.head, model),
            shares=pacing.make_shares(service, ctx.cfg.bounds, ctx.peers, ctx.cfg.name),
            max_running=share,
            tried=frozenset(self.tried),
            now=now,
        )
        return selection.choose(states, pick, ctx.rng, ctx.loads)

    def _narrow(self, states: list[engineset.EngineState]) -> list[engineset.EngineState]:
        """Keep a version on trial to as many engines as its share asks for, if one is left."""
        plan = self._ctx.plan_for(self._req.service)
        if plan.trial is None or not states or states[0].engine.version != plan.trial:
            return states
        kept = rollouts.trial_engines([item.engine.id for item in states], plan)
        able = [item for item in states if item.engine.id in kept - self.tried]
        return able or states

    def _choose_version(self, now: float) -> str | None:
        """The version to run on; a request that moves on stays with its version if it can."""
        ctx, req = self._ctx, self._req
        plan = ctx.plan_for(req.service)
        allowed = {plan.stable, plan.trial} - {None} - plan.forbidden
        if self.version in allowed:
            return self.version
        session = req.head.session or req.head.id
        kept = ctx.sessions.find(req.service, session, now, ctx.cfg.bounds.session_ttl_s + 1.0)
        self.version = rollouts.choose_version(plan, req.service, session, kept)
        return self.version

    def note_session(self) -> None:
        """Remember the version that the session's request runs on."""
        session, version = self._req.head.session, self.version
        if session and version is not None:
            now = asyncio.get_running_loop().time()
            self._ctx.sessions.note(self._req.service, session, version, now)

    def _log_sent(self, state: engineset.EngineState, model: str, last_event: int | None) -> None:
        """Write which engine was chosen, and by what."""
        ctx, now = self._ctx, asyncio.get_running_loop().time()
        others = ctx.loads.peer_load(state.engine.id, now)
        ctx.meter.count("sends")
        ctx.log.write(
            "request_sent",
            request=self._req.head.id,
            engine=state.engine.id,
            version=state.engine.version,
            model=model,
            after_event=last_event,
            running=f"{state.running}+{others.running}",
            failing=round(state.health.failing_share(), 2),
            config=self._req.config_version,
            config_age_s=round(ctx.config_freshness.age(freshness.boottime_clock()), 2),
        )

    async def send(
        self,
        state: engineset.EngineState,
        model: str,
        last_event: int | None,
        wait: timeouts.AnswerTimeouts | None,
    ) -> attempt.OpenedAnswer | attempt.Failure:
        """Send the request to an engine."""
        self.sends += 1
        self.note_session()
        run = attempt.Attempt(
            self._ctx, self._conns, self._req, state, model, lambda: self.can_fail_over(model)
        )
        self._log_sent(state, model, last_event)
        # Counted from the start: the request may run from its first byte on.
        self.runs += 1
        self.arrivals += 1
        self.tried.add(state.engine.id)
        try:
            result = await run.start(last_event, wait)
        except BaseException:
            run.end()
            raise
        if isinstance(result, attempt.Failure):
            self.runs -= not result.may_have_run
            self.arrivals -= not result.arrived
            self.last_reason = result.reason
        return result
