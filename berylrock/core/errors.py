"""Exception hierarchy; every error message tells how to fix the problem."""

import pathlib
import traceback
from typing import NamedTuple

__all__ = [
    "BerylrockError",
    "Conflict",
    "InputError",
    "LinkLost",
    "NotFound",
    "ProtocolError",
    "SettingsError",
    "StoreUnavailable",
    "locate",
]


class BerylrockError(Exception):
    """Base class of all exceptions that the package raises."""


class SettingsError(BerylrockError):
    """The settings of a process are invalid or cannot be read."""


class StoreUnavailable(BerylrockError):
    """A service of the platform did not answer; a change may or may not have taken effect.

    The services are the object API, the VM list and the rating service.
    """


class Conflict(BerylrockError):
    """The object API refused a conditional update because the object has another version."""


class NotFound(BerylrockError):
    """The object API has no such object."""


class LinkLost(BerylrockError):
    """The connection between two processes of the system could not be made or broke."""


class ProtocolError(BerylrockError):
    """A peer sent data that violates the protocol."""


class InputError(NamedTuple):
    """Error in an operator's input.

    Attributes:
      source: File or object that contains the input.
      line: Line number, from 1; 0 if unknown.
      place: Path of the value, for example ``organisations[2].allowed``.
      message: What is wrong and how to fix it.
    """

    source: str
    line: int
    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.source}:{self.line}: {self.place}: {self.message}"


def locate(exc: BaseException) -> str:
    """Return the file and the line at which an unexpected error was raised, for a log line."""
    frames = traceback.extract_tb(exc.__traceback__)
    if not frames:
        return "unknown"
    return f"{pathlib.Path(frames[-1].filename).name}:{frames[-1].lineno}"
