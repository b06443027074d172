"""Exchanges state that changes every second with the other gateways, by UDP datagrams.

A datagram holds the running requests by engine, the use of the retry budgets, the results of
versions in a rollout and how fresh the sender's view of the store is. Lost datagrams need no
retransmission, since the next one replaces them.

A datagram counts only if it comes from the address in the sender's record in the store, which other
processes on the network cannot write. The source address of a datagram can be forged where the
network lets it pass, so what decides on versions and on the view of the store counts only with the
echo of a timestamp that was sent to the recorded address: it has a random number that a process
elsewhere does not know. Who can read the traffic between the gateways is not kept out.
"""

import asyncio
import math
import secrets

import msgspec

from berylrock.core import duties, errors, routing
from berylrock.daemons.gateway import context, crashes, gossipmessage, rolloutexchange
from berylrock.ops import budget, evidence, freshness, loadreport, views

__all__ = ["Gossip"]

BROADCAST_INTERVAL_S = 0.25
# In a large fleet each broadcast goes to a sample of the other gateways: at most half of it to the
# own zone, whose gateways choose their relay by it.
FANOUT = 32
# Versions and routes whose results a datagram carries.
BUSIEST_RESULTS, OTHER_RESULTS = 8, 2
# Broadcasts, of those that reach a gateway, in which a result is sent after it has changed.
CHANGED_ROUNDS = 2
MAX_BLAMES, MAX_LEAVING, MAX_LIMITS = 8, 16, 16
# For how long the others are told of a limit that has ended, in seconds.
ENDED_LIMIT_S = 30.0
MS_PER_S = 1000.0
PROCESS_BITS = 63
# Datagrams of unknown senders are logged once in this time.
UNKNOWN_LOG_INTERVAL_S = 10.0


class Gossip(asyncio.DatagramProtocol):
    """Sends and receives gossip messages."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._transport: asyncio.DatagramTransport | None = None
        self._process = secrets.randbits(PROCESS_BITS)
        self._peer_timestamps: dict[str, views.SendTimestamp] = {}
        self._unknown_logged_at = float("-inf")
        self._next_result = 0
        self._changed_results = evidence.ChangedResults()
        self._next_limit = 0
        self._rollouts = rolloutexchange.RolloutExchange(ctx)

    async def start(self) -> None:
        """Listen for datagrams; raises ``SettingsError`` if the port cannot be used."""
        loop = asyncio.get_running_loop()
        address = (self._ctx.cfg.address, self._ctx.cfg.peer_port)
        try:
            self._transport, _ = await loop.create_datagram_endpoint(lambda: self, address)
        except OSError as exc:
            remedy = "free the port or set another port-range"
            raise errors.SettingsError(f"cannot use UDP {address}: {exc}; {remedy}") from exc

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Apply a message of another gateway.

        One that cannot be decoded, or that does not come from a known gateway's address, is counted
        and dropped.
        """
        try:
            message = msgspec.msgpack.decode(data, type=gossipmessage.CrashGossipMessage)
        except msgspec.MsgspecError:
            self._ctx.meter.count("gossip_unreadable")
            return
        if not self._ctx.is_peer_address(message.gateway, addr[0]):
            self._record_unknown(message.gateway, addr[0])
            return
        now = asyncio.get_running_loop().time()
        self._peer_timestamps[message.gateway] = message.mark
        sent_at = views.find_sent_at(self._timestamp(), message.repeated)
        if sent_at is not None:
            self._record_evidence(message)
            self._record_crashes(message)
            self._record_views(message, sent_at)
            self._ctx.engines.record_hints(message.leaving, now)
            self._record_limits(message, sent_at)
            self._record_duty(message, now)
            self._rollouts.receive(message)
        try:
            loads = loadreport.unpack(message.packed_loads, now)
        except ValueError:
            self._ctx.meter.count("gossip_unreadable")
            return
        spent = {
            name: budget.RetryUsage(requests, retries) for name, requests, retries in message.spent
        }
        self._ctx.load_view.record(message.gateway, loads, spent, now)

    def _record_unknown(self, gateway: str, address: str) -> None:
        self._ctx.meter.count("gossip_unknown_sender")
        now = asyncio.get_running_loop().time()
        if now - self._unknown_logged_at >= UNKNOWN_LOG_INTERVAL_S:
            self._unknown_logged_at = now
            self._ctx.log.write("gossip_unknown_sender", gateway=gateway, address=address)

    def _record_evidence(self, message: gossipmessage.GossipMessage) -> None:
        """Record the results and vetoes of versions that the other gateway reports."""
        found = {
            evidence.ResultKey(service, version, ""): evidence.decode_counts(counts)
            for service, version, counts in message.results
        }
        found |= {
            evidence.ResultKey(service, version, route): evidence.decode_counts(counts)
            for service, version, route, counts in message.route_results
        }
        self._ctx.evidence.record_peer(message.gateway, found)
        for veto in message.vetoes:
            key = evidence.VersionKey(*veto)
            if key not in self._ctx.evidence.vetoes:
                self._ctx.evidence.vetoes.add(key)
                self._ctx.log.write(
                    "version_vetoed", service=key.service, target=key.version, by=message.gateway
                )

    def _record_crashes(self, message: gossipmessage.CrashGossipMessage) -> None:
        """Record what engines ran when they crashed, and adopt decisions on who is to blame."""
        now = asyncio.get_running_loop().time()
        self._ctx.blame.hear_sound(message.sound, now)
        reports = gossipmessage.decode_crashes(message, now)
        crashes.record_reports(self._ctx, reports, now)
        for decision in routing.make_blames(message.blamed_parts, message.trials):
            crashes.adopt_blame(self._ctx, decision, message.gateway)
        crashes.decide_blame(self._ctx)

    def _record_limits(self, message: gossipmessage.GossipMessage, sent_at: float) -> None:
        """Record the limits that engines named to other gateways.

        Args:
          message: The message.
          sent_at: When this process sent the timestamp that the message echoes, on the clock of
            ``freshness.boottime_clock``.
        """
        now = asyncio.get_running_loop().time()
        delay_s = max(0.0, freshness.boottime_clock() - sent_at)
        for engine_id, per_s, age_ms in message.limits:
            state, latest = self._ctx.engines.find(engine_id), now - max(0, age_ms) / MS_PER_S
            if state is None or not per_s >= 0.0:
                continue
            limit = state.notices.limit
            before_per_s = limit.report.per_s
            if limit.hear(per_s, latest - delay_s, latest):
                self._ctx.log_limit(state, before_per_s, message.gateway)

    def _record_duty(self, message: gossipmessage.DutyGossipMessage, now: float) -> None:
        """Record who holds the duty of reporting usage."""
        if self._ctx.duties is None or message.duty is None:
            return
        holder, token, age_ms, next_window, revision = message.duty
        found = duties.Announcement(
            holder, token, now - max(0, age_ms) / MS_PER_S, next_window, revision
        )
        if self._ctx.duties.adopt(found):
            self._ctx.log.write("duty_holder", duty="usage", gateway=holder, token=token)

    def _make_duty(self, now: float) -> tuple[str, int, int, int, int] | None:
        known = self._ctx.duties.announced if self._ctx.duties is not None else None
        if known is None:
            return None
        age_ms = int((now - known.renewed_at) * MS_PER_S)
        return known.gateway, known.token, age_ms, known.next_window, known.revision

    def _record_views(self, message: gossipmessage.GossipMessage, sent_at: float) -> None:
        """Record how fresh the other gateway's view of the store is.

        Args:
          message: The message.
          sent_at: When this process sent the timestamp that the message echoes, in seconds.
        """
        now = freshness.boottime_clock()
        confirmed_at = {kind: -math.inf for kind in context.SERVED_KINDS}
        for kind, report in zip(sorted(self._ctx.views), message.words, strict=False):
            self._ctx.views[kind].receive_report(report, sent_at, now)
            if report.age_ms >= 0:
                confirmed_at[kind] = sent_at - report.age_ms / MS_PER_S
                self._ctx.record_store_heard(confirmed_at[kind])
        served_at = min(confirmed_at[kind] for kind in context.SERVED_KINDS)
        self._ctx.peer_freshness.record(message.gateway, served_at)

    def _timestamp(self) -> views.SendTimestamp:
        return views.SendTimestamp(self._process, int(freshness.boottime_clock() * MS_PER_S))

    def error_received(self, exc: Exception) -> None:
        """Count an undeliverable datagram; the peer's record in the store will expire."""
        self._ctx.meter.count("gossip_undelivered")

    def broadcast(self) -> None:
        """Send the current state to the other gateways."""
        self._rollouts.begin_round()
        peers = self._choose_peers()
        if self._transport is None or not peers:
            return
        message = self._make_message()
        reserved_bytes = 0
        if isinstance(message, gossipmessage.RolloutGossipMessage):
            reserved_bytes = self._rollouts.prepare(message, [peer.name for peer in peers])
        gossipmessage.shrink(message, reserved_bytes)
        for peer in peers:
            if isinstance(message, gossipmessage.RolloutGossipMessage):
                self._rollouts.finish(message, peer.name)
            message.repeated = self._peer_timestamps.get(peer.name, gossipmessage.NO_TIMESTAMP)
            data = msgspec.msgpack.encode(message)
            self._transport.sendto(data, (peer.address, self._ctx.cfg.peer_port))

    def _make_message(self) -> gossipmessage.GossipMessage:
        """Return the message to send; its ``repeated`` differs by receiver and is set later."""
        ctx = self._ctx
        now = asyncio.get_running_loop().time()
        loads = loadreport.pack(
            (
                loadreport.EngineLoad(
                    loadreport.engine_key(state.engine.id),
                    state.running,
                    state.work,
                    state.heard_at,
                )
                for state in ctx.engines.all()
                if state.running
            ),
            now,
        )
        window_s = ctx.cfg.bounds.retry_window_s
        spent = [(name, *item.usage(now, window_s)) for name, item in ctx.budgets.items()]
        results = [
            (*key, tuple(item)) for key, item in self._choose_results(len(ctx.peers)).items()
        ]
        reverted = [item for item in ctx.rollouts.values() if item.state == "reverted"]
        vetoes = ctx.evidence.vetoes | {(item.service, item.target) for item in reverted}
        clock = freshness.boottime_clock()
        words = [ctx.views[kind].make_report(clock) for kind in sorted(ctx.views)]
        blames = ctx.blame.decisions()[-MAX_BLAMES:]
        reports, sound = ctx.blame.take_reports(), ctx.blame.soundness.take_news(now)
        message_type = self._message_type(bool(blames or reports or sound))
        message = message_type(
            ctx.cfg.name,
            [],
            spent,
            vetoes=list(vetoes),
            mark=self._timestamp(),
            words=words,
            route_results=results,
            blamed_parts=[item[:3] for item in blames],
            leaving=ctx.engines.leaving_ids()[-MAX_LEAVING:],
            limits=self._choose_limits(now),
            packed_loads=loads,
        )
        if isinstance(message, gossipmessage.DutyGossipMessage):
            message.duty = self._make_duty(now)
        if isinstance(message, gossipmessage.CrashGossipMessage):
            message.trials = [item.trials for item in blames]
            message.crash_parts, message.crash_news = gossipmessage.encode_crashes(reports, now)
            message.sound = sound
        return message

    def _message_type(self, tells_of_crashes: bool) -> type[gossipmessage.GossipMessage]:
        """Return the smallest type that has room for what is to be sent."""
        if tells_of_crashes:
            return gossipmessage.CrashGossipMessage
        if self._rollouts.is_needed:
            return gossipmessage.RolloutGossipMessage
        if self._ctx.duties is None:
            return gossipmessage.GossipMessage
        return gossipmessage.DutyGossipMessage

    def _choose_results(self, receivers: int) -> evidence.EvidenceByKey:
        """Choose the results to send: those that have changed lately, and the others in turns.

        Args:
          receivers: Number of gateways that may get this message; each broadcast goes to a sample.
        """
        found = self._ctx.evidence.for_services(self._ctx.services_in_rollout())
        rounds = CHANGED_ROUNDS * max(1, math.ceil(receivers / FANOUT))
        changed = self._changed_results.update(found, rounds)
        chosen = evidence.busiest(changed, BUSIEST_RESULTS)
        others = [key for key in found if key not in chosen]
        for _ in range(min(OTHER_RESULTS, len(others))):
            self._next_result = (self._next_result + 1) % len(others)
            chosen[others[self._next_result]] = found[others[self._next_result]]
        return chosen

    def _choose_limits(self, now: float) -> list[tuple[str, float, int]]:
        """Choose the limits of engines to send, in turns if there are many."""
        found = self._ctx.engines.limits(now - ENDED_LIMIT_S)
        first, self._next_limit = self._next_limit, self._next_limit + MAX_LIMITS
        chosen = [found[(first + n) % len(found)] for n in range(min(MAX_LIMITS, len(found)))]
        return [(name, item.per_s, int((now - item.at) * MS_PER_S)) for name, item in chosen]

    def _choose_peers(self) -> list[routing.Peer]:
        """Choose the receivers: the gateways of the own zone, and a sample of the others."""
        ctx = self._ctx
        found = [
            peer for name, (peer, _) in ctx.peers.items() if name != ctx.cfg.name and peer.address
        ]
        if len(found) <= FANOUT:
            return found
        near = [peer for peer in found if peer.zone == ctx.cfg.zone]
        far = [peer for peer in found if peer.zone != ctx.cfg.zone]
        chosen = ctx.rng.sample(near, min(len(near), FANOUT // 2))
        return chosen + ctx.rng.sample(far, min(len(far), FANOUT - len(chosen)))

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()
