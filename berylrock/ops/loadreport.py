"""Packs the loads of engines into the few bytes that a datagram has for them.

Load pattern: dozens of gateways tell each other of dozens of engines four times a second, over
links of which the narrowest carry 5 Mbit/s. Written out, an engine takes over twenty bytes, most of
them its id, and the reports take more of the links than the answers to callers.

An engine's id becomes a digest of three bytes. Two engines with the same one share their loads;
among thousands of engines that happens about once. Work and silence are rounded down, and cut at
the largest number that fits.
"""

import functools
import hashlib
import struct
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["ENTRY_BYTES", "EngineLoad", "engine_key", "pack", "unpack"]

# Key in three bytes, running requests, work, silence.
_ENTRY = struct.Struct(">HBBHB")
ENTRY_BYTES = _ENTRY.size
KEY_BYTES, LOW_BITS = 3, 8
WORK_UNIT, QUIET_UNIT_S = 64.0, 0.016
MAX_BYTE, MAX_SHORT = 0xFF, 0xFFFF
MAX_CACHED_KEYS = 8192


class EngineLoad(NamedTuple):
    """Load of one engine, from one gateway or the sum of several.

    Attributes:
      key: The engine's key, from ``engine_key``.
      running: Number of running requests.
      work: Work of the requests that have not begun to answer, as in ``enginework``.
      heard_at: Time at which data last arrived from the engine, on the event loop's clock.
    """

    key: int
    running: int
    work: float
    heard_at: float = 0.0


@functools.lru_cache(maxsize=MAX_CACHED_KEYS)
def engine_key(engine_id: str) -> int:
    """Return the number that stands for an engine in reports, the same in every process."""
    digest = hashlib.blake2b(engine_id.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


def pack(loads: Iterable[EngineLoad], now: float) -> bytes:
    """Return loads as bytes, those with the most work first."""
    ordered = sorted(loads, key=lambda load: (-load.work, -load.running))
    return b"".join(
        _ENTRY.pack(
            load.key >> LOW_BITS,
            load.key & MAX_BYTE,
            min(MAX_BYTE, load.running),
            min(MAX_SHORT, int(load.work / WORK_UNIT)),
            min(MAX_BYTE, int(max(0.0, now - load.heard_at) / QUIET_UNIT_S)),
        )
        for load in ordered
    )


def unpack(data: bytes, now: float) -> tuple[EngineLoad, ...]:
    """Return the loads in the output of ``pack``; raises ``ValueError`` if it is cut."""
    if len(data) % ENTRY_BYTES:
        raise ValueError(f"loads of {len(data)} bytes; update the gateways")
    return tuple(
        EngineLoad((high << LOW_BITS) + low, running, work * WORK_UNIT, now - quiet * QUIET_UNIT_S)
        for high, low, running, work, quiet in _ENTRY.iter_unpack(data)
    )
