"""Runs attempts on the backend server and reports how each one ended."""

import asyncio
from collections.abc import AsyncIterator
from typing import NamedTuple

from berylrock.adapters import interfaces
from berylrock.core import errors, message, metrics
from berylrock.daemons import runtime
from berylrock.daemons.sidecar import backend
from berylrock.loader import settings
from berylrock.ops import admission, buffering, runs

__all__ = ["Runner", "UnstoredBill"]

READER_STALL_SECONDS = 5.0
NON_REPEATABLE_EXTRA_SECONDS = 120.0
CALL_CHUNK_BYTES = 65_536
MAX_ANSWER_BYTES = 4_000_000
STALLED = "backend server sent nothing for too long"


class UnstoredBill(NamedTuple):
    """A bill that is not known to be stored.

    Attributes:
      bill: The bill.
      owner: Name of the entry process that is to store it.
      since: Event-loop time at which this sidecar got or made it.
    """

    bill: message.Bill
    owner: str
    since: float


class Runner:
    """Runs attempts on the backend server as admission allows.

    Attributes:
      backend: The backend server.
      warmup: Tracks the server's cold start.
      admission: Limits what the server runs at a time.
      runs: The attempts that run and those that have ended but are not discarded yet, by id.
      bills: Bills of answered attempts that are not known to be stored yet, by attempt.
      strike_changes: New and cleared strikes that have not been sent to entry processes yet.
      leaving: Whether new attempts are refused because the sidecar is shutting down.
    """

    def __init__(
        self,
        cfg: settings.SidecarSettings,
        process_runtime: runtime.Runtime,
        server: backend.Backend,
        buffers: buffering.BufferBudget,
    ) -> None:
        self._cfg = cfg
        self._buffers = buffers
        self._config = process_runtime.config
        self._strikes = process_runtime.strikes
        self._log = process_runtime.log
        self._meter = process_runtime.meter
        self.backend = server
        self.warmup = server.warmup
        self.admission = admission.Admission(self.warmup, process_runtime.strikes, cfg.max_queue)
        self.runs: dict[str, runs.Run] = {}
        self.bills: dict[str, UnstoredBill] = {}
        self.strike_changes: list[message.Strikes] = []
        self.leaving = False

    def check(self, start: message.Start) -> admission.Refusal | None:
        """Check whether a request may run here now.

        Returns:
          Why it must not, or None.
        """
        if self.leaving:
            return admission.Refusal(admission.Reason.LEAVING, "backend server is leaving")
        if start.config_version < self._config.version:
            detail = f"configuration document {self._config.version} is in force here"
            return admission.Refusal(admission.Reason.LAGGING, detail)
        refusal = admission.find_refusal(self._config.doc, self._cfg.pool, self._cfg.zone, start)
        if refusal is not None:
            return refusal
        if not self.backend.reachable:
            return admission.Refusal(admission.Reason.UNREACHABLE, "backend server is down")
        if self._is_engine() and start.target not in self.backend.report.loaded:
            return admission.Refusal(admission.Reason.NOT_LOADED, f"{start.target} is not loaded")
        return None

    def _is_engine(self) -> bool:
        pool = self.warmup.pool
        return pool is not None and pool.kind == "engine"

    async def run(self, run: runs.Run) -> None:
        """Run one attempt to its end.

        A refusal, a failure of the backend server, a cancellation and an unexpected error become
        its last frame, so that the entry process does not wait for one that never comes.
        """
        start = run.start
        try:
            refusal = self.check(start)
            if refusal is not None:
                raise refusal
            await self.admission.acquire(start)
            try:
                late = self.check(start)
                if late is not None and late.reason != admission.Reason.LAGGING:
                    raise late
                await self._forward(run)
            finally:
                self.admission.release(start.attempt)
        except admission.Refusal as refusal:
            self._refuse(run, refusal)
        except asyncio.CancelledError:
            if run.end is None:
                run.finish(self._end(run, message.Outcome.CANCELLED, "cancelled"))
        except Exception as exc:
            self._log.write(
                "attempt_error",
                request=start.request_id,
                attempt=start.attempt,
                error=repr(exc),
                at=errors.locate(exc),
            )
            if run.end is None:
                self._finish(run, self._end(run, message.Outcome.ERROR, f"internal error: {exc!r}"))

    def _refuse(self, run: runs.Run, refusal: admission.Refusal) -> None:
        self._meter.count(metrics.Metrics.REFUSED)
        start = run.start
        self._log.write(
            "attempt_refused",
            request=start.request_id,
            attempt=start.attempt,
            reason=refusal.reason,
            detail=refusal.detail,
        )
        run.finish(
            message.Refused(start.attempt, refusal.reason, refusal.detail, self._config.version)
        )

    async def _forward(self, run: runs.Run) -> None:
        start = run.start
        incarnation = self.backend.report.incarnation
        self._log.write(
            "attempt_passed_on",
            request=start.request_id,
            attempt=start.attempt,
            target=start.target,
        )
        try:
            if self._is_engine():
                end = await self._run_engine(run)
            else:
                end = await self._run_call(run)
        except interfaces.BackendUnreachable as exc:
            await self.backend.poll()
            raise admission.Refusal(admission.Reason.UNREACHABLE, str(exc)) from exc
        except interfaces.BackendError as exc:
            end = self._end(run, message.Outcome.ERROR, str(exc))
        except runs.ReaderStalled:
            self._meter.count(metrics.Metrics.PAUSED)
            end = self._end(
                run, message.Outcome.PAUSED, "the caller did not read its answer in time"
            )
        except TimeoutError:
            end = self._end(run, message.Outcome.STALLED, STALLED)
        except interfaces.BackendLost as exc:
            end = await self._classify_loss(run, incarnation, exc)
        self._finish(run, end)

    def _finish(self, run: runs.Run, end: message.End) -> None:
        start = run.start
        if end.outcome == message.Outcome.DONE:
            self._bill(run, end)
            if self._strikes.clear(start.fingerprint):
                self.strike_changes.append(message.Strikes(cleared=(start.fingerprint,)))
        self._log.write(
            "attempt_ended",
            request=start.request_id,
            attempt=start.attempt,
            target=start.target,
            outcome=end.outcome,
            tokens=end.tokens,
            detail=end.detail,
        )
        run.finish(end)

    def _bill(self, run: runs.Run, end: message.End) -> None:
        start = run.start
        bill = message.Bill(
            start.billing_key,
            start.request_id,
            start.attempt,
            start.organisation,
            start.target,
            end.prompt_tokens,
            end.tokens,
        )
        now = asyncio.get_running_loop().time()
        self.bills[start.attempt] = UnstoredBill(bill, run.owner, now)

    async def _classify_loss(
        self, run: runs.Run, incarnation: str, exc: interfaces.BackendLost
    ) -> message.End:
        if not await self.backend.has_crashed(incarnation):
            return self._end(run, message.Outcome.STALLED, str(exc))
        self._meter.count(metrics.Metrics.ENGINE_CRASHES)
        crash = f"{self._cfg.name}/{incarnation}"
        strike = message.Strike(run.start.fingerprint, crash)
        new = self._strikes.add([strike], asyncio.get_running_loop().time())
        if new:
            self.strike_changes.append(message.Strikes(strikes=new))
        return self._end(run, message.Outcome.CRASHED, str(exc))

    def _end(
        self, run: runs.Run, outcome: str, detail: str = "", prompt_tokens: int = 0, tokens: int = 0
    ) -> message.End:
        return message.End(
            run.start.attempt,
            run.offset,
            outcome,
            prompt_tokens=prompt_tokens,
            tokens=tokens,
            detail=detail,
        )

    async def _run_engine(self, run: runs.Run) -> message.End:
        engine: interfaces.Engine = self.backend.server  # type: ignore[assignment]
        events = engine.run(run.start)
        try:
            while True:
                async with asyncio.timeout(self._cfg.stall_seconds):
                    item = await anext(events)
                if isinstance(item, interfaces.StreamChunk):
                    if run.offset == 0:
                        self.admission.record_first_token(run.start.attempt)
                    await run.put(item.choices, READER_STALL_SECONDS)
                elif isinstance(item, interfaces.StreamEnd):
                    end = self._end(run, message.Outcome.DONE, "", item.prompt_tokens, item.tokens)
                    return end._replace(confidence=item.confidence)
        finally:
            await _close_events(events)

    async def _run_call(self, run: runs.Run) -> message.End:
        server: interfaces.PlainServer = self.backend.server  # type: ignore[assignment]
        start = run.start
        timeout_seconds = start.timeout_ms / 1000.0
        if not start.repeatable:
            # The call may have taken effect, so its answer is still needed after its caller's
            # deadline.
            timeout_seconds += NON_REPEATABLE_EXTRA_SECONDS
        # The answer of a call that may run once is kept until the run is discarded.
        run.hold = body = buffering.Body(self._buffers, MAX_ANSWER_BYTES, start.repeatable)
        async with asyncio.timeout(timeout_seconds):
            answer = await server.call(start, body)
        self.admission.record_first_token(start.attempt)
        for position in range(0, len(answer.body), CALL_CHUNK_BYTES):
            chunk = answer.body[position : position + CALL_CHUNK_BYTES]
            await run.put(chunk, READER_STALL_SECONDS)
        if start.repeatable:
            body.release()
        end = self._end(run, message.Outcome.DONE)
        return end._replace(status=answer.status, headers=answer.headers)


async def _close_events(events: AsyncIterator[object]) -> None:
    close = getattr(events, "aclose", None)
    if close is not None:
        await close()
