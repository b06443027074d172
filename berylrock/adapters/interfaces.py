"""Interfaces to the external systems, with one ``Protocol`` class for each system."""

from collections.abc import AsyncIterator
from typing import NamedTuple, Protocol

from berylrock.core import data, errors, message
from berylrock.ops import buffering

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
    """The connection to the backend server failed, so the request was not passed on."""


class BackendLost(errors.BerylrockError):
    """The connection broke after the request was passed on, so the request may have run."""


class BackendError(errors.BerylrockError):
    """The backend server returned an error.

    Attributes:
      status: The HTTP status.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(f"backend server returned status {status}: {detail}")
        self.status = status


class StreamChunk(NamedTuple):
    """Chunk of a streamed answer: the JSON array ``choices`` of one event."""

    choices: bytes


class KeepAlive(NamedTuple):
    """Sign that the engine is still working on the request."""


class StreamEnd(NamedTuple):
    """End of a streamed answer.

    Attributes:
      prompt_tokens: Number of tokens in the prompt.
      tokens: Number of tokens in the answer.
      confidence: The engine's own estimate of the answer's quality, from 0 to 1; 0 if it gives
        none.
    """

    prompt_tokens: int
    tokens: int
    confidence: float = 0.0


class LoadReport(NamedTuple):
    """Load that an engine reports, which may be slightly outdated.

    Attributes:
      incarnation: Identifier that changes each time the engine starts.
      loaded: The loaded versions, as ``model@version``.
      held_tokens: Number of tokens that the engine holds.
      capacity_tokens: Number of tokens that the engine can hold.
      cold: Whether the engine is in cold start.
    """

    incarnation: str
    loaded: tuple[str, ...] = ()
    held_tokens: int = 0
    capacity_tokens: int = 0
    cold: bool = False


class ServiceResponse(NamedTuple):
    """Answer of a plain service."""

    status: int
    headers: tuple[str, ...]
    body: bytes


class StoredObject(NamedTuple):
    """Object of the object API, with its version."""

    version: int
    body: bytes


class Rating(NamedTuple):
    """Rating of one answer, from 0 to 1, with its position in the feed."""

    sequence: int
    request_id: str
    version: str
    kind: str
    rating: float


class Engine(Protocol):
    """Model engine."""

    def run(self, start: message.Start) -> AsyncIterator[StreamChunk | KeepAlive | StreamEnd]:
        """Run a request, or resume one; closing the iterator cancels the request."""

    async def load_report(self) -> LoadReport:
        """Fetch the engine's load report."""

    async def order(self, order: message.Order) -> tuple[bool, str]:
        """Send an order; return whether the engine accepted it, and why not if it did not."""


class PlainServer(Protocol):
    """Backend server of a plain service."""

    async def call(self, start: message.Start, body: buffering.Body) -> ServiceResponse:
        """Pass a call on exactly once; ``body`` collects the body of the answer."""

    async def load_report(self) -> LoadReport:
        """Check that the server answers; the report contains no load."""


class ObjectStore(Protocol):
    """Object API; every method raises ``StoreUnavailable`` if the API does not answer."""

    async def get(self, kind: str, name: str) -> StoredObject:
        """Read an object; raises ``NotFound``."""

    async def put(self, kind: str, name: str, body: bytes, if_version: int | None) -> int:
        """Write an object.

        Args:
          kind: The object's kind.
          name: The object's name.
          body: The object's new content.
          if_version: Version that the object must have, 0 if it must not exist yet; None to write
            unconditionally.

        Returns:
          The object's new version.

        Raises:
          Conflict: The object has another version.
        """

    async def delete(self, kind: str, name: str, if_version: int) -> None:
        """Delete an object if it has this version; raises ``Conflict`` or ``NotFound``."""

    async def watch(self, kind: str, name: str, after: int, seconds: float) -> StoredObject | None:
        """Wait for a version above ``after`` and read it; None if there is none in time."""

    async def watch_version(self, kind: str, name: str, after: int, seconds: float) -> int | None:
        """Wait for a version above ``after`` without reading it; None if there is none in time."""

    async def names(self, kind: str) -> tuple[str, ...]:
        """List the names of all objects of a kind."""


class VmList(Protocol):
    """The platform's list of running and leaving VMs, which may be slightly outdated."""

    async def servers(self) -> tuple[data.Server, ...] | None:
        """Read the list; None if it has not changed since the last call."""


class RatingService(Protocol):
    """Service that rates answers."""

    async def submit(self, request_id: str, version: str, kind: str, text: str) -> None:
        """Submit an answer for rating."""

    async def ratings(self, after: int) -> tuple[Rating, ...]:
        """Read the ratings after a position in the feed."""
