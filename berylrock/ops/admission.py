"""Decides at a backend server what it holds, what waits, and what is refused as not run.

Whatever many entry processes believe, however stale, the limits are kept here, in the one process
through which all requests for the server go.
"""

import asyncio
import heapq
import itertools
from typing import NamedTuple

from berylrock.core import data, message
from berylrock.ops import strikes, warmup

__all__ = ["Admission", "Refusal", "Reason", "find_refusal"]

MAX_TOKEN_SHARE = 0.9
MAX_BESIDE_SUSPECT = 2
MAX_WAIT_SECONDS = 0.5


class Reason:
    """Values of ``Refused.reason``.

    NO_CONFIG: the sidecar has no document yet.
    LAGGING: the entry process decided by an older document; it fetches the newer one.
    WITHDRAWN, ZONE_OUT, NOT_ALLOWED: the document in force forbids it.
    LEAVING: the server is about to go.
    NOT_LOADED: the engine has not loaded the version.
    FULL: the queue is full, or the request would never fit.
    TIMEOUT: the deadline passed while it waited.
    UNREACHABLE: the server does not accept connections.
    QUARANTINED: the request was held in two falls.
    UNKNOWN_ATTEMPT: the sidecar has never started this attempt, and will not.
    """

    NO_CONFIG = "no_config"
    LAGGING = "lagging"
    WITHDRAWN = "withdrawn"
    ZONE_OUT = "zone_out"
    NOT_ALLOWED = "not_allowed"
    LEAVING = "leaving"
    NOT_LOADED = "not_loaded"
    FULL = "full"
    TIMEOUT = "timeout"
    UNREACHABLE = "unreachable"
    QUARANTINED = "quarantined"
    UNKNOWN_ATTEMPT = "unknown_attempt"


class Refusal(Exception):
    """The request is handed back as not run."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


class _Waiting(NamedTuple):
    """A queued request; the tuple's order is the order of the queue."""

    rank: int
    deadline: float
    sequence: int
    start: message.Start
    admitted: asyncio.Future[None]


def find_refusal(
    doc: data.Document | None, pool: str, zone: str, start: message.Start
) -> Refusal | None:
    """Check a request against the document in force.

    Args:
      doc: The document, or None if there is none yet.
      pool: The server's pool.
      zone: The server's availability zone.
      start: The request.

    Returns:
      Why the request must not run here, or None.
    """
    if doc is None:
        return Refusal(Reason.NO_CONFIG, "sidecar has no document yet; try another server")
    zones = [item for item in doc.zones if item.name == zone]
    if not zones or not zones[0].in_service:
        return Refusal(Reason.ZONE_OUT, f"availability zone {zone} is out of service")
    if any(service.name == start.target for service in doc.services if service.pool == pool):
        return None
    version_id = data.parse_version_id(start.target)
    models = [item for item in doc.models if item.pool == pool]
    if version_id is None or version_id.model not in [item.name for item in models]:
        return Refusal(Reason.NOT_ALLOWED, f"{start.target} is not served by pool {pool}")
    if start.target in doc.withdrawals:
        return Refusal(Reason.WITHDRAWN, f"{start.target} is withdrawn")
    owners = [item for item in doc.organisations if item.name == start.organisation]
    if not owners or not data.is_allowed(owners[0], version_id):
        return Refusal(Reason.NOT_ALLOWED, f"{start.organisation} may not use {start.target}")
    return None


def _is_admitted(waiting: _Waiting) -> bool:
    admitted = waiting.admitted
    return admitted.done() and not admitted.cancelled() and admitted.exception() is None


class Admission:
    """What one backend server holds and what waits for it.

    Attributes:
      running: The requests held, by attempt.
      awaiting_first_token: Those that have had no first token, and since when.
      held_tokens: Tokens reserved by them.
      capacity_tokens: Tokens that the server can hold; 0 if it is bounded by requests.
      max_wait_seconds: Longest wait for room.
    """

    def __init__(
        self, evidence: warmup.WarmupTracker, table: strikes.StrikeTable, max_queue: int
    ) -> None:
        self.running: dict[str, message.Start] = {}
        self.awaiting_first_token: dict[str, float] = {}
        self.held_tokens = 0
        self.capacity_tokens = 0
        self._warmth = evidence
        self._strikes = table
        self._max_queue = max_queue
        self.max_wait_seconds = MAX_WAIT_SECONDS
        self._queue: list[_Waiting] = []
        self._sequence = itertools.count()

    @property
    def queued(self) -> int:
        """Requests that wait."""
        return sum(not item.admitted.done() for item in self._queue)

    @property
    def slots(self) -> int:
        """Requests that could start at once, as far as their number is the limit."""
        if self.queued:
            return 0
        limit = self._warmth.concurrency_limit
        pool = self._warmth.pool
        if pool is not None and pool.kind == "service":
            limit = min(limit, pool.concurrency)
        return max(0, limit - len(self.running))

    def _fits(self, start: message.Start) -> bool:
        if len(self.running) >= self._warmth.concurrency_limit:
            return False
        pool = self._warmth.pool
        if pool is not None and pool.kind == "service":
            return len(self.running) < pool.concurrency
        if len(self.awaiting_first_token) >= self._warmth.first_token_limit:
            return False
        if self.held_tokens + start.tokens > self.capacity_tokens * MAX_TOKEN_SHARE:
            return False
        suspects = [item for item in self.running.values() if self._is_suspect(item)]
        if suspects and self._is_suspect(start):
            return False
        if suspects or self._is_suspect(start):
            return len(self.running) <= MAX_BESIDE_SUSPECT
        return True

    def _is_suspect(self, start: message.Start) -> bool:
        return self._strikes.is_suspect(start.fingerprint)

    def _check(self, start: message.Start) -> None:
        if self._strikes.is_refused(start.fingerprint):
            raise Refusal(Reason.QUARANTINED, "two backend servers fell while they held it")
        pool = self._warmth.pool
        is_engine = pool is not None and pool.kind == "engine"
        if is_engine and start.tokens > self.capacity_tokens * MAX_TOKEN_SHARE:
            raise Refusal(Reason.FULL, f"{start.tokens} tokens never fit here; ask for fewer")

    async def acquire(self, start: message.Start) -> None:
        """Wait until the server may hold a request.

        The wait is short: what does not fit soon is handed back, and placed with fresh knowledge
        of all servers. Its deadline keeps its rank, so that it does not lose its turn.

        Args:
          start: The request; call ``release`` when it no longer runs.

        Raises:
          Refusal: It does not run here.
        """
        self._check(start)
        if not self.queued and self._fits(start):
            self._hold(start)
            return
        if self.queued >= self._max_queue:
            raise Refusal(Reason.FULL, "queue is full; try another server")
        loop = asyncio.get_running_loop()
        seconds = start.timeout_ms / 1000.0
        waiting = _Waiting(
            -start.priority,
            loop.time() + seconds,
            next(self._sequence),
            start,
            loop.create_future(),
        )
        heapq.heappush(self._queue, waiting)
        try:
            async with asyncio.timeout(min(seconds, self.max_wait_seconds)):
                await waiting.admitted
        except TimeoutError as exc:
            if _is_admitted(waiting):
                # Room came up in the very turn in which the wait ran out.
                return
            if seconds <= self.max_wait_seconds:
                raise Refusal(Reason.TIMEOUT, "deadline passed in the queue") from exc
            raise Refusal(Reason.FULL, "no room came up in time; try another server") from exc
        except asyncio.CancelledError:
            if _is_admitted(waiting):
                self.release(start.attempt)
            raise
        finally:
            waiting.admitted.cancel()
            self.admit_waiting()

    def _hold(self, start: message.Start) -> None:
        self.running[start.attempt] = start
        self.awaiting_first_token[start.attempt] = asyncio.get_running_loop().time()
        self.held_tokens += start.tokens

    def record_first_token(self, attempt: str) -> None:
        """The first token of a request has come; take it as evidence and let the next one in."""
        began = self.awaiting_first_token.pop(attempt, None)
        if began is not None:
            self._warmth.record_first_token(asyncio.get_running_loop().time() - began)
            self.admit_waiting()

    def release(self, attempt: str) -> None:
        """A request no longer runs; let the next one in."""
        self.awaiting_first_token.pop(attempt, None)
        start = self.running.pop(attempt, None)
        if start is not None:
            self.held_tokens -= start.tokens
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Let in the first in the queue as long as it fits."""
        while self._queue:
            head = self._queue[0]
            if head.admitted.done():
                heapq.heappop(self._queue)
                continue
            if self._strikes.is_refused(head.start.fingerprint):
                detail = "two backend servers fell while they held it"
                head.admitted.set_exception(Refusal(Reason.QUARANTINED, detail))
                continue
            if not self._fits(head.start):
                return
            heapq.heappop(self._queue)
            self._hold(head.start)
            head.admitted.set_result(None)

    def refuse_disallowed(self, doc: data.Document | None, pool: str, zone: str) -> None:
        """Refuse what waits and is no longer allowed by the document in force."""
        for waiting in self._queue:
            refusal = find_refusal(doc, pool, zone, waiting.start)
            if refusal is not None and not waiting.admitted.done():
                waiting.admitted.set_exception(refusal)

    def refuse_waiting(self, reason: str, detail: str) -> None:
        """Refuse all that waits, so that the entry processes place it elsewhere."""
        for waiting in self._queue:
            if not waiting.admitted.done():
                waiting.admitted.set_exception(Refusal(reason, detail))
