"""Answers a request by a cascade: the cheap version first, and on to the next if it falls short.

Only whole answers are judged, so streams are not cascaded: their first token would have to wait for
the last. Every step that ran is billed, under one request.
"""

from typing import NamedTuple

from berylrock.core import metrics
from berylrock.daemons.entry import context, models, outcome, request
from berylrock.ops import choice

__all__ = ["Cascaded", "Cascader"]


class Cascaded(NamedTuple):
    """A whole answer and the versions that were asked for it, the last one having given it."""

    run: models.ModelRun
    pieces: list[bytes]
    asked: tuple[str, ...]


class Cascader:
    """Runs requests by cascades."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx

    def plan(self, req: request.ModelRequest) -> tuple[str, ...]:
        """The versions to ask in turn; none if the request is not to be cascaded."""
        doc = self._ctx.kernel.config.doc
        owner = req.caller.organisation
        if doc is None or not owner.cascade or req.stream or req.session:
            return ()
        found = choice.find_candidates(
            doc, owner, req.asked, req.kind, req.caller.request_id, self._ctx.fleet.view()
        )
        ranked = self._ctx.policy(found, choice.find_wish(owner, req.kind))
        if not ranked:
            return ()
        steps = self._ctx.cascades.plan(found, ranked[0], req.kind)
        return tuple(str(item.version_id) for item in steps)

    async def run(
        self, req: request.ModelRequest, steps: tuple[str, ...], deadline: float
    ) -> Cascaded:
        """Ask the versions in turn until an answer passes.

        Args:
          req: The request.
          steps: The versions to ask; the last one's answer is taken as it is.
          deadline: Event-loop time until which the caller waits.

        Raises:
          NotRun: The last step ran nowhere.
          Unknown: Its answer cannot be had whole.
        """
        wish = choice.find_wish(req.caller.organisation, req.kind)
        for index, version in enumerate(steps[:-1]):
            run = models.ModelRun(self._ctx, req._replace(asked=version), index)
            try:
                pieces = [piece async for piece in run.pieces(deadline)]
            except outcome.Ended as exc:
                # The next version may still answer; this step was not billed.
                self._note(req, version, f"no answer: {exc.detail}")
                continue
            finally:
                run.close()
            passed = run.usage.confidence >= wish.quality
            self._ctx.cascades.rates.note(version, req.kind, passed)
            self._note(req, version, f"confidence {run.usage.confidence:.2f}, passed {passed}")
            if passed:
                return Cascaded(run, pieces, steps[: index + 1])
        self._ctx.kernel.meter.count(metrics.Metrics.CASCADE_ESCALATIONS)
        run = models.ModelRun(self._ctx, req._replace(asked=steps[-1]), len(steps) - 1)
        try:
            return Cascaded(run, [piece async for piece in run.pieces(deadline)], steps)
        finally:
            run.close()

    def _note(self, req: request.ModelRequest, version: str, why: str) -> None:
        self._ctx.kernel.log.write(
            "cascade_step", request=req.caller.request_id, target=version, why=why
        )
