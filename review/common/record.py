"""Writes ``record.txt`` of a case, and ends the case with its exit status."""

import pathlib
import sys
import time

__all__ = ["BROKEN", "COULD_NOT_RUN", "HELD", "Record"]

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Lines of the record, with the seconds since its start."""

    def __init__(self, folder):
        self._path = pathlib.Path(folder) / "record.txt"
        self._began = time.monotonic()
        self._lines = []

    def add(self, text, at=None):
        """Add a line, for now or for a time of ``time.monotonic``."""
        seconds = (time.monotonic() if at is None else at) - self._began
        self._lines.append((seconds, text))

    def add_call(self, call):
        """Add the lines of a client attempt."""
        self.add(f"sent {call.attempt} {call.kind}", call.sent_at)
        if call.closed_at is not None:
            self.add(f"client closes {call.attempt}", call.closed_at)
        elif call.answered_at is not None:
            signature = "signed" if call.signed else "unsigned"
            self.add(f"answered {call.attempt} {call.status} {signature}", call.answered_at)
        else:
            self.add(f"ended {call.attempt} without an answer", call.sent_at)

    def add_arrivals(self, engine):
        """Add the lines of the requests that reached an engine."""
        for item in engine.arrivals:
            self.add(f"reached {engine.id} {item['attempt']} {item['outcome']}", item["at"])

    def finish(self, status, summary):
        """Write the record, print the summary and exit."""
        lines = [f"{seconds:9.3f} {text}" for seconds, text in sorted(self._lines)]
        self._path.write_text("\n".join([*lines, *summary, f"exit {status}"]) + "\n")
        print("\n".join([*summary, f"exit {status}"]))
        sys.exit(status)
