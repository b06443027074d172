"""Starts, signals and kills the processes of a fleet, and polls for conditions."""

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
    """A fleet could not start or a wait timed out; the message names the awaited condition."""


class Process:
    """A child process that can be restarted with the same command and log file."""

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
        """Wait for the process to exit and start it again."""
        self.popen.wait()
        self.popen = self._start()

    def signal(self, number: int) -> None:
        """Send a signal if the process is still running."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for it to exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait()


def wait(condition: Callable[[], Any], description: str, seconds: float, logs: pathlib.Path) -> Any:
    """Poll until a condition holds.

    Args:
      condition: Function that is polled.
      description: The awaited condition in words, for the error message.
      seconds: Timeout.
      logs: Directory of the logs, for the error message.

    Returns:
      The first true value of the condition.

    Raises:
      FleetError: The condition did not hold within the timeout.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise FleetError(
        f"timed out after {seconds:g} s waiting for {description}; see the logs in {logs}"
    )
