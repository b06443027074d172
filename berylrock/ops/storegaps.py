"""Tells what the store can have lost, from the times at which any gateway has heard it.

The records of engines expire if they are not renewed for some heartbeat intervals, also while the
store is unavailable to the engines. Nothing expires while it serves them, whether it answers this
gateway or not. What counts is therefore the longest time without an answer to any gateway.

Scenario: one gateway is cut off from the store while an engine leaves. The others hear the store
all the while, so the engine's missing record means that it is gone, and it is not kept.

Scenario: a gateway is alone, or cut off together with all others. It cannot tell a cut of its own
path from an outage of the store, but an outage that makes records expire spares only a few of them.
"""

from typing import NamedTuple

__all__ = ["DEFAULT_HEARTBEAT_S", "Gap", "StoreGaps"]

DEFAULT_HEARTBEAT_S = 1.2
# Heartbeat intervals without any answer of the store after which a record may have expired.
MIN_HEARTBEATS = 1.5
# Time for engines to register again, from the first answer after a gap, and from the last call that
# failed: the store may have been back since then.
RETURN_GRACE_S, FAILURE_GRACE_S = 2.3, 2.0
# A gateway that notices late that the store is back still waits this long.
MIN_GRACE_S = 0.8


class Gap(NamedTuple):
    """Time in which no gateway is known to have had an answer of the store.

    Attributes:
      began_at: Time of the last answer before it; minus infinity if there was none.
      ended_at: Time of the first answer after it.
      grace_until: Until when the records that expired in it may be missing.
    """

    began_at: float
    ended_at: float
    grace_until: float


class StoreGaps:
    """The gaps in what all gateways together hear of the store.

    Times are in seconds on one clock.

    Attributes:
      lost: Whether this gateway's own calls fail, or those of the relay that it reads through.
      last: The last gap in which records may have expired; None if there was none.
    """

    def __init__(self, heartbeat_s: float = DEFAULT_HEARTBEAT_S) -> None:
        self.lost = False
        self.last: Gap | None = None
        self._min_gap_s = MIN_HEARTBEATS * heartbeat_s
        self._heard_at = float("-inf")
        self._failed_at = float("-inf")

    def record_failure(self, now: float) -> None:
        """Record that a call of this gateway has failed."""
        self.lost = True
        self._failed_at = now

    def record_answer(self, now: float) -> Gap | None:
        """Record that a call of this gateway was answered; returns the gap that this ends."""
        self.lost = False
        return self.record_heard(now)

    def record_heard(self, at: float) -> Gap | None:
        """Record that some gateway had an answer.

        Args:
          at: Time of the answer, or any earlier one.

        Returns:
          The gap that this ends, if records may have expired in it.
        """
        began_at, self._heard_at = self._heard_at, max(at, self._heard_at)
        if at - began_at < self._min_gap_s:
            return None
        if began_at == float("-inf") and self._failed_at == float("-inf"):
            # This is the first answer since the start.
            return None
        self.last = Gap(began_at, at, self._find_grace(began_at, at))
        return self.last

    def _find_grace(self, began_at: float, ended_at: float) -> float:
        grace_until = ended_at + RETURN_GRACE_S
        if self._failed_at > began_at:
            grace_until = min(grace_until, self._failed_at + FAILURE_GRACE_S)
        return max(grace_until, ended_at + MIN_GRACE_S)

    def record_restored(self, now: float) -> None:
        """Record that the store has come back from an older copy, without the latest records."""
        self.last = Gap(self._heard_at, now, now + RETURN_GRACE_S)

    def is_open(self, now: float) -> bool:
        """Tell whether nobody has heard the store for so long that records may expire."""
        return self.lost and now - self._heard_at >= self._min_gap_s

    def may_lack_records(self, now: float) -> bool:
        """Tell whether records may be missing that expired in a gap."""
        return self.is_open(now) or (self.last is not None and now < self.last.grace_until)
