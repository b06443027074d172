"""Reports the usage of all gateways to the platform, at the one gateway that holds the duty.

The duty's record in the store is renewed by conditional writes. The same write fixes the counts of
the windows that have ended, so that holding the duty and fixing its counts cannot come apart.
"""

import asyncio
import math
import time

from berylrock.core import duties, errors
from berylrock.daemons.gateway import context
from berylrock.ops import dutybook, dutylease, freshness, usage, usagereport
from berylrock.platform import dutyobjects, names, provider

__all__ = ["UsageReporter"]

# Times as shares of the lease: between renewals, and the longest time for a call of the duty.
RENEW_SHARE, CALL_SHARE = 1.0 / 3.0, 0.25
CHECK_INTERVAL_S = 0.25
JITTER_SHARE = 0.2
# Who follows the holder reads the record once the last renewal is this many leases old. Whoever
# follows only after others waits for another lease each time that the number of those doubles.
SILENT_LEASES = 0.6


class UsageReporter:
    """Task that holds the duty if nobody else does, and reports what it has fixed."""

    def __init__(self, ctx: context.Context, book: dutybook.DutyBook) -> None:
        self._ctx = ctx
        self._book = book
        self._provider = provider.Provider(book.cfg.address)
        self._lease = dutylease.DutyLease(book.own, book.cfg.lease_s)
        self._reported: set[int] = set()
        self._next_write_at = -math.inf
        self._was_held = False
        self._taken_at = math.inf
        self._started_at = asyncio.get_running_loop().time()
        self._started_wall_s = time.time()

    async def run(self) -> None:
        """Work until the task is cancelled or the gateway stops; the lease then expires."""
        while not self._ctx.stopping:
            await self._step()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _step(self) -> None:
        clock = freshness.boottime_clock()
        if self._was_held and not self._lease.holds(clock):
            self._was_held = False
            self._taken_at = math.inf
            self._log_duty("duty_lost")
        if clock >= self._next_write_at and (self._lease.holds(clock) or self._is_holder_silent()):
            jitter = 1.0 + JITTER_SHARE * (self._ctx.rng.random() - 0.5)
            self._next_write_at = clock + self._book.cfg.lease_s * RENEW_SHARE * jitter
            await self._hold()
        await self._report()

    def _is_holder_silent(self) -> bool:
        """Tell whether it may be this gateway's turn to hold the duty."""
        book, now = self._book, asyncio.get_running_loop().time()
        known = book.announced
        if known is not None and known.gateway == book.own.gateway:
            return True
        renewed_at = known.renewed_at if known is not None else self._started_at
        rank = book.rank(self._ctx.gateways_heard(), now)
        return now - renewed_at > (SILENT_LEASES + rank.bit_length()) * book.cfg.lease_s

    async def _hold(self) -> None:
        """Renew or claim the duty, and fix windows with the same write."""
        try:
            if not self._lease.holds(freshness.boottime_clock()):
                await self._read()
            if self._lease.may_write(freshness.boottime_clock()):
                await self._write()
        except errors.Conflict:
            self._lease.lose()
        except (errors.StoreUnavailable, errors.NotFound) as exc:
            self._ctx.log.write("duty_not_written", duty=names.USAGE_DUTY, error=str(exc))

    async def _read(self) -> None:
        store = self._ctx.store
        found = await store.get(names.DUTIES_KIND, names.USAGE_DUTY)
        record = dutyobjects.decode_duty(found.spec) if found is not None else None
        revision = found.revision if found is not None else None
        self._lease.observe(record, revision, store.era, self._find_seen_at(revision))

    def _find_seen_at(self, revision: int | None) -> float:
        """Return since when a revision of the record is known to exist.

        Scenario: the holder dies while the store is away. The others know when it last renewed the
        duty, and need not wait for another lease after the store's return.
        """
        known, clock = self._book.announced, freshness.boottime_clock()
        if known is None or known.revision != revision:
            return clock
        return clock - max(0.0, asyncio.get_running_loop().time() - known.renewed_at)

    async def _write(self) -> None:
        sent_at = freshness.boottime_clock()
        record = self._make_record()
        spec, store = dutyobjects.encode_duty(record), self._ctx.store
        if self._lease.revision is None:
            written = await store.create(names.DUTIES_KIND, names.USAGE_DUTY, spec)
        else:
            written = await store.replace(
                names.DUTIES_KIND, names.USAGE_DUTY, spec, self._lease.revision
            )
        # Each write changes the record, so one without a later revision has another call's answer.
        if written is None or written.revision <= (self._lease.revision or 0):
            raise errors.StoreUnavailable("unreadable or old answer to a write; read again")
        self._lease.record_written(record, written.revision, sent_at)
        self._log_fixed(record)
        if not self._was_held and self._lease.holds(freshness.boottime_clock()):
            self._was_held = True
            self._taken_at = sent_at
            self._log_duty("duty_taken")
        self._announce(record, written.revision)

    def _make_record(self) -> duties.DutyRecord:
        book = self._book
        record = usagereport.without_reported(self._lease.next_record(), self._reported)
        record = record._replace(next_window=max(record.next_window, self._first_open_window()))
        gateways = (*self._ctx.gateways_heard(), book.own.gateway)
        held_s = max(0.0, freshness.boottime_clock() - self._taken_at)
        moment = usagereport.Moment(time.time(), gateways, held_s)
        return usagereport.fix_windows(record, book.ledger, book.cfg, moment)

    def _first_open_window(self) -> int:
        """Return the first window that nobody can have fixed; 0 if that is not known.

        After the store has come back from an older copy, its record may have gone back. If nobody
        was heard of since this process started, all may have been restarted, and what was fixed
        before is not known: no window that began before the start is fixed anew.
        """
        book = self._book
        if book.announced is not None:
            return book.announced.next_window
        if self._lease.record is None:
            return 0
        return usage.find_window(self._started_wall_s, book.cfg.window_s)

    def _announce(self, record: duties.DutyRecord, revision: int) -> None:
        now = asyncio.get_running_loop().time()
        own = self._book.own.gateway
        self._book.adopt(duties.Announcement(own, record.token, now, record.next_window, revision))
        oldest = record.next_window - usagereport.MAX_UNREPORTED
        self._reported = {item for item in self._reported if item >= oldest}

    def _log_fixed(self, record: duties.DutyRecord) -> None:
        for item in record.unreported:
            if self._book.announced is None or item.window >= self._book.announced.next_window:
                self._ctx.meter.count("usage_windows_fixed")
                self._ctx.log.write(
                    "usage_fixed",
                    window=item.window,
                    requests=sum(item.counts.values()),
                    organisations=len(item.counts),
                    token=record.token,
                )

    async def _report(self) -> None:
        """Report the fixed windows, the oldest first, while the lease lasts for each call."""
        limit_s = CALL_SHARE * self._book.cfg.lease_s
        record = self._lease.record
        for item in record.unreported if record is not None else ():
            if item.window in self._reported:
                continue
            if not self._lease.holds(freshness.boottime_clock(), limit_s):
                return
            assert record is not None
            if not await self._report_one(duties.Claim(record.holder.gateway, record.token), item):
                return
            await asyncio.sleep(1.0 / self._book.cfg.calls_per_s)

    async def _report_one(self, claim: duties.Claim, item: duties.WindowCounts) -> bool:
        """Report a window; returns whether to go on with the next one."""
        limit_s = CALL_SHARE * self._book.cfg.lease_s
        late = usagereport.is_due(item, self._book.cfg, time.time())
        outcome = "accepted"
        try:
            await self._provider.report_usage(claim, item, limit_s)
            self._reported.add(item.window)
        except errors.Conflict as exc:
            outcome = str(exc)
            self._lease.lose()
        except errors.StoreUnavailable as exc:
            outcome = str(exc)
        accepted = outcome == "accepted"
        self._ctx.meter.count("usage_reports" if accepted else "usage_reports_repeated")
        if late and accepted:
            self._ctx.meter.count("usage_reports_late")
        self._ctx.log.write(
            "usage_reported",
            window=item.window,
            requests=sum(item.counts.values()),
            token=claim.token,
            late=late,
            outcome=outcome,
        )
        return accepted

    def _log_duty(self, event: str) -> None:
        record = self._lease.record
        self._ctx.meter.count(event)
        self._ctx.log.write(
            event,
            duty=names.USAGE_DUTY,
            token=record.token if record is not None else 0,
            next_window=record.next_window if record is not None else 0,
        )

    def close(self) -> None:
        """Close the connections to the platform."""
        self._provider.close()
