"""Remembers the sessions that are active, by digests of their names, and on which version they run.

A session lives for some seconds after its last request has ended, so one with a running request is
active however long that takes.
"""

import hashlib
from typing import NamedTuple

__all__ = ["DIGEST_BYTES", "ActiveSessions", "Session", "SessionUse", "make_session"]

DIGEST_BYTES = 8


class Session(NamedTuple):
    """A session of a service's callers.

    Attributes:
      service: The service.
      digest: Digest of the session's name, which the gateways send each other in its place.
    """

    service: str
    digest: bytes


class SessionUse(NamedTuple):
    """The last request of a session, as far as this gateway knows.

    Attributes:
      version: The version that it ran on; empty if another gateway told of it.
      at: Time at which it was sent or, once it has, at which it ended, in seconds.
      running: Number of the session's requests that are running at this gateway.
    """

    version: str
    at: float
    running: int = 0


def make_session(service: str, name: str) -> Session | None:
    """Return the session with a name at a service; None for a request without a session."""
    if not name:
        return None
    return Session(service, hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest())


class ActiveSessions:
    """The active sessions that this gateway serves or that another one told of before its stop."""

    def __init__(self) -> None:
        self._uses: dict[Session, SessionUse] = {}

    def find(self, session: Session, now: float, ttl_s: float) -> SessionUse | None:
        """Return the last request of a session; None if it ended over ``ttl_s`` seconds ago."""
        use = self._uses.get(session)
        return use if use is not None and _is_active(use, now, ttl_s) else None

    def begin(self, session: Session, version: str, now: float) -> None:
        """Record that a request of a session is sent to an engine of a version."""
        known = self._uses.get(session)
        running = known.running if known is not None else 0
        self._uses[session] = SessionUse(version, now, running + 1)

    def end(self, session: Session, now: float) -> None:
        """Record that a request of a session has ended, for each that had begun."""
        known = self._uses.get(session)
        if known is not None:
            self._uses[session] = known._replace(at=now, running=max(0, known.running - 1))

    def learn(self, session: Session, at: float) -> None:
        """Record the last request of a session at a gateway that stops; ``at`` is when it ended."""
        known = self._uses.get(session)
        if known is None or known.at < at:
            known = known or SessionUse("", at)
            self._uses[session] = known._replace(at=at)

    def list(self, now: float, ttl_s: float) -> list[tuple[Session, SessionUse]]:
        """Return the active sessions."""
        return [item for item in self._uses.items() if _is_active(item[1], now, ttl_s)]

    def expire(self, now: float, ttl_s: float) -> None:
        """Remove the sessions that are not active."""
        self._uses = dict(self.list(now, ttl_s))


def _is_active(use: SessionUse, now: float, ttl_s: float) -> bool:
    return use.running > 0 or now - use.at < ttl_s
