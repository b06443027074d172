"""Keeps the progress of rollouts that the store has lost, until it is written again.

Scenario: the store comes back from a copy that is older than the end of a rollout, or than the
order for it. The engines of the old version may have stopped, and sessions have moved. The gateways
go on from the progress that they have seen, and write it again.
"""

from berylrock.core import routing, stored

__all__ = ["RolloutRecovery"]

# Time within which operators write again what the store has lost.
REWRITE_S = 6.0
STATE_ORDER = {"new": 0, "running": 1, "reverted": 2, "completed": 2}


def _progress(rollout: routing.Rollout) -> tuple[int, int]:
    """Return how far a rollout has come; a later state or stage is larger."""
    return STATE_ORDER[rollout.state], rollout.stage


class RolloutRecovery:
    """What the store has lost of the rollouts when it came back from an older copy.

    Attributes:
      unwritten: Rollouts whose progress is further than in the store, by service.
    """

    def __init__(self) -> None:
        self.unwritten: dict[str, routing.Rollout] = {}
        self._held_until = float("-inf")

    def record_restored(self, now: float) -> None:
        """Record that the store has come back from an older copy; ``now`` is in seconds."""
        self._held_until = now + REWRITE_S

    def replace(
        self, known: dict[str, routing.Rollout], listed: list[routing.Rollout], now: float
    ) -> dict[str, routing.Rollout]:
        """Return the rollouts in force after a complete list.

        Args:
          known: The rollouts in force, by service.
          listed: Those of the list.
          now: Time in seconds.

        Returns:
          The rollouts by service. One that is not listed is kept if its order may be lost.
        """
        found = {item.service: self.update(known.get(item.service), item) for item in listed}
        return {**known, **found} if now < self._held_until else found

    def update(self, known: routing.Rollout | None, listed: routing.Rollout) -> routing.Rollout:
        """Return the rollout in force after its record was read.

        Args:
          known: The rollout in force; None if there is none.
          listed: The record.

        Returns:
          The record, with the known progress if the store has lost that; the known rollout if the
          record is older, as when a list was made before this gateway's own write.
        """
        if known is not None and self._is_older(known, listed):
            return known
        if known is None or known.target != listed.target or not self._is_behind(known, listed):
            self.unwritten.pop(listed.service, None)
            return listed
        kept = listed._replace(state=known.state, stage=known.stage, began_ms=known.began_ms)
        self.unwritten[listed.service] = kept
        return kept

    @staticmethod
    def _is_older(known: routing.Rollout, listed: routing.Rollout) -> bool:
        same_era = stored.find_era(known.revision) == stored.find_era(listed.revision)
        return same_era and listed.revision < known.revision

    def _is_behind(self, known: routing.Rollout, listed: routing.Rollout) -> bool:
        restored = stored.find_era(known.revision) < stored.find_era(listed.revision)
        may_be_lost = restored or listed.service in self.unwritten
        return may_be_lost and _progress(listed) < _progress(known)

    def remove(self, service: str) -> None:
        """Forget a rollout whose record the operators removed."""
        self.unwritten.pop(service, None)
