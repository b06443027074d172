"""Values for steps on the gateway's decisions."""

import hypothesis

from berylrock.core import routing
from berylrock.ops import engineset, pacing, selection

run_draws = hypothesis.settings(max_examples=100, deadline=None, derandomize=True, database=None)
BOUNDS = routing.Bounds()
COLD = routing.Service("models", "/healthz", 300, 3.0, 18.0, 48, 1000, ())
NO_BOUND = pacing.RateShares(None, (), "")


def make_route(name="r", prefix="/a/", splits=(("s", 1.0),), **more):
    """A route with usual values."""
    pairs = tuple(routing.Split(*item) for item in splits)
    base = routing.Route(
        name, "h", prefix, pairs, "stream", 10.0, 1.0, 3, 0, False, True, ("small", "large"), 1.0
    )
    return base._replace(**more)


def make_engine(name, version="v1", zone="a", revision=1, **more):
    """An engine's entry with usual values."""
    base = routing.Engine(name, "models", ("x", 1), zone, version, 48, False, 0.0, revision)
    return base._replace(**more)


def make_config(routes):
    """A configuration of routes only."""
    return routing.Config(1, tuple(routes), (), (), False, routing.Limits())


def make_states(count, **more):
    """States of engines that know each other's load."""
    return [engineset.EngineState(make_engine(f"e{n}", **more)) for n in range(count)]


def make_pick(key="", tried=frozenset(), now=100.0):
    """What a choice goes by, without bounds."""
    return selection.Criteria("a", key, NO_BOUND, 1000, tried, now)
