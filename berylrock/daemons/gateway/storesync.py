"""Applies the store's objects to the gateway's state: configuration, engines, rollouts, peers."""

import asyncio

from berylrock.core import errors, routing, stored
from berylrock.daemons.gateway import context, crashes, watching
from berylrock.ops import enginelimits, engineset, evidence, routetable
from berylrock.platform import decoding, names

__all__ = ["StoreSync"]

# Longest time for which the store may hold a watch call open. It is short, so that a silent
# connection is detected within the bounds on applying configurations and on draining engines, which
# start anew after a connection failure.
ENGINES_WAIT_S = 2.0
DEFAULT_WAIT_S = 3.5
# Longest wait of the gateways other than the first one. While the gateways hear each other, the
# first one detects missed changes for all (see ``Watcher._wait_s`` in the module ``watching``).
FOLLOWER_WAIT_S = 8.0
BATCH_PAUSE_S = 0.25
# Time after which a gateway counts as gone if its record does not change and it is not heard.
PEER_TTL_S = 45.0
# Time within which gateways write their records again after the store has come back without them.
RECORD_RETURN_S = 8.0


class StoreSync:
    """Applies lists and changes from the store to the shared state.

    A full list replaces all objects of its kind; the changes of a watch update some of them.
    """

    def __init__(self, ctx: context.Context) -> None:
        self._ctx = ctx
        # Revisions of the records that did not change for ``PEER_TTL_S``, by the gateway's name.
        self._expired: dict[str, int] = {}

    def watches(self) -> dict[str, watching.KindWatch]:
        """Return what to watch, by kind."""
        default_s, follower_s = DEFAULT_WAIT_S, FOLLOWER_WAIT_S
        # Records of engines lapse during outages of the store, so each gateway detects outages by
        # itself: the wait for engines is short on all of them.
        waits = (
            (names.CONFIG_KIND, default_s, follower_s, self._apply_config),
            (names.ENGINES_KIND, ENGINES_WAIT_S, ENGINES_WAIT_S, self._apply_engines),
            (names.ROLLOUTS_KIND, default_s, follower_s, self._apply_rollouts),
            (names.EVACUATIONS_KIND, default_s, follower_s, self._apply_evacuations),
        )
        return {
            kind: watching.KindWatch(kind, wait_s, follower_s, BATCH_PAUSE_S, apply)
            for kind, wait_s, follower_s, apply in waits
        }

    def _apply_config(self, listing: stored.Listing, full: bool) -> None:
        objects = listing.objects if full else tuple(item.stored for item in listing.changes)
        for item in objects:
            if item.name != names.CONFIG_NAME:
                continue
            config = decoding.decode_config(item.spec)
            if config is None:
                revision = stored.find_number(item.revision)
                self._ctx.log.write("config_unreadable", revision=revision)
                continue
            self.put_in_force(config)

    def put_in_force(self, config: routing.Config) -> None:
        """Put a configuration in force unless it is no newer than the current one."""
        ctx = self._ctx
        if ctx.table is not None and config.version <= ctx.table.config.version:
            return
        ctx.table = routetable.RouteTable(config)
        ctx.idle_limit_s = max(ctx.idle_limit_s, config.limits.idle_s)
        ctx.log.write("config_in_force", version=config.version, routes=len(config.routes))

    def _apply_engines(self, listing: stored.Listing, full: bool) -> None:
        now = asyncio.get_running_loop().time()
        ctx = self._ctx
        changes: list[engineset.Change | None] = []
        if full:
            decoded = [self._read_engine(item) for item in listing.objects]
            changes += ctx.engines.replace(tuple(item for item in decoded if item), now)
            ctx.engines_known = True
        changes += self._change_engines(listing.changes, now)
        for change in changes:
            if change is not None:
                ctx.log.write("engine_changed", engine=change.engine_id, what=change.what)

    def _change_engines(
        self, changed: tuple[stored.ObjectChange, ...], now: float
    ) -> list[engineset.Change | None]:
        """Apply changes in their order; removals that follow each other count as one event."""
        engines, gone = self._ctx.engines, list[str]()
        changes: list[engineset.Change | None] = []
        for item in changed:
            engine = None if item.deleted else self._read_engine(item.stored)
            if engine is None:
                gone.append(item.stored.name)
                continue
            if engine.id in gone:
                changes += engines.remove_all(gone, now)
                gone.clear()
            changes.append(engines.put(engine, now))
        return changes + engines.remove_all(gone, now)

    def _read_engine(self, item: stored.StoredObject) -> routing.Engine | None:
        """Decode an engine's record; one that names no engine to use is logged."""
        engine = decoding.decode_engine(item)
        if engine is None:
            self._ctx.log.write("engine_unreadable", engine=item.name)
        return engine

    def _apply_rollouts(self, listing: stored.Listing, full: bool) -> None:
        ctx, recovery = self._ctx, self._ctx.rollout_recovery
        if full:
            decoded = [decoding.decode_rollout(item) for item in listing.objects]
            found = [item for item in decoded if item is not None]
            now = asyncio.get_running_loop().time()
            ctx.rollouts = recovery.replace(ctx.rollouts, found, now)
            for item in ctx.rollouts.values():
                self._log_rollout(item)
        for changed in listing.changes:
            rollout = decoding.decode_rollout(changed.stored)
            if changed.deleted:
                ctx.rollouts.pop(changed.stored.name, None)
                recovery.remove(changed.stored.name)
            elif rollout is not None and self._is_newer(rollout):
                known = ctx.rollouts.get(rollout.service)
                ctx.rollouts[rollout.service] = recovery.update(known, rollout)
                self._log_rollout(ctx.rollouts[rollout.service])
        ctx.follow_rollouts()

    def _is_newer(self, rollout: routing.Rollout) -> bool:
        """Tell whether a rollout is newer than what this gateway's own write returned."""
        known = self._ctx.rollouts.get(rollout.service)
        return known is None or known.revision < rollout.revision

    def _log_rollout(self, item: routing.Rollout) -> None:
        self._ctx.log.write(
            "rollout_seen",
            service=item.service,
            target=item.target,
            state=item.state,
            stage=item.stage,
            revision=stored.find_number(item.revision),
        )

    def _apply_evacuations(self, listing: stored.Listing, full: bool) -> None:
        zones = self._ctx.evacuations
        if full:
            zones.replace({item.name for item in listing.objects})
        for changed in listing.changes:
            if changed.deleted:
                zones.remove(changed.stored.name)
            else:
                zones.add(changed.stored.name)
        self.update_evacuated(asyncio.get_running_loop().time())

    def update_evacuated(self, now: float) -> None:
        """Take zones out of use, or back, at a time on the event loop's clock."""
        zones = self._ctx.evacuations.current(now)
        if zones != self._ctx.engines.evacuated:
            self._ctx.engines.set_evacuated(zones, now)
            self._ctx.log.write("zones_out_of_use", zones=",".join(sorted(zones)))

    async def read_peers(self) -> None:
        """Read the records of all gateways, unless they come through a relay.

        The list may be some seconds old, but for the first one.
        """
        if self._ctx.relay:
            return
        try:
            listing = await self._ctx.store.list(names.PEERS_KIND, stale=self._ctx.peers_asked)
        except (errors.StoreUnavailable, errors.NotFound) as exc:
            self._ctx.log.write("peers_not_read", error=str(exc))
            return
        finally:
            self._ctx.peers_asked = True
        watching.apply_listing(self._ctx, self.peers_watch(), listing, True)

    def peers_watch(self) -> watching.KindWatch:
        """Return how the records of the gateways are applied; they are listed, not watched."""
        return watching.KindWatch(names.PEERS_KIND, 0.0, 0.0, 0.0, self._apply_peers)

    def _apply_peers(self, listing: stored.Listing, full: bool) -> None:
        now = asyncio.get_running_loop().time()
        peers = self._ctx.peers
        gone = {item.stored.name for item in listing.changes if item.deleted}
        if full:
            gone = set(peers) - {item.name for item in listing.objects}
        if full and now < self._ctx.peers_restored_at + RECORD_RETURN_S:
            # They live, and write their records again.
            gone -= {*self._ctx.gateways_heard(), self._ctx.cfg.name}
        for name in gone:
            peers.pop(name, None)
            self._expired.pop(name, None)
        changed = [item.stored for item in listing.changes if not item.deleted]
        for item in (*listing.objects, *changed):
            self._update_peer(item, now)
        self.expire_peers(now)
        self._assume_limits()

    def _assume_limits(self) -> None:
        """Assume the limits in the records; where there are several, the lowest one."""
        recorded: dict[str, float] = {}
        for peer, _ in self._ctx.peers.values():
            for engine_id, per_s in peer.limits.items():
                recorded[engine_id] = min(per_s, recorded.get(engine_id, per_s))
        for state in self._ctx.engines.assume_limits(recorded):
            self._ctx.log_limit(state, enginelimits.NO_LIMIT, "")

    def _update_peer(self, item: stored.StoredObject, now: float) -> None:
        peer = decoding.decode_peer(item)
        if peer is None:
            return
        known = self._ctx.peers.get(peer.name)
        if known is not None and known[0].revision == peer.revision:
            return
        if self._expired.get(peer.name) == peer.revision:
            return
        self._ctx.peers[peer.name] = (peer, now)
        for decision in peer.blames:
            crashes.adopt_blame(self._ctx, decision, peer.name)
        if peer.name != self._ctx.cfg.name:
            self._ctx.evidence.record_peer(peer.name, evidence.decode_results(peer.evidence))

    def expire_peers(self, now: float) -> None:
        """Drop gateways whose record has not changed for ``PEER_TTL_S`` and that are silent."""
        peers = self._ctx.peers
        kept = {*self._ctx.gateways_heard(), self._ctx.cfg.name}
        for name, (peer, seen_at) in list(peers.items()):
            if now - seen_at > PEER_TTL_S and name not in kept:
                self._expired[name] = peer.revision
                del peers[name]
                self._ctx.log.write("peer_lost", peer=name)
