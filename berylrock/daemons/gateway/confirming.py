"""Confirms with the store that the configuration is current, if no other gateway has lately."""

import asyncio

from berylrock.core import errors
from berylrock.daemons.gateway import context, watching
from berylrock.ops import freshness

__all__ = ["CHECK_INTERVAL_S", "Confirmer"]

CHECK_INTERVAL_S = 0.2
# The first gateway asks the store once its confirmation is this old. The others wait longer, by
# their position, so that they ask only if those before them do not.
FIRST_AGE_S, NEXT_AGE_S, AGE_STEP_S = 1.0, 1.7, 0.1
MAX_POSITION = 8
FAILURE_BACKOFF_S = 0.3


class Confirmer:
    """Confirms one kind of object by listing it; the list is short, as the kind has few objects."""

    def __init__(self, ctx: context.Context, kind_watch: watching.KindWatch) -> None:
        self._ctx = ctx
        self._kind_watch = kind_watch

    def _max_age_s(self) -> float:
        position = self._ctx.position_by_datagram()
        return (
            FIRST_AGE_S if position == 0 else NEXT_AGE_S + AGE_STEP_S * min(position, MAX_POSITION)
        )

    async def confirm_if_due(self) -> None:
        """List the objects if the last confirmation is too old."""
        view = self._ctx.views[self._kind_watch.kind]
        sent_at = freshness.boottime_clock()
        age_s = view.freshness.age(sent_at)
        # There is nothing to confirm before the first list.
        if age_s == float("inf") or age_s < self._max_age_s():
            return
        try:
            listing = await self._ctx.store.list(self._kind_watch.kind)
        except (errors.StoreUnavailable, errors.NotFound) as exc:
            self._ctx.log.write("not_confirmed", kind=self._kind_watch.kind, error=str(exc))
            await asyncio.sleep(FAILURE_BACKOFF_S)
            return
        watching.apply_listing(self._ctx, self._kind_watch, listing, True)
        view.freshness.record(sent_at)
