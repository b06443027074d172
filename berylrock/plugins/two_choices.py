"""Balancer that takes the better of two random servers (power of two choices).

The random draw keeps entry processes with stale load reports from all choosing the same server.

A server that could start the request at once is preferred to one that would queue it. So a cold
server gets as many requests as it can run, and warms up, but gets no more.
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
    """Order servers: first the better of two drawn at random, then the others by cost.

    The two are drawn from the servers with free slots, or from all if there are none.

    Args:
      servers: The servers that could take the request.
      rng: Source of random numbers.

    Returns:
      All servers, the preferred one first.
    """
    available = [server for server in servers if server.slots > 0] or list(servers)
    if not available:
        return ()
    pair = sorted(rng.sample(available, min(2, len(available))), key=_cost)
    rest = [server for server in servers if server is not pair[0]]
    return (pair[0], *sorted(rest, key=_cost))


__plugins__ = (registry.Plugin("two_choices", rank),)
