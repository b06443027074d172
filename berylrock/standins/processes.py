"""Processes that a fleet of stand-ins starts, signals and ends, and what it waits for."""

import os
import pathlib
import signal
import subprocess
import time
from collections.abc import Callable
from typing import Any

__all__ = ["FleetError", "Process", "wait"]

POLL_SECONDS = 0.05


class FleetError(Exception):
    """The fleet did not come up or a wait ran out; the message says what was waited for."""


class Process:
    """One started process."""

    def __init__(self, name: str, command: list[str], log: pathlib.Path, address: str) -> None:
        self.name = name
        self.command = command
        self.log = log
        self.address = address
        self.popen = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        with self.log.open("ab") as file:
            return subprocess.Popen(self.command, stdout=file, stderr=file)

    def restart(self) -> None:
        """Start it anew after it has ended."""
        self.popen.wait()
        self.popen = self._start()

    def signal(self, number: int) -> None:
        """Send a signal, if it still runs."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        self.popen.wait()


def wait(condition: Callable[[], Any], what: str, seconds: float, logs: pathlib.Path) -> Any:
    """Wait until a condition holds.

    Args:
      condition: What to wait for; its first true value is returned.
      what: What it is, for the error.
      seconds: Longest wait.
      logs: Folder to name in the error.

    Raises:
      FleetError: It did not come to hold in time.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise FleetError(f"waited {seconds:g} s in vain for {what}; see the logs in {logs}")
