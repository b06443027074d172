"""Lets gateways choose engines for prompts by news of each other's loads that is some time old."""

import heapq
import math
import random
from typing import NamedTuple

from berylrock.ops import enginestate, enginework, loadreport, pacing, selection
from support import gateway_data

# Units of work that an engine reads in a second, and how long a stream runs after its first event.
READ_PER_S, STREAM_S = 34_000.0, 2.0
LOAD_SHARE, SECONDS, MAX_WORK = 0.3, 20.0, 60_000.0
NO_LIMIT = pacing.RateShares(None, ("a",), "a")


class Waits(NamedTuple):
    """How long prompts waited, in seconds, and how often an engine idled beside a long queue."""

    mean_s: float
    p99_s: float
    idle_share: float


class News:
    """Loads of all gateways as last published; each reads those of the others."""

    def __init__(self, gateways):
        self.published = [{} for _ in range(gateways)]
        self.sums = {}

    def publish(self, gateway, loads):
        """Replace what a gateway has published: running requests and work by engine."""
        for sign, found in ((-1, self.published[gateway]), (1, loads)):
            for name, (running, work) in found.items():
                old = self.sums.get(name, (0, 0.0))
                self.sums[name] = (old[0] + sign * running, old[1] + sign * work)
        self.published[gateway] = loads

    def seen_by(self, gateway):
        """Return what one gateway sees."""
        return _SeenNews(self, gateway)


class _SeenNews:
    """The other gateways' loads as one gateway sees them."""

    def __init__(self, news, gateway):
        self._news, self._gateway = news, gateway

    def peer_load(self, engine_id, now):
        """Return the sum of the other gateways' loads at an engine."""
        running, work = self._news.sums.get(engine_id, (0, 0.0))
        own = self._news.published[self._gateway].get(engine_id, (0, 0.0))
        return loadreport.EngineLoad(0, running - own[0], max(0.0, work - own[1]))


def draw_work(rng):
    """Return the work of a prompt; a few are long."""
    return min(MAX_WORK, rng.lognormvariate(math.log(3000.0), 1.1))


def play(gateways, engines, age_s, seed):
    """Let prompts arrive at random gateways for some time.

    Args:
      gateways: Number of gateways.
      engines: Number of engines.
      age_s: Time between two reports of a gateway; 0 if each change is known at once.
      seed: Seed of the arrivals and the choices.

    Returns:
      The ``Waits``.
    """
    rng = random.Random(seed)
    items = [gateway_data.make_engine(f"e{n}", slots=64) for n in range(engines)]
    states = [{item.id: enginestate.EngineState(item) for item in items} for _ in range(gateways)]
    news, free_at = News(gateways), dict.fromkeys((item.id for item in items), 0.0)
    per_s = LOAD_SHARE * engines * READ_PER_S / 5300.0
    events = [(rng.expovariate(per_s), 0, "arrival", None)]
    if age_s:
        events += [(age_s * rng.random(), n + 1, "report", n) for n in range(gateways)]
    heapq.heapify(events)
    waits, idle, looks, number = [], 0, 0, gateways + 1
    while events[0][0] < SECONDS:
        now, _, kind, value = heapq.heappop(events)
        number += 1
        if kind == "report":
            publish(news, states, value)
            heapq.heappush(events, (now + age_s, number, kind, value))
        elif kind == "arrival":
            gateway, work = rng.randrange(gateways), draw_work(rng)
            state = choose(states[gateway].values(), work, now, rng, news.seen_by(gateway))
            begins = max(now, free_at[state.engine.id])
            free_at[state.engine.id] = begins + work / READ_PER_S
            waits.append(begins - now)
            looks, idle = looks + 1, idle + is_uneven(free_at.values(), now)
            state.begin(work, now)
            done = free_at[state.engine.id]
            heapq.heappush(events, (done, number, "begun", (gateway, state, work)))
            number += 1
            heapq.heappush(events, (done + STREAM_S, number, "ended", (gateway, state)))
            number += 1
            heapq.heappush(events, (now + rng.expovariate(per_s), number, kind, None))
        elif kind == "begun":
            value[1].begin_answer(value[2])
        else:
            value[1].end(0.0)
        if kind != "report" and not age_s:
            publish(news, states, gateway if kind == "arrival" else value[0])
    waits.sort()
    return Waits(sum(waits) / len(waits), waits[int(0.99 * len(waits))], idle / looks)


def publish(news, states, gateway):
    """Publish a gateway's loads."""
    found = states[gateway].values()
    news.publish(gateway, {s.engine.id: (s.running, s.work) for s in found if s.running})


def choose(states, work, now, rng, view):
    """Choose an engine as gateways do, without limits, caches and failures."""
    criteria = selection.Criteria(
        "a", "", enginework.RequestWork(work, 0.0), NO_LIMIT, 10**6, frozenset(), now
    )
    return selection.choose(states, criteria, rng, view)


def is_uneven(free_at, now):
    """Tell whether one engine is idle while another has half a second of prompts before it."""
    return min(free_at) <= now and max(free_at) > now + 0.5
