"""Relays event streams, with model cascades before the first event and resumption after a break."""

import asyncio

import h11

from berylrock.adapters import http1
from berylrock.daemons.gateway import attempt, forwarding
from berylrock.ops import (
    baselines,
    buffering,
    enginestate,
    enginework,
    latency,
    pressure,
    rollouts,
    routecascade,
    sse,
    timeouts,
)

__all__ = ["StreamForwarding"]

# Share of the retry budget that escalations of cascades leave to retries after failures.
ESCALATION_RESERVE = 0.2
DEFAULT_EVENT_GAP_S = 2.0
MIN_TIMED_EVENTS = 4
MS_PER_S = 1000.0
# Events after which the pace of a stream is known. A slow version's streams end too late for that.
PACE_EVENTS = 6


class StreamForwarding(forwarding.Forwarding):
    """Forwards a request whose response is a stream of events."""

    def _begin_request(self) -> None:
        self._sequence = sse.EventSequence(self.req.head.last_event)
        self._step = self._first_step()
        self._next_step = self._step
        self._first_event_at = 0.0
        self._last_event_at = 0.0
        self._progress_at = 0.0
        self._event_count = 0

    def _first_step(self) -> routecascade.Step:
        """Return the first step of the cascade; long prompts may skip the smallest model."""
        route = self.req.route
        step = routecascade.first_step(route, self.dispatcher.attempts_left)
        if step.last:
            return step
        largest = routecascade.next_steps(route)[0]
        usual_s = self.ctx.baselines.usual_first_part_s(route.name, step.model)
        small_s = max(usual_s, self._reading_s(step.model))
        large_s = self._reading_s(largest.model)
        limit_s = latency.first_event_limit_s(route.latency_target_s, route.priority)
        wait_s = self.dispatcher.engine_wait_s()
        if not routecascade.leaves_no_time(small_s, large_s, limit_s, wait_s):
            return step
        if not self._meets_deadlines(largest.model):
            return step
        self.ctx.log.write(
            "step_skipped",
            request=self.req.head.id,
            model=largest.model,
            small_s=round(small_s, 2),
            large_s=round(large_s, 2),
            wait_ms=int(wait_s * MS_PER_S),
        )
        return largest

    def _reading_s(self, model: str) -> float:
        """Predict the time in which a model reads the request's prompt on an idle engine."""
        service = self.ctx.table.services.get(self.req.service) if self.ctx.table else None
        work = enginework.estimate(self.req.head, service, model).prefill
        return self.ctx.latency_estimator.predict_work(self.req.service, work)

    async def run(self) -> None:
        """Forward the stream; resume it on another engine after a break, if attempts are left."""
        self._begin_request()
        while True:
            opened = await self._open()
            if opened is None:
                return await self._end_without_response()
            if not self._is_stream(opened):
                body = await self._read_body(opened)
                if body is None or self.should_fail_over(opened):
                    continue
                if self.responder.begun:
                    return await self._end_without_response()
                return await self.responder.send_response(opened.head, body)
            if not self.responder.begun and not self._accepts(opened):
                self._escalate(opened)
                continue
            if await self._relay(opened):
                return await self.responder.end_stream()

    async def _end_without_response(self) -> None:
        if self.responder.begun:
            self.responder.abort(self.dispatcher.last_reason or "no engine left")
        else:
            await self.refuse()

    async def _open(self) -> attempt.OpenedResponse | None:
        """Open a response on an engine; None if no engine, attempt or retry is left."""
        while self.dispatcher.attempts_left and self.now < self.req.expires_at:
            if not self.dispatcher.spend_retry():
                self.dispatcher.last_reason = "retry budget spent"
                return None
            state = await self.find_engine(self._step.model)
            # While the request waited, it may have become known to crash engines.
            if state is None or not self.dispatcher.attempts_left:
                return None
            result = await self.dispatcher.send(
                state, self._step.model, self._sequence.last, self.response_start_timeouts()
            )
            if isinstance(result, attempt.OpenedResponse):
                return result
            self._record_failure(state, result)
        return None

    @staticmethod
    def _is_stream(opened: attempt.OpenedResponse) -> bool:
        kinds = [value for name, value in opened.head.headers if name.lower() == b"content-type"]
        return opened.head.status < 300 and any(b"event-stream" in kind for kind in kinds)

    def _accepts(self, opened: attempt.OpenedResponse) -> bool:
        """Tell whether to pass a response on, in place of asking a larger model."""
        if self._step.last:
            return True
        accepted = routecascade.accepts(
            self._step,
            opened.head.confidence,
            self.now - self.req.received_at,
            self.req.route.latency_target_s,
            self.dispatcher.attempts_left,
        )
        if accepted:
            return True
        if self._yields(opened):
            return self._keep_low_confidence(opened, "engines are needed by others")
        for step in routecascade.next_steps(self.req.route):
            obstacle = self.dispatcher.failover_obstacle(step.model, ESCALATION_RESERVE)
            if obstacle:
                return self._keep_low_confidence(opened, obstacle)
            if self._meets_deadlines(step.model):
                self._next_step = step
                return False
        return self._keep_low_confidence(opened, "every larger model would be late")

    def _yields(self, opened: attempt.OpenedResponse) -> bool:
        """Tell whether to leave larger models to more urgent requests while engines are busy."""
        table = self.ctx.table
        if self.req.rank is None or opened.head.confidence is None or table is None:
            return False
        needed = pressure.needed_confidence(
            routecascade.MIN_CONFIDENCE,
            self.dispatcher.engine_wait_s(),
            table.longest_target_s(self.req.service),
            self.req.route.priority,
        )
        return opened.head.confidence >= needed

    def _keep_low_confidence(self, opened: attempt.OpenedResponse, reason: str) -> bool:
        """Log that a response of low confidence is passed on, and why; returns True."""
        self.ctx.meter.count("kept_unsure")
        self.ctx.log.write(
            "step_kept",
            request=self.req.head.id,
            model=self._step.model,
            confidence=opened.head.confidence,
            reason=reason,
            wait_ms=int(self.dispatcher.engine_wait_s() * MS_PER_S),
        )
        return True

    def _meets_deadlines(self, model: str) -> bool:
        """Predict whether a model would respond in time, on the engine that it would get."""
        state = self.dispatcher.choose(model)
        if state is None:
            return False
        ctx, now = self.ctx, self.now
        return latency.meets_deadlines(
            self._predict(state, model),
            ctx.latency_estimator.expected_events(self.req.route.name),
            now - self.req.received_at,
            self.req.route.latency_target_s,
            self.req.expires_at - now,
            self.req.route.priority,
        )

    def _predict(self, state: enginestate.EngineState, model: str) -> baselines.Timing:
        """Predict the times of a response of a model on an engine."""
        ctx, now = self.ctx, self.now
        usual = ctx.latency_estimator.predict(state.engine.id, model, now)
        service = ctx.table.services.get(self.req.service) if ctx.table is not None else None
        own = enginework.estimate(self.req.head, service, model).prefill
        others = ctx.load_view.peer_load(state.engine.id, now)
        ahead = own + state.work + others.work
        reading_s = ctx.latency_estimator.predict_work(self.req.service, ahead)
        return baselines.Timing(max(usual.first_part_s, reading_s), usual.event_gap_s)

    def _escalate(self, opened: attempt.OpenedResponse) -> None:
        """Drop a response of low confidence, and ask the larger model that was chosen."""
        opened.attempt.end()
        # A dropped response still shows how fast its engine is, and counts as no failure.
        timing = baselines.Timing(opened.at - opened.attempt.sent_at, 0.0)
        slow = self.ctx.baselines.is_slow(self.req.route.name, self._step.model, timing)
        version = opened.attempt.state.engine.version
        # The time to the first event alone can show that a stream is slow, but not that it is not.
        result = rollouts.Evidence(1, slow=int(slow), timed=int(slow))
        self._add_evidence(version, result)
        self.ctx.log.write(
            "step_up",
            request=self.req.head.id,
            model=self._step.model,
            confidence=opened.head.confidence,
            next_model=self._next_step.model,
            wait_ms=int(self.dispatcher.engine_wait_s() * MS_PER_S),
        )
        self._step = self._next_step

    async def _relay(self, opened: attempt.OpenedResponse) -> bool:
        """Relay the events of a response; returns whether the stream was complete."""
        self._first_event_at = self._last_event_at = 0.0
        self._event_count = 0
        splitter = sse.EventSplitter(buffering.Hold(self.ctx.buffers))
        try:
            complete = await self._relay_events(opened, splitter)
        except buffering.BodyGivenUp as exc:
            self._end_given_up(opened, exc)
            return False
        except (
            attempt.DeadlineExceeded,
            attempt.EngineTooSlow,
            http1.ResponseBroken,
            sse.EventTooLong,
        ) as exc:
            self.dispatcher.last_reason = f"stream broke: {exc}"
            if isinstance(exc, http1.ResponseBroken):
                opened.attempt.record_broken()
            complete = False
        except (asyncio.CancelledError, http1.CallerGone):
            opened.attempt.end()
            raise
        except Exception as exc:
            opened.attempt.log_error(exc)
            self.dispatcher.last_reason = f"internal error: {exc!r}"
            complete = False
        finally:
            splitter.close()
        self._finish_attempt(opened, complete)
        return complete

    async def _relay_events(
        self, opened: attempt.OpenedResponse, splitter: sse.EventSplitter
    ) -> bool:
        self._progress_at = self.now
        while True:
            part = await opened.attempt.next_part(
                self._next_event_timeouts(opened), self._progress_at
            )
            if isinstance(part, h11.EndOfMessage):
                obstacle = self._incomplete_reason(opened, splitter)
                if obstacle:
                    self.dispatcher.last_reason = obstacle
                    return False
                return self.responder.begun or await self._begin(opened)
            if isinstance(part, h11.Data):
                for event in splitter.feed(bytes(part.data)):
                    await self._relay_event(opened, event)

    def _incomplete_reason(
        self, opened: attempt.OpenedResponse, splitter: sse.EventSplitter
    ) -> str:
        """Return why a stream that has ended is not complete; empty if it is."""
        if splitter.rest:
            return "stream ended within an event"
        # A connection that closes right after the head looks the same as an empty body.
        if not opened.head.framed and not self._event_count:
            return "stream ended before its first event"
        return ""

    def _next_event_timeouts(
        self, opened: attempt.OpenedResponse
    ) -> timeouts.ResponseTimeouts | None:
        if self.dispatcher.attempts_left < 1:
            return None
        current = opened.attempt
        usual = self.ctx.latency_estimator.predict(current.state.engine.id, current.model, self.now)
        target_s = self.req.route.event_gap_target_s or DEFAULT_EVENT_GAP_S
        return timeouts.next_event_timeouts(target_s, usual.event_gap_s)

    async def _begin(self, opened: attempt.OpenedResponse) -> bool:
        """Send the head of the stream; returns True, for use in conditions."""
        await self.responder.begin_stream(opened.head)
        return True

    async def _relay_event(self, opened: attempt.OpenedResponse, event: sse.Event) -> None:
        if self._sequence.has_gap(event):
            raise http1.ResponseBroken(f"events missing before {event.id}")
        now = self.now
        self._record_event_time(opened.attempt, now)
        if not self._sequence.advance(event):
            return
        if event.is_useful:
            self._progress_at = now
        if not self.responder.begun:
            await self._begin(opened)
            self.ctx.latency_histograms.record("first_event", now - self.req.received_at)
        await self.responder.send_chunk(event.data)

    def _record_event_time(self, current: attempt.Attempt, now: float) -> None:
        """Update the times of the engine and model with the arrival of an event."""
        engine_id, model = current.state.engine.id, current.model
        if self._event_count == 0:
            self._first_event_at = now
            seconds = now - current.sent_at
            self.ctx.latency_estimator.record_first_event(engine_id, model, seconds, now)
            self.ctx.latency_estimator.record_work(self.req.service, current.work_ahead, seconds)
        else:
            self.ctx.latency_estimator.record_event_gap(
                engine_id, model, now - self._last_event_at, now
            )
        self._last_event_at = now
        self._event_count += 1
        if self._event_count == PACE_EVENTS:
            self._record_pace(current, self._measure_timing(current))

    def _record_pace(self, current: attempt.Attempt, timing: baselines.Timing) -> None:
        """Add to the evidence about a version whether a stream is quick, or crawls."""
        usual, route = self.ctx.baselines, self.req.route.name
        quick = usual.is_quick(self._pace_key(current.model), timing)
        crawling = usual.is_crawling(route, current.model, timing)
        result = rollouts.Evidence(paced=1, quick=int(quick), crawling=int(crawling))
        self._add_evidence(current.state.engine.version, result)

    def _pace_key(self, model: str) -> baselines.PaceKey:
        route = "" if model else self.req.route.name
        return baselines.PaceKey(self.req.service, model, route)

    def _measure_timing(self, current: attempt.Attempt) -> baselines.Timing:
        """Return the time to the first event and the mean gap; 0 as gap if events are too few."""
        first_part_s = (self._first_event_at or self.now) - current.sent_at
        event_gap_s = 0.0
        if self._event_count >= MIN_TIMED_EVENTS:
            event_gap_s = (self._last_event_at - self._first_event_at) / (self._event_count - 1)
        return baselines.Timing(first_part_s, event_gap_s)

    def _finish_attempt(self, opened: attempt.OpenedResponse, complete: bool) -> None:
        """Record the result of an attempt, and release or close its connection."""
        timing = self._measure_timing(opened.attempt)
        state, model = opened.attempt.state, opened.attempt.model
        plan = self.ctx.plan_for(self.req.service)
        on_trial = plan.trial is not None and state.engine.version == plan.trial
        # Prompt sizes differ between routes, so each route has its own baseline.
        slow = self.ctx.baselines.is_slow(self.req.route.name, model, timing)
        if complete and not on_trial:
            self.ctx.baselines.record(self.req.route.name, model, timing)
            self.ctx.baselines.record_pace(self._pace_key(model), timing.event_gap_s)
        if complete:
            opened.attempt.record_ended(self._first_event_at or self.now, complete=True)
            self.ctx.latency_estimator.record_event_count(self.req.route.name, self._event_count)
            state.health.record_response(timing.first_part_s)
            paced = timing.event_gap_s > 0.0
            if paced and self._event_count < PACE_EVENTS:
                self._record_pace(opened.attempt, timing)
            # Without a measured time between events, a stream counts as timed only if it was slow.
            result = rollouts.Evidence(1, slow=int(slow), timed=int(slow or paced))
            self._add_evidence(state.engine.version, result)
            opened.attempt.end_complete(opened.head)
        else:
            self.record_result(opened, False, timing.first_part_s)
            opened.attempt.end()
