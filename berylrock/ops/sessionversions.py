"""Remembers on which version each active session runs."""

from typing import NamedTuple

__all__ = ["SessionRun", "SessionVersions"]


class SessionRun(NamedTuple):
    """The last request of a session at this gateway.

    Attributes:
      version: The version that it ran on.
      at: Time at which it was sent, or at which it ended if that is known, in seconds.
    """

    version: str
    at: float


class SessionVersions:
    """The versions of active sessions, by service."""

    def __init__(self) -> None:
        self._last: dict[tuple[str, str], SessionRun] = {}

    def find(self, service: str, session: str, now: float, ttl_s: float) -> SessionRun | None:
        """Return a session's last request; None if it is older than ``ttl_s``."""
        found = self._last.get((service, session))
        return found if found is not None and now - found.at < ttl_s else None

    def record(self, service: str, session: str, version: str, now: float) -> None:
        """Record the version that a session's request runs on."""
        self._last[(service, session)] = SessionRun(version, now)

    def expire(self, now: float, ttl_s: float) -> None:
        """Remove sessions that were inactive for ``ttl_s`` seconds."""
        self._last = {key: item for key, item in self._last.items() if now - item.at < ttl_s}
