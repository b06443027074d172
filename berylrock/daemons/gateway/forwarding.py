"""Forwards one request to engines, with retries, until its caller has a response."""

import asyncio
import math

from berylrock.adapters import bodies, http1
from berylrock.core import routing
from berylrock.daemons.gateway import (
    attempt,
    context,
    pool,
    responding,
    sending,
)
from berylrock.ops import (
    baselines,
    buffering,
    enginestate,
    evidence,
    notices,
    rollouts,
    timeouts,
)

__all__ = ["Forwarding"]

MAX_RESPONSE_BYTES = 8_388_608
# Pause for an engine for whose responses there is no memory.
NO_MEMORY_PAUSE_S = 0.5
OK, NO_CONTENT, MULTIPLE_CHOICES, SERVER_ERROR = 200, 204, 300, 500
# Time between two looks for an engine that is free, and while all of them want a pause or are at
# their limits, in seconds.
ENGINE_WAIT_STEP_S, PAUSE_WAIT_STEP_S = 0.015, 0.1
RETRY_AFTER_S = 0.4
# Callers that are refused because of pauses or limits come back within this share of it, after
# its end.
PAUSE_SPREAD_SHARE = 0.25


class Forwarding:
    """Forwards a request that has one complete response, with retries on other engines.

    Attributes:
      dispatcher: Chooses engines and counts attempts.
      ctx: State of the gateway.
      req: The request.
      responder: Sends the response to the caller.
    """

    def __init__(
        self,
        ctx: context.Context,
        conns: pool.ConnectionPool,
        req: routing.Request,
        responder: responding.Responder,
    ) -> None:
        self.dispatcher = sending.Dispatcher(ctx, conns, req)
        self.ctx = ctx
        self.req = req
        self.responder = responder
        self._body: buffering.Body | None = None
        self._errors = evidence.RequestErrors()

    @property
    def now(self) -> float:
        """Time on the event loop's clock, in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def may_be_cancelled(self) -> bool:
        """Whether the request may be dropped once its caller has left.

        One that may not be repeated and that an engine may have got goes on, so that its outcome is
        known. A stream is of no use without its caller.
        """
        route = self.req.route
        is_kept = not routing.is_repeatable(route) and route.kind != "stream"
        return not (is_kept and self.dispatcher.is_at_engine)

    async def find_engine(self, model: str) -> enginestate.EngineState | None:
        """Choose an engine, waiting briefly for one that can take the request; None if none can.

        While all engines want a pause, the request waits for the first one that ends in time. If
        all are at their limits, it waits no longer than for engines that are busy for a moment.
        """
        may_have_run = self.dispatcher.attempts_run > 0
        wait_s = timeouts.engine_wait_s(self.req.route.latency_target_s, may_have_run)
        until = first_until = self.now + wait_s
        usual_s = self.ctx.baselines.usual_first_part_s(self.req.route.name, model)
        while True:
            state = self.dispatcher.choose(model)
            if state is not None:
                return state
            if not may_have_run and self.dispatcher.has_tried_all:
                return None
            obstacle = self.dispatcher.find_obstacle()
            if obstacle is not None:
                until = self._wait_until(obstacle, first_until, wait_s, usual_s)
            if self.now >= min(until, self.req.expires_at):
                return None
            left_s = 0.0 if obstacle is None else obstacle.ends_at - self.now
            await asyncio.sleep(min(PAUSE_WAIT_STEP_S, max(ENGINE_WAIT_STEP_S, left_s)))

    def _wait_until(
        self, obstacle: notices.Obstacle, until: float, wait_s: float, usual_s: float
    ) -> float:
        if obstacle.is_pause:
            return timeouts.wait_for_pause(obstacle.ends_at, wait_s, usual_s, self.req.expires_at)
        return timeouts.wait_for_limit(obstacle.ends_at, until)

    def response_start_timeouts(self) -> timeouts.ResponseTimeouts | None:
        """Return how long to wait for the response to begin; None to stay with the engine."""
        if not routing.is_repeatable(self.req.route) or self.dispatcher.attempts_left < 2:
            return None
        return timeouts.response_start_timeouts(self.req.route.latency_target_s)

    async def refuse(self) -> None:
        """Send the caller an error; a 503 only if no engine can have run the request."""
        if self.now >= self.req.expires_at and self.dispatcher.attempts_run:
            await self.responder.refuse(
                504, f"timeout; last failure: {self.dispatcher.last_reason or 'none'}"
            )
        elif self.dispatcher.attempts_run:
            await self.responder.refuse(502, f"failed: {self.dispatcher.last_reason}")
        elif self.dispatcher.crashes_engines:
            await self.responder.refuse(503, "crashes engines", self.dispatcher.trial_in_s())
        else:
            reason = self.dispatcher.last_reason or "no engine can take it"
            await self.responder.refuse(503, reason, self._retry_after_s())

    async def end_failed(self, exc: Exception) -> None:
        """Send a final answer, if none has begun, after an error without any other handling."""
        if self.responder.begun:
            self.responder.abort(f"internal error: {exc!r}")
        else:
            await self._end_unanswered(502, f"internal error: {exc!r}")

    async def end_stopped(self) -> None:
        """Send a final answer, if none has begun, as the gateway stops before the request ends."""
        if self.responder.begun:
            return
        self.responder.closes = True
        await self._end_unanswered(504, "gateway stopped")

    async def _end_unanswered(self, status: int, reason: str) -> None:
        """Send an error with this status, or a 503 if no engine can have run the request."""
        if self.dispatcher.attempts_run:
            await self.responder.refuse(status, reason)
        else:
            await self.responder.refuse(503, reason, RETRY_AFTER_S)

    def _retry_after_s(self) -> float:
        """Return when the caller should come back, spread over the time after that."""
        left_s = self._obstacle_left_s()
        spread_s = max(RETRY_AFTER_S, PAUSE_SPREAD_SHARE * left_s)
        return left_s + RETRY_AFTER_S * 0.5 + spread_s * self.ctx.rng.random()

    def _obstacle_left_s(self) -> float:
        """Return the seconds until an engine may get a request, if pauses or limits prevent it."""
        obstacle = self.dispatcher.find_obstacle_to_return()
        if obstacle is None:
            return 0.0
        if math.isinf(obstacle.ends_at):
            # Only other gateways may send to the engines, and a caller that returns may reach them.
            return 1.0 / self.dispatcher.sum_limits()
        return max(0.0, obstacle.ends_at - self.now)

    def record_result(
        self, opened: attempt.OpenedResponse, good: bool, first_part_s: float
    ) -> None:
        """Record how a response ended as evidence about its engine and version.

        Args:
          opened: The response.
          good: Whether it was complete and no server error.
          first_part_s: Seconds from sending the request until the response began.
        """
        state = opened.attempt.state
        if good:
            opened.attempt.record_ended(opened.attempt.sent_at, complete=True)
            state.health.record_response(first_part_s)
        else:
            state.health.record_failure(self.now)
        version = state.engine.version
        slow = good and self._record_timing(version, first_part_s)
        # Fields: answers, errors, slow, timed.
        result = rollouts.Evidence(1, int(not good), int(slow), int(good))
        self._add_evidence(version, result)

    def _add_evidence(self, version: str, result: rollouts.Evidence) -> None:
        """Add the result of an attempt to the evidence about a version, if it says anything new."""
        if self._errors.is_new(version, result):
            self.ctx.add_evidence(self.req, version, result)

    def _record_timing(self, version: str, first_part_s: float) -> bool:
        """Record the time of a response, and return whether it was slow.

        Responses of a version on trial do not update the baseline.
        """
        timing = baselines.Timing(first_part_s, 0.0)
        slow = self.ctx.baselines.is_slow(self.req.route.name, "", timing)
        if version != self.ctx.plan_for(self.req.service).trial:
            self.ctx.baselines.record(self.req.route.name, "", timing)
        return slow

    async def run(self) -> None:
        """Forward the request and send its response, or an error, to the caller."""
        while True:
            if not self.dispatcher.attempts_left or not self.dispatcher.spend_retry():
                return await self.refuse()
            state = await self.find_engine(self.req.head.model)
            # While the request waited, it may have become known to crash engines.
            if state is None or not self.dispatcher.attempts_left:
                return await self.refuse()
            if self.now >= self.req.expires_at:
                return await self.refuse()
            result = await self.dispatcher.send(
                state, "", self.req.head.last_event, self.response_start_timeouts()
            )
            if isinstance(result, attempt.Failure):
                self._record_failure(state, result)
                continue
            body = await self._read_body(result)
            if body is None:
                continue
            if self.should_fail_over(result):
                continue
            return await self.responder.send_response(result.head, body)

    def _record_failure(self, state: enginestate.EngineState, failure: attempt.Failure) -> None:
        if failure.may_have_run:
            timed_out = failure.reason == attempt.TIMED_OUT
            # Fields: answers, errors, slow, timed.
            result = rollouts.Evidence(1, int(not timed_out), int(timed_out), int(timed_out))
            self._add_evidence(state.engine.version, result)
        self._log_attempt_failed(state, failure.reason, failure.may_have_run)

    def _log_attempt_failed(
        self, state: enginestate.EngineState, reason: str, may_have_run: bool
    ) -> None:
        self.ctx.log.write(
            "attempt_failed",
            request=self.req.head.id,
            engine=state.engine.id,
            reason=reason,
            may_have_run=may_have_run,
        )

    def should_fail_over(self, opened: attempt.OpenedResponse) -> bool:
        """Decide whether to retry on another engine in place of passing this response on.

        If so, the attempt is logged as failed.
        """
        status = opened.head.status
        if status < SERVER_ERROR or not self.dispatcher.attempts_left:
            return False
        if not routing.is_repeatable(self.req.route):
            return False
        self._log_attempt_failed(opened.attempt.state, f"answered {status}", True)
        return True

    def release_body(self) -> None:
        """Give back the bytes of the body that was read for this request."""
        if self._body is not None:
            self._body.release()

    def _check_end(self, opened: attempt.OpenedResponse, body: bytes) -> None:
        """Raise ``ResponseBroken`` if a body that has ended may have been cut before its begin.

        A connection that closes right after the head of a success, which names no length, looks the
        same as an empty body.
        """
        head, method = opened.head, self.req.head.method
        succeeded = OK <= head.status < MULTIPLE_CHOICES and head.status != NO_CONTENT
        if succeeded and not head.framed and not body and method != "HEAD":
            raise http1.ResponseBroken("response ended right after its head")

    async def _read_body(self, opened: attempt.OpenedResponse) -> bytes | None:
        """Read the body of a response; None if it is incomplete."""
        first_part_s = opened.at - opened.attempt.sent_at
        try:
            body = await self._collect(opened)
            self._check_end(opened, body)
        except buffering.BodyGivenUp as exc:
            self._end_given_up(opened, exc)
            return None
        except (attempt.DeadlineExceeded, http1.ResponseBroken, buffering.BodyTooLarge) as exc:
            if isinstance(exc, http1.ResponseBroken):
                opened.attempt.record_broken()
            self._end_incomplete(opened, f"incomplete response: {exc}", first_part_s)
            return None
        except asyncio.CancelledError:
            opened.attempt.end()
            raise
        except Exception as exc:
            opened.attempt.log_error(exc)
            self._end_incomplete(opened, f"internal error: {exc!r}", first_part_s)
            return None
        self.record_result(opened, opened.head.status < SERVER_ERROR, first_part_s)
        opened.attempt.end_complete(opened.head)
        return body

    async def _collect(self, opened: attempt.OpenedResponse) -> bytes:
        """Read the body of a response within the limits on bodies."""
        self.release_body()
        buffers = self.ctx.buffers
        limit = min(MAX_RESPONSE_BYTES, buffers.max_body_bytes)
        self._body = buffering.Body(buffers, limit, routing.is_repeatable(self.req.route))

        async def next_part() -> http1.ResponseEvent:
            return await opened.attempt.next_part(None)

        return await bodies.read(self._body, lambda: http1.read_data(next_part))

    def _end_incomplete(
        self, opened: attempt.OpenedResponse, reason: str, first_part_s: float
    ) -> None:
        """End an attempt whose engine sent no complete response."""
        self.dispatcher.last_reason = reason
        self.record_result(opened, False, first_part_s)
        opened.attempt.end()

    def _end_given_up(self, opened: attempt.OpenedResponse, exc: buffering.BodyGivenUp) -> None:
        """End an attempt for whose response this process lacks the memory.

        The engine may be sound, so that it is paused, and not taken for one that has failed.
        """
        self.dispatcher.last_reason = f"response given up: {exc}"
        self.ctx.meter.count("bodies_given_up")
        state = opened.attempt.state
        state.health.record_busy(self.now, NO_MEMORY_PAUSE_S)
        self._log_attempt_failed(state, self.dispatcher.last_reason, True)
        opened.attempt.end()
