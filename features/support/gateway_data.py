"""Makes test data for the steps that test the gateway's decisions."""

import hypothesis

from berylrock.core import gatewaysettings, routing
from berylrock.ops import enginestate, enginework, pacing, selection

property_settings = hypothesis.settings(
    max_examples=100, deadline=None, derandomize=True, database=None
)
BOUNDS = gatewaysettings.Bounds()
COLD_SERVICE = routing.Service("models", "/healthz", 300, 3.0, 18.0, 48, 1000, ())
UNLIMITED_SHARES = pacing.RateShares(None, (), "")


def make_route(name="r", prefix="/a/", splits=(("s", 1.0),), **more):
    """Return a route with typical values.

    Args:
      name: Name of the route.
      prefix: Prefix of its paths.
      splits: Fields of the ``routing.Split`` of each service.
      **more: Fields to replace.
    """
    pairs = tuple(routing.Split(*item) for item in splits)
    base = routing.Route(
        name, "h", prefix, pairs, "stream", 10.0, 1.0, 3, 0, False, True, ("small", "large"), 1.0
    )
    return base._replace(**more)


def make_engine(name, version="v1", zone="a", revision=1, **more):
    """Return the entry of an engine with typical values; ``more`` are fields to replace."""
    base = routing.Engine(name, "models", ("x", 1), zone, version, 48, False, 0.0, revision)
    return base._replace(**more)


def make_config(routes):
    """Return a configuration that consists of routes only."""
    return routing.Config(1, tuple(routes), (), (), False, routing.Limits())


def make_states(count, **more):
    """Return states of several engines without requests; ``more`` are fields of their entries."""
    return [enginestate.EngineState(make_engine(f"e{n}", **more)) for n in range(count)]


def make_criteria(key="", tried=frozenset(), now=100.0, prefill=1000.0, shared=12_000.0):
    """Return criteria for the choice of an engine, without limits on the request rate.

    Args:
      key: Affinity key of the request's prompt part; empty if there is none.
      tried: Ids of the engines to which the request was sent before.
      now: Time in seconds on the event loop's clock.
      prefill: Work to read the prompt.
      shared: Work that the engine saves which keeps the shared parts.
    """
    work = enginework.RequestWork(prefill, shared)
    return selection.Criteria("a", key, work, UNLIMITED_SHARES, 1000, tried, now)
