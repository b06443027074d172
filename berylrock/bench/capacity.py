"""Measures how control costs grow, on at least three sizes each, for docs/CAPACITY.md."""

import asyncio
import contextlib
import functools
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import msgspec

from berylrock.core import data, errors, eventlog, message, metrics, timer, usage
from berylrock.daemons import runtime
from berylrock.daemons.entry import peers
from berylrock.loader import document, settings
from berylrock.ops import claims, configuration, strikes
from berylrock.wire import codec, link

__all__ = ["ScalingResult", "measure_all"]

PEER_COUNTS = (16, 64, 256)
TABLE_SIZES = (1000, 2000, 4000)
PEER_SECONDS = 6.0
REPORT_SECONDS = 1.0
SECRET = "capacity"
ADDRESS = "127.0.0.1"


class ScalingResult(NamedTuple):
    """A quantity at several sizes, and its growth for each unit of size.

    Attributes:
      name: What was measured.
      unit: Its unit.
      sizes: The sizes.
      values: The quantity at each.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def growth(self) -> float:
        """Growth for each unit of size, from the smallest to the largest."""
        return (self.values[-1] - self.values[0]) / (self.sizes[-1] - self.sizes[0])


class _NoObjects:
    """An object API that is never asked."""

    def __getattr__(self, name: str) -> Any:
        raise AttributeError(name)


def _make_runtime(name: str) -> runtime.Runtime:
    log = eventlog.EventLog(name)
    log.write = lambda *args, **fields: None  # type: ignore[method-assign]
    objects: Any = _NoObjects()
    return runtime.Runtime(
        log,
        metrics.Metrics("", name),
        timer.Timer(log.write),
        configuration.Configuration(log),
        objects,
        strikes.StrikeTable(),
    )


async def _serve_reports(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Behave as a sidecar that only reports."""
    try:
        welcome = message.Welcome("server", "incarnation")
        conn, _ = await link.accept(reader, writer, SECRET, welcome)
    except errors.BerylrockError:
        return
    report = message.Report(1, 3, 0, 1200, 8000, reachable=True, slots=5)

    async def read() -> None:
        async for _ in conn.messages():
            pass

    task = asyncio.ensure_future(read())
    while not task.done():
        conn.send(report)
        await asyncio.wait([task], timeout=REPORT_SECONDS)


@contextlib.asynccontextmanager
async def _sidecars() -> AsyncIterator[int]:
    server = await asyncio.start_server(_serve_reports, ADDRESS, 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


class PeerCost(NamedTuple):
    """What an entry process's connections to sidecars cost together with their other ends."""

    cpu_share: float
    bytes_per_second: float
    rss_bytes: int


async def _measure_peers(count: int) -> PeerCost:
    where = settings.PlatformSettings("", "")
    cfg = settings.EntrySettings(
        "entry", "a", ADDRESS, 0, 0, SECRET, "", where, subset_size=max(PEER_COUNTS)
    )
    parts = _make_runtime("entry")
    async with _sidecars() as port:
        before_rss = usage.read()["rss_bytes"]
        table = peers.PeerTable(cfg, parts, lambda peer, msg: None)
        table.update(
            tuple(
                data.Server(f"server-{index}", "a", "pool", ADDRESS, port) for index in range(count)
            )
        )
        parts.timer.every(peers.MAINTENANCE_SECONDS, table.maintain)
        while not all(peer.report.config_version for peer in table.peers.values()):
            await asyncio.sleep(0.05)
        sent = sum(peer.link_bytes for peer in table.peers.values())
        before, began = usage.read(), time.monotonic()
        await asyncio.sleep(PEER_SECONDS)
        seconds = time.monotonic() - began
        after = usage.read()
        moved = sum(peer.link_bytes for peer in table.peers.values()) - sent
        for peer in table.peers.values():
            peer.close()
        await parts.timer.close()
        await asyncio.sleep(REPORT_SECONDS)
    return PeerCost(
        (after["cpu_seconds"] - before["cpu_seconds"]) / seconds,
        moved / seconds,
        after["rss_bytes"] - before_rss,
    )


def _time(action: Callable[[], Any], times: int) -> float:
    began = time.process_time()
    for _ in range(times):
        action()
    return (time.process_time() - began) / times


def _make_document(organisations: int) -> str:
    models = [
        {
            "name": f"model-{index}",
            "pool": "pool",
            "versions": [{"name": "1", "cost_per_million": 1.0, "quality": {"default": 0.9}}],
        }
        for index in range(5)
    ]
    owners = [
        {
            "name": f"organisation-{index}",
            "key_sha256": [f"{index:064x}"],
            "allowed": ["*@*"],
            "quality": {"default": 0.8},
        }
        for index in range(organisations)
    ]
    doc = {
        "deployment": "capacity",
        "zones": [{"name": f"zone-{index}", "region": "r"} for index in range(18)],
        "pools": [{"name": "pool", "kind": "engine"}],
        "models": models,
        "organisations": owners,
    }
    return msgspec.json.encode(doc).decode()


def _measure_documents() -> list[ScalingResult]:
    times, sizes = [], []
    for count in TABLE_SIZES:
        text = _make_document(count)
        sizes.append(float(len(text)))
        times.append(_time(functools.partial(document.load, text, "capacity"), 3) * 1000)
    old = _make_document(TABLE_SIZES[0]).encode()
    new = old.replace(b'"priority"', b'"p"').replace(b"zone-17", b"zone-99")
    change = len(codec.encode(configuration.make_change(1, old, 2, new)))
    return [
        ScalingResult("size of a change of one word", "bytes", (0, 1), (0.0, float(change))),
        ScalingResult("reading a document, by organisations", "ms", TABLE_SIZES, tuple(times)),
        ScalingResult("a document's size, by organisations", "bytes", TABLE_SIZES, tuple(sizes)),
    ]


def _measure_strikes() -> ScalingResult:
    values = []
    for count in TABLE_SIZES:
        before = usage.read()["rss_bytes"]
        table = strikes.StrikeTable()
        table.add(
            [message.Strike(f"{index:064x}", f"fall-{index}") for index in range(count * 10)], 0.0
        )
        values.append(float(usage.read()["rss_bytes"] - before))
        del table
    return ScalingResult(
        "memory of the table of strikes, by ten strikes", "bytes", TABLE_SIZES, tuple(values)
    )


def _measure_messages() -> list[ScalingResult]:
    chunk = message.Chunk("a" * 24, 1, b"x" * 100)
    report = message.Report(1, 3, 0, 1200, 8000, reachable=True, slots=5)
    found = []
    for name, msg in (("chunk", chunk), ("report", report)):
        body = codec.encode(msg)
        for verb, action in (
            ("encoding", lambda msg=msg: codec.encode(msg)),
            ("decoding", lambda body=body: codec.decode(body)),
        ):
            counts = (2000, 4000, 8000)
            times = tuple(_time(action, count) * count * 1000 for count in counts)
            found.append(ScalingResult(f"{verb} a {name}", "ms", counts, times))
        found.append(ScalingResult(f"size of a {name}", "bytes", (0, 1), (0.0, float(len(body)))))
    claim = claims.Claim("t" * 24, "claimed", "r" * 24, "f" * 64, 0.0, 0.0)
    size = float(len(msgspec.json.encode(claim)))
    found.append(ScalingResult("size of a claim", "bytes", (0, 1), (0.0, size)))
    return found


def measure_all() -> list[ScalingResult]:
    """Measure all slopes."""
    costs = [asyncio.run(_measure_peers(count)) for count in PEER_COUNTS]
    both = "an entry process's connections and their other ends, by sidecars"
    return [
        ScalingResult(
            f"processor of {both}", "cores", PEER_COUNTS, tuple(c.cpu_share for c in costs)
        ),
        ScalingResult(
            f"bytes of {both}", "B/s", PEER_COUNTS, tuple(c.bytes_per_second for c in costs)
        ),
        ScalingResult(
            f"memory of {both}", "bytes", PEER_COUNTS, tuple(float(c.rss_bytes) for c in costs)
        ),
        *_measure_documents(),
        _measure_strikes(),
        *_measure_messages(),
    ]
