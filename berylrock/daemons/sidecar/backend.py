"""Follows one backend server: whether it answers, what it has loaded, whether it is cold.

It also tells a fall of the server from a mere broken connection.
"""

from berylrock.adapters import interfaces
from berylrock.core import eventlog
from berylrock.ops import warmup

__all__ = ["Backend"]


class Backend:
    """The state of the backend server, as last reported.

    Attributes:
      report: Its last report.
      reachable: Whether it answered the last time it was asked.
      warmth: How much it bears.
    """

    def __init__(
        self,
        server: interfaces.Engine | interfaces.PlainServer,
        warmth_state: warmup.WarmupTracker,
        log: eventlog.EventLog,
    ) -> None:
        self.server = server
        self.report = interfaces.LoadReport("")
        self.reachable = False
        self.warmth = warmth_state
        self._log = log

    async def poll(self) -> bool:
        """Ask the server for its load.

        Returns:
          Whether something changed that entry processes should hear of at once.
        """
        before = (self.reachable, self.report.loaded, self.warmth.cold)
        try:
            report = await self.server.load_report()
        except interfaces.BackendUnreachable:
            if self.reachable:
                self._log.write("backend_unreachable")
                self.warmth.reset()
            self.reachable = False
            return before[0]
        if report.incarnation != self.report.incarnation or not self.reachable:
            self._log.write("backend_up", incarnation=report.incarnation, cold=report.cold)
            self.warmth.reset()
        self.reachable = True
        self.report = report
        self.warmth.record_report(report.cold)
        return before != (True, report.loaded, self.warmth.cold)

    async def has_crashed(self, incarnation: str) -> bool:
        """Tell whether the server fell since it had this incarnation."""
        await self.poll()
        return not self.reachable or self.report.incarnation != incarnation
