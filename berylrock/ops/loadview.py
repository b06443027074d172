"""Tracks the requests that the other gateways have running on each engine.

Scenario: twenty gateways send to the same number of engines, each a few requests per second.
One gateway's own requests say little about the load of an engine. Without the reports of the other
gateways, many gateways would choose the same engine.
"""

from typing import NamedTuple

from berylrock.ops import budget

__all__ = ["EngineLoad", "LoadView"]

# A gateway whose last report is older than this is assumed to have nothing running.
REPORT_LIFETIME_S = 1.5


class EngineLoad(NamedTuple):
    """Load of one engine, from one gateway or the sum of several.

    Attributes:
      engine_id: The engine's id.
      running: Number of running requests.
      work: Total size of the running requests, in weighted tokens.
      heard_at: Time at which data last arrived from the engine, on the event loop's clock.
    """

    engine_id: str
    running: int
    work: float
    heard_at: float = 0.0


class _PeerReport(NamedTuple):
    """The last report of one gateway, and the time of its arrival."""

    at: float
    loads: dict[str, EngineLoad]
    spent: dict[str, budget.RetryUsage]


class LoadView:
    """The last reported loads and retries of the other gateways."""

    def __init__(self) -> None:
        self._reports: dict[str, _PeerReport] = {}

    def record(
        self,
        gateway: str,
        loads: tuple[EngineLoad, ...],
        spent: dict[str, budget.RetryUsage],
        now: float,
    ) -> None:
        """Record a gateway's report, which replaces its previous one.

        Args:
          gateway: The gateway's name.
          loads: Its requests by engine.
          spent: Its requests and retries by service.
          now: Time in seconds on the event loop's clock.
        """
        self._reports[gateway] = _PeerReport(now, {item.engine_id: item for item in loads}, spent)

    def peer_usage(self, service: str, now: float) -> budget.RetryUsage:
        """Return the sum of the other gateways' requests and retries for a service."""
        found = [
            item.spent.get(service)
            for item in self._reports.values()
            if now - item.at < REPORT_LIFETIME_S
        ]
        known = [item for item in found if item is not None]
        return budget.RetryUsage(
            sum(item.requests for item in known), sum(item.retries for item in known)
        )

    def peer_load(self, engine_id: str, now: float) -> EngineLoad:
        """Return the sum of the other gateways' loads at an engine."""
        running, work, heard_at = 0, 0.0, 0.0
        for report in self._reports.values():
            load = report.loads.get(engine_id)
            if load is not None and now - report.at < REPORT_LIFETIME_S:
                running += load.running
                work += load.work
                heard_at = max(heard_at, load.heard_at)
        return EngineLoad(engine_id, running, work, heard_at)

    def live_gateways(self, now: float) -> list[str]:
        """Return the names of the gateways with a recent report."""
        return [
            name for name, report in self._reports.items() if now - report.at < REPORT_LIFETIME_S
        ]

    def expire(self, now: float) -> None:
        """Remove the reports of gateways that are silent."""
        self._reports = {
            name: item for name, item in self._reports.items() if now - item.at < REPORT_LIFETIME_S
        }
