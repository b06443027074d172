"""Keeps the rollouts that other gateways report, for a gateway that learns late from the store.

Scenario: the store turns some gateways away, or answers them late, while a rollout goes to its next
stage. The others have moved sessions to the new version, and this gateway would move them back.
"""

from typing import NamedTuple

from berylrock.core import routing, stored

__all__ = ["HeardRollouts"]

# A gateway that learns late has learned from the store by then, in seconds.
KEPT_S = 30.0
MAX_HEARD = 64


class _Heard(NamedTuple):
    """A rollout that another gateway reported, and when it last did so, in seconds."""

    rollout: routing.Rollout
    at: float


class HeardRollouts:
    """The latest reported rollout of each service."""

    def __init__(self) -> None:
        self._heard: dict[str, _Heard] = {}

    def record(self, rollout: routing.Rollout, now: float) -> None:
        """Record a rollout as another gateway knows it from the store."""
        known = self._heard.get(rollout.service)
        if known is None and len(self._heard) >= MAX_HEARD:
            return
        if known is None or known.rollout.revision <= rollout.revision:
            self._heard[rollout.service] = _Heard(rollout, now)

    def expire(self, now: float) -> None:
        """Remove rollouts that were reported long ago."""
        self._heard = {name: item for name, item in self._heard.items() if now - item.at < KEPT_S}

    @property
    def services(self) -> set[str]:
        """The services of which a rollout was reported."""
        return set(self._heard)

    def choose_later(
        self, service: str, known: routing.Rollout | None, revision: int
    ) -> routing.Rollout | None:
        """Return the later one of what is known and what was reported of a service's rollout.

        Args:
          service: The service.
          known: What this gateway knows from the store; None if there is no rollout.
          revision: The store's revision up to which it does; an order that is not later than this
            and not known has been deleted.

        Returns:
          The rollout; None if there is none.
        """
        heard = self._heard.get(service)
        if heard is None:
            return known
        since = known.revision if known is not None else revision
        reported = heard.rollout
        same_era = stored.find_era(since) == stored.find_era(reported.revision)
        return reported if same_era and since < reported.revision else known
