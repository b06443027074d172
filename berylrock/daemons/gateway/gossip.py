"""Tells the other gateways by datagrams what changes each second, and hears theirs.

That is what runs at each engine, what was repeated, what versions on trial have shown, and how
fresh the view of the store is. A datagram that is lost costs nothing: the next one replaces it.
"""

import asyncio

import msgspec

from berylrock.core import errors, routing
from berylrock.daemons.gateway import context
from berylrock.ops import budget, evidence, freshness, loadview, views

__all__ = ["Gossip"]

BROADCAST_INTERVAL_S = 0.25
# In a large fleet each gateway tells only some of the others at a time.
FANOUT = 32
MAX_DATAGRAM_BYTES = 1400
MS_PER_S = 1000.0
NO_MARK = views.SendTimestamp(0, 0)


class GossipMessage(msgspec.Struct, array_like=True):
    """What one gateway has running, has repeated and has found.

    Attributes:
      gateway: Its name.
      loads: Engine, requests, tokens and milliseconds since it was heard, for each engine.
      spent: Service, requests and repeats in the window of the retry budget.
      results: Service, version and the fields of the evidence, for roll-outs under way.
      vetoes: Service and version of those that were found bad.
      mark: When this was sent.
      repeated: The receiver's mark that was heard last.
      words: The view of each watched kind, in the order of their names.
    """

    gateway: str
    loads: list[tuple[str, int, int, int]]
    spent: list[tuple[str, int, int]]
    results: list[tuple[str, str, tuple[int, ...]]] = []
    vetoes: list[tuple[str, str]] = []
    mark: views.SendTimestamp = NO_MARK
    repeated: views.SendTimestamp = NO_MARK
    words: list[views.ViewReport] = []


class Gossip(asyncio.DatagramProtocol):
    """Sends and takes load news."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._transport: asyncio.DatagramTransport | None = None
        self._process = ctx.rng.getrandbits(32)
        self._marks: dict[str, views.SendTimestamp] = {}

    async def start(self) -> None:
        """Listen for the others; raises ``SettingsError`` if the port is taken."""
        loop = asyncio.get_running_loop()
        address = (self._ctx.cfg.address, self._ctx.cfg.peer_port)
        try:
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, address)
        except OSError as exc:
            remedy = "free the port or give another range"
            raise errors.SettingsError(f"cannot use UDP {address}: {exc}; {remedy}") from exc

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take another gateway's news; what cannot be read is dropped."""
        try:
            news = msgspec.msgpack.decode(data, type=GossipMessage)
        except msgspec.MsgspecError:
            self._ctx.meter.count("gossip_unreadable")
            return
        now = asyncio.get_running_loop().time()
        self._take_findings(news)
        self._take_words(news)
        loads = tuple(
            loadview.EngineLoad(name, count, work, now - quiet_ms / MS_PER_S)
            for name, count, work, quiet_ms in news.loads
        )
        spent = {name: budget.RetryUsage(asked, again) for name, asked, again in news.spent}
        self._ctx.loads.note(news.gateway, loads, spent, now)

    def _take_findings(self, news: GossipMessage) -> None:
        """Take what the other gateway knows of versions."""
        found = {
            evidence.VersionKey(service, version): evidence.read_counts(counts)
            for service, version, counts in news.results
        }
        self._ctx.evidence.record_peer(news.gateway, found)
        for veto in news.vetoes:
            key = evidence.VersionKey(*veto)
            if key not in self._ctx.evidence.vetoes:
                self._ctx.evidence.vetoes.add(key)
                self._ctx.log.write(
                    "version_vetoed", service=key.service, target=key.version, by=news.gateway
                )

    def _take_words(self, news: GossipMessage) -> None:
        """Take how fresh the other gateway's view of the store is."""
        self._marks[news.gateway] = news.mark
        now = freshness.boottime_clock()
        sent_at = views.find_sent_at(self._mark(), news.repeated)
        if sent_at is None:
            return
        for kind, word in zip(sorted(self._ctx.views), news.words, strict=False):
            self._ctx.views[kind].receive_report(word, sent_at, now)

    def _mark(self) -> views.SendTimestamp:
        return views.SendTimestamp(self._process, int(freshness.boottime_clock() * MS_PER_S))

    def error_received(self, exc: Exception) -> None:
        """A peer is not there; its record in the store will go."""
        self._ctx.meter.count("gossip_undelivered")

    def broadcast(self) -> None:
        """Tell the other gateways."""
        peers = self._choose_peers()
        if self._transport is None or not peers:
            return
        news = self._make()
        if len(msgspec.msgpack.encode(news)) > MAX_DATAGRAM_BYTES:
            news.loads.sort(key=lambda item: -item[2])
            del news.loads[len(news.loads) // 2 :]
        for peer in peers:
            news.repeated = self._marks.get(peer.name, NO_MARK)
            data = msgspec.msgpack.encode(news)
            self._transport.sendto(data, (peer.address, self._ctx.cfg.peer_port))

    def _make(self) -> GossipMessage:
        """What there is to tell."""
        ctx = self._ctx
        now = asyncio.get_running_loop().time()
        loads = [
            (
                state.engine.id,
                state.running,
                int(state.work),
                int((now - state.heard_at) * MS_PER_S),
            )
            for state in ctx.engines.all()
            if state.running
        ]
        window_s = ctx.cfg.bounds.retry_window_s
        spent = [(name, *item.usage(now, window_s)) for name, item in ctx.budgets.items()]
        found = ctx.evidence.for_services(ctx.services_in_rollout())
        results = [(*key, tuple(item)) for key, item in found.items()]
        reverted = [item for item in ctx.rollouts.values() if item.state == "reverted"]
        vetoes = ctx.evidence.vetoes | {(item.service, item.target) for item in reverted}
        clock = freshness.boottime_clock()
        words = [ctx.views[kind].make_report(clock) for kind in sorted(ctx.views)]
        return GossipMessage(
            ctx.cfg.name,
            loads,
            spent,
            results,
            list(vetoes),
            mark=self._mark(),
            words=words,
        )

    def _choose_peers(self) -> list[routing.Peer]:
        ctx = self._ctx
        found = [
            peer for name, (peer, _) in ctx.peers.items() if name != ctx.cfg.name and peer.address
        ]
        return found if len(found) <= FANOUT else ctx.rng.sample(found, FANOUT)

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
