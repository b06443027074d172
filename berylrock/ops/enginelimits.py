"""Keeps the requests of all gateways together within the rate that an engine names in its answers.

A few gateways hold shares of an engine's rate, chosen by rendezvous hashing among the gateways that
have a record in the store; the others send it nothing. No message grants a share, so no lost or
late datagram adds to the rate. A gateway that has just joined holds none until the others know it.

Load pattern: an engine in need takes one request a second, hundreds of gateways have requests for
it, and each learns of the limit at another moment. Equal shares of such a rate would be one request
of each gateway in some minutes, and all of them at the same moment in the worst case.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.ops import rendezvous

__all__ = ["NO_LIMIT", "UNSHARED", "EngineLimit", "LimitReport", "LimitShares", "sum_limits"]

NO_LIMIT = math.inf
# An engine that takes nothing at all could never say that it takes requests again.
MIN_LIMIT_PER_S = 0.1
# Gateways that hold shares of a limit below one request per second. Each may send one request
# early, so their number grows with the limit and not with the fleet.
MIN_HOLDERS = 3
# Requests that a gateway may send early, as seconds of its share; one is always possible.
BURST_S = 0.25
# Time for which a gateway that joins holds no shares, while the others read its record.
JOIN_DELAY_S = 8.0
# Tolerance for the rounding of sums of permits.
ROUNDING = 1e-9


class LimitReport(NamedTuple):
    """The limit that an engine named in an answer.

    Attributes:
      per_s: Requests per second from all gateways together; ``NO_LIMIT`` if it named none.
      at: Time of the answer in seconds.
    """

    per_s: float
    at: float


class LimitShares(NamedTuple):
    """Division of the limits of engines among the gateways.

    Attributes:
      gateways: Names of all gateways, in any order.
      own_name: This gateway's name.
      joined: Whether the other gateways know of this one.
    """

    gateways: tuple[str, ...]
    own_name: str
    joined: bool

    def is_first(self, engine_id: str) -> bool:
        """Tell whether this gateway comes first among those that hold shares of a limit."""
        return rendezvous.find_position(engine_id, self.gateways, self.own_name) == 0

    def rate(self, engine_id: str, limit_per_s: float) -> float:
        """Return the requests per second that this gateway may send to an engine.

        Args:
          engine_id: The engine's id.
          limit_per_s: Requests per second from all gateways together.

        Returns:
          This gateway's share; 0 if it holds none.
        """
        if not self.joined:
            return 0.0
        limit_per_s = max(MIN_LIMIT_PER_S, limit_per_s)
        holders = min(len(self.gateways), int(limit_per_s) + MIN_HOLDERS)
        if rendezvous.find_position(engine_id, self.gateways, self.own_name) >= holders:
            return 0.0
        return limit_per_s / holders


# For a process that sends to its engines alone.
UNSHARED = LimitShares(("",), "", True)


class EngineLimit:
    """The limit of one engine, and the requests that this gateway may still send within it.

    Times are in seconds on one clock.

    Attributes:
      report: The newest report on the limit.
      ended_at: When the engine last ceased to name a limit; minus infinity if it never had one.
    """

    def __init__(self) -> None:
        self.report = LimitReport(NO_LIMIT, -math.inf)
        self.ended_at = -math.inf
        self._permits = 1.0
        self._refilled_at = -math.inf

    @property
    def limited(self) -> bool:
        """Whether the engine has a limit."""
        return self.report.per_s != NO_LIMIT

    @property
    def told(self) -> bool:
        """Whether an answer of the engine is known, and not just a record of its limit."""
        return self.report.at > -math.inf

    def record(self, per_s: float, now: float) -> bool:
        """Record what an answer to this gateway names; returns whether that is another limit."""
        return self._replace(LimitReport(per_s, now))

    def hear(self, per_s: float, earliest: float, latest: float) -> bool:
        """Record what another gateway reports.

        A datagram may be late, so the time of its report is known within bounds only. A lower limit
        counts as the latest, any other as the earliest.

        Args:
          per_s: The limit.
          earliest: Earliest time of the answer that named it.
          latest: Latest time of that answer.

        Returns:
          Whether the engine has another limit than before.
        """
        at = latest if per_s < self.report.per_s else earliest
        return at > self.report.at and self._replace(LimitReport(per_s, at))

    def assume(self, per_s: float) -> bool:
        """Assume a limit that is on record until the first report on this engine.

        Returns:
          Whether the engine has another limit than before.
        """
        if self.told or not 0.0 <= per_s < NO_LIMIT:
            return False
        return self._replace(LimitReport(per_s, -math.inf))

    def _replace(self, report: LimitReport) -> bool:
        changed = report.per_s != self.report.per_s
        if changed and report.per_s == NO_LIMIT:
            self.ended_at = report.at
        self.report = report
        return changed

    def permit_at(self, shares: LimitShares, engine_id: str, now: float) -> float:
        """Return when this gateway may send the next request.

        Args:
          shares: Division of the limit among the gateways.
          engine_id: The engine's id.
          now: Time in seconds.

        Returns:
          The time, ``now`` if that is at once; infinite if this gateway holds no share.
        """
        if not self.limited:
            return now
        rate_per_s = shares.rate(engine_id, self.report.per_s)
        if rate_per_s <= 0.0:
            return math.inf
        most = max(1.0, rate_per_s * BURST_S)
        self._permits = min(most, self._permits + rate_per_s * (now - self._refilled_at))
        self._refilled_at = now
        missing = 1.0 - self._permits
        return now if missing <= ROUNDING else now + missing / rate_per_s

    def take(self, now: float) -> None:
        """Record that this gateway sends a request."""
        self._permits = max(0.0, self._permits - 1.0) if self.limited else 0.0
        self._refilled_at = max(self._refilled_at, now)


def sum_limits(limits: Iterable[EngineLimit]) -> float:
    """Return the requests per second that some engines take from all gateways together."""
    return sum(max(MIN_LIMIT_PER_S, item.report.per_s) for item in limits)
