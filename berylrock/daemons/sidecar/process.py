"""Assembles the sidecar and runs it until it is told to shut down."""

import asyncio

from berylrock.adapters import backend as backend_adapters
from berylrock.adapters import listening
from berylrock.core import data, usage
from berylrock.daemons import admin, runtime, shutdown
from berylrock.daemons.sidecar import backend, entrylinks, runner
from berylrock.loader import settings
from berylrock.ops import admission, buffering, fences, warmup

__all__ = ["SidecarProcess", "run"]

REPORT_SECONDS = 1.0
POLL_SECONDS = 0.25
ORPHAN_CHECK_SECONDS = 1.0
DRAIN_CHECK_SECONDS = 0.05
BILL_DRAIN_SECONDS = 5.0
UNBOUNDED_TOKENS = 2**31
# What may be held of the backend server's bytes, beside 60 MB of the process itself.
BUFFER_BYTES = 32 * buffering.BYTES_PER_MB


class SidecarProcess:
    """A sidecar process with all its parts."""

    def __init__(self, cfg: settings.SidecarSettings) -> None:
        self._cfg = cfg
        self._runtime = runtime.build(cfg.name, cfg.statsd, cfg.platform)
        self._runtime.config.subscribe(self._config_changed)
        self._warmup = warmup.WarmupTracker()
        buffers = buffering.BufferBudget(BUFFER_BYTES)
        engine = backend_adapters.HttpEngine(cfg.backend_url, buffers)
        self._backend = backend.Backend(engine, self._warmup, self._runtime.log)
        self._runner = runner.Runner(cfg, self._runtime, self._backend, buffers)
        fence = fences.FenceStore(self._runtime.objects, cfg.name)
        self._entry_links = entrylinks.EntryLinks(cfg, self._runtime, self._runner, fence)

    def _config_changed(self) -> None:
        doc = self._runtime.config.doc
        assert doc is not None
        for pool in doc.pools:
            if pool.name == self._cfg.pool:
                self._apply_pool(pool)
        self._runner.admission.refuse_disallowed(doc, self._cfg.pool, self._cfg.zone)
        self._runner.admission.admit_waiting()

    def _apply_pool(self, pool: data.Pool) -> None:
        self._warmup.pool = pool
        if pool.kind == "service":
            if isinstance(self._backend.server, backend_adapters.HttpEngine):
                self._backend.server = backend_adapters.HttpPlainServer(self._cfg.backend_url)
            self._runner.admission.capacity_tokens = UNBOUNDED_TOKENS

    async def _poll(self) -> None:
        if self._warmup.pool is None:
            # The kind of server is unknown until the document is in force, so it is not polled.
            return
        changed = await self._backend.poll()
        if self._backend.report.capacity_tokens:
            self._runner.admission.capacity_tokens = self._backend.report.capacity_tokens
        if not self._backend.reachable:
            detail = "backend server is down"
            self._runner.admission.refuse_waiting(admission.Reason.UNREACHABLE, detail)
        self._runner.admission.admit_waiting()
        if changed:
            self._entry_links.send_reports()

    def _status(self) -> dict[str, object]:
        return {
            "role": "sidecar",
            "process": self._cfg.name,
            "zone": self._cfg.zone,
            "pool": self._cfg.pool,
            "config_version": self._runtime.config.version,
            "report": self._entry_links.report()._asdict(),
            "loaded": list(self._backend.report.loaded),
            "peers": sorted(self._entry_links.links.values()),
            "unstored_bills": len(self._runner.bills),
            "quarantined": list(self._runtime.strikes.quarantined()),
            "counts": dict(self._runtime.meter.counts),
            "link_bytes": self._entry_links.link_bytes,
            **usage.read(),
        }

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the runs and wait for bills to be stored.

        Both waits are limited, and a second signal ends them.
        """
        stop = shutdown.ShutdownSignal(self._runtime.log)
        server = listening.ConnectionServer(self._entry_links.serve)
        await server.start(self._cfg.address, self._cfg.port, limit=2**18)
        admin_server = admin.AdminServer(
            self._cfg, self._runtime.log, self._status, lambda: self._ready(stop)
        )
        admin_server.start()
        self._runtime.timer.every(POLL_SECONDS, self._poll)
        self._runtime.timer.every(REPORT_SECONDS, self._entry_links.send_reports)
        self._runtime.timer.every(ORPHAN_CHECK_SECONDS, self._entry_links.handle_orphans)
        self._runtime.log.write("started", zone=self._cfg.zone, pool=self._cfg.pool)
        await stop.wait()
        await self._drain(stop)
        server.stop_listening()
        for conn in list(self._entry_links.links):
            await conn.flush_and_close()
        await server.close()
        admin_server.stop()
        await self._runtime.timer.close()
        self._runtime.log.write("stopped")

    def _ready(self, stop: shutdown.ShutdownSignal) -> bool:
        return self._runtime.config.version > 0 and self._backend.reachable and not stop.requested

    async def _drain(self, stop: shutdown.ShutdownSignal) -> None:
        self._runner.leaving = True
        self._entry_links.send_reports()
        self._runner.admission.refuse_waiting(admission.Reason.LEAVING, "backend server is leaving")
        deadline = self._runtime.timer.now() + self._cfg.drain_seconds
        while self._busy() and self._runtime.timer.now() < deadline and not stop.forced:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        deadline = self._runtime.timer.now() + BILL_DRAIN_SECONDS
        while self._runner.bills and self._runtime.timer.now() < deadline and not stop.forced:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def _busy(self) -> bool:
        return bool(self._runner.runs)


def run(cfg: settings.SidecarSettings) -> None:
    """Run a sidecar until it is told to shut down."""

    async def main() -> None:
        await SidecarProcess(cfg).run()

    asyncio.run(main())
