"""Records what engines say of themselves in their answers."""

from berylrock.daemons.gateway import context
from berylrock.ops import enginestate
from berylrock.platform import translating

__all__ = ["record"]

MISDIRECTED = 421


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


def _record_leaving(ctx: context.Context, state: enginestate.EngineState, status: int) -> None:
    if not ctx.engines.record_leaving(state.engine.id):
        return
    ctx.meter.count("engines_leaving")
    ctx.log.write("engine_leaving", engine=state.engine.id, status=status, running=state.running)
