"""Monitors one backend server: whether it answers, what it has loaded, whether it is cold.

It also distinguishes a crash of the server from a broken connection.
"""

from berylrock.adapters import interfaces
from berylrock.core import eventlog
from berylrock.ops import warmup

__all__ = ["Backend"]


class Backend:
    """The backend server and its state as last polled.

    Attributes:
      server: The adapter through which it is called.
      report: Its last load report.
      reachable: Whether it answered the last poll.
      warmup: Tracks its cold start and limits its requests.
    """

    def __init__(
        self,
        server: interfaces.Engine | interfaces.PlainServer,
        warmup_tracker: warmup.WarmupTracker,
        log: eventlog.EventLog,
    ) -> None:
        self.server = server
        self.report = interfaces.LoadReport("")
        self.reachable = False
        self.warmup = warmup_tracker
        self._log = log

    async def poll(self) -> bool:
        """Poll the server's load report.

        A server that became unreachable, came back or has a new incarnation starts its warm-up
        anew.

        Returns:
          Whether something changed that entry processes must be told at once: its reachability,
          its loaded versions or whether it is cold.
        """
        before = (self.reachable, self.report.loaded, self.warmup.cold)
        try:
            report = await self.server.load_report()
        except interfaces.BackendUnreachable:
            if self.reachable:
                self._log.write("backend_unreachable")
                self.warmup.reset()
            self.reachable = False
            return before[0]
        if report.incarnation != self.report.incarnation or not self.reachable:
            self._log.write("backend_up", incarnation=report.incarnation, cold=report.cold)
            self.warmup.reset()
        self.reachable = True
        self.report = report
        self.warmup.record_report(report.cold)
        return before != (True, report.loaded, self.warmup.cold)

    async def has_crashed(self, incarnation: str) -> bool:
        """Poll the server and tell whether it crashed.

        Args:
          incarnation: The incarnation that the server had before.

        Returns:
          Whether the server is unreachable or has another incarnation.
        """
        await self.poll()
        return not self.reachable or self.report.incarnation != incarnation
