"""Writes events as key=value log lines and keeps the latest ones in memory for the timeline.

Every line carries the wall-clock time and the name of the process. ``ops/timeline.py`` corrects
the differences between clocks when it merges the events of several processes.
"""

import collections
import logging
import sys
import time
from typing import Any, NamedTuple

from pythonjsonlogger import core

__all__ = ["Event", "EventLog"]

MAX_EVENTS = 5000


class Event(NamedTuple):
    """Event in a process.

    Attributes:
      time: Wall-clock time, in seconds since the epoch.
      process: Name of the process.
      name: Name of the event, for example ``request_answered``.
      fields: The event's other fields.
    """

    time: float
    process: str
    name: str
    fields: dict[str, Any]


def _quote(value: Any) -> str:
    text = str(value)
    if text and not any(char in text for char in ' "=\n'):
        return text
    return '"' + text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n") + '"'


class KeyValueFormatter(core.BaseJsonFormatter):
    """Formats the fields that python-json-logger collects as key=value pairs."""

    def jsonify_log_record(self, log_data: core.LogData) -> str:
        """Format one record."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


class EventLog:
    """Event log of a process, written to a log handler and kept in memory for the timeline."""

    def __init__(
        self, process: str, handler: logging.Handler | None = None, max_events: int = MAX_EVENTS
    ) -> None:
        """Create an event log.

        Args:
          process: Name of the process.
          handler: Handler that receives the lines; None writes to standard error.
          max_events: Number of latest events to keep in memory.
        """
        self.process = process
        self.events: collections.deque[Event] = collections.deque(maxlen=max_events)
        self._logger = logging.getLogger(f"berylrock.{process}")
        self._logger.propagate = False
        self._logger.setLevel(logging.INFO)
        handler = handler or logging.StreamHandler(sys.stderr)
        handler.setFormatter(KeyValueFormatter([]))
        self._logger.handlers = [handler]

    def write(self, name: str, **fields: Any) -> None:
        """Write an event.

        Args:
          name: Name of the event.
          **fields: The event's other fields; events of a request have the field ``request``.
        """
        now = time.time()
        self.events.append(Event(now, self.process, name, fields))
        line = {"time": f"{now:.6f}", "process": self.process, "event": name, **fields}
        self._logger.info(line)
