"""Keeps the gateway's picture of the store up to date: one task a kind of object."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from berylrock.core import errors
from berylrock.daemons.gateway import context
from berylrock.ops import freshness
from berylrock.platform import decoding, store

__all__ = ["KindWatch", "Watcher", "apply_listing"]

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
LOOK_S = 0.2


class KindWatch(NamedTuple):
    """A kind of object to watch.

    Attributes:
      kind: The kind.
      wait_s: Longest wait of one call; also how soon a silent connection is noticed.
      shared_wait_s: The same while another gateway would tell that a change was missed.
      gather_s: Pause after a change, so that one call brings those that follow it.
      take: Takes a whole list (True) or changes (False).
    """

    kind: str
    wait_s: float
    shared_wait_s: float
    gather_s: float
    take: Callable[[decoding.Listing, bool], None]


def apply_listing(
    ctx: context.Context, what: KindWatch, listing: decoding.Listing, whole: bool
) -> None:
    """Take a list (``whole``) or changes of a kind into the gateway's state."""
    view = ctx.views[what.kind]
    if whole:
        view.replace({item.name: item.revision for item in listing.objects})
    else:
        kept = {item.stored.name: item.stored.revision for item in listing.events}
        gone = {item.stored.name for item in listing.events if item.deleted}
        last = {item.stored.name: item.deleted for item in listing.events}
        view.change(kept, {name for name in gone if last[name]})
    what.take(listing, whole)


class Watcher:
    """Watches one kind for as long as the process runs."""

    def __init__(self, ctx: context.Context, what: KindWatch) -> None:
        self._ctx = ctx
        self._what = what
        self._view = ctx.views[what.kind]
        self._revision: int | None = None
        self._pause_s = FIRST_PAUSE_S
        self._lost = False

    async def run(self) -> None:
        """Watch without end."""
        while True:
            sent_at = freshness.boottime_clock()
            try:
                quiet_s = await self._step()
            except store.HistoryGone:
                self._ctx.log.write("history_gone", kind=self._what.kind)
                self._revision = None
                continue
            except (errors.StoreUnavailable, errors.NotFound, errors.Conflict) as exc:
                await self._note_lost(exc)
                continue
            if quiet_s is not None:
                self._note_answer(sent_at, quiet_s)

    async def _step(self) -> float | None:
        """Make one call.

        Returns:
          For how long the store waited without a change; None if the call was given up.
        """
        what = self._what
        if self._revision is None:
            listing = await self._ctx.store.list(what.kind)
            apply_listing(self._ctx, what, listing, True)
            self._revision = listing.revision
            return 0.0
        wait_s = self._wait_s()
        found = await self._watch(self._revision, wait_s)
        if found is None:
            return None
        self._revision = found.revision
        if not found.events:
            return wait_s
        apply_listing(self._ctx, what, found, False)
        # Changes mostly come in bursts; what follows soon is taken with the next call.
        await asyncio.sleep(what.gather_s)
        return 0.0

    def _wait_s(self) -> float:
        """One gateway asks often for all; the others wait long."""
        return self._what.wait_s if self._ctx.rank() == 0 else self._what.shared_wait_s

    async def _watch(self, revision: int, wait_s: float) -> decoding.Listing | None:
        """Watch; None if the call has to be made anew."""
        now = asyncio.get_running_loop().time
        begun = now()
        call = asyncio.create_task(self._ctx.store.watch(self._what.kind, revision, wait_s))
        try:
            while not (await asyncio.wait((call,), timeout=LOOK_S))[0]:
                elapsed_s = now() - begun
                if self._view.is_behind(freshness.boottime_clock()):
                    self._view.clear_behind()
                    self._ctx.log.write("change_missed", kind=self._what.kind)
                    return None
                if wait_s > self._wait_s() and elapsed_s > self._wait_s():
                    return None
            return call.result()
        finally:
            call.cancel()

    def _note_answer(self, sent_at: float, quiet_s: float) -> None:
        if self._lost:
            self._lost = False
            self._ctx.log.write("store_regained", kind=self._what.kind)
        self._pause_s = FIRST_PAUSE_S
        self._ctx.engines.note_store_back(asyncio.get_running_loop().time())
        elapsed_s = freshness.boottime_clock() - sent_at
        self._view.freshness.note(sent_at, min(quiet_s, elapsed_s))

    async def _note_lost(self, exc: Exception) -> None:
        if not self._lost:
            self._lost = True
            self._ctx.log.write("store_lost", kind=self._what.kind, error=str(exc))
        self._ctx.engines.note_store_lost(asyncio.get_running_loop().time())
        # What was missed while the call was under way shows in a new list.
        self._revision = None
        await asyncio.sleep(self._pause_s * (0.5 + self._ctx.rng.random()))
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2.0)
