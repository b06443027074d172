"""Limits the rate of requests that a gateway sends to an engine that is or may be cold.

The limit for a cold engine applies to the sum over all gateways, and each gateway keeps to its
share. An engine can become cold without notice, so the rate for an engine considered warm is
limited as well: unless all gateways send at their limits at the same time, the sum stays within
what a cold engine can bear.

Scenario: an engine starts while all engines are busy, and every gateway sends to it at the same
time. If there are more gateways than requests that the engine bears in a second, some gateways
receive no share.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.core import gatewaysettings, routing
from berylrock.ops import rendezvous

__all__ = ["RateShares", "SendWindow", "make_shares"]

WINDOW_S = 1.0
# The delay between sending and arrival varies, so that a window of one second at the engine may
# contain a request that was sent before the corresponding window here.
WINDOW_MARGIN_S = 0.15
# Factor between the limits for warm and cold engines.
WARM_FACTOR = 3


class RateShares(NamedTuple):
    """Division of a cold engine's request rate among the gateways.

    Attributes:
      total: Requests per second from all gateways together; None if the rate is not limited.
      gateways: Names of the gateways that may be sending.
      own_name: This gateway's name.
    """

    total: int | None
    gateways: tuple[str, ...]
    own_name: str

    def limit(self, engine_id: str, cold: bool) -> int | None:
        """Return the number of requests that this gateway may send to an engine within a second.

        Args:
          engine_id: The engine's id.
          cold: Whether the engine is or may be cold.

        Returns:
          The limit; None if there is none.
        """
        if self.total is None:
            return None
        base, extra = divmod(self.total, max(1, len(self.gateways)))
        if not cold:
            return max(1, base) * WARM_FACTOR
        # The remainder of the division goes to some gateways, which differ between engines.
        position = rendezvous.find_position(engine_id, self.gateways, self.own_name)
        return base + (position < extra)


def make_shares(
    service: routing.Service, bounds: gatewaysettings.Bounds, gateways: Iterable[str], own_name: str
) -> RateShares:
    """Divide the request rate that a cold engine of a service bears.

    Args:
      service: The service.
      bounds: The operators' limits.
      gateways: Names of the gateways that may be sending.
      own_name: This gateway's name; it is added to the gateways if it is missing.

    Returns:
      The division.
    """
    names = rendezvous.list_members(tuple(gateways), own_name)
    if service.warmup_per_s <= 0.0:
        return RateShares(None, names, own_name)
    total = service.warmup_per_s * bounds.warmup_overrun + bounds.warmup_margin
    return RateShares(int(total), names, own_name)


class SendWindow:
    """Sliding window of the requests sent to one engine."""

    def __init__(self) -> None:
        self._sent: collections.deque[float] = collections.deque()

    def count(self, now: float) -> int:
        """Return the number of requests sent within the window before ``now``."""
        while self._sent and self._sent[0] <= now - WINDOW_S - WINDOW_MARGIN_S:
            self._sent.popleft()
        return len(self._sent)

    def allows(self, limit: int | None, now: float) -> bool:
        """Tell whether one more request may be sent; ``limit`` is None if there is no limit."""
        return limit is None or self.count(now) < limit

    def record(self, now: float) -> None:
        """Record that a request is sent."""
        self._sent.append(now)
