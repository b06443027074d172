"""Decides whether the load balancer may send callers to a gateway that has lost the store.

Load pattern: the store is away for all gateways at the same moment, while some of them are being
restarted. A gateway that has lost the store alone asks the load balancer to send callers elsewhere.
If every gateway did so, callers would find no gateway at all: they would wait for a connection that
nobody accepts, and those that come right after the store's return would still find none. A gateway
therefore stays ready while the others are no better off; what it cannot serve it refuses at once.

A zone that is cut off as a whole hears none of the other zones, and is left to them.
"""

from collections.abc import Collection
from typing import NamedTuple

__all__ = ["READY_MAX_AGE_S", "Fleet", "PeerFreshness", "is_lost_for_all"]

# A gateway that has lost the store sends callers elsewhere before the age of its configuration
# forces it to refuse requests.
READY_MAX_AGE_S = 4.3


class Fleet(NamedTuple):
    """The other gateways as one gateway knows them.

    Attributes:
      own_zone: Availability zone of the gateway that decides.
      zones: Zone of each other known gateway, by name.
      confirmed: When the store last confirmed the view of each gateway that was heard lately, by
        name, on the clock of ``freshness.boottime_clock``.
    """

    own_zone: str
    zones: dict[str, str]
    confirmed: dict[str, float]


def is_lost_for_all(fleet: Fleet, now: float) -> bool:
    """Tell whether no other gateway can be expected to serve callers that this one cannot.

    Args:
      fleet: The other gateways.
      now: Time in seconds, on the clock of ``Fleet.confirmed``.

    Returns:
      Whether gateways of most zones are heard and the views of all of them are too old.
    """
    heard = [name for name in fleet.confirmed if name in fleet.zones]
    if not heard:
        return False
    all_zones = {fleet.own_zone, *fleet.zones.values()}
    heard_zones = {fleet.own_zone, *(fleet.zones[name] for name in heard)}
    if 2 * len(heard_zones) <= len(all_zones):
        return False
    return all(now - fleet.confirmed[name] >= READY_MAX_AGE_S for name in heard)


class PeerFreshness:
    """When the store last confirmed the views of the other gateways, as they say themselves."""

    def __init__(self) -> None:
        self._confirmed: dict[str, float] = {}

    def record(self, gateway: str, confirmed_at: float) -> None:
        """Record a gateway's report; minus infinity if it has not read the store yet."""
        self._confirmed[gateway] = confirmed_at

    def of(self, gateways: Collection[str]) -> dict[str, float]:
        """Return the times of these gateways, and drop those of all others."""
        self._confirmed = {name: at for name, at in self._confirmed.items() if name in gateways}
        return dict(self._confirmed)
