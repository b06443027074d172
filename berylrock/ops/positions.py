"""Gives each session, request and engine a position in a rollout, the same at every gateway."""

import hashlib

__all__ = ["find_position"]

HASH_RANGE = 2.0**64


def find_position(service: str, target: str, text: str) -> float:
    """Return the position of a session, request or engine in a rollout, from 0 to below 1.

    Args:
      service: The service; empty for engines.
      target: The version that the rollout introduces.
      text: The session's digest in hexadecimal, the id of a request without a session, or the id
        of an engine.
    """
    digest = hashlib.blake2b(f"{service}\0{target}\0{text}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE
