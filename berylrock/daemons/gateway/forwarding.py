"""Takes one request through its attempts, to an answer or a refusal."""

import asyncio

import h11

from berylrock.adapters import http1
from berylrock.core import routing
from berylrock.daemons.gateway import answering, attempt, context, pool, sending
from berylrock.ops import baselines, engineset, rollouts, timeouts

__all__ = ["Forwarding"]

MAX_ANSWER_BYTES = 8_388_608
SERVER_ERROR = 500
# Time that a request may wait for an engine that can take it, as a share of its objective.
WAIT_SHARE = 0.12
WAIT_STEP_S = 0.015
COME_BACK_S = 0.4


class Forwarding:
    """One request on its way.

    Attributes:
      sender: Chooses engines and counts attempts.
    """

    def __init__(
        self,
        ctx: context.Context,
        conns: pool.ConnectionPool,
        req: routing.Request,
        responder: answering.Responder,
    ) -> None:
        self.sender = sending.Sender(ctx, conns, req)
        self.ctx = ctx
        self.req = req
        self.responder = responder

    @property
    def now(self) -> float:
        """The loop's clock."""
        return asyncio.get_running_loop().time()

    async def find_engine(self, model: str) -> engineset.EngineState | None:
        """Choose an engine, waiting a little for one that can take the request."""
        until = self.now + WAIT_SHARE * self.req.route.latency_target_s
        while True:
            state = self.sender.choose(model)
            if state is not None or self.now >= min(until, self.req.expires_at):
                return state
            await asyncio.sleep(WAIT_STEP_S)

    def first_patience(self) -> timeouts.AnswerTimeouts | None:
        """How long to wait for an answer to begin; None to stay with the engine."""
        if not routing.is_repeatable(self.req.route) or self.sender.runs_left < 2:
            return None
        return timeouts.first_event_timeouts(self.req.route.latency_target_s)

    async def give_up(self) -> None:
        """Tell the caller that there is no answer; a 503 only if nothing can have run."""
        if self.now >= self.req.expires_at and self.sender.runs:
            await self.responder.refuse(504, f"timeout after {self.sender.last_reason or 'wait'}")
        elif self.sender.runs:
            await self.responder.refuse(502, f"failed: {self.sender.last_reason}")
        else:
            reason = self.sender.last_reason or "no engine can take it"
            await self.responder.refuse(503, reason, self._come_back_s())

    def _come_back_s(self) -> float:
        return COME_BACK_S * (0.5 + self.ctx.rng.random())

    def note_result(self, opened: attempt.OpenedAnswer, good: bool, started_s: float) -> None:
        """Take how an answer ended as evidence about its engine and version."""
        state = opened.attempt.state
        if good:
            self.ctx.strikes.clear(self.req.fingerprint)
            state.health.note_answer(started_s)
        else:
            state.health.note_failure(self.now)
        version = state.engine.version
        slow = good and self._judge_time(version, started_s)
        result = rollouts.Evidence(1, int(not good), int(slow), int(good))
        self.ctx.note_result(self.req.service, version, result)

    def _judge_time(self, version: str, started_s: float) -> bool:
        """Whether a whole answer took long; what the serving version takes is learned."""
        timing = baselines.Timing(started_s, 0.0)
        slow = self.ctx.norms.is_slow(self.req.route.name, "", timing)
        if version != self.ctx.plan_for(self.req.service).trial:
            self.ctx.norms.note(self.req.route.name, "", timing)
        return slow

    async def run(self) -> None:
        """Forward a call that has one whole answer."""
        while True:
            if not self.sender.runs_left or not self.sender.spend_repeat():
                return await self.give_up()
            state = await self.find_engine(self.req.head.model)
            if state is None or self.now >= self.req.expires_at:
                return await self.give_up()
            result = await self.sender.send(
                state, "", self.req.head.last_event, self.first_patience()
            )
            if isinstance(result, attempt.Failure):
                self._note_failure(state, result)
                continue
            body = await self._read_whole(result)
            if body is None:
                continue
            if self.should_fail_over(result):
                continue
            return await self.responder.send_whole(result.head, body)

    def _note_failure(self, state: engineset.EngineState, failure: attempt.Failure) -> None:
        if failure.may_have_run:
            silent = failure.reason == attempt.SILENT
            result = rollouts.Evidence(1, int(not silent), int(silent), int(silent))
            self.ctx.note_result(self.req.service, state.engine.version, result)
        self._log_failed(state, failure.reason, failure.may_have_run)

    def _log_failed(self, state: engineset.EngineState, reason: str, may_have_run: bool) -> None:
        self.ctx.log.write(
            "attempt_failed",
            request=self.req.head.id,
            engine=state.engine.id,
            reason=reason,
            may_have_run=may_have_run,
        )

    def should_fail_over(self, opened: attempt.OpenedAnswer) -> bool:
        """Whether another engine is asked in place of passing this answer on."""
        status = opened.head.status
        if status < SERVER_ERROR or not self.sender.runs_left:
            return False
        if not routing.is_repeatable(self.req.route):
            return False
        self._log_failed(opened.attempt.state, f"answered {status}", True)
        return True

    async def _read_whole(self, opened: attempt.OpenedAnswer) -> bytes | None:
        """Read a whole body; None if it broke off."""
        body = bytearray()
        started_s = opened.at - opened.attempt.sent_at
        try:
            while True:
                event = await opened.attempt.next_event(None)
                if isinstance(event, h11.EndOfMessage):
                    break
                if isinstance(event, h11.Data):
                    body += event.data
                if len(body) > MAX_ANSWER_BYTES:
                    raise http1.ResponseBroken("too large")
        except (attempt.DeadlineExceeded, http1.ResponseBroken) as exc:
            if isinstance(exc, http1.ResponseBroken):
                opened.attempt.note_broken()
            self.sender.last_reason = f"broke off: {exc}"
            self.note_result(opened, False, started_s)
            opened.attempt.end()
            return None
        except BaseException:
            opened.attempt.end()
            raise
        self.note_result(opened, opened.head.status < SERVER_ERROR, started_s)
        opened.attempt.end_whole(opened.head)
        return bytes(body)
