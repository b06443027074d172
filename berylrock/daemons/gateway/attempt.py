"""One attempt at an engine: send the request, read the head of its answer, and how it ends."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import h11

from berylrock.adapters import http1
from berylrock.core import errors, routing
from berylrock.daemons.gateway import context, pool
from berylrock.ops import engineset, selection, timeouts
from berylrock.platform import translating

__all__ = ["SILENT", "Attempt", "DeadlineExceeded", "EngineSilent", "Failure", "OpenedAnswer"]

BAD_REQUEST = 400
# Pause of an engine that refused without saying when it may be asked again, and the longest one.
DEFAULT_BUSY_PAUSE_S, LONGEST_BUSY_PAUSE_S = 0.15, 1.0
REFUSAL_READ_S = 0.2
LEAST_DEADLINE_S = 0.001
WAIT_STEP_S = 0.1
SILENT = "silent"
# An engine that crashes closes its connections a moment before its port.
FALL_CHECK_S = 0.05


class DeadlineExceeded(errors.BerylrockError):
    """The request's time is over; its caller gets the answer to that."""


class EngineSilent(errors.BerylrockError):
    """The engine said nothing for so long that another one is asked."""


class Failure(NamedTuple):
    """An attempt that gave no answer to pass on.

    Attributes:
      may_have_run: Whether the engine may have begun to run the request.
      reason: What happened, for the log.
      arrived: Whether anything of the request may have reached the engine.
    """

    may_have_run: bool
    reason: str
    arrived: bool = True


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
        conns: pool.ConnectionPool,
        req: routing.Request,
        state: engineset.EngineState,
        model: str,
        can_leave: Callable[[], bool],
    ) -> None:
        self.state = state
        self.model = model
        self.sent_at = 0.0
        self.link: http1.EngineConnection | None = None
        self._ctx = ctx
        self._conns = conns
        self._req = req
        self._can_leave = can_leave
        self._work = selection.estimate_work(req.head)
        self._open = False

    async def next_event(self, wait: timeouts.AnswerTimeouts | None) -> http1.ResponseEvent:
        """Read the next part of the answer.

        Args:
          wait: When to leave a silent engine; None to wait to the request's end.

        Returns:
          The part.

        Raises:
          DeadlineExceeded: The request's time is over.
          EngineSilent: The engine is given up.
          ResponseBroken: The answer ended early, or is none.
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
                    raise DeadlineExceeded("the request's time is over") from None
                if wait is None:
                    continue
                others = self._ctx.loads.peer_load(self.state.engine.id, now)
                heard_at = max(self.state.heard_at, others.heard_at)
                dead = timeouts.should_abandon(now, since, heard_at, wait)
                if dead and self._can_leave():
                    raise EngineSilent("the engine was silent") from None
                continue
            self.state.heard_at = loop.time()
            return event

    async def start(
        self, last_event: int | None, wait: timeouts.AnswerTimeouts | None
    ) -> "OpenedAnswer | Failure":
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
            self.link = await self._conns.acquire(engine, sure)
        except http1.ConnectFailed as exc:
            now = loop.time()
            self.state.health.note_unreachable(now)
            self._ctx.record_engine_crash(engine.id, self.state.take_broken(now), now)
            self.state.mark_cold(now)
            self.end()
            return Failure(False, f"unreachable: {exc}", arrived=False)
        left_s = req.expires_at - loop.time()
        order = routing.DispatchOptions(
            engine.id, max(LEAST_DEADLINE_S, left_s), self.model, last_event
        )
        headers = translating.write_engine_headers(req, order)
        try:
            await self.link.send(req.head.method, req.head.target, headers, req.body)
            event = await self.next_event(wait)
        except (DeadlineExceeded, EngineSilent):
            return self._fail(SILENT)
        except http1.ResponseBroken as exc:
            self.note_broken()
            return self._fail(f"broken: {exc}")
        if not isinstance(event, h11.Response):
            return self._fail("no head")
        return await self._check(
            translating.read_answer_head(event.status_code, event.headers.raw_items())
        )

    async def _check(self, head: translating.AnswerHead) -> "OpenedAnswer | Failure":
        """Find out whether the answer is one to this request, by an engine that ran it."""
        now = asyncio.get_running_loop().time()
        if head.request_id and head.request_id != self._req.head.id:
            return self._fail("answer to another request")
        if head.not_run:
            pause = head.retry_after_s if head.retry_after_s is not None else DEFAULT_BUSY_PAUSE_S
            if head.status != BAD_REQUEST:
                self.state.health.note_busy(now, min(LONGEST_BUSY_PAUSE_S, pause))
            await self._drop_rest(head)
            return Failure(False, f"not run: {head.status}")
        if not head.signed or head.encoded or head.request_id != self._req.head.id:
            return self._fail(f"unsigned answer {head.status}")
        return OpenedAnswer(self, head, now)

    async def _drop_rest(self, head: translating.AnswerHead) -> None:
        """Read a refusal to its end, so that its connection can be used again."""
        assert self.link is not None
        try:
            async with asyncio.timeout(REFUSAL_READ_S):
                while not isinstance(await self.link.next_event(), h11.EndOfMessage):
                    pass
            self.end_whole(head)
        except (TimeoutError, http1.ResponseBroken):
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
            link = await http1.EngineConnection.open(engine.address, pool.CONNECT_TIMEOUT_S)
        except http1.ConnectFailed:
            now = asyncio.get_running_loop().time()
            state.health.note_unreachable(now)
            state.mark_cold(now)
            self._ctx.record_engine_crash(engine.id, state.take_broken(now), now)
            return
        state.broken.clear()
        self._conns.release(engine, link, False)

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
            self.link.keep_alive_s = head.keep_alive_s
            self._conns.release(self.state.engine, self.link, head.closes)


class OpenedAnswer(NamedTuple):
    """An attempt whose answer has begun.

    Attributes:
      attempt: The attempt.
      head: The answer's head.
      at: When it came, on the loop's clock.
    """

    attempt: Attempt
    head: translating.AnswerHead
    at: float
