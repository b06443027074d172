"""Decides when asking a cheaper version first pays, and whether its answer is good enough.

The answer of a step is judged by the confidence that the engine reports with its end mark. How
often a version's answers pass is learned for each kind of request, and decides whether the next
request asks it at all.
"""

from berylrock.plugins import registry

__all__ = ["Cascades", "PassRates", "plan_steps"]

INITIAL_PASS_RATE = 0.5
SMOOTHING_FACTOR = 0.05
COST_MARGIN = 1.1


class PassRates:
    """How often the answers of a version pass, by version and kind of request."""

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], float] = {}

    def find(self, version: str, kind: str) -> float:
        """The share that passes, 0 to 1; a half before any was seen."""
        return self._rates.get((version, kind), INITIAL_PASS_RATE)

    def record(self, version: str, kind: str, passed: bool) -> None:
        """Take one judgement."""
        old = self.find(version, kind)
        self._rates[(version, kind)] = old + SMOOTHING_FACTOR * ((1.0 if passed else 0.0) - old)


def plan_steps(
    candidates: tuple[registry.Candidate, ...],
    chosen: registry.Candidate,
    kind: str,
    rates: PassRates,
) -> tuple[registry.Candidate, ...]:
    """Plan a cascade that ends at the version that would answer without one.

    A cheaper version is asked first if its price, paid always, is less than what its passing
    answers save.

    Args:
      candidates: The versions that the request may run on.
      chosen: The version that the policy prefers.
      kind: Kind of request.
      rates: How often answers pass.

    Returns:
      The versions to ask, the last one being ``chosen``.
    """
    best: registry.Candidate | None = None
    best_saving = 0.0
    for item in candidates:
        saving = rates.find(str(item.version_id), kind) * chosen.cost_per_million
        saving -= item.cost_per_million * COST_MARGIN
        if item.version_id != chosen.version_id and saving > best_saving:
            best, best_saving = item, saving
    return (best, chosen) if best is not None else (chosen,)


class Cascades:
    """Plans cascades by what one process has learned.

    Attributes:
      rates: How often answers pass.
    """

    def __init__(self) -> None:
        self.rates = PassRates()

    def plan(
        self, candidates: tuple[registry.Candidate, ...], chosen: registry.Candidate, kind: str
    ) -> tuple[registry.Candidate, ...]:
        """Plan a cascade; see ``plan_steps``."""
        return plan_steps(candidates, chosen, kind, self.rates)
