"""Answers a request by a cascade: the cheap version first, and on to the next if it falls short.

Only whole answers are judged, so streams are not cascaded: their first token would have to wait for
the last. Every step that ran is billed, under one request.
"""

from typing import NamedTuple

from berylrock.core import metrics
from berylrock.daemons.entry import completions, context, outcome, request
from berylrock.ops import eligibility

__all__ = ["CascadeResult", "CascadeRunner"]


class CascadeResult(NamedTuple):
    """A whole answer and the versions that were asked for it, the last one having given it."""

    run: completions.CompletionRun
    chunks: list[bytes]
    versions: tuple[str, ...]


class CascadeRunner:
    """Runs requests by cascades."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    def plan(self, req: request.CompletionRequest) -> tuple[str, ...]:
        """The versions to ask in turn; none if the request is not to be cascaded."""
        doc = self._ctx.runtime.config.doc
        owner = req.caller.organisation
        if doc is None or not owner.cascade or req.stream or req.session:
            return ()
        found = eligibility.find_candidates(
            doc,
            owner,
            req.requested_model,
            req.kind,
            req.caller.request_id,
            self._ctx.fleet.rollout_view(),
        )
        ranked = self._ctx.policy(found, eligibility.find_preferences(owner, req.kind))
        if not ranked:
            return ()
        steps = self._ctx.cascades.plan(found, ranked[0], req.kind)
        return tuple(str(item.version_id) for item in steps)

    async def run(
        self, req: request.CompletionRequest, steps: tuple[str, ...], deadline: float
    ) -> CascadeResult:
        """Ask the versions in turn until an answer passes.

        Args:
          req: The request.
          steps: The versions to ask; the last one's answer is taken as it is.
          deadline: Event-loop time until which the caller waits.

        Raises:
          NotRun: The last step ran nowhere.
          Unknown: Its answer cannot be had whole.
        """
        wish = eligibility.find_preferences(req.caller.organisation, req.kind)
        for index, version in enumerate(steps[:-1]):
            run = completions.CompletionRun(self._ctx, req._replace(requested_model=version), index)
            try:
                chunks = [chunk async for chunk in run.chunks(deadline)]
            except outcome.RequestFailed as exc:
                # The next version may still answer; this step was not billed.
                self._log_step(req, version, f"no answer: {exc.detail}")
                continue
            finally:
                run.close()
            passed = run.usage.confidence >= wish.quality
            self._ctx.cascades.rates.record(version, req.kind, passed)
            self._log_step(req, version, f"confidence {run.usage.confidence:.2f}, passed {passed}")
            if passed:
                return CascadeResult(run, chunks, steps[: index + 1])
        self._ctx.runtime.meter.count(metrics.Metrics.CASCADE_ESCALATIONS)
        run = completions.CompletionRun(
            self._ctx, req._replace(requested_model=steps[-1]), len(steps) - 1
        )
        try:
            return CascadeResult(run, [chunk async for chunk in run.chunks(deadline)], steps)
        finally:
            run.close()

    def _log_step(self, req: request.CompletionRequest, version: str, why: str) -> None:
        self._ctx.runtime.log.write(
            "cascade_step", request=req.caller.request_id, target=version, why=why
        )
