"""What one gateway knows of the duties of its deployment: its own counts, those sent to it, and who
holds the duty of reporting them.
"""

from collections.abc import Collection

from berylrock.core import duties
from berylrock.ops import dutylease, rendezvous, usage

__all__ = ["DutyBook"]

# A holder that was announced this long ago is no longer taken for the holder, in lease times.
MAX_ANNOUNCED_LEASES = 5.0
# Key under which gateways are ordered for the duty.
SUBJECT = "usage"


class DutyBook:
    """State of the duty of reporting usage at one gateway.

    Attributes:
      cfg: What the platform asks for.
      own: This process.
      counter: The requests that began at this gateway.
      ledger: Those of all gateways, as far as they were sent here.
      announced: Who holds the duty, as last heard or done by itself; None if nobody was heard of.
    """

    def __init__(self, cfg: duties.DutySettings, own: duties.Holder) -> None:
        self.cfg = cfg
        self.own = own
        self.counter = usage.UsageCounter(own, cfg.window_s)
        self.ledger = usage.UsageLedger(cfg.window_s)
        self.announced: duties.Announcement | None = None

    def adopt(self, announcement: duties.Announcement) -> bool:
        """Adopt an announcement if it is the latest; returns whether it names another holder."""
        known = self.announced
        if not dutylease.is_newer(announcement, known):
            return False
        self.announced = announcement
        self.counter.discard_before(announcement.next_window)
        self.ledger.discard_before(announcement.next_window)
        return known is None or known.gateway != announcement.gateway

    def holder(self, now: float) -> str:
        """Return the gateway that holds the duty; empty if none was heard of lately."""
        known = self.announced
        limit_s = MAX_ANNOUNCED_LEASES * self.cfg.lease_s
        if known is None or now - known.renewed_at > limit_s:
            return ""
        return known.gateway

    def deputy(self, heard: Collection[str], now: float) -> str:
        """Return the gateway that would hold the duty next: the first one but the holder."""
        holder = self.holder(now)
        names = [name for name in (*heard, self.own.gateway) if name != holder]
        return min(names, key=lambda name: rendezvous.digest(SUBJECT, name), default="")

    def rank(self, heard: Collection[str], now: float) -> int:
        """Return how many gateways would follow the holder before this one."""
        own_key = rendezvous.digest(SUBJECT, self.own.gateway)
        others = set(heard) - {self.holder(now)}
        return sum(rendezvous.digest(SUBJECT, name) < own_key for name in others)

    def receivers(self, heard: Collection[str], now: float) -> set[str]:
        """Return the other gateways to which this one sends its counts."""
        return {self.holder(now), self.deputy(heard, now)} - {"", self.own.gateway}
