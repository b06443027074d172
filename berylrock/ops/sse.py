"""Splits a stream of server-sent events into whole events, and keeps their order.

Only whole events are passed on: an engine may stop in the middle of one.
"""

from typing import NamedTuple

__all__ = ["Event", "EventSplitter", "EventSequence"]

MAX_EVENT_BYTES = 1_048_576


class Event(NamedTuple):
    """A whole event: its bytes with the blank line that ends it, and its id if it has one."""

    data: bytes
    id: int | None


def _read_id(data: bytes) -> int | None:
    for line in data.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes; returns the events that they complete."""
        self._rest += data
        found: list[Event] = []
        while True:
            end, size = self._find_end()
            if end < 0:
                return found
            whole = self._rest[: end + size]
            self._rest = self._rest[end + size :]
            found.append(Event(whole, _read_id(whole)))

    def _find_end(self) -> tuple[int, int]:
        ends = [(self._rest.find(mark), len(mark)) for mark in (b"\n\n", b"\r\n\r\n")]
        ends = [item for item in ends if item[0] >= 0]
        return min(ends) if ends else (-1, 0)


class EventSequence:
    """Checks that the events of a stream follow each other, also over several runs.

    Attributes:
      last: Id of the last event that the caller has; None before the first.
    """

    def __init__(self, last: int | None) -> None:
        self.last = last

    def accepts(self, event: Event) -> bool:
        """Tell whether an event goes to the caller; one that it has already does not."""
        if event.id is None:
            return True
        if self.last is not None and event.id <= self.last:
            return False
        self.last = event.id
        return True

    def has_gap(self, event: Event) -> bool:
        """Tell whether events are missing before this one."""
        return event.id is not None and self.last is not None and event.id > self.last + 1
