"""Tracks the requests that a backend server was running when it crashed.

By default, a request involved in two crashes is quarantined: it does not run again. A request
involved in one is a suspect: it runs together with few other requests until it has completed, which
clears the requests that did not cause the crash.
"""

from collections.abc import Iterable

from berylrock.core import message

__all__ = ["DEFAULT_CRASHES_TO_QUARANTINE", "StrikeTable"]

DEFAULT_CRASHES_TO_QUARANTINE = 2
MAX_AGE_SECONDS = 3600.0


class StrikeTable:
    """Crashes by request fingerprint, as known to one process."""

    def __init__(self, crashes_to_quarantine: int = DEFAULT_CRASHES_TO_QUARANTINE) -> None:
        """Create an empty table that quarantines a request after this many crashes."""
        self._crashes_to_quarantine = crashes_to_quarantine
        self._crashes: dict[str, dict[str, float]] = {}

    def add(self, strikes: Iterable[message.Strike], now: float) -> tuple[message.Strike, ...]:
        """Add strikes.

        Args:
          strikes: Known or new strikes.
          now: Time in seconds.

        Returns:
          The strikes that were new.
        """
        new = []
        for strike in strikes:
            crashes = self._crashes.setdefault(strike.fingerprint, {})
            if strike.fall not in crashes:
                crashes[strike.fall] = now
                new.append(strike)
        return tuple(new)

    def clear(self, fingerprint: str) -> bool:
        """Clear a request that has completed, unless it is quarantined.

        Args:
          fingerprint: The request's fingerprint.

        Returns:
          Whether the request was a suspect and has been cleared.
        """
        if self.is_quarantined(fingerprint):
            return False
        return self._crashes.pop(fingerprint, None) is not None

    def is_suspect(self, fingerprint: str) -> bool:
        """Tell whether a backend server crashed while it ran the request."""
        return fingerprint in self._crashes

    def is_quarantined(self, fingerprint: str) -> bool:
        """Tell whether the request was involved in so many crashes that it does not run again."""
        return len(self._crashes.get(fingerprint, ())) >= self._crashes_to_quarantine

    def all(self) -> tuple[message.Strike, ...]:
        """Return all strikes, for a peer that has just connected."""
        return tuple(
            message.Strike(fingerprint, crash)
            for fingerprint, crashes in self._crashes.items()
            for crash in crashes
        )

    def quarantined(self) -> tuple[str, ...]:
        """Return the fingerprints of the quarantined requests."""
        return tuple(item for item in self._crashes if self.is_quarantined(item))

    def expire(self, now: float) -> None:
        """Remove requests whose last strike is older than ``MAX_AGE_SECONDS``."""
        for fingerprint, crashes in list(self._crashes.items()):
            if max(crashes.values()) < now - MAX_AGE_SECONDS:
                del self._crashes[fingerprint]
