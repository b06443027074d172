"""Records crashes of engines, and decides which requests and prompt parts are to blame for them."""

import asyncio
import time
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.adapters import http1
from berylrock.core import routing
from berylrock.daemons.gateway import context, pool
from berylrock.ops import crashlog, enginestate, soundness, suspects

__all__ = [
    "Check",
    "adopt_blame",
    "check",
    "decide_blame",
    "find_blamed",
    "record_broken",
    "record_ended",
    "record_reports",
    "record_unreachable",
    "trial_in_s",
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
        parts=",".join(sorted({part for item in reports for part in item.parts})),
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
    for suspect in ctx.blame.settle(now, now_ms):
        _log_decision(ctx, suspect, False, ctx.cfg.name)
    for case in ctx.blame.decide(ctx.gateway_count(), now, now_ms):
        is_request = suspects.is_request(case.suspect)
        ctx.meter.count("blamed_requests" if is_request else "blamed_parts")
        _log_decision(
            *(ctx, case.suspect, True, ctx.cfg.name),
            crashes=case.crashes,
            rounds=case.rounds,
            score=round(case.score, 1),
        )


def _log_decision(
    ctx: context.Context, suspect: str, blamed: bool, gateway: str, **evidence: float
) -> None:
    """Log that a suspect is blamed or cleared, and by which gateway."""
    state = "blamed" if blamed else "cleared"
    if suspects.is_request(suspect):
        fingerprint = suspects.digest_of(suspect)
        ctx.log.write(f"request_{state}", fingerprint=fingerprint, by=gateway, **evidence)
    else:
        ctx.log.write(f"prompt_part_{state}", part=suspect, by=gateway, **evidence)


def adopt_blame(ctx: context.Context, decision: routing.Blame, gateway: str) -> None:
    """Adopt another gateway's decision on a suspect if it is the later one."""
    if ctx.blame.adopt(decision, asyncio.get_running_loop().time()):
        _log_decision(ctx, decision.suspect, decision.blamed, gateway)


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
    blamed = find_blamed(ctx, head, fingerprint)
    if not blamed:
        return Check()
    waits = {item: trial_in_s(ctx, item) for item in blamed}
    last = max(blamed, key=waits.__getitem__)
    if waits[last] > 0.0:
        return Check(refused_for=last, return_s=waits[last])
    for item in blamed:
        ctx.blame.take_trial(item, _now_ms())
    return Check(tried=blamed)


def find_blamed(
    ctx: context.Context, head: routing.RequestHead, fingerprint: str
) -> tuple[str, ...]:
    """Return what is blamed of a request: parts of its prompt, and the request itself."""
    return ctx.blame.find_blamed(head.shared_parts, suspects.request_digest(fingerprint))


def trial_in_s(ctx: context.Context, suspect: str) -> float:
    """Return the seconds after which a request may try a blamed suspect at this gateway."""
    share = ctx.position_by_datagram() / (1 + len(ctx.gateways_heard()))
    return ctx.blame.trial_in_s(suspect, share, _now_ms())
