"""Measures how the costs of control grow with size, for docs/CAPACITY.md.

Quantities that depend on a size are measured at three sizes at least.
"""

import asyncio
import contextlib
import functools
import time
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple

import msgspec

from berylrock.core import data, errors, eventlog, message, metrics, timer, usage
from berylrock.daemons import runtime
from berylrock.daemons.entry import serverlinks
from berylrock.loader import document, settings
from berylrock.ops import claims, configuration, strikes
from berylrock.wire import codec, link

__all__ = ["ScalingResult", "measure_all"]

PEER_COUNTS = (16, 64, 256)
TABLE_SIZES = (1000, 2000, 4000)
PEER_MEASURE_SECONDS = 6.0
REPORT_INTERVAL_SECONDS = 1.0
SECRET = "capacity"
ADDRESS = "127.0.0.1"


class ScalingResult(NamedTuple):
    """A quantity measured at several sizes.

    Attributes:
      name: Description of the quantity.
      unit: Unit of the quantity.
      sizes: Sizes at which it was measured.
      values: Value of the quantity at each size.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    @property
    def growth(self) -> float:
        """Mean growth per unit of size, from the smallest to the largest size."""
        return (self.values[-1] - self.values[0]) / (self.sizes[-1] - self.sizes[0])


class _UnusedObjectStore:
    """An object store that raises an error on every use, because the benchmark needs none."""

    def __getattr__(self, name: str) -> Any:
        raise AttributeError(name)


def _make_runtime(name: str) -> runtime.Runtime:
    log = eventlog.EventLog(name)
    log.write = lambda *args, **fields: None  # type: ignore[method-assign]
    objects: Any = _UnusedObjectStore()
    return runtime.Runtime(
        log,
        metrics.Metrics("", name),
        timer.Timer(log.write),
        configuration.Configuration(log),
        objects,
        strikes.StrikeTable(),
    )


async def _serve_reports(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Behave like a sidecar that only sends load reports."""
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
        await asyncio.wait([task], timeout=REPORT_INTERVAL_SECONDS)


@contextlib.asynccontextmanager
async def _sidecars() -> AsyncIterator[int]:
    server = await asyncio.start_server(_serve_reports, ADDRESS, 0)
    yield server.sockets[0].getsockname()[1]
    server.close()


class PeerCost(NamedTuple):
    """Cost of the connections of an entry process to sidecars, subject ends included."""

    cpu_share: float
    bytes_per_second: float
    rss_bytes: int


async def _measure_peers(count: int) -> PeerCost:
    where = settings.PlatformSettings("", "")
    cfg = settings.EntrySettings(
        "entry", "a", ADDRESS, 0, 0, SECRET, "", where, subset_size=max(PEER_COUNTS)
    )
    daemon_runtime = _make_runtime("entry")
    async with _sidecars() as port:
        before_rss = usage.read()["rss_bytes"]
        table = serverlinks.ServerLinks(cfg, daemon_runtime, lambda server_link, msg: None)
        table.update(
            tuple(
                data.Server(f"server-{index}", "a", "pool", ADDRESS, port) for index in range(count)
            )
        )
        daemon_runtime.timer.every(serverlinks.MAINTENANCE_SECONDS, table.maintain)
        while not all(server_link.report.config_version for server_link in table.by_name.values()):
            await asyncio.sleep(0.05)
        sent = sum(server_link.link_bytes for server_link in table.by_name.values())
        before, began = usage.read(), time.monotonic()
        await asyncio.sleep(PEER_MEASURE_SECONDS)
        seconds = time.monotonic() - began
        after = usage.read()
        transferred = sum(server_link.link_bytes for server_link in table.by_name.values()) - sent
        for server_link in table.by_name.values():
            server_link.close()
        await daemon_runtime.timer.close()
        await asyncio.sleep(REPORT_INTERVAL_SECONDS)
    return PeerCost(
        (after["cpu_seconds"] - before["cpu_seconds"]) / seconds,
        transferred / seconds,
        after["rss_bytes"] - before_rss,
    )


def _time_action(action: Callable[[], Any], times: int) -> float:
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
    organisation_rows = [
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
        "organisations": organisation_rows,
    }
    return msgspec.json.encode(doc).decode()


def _measure_documents() -> list[ScalingResult]:
    times, sizes = [], []
    for count in TABLE_SIZES:
        text = _make_document(count)
        sizes.append(float(len(text)))
        times.append(_time_action(functools.partial(document.load, text, "capacity"), 3) * 1000)
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
        for operation, action in (
            ("encoding", lambda msg=msg: codec.encode(msg)),
            ("decoding", lambda body=body: codec.decode(body)),
        ):
            counts = (2000, 4000, 8000)
            times = tuple(_time_action(action, count) * count * 1000 for count in counts)
            found.append(ScalingResult(f"{operation} a {name}", "ms", counts, times))
        found.append(ScalingResult(f"size of a {name}", "bytes", (0, 1), (0.0, float(len(body)))))
    claim = claims.Claim("t" * 24, "claimed", "r" * 24, "f" * 64, 0.0, 0.0)
    size = float(len(msgspec.json.encode(claim)))
    found.append(ScalingResult("size of a claim", "bytes", (0, 1), (0.0, size)))
    return found


def measure_all() -> list[ScalingResult]:
    """Measure all quantities."""
    costs = [asyncio.run(_measure_peers(count)) for count in PEER_COUNTS]
    subject = "an entry process's connections and their other ends, by sidecars"
    return [
        ScalingResult(
            f"processor of {subject}", "cores", PEER_COUNTS, tuple(c.cpu_share for c in costs)
        ),
        ScalingResult(
            f"bytes of {subject}", "B/s", PEER_COUNTS, tuple(c.bytes_per_second for c in costs)
        ),
        ScalingResult(
            f"memory of {subject}", "bytes", PEER_COUNTS, tuple(float(c.rss_bytes) for c in costs)
        ),
        *_measure_documents(),
        _measure_strikes(),
        *_measure_messages(),
    ]
