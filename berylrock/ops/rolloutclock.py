"""Measures the age of a rollout, also across a restart of this process.

Scenario: a gateway, or all of them at once, is restarted in the middle of a rollout. The order's
time goes on. The gateway that starts a rollout stores the time of day with it; a gateway that first
sees the rollout when it is already running counts from there.
"""

from berylrock.core import routing

__all__ = ["RolloutClock"]

# The time of day may differ between VMs by about this much.
CLOCK_SKEW_S = 0.25
# A process that was just started has to hear the results of the other gateways before it decides.
HEARING_S = 1.0
MS_PER_S = 1000.0


class RolloutClock:
    """Records when a rollout and its stage began, as far as this process knows.

    Attributes:
      target: The version to roll out.
    """

    def __init__(self, rollout: routing.Rollout, now: float, time_of_day_ms: float) -> None:
        """Begin to measure.

        Args:
          rollout: The rollout as first seen by this process.
          now: Time in seconds on a clock that goes on while the VM is suspended.
          time_of_day_ms: Milliseconds since 1970.
        """
        self.target = rollout.target
        self._seen_at = now
        self._began_at = now - _earlier_s(rollout, time_of_day_ms)
        self._stage = rollout.stage
        self._stage_at = now
        self._running_revision = 0

    def observe(self, rollout: routing.Rollout, now: float) -> None:
        """Record the rollout's present stage."""
        if rollout.state != "new":
            self._running_revision = max(self._running_revision, rollout.revision)
        if rollout.stage != self._stage:
            self._stage, self._stage_at = rollout.stage, now

    def is_for(self, rollout: routing.Rollout) -> bool:
        """Tell whether this clock measures a rollout, and not an earlier order for the service."""
        if rollout.target != self.target:
            return False
        ordered_again = rollout.state == "new" and rollout.revision > self._running_revision > 0
        return not ordered_again

    def age_s(self, now: float) -> float:
        """Return the seconds since the order was first seen by any gateway."""
        seen_s = now - self._seen_at
        return now - self._began_at if seen_s >= HEARING_S else seen_s

    def stage_s(self, now: float) -> float:
        """Return the seconds since this process first saw the stage."""
        return now - self._stage_at


def _earlier_s(rollout: routing.Rollout, time_of_day_ms: float) -> float:
    """Return for how long the rollout had been running when this process first saw it."""
    if rollout.state == "new" or rollout.began_ms <= 0:
        return 0.0
    running_s = (time_of_day_ms - rollout.began_ms) / MS_PER_S - CLOCK_SKEW_S
    return min(max(0.0, running_s), rollout.duration_s)
