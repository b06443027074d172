"""Makes records and settings of gateways for the steps on relays."""

from berylrock.core import gatewaysettings, routing
from berylrock.ops import relays

ZONE = "etna-a"


def make_peer(name, zone=ZONE, link_mbps=20.0):
    """Return the record of a gateway."""
    return routing.Peer(name, "10.0.0.1", zone, link_mbps, 1, {}, 1)


def make_settings(name, zone=ZONE, link_mbps=20.0):
    """Return the settings of a gateway."""
    nowhere = ("127.0.0.1", 1)
    return gatewaysettings.GatewaySettings(
        name=name,
        zone=zone,
        region="",
        address="10.0.0.1",
        frontend_address=nowhere,
        readiness_address=nowhere,
        store_address=nowhere,
        peer_port=1,
        max_fds=100,
        memory_mb=0.0,
        link_mbps=link_mbps,
        heartbeat_s=1.2,
        bounds=gatewaysettings.Bounds(),
    )


LINKS_MBPS = [20.0] * 9 + [200.0, 20.0]
ZONE_PEERS = [make_peer(f"entry-{number}", ZONE, mbps) for number, mbps in enumerate(LINKS_MBPS)]
NAMES = [peer.name for peer in ZONE_PEERS]


def rank_for(peer, live=NAMES, peers=ZONE_PEERS):
    """Return the names of the relays of a gateway, the best one first."""
    cfg = make_settings(peer.name, peer.zone, peer.link_mbps)
    return [item.name for item in relays.rank_relays(peers, live, cfg)]
