"""Prefers the server that holds the fewest of this entry process's requests: a baseline."""

import random

from berylrock.plugins import registry

__all__ = ["rank"]


def rank(
    servers: tuple[registry.ServerView, ...], rng: random.Random
) -> tuple[registry.ServerView, ...]:
    """Order by requests outstanding, ties at random."""
    return tuple(sorted(servers, key=lambda item: (item.outstanding, rng.random())))


__plugins__ = (registry.Plugin("least_outstanding", rank),)
