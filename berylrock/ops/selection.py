"""Chooses the engine for a request: kept prompt parts, load, zone, evidence of failures.

Load pattern: many requests share long prompt parts. Rendezvous hashing sends a part to the same
engine from every gateway, so that the part is read once; an engine that is busier than the others
passes requests on to the next in the part's order.
"""

import hashlib
import random
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import engineset, loadview, pacing

__all__ = ["Criteria", "affinity_key", "choose", "estimate_work"]

OUTPUT_WEIGHT = 10.0
# A request on another engine than its part's first costs reading the part again; it goes there
# only if the first one holds this many tokens of work more.
AFFINITY_WORK = 12_000.0
SMALL_WORK = 600.0
OTHER_ZONE_WORK = 300.0
FAILING_WORK = 60_000.0
SLOW_SHARE = 2.0


class Criteria(NamedTuple):
    """What a choice goes by.

    Attributes:
      zone: The gateway's own zone.
      key: The prompt part to stay with; empty if there is none.
      shares: What this gateway may send an engine within a second.
      max_running: Requests of this gateway that one engine may hold.
      tried: Engines that this request was sent to before.
      now: The loop's clock.
    """

    zone: str
    key: str
    shares: pacing.RateShares
    max_running: int
    tried: frozenset[str]
    now: float


def estimate_work(head: routing.RequestHead) -> float:
    """A request's size in tokens, each token of output counted as several of input."""
    return float(head.prompt_tokens + OUTPUT_WEIGHT * head.output_tokens) or 1.0


def affinity_key(head: routing.RequestHead, model: str) -> str:
    """The last prompt part that other requests share, for the model that is to run."""
    if len(head.parts) < 2:
        return ""
    return f"{model}\0{head.parts[-2].id}"


def _rank(key: str, engine_id: str) -> int:
    digest = hashlib.blake2b(f"{key}\0{engine_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def choose(
    states: Iterable[engineset.EngineState],
    pick: Criteria,
    rng: random.Random,
    loads: loadview.LoadView | None = None,
) -> engineset.EngineState | None:
    """Choose an engine.

    Args:
      states: Engines that may run the request.
      pick: What to go by.
      rng: Breaks ties, so that gateways do not move in step.
      loads: What the other gateways have running, if that is known.

    Returns:
      The engine, or None if none may take the request now.
    """
    able = [
        item
        for item in states
        if item.engine.id not in pick.tried
        and item.send_window.allows(
            pick.shares.limit(item.engine.id, item.cold_until > pick.now), pick.now
        )
        and item.running < pick.max_running
    ]
    # If every engine has failed of late, one that failed is better than none.
    able = [item for item in able if item.health.usable(pick.now)] or able
    if not able:
        return None
    favourite = ""
    if pick.key:
        favourite = max(able, key=lambda item: _rank(pick.key, item.engine.id)).engine.id
    # Half of the engines may be slow, so what is usual is read off the quick ones.
    typical = sorted(item.health.first_answer_s for item in able)[len(able) // 4]

    def cost(item: engineset.EngineState) -> float:
        work = item.work + item.running * SMALL_WORK
        if loads is not None:
            others = loads.peer_load(item.engine.id, pick.now)
            work += others.work + others.running * SMALL_WORK
        if pick.key and item.engine.id != favourite:
            work += AFFINITY_WORK
        if item.engine.zone != pick.zone:
            work += OTHER_ZONE_WORK
        if typical > 0.0 and item.health.first_answer_s > SLOW_SHARE * typical:
            work += AFFINITY_WORK * item.health.first_answer_s / typical
        return work + FAILING_WORK * item.health.failing_share() + rng.random()

    return min(able, key=cost)
