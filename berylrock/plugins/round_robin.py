"""Takes the servers in turn: a baseline."""

import itertools
import random

from berylrock.plugins import registry

__all__ = ["rank"]

_turns = itertools.count()


def rank(
    servers: tuple[registry.ServerView, ...], rng: random.Random
) -> tuple[registry.ServerView, ...]:
    """Rotate the servers by one at each call."""
    if not servers:
        return servers
    ordered = sorted(servers, key=lambda item: item.name)
    first = next(_turns) % len(ordered)
    return (*ordered[first:], *ordered[:first])


__plugins__ = (registry.Plugin("round_robin", rank),)
