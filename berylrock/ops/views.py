"""Tells how fresh this process's view of a kind of object is, by the store or by another gateway.

A gateway whose view is the same as this one's, and was confirmed by the store a moment ago,
confirms this one's too. So the store need not be asked by every gateway each second.

A gateway says how old its confirmation is, but not how long its datagram was under way: that may
be long if this VM was suspended. It therefore repeats the last mark that it had from this gateway;
what it says is no older than that mark and the age together.
"""

import hashlib
from typing import NamedTuple

from berylrock.ops import freshness

__all__ = ["SendTimestamp", "StoreView", "ViewReport", "find_sent_at"]

# A view that differs from a fresher one for this long is not merely under way.
BEHIND_S = 0.6
NO_DIGEST = b""


class SendTimestamp(NamedTuple):
    """When a datagram was sent.

    Attributes:
      process: Drawn at the start of the process that sent it.
      at_ms: Its ``boottime_clock`` then.
    """

    process: int
    at_ms: int


class ViewReport(NamedTuple):
    """What a gateway says of its view of a kind.

    Attributes:
      digest: Names and revisions of its objects; empty before the first list.
      age_ms: Time since the store last confirmed it; negative if never.
    """

    digest: bytes
    age_ms: int


def find_sent_at(own: SendTimestamp, repeated: SendTimestamp) -> float | None:
    """When the datagram was sent that another gateway has had last, by this VM's clock.

    Args:
      own: A mark of now.
      repeated: The mark that the other gateway repeats.

    Returns:
      The time; None if it is not from this process.
    """
    if repeated.process != own.process or repeated.at_ms > own.at_ms:
        return None
    return repeated.at_ms / 1000.0


class StoreView:
    """Names and revisions of one kind's objects, and how fresh that is.

    Attributes:
      freshness: When the view was last confirmed.
      digest: Names and revisions as a short text.
    """

    def __init__(self) -> None:
        self.freshness = freshness.Freshness()
        self.digest = NO_DIGEST
        self._revisions: dict[str, int] = {}
        self._behind_since: float | None = None

    def replace(self, revisions: dict[str, int]) -> None:
        """Take a whole list."""
        self._revisions = dict(revisions)
        self._update()

    def change(self, revisions: dict[str, int], deleted: set[str]) -> None:
        """Take changes; one that is older than what is known says nothing."""
        for name, revision in revisions.items():
            self._revisions[name] = max(revision, self._revisions.get(name, 0))
        for name in deleted:
            self._revisions.pop(name, None)
        self._update()

    def _update(self) -> None:
        text = repr(sorted(self._revisions.items()))
        self.digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
        self._behind_since = None

    def make_report(self, now: float) -> ViewReport:
        """What to tell the other gateways."""
        age_s = self.freshness.age(now)
        return ViewReport(self.digest, -1 if age_s == float("inf") else int(age_s * 1000.0) + 1)

    def receive_report(self, report: ViewReport, sent_at: float, now: float) -> None:
        """Take another gateway's word.

        Args:
          report: What it says.
          sent_at: A time by this VM's clock before which the word cannot be from.
          now: This VM's ``boottime_clock``.
        """
        if report.age_ms < 0 or self.digest == NO_DIGEST:
            return
        confirmed_at = sent_at - report.age_ms / 1000.0
        if report.digest == self.digest:
            self.freshness.note(confirmed_at)
            self._behind_since = None
        elif now - confirmed_at < self.freshness.age(now) and self._behind_since is None:
            self._behind_since = now

    def is_behind(self, now: float) -> bool:
        """Whether a fresher view has differed for so long that a change was missed."""
        return self._behind_since is not None and now - self._behind_since > BEHIND_S

    def clear_behind(self) -> None:
        """A new call to the store brings what was missed."""
        self._behind_since = None
