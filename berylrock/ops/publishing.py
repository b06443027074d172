"""Puts a document into the object API on an operator's behalf, and says truly what happened.

A change whose answer was lost is settled by reading back; two operators cannot both win.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from berylrock.adapters import interfaces
from berylrock.core import errors
from berylrock.ops import configuration

__all__ = ["Published", "publish", "read", "read_version"]

PAUSE_SECONDS = 0.5

Progress = Callable[[str], None]


class Published(NamedTuple):
    """An accepted change.

    Attributes:
      version: The document's version.
      read_back: Whether the first answer was lost and the change was found by reading back.
    """

    version: int
    read_back: bool


async def read(
    objects: interfaces.ObjectStore, name: str, progress: Progress
) -> interfaces.StoredObject:
    """Read the document in force, for as long as the caller waits.

    Args:
      objects: The object API.
      name: The environment.
      progress: Told of each try that failed.

    Raises:
      NotFound: There is no document yet.
    """
    while True:
        try:
            return await objects.get(configuration.OBJECT_KIND, name)
        except errors.StoreUnavailable as exc:
            progress(f"waiting for the platform: {exc}")
            await asyncio.sleep(PAUSE_SECONDS)


async def read_version(objects: interfaces.ObjectStore, name: str, progress: Progress) -> int:
    """Read the version in force; 0 if there is no document yet."""
    try:
        return (await read(objects, name, progress)).version
    except errors.NotFound:
        return 0


async def publish(
    objects: interfaces.ObjectStore, name: str, body: bytes, if_version: int, progress: Progress
) -> Published:
    """Store a document if a version is still in force.

    Args:
      objects: The object API.
      name: The environment.
      body: The document's bytes.
      if_version: The version that must be in force; 0 for none.
      progress: Told of each try that failed.

    Returns:
      The accepted change.

    Raises:
      Conflict: Another version is in force; the message tells which.
    """
    tried = False
    while True:
        try:
            version = await objects.put(configuration.OBJECT_KIND, name, body, if_version)
            return Published(version, False)
        except errors.StoreUnavailable as exc:
            tried = True
            progress(f"waiting for the platform: {exc}")
            await asyncio.sleep(PAUSE_SECONDS)
        except errors.Conflict:
            stored = await read(objects, name, progress)
            if tried and stored.body == body:
                return Published(stored.version, True)
            raise errors.Conflict(
                f"version {stored.version} is in force, not {if_version}: somebody changed it; "
                "look at the difference with: berylrock diff"
            ) from None
