"""Remembers on which version each active session runs."""

__all__ = ["SessionVersions"]


class SessionVersions:
    """The versions of active sessions, by service."""

    def __init__(self) -> None:
        self._last: dict[tuple[str, str], tuple[str, float]] = {}

    def find(self, service: str, session: str, now: float, ttl_s: float) -> str | None:
        """Return the version of a session's last request; None if it is older than ``ttl_s``."""
        version, at = self._last.get((service, session), ("", 0.0))
        return version if version and now - at < ttl_s else None

    def record(self, service: str, session: str, version: str, now: float) -> None:
        """Record the version that a session's request runs on."""
        self._last[(service, session)] = (version, now)

    def expire(self, now: float, ttl_s: float) -> None:
        """Remove sessions that were inactive for ``ttl_s`` seconds."""
        self._last = {key: item for key, item in self._last.items() if now - item[1] < ttl_s}
