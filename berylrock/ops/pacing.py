"""Bounds how many requests a second a process sends to an engine that is or may be cold.

The bound for cold engines is a sum over all gateways; each keeps to its share of it. An engine can
turn cold without a word, so one that is held to be warm gets a bounded rate too: as long as the
gateways do not all press at the same moment, the sum stays within what a cold engine bears.

Load pattern: an engine starts while all are busy, and every gateway turns to it in the same moment.
There may be more gateways than requests that it bears in a second; then some get no share of it.
"""

import collections
import hashlib
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.core import routing

__all__ = ["SendWindow", "RateShares", "make_shares"]

WINDOW_S = 1.0
# Requests leave here and arrive a little apart from that: the window that is counted at the engine
# may hold one from before ours.
WINDOW_MARGIN_S = 0.15
WARM_FACTOR = 3


class RateShares(NamedTuple):
    """How the rate that an engine bears while it is cold is divided among the gateways.

    Attributes:
      total: Requests a second from all gateways together; None if any rate is borne.
      gateways: Names of the gateways that may be sending.
      own_name: This gateway's name.
    """

    total: int | None
    gateways: tuple[str, ...]
    own_name: str

    def limit(self, engine_id: str, cold: bool) -> int | None:
        """Requests that this gateway may send to an engine within a second."""
        if self.total is None:
            return None
        base, extra = divmod(self.total, max(1, len(self.gateways)))
        if not cold:
            return max(1, base) * WARM_FACTOR
        # What is left over goes to some gateways, others for each engine.
        ranked = sorted(self.gateways, key=lambda name: _rank(engine_id, name))
        return base + (self.own_name in ranked[:extra])


def _rank(engine_id: str, gateway: str) -> bytes:
    return hashlib.blake2b(f"{engine_id}\0{gateway}".encode(), digest_size=8).digest()


def make_shares(
    service: routing.Service, bounds: routing.Bounds, gateways: Iterable[str], own_name: str
) -> RateShares:
    """Divide what an engine of a service bears while it is cold.

    Args:
      service: The service.
      bounds: The limits to keep.
      gateways: Names of the gateways that may be sending.
      own_name: This gateway's name, which counts as one of them.

    Returns:
      The shares.
    """
    names = tuple({*gateways, own_name})
    if service.warmup_per_s <= 0.0:
        return RateShares(None, names, own_name)
    total = service.warmup_per_s * bounds.warmup_overrun + bounds.warmup_margin
    return RateShares(int(total), names, own_name)


class SendWindow:
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
