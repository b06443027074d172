"""Reads the store through another gateway of the zone, and falls back to the store itself."""

import asyncio
from typing import NamedTuple

from berylrock.core import errors, routing, stored
from berylrock.daemons.gateway import context, peermessages, relay, watching
from berylrock.ops import freshness, mirrors, relays, views
from berylrock.platform import names

__all__ = ["Follower"]

CONNECT_TIMEOUT_S = 0.3
ANSWER_TIMEOUT_S = 0.6
POLL_INTERVAL_S = 0.25
CHOICE_INTERVAL_S = 0.5
# Time in which the view has to become equal to that of a new relay.
SYNC_TIMEOUT_S = 2.0
# Time after which a better relay is used, if there is one.
REVIEW_INTERVAL_S = 8.0
# Engines are confirmed by watches of 2 s, of which the last second does not count. An older view of
# them means that the relay's watch gets no answers.
MAX_ENGINES_AGE_S = 3.8
MAX_ANSWER_BYTES = 16_777_216
MS_PER_S = 1000.0


class RelayFailed(errors.BerylrockError):
    """A relay did not answer in time, or its view is too old; another one is used."""


class _Connection(NamedTuple):
    """A connection to a relay."""

    stream: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Follower:
    """Task that reads through a relay for as long as there is one that can be trusted."""

    def __init__(self, ctx: context.Context, kind_watches: dict[str, watching.KindWatch]) -> None:
        """Create the task; ``kind_watches`` has all relayed kinds."""
        self._ctx = ctx
        self._kind_watches = kind_watches
        self._choice = relays.RelayChoice()
        self._process = ctx.rng.getrandbits(32)
        # Kinds of which the next poll asks for all objects.
        self._incomplete: set[str] = set()

    async def run(self) -> None:
        """Read through the best relay until the task is cancelled."""
        while True:
            best = self._choose()
            if best is None:
                self._ctx.watch_store("no relay")
                await asyncio.sleep(CHOICE_INTERVAL_S)
                continue
            try:
                await self._follow(best)
            except (
                RelayFailed,
                peermessages.MessageBroken,
                OSError,
                asyncio.IncompleteReadError,
            ) as exc:
                self._record_failure(best, exc)

    def _choose(self) -> routing.Peer | None:
        ctx = self._ctx
        if relays.max_view_age_s(ctx.cfg.bounds) is None or not ctx.engines_known:
            return None
        now = asyncio.get_running_loop().time()
        peers = [peer for peer, _ in ctx.peers.values()]
        ranked = relays.rank_relays(peers, ctx.gateways_heard(), ctx.cfg)
        return self._choice.choose(ranked, now)

    def _record_failure(self, peer: routing.Peer, exc: Exception) -> None:
        self._choice.record_failure(peer.name, asyncio.get_running_loop().time())
        self._ctx.meter.count("relay_failures")
        self._ctx.log.write("relay_failed", relay=peer.name, error=str(exc) or repr(exc))

    async def _follow(self, peer: routing.Peer) -> None:
        """Read through a relay until it fails, or until a better one may be used.

        Raises:
          RelayFailed: The relay does not answer in time, its view is too old, or the store refuses
            it.
          MessageBroken: The relay sent a message that cannot be read.
          IncompleteReadError: The relay closed the connection.
          OSError: The connection broke.
        """
        conn = await self._connect(peer)
        loop = asyncio.get_running_loop()
        began = loop.time()
        try:
            while not await self._poll(conn):
                if loop.time() - began > SYNC_TIMEOUT_S:
                    raise RelayFailed("its view stays old or behind")
                await asyncio.sleep(POLL_INTERVAL_S)
            self._ctx.read_through(peer.name)
            while loop.time() - began < REVIEW_INTERVAL_S or self._choose() == peer:
                await asyncio.sleep(POLL_INTERVAL_S)
                await self._poll(conn)
                if self._incomplete:
                    await self._poll(conn)
                self._check_relay(peer)
        finally:
            conn.writer.transport.abort()

    def _check_relay(self, peer: routing.Peer) -> None:
        """Raise ``RelayFailed`` if the relay may no longer be trusted."""
        ctx, now = self._ctx, freshness.boottime_clock()
        if ctx.relay != peer.name:
            raise RelayFailed("the store answered while its view was too old")
        if any(view.is_behind(now) for view in ctx.views.values()):
            raise RelayFailed("it missed a change")
        config_age_s = ctx.views[names.CONFIG_KIND].freshness.age(now)
        engines_age_s = ctx.views[names.ENGINES_KIND].freshness.age(now)
        if engines_age_s > MAX_ENGINES_AGE_S and config_age_s < engines_age_s - MAX_ENGINES_AGE_S:
            raise RelayFailed("its watch of the engines gets no answers")

    async def _connect(self, peer: routing.Peer) -> _Connection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                cfg = self._ctx.cfg
                # The relay knows this gateway by its address.
                return _Connection(
                    *await asyncio.open_connection(
                        peer.address, cfg.peer_port, local_addr=(cfg.address, 0)
                    )
                )
        except TimeoutError as exc:
            raise RelayFailed(f"no connection within {CONNECT_TIMEOUT_S} s") from exc

    async def _poll(self, conn: _Connection) -> bool:
        """Ask for changes and apply them.

        Returns:
          Whether this gateway's view equals the relay's, and the relay's is fresh.
        """
        ctx = self._ctx
        positions = [self._position(kind) for kind in names.RELAYED_KINDS]
        mark = views.SendTimestamp(self._process, int(freshness.boottime_clock() * MS_PER_S))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await peermessages.send(conn.writer, relay.Poll(ctx.cfg.name, mark, positions))
                answer = await peermessages.receive(conn.stream, relay.PollAnswer, MAX_ANSWER_BYTES)
        except TimeoutError as exc:
            raise RelayFailed(f"no answer within {ANSWER_TIMEOUT_S} s") from exc
        if answer.mark != mark:
            raise RelayFailed("answer to another poll")
        return self._apply(answer)

    def _position(self, kind: str) -> relay.KindPosition:
        revision = 0 if kind in self._incomplete else self._ctx.mirrors[kind].revision
        return relay.KindPosition(revision, self._digest(kind))

    def _digest(self, kind: str) -> bytes:
        view = self._ctx.views.get(kind)
        return view.digest if view is not None else views.NO_DIGEST

    def _apply(self, answer: relay.PollAnswer) -> bool:
        ctx = self._ctx
        own_lost = ctx.engines.gaps.lost
        if relays.is_refused_alone(answer.store_lost, not ctx.relay, own_lost):
            raise RelayFailed("it has lost the store, which answers this gateway")
        if ctx.relay:
            # A gateway that watches the store knows better than a relay whether it answers.
            ctx.engines.gaps.lost = answer.store_lost
        sent_at = answer.mark.at_ms / MS_PER_S
        for found in answer.kinds:
            if found.report.age_ms >= 0:
                ctx.record_store_heard(sent_at - found.report.age_ms / MS_PER_S)
        for kind, found in zip(names.RELAYED_KINDS, answer.kinds, strict=False):
            self._apply_kind(kind, found)
        clock = freshness.boottime_clock()
        for kind, found in zip(names.WATCHED_KINDS, answer.kinds, strict=False):
            ctx.views[kind].receive_report(found.report, sent_at, clock)
        reports = {
            kind: found.report
            for kind, found in zip(names.WATCHED_KINDS, answer.kinds, strict=False)
        }
        self._incomplete = {
            kind
            for kind, found in zip(names.WATCHED_KINDS, answer.kinds, strict=False)
            if relays.needs_all(
                ctx.mirrors[kind].revision, self._digest(kind), found.revision, found.report.digest
            )
        }
        equal = all(self._digest(kind) == report.digest for kind, report in reports.items())
        return equal and len(reports) == len(names.WATCHED_KINDS) and self._are_fresh(reports)

    def _apply_kind(self, kind: str, found: relay.KindAnswer) -> None:
        if not found.full and not found.objects and not found.deleted and found.names is None:
            return
        existing = None if found.names is None else tuple(found.names)
        delta = mirrors.Delta(
            found.full, tuple(found.objects), tuple(found.deleted), found.revision, existing
        )
        listing: stored.Listing = mirrors.to_listing(delta, self._ctx.mirrors[kind].names())
        watching.apply_listing(self._ctx, self._kind_watches[kind], listing, found.full)

    def _are_fresh(self, reports: dict[str, views.ViewReport]) -> bool:
        """Tell whether a relay's views are as fresh as those of a gateway that watches itself."""
        limit_s = relays.max_view_age_s(self._ctx.cfg.bounds)
        limits_s = {names.CONFIG_KIND: limit_s or 0.0, names.ENGINES_KIND: MAX_ENGINES_AGE_S}
        return all(
            0 <= reports[kind].age_ms < seconds * MS_PER_S for kind, seconds in limits_s.items()
        )
