"""Remembers what was answered completely, which shows that it crashes no engines.

An answer counts once its engine has lived on for a moment: an engine that crashes right after an
answer may have crashed because of it.
"""

import collections
import math
from typing import NamedTuple

from berylrock.ops import suspects

__all__ = ["SETTLING_S", "EndedRun", "Run", "SoundNews", "Soundness"]

# An engine that crashes within this time after a request has ended may have crashed because of it.
SETTLING_S = 0.5
# Prompt parts, and requests, of which the last complete answer is remembered.
MAX_PARTS, MAX_REQUESTS = 20_000, 4000
# The other gateways are told of an answer for so long, in seconds, and of so many in one message.
TOLD_S, MAX_TOLD = 10.0, 8


class Run(NamedTuple):
    """Where and when a request ran.

    Attributes:
      engine: The engine's id.
      sent_at: When it was sent to the engine, in seconds.
      began_at: When the engine began to answer it, in seconds.
    """

    engine: str
    sent_at: float
    began_at: float


class EndedRun(NamedTuple):
    """A request that does not run on its engine any more, though the engine has not crashed.

    Attributes:
      run: Where and when it ran.
      request: Digest of the request; see ``suspects``.
      parts: Shared parts of its prompt.
      complete: Whether its answer was complete; if not, the gateway has given it up.
    """

    run: Run
    request: str
    parts: tuple[str, ...]
    complete: bool


class SoundNews(NamedTuple):
    """What a gateway tells of one suspect; the order of fields is the format.

    Attributes:
      suspect: The suspect.
      age_ms: Milliseconds since the time up to which it crashed no engine.
    """

    suspect: str
    age_ms: int


class _News(NamedTuple):
    """An answer that others may not know of: when it was given, and how often it was told."""

    given_at: float
    told: int


class Soundness:
    """When each suspect was last known to be sound, in seconds."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._requests: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._own: dict[str, float] = {}
        self._ended: collections.deque[tuple[float, EndedRun]] = collections.deque()
        self._news: dict[str, _News] = {}

    def record_ended(self, item: EndedRun, now: float) -> None:
        """Record that a request has ended on its engine."""
        self._ended.append((now, item))

    def take_ended(self, engine: str, now: float) -> list[EndedRun]:
        """Take back the requests that ended right before their engine crashed."""
        found = [
            item for at, item in self._ended if item.run.engine == engine and now - at <= SETTLING_S
        ]
        if found:
            self._ended = collections.deque(
                (at, item) for at, item in self._ended if item.run.engine != engine
            )
        return found

    def settle(self, now: float) -> list[str]:
        """Return the suspects of complete answers whose engines have lived on."""
        found: dict[str, None] = {}
        while self._ended and now - self._ended[0][0] > SETTLING_S:
            ended_at, item = self._ended.popleft()
            if item.complete:
                for suspect in suspects.list_suspects(item.parts, item.request):
                    self._record(suspect, item.run.began_at, ended_at)
                    found[suspect] = None
        return list(found)

    def _record(self, suspect: str, began_at: float, ended_at: float) -> None:
        """Record a complete answer.

        A suspect that was sound before may have changed while the answer was given, and still be to
        blame for crashes after the answer's begin.
        """
        at = began_at if self.was_ever(suspect) else ended_at
        self._own[suspect] = max(at, self._own.get(suspect, -math.inf))
        self.hear(suspect, at)

    def hear(self, suspect: str, at: float) -> bool:
        """Record that a suspect crashed no engine up to a time; returns whether that is news."""
        table, size = self._parts, MAX_PARTS
        if suspects.is_request(suspect):
            table, size = self._requests, MAX_REQUESTS
        if at <= table.get(suspect, -math.inf):
            return False
        table[suspect] = at
        table.move_to_end(suspect)
        while len(table) > size:
            self._own.pop(table.popitem(last=False)[0], None)
        return True

    def was_ever(self, suspect: str) -> bool:
        """Tell whether an answer with a suspect was ever complete."""
        return suspect in self._parts or suspect in self._requests

    def until(self, suspect: str) -> float:
        """Return the time up to which a suspect is known to be sound; minus infinity if never."""
        table = self._requests if suspects.is_request(suspect) else self._parts
        return table.get(suspect, -math.inf)

    def tell(self, suspect: str, now: float) -> None:
        """Tell the others of the last own answer with a suspect that they may hold to be guilty."""
        at = self._own.get(suspect)
        if at is not None and now - at < TOLD_S:
            known = self._news.get(suspect)
            if known is None or known.given_at < at:
                self._news[suspect] = _News(at, 0)

    def take_news(self, now: float) -> list[SoundNews]:
        """Return what to tell the others now, what was told least first."""
        self._news = {
            name: item for name, item in self._news.items() if now - item.given_at < TOLD_S
        }
        chosen = sorted(self._news.items(), key=lambda item: item[1].told)[:MAX_TOLD]
        for name, item in chosen:
            self._news[name] = item._replace(told=item.told + 1)
        return [SoundNews(name, int((now - item.given_at) * 1000)) for name, item in chosen]
