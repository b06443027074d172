"""Format of the datagrams between gateways, and how one is made to fit its largest size.

Scenario: a gateway of a large fleet has requests on a hundred engines while a rollout is under way
and engines crash. All of that does not fit a datagram. What decides on versions and crashing
requests is small and stays; of the load reports, the engines with the most work stay.
"""

import struct
from typing import Any, NamedTuple

import msgspec

from berylrock.core import routing
from berylrock.ops import activesessions, crashcases, loadreport, views

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "NO_TIMESTAMP",
    "SESSION_BYTES",
    "DutyGossipMessage",
    "GossipMessage",
    "HeldReport",
    "ReportedCrash",
    "RolloutGossipMessage",
    "SessionReport",
    "decode_crash",
    "encode_crash",
    "pack_session",
    "shrink",
    "unpack_sessions",
]

# A datagram that fits the usual link is not split on its way.
MAX_DATAGRAM_BYTES = 1400
FEW_LOADS, FEW_CRASHES, FEW_RESULTS = 12, 2, 4
MS_PER_S = 1000.0
NO_TIMESTAMP = views.SendTimestamp(0, 0)
# A session in a message: its digest, and the age of its last request in hundredths of a second.
_SESSION = struct.Struct(f"!{activesessions.DIGEST_BYTES}sH")
SESSION_BYTES = _SESSION.size
CS_PER_S, MAX_AGE_CS = 100.0, 65_535


class ReportedCrash(NamedTuple):
    """A request that an engine was running when it crashed; the order of fields is the format.

    Attributes:
      engine: The engine's id.
      request: The first digits of the request's fingerprint.
      parts: Prompt parts that may be to blame.
      age_ms: Milliseconds since the crash.
      sent_ms: Milliseconds since the request was sent.
    """

    engine: str
    request: str
    parts: tuple[str, ...]
    age_ms: int
    sent_ms: int


class GossipMessage(msgspec.Struct, array_like=True):
    """State of one gateway, sent to the others. The order of the fields is the wire format.

    Attributes:
      gateway: Name of the sender.
      loads: Loads of engines, as earlier releases send them.
      spent: Service, requests and retries in the window of the retry budget.
      results: Service, version and fields of the evidence, as earlier releases send it.
      vetoes: Service and version of the versions that were found bad.
      mark: When this message was sent.
      repeated: The last ``mark`` that the sender got from the receiver.
      words: Digest and age of the sender's view of each watched kind, in order of the kinds' names.
      route_results: Service, version, route and fields of the evidence, for rollouts in progress.
      crashes: What engines were running when they crashed, the newest first.
      blamed_parts: Decisions on prompt parts that may crash engines.
      leaving: Ids of engines that have told the sender that they leave.
      limits: Engine id, requests per second from all gateways together, and milliseconds since an
        engine named this limit to any gateway; infinite for an engine that names none any more.
      packed_loads: Loads of the engines that have running requests, from ``loadreport.pack``.
    """

    gateway: str
    loads: list[tuple[str, int, int, int]]
    spent: list[tuple[str, int, int]]
    results: list[tuple[str, str, tuple[int, ...]]] = []
    vetoes: list[tuple[str, str]] = []
    mark: views.SendTimestamp = NO_TIMESTAMP
    repeated: views.SendTimestamp = NO_TIMESTAMP
    words: list[views.ViewReport] = []
    route_results: list[tuple[str, str, str, tuple[int, ...]]] = []
    crashes: list[ReportedCrash] = []
    blamed_parts: list[routing.BlamedPart] = []
    leaving: list[str] = []
    limits: list[tuple[str, float, int]] = []
    packed_loads: bytes = b""


class DutyGossipMessage(GossipMessage, array_like=True):
    """The same where the platform asks for duties.

    Attributes:
      duty: Name of the gateway that reports usage, its token, milliseconds since it renewed that
        duty, the first window that is still open, and the revision of its record; None if none is
        known.
    """

    duty: tuple[str, int, int, int, int] | None = None


class HeldReport(NamedTuple):
    """The sessions that stay on the old version in a rollout; the order of fields is the format.

    Attributes:
      service: The service.
      target: The version that the rollout introduces.
      size: Number of the sessions that the sender knows of.
      checksum: Checksum of these.
      digests: Some of them that the receiver may lack, one after the other.
    """

    service: str
    target: str
    size: int
    checksum: int
    digests: bytes = b""


class SessionReport(NamedTuple):
    """Active sessions of a gateway that stops; the order of fields is the format.

    Attributes:
      service: The service.
      sessions: For each session its digest, and how long ago its last request ended, from
        ``pack_session``.
    """

    service: str
    sessions: bytes


class RolloutGossipMessage(DutyGossipMessage, array_like=True):
    """The same while there are rollouts, or sessions to hand over.

    Attributes:
      rollouts: The rollouts that the sender knows of, the latest first.
      held: The sessions that stay on the old version, by rollout.
      sessions: Active sessions that the sender hands over, as it stops.
    """

    rollouts: list[routing.Rollout] = []
    held: list[HeldReport] = []
    sessions: list[SessionReport] = []


def pack_session(digest: bytes, age_s: float) -> bytes:
    """Pack a session's digest and the age of its last request; see ``unpack_sessions``."""
    return _SESSION.pack(digest, min(MAX_AGE_CS, int(age_s * CS_PER_S)))


def unpack_sessions(packed: bytes) -> list[tuple[bytes, float]]:
    """Return digests and ages in seconds; what is left of a cut entry is dropped."""
    whole = len(packed) - len(packed) % _SESSION.size
    return [(digest, age / CS_PER_S) for digest, age in _SESSION.iter_unpack(packed[:whole])]


def shrink(message: GossipMessage, reserved_bytes: int = 0) -> None:
    """Remove what matters least until a message fits a datagram.

    Of the load reports those of the engines with the most work stay, of the crashes the newest, and
    of the routes those with the most answers; a few of each stay as long as possible.

    Args:
      message: The message to send; its lists are shortened in place.
      reserved_bytes: Bytes to leave free for what differs by receiver.
    """
    room = MAX_DATAGRAM_BYTES - reserved_bytes
    if _fits(message, room):
        return
    _shrink_loads(message, FEW_LOADS, room)
    lists: tuple[tuple[list[Any], int], ...] = (
        (message.crashes, FEW_CRASHES),
        (message.route_results, FEW_RESULTS),
    )
    for items, kept in lists:
        while len(items) > kept and not _fits(message, room):
            del items[max(kept, len(items) // 2) :]
    _shrink_loads(message, 0, room)


def _shrink_loads(message: GossipMessage, kept: int, room: int) -> None:
    """Halve the loads until the message fits; those with the most work come first."""
    count = len(message.packed_loads) // loadreport.ENTRY_BYTES
    while count > kept and not _fits(message, room):
        count = max(kept, count // 2)
        message.packed_loads = message.packed_loads[: count * loadreport.ENTRY_BYTES]


def _fits(message: GossipMessage, room: int) -> bool:
    return len(msgspec.msgpack.encode(message)) <= room


def encode_crash(report: crashcases.CrashReport, now: float) -> ReportedCrash:
    """Encode a report of a crash; its times become ages, as clocks differ between VMs."""
    age_ms, sent_ms = int((now - report.at) * MS_PER_S), int((now - report.sent_at) * MS_PER_S)
    return ReportedCrash(report.engine, report.request, report.parts, age_ms, sent_ms)


def decode_crash(item: ReportedCrash, now: float) -> crashcases.CrashReport:
    """Decode the output of ``encode_crash``."""
    at, sent_at = now - item.age_ms / MS_PER_S, now - item.sent_ms / MS_PER_S
    return crashcases.CrashReport(item.engine, item.request, item.parts, at, sent_at)
