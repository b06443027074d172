"""Finds the route, the organisation and the service of a request in one configuration."""

import hashlib

from berylrock.core import routing

__all__ = ["RouteTable", "choose_service"]

HASH_RANGE = 2.0**64


def choose_service(route: routing.Route, key: str) -> str | None:
    """Choose a service by the weights of a route's split.

    The same key gets the same service as long as the weights stay.

    Args:
      route: The route.
      key: What to keep together: the session, or the request's id.

    Returns:
      The service; None if no weight is above 0.
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


class RouteTable:
    """Look-ups in one configuration; made once a version.

    Attributes:
      config: The configuration.
      services: Its services by name.
    """

    def __init__(self, config: routing.Config) -> None:
        self.config = config
        self.services = {item.name: item for item in config.services}
        self._routes: dict[str, dict[str, routing.Route]] = {}
        for route in config.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._organisations = {key: item for item in config.organisations for key in item.keys}

    def find_route(self, host: str, target: str) -> routing.Route | None:
        """Find the route with the longest prefix of a path; None if there is none."""
        prefixes = self._routes.get(host)
        if not prefixes:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_organisation(self, key: str | None) -> routing.Organisation | None:
        """Find whose key this is; None if it is nobody's."""
        return self._organisations.get(key) if key is not None else None

    def may_call(self, organisation: routing.Organisation | None, route: routing.Route) -> bool:
        """Tell whether a request may use a route."""
        return route.public or not self.config.has_organisations or organisation is not None
