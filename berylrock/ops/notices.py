"""What an engine says of itself in its answers: that it leaves, or wants a pause or few requests.

Scenario: an engine is about to leave, and its record in the store does not say so yet, or the store
is away. Scenario: an engine refuses a request and names the seconds for which it wants no more from
this gateway; a request that is sent all the same only delays its recovery. Scenario: all engines of
a service limit the requests that they take, and callers send many more.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from berylrock.core import routing
from berylrock.ops import enginelimits

__all__ = ["EngineNotices", "Obstacle", "accept_pause", "find_obstacle"]

# Longest pause that is accepted, so that a faulty engine cannot take itself out for a day.
MAX_PAUSE_S = 120.0
# For how long an engine that another gateway reports as leaving is avoided, after each report.
HINT_TTL_S = 3.0


class EngineNotices:
    """What one engine has said to this gateway; a restart of the engine begins with none.

    Times are in seconds on one clock.

    Attributes:
      leaving: Whether the engine has said that it leaves.
      paused_until: End of the pause that the engine asked for.
      limit: The limit that the engine has named on the requests of all gateways together.
    """

    def __init__(self) -> None:
        self.leaving = False
        self.paused_until = 0.0
        self.limit = enginelimits.EngineLimit()
        self._avoided_until = 0.0

    def obstacle(self, now: float) -> str:
        """Return why the engine must get no request now; empty if it may get one."""
        if self.leaving:
            return "engine is leaving"
        if now < self.paused_until:
            return "engine asked for a pause"
        return ""

    def record_pause(self, seconds: float, now: float) -> None:
        """Record that the engine asked for a pause of these seconds; the later end holds."""
        self.paused_until = max(self.paused_until, now + seconds)

    def record_hint(self, now: float) -> None:
        """Record that the engine may be gone.

        Another gateway reports that it leaves, or a process at its address says that it is another.
        """
        self._avoided_until = now + HINT_TTL_S

    def is_avoided(self, now: float) -> bool:
        """Tell whether other engines are preferred, because this one may be gone."""
        return now < self._avoided_until


class Obstacle(NamedTuple):
    """Why no engine may get a request now.

    Attributes:
      ends_at: When the first engine may get one, in seconds; infinite if this gateway has no share
        of any limit.
      is_pause: Whether that engine asked for a pause; otherwise it is at its limit.
    """

    ends_at: float
    is_pause: bool


class _Noticed(Protocol):
    """Something with the notices of an engine, such as its state."""

    @property
    def engine(self) -> routing.Engine: ...

    notices: EngineNotices


def accept_pause(retry_after_s: float | None) -> float:
    """Return the pause to keep after a refusal.

    Args:
      retry_after_s: Seconds that the engine named; None if it named none, or a date, or anything
        else that is no number.

    Returns:
      The pause in seconds, at most ``MAX_PAUSE_S``; 0 if the engine asked for none that makes
      sense.
    """
    if retry_after_s is None or math.isnan(retry_after_s) or retry_after_s <= 0.0:
        return 0.0
    return min(MAX_PAUSE_S, retry_after_s)


def find_obstacle(
    engines: Iterable[_Noticed], shares: enginelimits.LimitShares, now: float
) -> Obstacle | None:
    """Return when the first engine may get a request, if pauses or limits keep it from all of them.

    Args:
      engines: The engines that could run a request.
      shares: Division of their limits among the gateways.
      now: Time in seconds.

    Returns:
      The obstacle; None if an engine may get a request now, or if there is none that stays.
    """
    found = []
    for item in engines:
        if item.notices.leaving:
            continue
        permit_at = item.notices.limit.permit_at(shares, item.engine.id, now)
        pause_end = item.notices.paused_until
        if max(permit_at, pause_end) <= now:
            return None
        found.append(Obstacle(max(permit_at, pause_end), pause_end > permit_at))
    return min(found, default=None)
