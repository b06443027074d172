"""Orders the members of a group by a key, the same way in every process (rendezvous hashing).

A member that joins or leaves moves no other two members relative to each other.
"""

import functools
import hashlib

__all__ = ["digest", "find_position", "list_members"]

MAX_CACHED_POSITIONS = 4096
MAX_CACHED_GROUPS = 4
MAX_CACHED_DIGESTS = 8192
DIGEST_BYTES = 8


@functools.lru_cache(maxsize=MAX_CACHED_DIGESTS)
def digest(key: str, member: str) -> bytes:
    """Return the digest by which a member is ordered under a key."""
    return hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=DIGEST_BYTES).digest()


@functools.lru_cache(maxsize=MAX_CACHED_GROUPS)
def list_members(others: tuple[str, ...], member: str) -> tuple[str, ...]:
    """Return the names of a group in order; ``member`` is added if it is missing."""
    return tuple(sorted({*others, member}))


@functools.lru_cache(maxsize=MAX_CACHED_POSITIONS)
def find_position(key: str, members: tuple[str, ...], member: str) -> int:
    """Return the position of a member, from 0, in the order of a key."""
    own = digest(key, member)
    return sum(digest(key, name) < own for name in members)
