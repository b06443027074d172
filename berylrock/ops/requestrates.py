"""Counts how many requests per second contain each part of prompts."""

import collections
import math

__all__ = ["RequestRates"]

# The count of a part falls to 1/e in this time, in seconds.
DECAY_S = 20.0
MAX_PARTS = 20_000


class RequestRates:
    """Rates of this gateway's requests by prompt part."""

    def __init__(self) -> None:
        # The time of the last request and the count at that time.
        self._counts: collections.OrderedDict[str, tuple[float, float]] = collections.OrderedDict()

    def record(self, parts: tuple[str, ...], now: float) -> None:
        """Count a request with these parts."""
        for part in parts:
            self._counts[part] = (now, self._count(part, now) + 1.0)
            self._counts.move_to_end(part)
        while len(self._counts) > MAX_PARTS:
            self._counts.popitem(last=False)

    def _count(self, part: str, now: float) -> float:
        at, count = self._counts.get(part, (now, 0.0))
        return count * math.exp((at - now) / DECAY_S)

    def per_s(self, part: str, now: float) -> float:
        """Return the requests per second with a part; too few in the first seconds."""
        return self._count(part, now) / DECAY_S
