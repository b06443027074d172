"""Keeps a session on its version at every entry process, also while a rollout advances.

A caller that returns the signed token it was given needs no shared state. For a caller that sends
only a session name, the version is stored by conditional create when the session starts.
"""

import asyncio
import base64
import hashlib
import hmac
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import data, errors

__all__ = ["SessionTable", "bucket", "read_token", "sign_token"]

OBJECT_KIND = "sessions"
MAX_CACHED = 50_000
SEPARATOR = "~"
MAC_BYTES = 12
BUCKETS = 10_000
MAX_STORE_ATTEMPTS = 4
# While the object API is out, one request in this time tries it again, in seconds.
RETRY_INTERVAL_S = 1.0


class _Pin(msgspec.Struct):
    version: str


def bucket(text: str) -> float:
    """Map a session or request id to a position in rollouts by its hash.

    Returns:
      The position, from 0 to below 100; a rollout covers the positions below its percentage.
    """
    digest = hashlib.sha256(text.encode()).digest()
    return int.from_bytes(digest[:4], "big") % BUCKETS * 100.0 / BUCKETS


def _mac(secret: str, organisation: str, session: str, version: str) -> str:
    text = "\0".join((organisation, session, version)).encode()
    digest = hmac.new(secret.encode(), text, hashlib.sha256).digest()
    return base64.urlsafe_b64encode(digest[:MAC_BYTES]).decode()


def sign_token(secret: str, organisation: str, session: str, version: data.VersionId) -> str:
    """Create the signed token that pins a session to a version."""
    text = str(version)
    return SEPARATOR.join((session, text, _mac(secret, organisation, session, text)))


def read_token(secret: str, organisation: str, token: str) -> tuple[str, data.VersionId | None]:
    """Read a session header, and verify the token in it.

    Args:
      secret: The secret shared by all processes of the system.
      organisation: The organisation that the session belongs to.
      token: A token, or only a session name.

    Returns:
      The session's name, and its version if the token's signature is valid.
    """
    session, _, rest = token.partition(SEPARATOR)
    text, _, mac = rest.rpartition(SEPARATOR)
    if not text or not hmac.compare_digest(mac, _mac(secret, organisation, session, text)):
        return session, None
    return session, data.parse_version_id(text)


class _Cached(NamedTuple):
    """A session's version, and whether it is the one that all processes read from the store."""

    version: str
    stored: bool


class SessionTable:
    """Stores and caches the versions of sessions whose callers send no token."""

    def __init__(self, objects: interfaces.ObjectStore) -> None:
        self._objects = objects
        self._cache: dict[str, _Cached] = {}
        self._retry_at = float("-inf")

    async def pin(
        self,
        organisation: str,
        session: str,
        wanted: data.VersionId,
        is_usable: Callable[[data.VersionId], bool],
    ) -> data.VersionId:
        """Return the version of a session; pins a new one if its version cannot be used.

        Args:
          organisation: The organisation that the session belongs to.
          session: The session's name.
          wanted: The version to pin if the session has none that can be used.
          is_usable: Tells whether a version may still be used.

        Returns:
          The session's version. While the object API is unavailable, this is ``wanted`` for a
          session that is not cached; other processes may choose another one until it is back.
        """
        name = hashlib.sha256(f"{organisation}\0{session}".encode()).hexdigest()
        cached = self._cache.get(name, _Cached("", False))
        known = data.parse_version_id(cached.version)
        if known is not None and is_usable(known):
            if cached.stored:
                return known
            wanted = known
        now = asyncio.get_running_loop().time()
        if now < self._retry_at:
            self._remember(name, _Cached(str(wanted), False))
            return wanted
        try:
            version = await self._store(name, wanted, is_usable)
        except errors.StoreUnavailable:
            self._retry_at = now + RETRY_INTERVAL_S
            self._remember(name, _Cached(str(wanted), False))
            return wanted
        self._remember(name, _Cached(str(version), True))
        return version

    async def _store(
        self, name: str, wanted: data.VersionId, is_usable: Callable[[data.VersionId], bool]
    ) -> data.VersionId:
        body = msgspec.json.encode(_Pin(str(wanted)))
        condition = 0
        for _ in range(MAX_STORE_ATTEMPTS):
            try:
                await self._objects.put(OBJECT_KIND, name, body, condition)
                return wanted
            except errors.Conflict:
                pass
            try:
                stored = await self._objects.get(OBJECT_KIND, name)
            except errors.NotFound:
                condition = 0
                continue
            pin = msgspec.json.decode(stored.body, type=_Pin)
            found = data.parse_version_id(pin.version)
            if found is not None and is_usable(found):
                return found
            condition = stored.version
        return wanted

    def _remember(self, name: str, cached: _Cached) -> None:
        self._cache[name] = cached
        if len(self._cache) > MAX_CACHED:
            del self._cache[next(iter(self._cache))]
