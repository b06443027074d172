"""Knows the sessions that stay on the old version in the first stage of a rollout.

They are those that began before the stage and that its share would move. All gateways need the same
set: it only grows, each gateway adds what it knows, and they send each other what is missing. Two
sets are compared by their size and a checksum.
"""

from collections.abc import Iterable
from typing import NamedTuple

from berylrock.ops import activesessions

__all__ = ["DIGEST_BYTES", "HeldSessions", "Hold", "RolloutKey", "Summary"]

# A set of a rollout that this gateway does not know is kept for this long, in seconds: the order
# may be on its way.
UNKNOWN_KEPT_S = 10.0
# Rollouts of which sets are kept, so that reports of others cannot fill the memory.
MAX_SETS = 64
DIGEST_BYTES = activesessions.DIGEST_BYTES


class RolloutKey(NamedTuple):
    """A service, and the version that a rollout introduces there."""

    service: str
    target: str


class Summary(NamedTuple):
    """Size and checksum of a set of sessions; equal sets have equal summaries."""

    size: int = 0
    checksum: int = 0


class Hold(NamedTuple):
    """How this gateway knows that a session stays on the old version.

    Attributes:
      since: When it first knew, in seconds.
      told: Whether another gateway told it.
    """

    since: float
    told: bool


class _HeldSet:
    """The sessions of one rollout.

    Attributes:
      holds: The sessions by their digests, in the order in which they became known.
      checksum: Exclusive or of the digests.
      heard_at: When another gateway last reported it, in seconds.
      next: Position of the next digest to send.
    """

    def __init__(self) -> None:
        self.holds: dict[bytes, Hold] = {}
        self.checksum = 0
        self.heard_at = float("-inf")
        self.next = 0

    def add(self, digest: bytes, hold: Hold) -> None:
        """Add a session, once."""
        if digest not in self.holds:
            self.holds[digest] = hold
            self.checksum ^= int.from_bytes(digest, "big")


class HeldSessions:
    """The sets of all rollouts in their first stage."""

    def __init__(self) -> None:
        self._sets: dict[RolloutKey, _HeldSet] = {}
        self._reported: dict[RolloutKey, dict[str, Summary]] = {}

    def hold(self, key: RolloutKey, digest: bytes, now: float) -> None:
        """Add a session that this gateway knows by itself to the set of a rollout."""
        self._sets.setdefault(key, _HeldSet()).add(digest, Hold(now, False))

    def merge(self, key: RolloutKey, packed: bytes, now: float) -> bool:
        """Add the sessions that another gateway reports.

        Args:
          key: The rollout.
          packed: The digests, one after the other.
          now: Time in seconds.

        Returns:
          Whether they were added; False if there are too many rollouts.
        """
        if key not in self._sets and len(self._sets) >= MAX_SETS:
            return False
        found = self._sets.setdefault(key, _HeldSet())
        found.heard_at = now
        for first in range(0, len(packed) - DIGEST_BYTES + 1, DIGEST_BYTES):
            found.add(packed[first : first + DIGEST_BYTES], Hold(now, True))
        return True

    def find(self, key: RolloutKey, digest: bytes) -> Hold | None:
        """Return how it is known that a session stays on the old version; None if it does not."""
        found = self._sets.get(key)
        return found.holds.get(digest) if found is not None else None

    def summarise(self, key: RolloutKey) -> Summary:
        """Return the summary of a rollout's set."""
        found = self._sets.get(key)
        return Summary() if found is None else Summary(len(found.holds), found.checksum)

    def record_report(self, key: RolloutKey, gateway: str, summary: Summary) -> None:
        """Record the summary of another gateway's set."""
        self._reported.setdefault(key, {})[gateway] = summary

    def is_equal_at(self, key: RolloutKey, gateway: str) -> bool:
        """Tell whether another gateway's last report shows the same set; one without is empty."""
        reported = self._reported.get(key, {}).get(gateway, Summary())
        return reported == self.summarise(key)

    def is_equal_at_any(self, key: RolloutKey) -> bool:
        """Tell whether any other gateway has reported the same set."""
        return self.summarise(key) in self._reported.get(key, {}).values()

    def take(self, key: RolloutKey, count: int) -> bytes:
        """Return up to ``count`` digests of a rollout's set, one after the other, in turns."""
        found = self._sets.get(key)
        if found is None or not found.holds or count <= 0:
            return b""
        digests = list(found.holds)
        first = found.next % len(digests)
        taken = (digests[first:] + digests[:first])[:count]
        found.next = (first + len(taken)) % len(digests)
        return b"".join(taken)

    def retain(self, keys: Iterable[RolloutKey], now: float) -> None:
        """Drop the sets of other rollouts, unless other gateways reported them lately."""
        kept = set(keys)
        self._sets = {
            key: item
            for key, item in self._sets.items()
            if key in kept or now - item.heard_at < UNKNOWN_KEPT_S
        }
        self._reported = {
            key: item for key, item in self._reported.items() if key in kept or key in self._sets
        }
