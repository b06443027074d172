"""Tracks the requests that the other gateways have running on each engine.

Scenario: twenty gateways send to the same number of engines, each a few requests per second.
One gateway's own requests say little about the load of an engine. Without the reports of the other
gateways, many gateways would choose the same engine.
"""

from typing import NamedTuple

from berylrock.ops import budget, loadreport

__all__ = ["LoadView"]

# A gateway whose last report is older than this is assumed to have nothing running.
REPORT_LIFETIME_S = 1.5


class _PeerReport(NamedTuple):
    """The last report of one gateway, and the time of its arrival."""

    at: float
    loads: tuple[loadreport.EngineLoad, ...]
    spent: dict[str, budget.RetryUsage]


class _EngineSum:
    """Sum of the reported loads of one engine."""

    def __init__(self) -> None:
        self.running = 0
        self.work = 0.0
        self.heard_at = 0.0


class LoadView:
    """The last reported loads and retries of the other gateways.

    The sums by engine are updated as reports arrive and expire, so that a look-up takes the same
    time for any number of gateways.
    """

    def __init__(self) -> None:
        # In order of arrival, so that the oldest report comes first.
        self._reports: dict[str, _PeerReport] = {}
        self._sums: dict[int, _EngineSum] = {}

    def record(
        self,
        gateway: str,
        loads: tuple[loadreport.EngineLoad, ...],
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
        self._remove(gateway)
        self._reports[gateway] = _PeerReport(now, loads, spent)
        for load in loads:
            total = self._sums.setdefault(load.key, _EngineSum())
            total.running += load.running
            total.work += load.work
            total.heard_at = max(total.heard_at, load.heard_at)

    def _remove(self, gateway: str) -> None:
        report = self._reports.pop(gateway, None)
        for load in report.loads if report is not None else ():
            total = self._sums.get(load.key)
            if total is not None:
                total.running -= load.running
                total.work -= load.work

    def peer_usage(self, service: str, now: float) -> budget.RetryUsage:
        """Return the sum of the other gateways' requests and retries for a service."""
        self._drop_expired(now)
        found = [item.spent.get(service) for item in self._reports.values()]
        known = [item for item in found if item is not None]
        return budget.RetryUsage(
            sum(item.requests for item in known), sum(item.retries for item in known)
        )

    def peer_load(self, engine_id: str, now: float) -> loadreport.EngineLoad:
        """Return the sum of the other gateways' loads at an engine."""
        self._drop_expired(now)
        key = loadreport.engine_key(engine_id)
        total = self._sums.get(key)
        if total is None:
            return loadreport.EngineLoad(key, 0, 0.0)
        return loadreport.EngineLoad(key, total.running, max(0.0, total.work), total.heard_at)

    def live_gateways(self, now: float) -> list[str]:
        """Return the names of the gateways with a recent report."""
        self._drop_expired(now)
        return list(self._reports)

    def _drop_expired(self, now: float) -> None:
        while self._reports:
            gateway = next(iter(self._reports))
            if now - self._reports[gateway].at < REPORT_LIFETIME_S:
                return
            self._remove(gateway)

    def expire(self, now: float) -> None:
        """Remove the reports of gateways that are silent, and the sums of idle engines."""
        self._drop_expired(now)
        self._sums = {
            key: total
            for key, total in self._sums.items()
            if total.running or now - total.heard_at < REPORT_LIFETIME_S
        }
