"""Baseline balancer: prefers the server with the fewest outstanding requests of this process."""

import random

from berylrock.plugins import registry

__all__ = ["rank"]


def rank(
    servers: tuple[registry.ServerView, ...], rng: random.Random
) -> tuple[registry.ServerView, ...]:
    """Order servers by outstanding requests; breaks ties at random."""
    return tuple(sorted(servers, key=lambda item: (item.outstanding, rng.random())))


__plugins__ = (registry.Plugin("least_outstanding", rank),)
