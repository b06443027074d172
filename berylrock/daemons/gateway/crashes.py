"""Records crashes of engines, and decides which requests and prompt parts are to blame for them."""

import asyncio
import time
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.adapters import http1
from berylrock.core import message, routing
from berylrock.daemons.gateway import context, pool
from berylrock.ops import crashlog, enginestate, soundness, suspects

__all__ = [
    "Check",
    "adopt_blame",
    "check",
    "decide_blame",
    "record_broken",
    "record_ended",
    "record_reports",
    "record_unreachable",
]

MS_PER_S = 1000.0
# A crashing engine closes its connections shortly before it stops listening, so the check for a
# crash waits this long.
CRASH_CHECK_DELAY_S = 0.05


def _now_ms() -> int:
    return int(time.time() * MS_PER_S)


def record_broken(
    ctx: context.Context,
    conns: pool.ConnectionPool,
    state: enginestate.EngineState,
    broken: enginestate.BrokenRequest,
) -> None:
    """Record a broken connection, and check whether the engine crashed with its requests."""
    if not state.broken:
        ctx.timer.spawn(_check_for_crash(ctx, conns, state))
    state.record_broken(broken)


async def _check_for_crash(
    ctx: context.Context, conns: pool.ConnectionPool, state: enginestate.EngineState
) -> None:
    """Connect to an engine whose connections have just broken; a failure means a crash."""
    await asyncio.sleep(CRASH_CHECK_DELAY_S)
    engine = state.engine
    try:
        conn = await pool.PooledConnection.open(engine.address, pool.CONNECT_TIMEOUT_S)
    except http1.ConnectFailed:
        record_unreachable(ctx, state)
        return
    state.broken.clear()
    conns.release(engine, conn, False)


def record_unreachable(ctx: context.Context, state: enginestate.EngineState) -> None:
    """Record that an engine accepts no connection, which may be due to what it was running."""
    now = asyncio.get_running_loop().time()
    state.health.record_unreachable(now)
    state.mark_cold(now)
    _record_crash(ctx, state.engine, state.take_broken(now), now)


def _record_crash(
    ctx: context.Context,
    engine: routing.Engine,
    broken: list[enginestate.BrokenRequest],
    now: float,
) -> None:
    """Record that an engine crashed, if any of this gateway's requests may have caused that."""
    fleet = len(ctx.engines.of_service(engine.service))
    reports = ctx.blame.record_crash(engine, fleet, broken, now)
    if not reports:
        return
    ctx.log.write(
        "engine_crashed",
        engine=engine.id,
        requests=len(reports),
        not_begun=sum(not item.begun for item in broken),
        parts=",".join(sorted({part for item in reports for part in item.parts})),
    )
    # An engine may restart under the same id and crash again, so the id of a crash contains the
    # time.
    crash = f"{engine.id}@{int(time.time())}"
    strikes_found = [message.Strike(item.fingerprint, crash) for item in broken if not item.begun]
    for strike in ctx.strikes.add(strikes_found, now):
        quarantined = ctx.strikes.is_quarantined(strike.fingerprint)
        ctx.meter.count("suspects")
        ctx.log.write(
            "request_suspected",
            fingerprint=strike.fingerprint,
            engine=engine.id,
            refused=quarantined,
        )
    decide_blame(ctx)


def record_reports(
    ctx: context.Context, reports: Iterable[crashlog.CrashReport], now: float
) -> None:
    """Record what another gateway reports of crashes, with what is known here of the engines."""
    known = []
    for report in reports:
        state = ctx.engines.find(report.engine)
        if state is not None:
            service = state.engine.service
            fleet = len(ctx.engines.of_service(service))
            report = report._replace(service=service, fleet=fleet)
        known.append(report)
    ctx.blame.record_reports(known, now)


def record_ended(
    ctx: context.Context, req: routing.Request, run: soundness.Run, complete: bool
) -> None:
    """Record that a request does not run on its engine any more, though that has not crashed.

    Args:
      ctx: State of the gateway.
      req: The request.
      run: Where and when it ran.
      complete: Whether its answer was complete; if not, the gateway has given it up.
    """
    digest = suspects.request_digest(req.fingerprint)
    ended = soundness.EndedRun(run, digest, req.head.shared_parts, complete)
    ctx.blame.soundness.record_ended(ended, asyncio.get_running_loop().time())


def decide_blame(ctx: context.Context) -> None:
    """Clear what was answered completely, and blame suspects if there is enough evidence."""
    now, now_ms = asyncio.get_running_loop().time(), _now_ms()
    for part in ctx.blame.settle(now, now_ms):
        ctx.log.write("prompt_part_cleared", part=part, by=ctx.cfg.name)
    for case in ctx.blame.decide(ctx.gateway_count(), now, now_ms):
        ctx.meter.count("blamed_parts")
        ctx.log.write(
            "prompt_part_blamed",
            part=case.suspect,
            by=ctx.cfg.name,
            crashes=case.crashes,
            rounds=case.rounds,
            score=round(case.score, 1),
        )


def adopt_blame(ctx: context.Context, decision: routing.Blame, gateway: str) -> None:
    """Adopt another gateway's decision on a prompt part if it is the later one."""
    if ctx.blame.adopt(decision, asyncio.get_running_loop().time()):
        event = "prompt_part_blamed" if decision.blamed else "prompt_part_cleared"
        ctx.log.write(event, part=decision.suspect, by=gateway)


class Check(NamedTuple):
    """Whether a request may run, as far as crashes of engines go.

    Attributes:
      refused_for: The blamed suspect for which it is refused; empty if it may run.
      tried: Blamed suspects that it may try once more.
      return_s: Seconds after which the suspect may be tried; 0 if the request may run.
    """

    refused_for: str = ""
    tried: tuple[str, ...] = ()
    return_s: float = 0.0


def check(ctx: context.Context, head: routing.RequestHead, fingerprint: str) -> Check:
    """Decide whether a request may run though it may crash engines; a trial counts as taken."""
    blamed = ctx.blame.find_blamed(head.shared_parts, suspects.request_digest(fingerprint))
    if not blamed:
        return Check()
    now_ms, position = _now_ms(), ctx.position_by_datagram()
    share = position / (1 + len(ctx.gateways_heard()))
    waits = {item: ctx.blame.trial_in_s(item, share, now_ms) for item in blamed}
    last = max(blamed, key=waits.__getitem__)
    if waits[last] > 0.0:
        return Check(refused_for=last, return_s=waits[last])
    for item in blamed:
        ctx.blame.take_trial(item, now_ms)
    return Check(tried=blamed)
