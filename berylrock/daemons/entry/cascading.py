"""Runs requests by cascades: the cheap version first, then the next if its confidence is too low.

Only complete answers can be judged, so streams are not cascaded: their first token would have to
wait for the last. Every step that was answered is billed, under the same request.
"""

from typing import NamedTuple

from berylrock.core import metrics
from berylrock.daemons.entry import completions, context, outcome, request
from berylrock.ops import eligibility

__all__ = ["CascadeResult", "CascadeRunner"]


class CascadeResult(NamedTuple):
    """A complete answer of a cascade.

    Attributes:
      run: The run of the step that gave the answer.
      chunks: The chunks of the answer.
      versions: The versions that were tried, in order; the last one gave the answer.
    """

    run: completions.CompletionRun
    chunks: list[bytes]
    versions: tuple[str, ...]


class CascadeRunner:
    """Runs requests by cascades."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    def plan(self, req: request.CompletionRequest) -> tuple[str, ...]:
        """Return the versions to try in order; fewer than two if the request is not cascaded.

        A request is not cascaded if its organisation has not enabled cascades, if it is streamed,
        if it carries a session, if no document is in force, if no version may answer it, or if the
        planner puts no cheaper version before the preferred one.
        """
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
        """Try the versions in order until an answer has the confidence that is required.

        Args:
          req: The request.
          steps: The versions to try. The answer of the last one is returned unconditionally.
          deadline: Event-loop time until which the caller waits.

        Returns:
          The answer.

        Raises:
          NotRun: The last step ran nowhere.
          Unknown: The answer of the last step cannot be completed.
        """
        preferences = eligibility.find_preferences(req.caller.organisation, req.kind)
        for index, version in enumerate(steps[:-1]):
            run = completions.CompletionRun(self._ctx, req._replace(requested_model=version), index)
            try:
                chunks = [chunk async for chunk in run.chunks(deadline)]
            except outcome.RequestFailed as exc:
                # This step is not billed, and the next version may still answer.
                self._log_step(req, version, f"no answer: {exc.detail}")
                continue
            finally:
                run.close()
            passed = run.usage.confidence >= preferences.quality
            self._ctx.cascades.rates.record(version, req.kind, passed)
            self._log_step(req, version, f"confidence {run.usage.confidence:.2f}, passed: {passed}")
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
