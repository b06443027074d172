"""Finds the route, organisation and service of a request in one version of the configuration."""

import hashlib
from collections.abc import Iterable

from berylrock.core import routing
from berylrock.ops import ranks

__all__ = ["RouteTable", "choose_service"]

HASH_RANGE = 2.0**64


def choose_service(route: routing.Route, key: str) -> str | None:
    """Choose a service by the weights of a route's traffic split.

    The same key always gives the same service while the weights stay the same.

    Args:
      route: The route.
      key: The key of requests that go to the same service: the session, or the request's id.

    Returns:
      The service's name; None if no weight is above 0.
    """
    total = sum(max(0.0, item.weight) for item in route.splits)
    if total <= 0.0:
        return None
    digest = hashlib.blake2b(f"{route.name}\0{key}".encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / HASH_RANGE * total
    for item in route.splits:
        point -= max(0.0, item.weight)
        if point < 0.0:
            return item.service
    return route.splits[-1].service


def _has_ranks(config: routing.Config) -> bool:
    """Tell whether the requests with keys can have different priorities."""
    routes = {route.priority for route in config.routes if not route.public}
    organisations = {item.priority for item in config.organisations}
    return len(routes) > 1 or len(organisations) > 1


def _find_longest_targets_s(routes: Iterable[routing.Route]) -> dict[str, float]:
    """Return the longest latency target of the streams of each service, in seconds."""
    found: dict[str, float] = {}
    for route in routes:
        for split in route.splits if route.kind == "stream" else ():
            longest_s = max(found.get(split.service, 0.0), route.latency_target_s)
            found[split.service] = longest_s
    return found


class RouteTable:
    """Lookup tables of one configuration, built once for each version.

    Attributes:
      config: The configuration.
      services: The services of the configuration by name.
    """

    def __init__(self, config: routing.Config) -> None:
        self.config = config
        self.services = {item.name: item for item in config.services}
        self._routes: dict[str, dict[str, routing.Route]] = {}
        for route in config.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._organisations = {key: item for item in config.organisations for key in item.keys}
        self._has_ranks = _has_ranks(config)
        self._longest_targets_s = _find_longest_targets_s(config.routes)

    def find_route(self, host: str, target: str) -> routing.Route | None:
        """Return the route with the longest prefix that matches a request target.

        Args:
          host: Host of the request, in lower case.
          target: Path of the request, with or without a query.

        Returns:
          The route; None if no prefix matches.
        """
        routes = self._routes.get(host)
        if not routes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_rank(
        self, route: routing.Route, organisation: routing.Organisation | None
    ) -> int | None:
        """Return the rank of a request; None if the configuration ranks all requests alike."""
        if not self._has_ranks:
            return None
        return ranks.find_rank(route.priority, organisation.priority if organisation else None)

    def longest_target_s(self, service: str) -> float:
        """Return the longest latency target of a service's streams, in seconds; 0 without any."""
        return self._longest_targets_s.get(service, 0.0)

    def find_organisation(self, key: str | None) -> routing.Organisation | None:
        """Return the organisation with this API key; None if no organisation has it."""
        return self._organisations.get(key) if key is not None else None

    def may_call(self, organisation: routing.Organisation | None, route: routing.Route) -> bool:
        """Tell whether a request may use a route.

        Args:
          organisation: The organisation of the request's API key; None if there is none.
          route: The route.

        Returns:
          Whether the route is public, the configuration has no organisations, or the API key is
        known.
        """
        return route.public or not self.config.has_organisations or organisation is not None
