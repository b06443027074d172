"""Bounds how many requests a second a process sends to an engine that is or may be cold.

The bound for cold engines is a sum over all gateways; each keeps to its share of it. An engine can
turn cold without a word, so one that is held to be warm gets a bounded rate too: as long as the
gateways do not all press at the same moment, the sum stays within what a cold engine bears.
"""

import collections

from berylrock.core import routing

__all__ = ["Pace", "limit_for", "share_per_second"]

WINDOW_S = 1.0
# Requests leave here and arrive a little apart from that: the window that is counted at the engine
# may hold one from before ours.
WINDOW_MARGIN_S = 0.15
WARM_FACTOR = 3


def share_per_second(service: routing.Service, bounds: routing.Bounds, gateways: int) -> int | None:
    """Requests that one gateway may send to one engine within a second.

    Args:
      service: The engine's service.
      bounds: The limits to keep.
      gateways: Gateways that may be sending.

    Returns:
      The number, at least 1; None if the service's engines bear any rate.
    """
    if service.warmup_per_s <= 0.0:
        return None
    total = service.warmup_per_s * bounds.warmup_overrun + bounds.warmup_margin
    return max(1, int(total / max(1, gateways)))


def limit_for(share: int | None, cold: bool) -> int | None:
    """The share that holds for an engine now."""
    return share if share is None or cold else share * WARM_FACTOR


class Pace:
    """The requests that were sent to one engine in the last second."""

    def __init__(self) -> None:
        self._sent: collections.deque[float] = collections.deque()

    def count(self, now: float) -> int:
        """Requests sent within the window before ``now``."""
        while self._sent and self._sent[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            self._sent.popleft()
        return len(self._sent)

    def allows(self, limit: int | None, now: float) -> bool:
        """Whether one more request may be sent."""
        return limit is None or self.count(now) < limit

    def note(self, now: float) -> None:
        """A request was sent."""
        self._sent.append(now)
