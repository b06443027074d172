"""Compares two servers drawn at random, so that entry processes with stale reports do not herd."""

import random

from berylrock.plugins import registry

__all__ = ["rank"]

OTHER_ZONE_PENALTY = 0.15
COLD_PENALTY = 0.5


def _cost(server: registry.ServerView) -> float:
    cost = server.load
    if not server.same_zone:
        cost += OTHER_ZONE_PENALTY
    if server.cold:
        cost += COLD_PENALTY
    return cost


def rank(
    servers: tuple[registry.ServerView, ...], rng: random.Random
) -> tuple[registry.ServerView, ...]:
    """Order servers: the better of two at random first, then the others by load.

    Args:
      servers: The servers that could take the request.
      rng: Source of random numbers.

    Returns:
      All servers, the preferred one first.
    """
    if len(servers) < 2:
        return servers
    pair = sorted(rng.sample(servers, 2), key=_cost)
    rest = [server for server in servers if server is not pair[0]]
    return (pair[0], *sorted(rest, key=_cost))


__plugins__ = (registry.Plugin("two_choices", rank),)
