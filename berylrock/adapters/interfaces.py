"""What the system expects of each outside system, as one ``Protocol`` type each."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

from berylrock.core import data, errors, message

__all__ = [
    "BackendError",
    "BackendLost",
    "BackendUnreachable",
    "Engine",
    "KeepAlive",
    "LoadReport",
    "ObjectStore",
    "PlainServer",
    "Rating",
    "RatingService",
    "ServiceResponse",
    "StoredObject",
    "StreamChunk",
    "StreamEnd",
    "VmList",
]


class BackendUnreachable(errors.BerylrockError):
    """No connection to the backend server: the request was not passed on."""


class BackendLost(errors.BerylrockError):
    """The connection broke after the request was passed on: it may have run."""


class BackendError(errors.BerylrockError):
    """The backend server answered with an error of its own."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"backend server answered {status}: {detail}")
        self.status = status


class StreamChunk(NamedTuple):
    """The JSON array ``choices`` of one event of an answer."""

    choices: bytes


class KeepAlive(NamedTuple):
    """The engine is still at work on the request."""


class StreamEnd(NamedTuple):
    """The end mark of an answer.

    Attributes:
      prompt_tokens: Tokens of the prompt.
      tokens: Tokens of the answer.
      confidence: The engine's own estimate of the answer's quality, 0 to 1; 0 if it gives none.
    """

    prompt_tokens: int
    tokens: int
    confidence: float = 0.0


class LoadReport(NamedTuple):
    """What an engine says of itself, with a lag.

    Attributes:
      incarnation: Changes at each start of the engine.
      loaded: The versions loaded, as ``model@version``.
      held_tokens: Tokens held.
      capacity_tokens: Tokens that it can hold.
      cold: Whether it is in cold start.
    """

    incarnation: str
    loaded: tuple[str, ...] = ()
    held_tokens: int = 0
    capacity_tokens: int = 0
    cold: bool = False


class ServiceResponse(NamedTuple):
    """A plain service's answer."""

    status: int
    headers: tuple[str, ...]
    body: bytes


class StoredObject(NamedTuple):
    """An object of the object API and its version."""

    version: int
    body: bytes


class Rating(NamedTuple):
    """A rating of one answer, 0 to 1, and its place in the feed."""

    sequence: int
    request_id: str
    version: str
    kind: str
    rating: float


class Engine(Protocol):
    """A model engine."""

    def run(self, start: message.Start) -> AsyncIterator[StreamChunk | KeepAlive | StreamEnd]:
        """Run a request or resume one; closing the iterator cancels it."""

    async def load_report(self) -> LoadReport:
        """Ask for its load."""

    async def order(self, order: message.Order) -> tuple[bool, str]:
        """Give an order; returns whether it was taken, and why not."""


class PlainServer(Protocol):
    """A backend server of a plain service."""

    async def call(self, start: message.Start, max_bytes: int) -> ServiceResponse:
        """Pass a call on, once."""

    async def load_report(self) -> LoadReport:
        """Tell whether it answers."""


class ObjectStore(Protocol):
    """The object API. Every method raises ``StoreUnavailable`` if no answer came."""

    async def get(self, kind: str, name: str) -> StoredObject:
        """Read an object; raises ``NotFound``."""

    async def put(self, kind: str, name: str, body: bytes, if_version: int | None) -> int:
        """Write an object if it has a version (0: does not exist); raises ``Conflict``."""

    async def delete(self, kind: str, name: str, if_version: int) -> None:
        """Delete an object if it has a version; raises ``Conflict`` or ``NotFound``."""

    async def watch(self, kind: str, name: str, after: int, seconds: float) -> StoredObject | None:
        """Wait for a version above ``after``; None if there was none in time."""

    async def watch_version(self, kind: str, name: str, after: int, seconds: float) -> int | None:
        """Wait for a version above ``after`` without reading it; None if there was none."""

    async def names(self, kind: str) -> tuple[str, ...]:
        """List the names of a kind's objects."""


class VmList(Protocol):
    """The platform's list of live and leaving VMs; it lags."""

    async def servers(self) -> tuple[data.Server, ...] | None:
        """Read the list; None if it is as last read."""


class RatingService(Protocol):
    """The rating service."""

    async def submit(self, request_id: str, version: str, kind: str, text: str) -> None:
        """Hand in an answer to be rated."""

    async def ratings(self, after: int) -> tuple[Rating, ...]:
        """Read the ratings that came after a place in the feed."""
