"""A stand-in's own record of what it ran, one JSON line an event, apart from the product's logs."""

import json
import time
from typing import Any

__all__ = ["Record", "read"]


class Record:
    """Writes to a file, each line at once, so that a kill loses nothing."""

    def __init__(self, path: str, name: str) -> None:
        self._file = open(path, "a", buffering=1, encoding="utf-8")  # noqa: SIM115
        self._name = name

    def write(self, event: str, **fields: Any) -> None:
        """Write an event."""
        row = {"time": time.time(), "name": self._name, "event": event, **fields}
        self._file.write(json.dumps(row) + "\n")


def read(path: str) -> list[dict[str, Any]]:
    """Read a record; a last line cut off by a kill is left out."""
    rows = []
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.endswith("\n"):
                rows.append(json.loads(line))
    return rows
