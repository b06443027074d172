"""Ranks requests by how urgent the operators say they are.

An organisation's priority goes before its route's; among the requests of organisations with the
same priority, the route's decides. Engines admit requests in this order, and interrupt the least
urgent ones when their memory runs out.
"""

__all__ = ["LAST_RANK", "find_rank"]

# Priorities beyond this one count as this one.
LAST_PRIORITY = 2
LAST_RANK = 9


def _clamp(priority: int) -> int:
    return min(LAST_PRIORITY, max(0, priority))


def find_rank(route_priority: int, organisation_priority: int | None) -> int:
    """Return the rank of a request.

    Args:
      route_priority: Priority of its route; 0 is the most urgent.
      organisation_priority: Priority of its organisation; None to use the route's alone.

    Returns:
      The rank, from 0, the most urgent, to below ``LAST_RANK``.
    """
    route = _clamp(route_priority)
    first = route if organisation_priority is None else _clamp(organisation_priority)
    return first * (LAST_PRIORITY + 1) + route
