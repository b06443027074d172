"""Serves the connections from entry processes, each in a task of its own."""

import asyncio
import math
import secrets
from collections.abc import Callable

from berylrock.core import errors, message
from berylrock.daemons import runtime
from berylrock.daemons.sidecar import runner
from berylrock.loader import settings
from berylrock.ops import admission, fences, runs
from berylrock.wire import link

__all__ = ["EntryLinks"]

SILENCE_TIMEOUT_SECONDS = 4.0
ORPHAN_TIMEOUT_SECONDS = 10.0
HANDOVER_DELAY_SECONDS = 3.0
INCARNATION_BYTES = 8
MAX_SLOTS = 100_000
BILL_CONFIRMATION_SECONDS = 8.0
MAX_BILLS_OFFERED = 2000
# Attempts that are remembered after they have ended, or were refused before they began.
MAX_REMEMBERED = 20_000


class EntryLinks:
    """Serves the connections from entry processes and handles their frames.

    Attributes:
      links: The open connections, with the name of the entry process on each.
    """

    def __init__(
        self,
        cfg: settings.SidecarSettings,
        process_runtime: runtime.Runtime,
        attempt_runner: runner.Runner,
        fence: fences.FenceStore,
    ) -> None:
        self._cfg = cfg
        self._welcome = message.Welcome(cfg.name, secrets.token_hex(INCARNATION_BYTES))
        self._runner = attempt_runner
        self._backend = attempt_runner.backend
        self._config = process_runtime.config
        self._strikes = process_runtime.strikes
        self._warmup = attempt_runner.warmup
        self._fence = fence
        self._timer = process_runtime.timer
        self._log = process_runtime.log
        self._had_free_slots = False
        self._loaded: tuple[str, ...] = ()
        self._closed_bytes = 0
        self.links: dict[link.Link, str] = {}
        # Attempts that an entry process tried to reattach to before their Start arrived. Each was
        # refused as never started, so a Start that arrives late must not run it.
        self._never_started: dict[str, None] = {}
        # Attempts that may have run and of which nothing is kept any more, and when they ended so.
        self._forgotten: dict[str, float] = {}
        # That time of the latest one which is no longer among them.
        self._unknown_until = -math.inf
        # When the connection of an entry process was lost over which it last had asked for all its
        # attempts, by its name; and the connections over which it has.
        self._lost_at: dict[str, float] = {}
        self._settled: set[link.Link] = set()
        self._handlers: dict[type, Callable[..., None]] = {
            message.Start: self._handle_start,
            message.Window: self._handle_window,
            message.Attach: self._handle_attach,
            message.Cancel: self._handle_cancel,
            message.Heartbeat: self._handle_heartbeat,
            message.Config: self._handle_config,
            message.ConfigChange: self._handle_config_change,
            message.BillsStored: self._discard_stored_bills,
            message.BillsLeft: self._keep_bill_copies,
            message.Strikes: self._handle_strikes,
            message.Order: self._handle_order,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it is closed or lost."""
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
        if conn in self._settled or name not in self._lost_at:
            self._lost_at[name] = now
        self._settled.discard(conn)
        for run in self._runner.runs.values():
            if run.link is conn:
                run.detach(now)
        self._log.write("peer_lost", peer=name)

    @property
    def link_bytes(self) -> int:
        """Bytes sent and received on all connections from entry processes."""
        return self._closed_bytes + sum(conn.total_bytes for conn in list(self.links))

    def report(self) -> message.Report:
        """Return the state of the backend server, as sent to entry processes."""
        admitted = self._runner.admission
        return message.Report(
            config_version=self._config.version,
            running=len(admitted.running),
            queued=admitted.queued,
            held_tokens=admitted.held_tokens,
            capacity_tokens=admitted.capacity_tokens,
            cold=self._warmup.cold,
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
        """Close silent connections and send the current state to all entry processes."""
        now = self._timer.now()
        for conn in list(self.links):
            if now - conn.last_received_at > SILENCE_TIMEOUT_SECONDS:
                self._log.write("peer_silent", peer=self.links[conn])
                conn.close()
        self.send_strike_changes()
        self._send_loaded()
        self.broadcast(self.report())

    def _send_loaded(self) -> None:
        if self._backend.report.loaded != self._loaded:
            self._loaded = self._backend.report.loaded
            self.broadcast(message.Loaded(self._loaded))

    def send_strike_changes(self) -> None:
        """Send new and cleared strikes against requests to all entry processes."""
        strike_changes, self._runner.strike_changes = self._runner.strike_changes, []
        for item in strike_changes:
            self.broadcast(item)

    def _handle_start(self, conn: link.Link, msg: message.Start) -> None:
        if msg.attempt in self._never_started:
            refused = message.Refused(
                msg.attempt,
                admission.Reason.UNKNOWN_ATTEMPT,
                "attempt arrived too late",
                self._config.version,
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
        self.send_strike_changes()
        self._report_slots()

    def _report_slots(self) -> None:
        """Send a report at once if the server has become full or has free slots again."""
        has_free_slots = self._runner.admission.slots > 0
        if has_free_slots != self._had_free_slots:
            self._had_free_slots = has_free_slots
            self.broadcast(self.report())

    def _handle_window(self, _conn: link.Link, msg: message.Window) -> None:
        run = self._runner.runs.get(msg.attempt)
        if run is not None:
            run.acknowledge(msg.offset)

    def _handle_attach(self, conn: link.Link, msg: message.Attach) -> None:
        run = self._runner.runs.get(msg.attempt)
        if run is not None:
            run.attach(conn, msg.offset)
            return
        if msg.attempt in self._forgotten or self._may_have_forgotten(conn):
            detail = "run was cancelled while its entry process was away"
            conn.send(message.End(msg.attempt, msg.offset, message.Outcome.STALLED, detail=detail))
            return
        _remember(self._never_started, msg.attempt)
        reason = admission.Reason.UNKNOWN_ATTEMPT
        conn.send(
            message.Refused(msg.attempt, reason, "attempt was never started", self._config.version)
        )

    def _may_have_forgotten(self, conn: link.Link) -> bool:
        """Tell whether a run may be unknown that was forgotten since its connection was lost.

        Scenario: an entry process is suspended until thousands of other runs have ended here. What
        it then asks for may have run, though this process does not remember it.
        """
        if self._unknown_until == -math.inf:
            return False
        return self._unknown_until >= self._lost_at.get(self.links[conn], math.inf)

    def _handle_cancel(self, _conn: link.Link, msg: message.Cancel) -> None:
        run = self._runner.runs.get(msg.attempt)
        if run is None:
            return
        if run.end is None and not run.start.repeatable:
            # The call may have taken effect, so it runs to its end. Its answer is for any request
            # with the same idempotency key.
            return
        self._discard(run)

    def _discard(self, run: runs.Run) -> None:
        if not isinstance(run.end, message.Refused):
            self._forgotten[run.start.attempt] = self._timer.now()
            if len(self._forgotten) > MAX_REMEMBERED:
                self._unknown_until = self._forgotten.pop(next(iter(self._forgotten)))
        self._runner.runs.pop(run.start.attempt, None)
        run.discard()

    def _handle_heartbeat(self, conn: link.Link, msg: message.Heartbeat) -> None:
        # An entry process asks for its attempts before its first heartbeat.
        self._settled.add(conn)
        if msg.config_version > self._config.version:
            conn.send(message.Config(self._config.version, b""))
        elif msg.config_version < self._config.version:
            conn.send(self._config.message_for(msg.config_version))

    def _handle_config(self, conn: link.Link, msg: message.Config) -> None:
        if not msg.body:
            conn.send(self._config.message_for(msg.version))
        elif self._config.replace_if_newer(msg.version, msg.body, self.links[conn]):
            self.broadcast(self.report())

    def _handle_config_change(self, conn: link.Link, msg: message.ConfigChange) -> None:
        before = self._config.version
        if not self._config.replace_by_change(msg, self.links[conn]):
            conn.send(message.Config(0, b""))
        elif self._config.version != before:
            self.broadcast(self.report())

    def _discard_stored_bills(self, _conn: link.Link, msg: message.BillsStored) -> None:
        for attempt in msg.attempts:
            self._runner.bills.pop(attempt, None)

    def _keep_bill_copies(self, conn: link.Link, msg: message.BillsLeft) -> None:
        """Keep a copy of bills whose other copy was lost with its sidecar."""
        for bill in msg.bills:
            unstored = runner.UnstoredBill(bill, self.links[conn], self._timer.now())
            self._runner.bills.setdefault(bill.attempt, unstored)

    def _handle_strikes(self, _conn: link.Link, msg: message.Strikes) -> None:
        self._strikes.add(msg.strikes, self._timer.now())
        for fingerprint in msg.cleared:
            self._strikes.clear(fingerprint)
        self._runner.admission.admit_waiting()

    def _handle_order(self, conn: link.Link, msg: message.Order) -> None:
        self._timer.spawn(self._execute_order(conn, msg))

    async def _execute_order(self, conn: link.Link, msg: message.Order) -> None:
        detail = await self._fence.check(msg)
        accepted = False
        if not detail:
            accepted, detail = await self._backend.server.order(msg)  # type: ignore[union-attr]
            await self._backend.poll()
        name = "order_taken" if accepted else "order_refused"
        fields = {"verb": msg.verb, "target": msg.target, "fence": msg.fence, "detail": detail}
        self._log.write(name, **fields)
        self._send_loaded()
        conn.send(message.OrderDone(msg.order_id, accepted, detail))

    def handle_orphans(self) -> None:
        """Handle runs whose connection was lost, and bills that are not confirmed.

        A repeatable run is cancelled after ``ORPHAN_TIMEOUT_SECONDS``. The answer of a run that is
        not repeatable is handed over to a connected entry process once its connection has
        been lost for ``HANDOVER_DELAY_SECONDS``. Unconfirmed bills are handed over too.
        """
        now = self._timer.now()
        for run in list(self._runner.runs.values()):
            if run.link is not None:
                continue
            waited = now - run.detached_at
            if run.start.repeatable and waited > ORPHAN_TIMEOUT_SECONDS:
                self._discard(run)
            elif (
                not run.start.repeatable and run.end is not None and waited > HANDOVER_DELAY_SECONDS
            ):
                self._hand_over_outcome(run)
        self._hand_over_bills()

    def _hand_over_outcome(self, run: runs.Run) -> None:
        end = run.end
        if isinstance(end, message.Refused) or not run.start.claim:
            # A refusal is not handed over: only the claim's owner may release the idempotency key.
            self._discard(run)
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
        """Send bills to a connected entry process if their own may not store them.

        These are the bills whose entry process is not connected, and those that have not been
        confirmed as stored for ``BILL_CONFIRMATION_SECONDS``.
        """
        if not self.links:
            return
        now = self._timer.now()
        connected = set(self.links.values())
        unconfirmed = tuple(
            unstored.bill
            for unstored in self._runner.bills.values()
            if unstored.owner not in connected or now - unstored.since > BILL_CONFIRMATION_SECONDS
        )
        if unconfirmed:
            next(iter(self.links)).send(message.BillsLeft(unconfirmed[:MAX_BILLS_OFFERED]))


def _remember(known: dict[str, None], attempt: str) -> None:
    """Remember an attempt, and forget the oldest one if there are too many."""
    known[attempt] = None
    if len(known) > MAX_REMEMBERED:
        del known[next(iter(known))]
