"""Chooses the servers that one entry process keeps connections to.

With 370 entry processes and 2,800 servers, all pairs would be a million connections. Each entry
process takes the servers that rank highest by a hash of both names: no state is shared, and when a
server comes or goes only the pairs with that server change.
"""

import hashlib
from collections import defaultdict

from berylrock.core import data

__all__ = ["choose"]


def _rank(entry: str, server: str) -> bytes:
    return hashlib.blake2b(f"{entry}\0{server}".encode(), digest_size=8).digest()


def choose(servers: tuple[data.Server, ...], entry: str, size: int) -> tuple[data.Server, ...]:
    """Choose an entry process's share of the servers.

    Args:
      servers: All servers.
      entry: Name of the entry process.
      size: Most servers of each pool.

    Returns:
      The servers chosen; all of a pool that has no more than ``size``.
    """
    pools: dict[str, list[data.Server]] = defaultdict(list)
    for server in servers:
        pools[server.pool].append(server)
    chosen: list[data.Server] = []
    for members in pools.values():
        if len(members) > size:
            members = sorted(members, key=lambda item: _rank(entry, item.name))[:size]
        chosen.extend(members)
    return tuple(chosen)
