"""Immutable types for duties: calls to the platform that one gateway at a time makes for all.

Times are in seconds unless a field says otherwise.
"""

from typing import NamedTuple

__all__ = ["Announcement", "Claim", "DutyRecord", "DutySettings", "Holder", "WindowCounts"]


class DutySettings(NamedTuple):
    """What the platform asks for, and its limits.

    Attributes:
      address: ``(address, port)`` of the service that takes the calls.
      reports_usage: Whether the usage of each organisation has to be reported.
      calls_per_s: Calls that the service takes in a second from all gateways together.
      lease_s: Time for which a gateway holds a duty without renewing it.
      window_s: Length of a window of the usage report. Windows are numbered from 1970.
      report_delay_s: Time after the end of a window within which its report is due.
    """

    address: tuple[str, int]
    reports_usage: bool
    calls_per_s: float
    lease_s: float
    window_s: float
    report_delay_s: float


class Holder(NamedTuple):
    """Process that holds a duty, or could.

    Attributes:
      gateway: Name of the gateway.
      process: Random number that the process chose at its start.
    """

    gateway: str
    process: int


class WindowCounts(NamedTuple):
    """Requests that began to run in one window, by organisation."""

    window: int
    counts: dict[str, int]


class DutyRecord(NamedTuple):
    """A duty as the store keeps it.

    Attributes:
      holder: The process that holds the duty.
      token: Fencing token. It grows whenever the holder changes.
      next_window: First window whose counts are not fixed yet.
      unreported: Windows whose counts are fixed and whose report has not been accepted yet, the
        oldest first.
      renewals: Number of renewals. The store gives no new revision to a write that changes nothing,
        and others tell by the revision that the duty was renewed.
    """

    holder: Holder
    token: int
    next_window: int
    unreported: tuple[WindowCounts, ...] = ()
    renewals: int = 0


class Claim(NamedTuple):
    """Right to make a call for a duty, as the call names it: the gateway and its token."""

    gateway: str
    token: int


class Announcement(NamedTuple):
    """What a gateway says of a duty's holder to the others.

    Attributes:
      gateway: Name of the gateway that holds the duty.
      token: Its fencing token.
      renewed_at: Time at which it last renewed the duty, on the event loop's clock.
      next_window: First window whose counts are not fixed yet.
      revision: The store's revision of the record that it wrote then.
    """

    gateway: str
    token: int
    renewed_at: float
    next_window: int
    revision: int = 0
