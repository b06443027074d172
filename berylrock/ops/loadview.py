"""Knows what the other gateways have running at each engine.

Load pattern: twenty gateways before as many engines, each with a few requests a second. What one of
them sends says little about how full an engine is; without the others' word their choices collide.
"""

from typing import NamedTuple

from berylrock.ops import budget

__all__ = ["EngineLoad", "LoadView"]

# A gateway that is not heard from for this long is held to have nothing running.
KEPT_S = 1.5


class EngineLoad(NamedTuple):
    """What one gateway has at one engine.

    Attributes:
      engine_id: The engine.
      running: Requests.
      work: Sum of their sizes, in tokens.
      heard_at: When anything last came from the engine, on the loop's clock.
    """

    engine_id: str
    running: int
    work: float
    heard_at: float = 0.0


class _News(NamedTuple):
    """What one gateway said last, and when."""

    at: float
    loads: dict[str, EngineLoad]
    spent: dict[str, budget.RetryUsage]


class LoadView:
    """The other gateways' loads and repeats, as last heard."""

    def __init__(self) -> None:
        self._heard: dict[str, _News] = {}

    def note(
        self,
        gateway: str,
        loads: tuple[EngineLoad, ...],
        spent: dict[str, budget.RetryUsage],
        now: float,
    ) -> None:
        """Take what a gateway says of itself; it replaces what it said before."""
        self._heard[gateway] = _News(now, {item.engine_id: item for item in loads}, spent)

    def peer_usage(self, service: str, now: float) -> budget.RetryUsage:
        """The sum of the other gateways' requests and repeats at a service."""
        heard = [item.spent.get(service) for item in self._heard.values() if now - item.at < KEPT_S]
        known = [item for item in heard if item is not None]
        return budget.RetryUsage(
            sum(item.requests for item in known), sum(item.retries for item in known)
        )

    def peer_load(self, engine_id: str, now: float) -> EngineLoad:
        """The sum of what the other gateways have at an engine."""
        running, work, heard_at = 0, 0.0, 0.0
        for news in self._heard.values():
            load = news.loads.get(engine_id)
            if load is not None and now - news.at < KEPT_S:
                running += load.running
                work += load.work
                heard_at = max(heard_at, load.heard_at)
        return EngineLoad(engine_id, running, work, heard_at)

    def live_gateways(self, now: float) -> list[str]:
        """The gateways that were heard a moment ago."""
        return [name for name, news in self._heard.items() if now - news.at < KEPT_S]

    def expire(self, now: float) -> None:
        """Forget gateways that are silent."""
        self._heard = {name: item for name, item in self._heard.items() if now - item.at < KEPT_S}
