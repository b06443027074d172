"""Serves the entry processes that connect: one task for each connection."""

import asyncio
import secrets
from collections.abc import Callable

from berylrock.core import errors, message
from berylrock.daemons import kernel
from berylrock.daemons.sidecar import runner
from berylrock.loader import settings
from berylrock.ops import admission, fences, runs
from berylrock.wire import link

__all__ = ["Peers"]

SILENCE_SECONDS = 4.0
ORPHAN_SECONDS = 10.0
HANDOVER_SECONDS = 3.0
INCARNATION_BYTES = 8
MAX_SLOTS = 100_000
BILL_PATIENCE_SECONDS = 8.0
MAX_BILLS_OFFERED = 2000
KEPT_ATTEMPTS = 20_000


class Peers:
    """The connections from entry processes, and what is done for each frame.

    Attributes:
      links: The live connections and the names of the processes behind them.
    """

    def __init__(
        self,
        cfg: settings.SidecarSettings,
        parts: kernel.Kernel,
        work: runner.Runner,
        fence: fences.FenceKeeper,
    ) -> None:
        self._cfg = cfg
        self._welcome = message.Welcome(cfg.name, secrets.token_hex(INCARNATION_BYTES))
        self._runner = work
        self._backend = work.backend
        self._config = parts.config
        self._strikes = parts.strikes
        self._warmth = work.warmth
        self._fence = fence
        self._timer = parts.timer
        self._log = parts.log
        self._had_room = False
        self._loaded: tuple[str, ...] = ()
        self._closed_bytes = 0
        self.links: dict[link.Link, str] = {}
        # Attempts asked after before they came: a Start still under way must not run them.
        self._never: dict[str, None] = {}
        self._handlers: dict[type, Callable[..., None]] = {
            message.Start: self._start,
            message.Window: self._window,
            message.Attach: self._attach,
            message.Cancel: self._cancel,
            message.Heartbeat: self._heartbeat,
            message.Config: self._take_config,
            message.ConfigChange: self._take_change,
            message.BillsStored: self._forget_bills,
            message.BillsLeft: self._keep_bills,
            message.Strikes: self._take_strikes,
            message.Order: self._order,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it breaks."""
        try:
            conn, hello = await link.accept(reader, writer, self._cfg.secret, self._welcome)
        except errors.BerylrockError as exc:
            self._log.write("peer_refused", error=str(exc))
            return
        self.links[conn] = hello.name
        self._log.write("peer_connected", peer=hello.name)
        conn.send(message.Loaded(self._loaded))
        conn.send(self.report())
        conn.send(message.Strikes(strikes=self._strikes.all()))
        try:
            async for msg in conn.messages():
                self._handlers[type(msg)](conn, msg)
        except (errors.ProtocolError, KeyError) as exc:
            self._log.write("peer_broke_protocol", peer=hello.name, error=str(exc))
        finally:
            self._drop(conn)

    def _drop(self, conn: link.Link) -> None:
        name = self.links.pop(conn, "")
        conn.close()
        self._closed_bytes += conn.total_bytes
        now = self._timer.now()
        for run in self._runner.runs.values():
            if run.link is conn:
                run.detach(now)
        self._log.write("peer_lost", peer=name)

    @property
    def link_bytes(self) -> int:
        """Bytes sent and received on all connections from entry processes."""
        return self._closed_bytes + sum(conn.total_bytes for conn in list(self.links))

    def report(self) -> message.Report:
        """The state of the backend server, for entry processes."""
        admitted = self._runner.admission
        return message.Report(
            config_version=self._config.version,
            running=len(admitted.running),
            queued=admitted.queued,
            held_tokens=admitted.held_tokens,
            capacity_tokens=admitted.capacity_tokens,
            cold=self._warmth.cold,
            leaving=self._runner.leaving,
            reachable=self._backend.reachable,
            fence=self._fence.fence,
            entries=len(self.links),
            slots=min(admitted.slots, MAX_SLOTS),
        )

    def broadcast(self, msg: message.Message) -> None:
        """Send a message to all entry processes."""
        for conn in list(self.links):
            conn.send(msg)

    def send_reports(self) -> None:
        """Report to all; drop those that have gone silent."""
        now = self._timer.now()
        for conn in list(self.links):
            if now - conn.last_received_at > SILENCE_SECONDS:
                self._log.write("peer_silent", peer=self.links[conn])
                conn.close()
        self.send_news()
        self._send_loaded()
        self.broadcast(self.report())

    def _send_loaded(self) -> None:
        if self._backend.report.loaded != self._loaded:
            self._loaded = self._backend.report.loaded
            self.broadcast(message.Loaded(self._loaded))

    def send_news(self) -> None:
        """Pass on what has been learned about crashing requests."""
        news, self._runner.news = self._runner.news, []
        for item in news:
            self.broadcast(item)

    def _start(self, conn: link.Link, msg: message.Start) -> None:
        if msg.attempt in self._never:
            refused = message.Refused(
                msg.attempt, admission.Reason.UNKNOWN_ATTEMPT, "came too late", self._config.version
            )
            conn.send(refused)
            return
        if msg.attempt in self._runner.runs:
            return
        run = runs.Run(msg, self.links[conn], conn, self._timer.now())
        self._runner.runs[msg.attempt] = run
        run.task = self._timer.spawn(self._run(run))
        self._report_slots()

    async def _run(self, run: runs.Run) -> None:
        await self._runner.run(run)
        self.send_news()
        self._report_slots()

    def _report_slots(self) -> None:
        """Tell at once when the server has become full, or has room again."""
        has_room = self._runner.admission.slots > 0
        if has_room != self._had_room:
            self._had_room = has_room
            self.broadcast(self.report())

    def _window(self, _conn: link.Link, msg: message.Window) -> None:
        run = self._runner.runs.get(msg.attempt)
        if run is not None:
            run.acknowledge(msg.offset)

    def _attach(self, conn: link.Link, msg: message.Attach) -> None:
        run = self._runner.runs.get(msg.attempt)
        if run is not None:
            run.attach(conn, msg.offset)
            return
        self._never[msg.attempt] = None
        if len(self._never) > KEPT_ATTEMPTS:
            del self._never[next(iter(self._never))]
        reason = admission.Reason.UNKNOWN_ATTEMPT
        conn.send(message.Refused(msg.attempt, reason, "never started", self._config.version))

    def _cancel(self, _conn: link.Link, msg: message.Cancel) -> None:
        run = self._runner.runs.get(msg.attempt)
        if run is None:
            return
        if run.end is None and not run.start.repeatable:
            # It may have taken effect: it runs to its end, for whoever asks with its key.
            return
        self._forget(run)

    def _forget(self, run: runs.Run) -> None:
        self._runner.runs.pop(run.start.attempt, None)
        if run.task is not None:
            run.task.cancel()

    def _heartbeat(self, conn: link.Link, msg: message.Heartbeat) -> None:
        if msg.config_version > self._config.version:
            conn.send(message.Config(self._config.version, b""))
        elif msg.config_version < self._config.version:
            conn.send(self._config.message_for(msg.config_version))

    def _take_config(self, conn: link.Link, msg: message.Config) -> None:
        if not msg.body:
            conn.send(self._config.message_for(msg.version))
        elif self._config.offer(msg.version, msg.body, self.links[conn]):
            self.broadcast(self.report())

    def _take_change(self, conn: link.Link, msg: message.ConfigChange) -> None:
        before = self._config.version
        if not self._config.offer_change(msg, self.links[conn]):
            conn.send(message.Config(0, b""))
        elif self._config.version != before:
            self.broadcast(self.report())

    def _forget_bills(self, _conn: link.Link, msg: message.BillsStored) -> None:
        for attempt in msg.attempts:
            self._runner.bills.pop(attempt, None)

    def _keep_bills(self, conn: link.Link, msg: message.BillsLeft) -> None:
        """Hold a copy of bills whose first sidecar was lost."""
        for bill in msg.bills:
            unstored = runner.UnstoredBill(bill, self.links[conn], self._timer.now())
            self._runner.bills.setdefault(bill.attempt, unstored)

    def _take_strikes(self, _conn: link.Link, msg: message.Strikes) -> None:
        self._strikes.add(msg.strikes, self._timer.now())
        for fingerprint in msg.cleared:
            self._strikes.clear(fingerprint)
        self._runner.admission.admit()

    def _order(self, conn: link.Link, msg: message.Order) -> None:
        self._timer.spawn(self._execute(conn, msg))

    async def _execute(self, conn: link.Link, msg: message.Order) -> None:
        detail = await self._fence.check(msg)
        accepted = False
        if not detail:
            accepted, detail = await self._backend.server.order(msg)  # type: ignore[union-attr]
            await self._backend.poll()
        name = "order_taken" if accepted else "order_refused"
        facts = {"verb": msg.verb, "target": msg.target, "fence": msg.fence, "detail": detail}
        self._log.write(name, **facts)
        self._send_loaded()
        conn.send(message.OrderDone(msg.order_id, accepted, detail))

    def tend_orphans(self) -> None:
        """Stop runs that nobody attached to, and hand over what must not be lost."""
        now = self._timer.now()
        for run in list(self._runner.runs.values()):
            if run.link is not None:
                continue
            waited = now - run.detached_at
            if run.start.repeatable and waited > ORPHAN_SECONDS:
                self._forget(run)
            elif not run.start.repeatable and run.end is not None and waited > HANDOVER_SECONDS:
                self._hand_over_outcome(run)
        self._hand_over_bills()

    def _hand_over_outcome(self, run: runs.Run) -> None:
        end = run.end
        if isinstance(end, message.Refused) or not run.start.claim:
            # A refusal is not handed over: the claim's owner alone may free the key.
            self._forget(run)
            return
        if end is None or end.outcome != message.Outcome.DONE or not self.links:
            return
        conn = next(iter(self.links))
        conn.send(
            message.OutcomeLeft(
                run.start.attempt, run.start.claim, end.status, end.headers, run.body()
            )
        )

    def _hand_over_bills(self) -> None:
        """Offer bills whose entry process went away, or whose confirmation was lost."""
        if not self.links:
            return
        now = self._timer.now()
        present = set(self.links.values())
        left = tuple(
            unstored.bill
            for unstored in self._runner.bills.values()
            if unstored.owner not in present or now - unstored.since > BILL_PATIENCE_SECONDS
        )
        if left:
            next(iter(self.links)).send(message.BillsLeft(left[:MAX_BILLS_OFFERED]))
