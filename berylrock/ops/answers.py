"""Decides what an answer on a connection to an engine proves about the request that is due there.

Scenario: an engine, or a proxy before it, writes an earlier answer once more where the answer to an
order is due, and the order runs. Whoever believes the copy of a refusal sends the order to a second
engine, or tells its caller that it has not run; whoever fails the order because of a copy loses the
answer that follows.

``docs/design/answers.md`` has the table of all cases.
"""

import collections
import enum
import hashlib
from typing import NamedTuple

__all__ = ["Claim", "ConnectionHistory", "Meaning", "Verdict"]

BAD_REQUEST, REQUEST_TIMEOUT, MISDIRECTED = 400, 408, 421
TOO_MANY_REQUESTS, UNAVAILABLE = 429, 503
# Any other status says that the request ran, or nothing of it.
REFUSAL_STATUSES = frozenset(
    (BAD_REQUEST, REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE)
)
# Responses with these statuses have no body, and so need no length.
BODILESS_STATUSES = frozenset((204, 304))
# Latest requests of a connection whose answers may still be copied.
MAX_REMEMBERED = 64
DIGEST_BYTES = 16


class Claim(NamedTuple):
    """What the head of a response says of itself.

    Attributes:
      status: HTTP status.
      names: Id of the request that it names; empty if it names none.
      not_run: Whether it says that the request did not run.
      framed: Whether it tells where its body ends, by a length or by chunks.
    """

    status: int
    names: str
    not_run: bool
    framed: bool


class Meaning(enum.Enum):
    """What a response is to the request that is due on its connection."""

    ANSWER = "answer"
    REFUSAL = "refusal"
    EARLIER = "earlier"
    UNRELATED = "unrelated"


class Verdict(NamedTuple):
    """How a response is to be taken.

    Attributes:
      meaning: ``ANSWER``, the request's own, of a run; ``REFUSAL``, a proof that it did not run;
        ``EARLIER``, a copy of the answer to an earlier request, after which its own may still come;
        ``UNRELATED``, nothing that tells of the request, which may have run.
      doubt: Why the response is unrelated; empty for the others.
    """

    meaning: Meaning
    doubt: str = ""


def _digest(request_id: str) -> bytes:
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()


class _Sent(NamedTuple):
    """A request that was written to the connection.

    Attributes:
      digest: Digest of its id, which may be long.
      has_no_body: Whether responses to it have no body whatever their heads say, as to HEAD.
    """

    digest: bytes
    has_no_body: bool


class ConnectionHistory:
    """The requests that one connection to an engine has carried, and what answers there prove.

    Attributes:
      passed_over: Number of copies of earlier answers that arrived so far.
    """

    def __init__(self) -> None:
        self.passed_over = 0
        self._earlier: collections.deque[_Sent] = collections.deque(maxlen=MAX_REMEMBERED)
        self._current: _Sent | None = None

    def begin(self, request_id: str, method: str) -> None:
        """Record that a request is about to be written to the connection."""
        if self._current is not None:
            self._earlier.append(self._current)
        self._current = _Sent(_digest(request_id), method == "HEAD")

    def has_carried(self, request_id: str) -> bool:
        """Tell whether a request with this id was written here, so that its answers may return."""
        digest = _digest(request_id)
        is_current = self._current is not None and self._current.digest == digest
        return is_current or any(item.digest == digest for item in self._earlier)

    def judge(self, claim: Claim) -> Verdict:
        """Decide what a response proves about the current request.

        Args:
          claim: What its head says.

        Returns:
          The verdict.
        """
        current = self._current
        if current is None:
            return Verdict(Meaning.UNRELATED, "response without a request")
        if not claim.names:
            kind = "refusal" if claim.not_run else "response"
            return Verdict(Meaning.UNRELATED, f"{kind} that names no request")
        named = _digest(claim.names)
        if named != current.digest:
            return self._judge_other(claim, named, current)
        if any(item.digest == named for item in self._earlier):
            return Verdict(
                Meaning.UNRELATED, "response that an earlier request with its id may get"
            )
        if not claim.not_run:
            return Verdict(Meaning.ANSWER)
        if claim.status not in REFUSAL_STATUSES:
            return Verdict(Meaning.UNRELATED, "refusal whose status contradicts it")
        return Verdict(Meaning.REFUSAL)

    def _judge_other(self, claim: Claim, named: bytes, current: _Sent) -> Verdict:
        """Decide about a response that names another request than the current one."""
        ends = claim.framed or current.has_no_body or claim.status in BODILESS_STATUSES
        for item in self._earlier:
            if item.digest == named and item.has_no_body == current.has_no_body and ends:
                return Verdict(Meaning.EARLIER)
        return Verdict(Meaning.UNRELATED, "response to another request")

    def pass_over(self) -> None:
        """Record that a copy of an earlier answer was read to its end."""
        self.passed_over += 1
