"""Event records of the stand-ins, one JSON object per line, independent of the product's logs."""

import json
import time
from typing import Any

__all__ = ["Record", "read"]


class Record:
    """A record file that is line-buffered, so that killing the process loses no complete event."""

    def __init__(self, path: str, name: str) -> None:
        self._file = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115
        self._name = name

    def write(self, event: str, **fields: Any) -> None:
        """Append an event with its time, the name of the stand-in and some fields."""
        row = {"time": time.time(), "name": self._name, "event": event, **fields}
        self._file.write(json.dumps(row) + "\n")


def read(path: str) -> list[dict[str, Any]]:
    """Read a record; ignores a last line that is incomplete because its writer was killed."""
    rows = []
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.endswith("\n"):
                rows.append(json.loads(line))
    return rows
