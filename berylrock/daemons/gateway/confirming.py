"""Confirms with the store that the configuration is current, if no other gateway has lately.

A gateway that serves others as a relay confirms often, so that they can tell at once when it has
lost the store. A gateway that reads through a relay confirms only if its view has become too old,
and then leaves the relay, since the store answers.
"""

import asyncio

from berylrock.core import errors
from berylrock.daemons.gateway import context, watching
from berylrock.ops import freshness, relays

__all__ = ["CHECK_INTERVAL_S", "Confirmer"]

CHECK_INTERVAL_S = 0.2
# The first gateway asks the store once its confirmation is this old. The others wait longer, by
# their position, so that they ask only if those before them do not.
FIRST_AGE_S, NEXT_AGE_S, AGE_STEP_S = 1.0, 1.7, 0.1
MAX_POSITION = 8
# A gateway that others read through asks at this share of the age at which they would doubt its
# view, and counts as such a one for this time after it was last read.
SERVING_AGE_SHARE = 0.45
SERVING_LIFETIME_S = 2.0
FAILURE_BACKOFF_S = 0.8


class Confirmer:
    """Confirms one kind of object by listing it; the list is short, as the kind has few objects."""

    def __init__(self, ctx: context.Context, kind_watch: watching.KindWatch) -> None:
        self._ctx = ctx
        self._kind_watch = kind_watch

    def _max_age_s(self) -> float:
        ctx = self._ctx
        limit_s = relays.max_view_age_s(ctx.cfg.bounds)
        if limit_s is not None and ctx.relay:
            return relays.doubt_age_s(ctx.cfg.bounds, ctx.engines.gaps.lost)
        relayed_ago_s = asyncio.get_running_loop().time() - ctx.relayed_at
        if limit_s is not None and relayed_ago_s < SERVING_LIFETIME_S:
            return SERVING_AGE_SHARE * limit_s
        position = ctx.position_by_datagram()
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
        self._ctx.record_store_answer()
        watching.apply_listing(self._ctx, self._kind_watch, listing, True)
        view.freshness.record(sent_at)
        if self._ctx.relay:
            self._ctx.watch_store("view too old")
