"""Controls which requests a backend server runs, queues or refuses as not run.

The limits are enforced in the sidecar because all requests for its backend server pass through it.
The views that the many entry processes have of the server may be stale and are not relied upon.
"""

import asyncio
import heapq
import itertools
from typing import NamedTuple

from berylrock.core import data, message
from berylrock.ops import strikes, warmup

__all__ = ["Admission", "Refusal", "Reason", "find_refusal"]

# Maximum share of the server's token capacity that admitted requests may reserve.
MAX_TOKEN_SHARE = 0.9
# Maximum number of other requests that run beside a request suspected of crashing its server.
MAX_BESIDE_SUSPECT = 2
MAX_WAIT_SECONDS = 0.5


class Reason:
    """Values of ``Refused.reason``.

    NO_CONFIG: The sidecar has no configuration document yet.
    LAGGING: The entry process used an older document than the sidecar's; it fetches the newer one.
    WITHDRAWN, ZONE_OUT, NOT_ALLOWED: The document in force forbids the request here.
    LEAVING: The backend server is being removed, or its sidecar is stopping.
    NOT_LOADED: The engine has not loaded the version.
    FULL: The queue is full, no capacity became free in time, or the request exceeds the server's
      total capacity.
    TIMEOUT: The request's deadline passed while it was queued.
    UNREACHABLE: The backend server does not accept connections.
    QUARANTINED: Two backend servers crashed while they ran the request.
    UNKNOWN_ATTEMPT: The sidecar has never started this attempt, and will not start it.
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
    """Raised when a request is refused; it has not run on the backend server."""

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


class _QueuedRequest(NamedTuple):
    """A queued request.

    Tuples compare in queue order: higher priority first, then earlier deadline, then arrival.
    """

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
      doc: The configuration document, or None if there is none yet.
      pool: Pool of the backend server.
      zone: Availability zone of the backend server.
      start: The request.

    Returns:
      The refusal if the request must not run on this server, otherwise None.
    """
    if doc is None:
        return Refusal(
            Reason.NO_CONFIG, "sidecar has no configuration document yet; try another server"
        )
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


def _is_admitted(waiting: _QueuedRequest) -> bool:
    admitted = waiting.admitted
    return admitted.done() and not admitted.cancelled() and admitted.exception() is None


class Admission:
    """The admitted requests of one backend server, and the queue of those waiting for capacity.

    Attributes:
      running: Admitted requests, by attempt.
      awaiting_first_token: Event-loop times of admission of the requests without a first token yet,
        by attempt.
      held_tokens: Tokens reserved by the admitted requests.
      capacity_tokens: Tokens that the server can hold; 0 if its limit is a number of requests.
      max_wait_seconds: Longest time that a request waits in the queue.
    """

    def __init__(
        self, tracker: warmup.WarmupTracker, table: strikes.StrikeTable, max_queue: int
    ) -> None:
        self.running: dict[str, message.Start] = {}
        self.awaiting_first_token: dict[str, float] = {}
        self.held_tokens = 0
        self.capacity_tokens = 0
        self._warmup = tracker
        self._strikes = table
        self._max_queue = max_queue
        self.max_wait_seconds = MAX_WAIT_SECONDS
        self._queue: list[_QueuedRequest] = []
        self._sequence = itertools.count()

    @property
    def queued(self) -> int:
        """Number of requests waiting in the queue."""
        return sum(not item.admitted.done() for item in self._queue)

    @property
    def slots(self) -> int:
        """Number of further requests that could start now, by the limits on their number."""
        if self.queued:
            return 0
        limit = self._warmup.concurrency_limit
        pool = self._warmup.pool
        if pool is not None and pool.kind == "service":
            limit = min(limit, pool.concurrency)
        return max(0, limit - len(self.running))

    def _fits(self, start: message.Start) -> bool:
        if len(self.running) >= self._warmup.concurrency_limit:
            return False
        pool = self._warmup.pool
        if pool is not None and pool.kind == "service":
            return len(self.running) < pool.concurrency
        if len(self.awaiting_first_token) >= self._warmup.first_token_limit:
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
        if self._strikes.is_quarantined(start.fingerprint):
            raise Refusal(Reason.QUARANTINED, "two backend servers crashed while they ran it")
        pool = self._warmup.pool
        is_engine = pool is not None and pool.kind == "engine"
        if is_engine and start.tokens > self.capacity_tokens * MAX_TOKEN_SHARE:
            raise Refusal(
                Reason.FULL,
                f"{start.tokens} tokens exceed what this server may hold; ask for fewer",
            )

    async def acquire(self, start: message.Start) -> None:
        """Admit a request, after waiting in the queue if necessary.

        The wait is short: a request that finds no capacity soon is refused, so that the entry
        process can place it again by the current state of all servers. The queue is ordered by
        deadline, so a request that is queued again does not lose its turn.

        Args:
          start: The request. The caller calls ``release`` when it no longer runs.

        Raises:
          Refusal: The request is refused and does not run on this server.
        """
        self._check(start)
        if not self.queued and self._fits(start):
            self._start(start)
            return
        if self.queued >= self._max_queue:
            raise Refusal(Reason.FULL, "queue is full; try another server")
        loop = asyncio.get_running_loop()
        seconds = start.timeout_ms / 1000.0
        waiting = _QueuedRequest(
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
                # The request was admitted in the same event-loop turn in which the wait timed out.
                return
            if seconds <= self.max_wait_seconds:
                raise Refusal(
                    Reason.TIMEOUT, "deadline passed while the request was queued"
                ) from exc
            raise Refusal(
                Reason.FULL, "no capacity became free in time; try another server"
            ) from exc
        except asyncio.CancelledError:
            if _is_admitted(waiting):
                self.release(start.attempt)
            raise
        finally:
            waiting.admitted.cancel()
            self.admit_waiting()

    def _start(self, start: message.Start) -> None:
        self.running[start.attempt] = start
        self.awaiting_first_token[start.attempt] = asyncio.get_running_loop().time()
        self.held_tokens += start.tokens

    def record_first_token(self, attempt: str) -> None:
        """Record a request's first token in the warm-up tracker, and admit queued requests."""
        began = self.awaiting_first_token.pop(attempt, None)
        if began is not None:
            self._warmup.record_first_token(asyncio.get_running_loop().time() - began)
            self.admit_waiting()

    def release(self, attempt: str) -> None:
        """Free the capacity of a request that no longer runs, and admit queued requests."""
        self.awaiting_first_token.pop(attempt, None)
        start = self.running.pop(attempt, None)
        if start is not None:
            self.held_tokens -= start.tokens
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit requests from the head of the queue for as long as they fit."""
        while self._queue:
            head = self._queue[0]
            if head.admitted.done():
                heapq.heappop(self._queue)
                continue
            if self._strikes.is_quarantined(head.start.fingerprint):
                detail = "two backend servers crashed while they ran it"
                head.admitted.set_exception(Refusal(Reason.QUARANTINED, detail))
                continue
            if not self._fits(head.start):
                return
            heapq.heappop(self._queue)
            self._start(head.start)
            head.admitted.set_result(None)

    def refuse_disallowed(self, doc: data.Document | None, pool: str, zone: str) -> None:
        """Refuse queued requests that the document in force no longer allows."""
        for waiting in self._queue:
            refusal = find_refusal(doc, pool, zone, waiting.start)
            if refusal is not None and not waiting.admitted.done():
                waiting.admitted.set_exception(refusal)

    def refuse_waiting(self, reason: str, detail: str) -> None:
        """Refuse all queued requests, so that the entry processes place them elsewhere."""
        for waiting in self._queue:
            if not waiting.admitted.done():
                waiting.admitted.set_exception(Refusal(reason, detail))
