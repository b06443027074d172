"""The configuration in force in one process, which only ever takes a higher version."""

from collections.abc import Callable

from berylrock.core import data, eventlog
from berylrock.loader import document

__all__ = ["Configuration"]

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
        self._subscribers: list[Callable[[], None]] = []

    @property
    def seen(self) -> int:
        """The highest version looked at, be it in force or rejected."""
        return max(self.version, self._rejected)

    def subscribe(self, action: Callable[[], None]) -> None:
        """Call an action after each change."""
        self._subscribers.append(action)

    def offer(self, version: int, body: bytes, source: str) -> bool:
        """Take a document if its version is higher and it is sound.

        Args:
          version: Its version.
          body: Its bytes.
          source: Where it came from, for the log.

        Returns:
          Whether it is now in force.
        """
        if version <= self.seen or not body:
            return False
        doc, found = document.load(body.decode("utf-8", "replace"), f"config version {version}")
        if doc is None:
            self._rejected = version
            self._log.write("config_rejected", version=version, error=str(found[0]))
            return False
        self.version = version
        self.body = body
        self.doc = doc
        self._log.write("config_in_force", version=version, source=source)
        for action in self._subscribers:
            action()
        return True
