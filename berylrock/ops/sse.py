"""Splits a stream of server-sent events into complete events and checks their order.

Only complete events are passed on, because an engine may stop in the middle of an event.
"""

from typing import NamedTuple

from berylrock.core import errors
from berylrock.ops import buffering

__all__ = ["Event", "EventSplitter", "EventSequence", "EventTooLong"]

MAX_EVENT_BYTES = 65_536
LONGEST_BLANK_LINE = b"\r\n\r\n"
BLANK_LINES = (b"\n\n", LONGEST_BLANK_LINE)
MAX_ID_DIGITS = 15


class EventTooLong(errors.BerylrockError):
    """An engine sends an event without end; the attempt fails over to another engine."""


class Event(NamedTuple):
    """Complete event.

    Attributes:
      data: The bytes of the event, including the blank line that ends it.
      id: The event's id; None if it has no numeric id.
    """

    data: bytes
    id: int | None

    @property
    def is_useful(self) -> bool:
        """Whether the event has a line that is no comment, so that it counts as progress."""
        return any(line and not line.startswith(b":") for line in self.data.splitlines())


def _read_id(data: bytes) -> int | None:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
    return None


class EventSplitter:
    """Collects bytes until an event is complete.

    Args:
      hold: Counts the bytes of the incomplete event; None if they are not counted.
    """

    def __init__(self, hold: buffering.Hold | None = None) -> None:
        self._hold = hold
        self._rest = b""
        self._searched = 0

    @property
    def rest(self) -> bytes:
        """The bytes of an incomplete event."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes of the stream.

        Args:
          data: The bytes.

        Returns:
          The events that they complete.

        Raises:
          EventTooLong: The incomplete event is longer than ``MAX_EVENT_BYTES``.
          BodyGivenUp: There is no memory for the incomplete event.
        """
        self._rest += data
        found: list[Event] = []
        while True:
            end, size = self._find_end()
            if end < 0:
                self._check_rest()
                return found
            event = self._rest[: end + size]
            self._rest = self._rest[end + size :]
            self._searched = 0
            found.append(Event(event, _read_id(event)))

    def _check_rest(self) -> None:
        size = len(self._rest)
        if size > MAX_EVENT_BYTES:
            raise EventTooLong(f"event without end after {MAX_EVENT_BYTES} bytes")
        # The blank line may have begun already.
        self._searched = max(0, size - len(LONGEST_BLANK_LINE) + 1)
        if self._hold is not None and (size or self._hold.size):
            self._hold.resize(size)

    def _find_end(self) -> tuple[int, int]:
        """Return the position and length of the first blank line; position -1 if there is none."""
        since = self._searched
        ends = [(self._rest.find(mark, since), len(mark)) for mark in BLANK_LINES]
        ends = [item for item in ends if item[0] >= 0]
        return min(ends) if ends else (-1, 0)

    def close(self) -> None:
        """Return the bytes of an incomplete event."""
        if self._hold is not None:
            self._hold.release()


class EventSequence:
    """Checks that the events of a stream are consecutive, also across several attempts.

    Attributes:
      last: Id of the last event that was passed on to the caller; None before the first event.
    """

    def __init__(self, last: int | None) -> None:
        self.last = last

    def advance(self, event: Event) -> bool:
        """Record an event as the last one passed on.

        Args:
          event: The event.

        Returns:
          Whether to pass the event on; False if the caller already has it, so that it is dropped.
        """
        if event.id is None:
            return True
        if self.last is not None and event.id <= self.last:
            return False
        self.last = event.id
        return True

    def has_gap(self, event: Event) -> bool:
        """Tell whether events are missing between the last one and this one."""
        return event.id is not None and self.last is not None and event.id > self.last + 1
