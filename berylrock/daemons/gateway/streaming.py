"""Relays a stream of events: cascade before the first event, resumption after a break."""

import h11

from berylrock.adapters import http1
from berylrock.daemons.gateway import attempt, forwarding
from berylrock.ops import baselines, latency, rollouts, routecascade, sse, timeouts

__all__ = ["StreamForwarding"]

# Share of the retry budget that steps up leave to repeats after failures.
STEP_UP_RESERVE = 0.2
DEFAULT_PAUSE_S = 2.0
LEAST_EVENTS_TO_TIME = 4


class StreamForwarding(forwarding.Forwarding):
    """A request whose answer is a stream of events."""

    def _prepare(self) -> None:
        self._sequence = sse.EventSequence(self.req.head.last_event)
        self._step = routecascade.first_step(self.req.route, self.sender.runs_left)
        self._first_event_at = 0.0
        self._last_event_at = 0.0
        self._count = 0

    async def run(self) -> None:
        """Forward a stream; a break is mended at another engine while that is allowed."""
        self._prepare()
        while True:
            opened = await self._open()
            if opened is None:
                return await self._end_without_answer()
            if not self._is_stream(opened):
                body = await self._read_whole(opened)
                if body is None or self.should_fail_over(opened):
                    continue
                if self.responder.begun:
                    return await self._end_without_answer()
                return await self.responder.send_whole(opened.head, body)
            if not self.responder.begun and not self._trusted(opened):
                self._step_up(opened)
                continue
            if await self._relay(opened):
                return await self.responder.end_stream()

    async def _end_without_answer(self) -> None:
        if self.responder.begun:
            self.responder.abort(self.sender.last_reason or "no engine left")
        else:
            await self.give_up()

    async def _open(self) -> attempt.OpenedAnswer | None:
        """Open a run at an engine; None if there is no way left."""
        while self.sender.runs_left and self.now < self.req.expires_at:
            if not self.sender.spend_repeat():
                self.sender.last_reason = "retry budget spent"
                return None
            state = await self.find_engine(self._step.model)
            if state is None:
                return None
            result = await self.sender.send(
                state, self._step.model, self._sequence.last, self.first_patience()
            )
            if isinstance(result, attempt.OpenedAnswer):
                return result
            self._note_failure(state, result)
        return None

    @staticmethod
    def _is_stream(opened: attempt.OpenedAnswer) -> bool:
        kinds = [value for name, value in opened.head.headers if name.lower() == b"content-type"]
        return opened.head.status < 300 and any(b"event-stream" in kind for kind in kinds)

    def _trusted(self, opened: attempt.OpenedAnswer) -> bool:
        if self._step.last:
            return True
        larger = routecascade.next_step(self.req.route).model
        trusted = routecascade.accepts(
            self._step,
            opened.head.confidence,
            self.now - self.req.received_at,
            self.req.route.latency_target_s,
            self.sender.runs_left,
        )
        if trusted:
            return True
        obstacle = self.sender.failover_obstacle(larger, STEP_UP_RESERVE)
        if obstacle:
            return self._keep(opened, obstacle)
        if not self._fits(larger):
            return self._keep(opened, "the larger model would be late")
        return False

    def _keep(self, opened: attempt.OpenedAnswer, reason: str) -> bool:
        """Pass an unsure answer on, since there is no better one to be had."""
        self.ctx.meter.count("kept_unsure")
        self.ctx.log.write(
            "step_kept",
            request=self.req.head.id,
            model=self._step.model,
            confidence=opened.head.confidence,
            reason=reason,
        )
        return True

    def _fits(self, model: str) -> bool:
        """Tell whether a larger model would answer in time, by what its engine does now."""
        state = self.sender.choose(model)
        if state is None:
            return False
        ctx, now = self.ctx, self.now
        return latency.meets_deadlines(
            ctx.speeds.predict(state.engine.id, model, now),
            ctx.speeds.expected_events(self.req.route.name),
            now - self.req.received_at,
            self.req.route.latency_target_s,
            self.req.expires_at - now,
            self.req.route.priority,
        )

    def _step_up(self, opened: attempt.OpenedAnswer) -> None:
        """Drop an answer that its model is unsure of, and ask the largest model."""
        opened.attempt.end()
        # A dropped answer says how fast its engine is, and that it did not fail.
        timing = baselines.Timing(opened.at - opened.attempt.sent_at, 0.0)
        slow = self.ctx.norms.is_slow(self.req.route.name, self._step.model, timing)
        version = opened.attempt.state.engine.version
        result = rollouts.Evidence(1, slow=int(slow), timed=int(slow))
        self.ctx.note_result(self.req.service, version, result)
        self.ctx.log.write(
            "step_up",
            request=self.req.head.id,
            model=self._step.model,
            confidence=opened.head.confidence,
        )
        self._step = routecascade.next_step(self.req.route)

    async def _relay(self, opened: attempt.OpenedAnswer) -> bool:
        """Pass a run's events on; returns whether the stream came to its end."""
        self._first_event_at = self._last_event_at = 0.0
        self._count = 0
        splitter = sse.EventSplitter()
        try:
            whole = await self._pass_events(opened, splitter)
        except (attempt.DeadlineExceeded, attempt.EngineSilent, http1.ResponseBroken) as exc:
            self.sender.last_reason = f"stream broke: {exc}"
            if isinstance(exc, http1.ResponseBroken):
                opened.attempt.note_broken()
            whole = False
        except BaseException:
            opened.attempt.end()
            raise
        self._conclude(opened, whole)
        return whole

    async def _pass_events(self, opened: attempt.OpenedAnswer, splitter: sse.EventSplitter) -> bool:
        while True:
            event = await opened.attempt.next_event(self._next_patience())
            if isinstance(event, h11.EndOfMessage):
                if splitter.rest:
                    self.sender.last_reason = "stream ended within an event"
                return not splitter.rest and (self.responder.begun or await self._begin(opened))
            if isinstance(event, h11.Data):
                for piece in splitter.feed(bytes(event.data)):
                    await self._pass_event(opened, piece)

    def _next_patience(self) -> timeouts.AnswerTimeouts | None:
        if self.sender.runs_left < 1:
            return None
        return timeouts.next_event_timeouts(self.req.route.event_gap_target_s or DEFAULT_PAUSE_S)

    async def _begin(self, opened: attempt.OpenedAnswer) -> bool:
        await self.responder.begin_stream(opened.head)
        return True

    async def _pass_event(self, opened: attempt.OpenedAnswer, piece: sse.Event) -> None:
        if self._sequence.has_gap(piece):
            raise http1.ResponseBroken(f"events missing before {piece.id}")
        now = self.now
        self._time_event(opened.attempt, now)
        if not self._sequence.accepts(piece):
            return
        if not self.responder.begun:
            await self._begin(opened)
            self.ctx.latencies.record("first_event", now - self.req.received_at)
        await self.responder.send_piece(piece.data)

    def _time_event(self, run: attempt.Attempt, now: float) -> None:
        """Learn from when an event came."""
        engine_id, model = run.state.engine.id, run.model
        if self._count == 0:
            self._first_event_at = now
            self.ctx.speeds.note_first(engine_id, model, now - run.sent_at, now)
        else:
            self.ctx.speeds.note_gap(engine_id, model, now - self._last_event_at, now)
        self._last_event_at = now
        self._count += 1

    def _timing(self, opened: attempt.OpenedAnswer) -> baselines.Timing:
        first_s = (self._first_event_at or self.now) - opened.attempt.sent_at
        per_event_s = 0.0
        if self._count >= LEAST_EVENTS_TO_TIME:
            per_event_s = (self._last_event_at - self._first_event_at) / (self._count - 1)
        return baselines.Timing(first_s, per_event_s)

    def _conclude(self, opened: attempt.OpenedAnswer, whole: bool) -> None:
        """Judge the run, and give its connection back or close it."""
        timing = self._timing(opened)
        state, model = opened.attempt.state, opened.attempt.model
        plan = self.ctx.plan_for(self.req.service)
        on_trial = plan.trial is not None and state.engine.version == plan.trial
        # Routes differ in the size of their prompts, so each has its own usual times.
        slow = self.ctx.norms.is_slow(self.req.route.name, model, timing)
        if whole and not on_trial:
            self.ctx.norms.note(self.req.route.name, model, timing)
        if whole:
            self.ctx.strikes.clear(self.req.fingerprint)
            self.ctx.speeds.note_events(self.req.route.name, self._count)
            state.health.note_answer(timing.first_s)
            paced = timing.per_event_s > 0.0
            quick = paced and self.ctx.norms.is_quick(self.req.route.name, model, timing)
            result = rollouts.Evidence(1, 0, int(slow), int(slow or paced), int(paced), int(quick))
            self.ctx.note_result(self.req.service, state.engine.version, result)
            opened.attempt.end_whole(opened.head)
        else:
            self.note_result(opened, False, timing.first_s)
            opened.attempt.end()
        self.sender.note_session()
