"""Offers some engines of a service and version for each request.

Load pattern: hundreds of gateways send to thousands of engines of one service. To compare all of
them for each request would take most of a small VM's processor, above all when every gateway has
just been restarted and callers return. A few dozen engines, chosen at random, include a lightly
loaded one; together with the engines that keep the request's prompt part they are enough.
"""

import bisect
import functools
import hashlib
import random
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.ops import enginestate, rollouts

__all__ = ["EngineGroup", "Offer"]

# All engines of a smaller group are offered.
MAX_OFFERED = 64
# Engines that may keep a prompt part: the next ones serve if the first one is gone or busy.
PREFERRED = 3
MAX_CACHED_DIGESTS = 8192


class Offer(NamedTuple):
    """Engines among which one is chosen for a request.

    Attributes:
      states: The engines.
      preferred: Ids of the engines that keep the request's prompt part, the first one most likely;
        empty if ``states`` has all engines of the group or if the request has no such part.
    """

    states: tuple[enginestate.EngineState, ...]
    preferred: tuple[str, ...]


@functools.lru_cache(maxsize=MAX_CACHED_DIGESTS)
def _digest(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=7).digest(), "big")


class EngineGroup:
    """The engines of one service and version that are neither draining nor in an evacuated zone.

    Attributes:
      states: The engines.
      slots: Most slots of an engine; 1 if there is none.
    """

    def __init__(self, states: Iterable[enginestate.EngineState]) -> None:
        self.states = tuple(states)
        self.slots = max((item.engine.slots for item in self.states), default=1)
        self._near: dict[str, list[enginestate.EngineState]] = {}
        for item in self.states:
            self._near.setdefault(item.engine.zone, []).append(item)
        self._ring: list[tuple[int, enginestate.EngineState]] = []
        if len(self.states) > MAX_OFFERED:
            pairs = [(_digest(item.engine.id), item) for item in self.states]
            self._ring = sorted(pairs, key=lambda pair: pair[0])
        self._trials: dict[rollouts.Plan, EngineGroup] = {}

    def offer(self, key: str, zone: str, rng: random.Random) -> Offer:
        """Return the engines among which one is chosen for a request.

        Args:
          key: Affinity key of the request's prompt part; empty if there is none.
          zone: Zone of this gateway, from which half of the engines are taken.
          rng: Chooses the engines.

        Returns:
          All engines of a small group, otherwise a sample and the engines that keep the part.
        """
        if not self._ring:
            return Offer(self.states, ())
        near = self._near.get(zone, [])
        chosen = rng.sample(near, min(len(near), MAX_OFFERED // 2))
        chosen += rng.sample(self.states, MAX_OFFERED - len(chosen))
        preferred = self._successors(key) if key else []
        unique = {item.engine.id: item for item in (*preferred, *chosen)}
        return Offer(tuple(unique.values()), tuple(item.engine.id for item in preferred))

    def _successors(self, key: str) -> list[enginestate.EngineState]:
        """Return the engines that follow a key on the ring, the same at every gateway."""
        start = bisect.bisect(self._ring, _digest(key), key=lambda pair: pair[0])
        return [self._ring[(start + step) % len(self._ring)][1] for step in range(PREFERRED)]

    def trial(self, plan: rollouts.Plan) -> "EngineGroup":
        """Return the engines that receive the requests for a version on trial."""
        found = self._trials.get(plan)
        if found is None:
            kept = rollouts.trial_engines([item.engine.id for item in self.states], plan)
            found = EngineGroup(item for item in self.states if item.engine.id in kept)
            self._trials[plan] = found
        return found
