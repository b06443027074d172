"""Measures the cost of one entry VM's share of the streams.

The load is 425 streams of 200 tokens each, with 45 ms between tokens.
"""

import asyncio
import pathlib
import time
from typing import NamedTuple

from berylrock.bench import load
from berylrock.standins import fleet

__all__ = ["StreamingResult", "measure"]

STREAMS = 425
TOKENS = 200
TOKEN_SECONDS = 0.045
ARRIVALS_PER_SECOND = 250.0
ENGINES = 12
WARMUP_CHATS = 64
FIRST_TOKEN_SECONDS = 0.02


class StreamingResult(NamedTuple):
    """The measured costs and latencies.

    Attributes:
      entry_us_per_token: Processor time of the entry process, in microseconds per token.
      sidecar_us_per_token: Processor time of the sidecars, in microseconds per forwarded token.
      entry_cores: Processor cores that the entry process used while streaming.
      gap_p95_ms: 95th percentile of the time between tokens at the caller.
      first_p95_ms: 95th percentile of the time to the first token at the caller, less that of
        the engine.
      broken: Number of requests without a complete answer.
    """

    entry_us_per_token: float
    sidecar_us_per_token: float
    entry_cores: float
    gap_p95_ms: float
    first_p95_ms: float
    broken: int


def _sum_cpu_seconds(running: fleet.Fleet, names: list[str]) -> float:
    return sum(running.status(name)["cpu_seconds"] for name in names)


def _make_jobs(url: str, name: str, count: int, tokens: int, rate: float) -> list[load.Job]:
    key = "ferrante-key-infusion"
    return [
        load.Job(index / rate, url, key, f"{name}-{index}", f"dossier {name} {index}", tokens)
        for index in range(count)
    ]


def measure(root: pathlib.Path) -> StreamingResult:
    """Run the load against one entry process and its sidecars."""
    options = fleet.FleetOptions(
        "examples/ferrante.jsonc",
        root,
        engines=ENGINES,
        services=0,
        entries=1,
        engine={
            "token_seconds": TOKEN_SECONDS,
            "first_token_seconds": FIRST_TOKEN_SECONDS,
            "capacity_tokens": 200_000,
            "cold_answers": 0,
        },
    )
    with fleet.Fleet(options) as running:
        url = running.caller_url("entry-1")
        asyncio.run(load.Load().run(_make_jobs(url, "warm", WARMUP_CHATS, 2, 20.0)))
        sidecars = list(running.servers)
        before = (
            _sum_cpu_seconds(running, ["entry-1"]),
            _sum_cpu_seconds(running, sidecars),
            time.monotonic(),
        )
        streams = load.Load()
        asyncio.run(streams.run(_make_jobs(url, "stream", STREAMS, TOKENS, ARRIVALS_PER_SECOND)))
        seconds = time.monotonic() - before[2]
        entry = _sum_cpu_seconds(running, ["entry-1"]) - before[0]
        sidecar = _sum_cpu_seconds(running, sidecars) - before[1]
    tokens = STREAMS * TOKENS
    broken = sum(item.outcome != "done" for item in streams.results)
    return StreamingResult(
        entry / tokens * 1e6,
        sidecar / tokens * 1e6,
        entry / seconds,
        load.percentile_ms(streams.latencies.gap, 95),
        load.percentile_ms(streams.latencies.first, 95) - FIRST_TOKEN_SECONDS * 1000,
        broken,
    )
