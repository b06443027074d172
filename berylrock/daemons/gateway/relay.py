"""Lets other gateways of the zone read the store's objects through this one, over TCP.

A connection carries polls and answers in turns. A poll names the revision and the digest of each
kind of object that the asking gateway has. The answer has what changed since, and how old this
gateway's own view is. It echoes the time of the poll, since the answer was made after that: a
gateway that was suspended cannot take an old answer for a new one.

The objects include the callers' keys, so only gateways get answers: a poll has to come from the
address in the asking gateway's record.
"""

import asyncio

import msgspec

from berylrock.core import stored
from berylrock.daemons.gateway import context, peermessages
from berylrock.ops import freshness, views
from berylrock.platform import names

__all__ = [
    "KindAnswer",
    "KindPosition",
    "Poll",
    "PollAnswer",
    "RelayServer",
]

MAX_POLL_BYTES = 4096
# A silent connection is closed after this time.
POLL_TIMEOUT_S = 5.0


class KindPosition(msgspec.Struct, array_like=True):
    """What the asking gateway has of one kind of object: revision and digest."""

    revision: int
    digest: bytes


class Poll(msgspec.Struct, array_like=True):
    """Question of a gateway. The order of the fields is the wire format.

    Attributes:
      gateway: Name of the asking gateway.
      mark: When the poll was sent.
      kinds: What the gateway has, in order of ``names.RELAYED_KINDS``.
    """

    gateway: str
    mark: views.SendTimestamp
    kinds: list[KindPosition]


class KindAnswer(msgspec.Struct, array_like=True):
    """State of one kind of object.

    Attributes:
      report: Digest and age of the relay's view.
      revision: Revision that the changes lead to.
      full: Whether ``objects`` has all objects.
      objects: New and changed objects.
      deleted: Names of objects that are gone.
      names: Names of all objects, in place of ``deleted``; None if ``deleted`` has all.
    """

    report: views.ViewReport
    revision: int = 0
    full: bool = False
    objects: list[stored.StoredObject] = []
    deleted: list[str] = []
    names: list[str] | None = None


class PollAnswer(msgspec.Struct, array_like=True):
    """Answer to a poll. The order of the fields is the wire format.

    Attributes:
      mark: The time of the poll, as sent.
      store_lost: Whether the relay gets no answers from the store.
      kinds: State of each kind, in order of ``names.RELAYED_KINDS``.
    """

    mark: views.SendTimestamp
    store_lost: bool
    kinds: list[KindAnswer]


class RelayServer:
    """Answers the polls of other gateways."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        service = peermessages.Service(
            port=ctx.cfg.peer_port,
            kind=Poll,
            max_bytes=MAX_POLL_BYTES,
            idle_s=POLL_TIMEOUT_S,
            answer=self._serve_poll,
            ended_counter="relay_polls_ended",
            broken_counter="relay_unreadable",
            broken_event="relay_poll_unreadable",
        )
        self._server = peermessages.PeerServer(ctx, service)

    async def start(self) -> None:
        """Start listening; raises ``SettingsError`` if the port cannot be used."""
        await self._server.start()

    def _serve_poll(self, poll: Poll) -> PollAnswer | None:
        """Answer a poll; None while this gateway stops, so that others are read through."""
        if self._ctx.stopping:
            return None
        self._ctx.relayed_at = asyncio.get_running_loop().time()
        return self.answer(poll)

    def answer(self, poll: Poll) -> PollAnswer:
        """Return the answer to a poll; kinds that the poll does not name are left out."""
        kinds = [
            self._answer_kind(kind, position)
            for kind, position in zip(names.RELAYED_KINDS, poll.kinds, strict=False)
        ]
        return PollAnswer(poll.mark, self._ctx.engines.gaps.lost, kinds)

    def _answer_kind(self, kind: str, position: KindPosition) -> KindAnswer:
        view = self._ctx.views.get(kind)
        report = views.ViewReport(views.NO_DIGEST, -1)
        if view is not None:
            report = view.make_report(freshness.boottime_clock())
        if view is not None and report.digest == position.digest:
            return KindAnswer(report, self._ctx.mirrors[kind].revision)
        delta = self._ctx.mirrors[kind].since(position.revision)
        existing = None if delta.names is None else list(delta.names)
        return KindAnswer(
            report, delta.revision, delta.full, list(delta.objects), list(delta.deleted), existing
        )

    async def close(self) -> None:
        """Stop listening, and close the connections of the other gateways."""
        await self._server.close()
