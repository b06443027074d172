"""Baseline balancer: uses the servers in turn."""

import itertools
import random

from berylrock.plugins import registry

__all__ = ["rank"]

_call_counter = itertools.count()


def rank(
    servers: tuple[registry.ServerView, ...], rng: random.Random
) -> tuple[registry.ServerView, ...]:
    """Order servers by name, rotated by one more place at each call."""
    if not servers:
        return servers
    ordered = sorted(servers, key=lambda item: item.name)
    first = next(_call_counter) % len(ordered)
    return (*ordered[first:], *ordered[:first])


__plugins__ = (registry.Plugin("round_robin", rank),)
