"""Asks the store whether the configuration is still the newest, when no other gateway has."""

import asyncio

from berylrock.core import errors
from berylrock.daemons.gateway import context, watching
from berylrock.ops import freshness

__all__ = ["CHECK_INTERVAL_S", "Confirmer"]

CHECK_INTERVAL_S = 0.2
# The first gateway asks when its confirmation is this old, the next ones only if that one does not.
FIRST_AGE_S, NEXT_AGE_S, AGE_STEP_S = 1.0, 1.7, 0.1
LAST_STEP = 8
PAUSE_AFTER_FAILURE_S = 0.3


class Confirmer:
    """Keeps a kind of object confirmed; a list is short, since it is of few objects."""

    def __init__(self, ctx: context.Context, what: watching.KindWatch) -> None:
        self._ctx = ctx
        self._what = what

    def _longest_age_s(self) -> float:
        rank = self._ctx.rank()
        return FIRST_AGE_S if rank == 0 else NEXT_AGE_S + AGE_STEP_S * min(rank, LAST_STEP)

    async def confirm_if_due(self) -> None:
        """Ask if it is time to."""
        view = self._ctx.views[self._what.kind]
        sent_at = freshness.boottime_clock()
        age_s = view.freshness.age(sent_at)
        # Before the first list there is nothing to confirm.
        if age_s == float("inf") or age_s < self._longest_age_s():
            return
        try:
            listing = await self._ctx.store.list(self._what.kind)
        except (errors.StoreUnavailable, errors.NotFound) as exc:
            self._ctx.log.write("not_confirmed", kind=self._what.kind, error=str(exc))
            await asyncio.sleep(PAUSE_AFTER_FAILURE_S)
            return
        watching.apply_listing(self._ctx, self._what, listing, True)
        view.freshness.note(sent_at)
