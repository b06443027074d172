"""Spreads a write that any gateway may make over time, so that mostly one of them makes it.

Scenario: dozens of gateways find at the same moment that a rollout has to advance. All of them
could write it, and all but one would be refused. They take turns instead. The number of gateways in
a turn doubles from turn to turn, so that a write is late by less than a second even if hundreds of
gateways are down or refused by the store. The order differs from write to write and is unrelated to
the gateways' names, since a zone that fails takes neighbouring names with it.
"""

from collections.abc import Iterable

from berylrock.ops import rendezvous

__all__ = ["delay_s"]

TURN_S = 0.1


def delay_s(own: str, others: Iterable[str], subject: str) -> float:
    """Return how much later than the first gateway this one makes a write.

    Args:
      own: Name of this gateway.
      others: Names of the gateways that were heard lately.
      subject: What is written; another subject has another order.

    Returns:
      The delay in seconds.
    """
    own_key = rendezvous.digest(subject, own)
    rank = sum(rendezvous.digest(subject, name) < own_key for name in others)
    return TURN_S * rank.bit_length()
