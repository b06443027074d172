"""One attempt at an engine: choose it, send the request, read the head of its answer."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from berylrock.adapters import http1
from berylrock.core import errors, routing
from berylrock.daemons.gateway import context, pool
from berylrock.ops import budget, engineset, freshness, pacing, patience, selection, staging
from berylrock.platform import translating

__all__ = ["SILENT", "Attempt", "Expired", "Failure", "LeftBehind", "Opened", "Sender"]

MAX_RUNNING_SHARE = 2.0
LEAST_RUNNING = 4
DEFAULT_BUSY_PAUSE_S = 0.15
WAIT_STEP_S = 0.1
SILENT = "silent"
# An engine that crashes closes its connections a moment before its port.
FALL_CHECK_S = 0.05


class Expired(errors.BerylrockError):
    """The request's time is over; its caller gets the answer to that."""


class LeftBehind(errors.BerylrockError):
    """The engine said nothing for so long that another one is asked."""


class Failure(NamedTuple):
    """An attempt that gave no answer to pass on.

    Attributes:
      may_have_run: Whether the engine may have begun to run the request.
      reason: What happened, for the log.
    """

    may_have_run: bool
    reason: str


class Attempt:
    """A request at one engine, from its sending to its end.

    Attributes:
      state: The engine.
      model: The model that was asked; empty if the caller named it.
      sent_at: When it was sent, on the loop's clock.
    """

    def __init__(
        self,
        ctx: context.Context,
        conns: pool.Pool,
        req: routing.Request,
        state: engineset.EngineState,
        model: str,
        can_leave: Callable[[], bool],
    ) -> None:
        self.state = state
        self.model = model
        self.sent_at = 0.0
        self.link: http1.EngineLink | None = None
        self._ctx = ctx
        self._conns = conns
        self._req = req
        self._can_leave = can_leave
        self._work = selection.size_of(req.head)
        self._open = False

    async def next_event(self, wait: patience.Patience | None) -> http1.AnswerEvent:
        """Read the next part of the answer.

        Args:
          wait: When to leave a silent engine; None to wait to the request's end.

        Returns:
          The part.

        Raises:
          Expired: The request's time is over.
          LeftBehind: The engine is given up.
          AnswerBroken: The answer ended early, or is none.
        """
        assert self.link is not None
        loop = asyncio.get_running_loop()
        since = loop.time()
        while True:
            limit = self._req.expires_at
            if wait is not None:
                limit = min(limit, max(since + wait.dead_s, loop.time() + WAIT_STEP_S))
            try:
                async with asyncio.timeout_at(limit):
                    event = await self.link.next_event()
            except TimeoutError:
                now = loop.time()
                if now >= self._req.expires_at:
                    raise Expired("the request's time is over") from None
                if wait is None:
                    continue
                others = self._ctx.loads.others(self.state.engine.id, now)
                heard_at = max(self.state.heard_at, others.heard_at)
                dead = patience.is_dead(now, since, heard_at, wait)
                if dead and self._can_leave():
                    raise LeftBehind("the engine was silent") from None
                continue
            self.state.heard_at = loop.time()
            return event

    async def start(
        self, last_event: int | None, wait: patience.Patience | None
    ) -> "Opened | Failure":
        """Send the request and read the head of the answer.

        Args:
          last_event: The last event that the caller has, to go on after it.
          wait: When to leave a silent engine; None to wait to the request's end.

        Returns:
          The answer's head, or why there is none.
        """
        loop = asyncio.get_running_loop()
        engine, req = self.state.engine, self._req
        self.sent_at = loop.time()
        self._open = True
        self.state.begin(self._work, self.sent_at)
        sure = not routing.is_repeatable(req.route)
        try:
            self.link = await self._conns.take(engine, sure)
        except http1.ConnectFailed as exc:
            now = loop.time()
            self.state.health.note_unreachable(now)
            self._ctx.note_fall(engine.id, self.state.take_broken(now), now)
            self.state.doubt_warmth(loop.time())
            self.end()
            return Failure(False, f"unreachable: {exc}")
        left_s = req.expires_at - loop.time()
        order = routing.Order(engine.id, max(0.001, left_s), self.model, last_event)
        headers = translating.write_order(req, order)
        try:
            await self.link.send(req.head.method, req.head.target, headers, req.body)
            event = await self.next_event(wait)
        except (Expired, LeftBehind):
            return self._fail(SILENT)
        except http1.AnswerBroken as exc:
            self.note_broken()
            return self._fail(f"broken: {exc}")
        if not isinstance(event, h11.Response):
            return self._fail("no head")
        return await self._check(
            translating.read_answer(event.status_code, event.headers.raw_items())
        )

    async def _check(self, head: translating.AnswerHead) -> "Opened | Failure":
        """Find out whether the answer is one to this request, by an engine that ran it."""
        now = asyncio.get_running_loop().time()
        if head.request_id and head.request_id != self._req.head.id:
            return self._fail("answer to another request")
        if head.not_run:
            pause = head.retry_after_s if head.retry_after_s is not None else DEFAULT_BUSY_PAUSE_S
            if head.status != 400:
                self.state.health.note_busy(now, min(1.0, pause))
            await self._drop_rest(head)
            return Failure(False, f"not run: {head.status}")
        if not head.signed or head.encoded or head.request_id != self._req.head.id:
            return self._fail(f"unsigned answer {head.status}")
        return Opened(self, head, now)

    async def _drop_rest(self, head: translating.AnswerHead) -> None:
        """Read a refusal to its end, so that its connection can be used again."""
        assert self.link is not None
        try:
            async with asyncio.timeout(0.2):
                while not isinstance(await self.link.next_event(), h11.EndOfMessage):
                    pass
            self.end_whole(head)
        except (TimeoutError, http1.AnswerBroken):
            # The refusal stands; only its connection is lost.
            self.end()

    def note_broken(self) -> None:
        """The connection broke: find out whether the engine fell, and with which requests."""
        state, now = self.state, asyncio.get_running_loop().time()
        if not state.broken:
            self._ctx.timer.spawn(self._look_for_fall())
        state.note_broken(self._req.fingerprint, now)

    async def _look_for_fall(self) -> None:
        """Try to connect to an engine whose connections have just broken."""
        await asyncio.sleep(FALL_CHECK_S)
        state, engine = self.state, self.state.engine
        try:
            link = await http1.EngineLink.open(engine.address, pool.CONNECT_TIMEOUT_S)
        except http1.ConnectFailed:
            now = asyncio.get_running_loop().time()
            state.health.note_unreachable(now)
            state.doubt_warmth(now)
            self._ctx.note_fall(engine.id, state.take_broken(now), now)
            return
        state.broken.clear()
        self._conns.put_back(engine, link, False)

    def _fail(self, reason: str) -> Failure:
        self.state.health.note_failure(asyncio.get_running_loop().time())
        self.end()
        return Failure(True, reason)

    def end(self) -> None:
        """Give the attempt up: the engine drops what it still runs."""
        if self._open:
            self._open = False
            self.state.end(self._work)
            if self.link is not None:
                self.link.close()

    def end_whole(self, head: translating.AnswerHead) -> None:
        """The answer was read whole: the connection may serve again."""
        if self._open and self.link is not None:
            self._open = False
            self.state.end(self._work)
            self.link.keep_s = head.keep_alive_s
            self._conns.put_back(self.state.engine, self.link, head.closes)


class Opened(NamedTuple):
    """An attempt whose answer has begun.

    Attributes:
      attempt: The attempt.
      head: The answer's head.
      at: When it came, on the loop's clock.
    """

    attempt: Attempt
    head: translating.AnswerHead
    at: float


class Sender:
    """Chooses engines for one request and counts what it has used up.

    Attributes:
      tried: Engines that the request was sent to.
      runs: Attempts that an engine may have run.
      last_reason: Why the last attempt failed.
    """

    def __init__(self, ctx: context.Context, conns: pool.Pool, req: routing.Request) -> None:
        self.tried: set[str] = set()
        self.runs = 0
        self.sends = 0
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

    def _limits(self) -> budget.RepeatLimits:
        bounds, ctx = self._ctx.cfg.bounds, self._ctx
        now = asyncio.get_running_loop().time()
        return budget.RepeatLimits(
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_extra,
            ctx.gateways(),
            ctx.loads.spent(self._req.service, now),
        )

    def may_repeat(self) -> bool:
        """Spend one repeat of the service's retry budget, if this is one."""
        if self.sends == 0:
            return True
        now = asyncio.get_running_loop().time()
        return self._ctx.budget_for(self._req.service).take(now, self._limits())

    def can_move(self, model: str, reserve: float = 0.0) -> bool:
        """Tell whether another engine could take the request now, within the retry budget."""
        return not self.why_not_move(model, reserve)

    def why_not_move(self, model: str, reserve: float = 0.0) -> str:
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
            [item for item in ctx.engines.open_to(req.service) if item.engine.version == version]
        )
        slots = max((item.engine.slots for item in states), default=1)
        share = max(LEAST_RUNNING, int(slots * MAX_RUNNING_SHARE / ctx.gateways()) + 1)
        pick = selection.Pick(
            zone=ctx.cfg.zone,
            key=selection.affinity_key(req.head, model),
            limit_per_s=pacing.share_per_second(service, ctx.cfg.bounds, ctx.gateways()),
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
        kept = staging.trial_engines([item.engine.id for item in states], plan)
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
        self.version = staging.plan_version(plan, req.service, session, kept)
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
        others = ctx.loads.others(state.engine.id, now)
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
            config_age_s=round(ctx.fresh.age(freshness.suspended_clock()), 2),
        )

    async def send(
        self,
        state: engineset.EngineState,
        model: str,
        last_event: int | None,
        wait: patience.Patience | None,
    ) -> Opened | Failure:
        """Send the request to an engine."""
        self.sends += 1
        self.note_session()
        attempt = Attempt(
            self._ctx, self._conns, self._req, state, model, lambda: self.can_move(model)
        )
        self._log_sent(state, model, last_event)
        # Counted from the start: the request may run from its first byte on.
        self.runs += 1
        self.tried.add(state.engine.id)
        try:
            result = await attempt.start(last_event, wait)
        except BaseException:
            attempt.end()
            raise
        if isinstance(result, Failure):
            self.runs -= not result.may_have_run
            self.last_reason = result.reason
        return result
