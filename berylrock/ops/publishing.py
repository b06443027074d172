"""Stores a configuration document for an operator, and reports reliably whether it is in force.

If the answer of a write was lost, reading the object back tells whether the write took effect. The
write is conditional on a version, so of two concurrent operators only one succeeds.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from berylrock.adapters import interfaces
from berylrock.core import errors
from berylrock.ops import configuration

__all__ = ["Published", "publish", "read", "read_version"]

RETRY_SECONDS = 0.5

Progress = Callable[[str], None]


class Published(NamedTuple):
    """An accepted change.

    Attributes:
      version: Version of the document.
      read_back: Whether the answer of the write was lost and reading the document back showed that
        the write took effect.
    """

    version: int
    read_back: bool


async def read(
    objects: interfaces.ObjectStore, name: str, progress: Progress
) -> interfaces.StoredObject:
    """Read the document in force; retries without limit while the object API is unavailable.

    Args:
      objects: The object API.
      name: The environment.
      progress: Called with a message after each failed attempt.

    Returns:
      The document as stored.

    Raises:
      NotFound: There is no document yet.
    """
    while True:
        try:
            return await objects.get(configuration.OBJECT_KIND, name)
        except errors.StoreUnavailable as exc:
            progress(f"waiting for the platform: {exc}")
            await asyncio.sleep(RETRY_SECONDS)


async def read_version(objects: interfaces.ObjectStore, name: str, progress: Progress) -> int:
    """Read the version in force, as ``read`` does; returns 0 if there is no document yet."""
    try:
        return (await read(objects, name, progress)).version
    except errors.NotFound:
        return 0


async def publish(
    objects: interfaces.ObjectStore, name: str, body: bytes, if_version: int, progress: Progress
) -> Published:
    """Store a document if the given version is still in force.

    Retries without limit while the object API is unavailable.

    Args:
      objects: The object API.
      name: The environment.
      body: Bytes of the document.
      if_version: The version that must be in force; 0 if there must be no document yet.
      progress: Called with a message after each failed attempt.

    Returns:
      The accepted change.

    Raises:
      Conflict: Another version is in force; the message names it.
    """
    may_be_stored = False
    while True:
        try:
            version = await objects.put(configuration.OBJECT_KIND, name, body, if_version)
            return Published(version, False)
        except errors.StoreUnavailable as exc:
            may_be_stored = True
            progress(f"waiting for the platform: {exc}")
            await asyncio.sleep(RETRY_SECONDS)
        except errors.Conflict:
            stored = await read(objects, name, progress)
            if may_be_stored and stored.body == body:
                return Published(stored.version, True)
            raise errors.Conflict(
                f"version {stored.version} is in force, not {if_version}: "
                "another operator changed it; show the difference with: berylrock diff"
            ) from None
