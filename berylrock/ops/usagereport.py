"""Decides which windows of usage are fixed, so that they can be reported.

Two reports of one window must never differ. The counts of a window are therefore written to the
store with the record of the duty before they are reported, and whoever holds the duty next repeats
exactly those. A window is fixed as soon as all gateways that live have sent their whole counts of
it, or a while before its report is due, whatever is missing then.

Scenario: the store is away for longer than a lease, and afterwards another gateway takes the duty
than the one to which the counts were sent. Windows are overdue by then, but the counts arrive only
once the others know of the new holder.
"""

from collections.abc import Collection
from typing import NamedTuple

from berylrock.core import duties
from berylrock.ops import usage

__all__ = ["MAX_UNREPORTED", "Moment", "fix_windows", "is_due", "without_reported"]

# Share of the time until a report is due for which counts are waited for.
COLLECT_SHARE = 0.5
# Counts that arrive within this time after a window's end are waited for in any case, in seconds.
MIN_COLLECT_S = 0.3
# Who has just taken the duty waits this long for counts that were sent to others, in seconds.
SETTLE_S = 1.5
# Windows that are fixed by one write, and that may wait for their reports.
MAX_FIXED, MAX_UNREPORTED = 4, 64


class Moment(NamedTuple):
    """The present, as one gateway sees it.

    Attributes:
      wall_s: Time in seconds since 1970.
      gateways: Names of the gateways that live, including this one.
      held_s: Time since this gateway took the duty, in seconds.
    """

    wall_s: float
    gateways: Collection[str]
    held_s: float


def _may_fix(
    window: int, ledger: usage.UsageLedger, cfg: duties.DutySettings, moment: Moment
) -> bool:
    since_end_s = moment.wall_s - (window + 1) * cfg.window_s
    if since_end_s < MIN_COLLECT_S:
        return False
    if ledger.is_complete(window, moment.gateways):
        return True
    return since_end_s >= COLLECT_SHARE * cfg.report_delay_s and moment.held_s >= SETTLE_S


def _first_window(
    record: duties.DutyRecord, ledger: usage.UsageLedger, cfg: duties.DutySettings, moment: Moment
) -> int:
    """Return the first window to fix; a record without one is new."""
    current = usage.find_window(moment.wall_s, cfg.window_s)
    first = ledger.first_window()
    return record.next_window or min(current, current if first is None else first)


def fix_windows(
    record: duties.DutyRecord, ledger: usage.UsageLedger, cfg: duties.DutySettings, moment: Moment
) -> duties.DutyRecord:
    """Return the record with the counts of the windows that can be fixed now.

    Args:
      record: The record of the duty.
      ledger: Counts of all gateways.
      cfg: What the platform asks for.
      moment: The present.

    Returns:
      The record; the same counts are never in it twice.
    """
    window = _first_window(record, ledger, cfg, moment)
    fixed = list(record.unreported)
    last = window + MAX_FIXED
    while window < last and len(fixed) < MAX_UNREPORTED and _may_fix(window, ledger, cfg, moment):
        fixed.append(duties.WindowCounts(window, ledger.sum(window)))
        window += 1
    return record._replace(next_window=window, unreported=tuple(fixed))


def without_reported(record: duties.DutyRecord, reported: Collection[int]) -> duties.DutyRecord:
    """Return the record without the windows whose reports were accepted."""
    kept = tuple(item for item in record.unreported if item.window not in reported)
    return record._replace(unreported=kept)


def is_due(counts: duties.WindowCounts, cfg: duties.DutySettings, wall_s: float) -> bool:
    """Tell whether the report of a window is late."""
    return wall_s > (counts.window + 1) * cfg.window_s + cfg.report_delay_s
