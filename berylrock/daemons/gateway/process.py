"""Assembles a gateway and runs it until it is told to stop."""

import asyncio
import pathlib
import signal

from berylrock.core import boundedlog, errors, eventlog, metrics, timer
from berylrock.daemons import shutdown
from berylrock.daemons.gateway import (
    callers,
    confirming,
    context,
    control,
    gossip,
    pages,
    pool,
    storesync,
    watching,
)
from berylrock.ops import freshness
from berylrock.platform import names, settings

__all__ = ["METRICS_PORT", "run"]

METRICS_PORT = 9464
KEPT_EVENTS = 200
SWEEP_S = 0.5
RECORD_S = 0.3
CONTROL_S = 0.1
PEERS_S = 1.5
SETTINGS_S = 1.0


class Gateway:
    """All parts of a gateway."""

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        cfg = settings.load(path)
        log = eventlog.EventLog(cfg.name, boundedlog.RateLimitedHandler(), KEPT_EVENTS)
        self._ctx = context.Context(cfg, log, metrics.Metrics("", cfg.name), timer.Timer(log.write))
        self._conns = pool.ConnectionPool()
        self._callers = callers.Callers(self._ctx, self._conns)
        self._store_sync = storesync.StoreSync(self._ctx)
        self._record = control.RecordPublisher(self._ctx)
        self._gossip = gossip.Gossip(self._ctx)
        self._control = control.RolloutController(self._ctx)
        self._settings_at = self._stamp()

    def _stamp(self) -> tuple[float, int]:
        """Time and size of the settings file; it may change without a signal."""
        try:
            found = self._path.stat()
            return found.st_mtime, found.st_size
        except OSError:
            return 0.0, 0

    def _reload(self) -> None:
        """Read the settings again; a faulty file leaves those in force."""
        self._settings_at = self._stamp()
        try:
            cfg = settings.load(str(self._path))
        except errors.SettingsError as exc:
            self._ctx.log.write("reload_failed", error=str(exc))
            return
        changed = cfg != self._ctx.cfg
        self._ctx.cfg = cfg
        self._ctx.store.address = cfg.store_address
        self._ctx.log.write("reloaded", changed=changed)

    def _look_at_settings(self) -> None:
        if self._stamp() != self._settings_at:
            self._reload()

    def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._conns.close_stale()
        ttl_s = self._ctx.cfg.bounds.session_ttl_s + 1.0
        self._ctx.sessions.expire(loop.time(), ttl_s)
        for change in self._ctx.engines.expire(loop.time()):
            self._ctx.log.write("engine_changed", engine=change.engine_id, what=change.what)
        self._ctx.loads.expire(loop.time())
        self._ctx.speeds.retain(self._ctx.engines.ids())
        self._store_sync.expire_peers(loop.time())

    def _render_ready(self, _: str) -> pages.Page:
        ready = self._ctx.ready
        return pages.Page(200 if ready else 503, "ready\n" if ready else "not ready\n")

    def _render_metrics(self, _: str) -> pages.Page:
        counts = [f"{name} {value}" for name, value in sorted(self._ctx.meter.counts.items())]
        age = self._ctx.config_freshness.age(freshness.boottime_clock())
        counts.append(f"config_age_s {age:.3f}")
        counts.append(f"store_calls {self._ctx.store.calls}")
        heard = self._ctx.loads.live_gateways(asyncio.get_running_loop().time())
        counts.append(f"gateways_heard {len(heard)}")
        counts.append(f"engine_connections_opened {self._conns.opened}")
        return pages.Page(200, "\n".join(counts + self._ctx.latencies.render()) + "\n")

    def _subscribe(self) -> None:
        clock = self._ctx.timer
        watches = self._store_sync.watches()
        for what in watches.values():
            clock.spawn(watching.Watcher(self._ctx, what).run())
        confirmer = confirming.Confirmer(self._ctx, watches[names.CONFIG_KIND])
        clock.every(confirming.CHECK_INTERVAL_S, confirmer.confirm_if_due)
        clock.every(SWEEP_S, self._sweep)
        clock.every(RECORD_S, self._record.publish_if_due)
        clock.every(PEERS_S, self._store_sync.read_peers)
        clock.every(gossip.BROADCAST_INTERVAL_S, self._gossip.broadcast)
        clock.every(CONTROL_S, self._control.decide_rollouts)
        clock.every(SETTINGS_S, self._look_at_settings)

    async def run(self) -> None:
        """Serve until SIGTERM, then finish what runs within the grace time."""
        ctx = self._ctx
        loop = asyncio.get_running_loop()
        stop = shutdown.ShutdownSignal(ctx.log)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        await pages.serve(ctx.cfg.readiness_address, self._render_ready)
        await pages.serve((ctx.cfg.address, METRICS_PORT), self._render_metrics)
        await self._gossip.start()
        await self._callers.start()
        self._subscribe()
        ctx.log.write("started", zone=ctx.cfg.zone)
        await stop.wait()
        ctx.stopping = True
        await self._callers.drain(loop.time())
        await self._record.withdraw()
        self._gossip.close()
        ctx.log.write("stopped")
        await ctx.timer.close()


def run(path: str) -> None:
    """Run a gateway until it is told to stop.

    Args:
      path: The settings file.
    """

    async def main() -> None:
        await Gateway(path).run()

    asyncio.run(main())
