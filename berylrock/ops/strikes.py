"""Remembers which requests were held by a backend server when that fell.

A request seen in two falls is refused everywhere. One seen in a single fall is a suspect and runs
in small company until it has been answered, so that innocent requests are cleared.
"""

from collections.abc import Iterable

from berylrock.core import message

__all__ = ["CRASHES_TO_REFUSE", "StrikeTable"]

CRASHES_TO_REFUSE = 2
KEPT_SECONDS = 3600.0


class StrikeTable:
    """The falls by fingerprint, as known to one process."""

    def __init__(self, crashes_to_refuse: int = CRASHES_TO_REFUSE) -> None:
        """Refuse a request that was seen in so many falls."""
        self._falls_to_refuse = crashes_to_refuse
        self._falls: dict[str, dict[str, float]] = {}

    def add(self, strikes: Iterable[message.Strike], now: float) -> tuple[message.Strike, ...]:
        """Add strikes.

        Args:
          strikes: Strikes, known or new.
          now: Time in seconds.

        Returns:
          Those that were new.
        """
        new = []
        for strike in strikes:
            falls = self._falls.setdefault(strike.fingerprint, {})
            if strike.fall not in falls:
                falls[strike.fall] = now
                new.append(strike)
        return tuple(new)

    def clear(self, fingerprint: str) -> bool:
        """Forget a suspect that has been answered; returns whether it was one."""
        if self.is_refused(fingerprint):
            return False
        return self._falls.pop(fingerprint, None) is not None

    def is_suspect(self, fingerprint: str) -> bool:
        """Whether a backend server fell while it held the request."""
        return fingerprint in self._falls

    def is_refused(self, fingerprint: str) -> bool:
        """Whether the request was seen in so many falls that it does not run again."""
        return len(self._falls.get(fingerprint, ())) >= self._falls_to_refuse

    def all(self) -> tuple[message.Strike, ...]:
        """All strikes, for a peer that has just connected."""
        return tuple(
            message.Strike(fingerprint, fall)
            for fingerprint, falls in self._falls.items()
            for fall in falls
        )

    def refused(self) -> tuple[str, ...]:
        """The fingerprints that do not run again."""
        return tuple(item for item in self._falls if self.is_refused(item))

    def expire(self, now: float) -> None:
        """Forget strikes older than ``KEPT_SECONDS``."""
        for fingerprint, falls in list(self._falls.items()):
            if max(falls.values()) < now - KEPT_SECONDS:
                del self._falls[fingerprint]
