"""Runs one attempt of a request on an engine: sends it, reads the response, records the result."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from berylrock.adapters import http1
from berylrock.core import errors, routing
from berylrock.daemons.gateway import context, crashes, dueresponse, noticing, pool
from berylrock.ops import enginestate, enginework, soundness, timeouts
from berylrock.platform import translating

__all__ = ["TIMED_OUT", "Attempt", "DeadlineExceeded", "EngineTooSlow", "Failure", "OpenedResponse"]

BAD_REQUEST, MISDIRECTED = 400, 421
# Back-off for an engine that refused a request and asked for no pause.
DEFAULT_BUSY_PAUSE_S = 0.15
REFUSAL_READ_TIMEOUT_S = 0.2
MIN_DEADLINE_S = 0.001
SILENCE_CHECK_S = 0.1
# Reason of a failed attempt whose engine was silent or too slow, or whose deadline passed.
TIMED_OUT = "silent"


class DeadlineExceeded(errors.BerylrockError):
    """The request's deadline has passed; its caller gets a timeout response."""


class EngineTooSlow(errors.BerylrockError):
    """The engine was silent or too slow, and the request fails over to another one."""


class Failure(NamedTuple):
    """An attempt without a response that can be passed on.

    Attributes:
      may_have_run: Whether the engine may have started to run the request.
      reason: What happened, for the log.
      arrived: Whether any part of the request may have reached the engine.
      paused: Whether the engine asked for a pause, and may get the request after that.
    """

    may_have_run: bool
    reason: str
    arrived: bool = True
    paused: bool = False


class Attempt:
    """One attempt of a request on one engine, from sending it to the end of the response.

    Attributes:
      state: State of the engine.
      engine: The engine as it was when the request was given to it.
      model: Model that the gateway asked for; empty to use the caller's.
      sent_at: When the attempt started, on the event loop's clock.
      work_ahead: Work at the engine when the request was sent, including its own.
      conn: Connection to the engine; None before it is acquired.
    """

    def __init__(
        self,
        ctx: context.Context,
        conns: pool.ConnectionPool,
        req: routing.Request,
        state: enginestate.EngineState,
        model: str,
        can_fail_over: Callable[[], bool],
        returns: bool = False,
    ) -> None:
        """Prepare an attempt; ``returns``: whether it may have reached this address before."""
        self.state = state
        self.engine = state.engine
        self.model = model
        self.sent_at = 0.0
        self.work_ahead = 0.0
        self.conn: pool.PooledConnection | None = None
        self._ctx = ctx
        self._conns = conns
        self._req = req
        self._can_fail_over = can_fail_over
        service = ctx.table.services.get(req.service) if ctx.table is not None else None
        self._work = enginework.estimate(req.head, service, model).prefill
        self._open = False
        self._has_head = False
        self._returns = returns
        # Whether the engine refused the request, or its connection broke while that ran.
        self._is_refused = self._is_broken = False

    async def next_part(
        self, wait: timeouts.ResponseTimeouts | None, since: float | None = None
    ) -> http1.ResponseEvent:
        """Read the next part of the response.

        Args:
          wait: When to abandon an engine that is silent or too slow; None to wait until the
            request's deadline.
          since: Time of the last progress, on the event loop's clock; None for now. Bytes that
            bring no progress thus do not keep a stalled response alive.

        Returns:
          The next part of the response.

        Raises:
          DeadlineExceeded: The request's deadline has passed.
          EngineTooSlow: The engine was silent or too slow, and another one can take the request.
          ResponseBroken: The response ended early or is not valid HTTP.
        """
        assert self.conn is not None
        loop = asyncio.get_running_loop()
        since = loop.time() if since is None else since
        while True:
            if wait is not None and self._is_stalled(wait, since) and self._can_fail_over():
                raise EngineTooSlow("no response from the engine in time")
            limit = self._req.expires_at
            if wait is not None:
                limit = min(limit, max(since + wait.dead_s, loop.time() + SILENCE_CHECK_S))
            try:
                async with asyncio.timeout_at(limit):
                    part = await self.conn.next_event()
            except TimeoutError:
                if loop.time() >= self._req.expires_at:
                    raise DeadlineExceeded("the request's deadline has passed") from None
                continue
            if self._has_head:
                self.state.heard_at = loop.time()
            return part

    def _is_stalled(self, wait: timeouts.ResponseTimeouts, since: float) -> bool:
        now = asyncio.get_running_loop().time()
        if now - since < wait.dead_s:
            return False
        others = self._ctx.load_view.peer_load(self.state.engine.id, now)
        heard_at = max(self.state.heard_at, others.heard_at)
        pending = self.state.work + others.work
        return timeouts.should_abandon(now, since, heard_at, wait, pending)

    async def start(
        self, last_event: int | None, wait: timeouts.ResponseTimeouts | None
    ) -> "OpenedResponse | Failure":
        """Send the request and read the head of the response.

        Args:
          last_event: Id of the last event that the caller has, to resume a stream after it.
          wait: When to abandon an engine that is silent or too slow; None to wait until the
            request's deadline.

        Returns:
          The opened response, or why there is none.
        """
        try:
            return await self._exchange(last_event, wait)
        except Exception as exc:
            self.log_error(exc)
            if self.has_arrived:
                return self._fail(f"internal error: {exc!r}")
            self._record_failure()
            return Failure(False, f"internal error: {exc!r}", arrived=False)

    @property
    def has_arrived(self) -> bool:
        """Whether any part of the request may have reached the engine."""
        return self.conn is not None and self.conn.request_written

    def log_error(self, exc: Exception) -> None:
        """Log an error for which there is no other handling; it counts as the engine's failure."""
        self._ctx.meter.count("attempt_errors")
        self._ctx.log.write(
            "attempt_error",
            request=self._req.head.id,
            engine=self.state.engine.id,
            arrived=self.has_arrived,
            error=repr(exc),
            at=errors.locate(exc),
        )

    async def _exchange(
        self, last_event: int | None, wait: timeouts.ResponseTimeouts | None
    ) -> "OpenedResponse | Failure":
        """Send the request and read the head of the response; arguments are those of ``start``."""
        loop = asyncio.get_running_loop()
        engine, req = self.engine, self._req
        self.sent_at = loop.time()
        self._open = True
        within_limit = self.state.notices.limit.limited
        self.state.begin(self._work, self.sent_at)
        peers = self._ctx.load_view.peer_load(engine.id, self.sent_at)
        self.work_ahead = self.state.work + peers.work
        run_once = not routing.is_repeatable(req.route)
        try:
            self.conn = await self._conns.acquire(engine, req.head.id, run_once)
        except http1.ConnectFailed as exc:
            crashes.record_unreachable(self._ctx, self.state)
            self.end()
            return Failure(False, f"unreachable: {exc}", arrived=False)
        obstacle = self._find_obstacle(within_limit)
        if obstacle:
            return self._withdraw(obstacle)
        left_s = max(MIN_DEADLINE_S, req.expires_at - loop.time())
        options = routing.DispatchOptions(engine.id, left_s, self.model, last_event)
        headers = translating.build_engine_headers(req, options)
        try:
            self.conn.history.begin(req.head.id, req.head.method)
            await self.conn.send(req.head.method, req.head.target, headers, req.body)
            due = await self._read_head(wait)
        except (DeadlineExceeded, EngineTooSlow):
            return self._fail(TIMED_OUT)
        except dueresponse.CopiesWithoutEnd as exc:
            return self._fail(f"broken: {exc}")
        except http1.ResponseBroken as exc:
            self.record_broken()
            return self._fail(f"broken: {exc}")
        return await self._validate(due)

    async def _read_head(self, wait: timeouts.ResponseTimeouts | None) -> dueresponse.DueHead:
        """Read the head that is due; copies before it are no sign of life of the engine."""
        assert self.conn is not None
        loop = asyncio.get_running_loop()
        since = loop.time()
        exchange = dueresponse.Exchange(
            *(self._req.head.id, self.engine, self.conn),
            next_part=lambda: self.next_part(wait, since),
        )
        due = await dueresponse.read_head(self._ctx, exchange)
        self._has_head = True
        self.state.heard_at = loop.time()
        return due

    def _find_obstacle(self, within_limit: bool) -> str:
        """Return why the request must not be sent after all; empty if it may be.

        Args:
          within_limit: Whether the engine already had a limit, and the request was counted, when it
            was chosen. A limit that was learned of while the connection was opened counts as well.
        """
        notices, now = self.state.notices, asyncio.get_running_loop().time()
        obstacle = notices.obstacle(now)
        if obstacle or within_limit or not notices.limit.limited:
            return obstacle
        shares = self._ctx.limit_shares()
        if notices.limit.permit_at(shares, self.state.engine.id, now) > now:
            return "engine is at its limit"
        notices.limit.take(now)
        return ""

    async def _validate(self, due: dueresponse.DueHead) -> "OpenedResponse | Failure":
        """Check that the response belongs to this request and comes from an engine that ran it."""
        head, verdict = due
        if head.request_id in ("", self._req.head.id):
            noticing.record(self._ctx, self.state, head)
        if head.not_run:
            return await self._end_unrun(head, verdict.doubt)
        if verdict.doubt:
            return self._fail(f"{verdict.doubt}: {head.status}")
        if not head.signed or head.encoded:
            return self._fail(f"unsigned response {head.status}")
        self.state.begin_answer(self._work)
        self._work = 0.0
        return OpenedResponse(self, head, asyncio.get_running_loop().time())

    async def _end_unrun(self, head: translating.ResponseHead, doubt: str) -> Failure:
        """End an attempt whose engine says that a request did not run."""
        self._log_refusal(head, doubt)
        if doubt:
            self._ctx.meter.count("refusals_doubted")
            return self._fail(f"{doubt}: {head.status}")
        self._ctx.meter.count("refusals_believed")
        self._is_refused = True
        now = asyncio.get_running_loop().time()
        if head.status == MISDIRECTED:
            self.state.notices.record_hint(now)
        if head.status != BAD_REQUEST:
            self.state.health.record_busy(now, DEFAULT_BUSY_PAUSE_S)
        return await self._end_refused(head)

    def _log_refusal(self, head: translating.ResponseHead, doubt: str) -> None:
        """Log a refusal with what decides whether it is believed.

        The field ``carried`` holds the number of requests that the connection has carried before.
        """
        assert self.conn is not None
        self._ctx.log.write(
            "refusal_judged",
            request=self._req.head.id,
            engine=self.engine.id,
            address=self.engine.host_port,
            status=head.status,
            names=head.request_id,
            carried=self.conn.responses_read,
            doubt=doubt,
        )

    async def _end_refused(self, head: translating.ResponseHead) -> Failure:
        """End an attempt that the engine refused.

        If the engine may get the request again, after a pause, that must not happen on a connection
        on which a second copy of this refusal may follow. If the request was sent to this address
        before, this may be the copy, and the engine has to learn that nobody waits for its run.
        """
        paused = bool(self.state.notices.obstacle(asyncio.get_running_loop().time()))
        if paused or self._returns:
            self.end()
        else:
            await self._drain_refusal(head)
        return Failure(False, f"not run: {head.status}", paused=paused)

    async def _drain_refusal(self, head: translating.ResponseHead) -> None:
        """Read the rest of a refusal, so that its connection can be reused."""
        assert self.conn is not None
        try:
            async with asyncio.timeout(REFUSAL_READ_TIMEOUT_S):
                while not isinstance(await self.conn.next_event(), h11.EndOfMessage):
                    pass
            self.end_complete(head)
        except (TimeoutError, http1.ResponseBroken):
            # The refusal is still valid; only the connection is lost.
            self.end()

    def record_broken(self) -> None:
        """Record a broken connection, and check whether the engine crashed with its requests."""
        self._is_broken = True
        now = asyncio.get_running_loop().time()
        broken = enginestate.BrokenRequest(
            self._req.fingerprint, self._req.head.shared_parts, now, self.sent_at
        )
        crashes.record_broken(self._ctx, self._conns, self.state, broken)

    def _withdraw(self, reason: str) -> Failure:
        """End the attempt before anything is sent, and keep its connection for others."""
        assert self.conn is not None
        self._ctx.meter.count("sends_withdrawn")
        self._conns.release(self.engine, self.conn, False)
        self.conn = None
        self.end()
        return Failure(False, reason, arrived=False, paused=True)

    def _fail(self, reason: str) -> Failure:
        self._record_failure()
        return Failure(True, reason)

    def _record_failure(self) -> None:
        """End the attempt as one that its engine failed."""
        self.state.health.record_failure(asyncio.get_running_loop().time())
        self.end()

    def end(self) -> None:
        """End the attempt and close its connection, so that the engine cancels what still runs."""
        if self._open:
            self._open = False
            if self.has_arrived and not self._is_refused and not self._is_broken:
                self.record_ended(self.sent_at, complete=False)
            self.state.end(self._work)
            if self.conn is not None:
                self.conn.close()

    def record_ended(self, began_at: float, complete: bool) -> None:
        """Record as evidence on crashes that the request does not run on the engine any more.

        Args:
          began_at: When the engine began to answer, on the event loop's clock.
          complete: Whether its answer was complete.
        """
        run = soundness.Run(self.engine.id, self.sent_at, began_at)
        crashes.record_ended(self._ctx, self._req, run, complete)

    def end_complete(self, head: translating.ResponseHead) -> None:
        """End the attempt after a complete response, and return its connection to the pool."""
        if self._open and self.conn is not None:
            self._open = False
            self.state.end(self._work)
            self.conn.keep_alive_s = head.keep_alive_s
            self._conns.release(self.engine, self.conn, head.closes)


class OpenedResponse(NamedTuple):
    """An attempt whose response head has been read.

    Attributes:
      attempt: The attempt.
      head: Head of the response.
      at: When the head was read, on the event loop's clock.
    """

    attempt: Attempt
    head: translating.ResponseHead
    at: float
