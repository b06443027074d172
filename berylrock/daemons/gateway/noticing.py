"""Records what engines say of themselves in their answers."""

import asyncio

from berylrock.daemons.gateway import context
from berylrock.ops import enginelimits, enginestate, notices
from berylrock.platform import translating

__all__ = ["record"]

MISDIRECTED = 421
PAUSING_STATUSES = (429, 503)


def record(
    ctx: context.Context, state: enginestate.EngineState, head: translating.ResponseHead
) -> None:
    """Record what the head of an engine's answer says about the engine.

    A misdirected request was answered by another engine, which has the address now.
    """
    if head.status == MISDIRECTED:
        return
    if head.leaving:
        _record_leaving(ctx, state, head.status)
    _record_limit(ctx, state, head)
    pause_s = notices.accept_pause(head.retry_after_s)
    if pause_s and head.status in PAUSING_STATUSES:
        _record_pause(ctx, state, pause_s)


def _record_leaving(ctx: context.Context, state: enginestate.EngineState, status: int) -> None:
    if not ctx.engines.record_leaving(state):
        return
    ctx.meter.count("engines_leaving")
    ctx.log.write("engine_leaving", engine=state.engine.id, status=status, running=state.running)


def _record_limit(
    ctx: context.Context, state: enginestate.EngineState, head: translating.ResponseHead
) -> None:
    per_s, before_per_s = head.limit_per_s, state.notices.limit.report.per_s
    if per_s is None:
        return
    if per_s == enginelimits.NO_LIMIT and not head.request_id:
        # Bytes that are no answer of the engine's own do not show that its limit has ended.
        return
    if state.notices.limit.record(per_s, asyncio.get_running_loop().time()):
        ctx.log_limit(state, before_per_s, ctx.cfg.name)


def _record_pause(ctx: context.Context, state: enginestate.EngineState, pause_s: float) -> None:
    state.pause(pause_s, asyncio.get_running_loop().time())
    ctx.meter.count("engine_pauses")
    ctx.log.write(
        "engine_paused",
        engine=state.engine.id,
        pause_s=round(pause_s, 2),
        running=state.running,
    )
