"""Tells the other gateways, in the datagrams of ``gossip``, what sessions and rollouts need.

While a rollout has not passed its first stage, each gateway reports the size and checksum of the
set of sessions that stay on the old version. Only a receiver whose last report differs gets some of
the sessions themselves. A gateway that stops hands over its active sessions to a few others, as
their callers come to another gateway next, and an order may come meanwhile.
"""

import asyncio

from berylrock.core import routing
from berylrock.daemons.gateway import context, gossipmessage
from berylrock.ops import activesessions, heldsessions, sessionplacement

__all__ = ["RolloutExchange"]

MAX_ROLLOUTS, MAX_HELD_SETS = 4, 4
# A rollout is told of for so long after each of its changes, in seconds.
ANNOUNCED_S = 3.0
# Sets of held sessions are compared once in so many broadcasts, and in each while rollouts change.
HELD_ROUNDS = 4
# Sessions in one datagram.
MAX_DIGESTS, MAX_HANDED_OVER = 48, 40
# Gateways that get the sessions of one that stops, at each broadcast.
HANDOVER_PEERS = 3
DIGEST_BYTES = activesessions.DIGEST_BYTES


class RolloutExchange:
    """Adds the state of rollouts to messages, and applies that of the others."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        # The rollouts in force, each with the time at which this gateway saw it change.
        self._changed: dict[str, tuple[routing.Rollout, float]] = {}
        self._round = 0
        self._heirs: frozenset[str] = frozenset()
        self._next_session = 0

    def begin_round(self) -> None:
        """Hold the sessions of new rollouts, and choose what the next messages tell."""
        ctx, now = self._ctx, asyncio.get_running_loop().time()
        ctx.follow_rollouts()
        found, before = ctx.rollouts_in_force(), self._changed
        self._changed = {
            name: before[name] if name in before and before[name][0] == item else (item, now)
            for name, item in found.items()
        }
        self._round += 1

    def _list_changed(self) -> list[routing.Rollout]:
        """Return the rollouts that have changed lately, the latest first."""
        now = asyncio.get_running_loop().time()
        found = [item for item, at in self._changed.values() if now - at < ANNOUNCED_S]
        return sorted(found, key=lambda item: -item.revision)[:MAX_ROLLOUTS]

    def _list_held(self) -> list[heldsessions.RolloutKey]:
        """Return the rollouts whose held sessions are reported in this round, in turns if many."""
        if self._round % HELD_ROUNDS and not self._list_changed():
            return []
        found = sorted(
            heldsessions.RolloutKey(item.service, item.target)
            for item, _ in self._changed.values()
            if sessionplacement.is_open_to_holding(item)
        )
        first = self._round * MAX_HELD_SETS % len(found) if found else 0
        return (found[first:] + found[:first])[:MAX_HELD_SETS]

    @property
    def is_needed(self) -> bool:
        """Whether the messages of this round have to have room for rollouts and sessions."""
        return self._ctx.stopping or bool(self._list_changed() or self._list_held())

    def prepare(self, message: gossipmessage.RolloutGossipMessage, peers: list[str]) -> int:
        """Add what is the same for all receivers.

        Args:
          message: The message.
          peers: Names of the gateways that will get it.

        Returns:
          The bytes to leave free for what ``finish`` adds.
        """
        ctx = self._ctx
        message.rollouts = self._list_changed()
        message.held = [
            gossipmessage.HeldReport(*key, *ctx.sessions.held.summarise(key))
            for key in self._list_held()
        ]
        self._heirs = frozenset()
        if ctx.stopping:
            self._heirs = frozenset(ctx.rng.sample(peers, min(HANDOVER_PEERS, len(peers))))
        reserved = MAX_DIGESTS * DIGEST_BYTES if message.held else 0
        return reserved + (MAX_HANDED_OVER * gossipmessage.SESSION_BYTES if ctx.stopping else 0)

    def finish(self, message: gossipmessage.RolloutGossipMessage, peer: str) -> None:
        """Add the sessions that one receiver lacks, in place of those for the receiver before."""
        left = MAX_DIGESTS
        for number, report in enumerate(message.held):
            key = heldsessions.RolloutKey(report.service, report.target)
            held, digests = self._ctx.sessions.held, b""
            if not held.is_equal_at(key, peer):
                digests = held.take(key, left)
            left -= len(digests) // DIGEST_BYTES
            message.held[number] = report._replace(digests=digests)
        message.sessions = self._choose_sessions() if peer in self._heirs else []

    def _choose_sessions(self) -> list[gossipmessage.SessionReport]:
        """Choose active sessions to hand over, in turns; none that a rollout has moved."""
        ctx, now = self._ctx, asyncio.get_running_loop().time()
        targets = {name: item.target for name, item in ctx.rollouts_in_force().items()}
        found = [
            (session, use)
            for session, use in ctx.sessions.active.list(now, ctx.session_ttl_s)
            if use.version != targets.get(session.service)
        ]
        if not found:
            return []
        first = self._next_session % len(found)
        chosen = (found[first:] + found[:first])[:MAX_HANDED_OVER]
        self._next_session = first + len(chosen)
        packed: dict[str, bytes] = {}
        for session, use in chosen:
            age_s = 0.0 if use.running else now - use.at
            item = gossipmessage.pack_session(session.digest, age_s)
            packed[session.service] = packed.get(session.service, b"") + item
        return [gossipmessage.SessionReport(*item) for item in packed.items()]

    def receive(self, message: gossipmessage.RolloutGossipMessage) -> None:
        """Apply what another gateway reports of rollouts and sessions."""
        ctx, now = self._ctx, asyncio.get_running_loop().time()
        for rollout in message.rollouts[:MAX_ROLLOUTS]:
            self._receive_rollout(rollout, message.gateway, now)
        for report in message.held[:MAX_HELD_SETS]:
            key = heldsessions.RolloutKey(report.service, report.target)
            if ctx.sessions.held.merge(key, report.digests, now):
                summary = heldsessions.Summary(report.size, report.checksum)
                ctx.sessions.held.record_report(key, message.gateway, summary)
        for service, packed in message.sessions:
            for digest, age_s in gossipmessage.unpack_sessions(packed):
                ctx.sessions.active.learn(activesessions.Session(service, digest), now - age_s)

    def _receive_rollout(self, rollout: routing.Rollout, gateway: str, now: float) -> None:
        """Record a rollout that another gateway knows; log it where the store's is older."""
        ctx = self._ctx
        before = ctx.rollout_in_force(rollout.service)
        ctx.heard_rollouts.record(rollout, now)
        if ctx.rollout_in_force(rollout.service) != before:
            ctx.follow_rollouts()
            ctx.meter.count("rollouts_heard")
            ctx.log.write(
                "rollout_heard",
                service=rollout.service,
                target=rollout.target,
                state=rollout.state,
                stage=rollout.stage,
                by=gateway,
            )
