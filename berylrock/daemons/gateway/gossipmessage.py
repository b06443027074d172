"""Format of the datagrams between gateways, and how one is made to fit its largest size.

Scenario: a gateway of a large fleet has requests on a hundred engines while a rollout is under way
and engines crash. All of that does not fit a datagram. What decides on versions and crashing
requests is small and stays; of the load reports, the engines with the most work stay.
"""

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec

from berylrock.core import routing
from berylrock.ops import activesessions, crashlog, loadreport, soundness, views

__all__ = [
    "MAX_DATAGRAM_BYTES",
    "NO_TIMESTAMP",
    "SESSION_BYTES",
    "CrashGossipMessage",
    "CrashNews",
    "CrashedRun",
    "DutyGossipMessage",
    "GossipMessage",
    "HeldReport",
    "ReportedCrash",
    "RolloutGossipMessage",
    "SessionReport",
    "decode_crashes",
    "encode_crashes",
    "pack_session",
    "shrink",
    "unpack_sessions",
]

# A datagram that fits the usual link is not split on its way.
MAX_DATAGRAM_BYTES = 1400
FEW_LOADS, FEW_RESULTS = 12, 4
# Requests at crashes of engines that a message still names when most else has been removed.
FEW_CRASHED_RUNS = 8
# Different prompt parts that the reports of crashes in one message may name.
MAX_CRASH_PARTS = 250
MS_PER_S = 1000.0
NO_TIMESTAMP = views.SendTimestamp(0, 0)
# A session in a message: its digest, and the age of its last request in hundredths of a second.
_SESSION = struct.Struct(f"!{activesessions.DIGEST_BYTES}sH")
SESSION_BYTES = _SESSION.size
CS_PER_S, MAX_AGE_CS = 100.0, 65_535


class ReportedCrash(NamedTuple):
    """A request that an engine was running when it crashed, as earlier releases send it.

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
      crashes: What engines were running when they crashed, as earlier releases send it.
      blamed_parts: Decisions on what may crash engines, without their trials.
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
    blamed_parts: list[tuple[str, bool, int]] = []
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


class CrashedRun(NamedTuple):
    """A request that an engine was running when it crashed; the order of fields is the format.

    Attributes:
      request: First digits of the request's fingerprint.
      sent_ms: Milliseconds between sending it and the crash.
      parts: Shared parts of its prompt, as places in the list of all of them, one byte each.
    """

    request: str
    sent_ms: int
    parts: bytes


class CrashNews(NamedTuple):
    """One crash of an engine; the order of fields is the format.

    Attributes:
      engine: The engine's id.
      age_ms: Milliseconds since the crash.
      runs: What the engine was running.
    """

    engine: str
    age_ms: int
    runs: list[CrashedRun]


class CrashGossipMessage(RolloutGossipMessage, array_like=True):
    """The same while engines crash, or something is blamed for crashes.

    Attributes:
      trials: How often each of ``blamed_parts`` was tried, in the same order.
      crash_parts: The prompt parts in ``crash_news``.
      crash_news: What engines were running when they crashed.
      sound: What was answered completely since.
    """

    trials: list[int] = []
    crash_parts: list[str] = []
    crash_news: list[CrashNews] = []
    sound: list[soundness.SoundNews] = []


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
    if isinstance(message, CrashGossipMessage):
        _shrink_crashes(message, room)
    results = message.route_results
    while len(results) > FEW_RESULTS and not _fits(message, room):
        del results[max(FEW_RESULTS, len(results) // 2) :]
    _shrink_loads(message, 0, room)


def _shrink_crashes(message: CrashGossipMessage, room: int) -> None:
    """Drop the last runs of the crashes until the message fits."""
    count = sum(len(item.runs) for item in message.crash_news)
    while count > FEW_CRASHED_RUNS and not _fits(message, room):
        last = message.crash_news[-1]
        last.runs.pop()
        count -= 1
        if not last.runs:
            message.crash_news.pop()
        used = 1 + max((max(run.parts, default=-1) for run in _list_runs(message)), default=-1)
        del message.crash_parts[used:]


def _list_runs(message: CrashGossipMessage) -> list[CrashedRun]:
    return [run for item in message.crash_news for run in item.runs]


def _shrink_loads(message: GossipMessage, kept: int, room: int) -> None:
    """Halve the loads until the message fits; those with the most work come first."""
    count = len(message.packed_loads) // loadreport.ENTRY_BYTES
    while count > kept and not _fits(message, room):
        count = max(kept, count // 2)
        message.packed_loads = message.packed_loads[: count * loadreport.ENTRY_BYTES]


def _fits(message: GossipMessage, room: int) -> bool:
    return len(msgspec.msgpack.encode(message)) <= room


def encode_crashes(
    reports: Iterable[crashlog.CrashReport], now: float
) -> tuple[list[str], list[CrashNews]]:
    """Encode reports of crashes; times become ages, as clocks differ between VMs.

    Returns:
      The prompt parts and the crashes, for the fields of a message.
    """
    places: dict[str, int] = {}
    found: dict[tuple[str, float], CrashNews] = {}
    for item in reports:
        key = item.engine, item.at
        if key not in found:
            found[key] = CrashNews(item.engine, int((now - item.at) * MS_PER_S), [])
        for part in item.parts:
            if len(places) < MAX_CRASH_PARTS:
                places.setdefault(part, len(places))
        parts = bytes(places[part] for part in item.parts if part in places)
        sent_ms = int((item.at - item.sent_at) * MS_PER_S)
        found[key].runs.append(CrashedRun(item.request, sent_ms, parts))
    return list(places), list(found.values())


def decode_crashes(message: CrashGossipMessage, now: float) -> Iterator[crashlog.CrashReport]:
    """Decode the reports of crashes in a message; parts that it does not name are left out."""
    for item in message.crash_news:
        at = now - max(0, item.age_ms) / MS_PER_S
        for run in item.runs:
            parts = tuple(
                message.crash_parts[place]
                for place in run.parts
                if place < len(message.crash_parts)
            )
            sent_at = at - max(0, run.sent_ms) / MS_PER_S
            yield crashlog.CrashReport(item.engine, run.request, parts, at, sent_at)
