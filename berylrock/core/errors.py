"""The tree of errors; every message names its remedy."""

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
]


class BerylrockError(Exception):
    """Base of all errors that the package raises."""


class SettingsError(BerylrockError):
    """A process's settings cannot be used."""


class StoreUnavailable(BerylrockError):
    """The object API did not answer; a change may or may not have taken effect."""


class Conflict(BerylrockError):
    """The object API refused a conditional update: the object has another version."""


class NotFound(BerylrockError):
    """The object API has no such object."""


class LinkLost(BerylrockError):
    """The connection between two processes of the system broke."""


class ProtocolError(BerylrockError):
    """A peer sent something that the protocol does not allow."""


class InputError(NamedTuple):
    """A fault in an operator's input.

    Attributes:
      source: File or object that holds the input.
      line: Line number, from 1; 0 if unknown.
      place: Path within the input, for example ``organisations[2].allowed``.
      message: What is wrong and how to mend it.
    """

    source: str
    line: int
    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.source}:{self.line}: {self.place}: {self.message}"
