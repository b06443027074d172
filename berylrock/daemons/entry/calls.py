"""Forwards calls to plain services: repeatable calls with retries, all others at most once."""

import asyncio
import secrets
import time
from typing import NamedTuple

from berylrock.core import errors, message, metrics
from berylrock.daemons.entry import attempts, completions, context, outcome, placement, request
from berylrock.ops import claims

__all__ = ["Answer", "CallRunner"]

CLAIM_TOKEN_BYTES = 12
CLAIM_POLL_SECONDS = 0.2
CLAIM_GRACE_SECONDS = 10.0
KEY_REUSED = "this Idempotency-Key was used for another request; use a new one"


class Answer(NamedTuple):
    """An answer of a plain service.

    Attributes:
      status: HTTP status.
      headers: Header lines.
      body: The body.
      replayed: Whether this is the stored answer of an earlier request with the same key.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes
    replayed: bool = False


class _Running(NamedTuple):
    """A call that runs at most once and is running in this process.

    Attributes:
      task: The task that runs it.
      fingerprint: Digest of its content; another call with the same key must have the same.
      callers: Those that wait for its answer.
    """

    task: asyncio.Task[Answer]
    fingerprint: str
    callers: list[request.Caller]


class CallRunner:
    """Runs calls to plain services."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._running: dict[str, _Running] = {}

    @property
    def busy(self) -> bool:
        """Whether calls that run at most once are running here or have unsettled claims."""
        return bool(self._running) or self._ctx.claims.unsettled > 0

    async def run(self, req: request.ServiceCall) -> Answer:
        """Run a call.

        Args:
          req: The call.

        Returns:
          The answer.

        Raises:
          NotRun: The call ran nowhere.
          Unknown: The call may have run, and is not repeated.
        """
        deadline = asyncio.get_running_loop().time() + req.caller.timeout_seconds
        if req.repeatable:
            return await self._run_repeatable(req, deadline)
        return await self._run_once(req, deadline)

    def _start(self, req: request.ServiceCall, claim: str = "") -> message.Start:
        return message.Start(
            request_id=req.caller.request_id,
            organisation=req.caller.organisation.name,
            target=req.service.name,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            priority=req.caller.priority,
            fingerprint=req.fingerprint,
            repeatable=req.repeatable,
            claim=claim,
            billing_key=completions.make_billing_key(req.caller, req.fingerprint),
        )

    async def _place(
        self,
        start: message.Start,
        pool: str,
        deadline: float,
        failed_servers: set[str],
        callers: list[request.Caller],
    ) -> placement.SentAttempt:
        def is_wanted() -> bool:
            return any(item.is_connected() for item in callers)

        try:
            return await self._ctx.placer.place(start, pool, deadline, failed_servers, is_wanted)
        except placement.VersionNotUsable as exc:
            raise outcome.NotRun(
                403, "not_allowed", "the service is no longer configured; ask the operators"
            ) from exc

    async def _run_repeatable(self, req: request.ServiceCall, deadline: float) -> Answer:
        failed_servers: set[str] = set()
        may_have_run = False
        while True:
            try:
                placed = await self._place(
                    self._start(req), req.service.pool, deadline, failed_servers, [req.caller]
                )
            except outcome.NotRun as exc:
                if may_have_run:
                    raise outcome.Unknown(502, "no_answer", exc.detail) from exc
                raise
            may_have_run = True
            end, body = await _collect_answer(placed)
            if isinstance(end, message.End) and end.outcome == message.Outcome.DONE:
                self._bill(placed)
                placed.attempt.close()
                return Answer(end.status, end.headers, body)
            placed.attempt.close()
            failed_servers.add(placed.server_link.server.name)
            self._check_retry(req, placed, end, deadline)

    def _check_retry(
        self,
        req: request.ServiceCall,
        placed: placement.SentAttempt,
        end: attempts.Frame,
        deadline: float,
    ) -> None:
        ctx = self._ctx
        detail = getattr(end, "detail", "")
        ctx.runtime.log.write(
            "attempt_failed",
            request=req.caller.request_id,
            attempt=placed.attempt.start.attempt,
            server=placed.server_link.server.name,
            detail=detail,
        )
        deadline_passed = asyncio.get_running_loop().time() >= deadline
        if (
            deadline_passed
            or ctx.runtime.strikes.is_quarantined(req.fingerprint)
            or not ctx.budget.take()
        ):
            raise outcome.Unknown(502, "no_answer", f"{detail}; the call may be sent again")
        ctx.runtime.meter.count(metrics.Metrics.RETRIES)

    def _bill(self, placed: placement.SentAttempt) -> None:
        start = placed.attempt.start
        bill = message.Bill(
            start.billing_key, start.request_id, start.attempt, start.organisation, start.target
        )
        self._ctx.ledger.add(bill, placed.server_link.sidecar_id)

    async def _run_once(self, req: request.ServiceCall, deadline: float) -> Answer:
        key = req.caller.idempotency_key or f"request:{req.caller.request_id}"
        name = claims.claim_name(req.caller.organisation.name, key)
        running = self._running.get(name)
        if running is not None and running.fingerprint != req.fingerprint:
            raise outcome.NotRun(422, "key_reused", KEY_REUSED)
        if running is not None:
            running.callers.append(req.caller)
        task = running.task if running else await self._claim(req, name, deadline)
        if isinstance(task, claims.ClaimResult):
            return await self._wait_for_claim(req, name, task.claim, deadline)
        # The task is not cancelled when the caller disconnects or the deadline passes, because the
        # call may already have taken effect. Before that, it ends by itself once all callers left.
        loop = asyncio.get_running_loop()
        done, _ = await asyncio.wait([task], timeout=max(0.0, deadline - loop.time()))
        if not done:
            raise outcome.Unknown(
                504,
                "deadline_passed",
                "the call may still run; repeat it with the same Idempotency-Key for its answer",
            )
        return task.result()

    async def _claim(
        self, req: request.ServiceCall, name: str, deadline: float
    ) -> asyncio.Task[Answer] | claims.ClaimResult:
        """Acquire the claim and start the run.

        Returns:
          The task that runs the call, or the stored claim if another request has acquired it.

        Raises:
          NotRun: The object API is unavailable, so the claim cannot be stored.
        """
        now = time.time()
        wanted = claims.Claim(
            secrets.token_hex(CLAIM_TOKEN_BYTES),
            "claimed",
            req.caller.request_id,
            req.fingerprint,
            deadline=now + req.caller.timeout_seconds,
            expires=now + claims.RETENTION_SECONDS,
        )
        try:
            held = await self._ctx.claims.acquire(name, wanted)
        except errors.StoreUnavailable as exc:
            detail = f"the claim cannot be stored, so the call was not run; try again: {exc}"
            raise outcome.NotRun(503, "store_unavailable", detail) from exc
        if not held.acquired:
            return held
        callers = [req.caller]
        task = asyncio.ensure_future(self._execute(req, name, held.claim, deadline, callers))
        self._running[name] = _Running(task, req.fingerprint, callers)
        task.add_done_callback(lambda _task: self._on_run_done(name, _task))
        return task

    def _on_run_done(self, name: str, task: asyncio.Task[Answer]) -> None:
        self._running.pop(name, None)
        if not task.cancelled():
            # Retrieve the exception, so that asyncio does not log one that nobody awaits.
            task.exception()

    async def _execute(
        self,
        req: request.ServiceCall,
        name: str,
        claim: claims.Claim,
        deadline: float,
        callers: list[request.Caller],
    ) -> Answer:
        ctx = self._ctx
        start = self._start(req, f"{name}:{claim.token}")
        try:
            placed = await self._place(start, req.service.pool, deadline, set(), callers)
        except outcome.NotRun:
            await ctx.claims.settle(name, claim, claims.with_state(claim, "released"))
            raise
        end, body = await _collect_answer(placed)
        if isinstance(end, message.End) and end.outcome == message.Outcome.DONE:
            self._bill(placed)
            final = claims.finish_claim(claim, end.status, end.headers, body)
            await ctx.claims.settle(name, claim, final)
            placed.attempt.close()
            return Answer(end.status, end.headers, body)
        detail = getattr(end, "detail", "")
        ctx.runtime.meter.count(metrics.Metrics.OUTCOME_UNKNOWN)
        if isinstance(end, message.End):
            # An attempt that was lost without an ``End`` frame leaves the claim unchanged: the
            # sidecar may still hand over the answer.
            await ctx.claims.settle(name, claim, claims.with_state(claim, "unknown"))
        raise outcome.Unknown(
            502, "outcome_unknown", f"{detail}; not repeated, check its effect at the service"
        )

    async def _wait_for_claim(
        self, req: request.ServiceCall, name: str, claim: claims.Claim, deadline: float
    ) -> Answer:
        """Wait for the outcome of the request that holds the claim, and answer with it.

        Args:
          req: The call, whose key the other request has used too.
          name: Name of the claim.
          claim: The claim as stored.
          deadline: Event-loop time until which the caller waits.

        Returns:
          The stored answer.

        Raises:
          NotRun: The other request was not run, or it had other content.
          Unknown: The other request may have run, or its answer was not kept. That holds too if its
            claim is gone: only the platform can have lost it.
        """
        loop = asyncio.get_running_loop()
        while True:
            if claim.fingerprint != req.fingerprint:
                raise outcome.NotRun(422, "key_reused", KEY_REUSED)
            if claim.state == "done" and not claim.truncated:
                return Answer(claim.status, claim.headers, claim.body, replayed=True)
            if claim.state == "done":
                detail = "the call ran; its answer was too large to store, so check at the service"
                raise outcome.Unknown(502, "answer_not_kept", detail)
            if claim.state == "released":
                detail = "the call was not run; send it again"
                raise outcome.NotRun(503, "not_run", detail)
            expired = time.time() > claim.deadline + CLAIM_GRACE_SECONDS
            if claim.state == "unknown" or expired or loop.time() >= deadline:
                detail = "an earlier request with this key may have run; check at the service"
                raise outcome.Unknown(502, "outcome_unknown", detail)
            await asyncio.sleep(CLAIM_POLL_SECONDS)
            try:
                claim = await self._ctx.claims.read(name)
            except errors.NotFound:
                detail = "the claim on this key is gone; the call may have run; check it"
                raise outcome.Unknown(502, "outcome_unknown", detail) from None
            except errors.StoreUnavailable:
                continue

    async def store_abandoned_outcome(self, msg: message.OutcomeLeft) -> bool:
        """Store the answer of a call whose entry process is gone.

        Args:
          msg: The answer and its claim, as the sidecar hands them over.

        Returns:
          Whether the sidecar may discard the answer: it is stored or no longer needed.
        """
        name, _, token = msg.claim.partition(":")
        try:
            claim = await self._ctx.claims.read(name)
        except errors.NotFound:
            return True
        except errors.StoreUnavailable:
            return False
        if claim.token != token or claim.state == "done":
            return True
        final = claims.finish_claim(claim, msg.status, msg.headers, msg.body)
        await self._ctx.claims.settle(name, claim, final)
        self._ctx.runtime.log.write("outcome_taken_over", request=claim.request_id)
        return True


async def _collect_answer(placed: placement.SentAttempt) -> tuple[attempts.Frame, bytes]:
    """Wait for the last frame of an attempt and join its chunks.

    Returns:
      The last frame, and the body.
    """
    body: list[bytes] = []
    frame = placed.first
    while isinstance(frame, message.Chunk):
        body.append(frame.data)
        placed.attempt.acknowledge(frame)
        frame = await placed.attempt.next_frame()
    return frame, b"".join(body)
