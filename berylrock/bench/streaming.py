"""Measures what one entry VM's share of the streams costs: 425 streams, 200 tokens, 45 ms apart."""

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
WARM_CHATS = 64
FIRST_TOKEN_SECONDS = 0.02


class StreamingResult(NamedTuple):
    """What was measured.

    Attributes:
      entry_us_per_token: Processor time of the entry process, in microseconds a token.
      sidecar_us_per_token: Processor time of a sidecar, in microseconds a token it passed.
      entry_cores: Share of a core that the entry process used while streaming.
      gap_p95_ms: Time between tokens at the caller.
      first_p95_ms: Time to the first token at the caller, less the engine's own.
      broken: Requests without a whole answer.
    """

    entry_us_per_token: float
    sidecar_us_per_token: float
    entry_cores: float
    gap_p95_ms: float
    first_p95_ms: float
    broken: int


def _cpu(running: fleet.Fleet, names: list[str]) -> float:
    return sum(running.status(name)["cpu_seconds"] for name in names)


def _jobs(url: str, name: str, count: int, tokens: int, rate: float) -> list[load.Job]:
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
        asyncio.run(load.Load().run(_jobs(url, "warm", WARM_CHATS, 2, 20.0)))
        sidecars = list(running.servers)
        before = _cpu(running, ["entry-1"]), _cpu(running, sidecars), time.monotonic()
        streams = load.Load()
        asyncio.run(streams.run(_jobs(url, "stream", STREAMS, TOKENS, ARRIVALS_PER_SECOND)))
        seconds = time.monotonic() - before[2]
        entry = _cpu(running, ["entry-1"]) - before[0]
        sidecar = _cpu(running, sidecars) - before[1]
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
