"""Tracks how fresh this process's view of each kind of object in the store is.

If another gateway has the same view as this one, and the store confirmed it recently, this view is
confirmed as well. Therefore not every gateway has to query the store each second.

A gateway reports the age of its confirmation, but not how long its datagram was in transit, which
may be long if this VM was suspended. It therefore echoes the last send timestamp that it received
from this gateway. The report was made after that timestamp, so its confirmation is no older than
the timestamp less the reported age.
"""

import hashlib
from typing import NamedTuple

from berylrock.ops import freshness

__all__ = ["SendTimestamp", "StoreView", "ViewReport", "find_sent_at"]

# A view that differs from a fresher one for longer than this has missed a change. A shorter
# difference may be a change that is still in transit.
MAX_BEHIND_S = 0.6
NO_DIGEST = b""


class SendTimestamp(NamedTuple):
    """Time at which a datagram was sent.

    Attributes:
      process: Random number that the sending process chose at its start.
      at_ms: Time of sending by the sender's ``boottime_clock``, in milliseconds.
    """

    process: int
    at_ms: int


class ViewReport(NamedTuple):
    """A gateway's report on its view of a kind of object.

    Attributes:
      digest: Digest of the objects' names and revisions; empty before the first list.
      age_ms: Milliseconds since the store last confirmed the view; negative if it never did.
    """

    digest: bytes
    age_ms: int


def find_sent_at(own: SendTimestamp, echoed: SendTimestamp) -> float | None:
    """Find when this process sent the datagram whose timestamp another gateway echoes.

    Args:
      own: A timestamp of this process and the current time.
      echoed: The timestamp that the other gateway echoes.

    Returns:
      The time by this VM's ``boottime_clock``, in seconds; None if the timestamp is not from this
      process.
    """
    if echoed.process != own.process or echoed.at_ms > own.at_ms:
        return None
    return echoed.at_ms / 1000.0


class StoreView:
    """Digest of the names and revisions of the objects of one kind, and how fresh this view is.

    Attributes:
      freshness: Time of the last confirmation of the view.
      digest: Digest of the names and revisions.
    """

    def __init__(self) -> None:
        self.freshness = freshness.Freshness()
        self.digest = NO_DIGEST
        self._behind_since: float | None = None

    def update(self, revisions: dict[str, int]) -> None:
        """Update the digest after a change; ``revisions`` has all objects by name."""
        text = repr(sorted(revisions.items()))
        self.digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        self._behind_since = None

    def make_report(self, now: float) -> ViewReport:
        """Make the report for the other gateways."""
        age_s = self.freshness.age(now)
        return ViewReport(self.digest, -1 if age_s == float("inf") else int(age_s * 1000.0) + 1)

    def receive_report(self, report: ViewReport, sent_at: float, now: float) -> None:
        """Process another gateway's report.

        A report on the same view confirms this view. A report on a different view that is fresher
        marks this view as behind.

        Args:
          report: The report.
          sent_at: Earliest possible time of the report by this VM's ``boottime_clock``, in seconds.
          now: Current time by the same clock.
        """
        if report.age_ms < 0 or self.digest == NO_DIGEST:
            return
        confirmed_at = sent_at - report.age_ms / 1000.0
        if report.digest == self.digest:
            self.freshness.record(confirmed_at)
            self._behind_since = None
        elif now - confirmed_at < self.freshness.age(now) and self._behind_since is None:
            self._behind_since = now

    def is_behind(self, now: float) -> bool:
        """Tell whether a fresher view has differed for so long that a change was missed."""
        return self._behind_since is not None and now - self._behind_since > MAX_BEHIND_S

    def clear_behind(self) -> None:
        """Clear the mark that this view is behind; a new call to the store updates it."""
        self._behind_since = None
