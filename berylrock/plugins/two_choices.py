"""Compares two servers drawn at random, so that entry processes with stale reports do not herd.

A server that could start the request at once goes before one where it would wait. So a cold server
gets what it bears, and becomes warm, but no more.
"""

import random

from berylrock.plugins import registry

__all__ = ["rank"]

OTHER_ZONE_PENALTY = 0.15
FULL_PENALTY = 10.0


def _cost(server: registry.ServerView) -> float:
    cost = server.load
    if not server.same_zone:
        cost += OTHER_ZONE_PENALTY
    if server.slots <= 0:
        cost += FULL_PENALTY
    return cost


def rank(
    servers: tuple[registry.ServerView, ...], rng: random.Random
) -> tuple[registry.ServerView, ...]:
    """Order servers: the better of two at random first, then the others by cost.

    The two are drawn from the servers with room, if there are any.

    Args:
      servers: The servers that could take the request.
      rng: Source of random numbers.

    Returns:
      All servers, the preferred one first.
    """
    roomy = [server for server in servers if server.slots > 0] or list(servers)
    if not roomy:
        return ()
    pair = sorted(rng.sample(roomy, min(2, len(roomy))), key=_cost)
    rest = [server for server in servers if server is not pair[0]]
    return (pair[0], *sorted(rest, key=_cost))


__plugins__ = (registry.Plugin("two_choices", rank),)
