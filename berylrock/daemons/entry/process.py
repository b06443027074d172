"""Assembles the entry process and runs it until it is told to shut down."""

import asyncio
import random
import socket
from typing import Any

from aiohttp import web

from berylrock.adapters import interfaces, platform
from berylrock.core import errors, message, usage
from berylrock.daemons import admin, runtime, shutdown
from berylrock.daemons.entry import callers, context, controller, placement, serverlinks
from berylrock.loader import settings
from berylrock.ops import (
    budget,
    cascades,
    claims,
    configuration,
    fleetstate,
    ledger,
    sessions,
    versionhealth,
)
from berylrock.plugins import registry

__all__ = ["EntryProcess", "run"]

BACKLOG = 1024
SEND_BUFFER_BYTES = 32_768
WATCH_TIMEOUT_SECONDS = 2.0
ERROR_RETRY_SECONDS = 0.5
FETCH_DELAY_PER_PROCESS_SECONDS = 0.05
MAX_FETCH_DELAY_SECONDS = 1.0
RATINGS_SECONDS = 0.5
DRAIN_CHECK_SECONDS = 0.05
BILL_DRAIN_SECONDS = 5.0
BILL_COPY_SECONDS = 0.25


class EntryProcess:
    """An entry process with all its parts."""

    def __init__(self, cfg: settings.EntrySettings) -> None:
        self._cfg = cfg
        self._runtime = runtime.build(cfg.name, cfg.statsd, cfg.platform)
        shared = self._runtime
        plugins = registry.load((*registry.BUILT_IN, *cfg.plugins))
        self._vm_list: interfaces.VmList = platform.HttpVmList(cfg.platform.vms_url, shared.meter)
        self._ratings: interfaces.RatingService | None = None
        if cfg.platform.ratings_url:
            self._ratings = platform.HttpRatingService(cfg.platform.ratings_url, shared.meter)
        self._last_rating_sequence = 0
        table = serverlinks.ServerLinks(cfg, shared, self._handle_message)
        balancer: Any = plugins.find(cfg.balancer)
        policy: Any = plugins.find(cfg.policy)
        self._ctx = context.Context(
            cfg,
            shared,
            table,
            placement.Placer(shared, table, balancer),
            policy,
            budget.RetryBudget(),
            claims.ClaimStore(shared.objects, shared.timer, shared.log),
            ledger.Ledger(shared.objects, cfg.name, shared.meter),
            sessions.SessionTable(shared.objects),
            fleetstate.FleetState(shared.objects, cfg.platform.environment, shared.log),
            versionhealth.HealthMonitor(),
            cascades.Cascades(),
        )
        self._callers = callers.Callers(self._ctx, self._submit_answer)
        self._controller = controller.Controller(self._ctx)
        shared.config.subscribe(self._config_changed)
        self._ctx.fleet.subscribe(self._fleet_changed)

    def _config_changed(self) -> None:
        config = self._runtime.config
        for server_link in self._ctx.server_links.by_name.values():
            if server_link.report.config_version < config.version:
                server_link.send(config.message_for(server_link.report.config_version))

    def _fleet_changed(self) -> None:
        strikes = [
            message.Strike(fingerprint, crash)
            for fingerprint, crashes in self._ctx.fleet.record.refused.items()
            for crash in crashes
        ]
        self._propagate_strikes(message.Strikes(strikes=tuple(strikes)))

    def _handle_message(self, server_link: serverlinks.ServerLink, msg: message.Message) -> None:
        """Handle a sidecar's message that belongs to no attempt."""
        config = self._runtime.config
        if isinstance(msg, message.Report):
            if msg.config_version > config.version:
                server_link.send(message.Config(config.version, b""))
        elif isinstance(msg, message.Config):
            if msg.body:
                config.replace_if_newer(msg.version, msg.body, server_link.server.name)
            else:
                server_link.send(config.message_for(msg.version))
        elif isinstance(msg, message.ConfigChange):
            if not config.replace_by_change(msg, server_link.server.name):
                server_link.send(message.Config(0, b""))
        elif isinstance(msg, message.Strikes):
            self._propagate_strikes(msg)
        elif isinstance(msg, message.BillsLeft):
            add = self._ctx.ledger.add
            known = tuple(
                bill.attempt for bill in msg.bills if not add(bill, server_link.sidecar_id)
            )
            if known:
                server_link.send(message.BillsStored(known))
        elif isinstance(msg, message.OutcomeLeft):
            self._runtime.timer.spawn(self._store_outcome(server_link, msg))
        elif isinstance(msg, message.OrderDone):
            self._controller.handle_order_done(msg)

    async def _store_outcome(
        self, server_link: serverlinks.ServerLink, msg: message.OutcomeLeft
    ) -> None:
        if await self._callers.calls.store_abandoned_outcome(msg):
            server_link.send(message.Cancel(msg.attempt))

    def _propagate_strikes(self, msg: message.Strikes) -> None:
        """Broadcast new strikes and cleared requests, and store the requests now quarantined."""
        table = self._runtime.strikes
        new = table.add(msg.strikes, self._runtime.timer.now())
        cleared = tuple(item for item in msg.cleared if table.clear(item))
        if new or cleared:
            self._ctx.server_links.broadcast(message.Strikes(new, cleared))
        for strike in new:
            if table.is_quarantined(strike.fingerprint):
                self._runtime.log.write("request_quarantined", fingerprint=strike.fingerprint)
                self._runtime.timer.spawn(self._store_quarantined(strike.fingerprint))

    async def _store_quarantined(self, fingerprint: str) -> None:
        crashes = tuple(
            item.fall for item in self._runtime.strikes.all() if item.fingerprint == fingerprint
        )
        while not await self._ctx.fleet.add_quarantined_request(fingerprint, crashes):
            await asyncio.sleep(ERROR_RETRY_SECONDS)

    def _submit_answer(self, request_id: str, version: str, kind: str, text: str) -> None:
        if self._ratings is not None and random.random() < self._cfg.rated_share:
            self._runtime.timer.spawn(self._send_for_rating(request_id, version, kind, text))

    async def _send_for_rating(self, request_id: str, version: str, kind: str, text: str) -> None:
        assert self._ratings is not None
        try:
            await self._ratings.submit(request_id, version, kind, text)
        except errors.StoreUnavailable:
            # Only a sample of the answers is rated, so a lost one does not matter.
            return

    async def _read_ratings(self) -> None:
        doc = self._runtime.config.doc
        if self._ratings is None or doc is None or not self._controller.holds_lease:
            # Only the lease holder reads the ratings. It stores the versions that it finds bad in
            # the fleet record, which all entry processes watch.
            return
        try:
            rows = await self._ratings.ratings(self._last_rating_sequence)
        except errors.StoreUnavailable:
            return
        for row in rows:
            self._last_rating_sequence = max(self._last_rating_sequence, row.sequence)
            self._ctx.version_health.record_rating(doc, row.version, row.kind, row.rating)
        await self._report_bad_versions(doc)

    async def _report_bad_versions(self, doc: Any) -> None:
        for version_id, reason in self._ctx.version_health.find_bad().items():
            if version_id in self._ctx.fleet.record.bad:
                continue
            if versionhealth.find_version(doc, version_id) is None:
                continue
            if await self._ctx.fleet.add_bad_version(version_id, reason):
                self._runtime.log.write("version_found_bad", version=version_id, evidence=reason)

    async def _watch_config(self) -> None:
        config = self._runtime.config
        name = self._cfg.platform.environment
        while True:
            try:
                version = await self._runtime.objects.watch_version(
                    configuration.OBJECT_KIND, name, config.highest_seen, WATCH_TIMEOUT_SECONDS
                )
                if version is not None:
                    await self._fetch_config(version)
            except (errors.StoreUnavailable, errors.NotFound):
                await asyncio.sleep(ERROR_RETRY_SECONDS)

    async def _fetch_config(self, version: int) -> None:
        """Read the document from the object API unless a sidecar sends it first.

        Waits for a random time that grows with the number of entry processes, so that a large
        fleet does not read a large document all at once. The first document is read without delay.

        Args:
          version: The version that is known to be stored.
        """
        config = self._runtime.config
        if config.version:
            share = random.random() * self._ctx.server_links.entry_count()
            await asyncio.sleep(
                min(MAX_FETCH_DELAY_SECONDS, share * FETCH_DELAY_PER_PROCESS_SECONDS)
            )
        if config.highest_seen >= version:
            return
        kind, name = configuration.OBJECT_KIND, self._cfg.platform.environment
        stored = await self._runtime.objects.get(kind, name)
        config.replace_if_newer(stored.version, stored.body, "objects")

    async def _watch_fleet(self) -> None:
        while True:
            try:
                await self._ctx.fleet.watch(WATCH_TIMEOUT_SECONDS)
            except errors.StoreUnavailable:
                await asyncio.sleep(ERROR_RETRY_SECONDS)

    async def _refresh_servers(self) -> None:
        try:
            servers = await self._vm_list.servers()
        except errors.StoreUnavailable as exc:
            self._runtime.log.write("vm_list_unavailable", error=str(exc))
            return
        if servers is not None:
            self._ctx.server_links.update(servers)

    def _connected_sidecars(self) -> dict[str, serverlinks.ServerLink]:
        """Return the connected sidecars by the id of their process."""
        table = list(self._ctx.server_links.by_name.values())
        return {
            server_link.sidecar_id: server_link for server_link in table if server_link.connected
        }

    def _copy_bills(self) -> None:
        """Copy bills to a random connected sidecar if the sidecar with their other copy is lost."""
        connected = self._connected_sidecars()
        unreplicated = self._ctx.ledger.find_unreplicated(connected)
        if not unreplicated or not connected:
            return
        sidecar_id, server_link = random.choice(list(connected.items()))
        server_link.send(message.BillsLeft(unreplicated))
        for bill in unreplicated:
            self._ctx.ledger.add(bill, sidecar_id)

    async def _flush_bills(self) -> None:
        await self._ctx.ledger.flush(
            lambda attempts: self._ctx.server_links.broadcast(message.BillsStored(attempts))
        )

    def _status(self) -> dict[str, Any]:
        return {
            "role": "entry",
            "process": self._cfg.name,
            "zone": self._cfg.zone,
            "config_version": self._runtime.config.version,
            "fleet_version": self._ctx.fleet.version,
            "bad_versions": dict(self._ctx.fleet.record.bad),
            "progress": {name: p.percent for name, p in self._ctx.fleet.record.progress.items()},
            "quarantined": list(self._ctx.fleet.record.refused),
            "active": self._callers.active,
            "unstored_bills": len(self._ctx.ledger.pending),
            "single_bills": len(self._ctx.ledger.find_unreplicated(self._connected_sidecars())),
            "controller": self._controller.describe(),
            "servers": {
                name: {
                    "connected": server_link.connected,
                    "zone": server_link.server.zone,
                    "vm_leaving": server_link.server.leaving,
                    "loaded": list(server_link.loaded),
                }
                | server_link.report._asdict()
                for name, server_link in list(self._ctx.server_links.by_name.items())
            },
            "counts": dict(self._runtime.meter.counts),
            "link_bytes": sum(
                server_link.link_bytes
                for server_link in list(self._ctx.server_links.by_name.values())
            ),
            **usage.read(),
        }

    def _start_periodic_tasks(self) -> None:
        timer = self._runtime.timer
        timer.spawn(self._watch_config())
        timer.spawn(self._watch_fleet())
        timer.every(self._cfg.vms_seconds, self._refresh_servers)
        timer.every(serverlinks.MAINTENANCE_SECONDS, self._ctx.server_links.maintain)
        timer.every(self._cfg.bill_seconds, self._flush_bills)
        timer.every(BILL_COPY_SECONDS, self._copy_bills)
        timer.every(RATINGS_SECONDS, self._read_ratings)
        timer.every(controller.RECONCILE_SECONDS, self._controller.reconcile)

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then finish the running requests and store their bills."""
        stop = shutdown.ShutdownSignal(self._runtime.log)
        web_runner = web.AppRunner(self._callers.build(), access_log=None)
        await web_runner.setup()
        admin_server = admin.AdminServer(
            self._cfg, self._runtime.log, self._status, self._ready(stop)
        )
        admin_server.start()
        await self._refresh_servers()
        self._start_periodic_tasks()
        site = web.SockSite(web_runner, self._listen(), backlog=BACKLOG)
        await site.start()
        self._runtime.log.write("started", zone=self._cfg.zone, port=self._cfg.port)
        await stop.wait()
        await self._drain(stop, site)
        await web_runner.cleanup()
        admin_server.stop()
        await self._runtime.timer.close()
        self._runtime.log.write("stopped")

    def _listen(self) -> socket.socket:
        """Open the listening socket for callers.

        The socket's send buffer is limited, so that the kernel too buffers little for a slow
        reader.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.bind((self._cfg.address, self._cfg.port))
        return sock

    def _ready(self, stop: shutdown.ShutdownSignal) -> Any:
        return lambda: self._runtime.config.version > 0 and not stop.requested

    async def _drain(self, stop: shutdown.ShutdownSignal, site: web.SockSite) -> None:
        # The process is already reported as not ready. Wait, so that the load balancer stops
        # sending before the port closes.
        await asyncio.sleep(self._cfg.readiness_seconds)
        await site.stop()
        timer = self._runtime.timer
        deadline = timer.now() + self._cfg.drain_seconds
        while self._busy() and timer.now() < deadline and not stop.forced:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
        await self._controller.release()
        deadline = timer.now() + BILL_DRAIN_SECONDS
        while self._ctx.ledger.pending and timer.now() < deadline and not stop.forced:
            await self._flush_bills()
            await asyncio.sleep(DRAIN_CHECK_SECONDS)

    def _busy(self) -> bool:
        return self._callers.active > 0 or self._callers.calls.busy


def run(cfg: settings.EntrySettings) -> None:
    """Run an entry process until it is told to shut down."""

    async def main() -> None:
        await EntryProcess(cfg).run()

    asyncio.run(main())
