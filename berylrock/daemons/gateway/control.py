"""Publishes this gateway's record, by conditional writes to the store."""

import asyncio
import math

from berylrock.core import errors, routing
from berylrock.daemons.gateway import context
from berylrock.ops import evidence, freshness
from berylrock.platform import decoding, names

__all__ = ["RecordPublisher"]

# Datagrams show the other gateways that this one lives; the record serves those that get none.
HEARTBEAT_INTERVAL_S = 20.0
# Time after a write that failed.
RETRY_INTERVAL_S = 5.0
# All gateways write their records again when the store has come back, spread over this time.
REWRITE_SPREAD_S = 1.5
# Evidence reaches the other gateways by datagrams as well.
EVIDENCE_INTERVAL_S = 2.5
# Versions and routes with results in a record, which the store limits in size.
MAX_RECORD_RESULTS = 64


class RecordPublisher:
    """Publishes this gateway's record in the store: heartbeat, evidence, what crashes engines."""

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        self._heartbeat = 0
        self._revision: int | None = None
        self._written_at = 0.0
        self._written: routing.Peer | None = None
        self._failed = False
        # Whether the record had to be created, and no write has succeeded since.
        self._creates = False
        self._restored_at = -math.inf

    def _make_record(self) -> routing.Peer:
        ctx = self._ctx
        found = ctx.evidence.for_services(ctx.services_in_rollout())
        results = evidence.encode_results(evidence.busiest(found, MAX_RECORD_RESULTS))
        return routing.Peer(
            name=ctx.cfg.name,
            address=ctx.cfg.address,
            zone=ctx.cfg.zone,
            link_mbps=ctx.cfg.link_mbps,
            heartbeat=self._heartbeat,
            evidence=results,
            revision=0,
            blames=tuple(ctx.blame.decisions()),
            limits=self._own_limits(),
        )

    def _own_limits(self) -> dict[str, float]:
        """Return the limits of the engines for which this gateway writes them, one for each."""
        shares = self._ctx.limit_shares()
        found = self._ctx.engines.limited()
        return {name: per_s for name, per_s in found.items() if shares.is_first(name)}

    async def publish_if_due(self) -> None:
        """Write the record if a heartbeat is due, or earlier if it has urgent changes."""
        now = freshness.boottime_clock()
        self._check_restored(now)
        record = self._make_record()
        if now - self._written_at < self._interval_s(record):
            return
        self._heartbeat += 1
        record = record._replace(heartbeat=self._heartbeat)
        self._written_at = now
        self._failed = True
        try:
            await self._write(record)
            self._written, self._failed = record, False
        except errors.Conflict:
            await self._read_revision()
        except (errors.StoreUnavailable, errors.NotFound) as exc:
            self._revision = None
            self._ctx.log.write("record_not_written", error=str(exc))

    def _check_restored(self, now: float) -> None:
        """Have the record written again soon if the store has come back without it."""
        if self._ctx.peers_restored_at <= self._restored_at:
            return
        self._restored_at = self._ctx.peers_restored_at
        self._written = self._revision = None
        spread_s = REWRITE_SPREAD_S * self._ctx.rng.random()
        self._written_at = now - EVIDENCE_INTERVAL_S + spread_s

    def _interval_s(self, record: routing.Peer) -> float:
        """Return the time in seconds from the last attempt to write until the next one."""
        if self._written is None or self._has_urgent_changes(record, self._written):
            return EVIDENCE_INTERVAL_S
        return RETRY_INTERVAL_S if self._failed else HEARTBEAT_INTERVAL_S

    def _has_urgent_changes(self, record: routing.Peer, written: routing.Peer) -> bool:
        """Tell whether others need the change early.

        This holds for decisions on what crashes engines, for limits that begin or end, and for more
        bad results of a version on trial.
        """
        if record.blames != written.blames:
            return True
        if record.limits.keys() != written.limits.keys():
            return True
        trials = {(item.service, item.target) for item in self._ctx.rollouts.values()}
        before = evidence.decode_results(written.evidence)
        return any(
            (
                found.errors + found.slow > before[key].errors + before[key].slow
                if key in before
                else found.errors + found.slow > 0
            )
            for key, found in evidence.decode_results(record.evidence).items()
            if key[:2] in trials
        )

    async def _write(self, record: routing.Peer) -> None:
        spec, store = decoding.encode_peer(record), self._ctx.store
        if self._revision is None:
            await self._read_revision()
        if self._revision is None:
            self._creates = True
            stored = await store.create(names.PEERS_KIND, record.name, spec)
        else:
            stored = await store.replace(names.PEERS_KIND, record.name, spec, self._revision)
        self._record_joined()
        self._revision = stored.revision if stored is not None else None

    def _record_joined(self) -> None:
        """Record that the others can read this gateway's record from now on, or could before."""
        if self._creates:
            self._ctx.joined_at = asyncio.get_running_loop().time()
        elif self._ctx.joined_at == math.inf:
            # The record of an earlier process of this name was still there.
            self._ctx.joined_at = -math.inf
        self._creates = False

    async def _read_revision(self) -> None:
        try:
            stored = await self._ctx.store.get(names.PEERS_KIND, self._ctx.cfg.name)
            self._revision = stored.revision if stored is not None else None
        except errors.StoreUnavailable as exc:
            self._ctx.log.write("record_not_read", error=str(exc))

    async def withdraw(self) -> None:
        """Delete the record on shutdown, so that the others need not wait for it to expire."""
        if self._revision is None:
            return
        try:
            await self._ctx.store.delete(names.PEERS_KIND, self._ctx.cfg.name, self._revision)
        except errors.BerylrockError as exc:
            self._ctx.log.write("record_not_withdrawn", error=str(exc))
