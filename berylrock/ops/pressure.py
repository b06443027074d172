"""Decides who may ask a larger model while engines are busy.

Load pattern: a burst of the least urgent kind of request beside the most urgent one. A larger model
reads and writes ten times as slowly as the smallest, so an answer that is made again by it takes
the engine time of ten others. Each gateway sees whether its own request would still be in time, but
not that it makes others late.

The wait of a new prompt behind those that engines have not read yet shows how much room there is.
The longer it is, the less confidence the smallest model needs for its answer to be kept, for the
least urgent requests first. Answers that are almost surely wrong are made again the longest: they
are a part of all, and gain the most.
"""

from collections.abc import Iterable
from typing import NamedTuple

from berylrock.ops import enginestate, loadview

__all__ = ["YieldRange", "WaitGauge", "find_yield_range", "needed_confidence"]

# Time for which a measured wait is used again, in seconds.
MAX_AGE_S = 0.05
# Answers with a confidence below this one, from 0 to 100, are almost surely wrong.
SURELY_WRONG = 15.0


class YieldRange(NamedTuple):
    """Waits over which requests yield larger models to others, as shares of a latency target.

    The target is the longest one of the service's streams, which those with the longest prompts
    mostly have.

    Attributes:
      begin: Up to this wait they ask larger models as if engines were idle.
      middle: From this wait on they ask only for answers that are almost surely wrong.
      end: From this wait on they ask none.
    """

    begin: float
    middle: float
    end: float


# By priority of the route; less urgent ones yield before others come late.
YIELD_RANGES = (
    YieldRange(0.6, 1.5, 3.0),
    YieldRange(0.25, 0.75, 1.5),
    YieldRange(0.015, 0.08, 0.15),
)


def find_yield_range(priority: int) -> YieldRange:
    """Return over which waits requests of a route with this priority yield; 0 is most urgent."""
    return YIELD_RANGES[min(len(YIELD_RANGES) - 1, max(0, priority))]


def needed_confidence(usual: float, wait_s: float, target_s: float, priority: int) -> float:
    """Return the confidence at which an answer of the smallest model is passed on.

    Args:
      usual: The confidence that is needed while engines are idle, from 0 to 100.
      wait_s: How long a new prompt waits at engines, in seconds.
      target_s: Longest time within which first events of the service are on time, in seconds.
      priority: Priority of its route; 0 is the most urgent.

    Returns:
      The confidence, from 0 to ``usual``.
    """
    found = find_yield_range(priority)
    share = wait_s / target_s if target_s > 0.0 else 0.0
    least = min(usual, SURELY_WRONG)
    if share <= found.middle:
        return least + (usual - least) * _left(share, found.begin, found.middle)
    return least * _left(share, found.middle, found.end)


def _left(share: float, begin: float, end: float) -> float:
    """Return which part of a range is left at a value, from 1 at its begin to 0 at its end."""
    return min(1.0, max(0.0, (end - share) / (end - begin)))


class _Measured(NamedTuple):
    """A wait in seconds, and the time of its measurement."""

    at: float
    wait_s: float


class WaitGauge:
    """Measures how long new prompts wait at the engines of each service and version."""

    def __init__(self) -> None:
        self._measured: dict[tuple[str, str | None], _Measured] = {}

    def measure(
        self,
        key: tuple[str, str | None],
        states: Iterable[enginestate.EngineState],
        load_view: loadview.LoadView,
        seconds_per_work: float,
        now: float,
    ) -> float:
        """Return the mean wait at some engines.

        Args:
          key: Service and version.
          states: Their engines.
          load_view: Loads of the other gateways.
          seconds_per_work: Time that a unit of work takes; 0 if it is not known.
          now: Time in seconds on the event loop's clock.

        Returns:
          The wait in seconds.
        """
        known = self._measured.get(key)
        if known is not None and now - known.at < MAX_AGE_S:
            return known.wait_s
        works = [item.work + load_view.peer_load(item.engine.id, now).work for item in states]
        wait_s = sum(works) / len(works) * seconds_per_work if works else 0.0
        self._measured[key] = _Measured(now, wait_s)
        return wait_s

    def latest(self) -> dict[tuple[str, str | None], float]:
        """Return the waits as last measured, in seconds, by service and version."""
        return {key: item.wait_s for key, item in self._measured.items()}
