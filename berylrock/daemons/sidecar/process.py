"""Assembles the sidecar and runs it until it is told to stop."""

import asyncio

from berylrock.adapters import backend as backend_adapters
from berylrock.core import data, usage
from berylrock.daemons import admin, kernel, stopping
from berylrock.daemons.sidecar import backend, peers, runner
from berylrock.loader import settings
from berylrock.ops import admission, fences, warmth

__all__ = ["Sidecar", "run"]

REPORT_SECONDS = 1.0
POLL_SECONDS = 0.25
ORPHAN_CHECK_SECONDS = 1.0
DRAIN_CHECK_SECONDS = 0.05
BILL_PATIENCE_SECONDS = 5.0
UNBOUNDED_TOKENS = 2**31


class Sidecar:
    """All parts of a sidecar."""

    def __init__(self, cfg: settings.SidecarSettings) -> None:
        self._cfg = cfg
        self._parts = kernel.build(cfg.name, cfg.statsd, cfg.platform)
        self._parts.config.subscribe(self._config_changed)
        self._warmth = warmth.Warmth()
        self._backend = backend.Backend(
            backend_adapters.HttpEngine(cfg.backend_url), self._warmth, self._parts.log
        )
        self._runner = runner.Runner(cfg, self._parts, self._backend)
        fence = fences.FenceKeeper(self._parts.objects, cfg.name)
        self._peers = peers.Peers(cfg, self._parts, self._runner, fence)

    def _config_changed(self) -> None:
        doc = self._parts.config.doc
        assert doc is not None
        for pool in doc.pools:
            if pool.name == self._cfg.pool:
                self._use_pool(pool)
        self._runner.admission.hand_back(doc, self._cfg.pool, self._cfg.zone)
        self._runner.admission.admit()

    def _use_pool(self, pool: data.Pool) -> None:
        self._warmth.pool = pool
        if pool.kind == "service":
            if isinstance(self._backend.server, backend_adapters.HttpEngine):
                self._backend.server = backend_adapters.HttpPlainServer(self._cfg.backend_url)
            self._runner.admission.capacity_tokens = UNBOUNDED_TOKENS

    async def _poll(self) -> None:
        if self._warmth.pool is None:
            # Until the document tells what the server is, it is not spoken to.
            return
        changed = await self._backend.poll()
        if self._backend.report.capacity_tokens:
            self._runner.admission.capacity_tokens = self._backend.report.capacity_tokens
        if not self._backend.reachable:
            detail = "backend server is down"
            self._runner.admission.hand_back_all(admission.Reason.UNREACHABLE, detail)
        self._runner.admission.admit()
        if changed:
            self._peers.send_reports()

    def _status(self) -> dict[str, object]:
        return {
            "role": "sidecar",
            "process": self._cfg.name,
            "zone": self._cfg.zone,
            "pool": self._cfg.pool,
            "config_version": self._parts.config.version,
            "report": self._peers.report()._asdict(),
            "loaded": list(self._backend.report.loaded),
            "peers": sorted(self._peers.links.values()),
            "unstored_bills": len(self._runner.bills),
            "quarantined": list(self._parts.strikes.refused()),
            "counts": dict(self._parts.meter.counts),
            "link_bytes": self._peers.link_bytes,
            **usage.read(),
        }

    async def run(self) -> None:
        """Serve until SIGTERM, then finish all runs and hand over what is left."""
        stop = stopping.Stop(self._parts.log)
        server = await asyncio.start_server(
            self._peers.serve, self._cfg.address, self._cfg.port, limit=2**18
        )
        port = admin.AdminServer(
            self._cfg, self._parts.log, self._status, lambda: self._ready(stop)
        )
        port.start()
        self._parts.timer.every(POLL_SECONDS, self._poll)
        self._parts.timer.every(REPORT_SECONDS, self._peers.send_reports)
        self._parts.timer.every(ORPHAN_CHECK_SECONDS, self._peers.tend_orphans)
        self._parts.log.write("started", zone=self._cfg.zone, pool=self._cfg.pool)
        await stop.wait()
        await self._drain(stop)
        server.close()
        for conn in list(self._peers.links):
            await conn.flush_and_close()
        port.stop()
        await self._parts.timer.close()
        self._parts.log.write("stopped")

    def _ready(self, stop: stopping.Stop) -> bool:
        return self._parts.config.version > 0 and self._backend.reachable and not stop.requested

    async def _drain(self, stop: stopping.Stop) -> None:
        self._runner.leaving = True
        self._peers.send_reports()
        self._runner.admission.hand_back_all(admission.Reason.LEAVING, "backend server is leaving")
        deadline = self._parts.timer.now() + self._cfg.drain_seconds
        while self._busy() and self._parts.timer.now() < deadline and not stop.forced:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        deadline = self._parts.timer.now() + BILL_PATIENCE_SECONDS
        while self._runner.bills and self._parts.timer.now() < deadline and not stop.forced:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def _busy(self) -> bool:
        return bool(self._runner.runs)


def run(cfg: settings.SidecarSettings) -> None:
    """Run a sidecar until it is told to stop."""

    async def main() -> None:
        await Sidecar(cfg).run()

    asyncio.run(main())
