"""The configuration in force in one process, which only ever takes a higher version.

A peer that has the version before is sent the bytes that changed, not the whole document: most
changes are one word in a document of hundreds of kilobytes.
"""

import hashlib
import os
from collections.abc import Callable

from berylrock.core import data, eventlog, message
from berylrock.loader import document

__all__ = ["Configuration", "apply_change", "make_change"]

OBJECT_KIND = "config"


class Configuration:
    """The document in force, its bytes and its version; version 0 means none yet.

    Attributes:
      version: Version of the object in the object API.
      body: The document's bytes, to pass to a peer that lags.
      doc: The document, or None.
    """

    def __init__(self, log: eventlog.EventLog) -> None:
        self.version = 0
        self.body = b""
        self.doc: data.Document | None = None
        self._log = log
        self._rejected = 0
        self._previous_version = 0
        self._previous_body = b""
        self._subscribers: list[Callable[[], None]] = []

    @property
    def highest_seen(self) -> int:
        """The highest version looked at, be it in force or rejected."""
        return max(self.version, self._rejected)

    def subscribe(self, action: Callable[[], None]) -> None:
        """Call an action after each change."""
        self._subscribers.append(action)

    def message_for(self, peer_version: int) -> message.Config | message.ConfigChange:
        """What to send to a peer that has a version, so that it has this one."""
        if peer_version and peer_version == self._previous_version:
            return make_change(self._previous_version, self._previous_body, self.version, self.body)
        return message.Config(self.version, self.body)

    def offer_change(self, change: message.ConfigChange, source: str) -> bool:
        """Take a change of the version in force.

        Args:
          change: The change.
          source: Where it came from, for the log.

        Returns:
          False if the whole document is needed.
        """
        if change.version <= self.highest_seen:
            return True
        if change.base != self.version:
            return False
        body = apply_change(self.body, change)
        if hashlib.sha256(body).digest() != change.digest:
            return False
        self.offer(change.version, body, source)
        return True

    def offer(self, version: int, body: bytes, source: str) -> bool:
        """Take a document if its version is higher and it is sound.

        Args:
          version: Its version.
          body: Its bytes.
          source: Where it came from, for the log.

        Returns:
          Whether it is now in force.
        """
        if version <= self.highest_seen or not body:
            return False
        doc, found = document.load(body.decode("utf-8", "replace"), f"config version {version}")
        if doc is None:
            self._rejected = version
            self._log.write("config_rejected", version=version, error=str(found[0]))
            return False
        self._previous_version, self._previous_body = self.version, self.body
        self.version = version
        self.body = body
        self.doc = doc
        self._log.write("config_in_force", version=version, source=source)
        for action in self._subscribers:
            action()
        return True


def make_change(base: int, old: bytes, version: int, new: bytes) -> message.ConfigChange:
    """Describe a new document by what differs from an old one.

    Args:
      base: The old document's version.
      old: Its bytes.
      version: The new document's version.
      new: Its bytes.
    """
    prefix = len(os.path.commonprefix((old, new)))
    longest = min(len(old), len(new)) - prefix
    suffix = len(os.path.commonprefix((old[::-1][:longest], new[::-1][:longest])))
    middle = new[prefix : len(new) - suffix]
    digest = hashlib.sha256(new).digest()
    return message.ConfigChange(base, version, prefix, suffix, middle, digest)


def apply_change(old: bytes, change: message.ConfigChange) -> bytes:
    """The new document's bytes; its digest tells whether they are right."""
    return old[: change.prefix] + change.middle + old[len(old) - change.suffix :]
