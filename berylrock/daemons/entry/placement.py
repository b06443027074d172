"""Places attempts on backend servers, trying the next server after each refusal."""

import asyncio
import random
import secrets
from collections.abc import Callable
from typing import NamedTuple

from berylrock.core import data, message
from berylrock.daemons import runtime
from berylrock.daemons.entry import attempts, outcome, serverlinks
from berylrock.ops import admission
from berylrock.plugins import registry

__all__ = ["SentAttempt", "Placer", "VersionNotUsable", "find_pool"]

RETRY_PAUSE_SECONDS = 0.05
NO_SERVER_TIMEOUT_SECONDS = 10.0
NO_SERVER = (
    "no backend server in service serves the requested version or service; ask the operators"
)
MAX_WAITING_REQUESTS = 256
MAX_CONFIG_PAUSES = 10
ATTEMPT_ID_BYTES = 12
PRESENCE_CHECK_SECONDS = 0.1
# Status of a request whose caller has left; nobody reads it.
CLOSED_BY_CALLER = 499
FATAL_REASONS = frozenset((admission.Reason.QUARANTINED,))
RESELECT_REASONS = frozenset((admission.Reason.WITHDRAWN, admission.Reason.NOT_ALLOWED))


class VersionNotUsable(Exception):
    """The version must no longer be used; the caller of ``place`` selects another."""


class SentAttempt(NamedTuple):
    """An attempt sent to a server, and the server's first frame.

    Attributes:
      attempt: The attempt.
      server_link: The connection to the server.
      first: The first frame, which is ``Refused`` if the server did not accept the attempt.
    """

    attempt: attempts.Attempt
    server_link: serverlinks.ServerLink
    first: attempts.Frame


class Placer:
    """Places attempts on the connected servers, in the order given by the balancer plug-in."""

    def __init__(
        self,
        process_runtime: runtime.Runtime,
        table: serverlinks.ServerLinks,
        balancer: registry.Balancer,
    ) -> None:
        self._runtime = process_runtime
        self._server_links = table
        self._balancer = balancer
        self._pausing_count = 0
        self._random = random.Random(secrets.randbits(64))

    def rank(self, pool: str, target: str, excluded: set[str]) -> list[serverlinks.ServerLink]:
        """Return the servers that may be sent an attempt, the preferred one first.

        Args:
          pool: The pool that serves the target.
          target: ``model@version`` or a service's name.
          excluded: Names of servers to leave out.
        """
        doc = self._runtime.config.doc
        assert doc is not None
        found = {
            server_link.server.name: server_link
            for server_link in self._server_links.find_available(doc, pool, target)
            if server_link.server.name not in excluded
        }
        views = tuple(server_link.view() for server_link in found.values())
        return [found[view.name] for view in self._balancer(views, self._random)]

    def _rank_untried(
        self, pool: str, target: str, refused: set[str], failed: set[str]
    ) -> list[serverlinks.ServerLink]:
        """Rank the servers that have not refused; those that failed only if there is no other."""
        return self.rank(pool, target, refused | failed) or self.rank(pool, target, refused)

    async def place(
        self,
        start: message.Start,
        pool: str,
        deadline: float,
        failed_servers: set[str],
        is_wanted: Callable[[], bool],
    ) -> SentAttempt:
        """Place an attempt.

        Once all servers have refused, they are tried again after a pause. This goes on for at most
        ``NO_SERVER_TIMEOUT_SECONDS``, or until the deadline if a server refused because it is full.

        Args:
          start: The request. Its attempt id, timeout and configuration version are filled in here.
          pool: The pool that serves it.
          deadline: Event-loop time until which the caller waits.
          failed_servers: Names of servers that failed this request, used only if there is no other.
          is_wanted: Tells whether any caller still waits for the answer.

        Returns:
          The attempt, the server that accepted it and its first frame.

        Raises:
          NotRun: No server accepted it, too many wait already, it is quarantined, or unwanted.
          VersionNotUsable: The version must no longer be used.
        """
        loop = asyncio.get_running_loop()
        wait_until = min(deadline, loop.time() + NO_SERVER_TIMEOUT_SECONDS)
        refused: set[str] = set()
        any_server_full, last_refusal = False, NO_SERVER
        while loop.time() < wait_until:
            self._check_wanted(start, is_wanted)
            ranked = self._rank_untried(pool, start.target, refused, failed_servers)
            if not ranked:
                if any_server_full:
                    # The servers exist and will have capacity again, so wait until the deadline.
                    self._check_waiting_limit()
                    wait_until = deadline
                any_server_full = False
                refused.clear()
                await self._pause(start.target)
                continue
            placed = await self._send_attempt(start, ranked[0], deadline, is_wanted)
            if not isinstance(placed.first, message.Refused):
                return placed
            last_refusal = self._handle_refusal(start, placed, refused)
            any_server_full = any_server_full or placed.first.reason == admission.Reason.FULL
            await self._wait_for_config(placed.first.config_version)
        raise outcome.NotRun(503, "no_capacity", f"{last_refusal}; not run, try again")

    def _check_wanted(self, start: message.Start, is_wanted: Callable[[], bool]) -> None:
        """Raise ``NotRun`` if the request's caller has left."""
        if is_wanted():
            return
        self._runtime.log.write("caller_left", request=start.request_id, target=start.target)
        raise outcome.NotRun(CLOSED_BY_CALLER, "caller_left", "the caller has disconnected")

    def _check_waiting_limit(self) -> None:
        if self._pausing_count >= MAX_WAITING_REQUESTS:
            detail = (
                f"{MAX_WAITING_REQUESTS} requests already wait for a backend server; "
                "not run, try again"
            )
            raise outcome.NotRun(503, "overload", detail)

    async def _pause(self, target: str) -> None:
        """Pause before the next try; raises ``VersionNotUsable`` if the target was withdrawn."""
        self._pausing_count += 1
        try:
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
        finally:
            self._pausing_count -= 1
        self._check_not_withdrawn(target)

    def _check_not_withdrawn(self, target: str) -> None:
        doc = self._runtime.config.doc
        if doc is not None and target in doc.withdrawals:
            raise VersionNotUsable(target)

    async def _send_attempt(
        self,
        start: message.Start,
        server_link: serverlinks.ServerLink,
        deadline: float,
        is_wanted: Callable[[], bool],
    ) -> SentAttempt:
        loop = asyncio.get_running_loop()
        left_ms = max(1, int((deadline - loop.time()) * 1000))
        sent = start._replace(
            attempt=secrets.token_hex(ATTEMPT_ID_BYTES),
            timeout_ms=left_ms,
            config_version=self._runtime.config.version,
        )
        self._runtime.log.write(
            "attempt_sent",
            request=sent.request_id,
            attempt=sent.attempt,
            target=sent.target,
            server=server_link.server.name,
            zone=server_link.server.zone,
        )
        attempt = server_link.start_attempt(sent)
        try:
            first = await self._wait_for_first_frame(attempt, sent, is_wanted)
            return SentAttempt(attempt, server_link, first)
        except (asyncio.CancelledError, outcome.NotRun):
            attempt.close()
            raise

    async def _wait_for_first_frame(
        self, attempt: attempts.Attempt, start: message.Start, is_wanted: Callable[[], bool]
    ) -> attempts.Frame:
        """Wait for the server's first frame, for as long as the caller does.

        A call that runs at most once may have been passed on, so it is waited for in any case.
        """
        while start.repeatable:
            try:
                async with asyncio.timeout(PRESENCE_CHECK_SECONDS):
                    return await attempt.next_frame()
            except TimeoutError:
                self._check_wanted(start, is_wanted)
        return await attempt.next_frame()

    def _handle_refusal(self, start: message.Start, placed: SentAttempt, refused: set[str]) -> str:
        first = placed.first
        assert isinstance(first, message.Refused)
        if first.reason in FATAL_REASONS:
            raise outcome.NotRun(422, first.reason, f"{first.detail}; change the request")
        if first.reason in RESELECT_REASONS:
            raise VersionNotUsable(start.target)
        # If the reason is LAGGING, this process has an older document than the server, which may
        # accept the request once this process has the newer document.
        if first.reason != admission.Reason.LAGGING:
            refused.add(placed.server_link.server.name)
        return f"{placed.server_link.server.name}: {first.detail}"

    async def _wait_for_config(self, version: int) -> None:
        """Wait until this process has at least this version of the document.

        Waits for at most ``MAX_CONFIG_PAUSES`` retry pauses. Before each pause the sidecars are
        asked for their documents: a ``Config`` message with an empty body is a request.
        """
        config = self._runtime.config
        for _ in range(MAX_CONFIG_PAUSES):
            if config.version >= version:
                return
            self._server_links.broadcast(message.Config(config.version, b""))
            await asyncio.sleep(RETRY_PAUSE_SECONDS)


def find_pool(doc: data.Document, target: data.VersionId) -> str:
    """Return the pool whose engines serve a version.

    Raises:
      VersionNotUsable: The document does not contain the model.
    """
    for model in doc.models:
        if model.name == target.model:
            return model.pool
    raise VersionNotUsable(str(target))
