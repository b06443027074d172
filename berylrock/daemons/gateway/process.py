"""Assembles a gateway process and runs it until SIGTERM."""

import asyncio
import pathlib
import signal

from berylrock.adapters import listening
from berylrock.core import boundedlog, errors, eventlog, metrics, timer
from berylrock.daemons import shutdown
from berylrock.daemons.gateway import (
    advancing,
    callers,
    confirming,
    context,
    control,
    crashes,
    following,
    gossip,
    pages,
    pool,
    relay,
    reporting,
    storesync,
    usagelink,
    watching,
)
from berylrock.ops import dutybook, freshness
from berylrock.platform import names, settings

__all__ = ["METRICS_PORT", "run"]

METRICS_PORT = 9464
RECENT_EVENTS = 200
# Intervals of the periodic tasks, in seconds.
EXPIRY_INTERVAL_S = 0.5
RECORD_INTERVAL_S = 0.3
ROLLOUT_INTERVAL_S = 0.1
PEERS_INTERVAL_S = 1.5
SETTINGS_INTERVAL_S = 1.0
# Longest time for the last counts of usage, between the end of draining and the exit.
LAST_SEND_S = 0.15


class UsageTasks:
    """The parts of a gateway that count, collect and report usage."""

    def __init__(self, ctx: context.Context, book: dutybook.DutyBook) -> None:
        self._ctx = ctx
        self.server = usagelink.UsageServer(ctx, book)
        self.sender = usagelink.UsageSender(ctx, book)
        self.reporter = reporting.UsageReporter(ctx, book)

    async def send_last(self) -> None:
        """Send what has not been sent yet, if that takes no longer than a stop allows."""
        try:
            async with asyncio.timeout(LAST_SEND_S):
                await self.sender.send_all()
        except TimeoutError:
            self._ctx.log.write("usage_not_sent", to="", error="no time left before the stop")

    async def close(self) -> None:
        """Close all connections."""
        self.sender.close()
        self.reporter.close()
        await self.server.close()


class Gateway:
    """A gateway process with all its parts."""

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        cfg = settings.load(path)
        log = eventlog.EventLog(cfg.name, boundedlog.RateLimitedHandler(), RECENT_EVENTS)
        self._ctx = context.Context(cfg, log, metrics.Metrics("", cfg.name), timer.Timer(log.write))
        self._conns = pool.ConnectionPool()
        self._callers = callers.Callers(self._ctx, self._conns)
        self._store_sync = storesync.StoreSync(self._ctx)
        self._record = control.RecordPublisher(self._ctx)
        self._gossip = gossip.Gossip(self._ctx)
        self._relay_server = relay.RelayServer(self._ctx)
        self._usage_tasks: UsageTasks | None = None
        self._rollout_controller = advancing.RolloutController(self._ctx)
        self._page_servers: list[listening.ConnectionServer] = []
        self._settings_stamp = self._read_stamp()
        self._was_ready = False

    def _read_stamp(self) -> tuple[float, int]:
        """Return modification time and size of the settings file; (0, 0) if it is missing.

        The file may change without a SIGHUP.
        """
        try:
            found = self._path.stat()
            return found.st_mtime, found.st_size
        except OSError:
            return 0.0, 0

    def _reload(self) -> None:
        """Read the settings again; if the file is invalid, the current settings stay in force."""
        self._settings_stamp = self._read_stamp()
        try:
            cfg = settings.load(str(self._path))
        except errors.SettingsError as exc:
            self._ctx.log.write("reload_failed", error=str(exc))
            return
        changed = cfg != self._ctx.cfg
        self._ctx.cfg = cfg
        self._ctx.store.address = cfg.store_address
        self._ctx.log.write("reloaded", changed=changed)

    def _reload_if_changed(self) -> None:
        if self._read_stamp() != self._settings_stamp:
            self._reload()

    def _expire_state(self) -> None:
        """Drop sessions, engines, loads, peers and connections that have timed out."""
        loop = asyncio.get_running_loop()
        self._conns.close_stale()
        crashes.decide_blame(self._ctx)
        self._ctx.sessions.active.expire(loop.time(), self._ctx.session_ttl_s)
        for change in self._ctx.engines.expire(loop.time()):
            self._ctx.log.write("engine_changed", engine=change.engine_id, what=change.what)
        self._ctx.load_view.expire(loop.time())
        self._ctx.latency_estimator.retain(self._ctx.engines.ids())
        self._store_sync.expire_peers(loop.time())
        self._store_sync.update_evacuated(loop.time())

    def _render_ready(self, _: str) -> pages.Page:
        ready = self._ctx.ready
        if ready != self._was_ready:
            self._was_ready = ready
            self._log_readiness(ready)
        return pages.Page(200 if ready else 503, "ready\n" if ready else "not ready\n")

    def _log_readiness(self, ready: bool) -> None:
        """Log what the load balancer is told from now on, and what that follows from."""
        now = freshness.boottime_clock()
        ages_s = {kind: round(view.freshness.age(now), 2) for kind, view in self._ctx.views.items()}
        self._ctx.log.write(
            "readiness_changed",
            ready=ready,
            stopping=self._ctx.stopping,
            informed=self._ctx.informed,
            config_age_s=ages_s[names.CONFIG_KIND],
            engines_age_s=ages_s[names.ENGINES_KIND],
            gateways_heard=len(self._ctx.gateways_heard()),
        )

    def _render_metrics(self, _: str) -> pages.Page:
        lines = [f"{name} {value}" for name, value in sorted(self._ctx.meter.counts.items())]
        age = self._ctx.config_freshness.age(freshness.boottime_clock())
        lines.append(f"config_age_s {age:.3f}")
        lines.append(f"ready {int(self._was_ready)}")
        lines.append(f"store_calls {self._ctx.store.calls}")
        for (service, version), wait_s in sorted(self._ctx.wait_gauge.latest().items(), key=str):
            lines.append(
                f'engine_wait_ms{{service="{service}",version="{version}"}} {wait_s * 1000:.0f}'
            )
        lines.append(f"gateways_heard {len(self._ctx.gateways_heard())}")
        lines.append(f"reads_through_relay {int(bool(self._ctx.relay))}")
        lines.append(f"engine_connections_opened {self._conns.opened}")
        return pages.Page(200, "\n".join(lines + self._ctx.latency_histograms.render()) + "\n")

    def _start_tasks(self) -> None:
        """Start the watches of the store and the periodic tasks."""
        timers = self._ctx.timer
        watches = self._store_sync.watches()
        for watch in watches.values():
            timers.supervise(watching.Watcher(self._ctx, watch).run)
        relayed = {**watches, names.PEERS_KIND: self._store_sync.peers_watch()}
        timers.supervise(following.Follower(self._ctx, relayed).run)
        confirmer = confirming.Confirmer(self._ctx, watches[names.CONFIG_KIND])
        timers.every(confirming.CHECK_INTERVAL_S, confirmer.confirm_if_due)
        timers.every(EXPIRY_INTERVAL_S, self._expire_state)
        timers.every(RECORD_INTERVAL_S, self._record.publish_if_due)
        timers.spawn(self._store_sync.read_peers())
        timers.every(PEERS_INTERVAL_S, self._store_sync.read_peers)
        timers.every(gossip.BROADCAST_INTERVAL_S, self._gossip.broadcast)
        timers.every(ROLLOUT_INTERVAL_S, self._rollout_controller.decide_rollouts)
        timers.every(SETTINGS_INTERVAL_S, self._reload_if_changed)

    async def _start_usage(self) -> None:
        """Start what reports usage, if the platform asks for reports."""
        ctx = self._ctx
        for fault in ctx.cfg.faults:
            ctx.log.write("settings_fault", error=fault)
        if ctx.duties is None:
            return
        tasks = self._usage_tasks = UsageTasks(ctx, ctx.duties)
        await tasks.server.start()
        ctx.timer.every(usagelink.SEND_INTERVAL_S, tasks.sender.send_if_due)
        ctx.timer.supervise(tasks.reporter.run)

    async def run(self) -> None:
        """Serve until SIGTERM, then finish running requests within the grace period."""
        ctx = self._ctx
        loop = asyncio.get_running_loop()
        stop = shutdown.ShutdownSignal(ctx.log)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._page_servers = [
            await pages.serve(ctx.cfg.readiness_address, self._render_ready),
            await pages.serve((ctx.cfg.address, METRICS_PORT), self._render_metrics),
        ]
        await self._gossip.start()
        await self._relay_server.start()
        await self._start_usage()
        await self._callers.start()
        self._start_tasks()
        ctx.log.write("started", zone=ctx.cfg.zone)
        await stop.wait()
        ctx.stopping = True
        await self._callers.drain(loop.time())
        # The sessions of the last requests are handed over, too, while the own record stands.
        self._gossip.broadcast()
        if self._usage_tasks is not None:
            await self._usage_tasks.send_last()
        await self._record.withdraw()
        await self._close()
        ctx.log.write("stopped")

    async def _close(self) -> None:
        """Close all connections; tasks end before the pools from which they take connections."""
        self._gossip.close()
        await self._callers.close()
        await self._relay_server.close()
        if self._usage_tasks is not None:
            await self._usage_tasks.close()
        for server in self._page_servers:
            await server.close()
        await self._ctx.timer.close()
        self._conns.close()
        self._ctx.store.close()


def run(path: str) -> None:
    """Run a gateway until SIGTERM.

    Args:
      path: Path of the settings file.
    """

    async def main() -> None:
        await Gateway(path).run()

    asyncio.run(main())
