"""Watches the platform's store for changes, with one task for each kind of object."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from berylrock.core import errors, stored
from berylrock.daemons.gateway import context
from berylrock.ops import backoff, freshness
from berylrock.platform import names, store

__all__ = ["KindWatch", "Watcher", "apply_listing"]

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
CHECK_INTERVAL_S = 0.2
# Longest time for which a watch relies on another one to find out whether the store answers.
MAX_QUIET_S = 2.5
# A watch without a change that ends before this share of its time was not held open.
EARLY_SHARE = 0.1


class KindWatch(NamedTuple):
    """How to watch one kind of object.

    Attributes:
      kind: Name of the kind.
      wait_s: Longest wait of one call, in seconds; a silent connection is detected after it.
      follower_wait_s: The same, while another gateway would report that a change was missed.
      batch_pause_s: Pause after a change, in seconds, so that one call returns those that follow.
      apply: Applies a full list (True) or changes (False) to the gateway's state.
    """

    kind: str
    wait_s: float
    follower_wait_s: float
    batch_pause_s: float
    apply: Callable[[stored.Listing, bool], None]


def apply_listing(
    ctx: context.Context, kind_watch: KindWatch, listing: stored.Listing, full: bool
) -> None:
    """Apply a list (``full``) or changes of one kind to the gateway's state.

    A list that is older than the state is ignored.
    """
    mirror = ctx.mirrors[kind_watch.kind]
    known_revision = mirror.revision
    if not mirror.apply(listing, full):
        ctx.log.write(
            "list_ignored",
            kind=kind_watch.kind,
            revision=stored.find_number(listing.revision),
            known_revision=stored.find_number(known_revision),
            era=stored.find_era(listing.revision),
        )
        return
    if known_revision and stored.find_era(listing.revision) > stored.find_era(known_revision):
        ctx.record_restored(kind_watch.kind, listing.revision)
    view = ctx.views.get(kind_watch.kind)
    if view is not None:
        view.update(mirror.revisions())
    kind_watch.apply(listing, full)


class Watcher:
    """Watches one kind of object for the life of the process."""

    def __init__(self, ctx: context.Context, kind_watch: KindWatch) -> None:
        self._ctx = ctx
        self._kind_watch = kind_watch
        self._view = ctx.views[kind_watch.kind]
        self._mirror = ctx.mirrors[kind_watch.kind]
        self._needs_list = True
        self._backoff = backoff.Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        # Unlike the other one, it is not reset by a list that succeeds between two such watches.
        self._early_backoff = backoff.Backoff(MIN_BACKOFF_S, MAX_BACKOFF_S)
        self._lost = False

    async def run(self) -> None:
        """Watch until the task is cancelled."""
        while True:
            if self._ctx.relay:
                await self._wait_for_relay_end()
            sent_at = freshness.boottime_clock()
            try:
                quiet_s = await self._step()
            except store.HistoryGone:
                self._ctx.log.write("history_gone", kind=self._kind_watch.kind)
                self._needs_list = True
                await self._pause_early()
                continue
            except (errors.StoreUnavailable, errors.NotFound, errors.Conflict) as exc:
                await self._handle_error(exc)
                continue
            if quiet_s is not None:
                self._handle_response(sent_at, quiet_s)

    async def _step(self) -> float | None:
        """Make one call to the store.

        Returns:
          Seconds for which the store waited without a change; None if the call was abandoned.
        """
        kind_watch = self._kind_watch
        if self._needs_list:
            listing = await self._ctx.store.list(kind_watch.kind)
            self._ctx.record_store_answer()
            apply_listing(self._ctx, kind_watch, listing, True)
            self._needs_list = False
            return 0.0
        wait_s = self._wait_s()
        started_at = freshness.boottime_clock()
        found = await self._watch(self._mirror.revision, wait_s)
        if found is None:
            return None
        self._ctx.record_store_answer()
        if not found.changes:
            self._mirror.apply(found, False)
            quiet_s = min(wait_s, freshness.boottime_clock() - started_at)
            await self._pace(quiet_s, wait_s)
            return quiet_s
        self._early_backoff.reset()
        apply_listing(self._ctx, kind_watch, found, False)
        # Changes mostly come in bursts; the next call returns those that follow within the pause.
        await asyncio.sleep(kind_watch.batch_pause_s)
        return 0.0

    async def _pace(self, quiet_s: float, wait_s: float) -> None:
        """Pause after a watch that ended without a change long before its time."""
        if quiet_s < EARLY_SHARE * wait_s:
            await self._pause_early()
        else:
            self._early_backoff.reset()

    async def _pause_early(self) -> None:
        """Pause for longer each time that a watch ends before it could wait."""
        await asyncio.sleep(self._early_backoff.next_pause_s() * (0.5 + self._ctx.rng.random()))

    async def _wait_for_relay_end(self) -> None:
        """Wait until this gateway has to watch the store itself.

        The relay may have missed a change, so the watch begins with a new list.
        """
        await self._ctx.watching_store.wait()
        self._needs_list = True
        self._lost = False
        self._backoff.reset()

    def _wait_s(self) -> float:
        """Return how long the store may wait: short for the first gateway, long for the others.

        The first gateway detects missed changes for all of them.
        """
        return (
            self._kind_watch.wait_s
            if self._ctx.position_by_datagram() == 0
            else self._kind_watch.follower_wait_s
        )

    async def _watch(self, revision: int, wait_s: float) -> stored.Listing | None:
        """Wait for changes; None if the call has to be made again."""
        now = asyncio.get_running_loop().time
        started_at = now()
        call = asyncio.create_task(self._ctx.store.watch(self._kind_watch.kind, revision, wait_s))
        try:
            while not (await asyncio.wait((call,), timeout=CHECK_INTERVAL_S))[0]:
                if self._ctx.relay:
                    return None
                elapsed_s = now() - started_at
                if self._view.is_behind(freshness.boottime_clock()):
                    self._view.clear_behind()
                    self._ctx.log.write("change_missed", kind=self._kind_watch.kind)
                    return None
                if wait_s > self._wait_s() and elapsed_s > self._wait_s():
                    return None
            return call.result()
        finally:
            call.cancel()

    def _handle_response(self, sent_at: float, quiet_s: float) -> None:
        if self._lost:
            self._lost = False
            self._ctx.log.write("store_regained", kind=self._kind_watch.kind)
        self._backoff.reset()
        elapsed_s = freshness.boottime_clock() - sent_at
        self._view.freshness.record(sent_at, min(quiet_s, elapsed_s))

    async def _handle_error(self, exc: Exception) -> None:
        if not self._lost:
            self._lost = True
            self._ctx.log.write("store_lost", kind=self._kind_watch.kind, error=str(exc))
        self._ctx.engines.gaps.record_failure(asyncio.get_running_loop().time())
        # A new list shows the changes that were missed during the call.
        self._needs_list = True
        await self._back_off()

    async def _back_off(self) -> None:
        """Pause before the next call.

        While the store does not answer, the watch of the configuration tries again for all kinds.
        """
        failed_at = asyncio.get_running_loop().time()
        await asyncio.sleep(self._backoff.next_pause_s() * (0.5 + self._ctx.rng.random()))
        if self._kind_watch.kind == names.CONFIG_KIND:
            return
        until = failed_at + MAX_QUIET_S
        while self._ctx.store.answered_at < failed_at and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(CHECK_INTERVAL_S)
