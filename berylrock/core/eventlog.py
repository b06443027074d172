"""Writes one key=value line for each event and keeps the last ones for the time line.

Every line carries a hybrid logical clock, so that events of processes whose clocks differ can be
merged in causal order.
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
    """Something that happened.

    Attributes:
      time: Wall-clock time in seconds.
      process: Name of the process.
      name: What happened, for example ``request_answered``.
      fields: Further facts.
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
    """Renders the fields that python-json-logger collects as key=value pairs."""

    def jsonify_log_record(self, log_data: core.LogData) -> str:
        """Render one record."""
        return " ".join(f"{key}={_quote(value)}" for key, value in log_data.items())


class EventLog:
    """A process's events: to a log handler, and in memory for the time line."""

    def __init__(
        self, process: str, handler: logging.Handler | None = None, max_events: int = MAX_EVENTS
    ) -> None:
        """Write to ``handler``, or to standard error; keep the last ``max_events`` events."""
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
          name: What happened.
          **fields: Further facts; a request's events carry ``request``.
        """
        now = time.time()
        self.events.append(Event(now, self.process, name, fields))
        facts = {"time": f"{now:.6f}", "process": self.process, "event": name, **fields}
        self._logger.info(facts)
