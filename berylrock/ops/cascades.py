"""Plans cascades: requests that ask a cheaper version first, if that lowers the expected cost.

The answer of a step passes or fails by the confidence that the engine reports with the end of the
answer. The pass rate of each version is learned for each kind of request, and determines whether
the next request asks that version at all.
"""

from berylrock.plugins import registry

__all__ = ["Cascades", "PassRates", "plan_steps"]

INITIAL_PASS_RATE = 0.5
SMOOTHING_FACTOR = 0.05
# Factor on the price of the cheaper version when it is compared with what the version saves.
COST_MARGIN = 1.1


class PassRates:
    """Smoothed share of answers that pass, by version and kind of request."""

    def __init__(self) -> None:
        self._rates: dict[tuple[str, str], float] = {}

    def find(self, version: str, kind: str) -> float:
        """Return the pass rate, 0 to 1; a half before any answer was recorded."""
        return self._rates.get((version, kind), INITIAL_PASS_RATE)

    def record(self, version: str, kind: str, passed: bool) -> None:
        """Record whether an answer passed."""
        old = self.find(version, kind)
        self._rates[(version, kind)] = old + SMOOTHING_FACTOR * ((1.0 if passed else 0.0) - old)


def plan_steps(
    candidates: tuple[registry.Candidate, ...],
    chosen: registry.Candidate,
    kind: str,
    rates: PassRates,
) -> tuple[registry.Candidate, ...]:
    """Plan a cascade that ends at the version that would answer without one.

    A cheaper version is asked first if its price, which is always paid, is less than the price that
    its passing answers save.

    Args:
      candidates: The versions that the request may run on.
      chosen: The version that the policy prefers.
      kind: Kind of request.
      rates: Pass rates of the versions.

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
    """Plans cascades by the pass rates that one process has recorded.

    Attributes:
      rates: Pass rates of the versions.
    """

    def __init__(self) -> None:
        self.rates = PassRates()

    def plan(
        self, candidates: tuple[registry.Candidate, ...], chosen: registry.Candidate, kind: str
    ) -> tuple[registry.Candidate, ...]:
        """Plan a cascade; see ``plan_steps``."""
        return plan_steps(candidates, chosen, kind, self.rates)
