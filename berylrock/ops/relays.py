"""Decides which gateway watches the store for the others in its availability zone.

Scenario: hundreds of gateways would each hold a watch for every kind of object, and one change
would make all of them call the store again. Instead, the gateways of a zone are ranked, the VM with
the widest link first, and each one reads through the first that it can reach. Who finds none ranked
before itself watches the store. There is no election: two gateways that disagree on who is present
cost a few more calls, and reading through one of a lower rank cannot form a loop.

A view that comes through a relay has an age. Once that exceeds ``max_view_age_s``, the gateway asks
the store itself; if the store answers, the relay is at fault and is left for a while.

Scenario: the store refuses some gateways, relays among them, and serves the others. A gateway that
the store serves must neither wait for the view of such a relay to grow old nor read through the
next one that is refused.
"""

import hashlib
from collections.abc import Collection, Iterable

from berylrock.core import gatewaysettings, routing

__all__ = [
    "RelayChoice",
    "doubt_age_s",
    "is_refused_alone",
    "max_view_age_s",
    "needs_all",
    "rank_relays",
]

# Share of the tightest bound on applying a change that a relay may use up before the gateway asks
# the store itself. The rest is for that call and for the watches that follow.
VIEW_AGE_SHARE = 0.5
# The same share while the relay reports that it has lost the store.
LOST_VIEW_AGE_SHARE = 0.2
# With tighter bounds, the usual age of a relayed view would already cause calls.
MIN_VIEW_AGE_S = 1.25
# Time for which a relay that failed is not used.
FAILURE_PAUSE_S = 5.0
# Relays that are tried one after the other before the gateway watches the store.
MAX_FAILED = 2


def _tightest_bound_s(bounds: gatewaysettings.Bounds) -> float:
    return min(bounds.config_apply_s, bounds.drain_s, bounds.evacuate_s, bounds.revoke_s)


def max_view_age_s(bounds: gatewaysettings.Bounds) -> float | None:
    """Return the age in seconds from which on a relayed view is doubted.

    Args:
      bounds: The operators' limits.

    Returns:
      The age; None if the bounds are too tight for relays.
    """
    limit_s = VIEW_AGE_SHARE * _tightest_bound_s(bounds)
    return limit_s if limit_s >= MIN_VIEW_AGE_S else None


def doubt_age_s(bounds: gatewaysettings.Bounds, relay_lost: bool) -> float:
    """Return the age in seconds of a relayed view from which on the gateway asks the store itself.

    Args:
      bounds: The operators' limits.
      relay_lost: Whether the relay reports that it has lost the store.

    Returns:
      The age. It is smaller if the relay has lost the store, since the store may refuse the relay
      alone.
    """
    share = LOST_VIEW_AGE_SHARE if relay_lost else VIEW_AGE_SHARE
    return share * _tightest_bound_s(bounds)


def is_refused_alone(relay_lost: bool, watching: bool, own_lost: bool) -> bool:
    """Tell whether the store answers this gateway, but not the relay that it considers.

    Args:
      relay_lost: Whether the relay reports that it has lost the store.
      watching: Whether this gateway watches the store itself, so that ``own_lost`` is its own
        experience and no report of an earlier relay.
      own_lost: Whether this gateway has lost the store.

    Returns:
      Whether this gateway knows the store's state better than the relay.
    """
    return relay_lost and watching and not own_lost


def needs_all(
    own_revision: int, own_digest: bytes, relay_revision: int, relay_digest: bytes
) -> bool:
    """Tell whether a copy has to ask its relay for all objects.

    Scenario: the store withholds changes from its watches for a second, but their answers already
    have a later revision. The changes since that revision then never lead to an equal copy.

    Args:
      own_revision: Revision of the copy, after the relay's changes were applied.
      own_digest: Digest of the copy.
      relay_revision: Revision of the relay's copy.
      relay_digest: Digest of the relay's copy.

    Returns:
      Whether the copies differ although the relay's is not older.
    """
    return own_digest != relay_digest and relay_revision >= own_revision


def _rank(zone: str, name: str, link_mbps: float) -> tuple[float, bytes]:
    digest = hashlib.blake2b(f"{zone}\0{name}".encode(), digest_size=8).digest()
    return -link_mbps, digest


def rank_relays(
    peers: Iterable[routing.Peer], live: Collection[str], cfg: gatewaysettings.GatewaySettings
) -> tuple[routing.Peer, ...]:
    """Return the gateways through which this one may read, the best one first.

    Args:
      peers: The known gateways.
      live: Names of the gateways that were heard lately.
      cfg: Settings of this gateway.

    Returns:
      The gateways of this zone that rank before this one.
    """
    own = _rank(cfg.zone, cfg.name, cfg.link_mbps)
    ranked = [
        (_rank(peer.zone, peer.name, peer.link_mbps), peer)
        for peer in peers
        if peer.zone == cfg.zone and peer.address and peer.name in live
    ]
    before = [item for item in ranked if item[0] < own]
    return tuple(peer for _, peer in sorted(before, key=lambda item: item[0]))


class RelayChoice:
    """Chooses a relay among those that have not failed lately."""

    def __init__(self) -> None:
        self._failed_at: dict[str, float] = {}

    def record_failure(self, name: str, now: float) -> None:
        """Record that a relay did not answer, or that its view was too old."""
        self._failed_at[name] = now

    def choose(self, ranked: tuple[routing.Peer, ...], now: float) -> routing.Peer | None:
        """Choose the relay to read through.

        Args:
          ranked: The gateways that may serve, the best one first.
          now: Time in seconds.

        Returns:
          The relay; None if this gateway has to watch the store itself.
        """
        self._failed_at = {
            name: at for name, at in self._failed_at.items() if now - at < FAILURE_PAUSE_S
        }
        failed = [peer for peer in ranked if peer.name in self._failed_at]
        if len(failed) >= MAX_FAILED:
            return None
        return next((peer for peer in ranked if peer.name not in self._failed_at), None)
