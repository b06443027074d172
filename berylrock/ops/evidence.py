"""Pools the results of all gateways for each version of a service, by route.

Scenario: a bad version on trial receives a few requests per second, spread over all gateways.
No single gateway sees enough responses for a decision, but their sum suffices after a few bad
responses. Results are kept by route, because a response that is usual on one route is a fault on
another.
"""

from typing import NamedTuple

from berylrock.ops import rollouts

__all__ = [
    "EvidenceByKey",
    "ChangedResults",
    "EvidencePool",
    "RequestErrors",
    "ResultKey",
    "VersionKey",
    "busiest",
    "decode_counts",
    "decode_results",
    "describe_routes",
    "encode_key",
    "encode_results",
]


MAX_LOGGED_ROUTES = 8


class VersionKey(NamedTuple):
    """A version of a service."""

    service: str
    version: str


class ResultKey(NamedTuple):
    """A version of a service on one route; the route is empty if it is not known."""

    service: str
    version: str
    route: str


EvidenceByKey = dict[ResultKey, rollouts.Evidence]
Results = dict[str, tuple[int, ...]]


def encode_key(key: ResultKey) -> str:
    """Return the key under which a gateway's record holds the evidence about a version."""
    return f"{key.service} {key.version} {key.route}"


def decode_key(name: str) -> ResultKey | None:
    """Decode the output of ``encode_key``; None if it is malformed.

    A gateway of an earlier release writes no route.
    """
    parts = name.split(" ", 2)
    if len(parts) < 2:
        return None
    return ResultKey(parts[0], parts[1], parts[2] if len(parts) > 2 else "")


def encode_results(found: EvidenceByKey) -> Results:
    """Encode evidence for a gateway's record.

    Args:
      found: The evidence by version and route.

    Returns:
      The fields of the evidence by ``encode_key``.
    """
    return {encode_key(key): tuple(item) for key, item in found.items()}


def decode_results(results: Results) -> EvidenceByKey:
    """Decode the output of ``encode_results``; entries with a malformed key are skipped."""
    keys = {name: decode_key(name) for name in results}
    return {key: decode_counts(results[name]) for name, key in keys.items() if key is not None}


def decode_counts(counts: tuple[int, ...]) -> rollouts.Evidence:
    """Make evidence from its fields; a gateway of another release may send fewer or more fields."""
    return rollouts.Evidence(*counts[: len(rollouts.Evidence._fields)])


def busiest(found: EvidenceByKey, limit: int) -> EvidenceByKey:
    """Return the entries with the most answers, so that a message or record stays small.

    Args:
      found: Evidence by version and route.
      limit: Largest number of entries.

    Returns:
      The entries, most answers first.
    """
    ordered = sorted(found, key=lambda key: (-found[key].answers, key))
    return {key: found[key] for key in ordered[:limit]}


def describe_routes(
    trial: dict[str, rollouts.Evidence], stable: dict[str, rollouts.Evidence]
) -> str:
    """Describe the evidence about a rollout for the log, the routes with the most answers first.

    Args:
      trial: Evidence about the version on trial, by route.
      stable: Evidence about the stable version, by route.

    Returns:
      For each route ``ROUTE:TRIAL~STABLE``, as ``rollouts.Evidence`` describes itself in brief.
    """
    ordered = sorted(trial, key=lambda route: (-trial[route].answers, route))[:MAX_LOGGED_ROUTES]
    return " ".join(
        f"{route}:{trial[route].brief}~{stable.get(route, rollouts.Evidence()).brief}"
        for route in ordered
    )


class RequestErrors:
    """Versions on which one request has failed already.

    Many errors belong to the request and come again on each engine. A retry that fails on the same
    version says nothing new about it.
    """

    def __init__(self) -> None:
        self._failed_on: set[str] = set()

    def is_new(self, version: str, result: rollouts.Evidence) -> bool:
        """Tell whether a result of the request counts as evidence about a version."""
        if not result.errors:
            return True
        if version in self._failed_on:
            return False
        self._failed_on.add(version)
        return True


class ChangedResults:
    """Finds the results that have changed lately, so that messages need not repeat the others."""

    def __init__(self) -> None:
        self._known: EvidenceByKey = {}
        self._rounds_left: dict[ResultKey, int] = {}

    def update(self, found: EvidenceByKey, rounds: int) -> EvidenceByKey:
        """Return the results that have changed in the last messages, including this one.

        Args:
          found: All results now.
          rounds: Number of messages in which a result is sent after a change.

        Returns:
          The results that changed.
        """
        left = {}
        for key, item in found.items():
            changed = self._known.get(key) != item
            left[key] = rounds if changed else max(0, self._rounds_left.get(key, 0))
        self._known = dict(found)
        chosen = {key: found[key] for key, count in left.items() if count > 0}
        self._rounds_left = {key: count - 1 for key, count in left.items()}
        return chosen


class EvidencePool:
    """Results of this gateway and the last report of each other gateway.

    Counts only grow during a rollout. Of two reports of a gateway the larger one is therefore the
    later one, whether it arrived by datagram or by a record in the store, and the smaller counts of
    a restarted gateway do not replace its earlier ones.

    Attributes:
      own: This gateway's results.
      vetoes: Versions found bad by any gateway.
    """

    def __init__(self) -> None:
        self.own: EvidenceByKey = {}
        self.vetoes: set[VersionKey] = set()
        self._others: dict[str, EvidenceByKey] = {}

    def record(self, key: ResultKey, result: rollouts.Evidence) -> None:
        """Add a result of this gateway."""
        self.own[key] = self.own.get(key, rollouts.Evidence()).plus(result)

    def record_peer(self, gateway: str, found: EvidenceByKey) -> None:
        """Record the total results that another gateway reports."""
        known = self._others.setdefault(gateway, {})
        for key, evidence in found.items():
            if sum(evidence) >= sum(known.get(key, rollouts.Evidence())):
                known[key] = evidence

    def total(self, version: VersionKey) -> rollouts.Evidence:
        """Return the sum over all gateways and routes."""
        result = rollouts.Evidence()
        for found in self.by_route(version).values():
            result = result.plus(found)
        return result

    def by_route(self, version: VersionKey) -> dict[str, rollouts.Evidence]:
        """Return the sum over all gateways for each route with results of a version."""
        results: dict[str, rollouts.Evidence] = {}
        for found in (self.own, *self._others.values()):
            for key, item in found.items():
                if key[:2] == version:
                    results[key.route] = results.get(key.route, rollouts.Evidence()).plus(item)
        return results

    def for_services(self, services: set[str]) -> EvidenceByKey:
        """Return this gateway's results for the versions of some services."""
        return {key: item for key, item in self.own.items() if key.service in services}

    def discard(self, service: str) -> None:
        """Discard the results of a service, so that a new rollout is judged by new ones only."""
        for found in (self.own, *self._others.values()):
            for key in [key for key in found if key.service == service]:
                del found[key]
