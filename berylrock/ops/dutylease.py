"""Decides whether a gateway holds a duty, may claim it, and how the record in the store changes.

The platform may not check fencing tokens, so an old holder must have stopped for sure before a new
one acts. No clocks of different VMs are compared. A holder counts its lease from the moment at
which it sent the write that was answered. Everybody else counts from the moment at which it first
saw the record's revision, which is later. Who sees the same revision for the whole lease may claim
it, by a write that fails if the record has changed. The clock runs on while a VM is suspended.

Scenario: no window ends between two renewals, so that nothing else changes in the record. The store
answers such a write as done and keeps its revision, so each renewal is counted in the record.

Scenario: the store comes back from an older copy. The record may name an earlier holder, and the
latest one may still be acting. Nobody claims the duty until a lease has passed since the return was
seen, and the next token is larger than all of the earlier era.
"""

from berylrock.core import duties, stored

__all__ = ["DutyLease", "is_newer"]

# A holder stops this share of the lease early, as clocks run at slightly different rates.
SAFETY_SHARE = 0.15
# Tokens of an era of the store begin with its number; this many bits count the holders in it.
TOKEN_BITS = 20


def is_newer(one: duties.Announcement, other: duties.Announcement | None) -> bool:
    """Tell whether an announcement is later than another one."""
    if other is None:
        return True
    return (one.token, one.renewed_at) > (other.token, other.renewed_at)


class DutyLease:
    """One gateway's view of a duty. Times are in seconds on a clock that runs in suspensions.

    Attributes:
      record: The record as last read or written; None if there is none, or before the first read.
      revision: The store's revision of the record; None if there is none.
    """

    def __init__(self, own: duties.Holder, lease_s: float) -> None:
        self.record: duties.DutyRecord | None = None
        self.revision: int | None = None
        self._own = own
        self._lease_s = lease_s
        self._seen_at = float("inf")
        self._era = -1
        self._held_until = float("-inf")

    def holds(self, now: float, needed_s: float = 0.0) -> bool:
        """Tell whether this process holds the duty, and will for some seconds."""
        return now + needed_s < self._held_until

    def observe(
        self, record: duties.DutyRecord | None, revision: int | None, era: int, seen_at: float
    ) -> None:
        """Record what a read returned.

        Args:
          record: The record; None if there is none, or if it cannot be read.
          revision: Its revision; None if there is none.
          era: The store's era at the answer.
          seen_at: When the answer arrived; earlier if this revision is known to have been written
            before.
        """
        if revision != self.revision or era != self._era or self._seen_at == float("inf"):
            self._seen_at = seen_at
        self.record, self.revision, self._era = record, revision, era
        if record is None or record.holder != self._own:
            self._held_until = float("-inf")

    def may_write(self, now: float) -> bool:
        """Tell whether this process may renew or claim the duty now."""
        if self.holds(now) or now - self._seen_at >= self._lease_s:
            return True
        # Nobody else has held it since: every other holder would have changed the record.
        return self.record is not None and self._is_own_of_this_era(self.record)

    def _is_own_of_this_era(self, record: duties.DutyRecord) -> bool:
        return record.holder == self._own and record.token >> TOKEN_BITS == self._era

    def next_record(self) -> duties.DutyRecord:
        """Return the record with which this process renews or claims the duty."""
        known = self.record
        if known is not None and self._is_own_of_this_era(known):
            return known._replace(renewals=known.renewals + 1)
        token = self._era << TOKEN_BITS
        if known is None:
            return duties.DutyRecord(self._own, token + 1, 0)
        return known._replace(holder=self._own, token=max(known.token, token) + 1)

    def record_written(self, record: duties.DutyRecord, revision: int, sent_at: float) -> None:
        """Record that a write was accepted.

        Args:
          record: What was written.
          revision: Its revision.
          sent_at: When the write was sent.
        """
        self.record, self.revision = record, revision
        self._era = stored.find_era(revision)
        self._seen_at = sent_at
        if record.token >> TOKEN_BITS != self._era:
            # The store was restored on the way, and the token may be used again.
            self._held_until = float("-inf")
            return
        self._held_until = sent_at + self._lease_s * (1.0 - SAFETY_SHARE)

    def lose(self) -> None:
        """Record that another process has changed the record."""
        self._held_until = float("-inf")
        self._seen_at = float("inf")
