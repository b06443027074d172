"""Chooses the engine for a request by prompt cache affinity, load, zone and recent failures.

Scenario: many requests share long prompt parts. Every gateway sends requests with the same
part to the same engine by rendezvous hashing, so that the part is processed only once. If that
engine is busier by more than the part saves, another engine is chosen.

Scenario: a few prompts are very long. The cost of an engine is the time that the request waits
there for the prompts before it, and the time for which its own prompt holds up the streams that run
there. Long prompts thus go where few streams run, and short requests go elsewhere.
"""

import functools
import hashlib
import random
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import enginelimits, enginestate, enginework, loadview, pacing

__all__ = ["Criteria", "affinity_key", "choose"]

MAX_CACHED_DIGESTS = 8192
# Engines that are compared for a request, beside the one that keeps its prompt part.
COMPARED = 3
# The following are in prompt tokens of the service's dearest model.
# What a running request adds to the time of the next one, by sharing each step with it.
REQUEST_OVERHEAD = 600.0
# A request that finds all slots taken waits for the end of another one.
QUEUE_PENALTY = 20_000.0
OTHER_ZONE_PENALTY = 300.0
SLOW_PENALTY = 12_000.0
FAILURE_PENALTY = 60_000.0
# An engine that fails requests looks idle. It counts as having this many times its slots running.
FAILING_SLOTS_FACTOR = 2.0
# An engine that takes more than this many times the typical time counts as slow. It costs
# ``SLOW_PENALTY``, multiplied by the ratio of its time to the typical time.
SLOW_ENGINE_RATIO = 2.0


class Criteria(NamedTuple):
    """Criteria for the choice of an engine.

    Attributes:
      zone: The gateway's own zone.
      key: Affinity key of the request's prompt part; empty if there is none.
      work: Estimated work of the request.
      shares: Limits on the requests that this gateway may send to an engine within a second.
      max_running: Maximum number of this gateway's requests that run on one engine.
      tried: Ids of the engines to which this request was sent before.
      left: Addresses to which this request must not be sent again, whatever engine is there.
      now: Time in seconds on the event loop's clock.
      preferred: Ids of the engines that keep the prompt part, as in ``enginegroup``; empty to find
        one among all engines.
      limits: Division of the limits that engines name among the gateways.
    """

    zone: str
    key: str
    work: enginework.RequestWork
    shares: pacing.RateShares
    max_running: int
    tried: frozenset[str]
    now: float
    preferred: tuple[str, ...] = ()
    limits: enginelimits.LimitShares = enginelimits.UNSHARED
    left: frozenset[tuple[str, int]] = frozenset()


def affinity_key(head: routing.RequestHead, model: str) -> str:
    """Return the affinity key of a request: the model and its last shared prompt part.

    Args:
      head: The head of the request.
      model: The model that is to run the request.

    Returns:
      The key; empty if the prompt has fewer than two parts. The last part is not shared.
    """
    if len(head.parts) < 2:
        return ""
    return f"{model}\0{head.parts[-2].id}"


@functools.lru_cache(maxsize=MAX_CACHED_DIGESTS)
def _digest(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest(), "big")


def _preferred_id(criteria: Criteria, candidates: list[enginestate.EngineState]) -> str:
    """Return the engine that keeps the prompt part of a request; empty if there is none."""
    if not criteria.key:
        return ""
    if not criteria.preferred:
        return _highest_hash(criteria.key, candidates)
    usable = {item.engine.id for item in candidates}
    return next((name for name in criteria.preferred if name in usable), "")


def _highest_hash(key: str, candidates: list[enginestate.EngineState]) -> str:
    """Return the engine that every gateway prefers for a key (rendezvous hashing).

    The hash of a tuple of integers is the same in every process, unlike that of a text, and is much
    faster than a digest for each pair.
    """
    key_digest = _digest(key)
    best = max(candidates, key=lambda item: hash((key_digest, _digest(item.engine.id))))
    return best.engine.id


def choose(
    states: Iterable[enginestate.EngineState],
    criteria: Criteria,
    rng: random.Random,
    load_view: loadview.LoadView | None = None,
) -> enginestate.EngineState | None:
    """Choose the engine with the lowest cost.

    Args:
      states: Engines that may run the request.
      criteria: The criteria.
      rng: Breaks ties at random, so that the gateways do not all choose the same engine.
      load_view: Loads of the other gateways; None if they are not known.

    Returns:
      The engine; None if no engine may receive the request now.
    """
    candidates = _find_candidates(states, criteria)
    if not candidates:
        return None
    preferred_id = _preferred_id(criteria, candidates)
    # Half of the engines may be slow, so the lower quartile serves as the typical time.
    typical_s = sorted(item.health.first_part_s for item in candidates)[len(candidates) // 4]

    def cost(item: enginestate.EngineState) -> float:
        return _cost(item, criteria, load_view, preferred_id, typical_s) + rng.random()

    best = min(_sample(candidates, preferred_id, rng), key=cost)
    if best.running + _peer_running(best, criteria, load_view) < best.engine.slots:
        return best
    # It would have to queue there, and another engine may have a free slot.
    return min(candidates, key=cost)


def _peer_running(
    item: enginestate.EngineState, criteria: Criteria, load_view: loadview.LoadView | None
) -> int:
    """Return the number of the other gateways' requests that run on an engine."""
    return load_view.peer_load(item.engine.id, criteria.now).running if load_view else 0


def _sample(
    candidates: list[enginestate.EngineState], preferred_id: str, rng: random.Random
) -> list[enginestate.EngineState]:
    """Return the engines to compare: a few at random, and the one that keeps the prompt part."""
    if len(candidates) <= COMPARED:
        return candidates
    chosen = rng.sample(candidates, COMPARED)
    preferred = [item for item in candidates if item.engine.id == preferred_id]
    return chosen + [item for item in preferred if item not in chosen]


def _find_candidates(
    states: Iterable[enginestate.EngineState], criteria: Criteria
) -> list[enginestate.EngineState]:
    """Return the engines that may receive the request now."""
    found = [
        item
        for item in states
        if item.engine.id not in criteria.tried
        and item.engine.address not in criteria.left
        and not item.notices.obstacle(criteria.now)
        and item.notices.limit.permit_at(criteria.limits, item.engine.id, criteria.now)
        <= criteria.now
        and item.send_window.allows(
            criteria.shares.limit(item.engine.id, item.cold_until > criteria.now), criteria.now
        )
        and item.running < criteria.max_running
    ]
    # If all engines are paused after failures, a paused one is better than none.
    usable = [item for item in found if item.health.usable(criteria.now)] or found
    return [item for item in usable if not item.notices.is_avoided(criteria.now)] or usable


def _cost(
    item: enginestate.EngineState,
    criteria: Criteria,
    load_view: loadview.LoadView | None,
    preferred_id: str,
    typical_s: float,
) -> float:
    """Return the cost of an engine in prompt tokens of the service's dearest model.

    Args:
      item: The engine.
      criteria: The criteria.
      load_view: Loads of the other gateways; None if they are not known.
      preferred_id: Id of the engine that keeps the shared parts of the prompt; empty if none does.
      typical_s: Typical time to the first part of a response, in seconds; 0 if it is not known.

    Returns:
      The cost.
    """
    pending, running = item.work, item.running
    if load_view is not None:
        others = load_view.peer_load(item.engine.id, criteria.now)
        pending += others.work
        running += others.running
    failing, slots, prefill = item.health.failing_share(), item.engine.slots, criteria.work.prefill
    crowd = running + failing * FAILING_SLOTS_FACTOR * slots
    total = pending + prefill * crowd + running * REQUEST_OVERHEAD
    total += QUEUE_PENALTY * max(0, running + 1 - slots)
    total += FAILURE_PENALTY * failing
    if item.engine.id != preferred_id:
        total += criteria.work.shared
    if item.engine.zone != criteria.zone:
        total += OTHER_ZONE_PENALTY
    if typical_s > 0.0 and item.health.first_part_s > SLOW_ENGINE_RATIO * typical_s:
        total += (SLOW_PENALTY + prefill) * item.health.first_part_s / typical_s
    return total
