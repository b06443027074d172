"""The configuration document in force in one process, replaced only by higher versions.

A peer that has the previous version is sent only the changed bytes instead of the whole document:
most changes are one word in a document of hundreds of kilobytes.
"""

import hashlib
import os
from collections.abc import Callable

from berylrock.core import data, eventlog, message
from berylrock.loader import document

__all__ = ["Configuration", "apply_change", "make_change"]

OBJECT_KIND = "config"


class Configuration:
    """The document in force, with its bytes and version.

    Attributes:
      version: Version of the stored object; 0 if there is no document yet.
      body: The document's bytes, to be sent to peers with an older version.
      doc: The parsed document, or None if there is none yet.
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
        """Highest version received, whether it is in force or was rejected."""
        return max(self.version, self._rejected)

    def subscribe(self, action: Callable[[], None]) -> None:
        """Call an action each time that another document comes into force."""
        self._subscribers.append(action)

    def message_for(self, peer_version: int) -> message.Config | message.ConfigChange:
        """Build the message that brings a peer to the version in force.

        Args:
          peer_version: The version that the peer has; 0 for none.

        Returns:
          Only the changed bytes if the peer has the previous version, otherwise the document.
        """
        if peer_version and peer_version == self._previous_version:
            return make_change(self._previous_version, self._previous_body, self.version, self.body)
        return message.Config(self.version, self.body)

    def replace_by_change(self, change: message.ConfigChange, source: str) -> bool:
        """Apply a change to the document in force.

        Args:
          change: The change.
          source: Where the change came from, for the log.

        Returns:
          False if the change does not apply here and the whole document is needed.
        """
        if change.version <= self.highest_seen:
            return True
        if change.base != self.version:
            return False
        body = apply_change(self.body, change)
        if hashlib.sha256(body).digest() != change.digest:
            return False
        self.replace_if_newer(change.version, body, source)
        return True

    def replace_if_newer(self, version: int, body: bytes, source: str) -> bool:
        """Put a document in force if its version is higher and it is valid.

        Args:
          version: Version of the document.
          body: Bytes of the document.
          source: Where the document came from, for the log.

        Returns:
          Whether the document is now in force.
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
    """Compute the change from an old document to a new one.

    Args:
      base: Version of the old document.
      old: Bytes of the old document.
      version: Version of the new document.
      new: Bytes of the new document.

    Returns:
      The bytes between the common prefix and the common suffix, and the new document's digest.
    """
    prefix = len(os.path.commonprefix((old, new)))
    longest = min(len(old), len(new)) - prefix
    suffix = len(os.path.commonprefix((old[::-1][:longest], new[::-1][:longest])))
    middle = new[prefix : len(new) - suffix]
    digest = hashlib.sha256(new).digest()
    return message.ConfigChange(base, version, prefix, suffix, middle, digest)


def apply_change(old: bytes, change: message.ConfigChange) -> bytes:
    """Return the new document's bytes; the caller verifies them by ``change.digest``."""
    return old[: change.prefix] + change.middle + old[len(old) - change.suffix :]
