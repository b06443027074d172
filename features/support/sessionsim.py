"""Simulates gateways and the sessions of their callers through a rollout, without a network.

Load pattern: each request of a session comes to another gateway, seconds apart. The gateways learn
of the order and of its stages at different times, their datagrams are late, lost or repeated, and
some gateways are restarted as planned. Time is virtual.
"""

import asyncio
import random
from typing import NamedTuple

import msgspec

from berylrock.core import routing
from berylrock.daemons.gateway import context, gossipmessage, rolloutexchange
from berylrock.ops import activesessions, heardrollouts, rollouts, sessionplacement
from support import virtualtime

SERVICE, OLD, NEW = "models", "v1", "v2"
TTL_S, MARGIN_S = 5.0, 1.0
BROADCAST_S = 0.25
ORDER_AT_S, DURATION_S = 8.0, 20.0
FIRST_STAGE_S = rollouts.COLLECTION_S
SECOND_STAGE_S, LAST_STAGE_S, COMPLETED_S = 10.3, 16.0, 19.0
# Time from SIGTERM to the end of a gateway without running requests, and until it starts again.
DRAIN_S, RESTART_S = 2.2, 0.5
# Time between two looks of a gateway at the records of the others.
PEERS_READ_S = 1.5


class Trouble(NamedTuple):
    """What goes wrong in a simulation.

    Attributes:
      lost: Share of the datagrams that are lost.
      repeated: Share of the datagrams that arrive again, up to a second later.
      late: Share of the gateways that learn from the store ``late_s`` seconds late.
      late_s: That delay.
      restarts: Share of the gateways that are restarted one after the other.
      restarts_before_s: How long before the order the first of them is.
      forgets_word: Whether gateways ignore what the others tell of sessions and rollouts.
    """

    lost: float = 0.0
    repeated: float = 0.0
    late: float = 0.0
    late_s: float = 0.0
    restarts: float = 0.0
    restarts_before_s: float = 4.0
    forgets_word: bool = False


class Outcome(NamedTuple):
    """How many of the requests that followed another one of their session changed its version.

    Attributes:
      followers: Requests that followed another one within its session's time to live.
      moved: Those that came to another gateway than the one before.
      early: Those that went to the new version in the first half of the rollout.
      back: Those that went back to the old version.
      begun: Sessions that began in the first stage.
      begun_new: Those that began on the new version.
    """

    followers: int
    moved: int
    early: int
    back: int
    begun: int
    begun_new: int


class _Sink:
    """Takes the log lines and counts of a simulated gateway."""

    def write(self, event, **fields):
        """Drop a log line."""

    def count(self, name, amount=1):
        """Drop a count."""


class SimContext:
    """The part of a gateway's state that the exchange of sessions uses."""

    def __init__(self, name, names, rng):
        self.name, self.rng = name, rng
        self.stopping = self.starting = False
        self.peers = {item: None for item in names if item != name}
        self.rollouts = {}
        self.revision = 1
        self.sessions = sessionplacement.SessionPlacement()
        self.heard_rollouts = heardrollouts.HeardRollouts()
        self.session_ttl_s = TTL_S + MARGIN_S
        self.log = self.meter = _Sink()

    @property
    def serves(self):
        """Whether new requests come to this gateway."""
        return not self.stopping and not self.starting

    def rollout_in_force(self, service):
        """Return a service's rollout."""
        known = self.rollouts.get(service)
        return self.heard_rollouts.choose_later(service, known, self.revision)

    def rollouts_in_force(self):
        """Return the rollouts by service."""
        found = self.rollout_in_force(SERVICE)
        return {SERVICE: found} if found is not None else {}

    def follow_rollouts(self):
        """Hold the sessions of new rollouts."""
        now = asyncio.get_running_loop().time()
        self.heard_rollouts.expire(now)
        self.sessions.follow(self.rollouts_in_force().values(), now, self.session_ttl_s)

    def plan(self):
        """Return the versions that may get requests."""
        rollout = self.rollout_in_force(SERVICE)
        if rollout is None:
            return rollouts.Plan(OLD, None, 0.0, frozenset())
        if rollout.state == "completed":
            return rollouts.Plan(NEW, None, 0.0, frozenset())
        stage = rollouts.COLLECTING_STAGE if rollout.state == "new" else rollout.stage
        share = rollouts.STAGE_SHARES[max(0, stage)]
        return rollouts.Plan(OLD, NEW, share, frozenset(), stage)


class Simulation:
    """A fleet of gateways, a rollout and the sessions beside it."""

    def __init__(self, seed, gateways, sessions, trouble):
        self._rng = random.Random(seed)
        self._names = [f"gateway-{number}" for number in range(gateways)]
        self._sessions, self._trouble = sessions, trouble
        self._contexts = {}
        self._exchanges = {}
        self._tasks = set()
        # When the others have read the record of a gateway that was restarted.
        self._known_at = {}
        self._late = set(self._rng.sample(self._names, round(trouble.late * gateways)))
        self._counts = dict.fromkeys(Outcome._fields, 0)

    def run(self):
        """Run it to some seconds after the rollout's end; returns the ``Outcome``."""
        virtualtime.run(self._run())
        return Outcome(**self._counts)

    @property
    def _now(self):
        return asyncio.get_running_loop().time()

    def _spawn(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        return task

    async def _run(self):
        for name in self._names:
            self._begin(name)
        for number in range(self._sessions):
            self._spawn(self._live(f"session-{number}"))
        self._spawn(self._restart_some())
        await asyncio.sleep(ORDER_AT_S)
        changes = [
            (0.0, "new", 0),
            (FIRST_STAGE_S, "running", 0),
            (SECOND_STAGE_S, "running", 1),
            (LAST_STAGE_S, "running", 2),
            (COMPLETED_S, "completed", 2),
        ]
        for number, (at_s, state, stage) in enumerate(changes):
            await asyncio.sleep(max(0.0, ORDER_AT_S + at_s - self._now))
            rollout = routing.Rollout(SERVICE, NEW, DURATION_S, state, stage, 100 + number)
            for name in self._names:
                self._spawn(self._learn(name, rollout))
        await asyncio.sleep(5.0)
        for task in self._tasks:
            if task.done() and task.exception() is not None:
                raise task.exception()

    def _begin(self, name):
        ctx = self._contexts[name] = SimContext(name, self._names, self._rng)
        self._exchanges[name] = rolloutexchange.RolloutExchange(ctx)
        self._spawn(self._broadcast(ctx))
        return ctx

    async def _learn(self, name, rollout):
        """Let a gateway read a change of the rollout from the store."""
        delay_s = self._rng.uniform(0.0, BROADCAST_S)
        if name in self._late:
            delay_s += self._trouble.late_s
        await asyncio.sleep(delay_s)
        ctx = self._contexts.get(name)
        if ctx is not None and ctx.revision < rollout.revision:
            ctx.revision = rollout.revision
            ctx.rollouts[SERVICE] = rollout
            ctx.follow_rollouts()

    async def _restart_some(self):
        """Restart gateways one after the other, as operators do, from before the order on."""
        count = round(self._trouble.restarts * len(self._names))
        await asyncio.sleep(ORDER_AT_S - self._trouble.restarts_before_s)
        for name in self._names[:count]:
            await self._restart(name)
            await asyncio.sleep(0.3)

    async def _restart(self, name):
        ctx = self._contexts[name]
        ctx.stopping = True
        await asyncio.sleep(DRAIN_S)
        await self._send_all(ctx)
        del self._contexts[name]
        await asyncio.sleep(RESTART_S)
        fresh = self._begin(name)
        others = [item for item in self._contexts.values() if item is not fresh]
        latest = max(others, key=lambda item: item.revision)
        fresh.revision, fresh.rollouts = latest.revision, dict(latest.rollouts)
        fresh.follow_rollouts()
        fresh.starting = True
        begun = self._now
        self._known_at[name] = begun + self._rng.uniform(0.0, PEERS_READ_S)
        while not fresh.sessions.knows_held() and self._now < begun + context.MAX_JOINING_S:
            await asyncio.sleep(0.05)
        # The load balancer asks for readiness once a second.
        await asyncio.sleep(self._rng.uniform(0.0, 1.0))
        fresh.starting = False

    async def _broadcast(self, ctx):
        await asyncio.sleep(self._rng.uniform(0.0, BROADCAST_S))
        while self._contexts.get(ctx.name) is ctx:
            await self._send_all(ctx)
            await asyncio.sleep(BROADCAST_S)

    async def _send_all(self, ctx):
        """Send a broadcast of one gateway to the others."""
        exchange = self._exchanges[ctx.name]
        exchange.begin_round()
        if not exchange.is_needed:
            return
        message = gossipmessage.RolloutGossipMessage(ctx.name, [], [])
        peers = list(ctx.peers)
        exchange.prepare(message, peers)
        for peer in peers:
            exchange.finish(message, peer)
            data = msgspec.msgpack.encode(message)
            assert len(data) <= gossipmessage.MAX_DATAGRAM_BYTES, len(data)
            if self._rng.random() >= self._trouble.lost:
                self._spawn(self._deliver(peer, data, self._rng.uniform(0.0, 0.01)))
            if self._rng.random() < self._trouble.repeated:
                self._spawn(self._deliver(peer, data, self._rng.uniform(0.0, 1.0)))

    async def _deliver(self, peer, data, delay_s):
        await asyncio.sleep(delay_s)
        if peer not in self._contexts or self._trouble.forgets_word:
            return
        message = msgspec.msgpack.decode(data, type=gossipmessage.RolloutGossipMessage)
        now = self._now
        if now >= self._known_at.get(peer, 0.0) and now >= self._known_at.get(message.gateway, 0.0):
            self._exchanges[peer].receive(message)

    async def _live(self, name):
        """Send the requests of one session, and of others after it."""
        await asyncio.sleep(self._rng.uniform(0.0, 6.0))
        for life in range(1000):
            session = activesessions.make_session(SERVICE, f"{name}-{life}")
            await self._live_once(session)
            await asyncio.sleep(self._rng.uniform(0.0, 3.0))

    async def _live_once(self, session):
        before, before_gateway, ended_at = None, None, 0.0
        for _ in range(self._rng.randint(1, 5)):
            gateway = self._rng.choice([name for name, ctx in self._contexts.items() if ctx.serves])
            version = await self._serve(self._contexts[gateway], session, before, ended_at)
            self._counts["moved"] += before is not None and gateway != before_gateway
            before, before_gateway, ended_at = version, gateway, self._now
            await asyncio.sleep(self._rng.uniform(0.05, 0.95 * TTL_S))

    async def _serve(self, ctx, session, before, ended_at):
        """Run one request of a session, and judge its version."""
        plan = ctx.plan()
        version = ctx.sessions.choose(plan, session, self._now).version
        ctx.sessions.begin(plan, session, version, self._now)
        first_half = self._now < ORDER_AT_S + DURATION_S / 2
        if before is None and ORDER_AT_S + FIRST_STAGE_S < self._now and first_half:
            self._counts["begun"] += 1
            self._counts["begun_new"] += version == NEW
        if before is not None and self._now - ended_at < TTL_S:
            self._counts["followers"] += 1
            self._counts["early"] += before == OLD and version == NEW and first_half
            self._counts["back"] += before == NEW and version == OLD
        await asyncio.sleep(self._rng.uniform(0.02, 2.0))
        ctx.sessions.active.end(session, self._now)
        return version
