"""Handles SIGTERM and SIGINT: the first requests a graceful shutdown, the second cuts it short."""

import asyncio
import signal

from berylrock.core import eventlog

__all__ = ["ShutdownSignal"]


class ShutdownSignal:
    """Records whether the process has been told to shut down.

    Attributes:
      requested: Whether a first signal was received.
      forced: Whether a second signal was received, which ends the wait for running requests.
    """

    def __init__(self, log: eventlog.EventLog) -> None:
        self.requested = False
        self.forced = False
        self._log = log
        self._event = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._handle_signal)

    def _handle_signal(self) -> None:
        if self.requested:
            self.forced = True
            self._log.write("stop_forced")
        else:
            self.requested = True
            self._log.write("stop_requested")
        self._event.set()

    async def wait(self) -> None:
        """Wait for the first signal."""
        await self._event.wait()
