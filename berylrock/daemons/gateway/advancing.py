"""Advances rollouts by conditional writes to the store; the gateways take turns."""

import time

from berylrock.core import errors, routing
from berylrock.daemons.gateway import context
from berylrock.ops import (
    backoff,
    evidence,
    freshness,
    heldsessions,
    rolloutclock,
    rollouts,
    sampling,
    trials,
    turns,
)
from berylrock.platform import decoding, names

__all__ = ["RolloutController"]

MS_PER_S = 1000.0
# Pauses after a write that failed: the store may refuse this gateway and serve the others, or
# another gateway's write has not been seen here yet.
FIRST_PAUSE_S, MAX_PAUSE_S = 0.25, 1.0


class _Progress:
    """State of one rollout that this process keeps in memory.

    Attributes:
      judge: Judges the version on trial.
      clock: Age of the rollout and of its stage.
      held_stage: Last stage of which was logged that the rollout waits in it; -1 for none.
      backoff: Pauses after failed writes.
      retry_at: Time before which no write is made, by ``freshness.boottime_clock``.
      vetoed_at: Time at which the version was first known to be bad; None if it is not.
      lost_at: Time at which the store was first seen to have lost its progress; None if it has not.
    """

    def __init__(self, rollout: routing.Rollout, streams: bool, now: float) -> None:
        self.judge = trials.TrialJudge(streams)
        self.clock = rolloutclock.RolloutClock(rollout, now, time.time() * MS_PER_S)
        self.backoff = backoff.Backoff(FIRST_PAUSE_S, MAX_PAUSE_S)
        self.held_stage = -1
        self.retry_at = 0.0
        self.vetoed_at: float | None = None
        self.lost_at: float | None = None


class RolloutController:
    """Decides on each rollout from the evidence of all gateways."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._progress: dict[str, _Progress] = {}

    async def decide_rollouts(self) -> None:
        """Decide on every rollout that is not finished, and write again what the store lost."""
        for rollout in list(self._ctx.rollout_recovery.unwritten.values()):
            await self._write_again(rollout)
        for rollout in list(self._ctx.rollouts.values()):
            if rollout.state in ("new", "running"):
                await self._decide_one(rollout)

    async def _write_again(self, rollout: routing.Rollout) -> None:
        """Write the known progress of a rollout when it is this gateway's turn."""
        now = freshness.boottime_clock()
        progress = self._progress_of(rollout, now)
        if progress.lost_at is None:
            progress.lost_at = now
        due = progress.lost_at + self._turn_s(rollout, f"{rollout.state} again")
        if now < max(due, progress.retry_at):
            return
        outcome = await self._try_write(rollout, progress)
        if not outcome:
            progress.lost_at = None
        self._ctx.log.write(
            "rollout_written_again",
            service=rollout.service,
            target=rollout.target,
            state=rollout.state,
            stage=rollout.stage,
            outcome=outcome or "written",
        )

    async def _decide_one(self, rollout: routing.Rollout) -> None:
        """Write the next state of a rollout if there is one and it is this gateway's turn."""
        now = freshness.boottime_clock()
        progress = self._progress_of(rollout, now)
        verdict = self._judge(rollout, progress)
        self._check_version(rollout, verdict)
        self._update_sampling(rollout, progress, now)
        decision = self._decide(rollout, progress, verdict, now)
        self._log_held(rollout, progress, verdict, now)
        if decision is None or now < progress.retry_at:
            return
        wanted = rollout._replace(
            state=decision.state,
            stage=decision.stage,
            began_ms=rollout.began_ms or int((time.time() - progress.clock.age_s(now)) * MS_PER_S),
        )
        outcome = await self._try_write(wanted, progress)
        self._log(wanted, decision, verdict, outcome or "written")

    def _progress_of(self, rollout: routing.Rollout, now: float) -> _Progress:
        progress = self._progress.get(rollout.service)
        if progress is None or not progress.clock.is_for(rollout):
            streams = self._ctx.runs_models(rollout.service)
            progress = self._progress[rollout.service] = _Progress(rollout, streams, now)
            self._ctx.evidence.discard(rollout.service)
        progress.clock.observe(rollout, now)
        return progress

    def _judge(self, rollout: routing.Rollout, progress: _Progress) -> rollouts.Verdict:
        """Judge the version on trial by the results of all gateways."""
        ctx = self._ctx
        trial, stable = self._versions_of(rollout)
        judge = progress.judge
        by_route, usual_by_route = ctx.evidence.by_route(trial), ctx.evidence.by_route(stable)
        judge.update(by_route, usual_by_route)
        total, usual = ctx.evidence.total(trial), ctx.evidence.total(stable)
        comparable = usual if judge.streams else sampling.reweigh(by_route, usual_by_route)
        fault = judge.find_fault() or rollouts.find_fault(total, comparable)
        return rollouts.Verdict(fault, judge.find_doubt(rollout.stage), total, usual)

    def _update_sampling(self, rollout: routing.Rollout, progress: _Progress, now: float) -> None:
        """Update which share of each route's requests goes to the version on trial.

        Requests without a session are on trial from the order on.
        """
        ctx, shares = self._ctx, {}
        vetoed = ctx.is_vetoed(rollout.service, rollout.target)
        if not vetoed:
            age_s = progress.clock.age_s(now)
            bounds = ctx.cfg.bounds
            shares = sampling.sampling_shares(progress.judge, age_s, rollout.duration_s, bounds)
        ctx.sampling_shares[rollout.service] = shares

    def _log_held(
        self,
        rollout: routing.Rollout,
        progress: _Progress,
        verdict: rollouts.Verdict,
        now: float,
    ) -> None:
        """Log once for each stage that the rollout waits although its time has come."""
        due = self._schedule(rollout)
        age_s = progress.clock.age_s(now)
        if rollout.stage == 0 or age_s < due.last or progress.held_stage == rollout.stage:
            return
        if rollouts.is_held(rollout, verdict, age_s):
            progress.held_stage = rollout.stage
            self._ctx.log.write(
                "rollout_held",
                service=rollout.service,
                target=rollout.target,
                stage=rollout.stage,
                reason=verdict.doubt,
                age_s=round(age_s, 1),
            )

    def _versions_of(
        self, rollout: routing.Rollout
    ) -> tuple[evidence.VersionKey, evidence.VersionKey]:
        """Return the version on trial and the stable one."""
        engines = [item.engine for item in self._ctx.engines.of_service(rollout.service)]
        others = [item for item in engines if item.version != rollout.target]
        stable = rollouts.majority_version(others) or ""
        service = rollout.service
        return evidence.VersionKey(service, rollout.target), evidence.VersionKey(service, stable)

    def _describe_routes(self, rollout: routing.Rollout) -> str:
        """Describe the results by route for the log."""
        trial, stable = self._versions_of(rollout)
        pool = self._ctx.evidence
        return evidence.describe_routes(pool.by_route(trial), pool.by_route(stable))

    def _check_version(self, rollout: routing.Rollout, verdict: rollouts.Verdict) -> None:
        """Veto the version on trial if it is bad; the other gateways hear of it by datagram."""
        ctx = self._ctx
        if not verdict.fault or ctx.is_vetoed(rollout.service, rollout.target):
            return
        ctx.evidence.vetoes.add(evidence.VersionKey(rollout.service, rollout.target))
        ctx.log.write(
            "version_vetoed",
            service=rollout.service,
            target=rollout.target,
            reason=verdict.fault,
            trial=str(verdict.trial),
            usual=str(verdict.usual),
            routes=self._describe_routes(rollout),
        )

    def _decide(
        self,
        rollout: routing.Rollout,
        progress: _Progress,
        verdict: rollouts.Verdict,
        now: float,
    ) -> rollouts.Decision | None:
        ctx = self._ctx
        delay_s = self._turn_s(rollout, rollout.state)
        if ctx.is_vetoed(rollout.service, rollout.target):
            if progress.vetoed_at is None:
                progress.vetoed_at = now
            due = now - progress.vetoed_at >= delay_s
            return rollouts.Decision("reverted", rollout.stage, "found bad") if due else None
        return rollouts.decide(
            rollout,
            verdict,
            progress.clock.age_s(now) - delay_s,
            progress.clock.stage_s(now) - delay_s,
            self._schedule(rollout),
        )

    def _turn_s(self, rollout: routing.Rollout, state: str) -> float:
        """Return how much later than the first gateway this one makes a write."""
        subject = f"{rollout.service}\0{rollout.target}\0{state}\0{rollout.stage}"
        return turns.delay_s(self._ctx.cfg.name, self._ctx.gateways_heard(), subject)

    def _schedule(self, rollout: routing.Rollout) -> rollouts.Schedule:
        """Return the start times of a rollout's stages at the current rate of requests."""
        ctx, service = self._ctx, rollout.service
        bounds = ctx.cfg.bounds
        margin_s = sampling.second_stage_margin_s(
            ctx.runs_models(service), ctx.request_rate(service), bounds
        )
        key = heldsessions.RolloutKey(service, rollout.target)
        held = ctx.sessions.held.summarise(key).size
        return rollouts.make_schedule(rollout.duration_s, bounds.canary_share, margin_s, held)

    async def _try_write(self, wanted: routing.Rollout, progress: _Progress) -> str:
        """Write a rollout's status, with a pause after a failure; returns what failed, if any."""
        outcome = await self._write(wanted)
        if outcome:
            progress.retry_at = freshness.boottime_clock() + progress.backoff.next_pause_s()
        else:
            progress.backoff.reset()
        return outcome

    async def _write(self, wanted: routing.Rollout) -> str:
        """Write a rollout's status.

        Returns:
          What failed; empty if it was written. The watch then returns the actual state.
        """
        status = decoding.encode_rollout_status(wanted)
        try:
            stored = await self._ctx.store.set_status(
                names.ROLLOUTS_KIND, wanted.service, status, wanted.revision
            )
        except errors.BerylrockError as exc:
            return str(exc)
        if stored is not None:
            self._update_rollout(decoding.decode_rollout(stored))
        return ""

    def _update_rollout(self, rollout: routing.Rollout | None) -> None:
        known = self._ctx.rollouts.get(rollout.service) if rollout is not None else None
        if rollout is not None and (known is None or known.revision < rollout.revision):
            kept = self._ctx.rollout_recovery.update(known, rollout)
            self._ctx.rollouts[rollout.service] = kept

    def _log(
        self,
        wanted: routing.Rollout,
        decision: rollouts.Decision,
        verdict: rollouts.Verdict,
        outcome: str,
    ) -> None:
        self._ctx.log.write(
            "rollout_decided",
            service=wanted.service,
            target=wanted.target,
            state=decision.state,
            stage=decision.stage,
            reason=decision.reason,
            evidence=f"{verdict.trial} usual {verdict.usual}",
            routes=self._describe_routes(wanted),
            outcome=outcome,
        )
