"""Keeps the gateway's picture of the store up to date: one task a kind of object."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from berylrock.core import errors
from berylrock.daemons.gateway import context
from berylrock.ops import freshness
from berylrock.platform import decoding, store

__all__ = ["KindWatch", "Watcher"]

FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8


class KindWatch(NamedTuple):
    """A kind of object to watch.

    Attributes:
      kind: The kind.
      wait_s: Longest wait of one call; also how soon a silent connection is noticed.
      gather_s: Pause after a change, so that one call brings those that follow it.
      take: Takes a whole list (True) or changes (False).
      confirmed: Takes when a call was sent that confirmed the picture, and for how long it waited
        without a change; None if nobody asks.
    """

    kind: str
    wait_s: float
    gather_s: float
    take: Callable[[decoding.Listing, bool], None]
    confirmed: Callable[[float, float], None] | None = None


class Watcher:
    """Watches one kind for as long as the process runs."""

    def __init__(self, ctx: context.Context, what: KindWatch) -> None:
        self._ctx = ctx
        self._what = what
        self._revision: int | None = None
        self._pause_s = FIRST_PAUSE_S
        self._lost = False

    async def run(self) -> None:
        """Watch without end."""
        while True:
            sent_at = freshness.suspended_clock()
            try:
                quiet_s = await self._step()
            except store.HistoryGone:
                self._ctx.log.write("history_gone", kind=self._what.kind)
                self._revision = None
                continue
            except (errors.StoreUnavailable, errors.NotFound, errors.Conflict) as exc:
                await self._note_lost(exc)
                continue
            self._note_answer(sent_at, quiet_s)

    async def _step(self) -> float:
        """Make one call; returns for how long the store waited without a change."""
        what = self._what
        quiet_s = 0.0
        if self._revision is None:
            listing = await self._ctx.store.list(what.kind)
            what.take(listing, True)
        else:
            listing = await self._ctx.store.watch(what.kind, self._revision, what.wait_s)
            if listing.events:
                what.take(listing, False)
                # Changes mostly come in bursts; what follows soon is taken with the next call.
                await asyncio.sleep(what.gather_s)
            else:
                quiet_s = what.wait_s
        self._revision = listing.revision
        return quiet_s

    def _note_answer(self, sent_at: float, quiet_s: float) -> None:
        if self._lost:
            self._lost = False
            self._ctx.log.write("store_regained", kind=self._what.kind)
        self._pause_s = FIRST_PAUSE_S
        self._ctx.engines.note_store_back(asyncio.get_running_loop().time())
        if self._what.confirmed is not None:
            elapsed_s = freshness.suspended_clock() - sent_at
            self._what.confirmed(sent_at, min(quiet_s, elapsed_s))

    async def _note_lost(self, exc: Exception) -> None:
        if not self._lost:
            self._lost = True
            self._ctx.log.write("store_lost", kind=self._what.kind, error=str(exc))
        self._ctx.engines.note_store_lost(asyncio.get_running_loop().time())
        # What was missed while the call was under way shows in a new list.
        self._revision = None
        await asyncio.sleep(self._pause_s * (0.5 + self._ctx.rng.random()))
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2.0)
