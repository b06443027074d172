"""Chooses the subset of backend servers that an entry process connects to.

With 370 entry processes and 2,800 servers, connecting all pairs would take a million connections.
Each entry process uses the servers that come first by a hash of both names (rendezvous hashing).
This needs no shared state, and adding or removing a server changes at most one member of each
subset.
"""

from collections import defaultdict

from berylrock.core import data
from berylrock.ops import rendezvous

__all__ = ["choose"]


def choose(servers: tuple[data.Server, ...], entry: str, size: int) -> tuple[data.Server, ...]:
    """Choose the subset of servers for an entry process.

    Args:
      servers: All servers.
      entry: Name of the entry process.
      size: Maximum number of servers of each pool.

    Returns:
      The chosen servers; all servers of a pool that has at most ``size``.
    """
    pools: dict[str, list[data.Server]] = defaultdict(list)
    for server in servers:
        pools[server.pool].append(server)
    chosen: list[data.Server] = []
    for members in pools.values():
        if len(members) > size:
            members = sorted(members, key=lambda item: rendezvous.digest(entry, item.name))[:size]
        chosen.extend(members)
    return tuple(chosen)
