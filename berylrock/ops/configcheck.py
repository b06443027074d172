"""Checks a configuration of the users' platform before it is sent, and compares it with another.

The store accepts any configuration that is valid by itself. It does not tell of entries that can
never match, or of limits that contradict each other, which operators find out from their callers.
"""

import collections
from collections.abc import Iterable
from typing import Any, Literal, NamedTuple

from berylrock.core import routing

__all__ = ["Difference", "Finding", "check", "compare"]

Level = Literal["error", "warning"]


class Finding(NamedTuple):
    """What is wrong with an entry, and how to correct it.

    Attributes:
      level: ``error`` if callers are refused or misrouted by it, else ``warning``.
      place: The entry, for example ``route chat``.
      message: What is wrong, and the remedy.
    """

    level: Level
    place: str
    message: str


class Difference(NamedTuple):
    """An entry that differs between two configurations.

    Attributes:
      place: The entry, for example ``route chat``.
      change: ``added``, ``removed`` or ``changed``.
      details: The fields that differ, each as ``name: old -> new``; empty for whole entries.
    """

    place: str
    change: str
    details: tuple[str, ...] = ()


def check(cfg: routing.Config) -> tuple[Finding, ...]:
    """Return all findings, in the order of the configuration.

    Args:
      cfg: The configuration.

    Returns:
      The findings; none if it is sound.
    """
    services = {item.name: item for item in cfg.services}
    found = [
        *_check_matching(cfg.routes),
        *(item for route in cfg.routes for item in _check_route(route, services)),
        *_check_services(cfg),
        *_check_organisations(cfg),
        *_check_limits(cfg.limits),
    ]
    return tuple(found)


def _check_matching(routes: Iterable[routing.Route]) -> Iterable[Finding]:
    """Find routes that can never match a request."""
    seen: dict[tuple[str, str], str] = {}
    for route in routes:
        place = f"route {route.name}"
        known = seen.get((route.host, route.prefix))
        if known is not None:
            message = f"has the host and prefix of route {known}, which never matches; remove one"
            yield Finding("error", place, message)
        seen[route.host, route.prefix] = route.name
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            message = f"never matches: write its prefix {route.prefix!r} with a slash at both ends"
            yield Finding("error", place, message)


def _check_route(route: routing.Route, services: dict[str, routing.Service]) -> Iterable[Finding]:
    place = f"route {route.name}"
    if sum(max(0.0, item.weight) for item in route.splits) <= 0.0:
        yield Finding("error", place, "goes to no service; name one, or a weight above 0")
    for item in route.splits:
        service = services.get(item.service)
        if service is None:
            message = f"goes to service {item.service}, which is not in the list; add it there"
            yield Finding("error", place, message)
            continue
        offered = {model.name for model in service.models}
        missing = [name for name in route.models if name not in offered]
        if missing and service.token_capacity:
            message = f"names models that service {item.service} lacks: {', '.join(missing)}"
            yield Finding("error", place, f"{message}; add or remove them")
    yield from _check_times(route)


def _check_times(route: routing.Route) -> Iterable[Finding]:
    """Find limits of a route that contradict each other."""
    place = f"route {route.name}"
    if route.timeout_s <= 0.0:
        yield Finding("error", place, "times out at once; set a time-out above 0")
    elif route.latency_target_s > route.timeout_s:
        message = "times out before its latency target; raise the one or lower the other"
        yield Finding("error", place, message)
    if route.event_gap_target_s > route.timeout_s:
        yield Finding("warning", place, "allows longer pauses between events than its time-out")
    if route.kind == "non_idempotent" and route.max_attempts > 1:
        message = "may run once, so that further attempts are never made; allow 1"
        yield Finding("warning", place, message)
    if route.resumable and route.kind != "stream":
        yield Finding("warning", place, "is no stream, so that it cannot be resumed; remove that")
    if route.priority < 0:
        yield Finding("warning", place, "has a priority below 0, which counts as 0; correct it")


def _check_services(cfg: routing.Config) -> Iterable[Finding]:
    counts = collections.Counter(item.name for item in cfg.services)
    named = {item.service for route in cfg.routes for item in route.splits}
    for service in cfg.services:
        place = f"service {service.name}"
        if counts[service.name] > 1:
            yield Finding("error", place, "is listed more than once; keep one")
        if service.name not in named:
            yield Finding("warning", place, "gets no request: no route names it; remove or use it")
        if service.warmup_s > 0.0 and service.warmup_per_s <= 0.0:
            message = "has a warm-up without a rate, so that cold engines are not spared; add it"
            yield Finding("warning", place, message)


def _check_organisations(cfg: routing.Config) -> Iterable[Finding]:
    holders: dict[str, str] = {}
    for item in cfg.organisations:
        place = f"organisation {item.name}"
        if not item.keys:
            yield Finding("warning", place, "has no key, so that it can call nothing; add one")
        for key in item.keys:
            if holders.setdefault(key, item.name) != item.name:
                message = f"shares a key with organisation {holders[key]}; give each its own"
                yield Finding("error", place, message)
    if cfg.has_organisations and not holders and any(not item.public for item in cfg.routes):
        yield Finding("error", "organisations", "hold no key: only public routes can be called")


def _check_limits(limits: routing.Limits) -> Iterable[Finding]:
    for name, value in limits._asdict().items():
        if value <= 0:
            yield Finding("error", f"limit {name}", f"is {value:g}; set it above 0")


def _entries(cfg: routing.Config) -> dict[str, dict[str, Any]]:
    """Return the entries of a configuration by place, each with its fields."""
    found = {f"route {item.name}": item._asdict() for item in cfg.routes}
    found |= {f"service {item.name}": item._asdict() for item in cfg.services}
    for item in cfg.organisations:
        # Keys are secrets: only how many there are is shown.
        fields = item._asdict() | {"keys": frozenset(item.keys)}
        found[f"organisation {item.name}"] = fields
    found["limits"] = cfg.limits._asdict()
    return found


def _describe(name: str, old: Any, new: Any) -> str:
    if name == "keys":
        return f"keys: {len(new - old)} added, {len(old - new)} removed"
    return f"{name}: {old!r} -> {new!r}"


def compare(old: routing.Config, new: routing.Config) -> tuple[Difference, ...]:
    """Return what differs between the configuration in force and a new one.

    Args:
      old: The configuration in force.
      new: The new one.

    Returns:
      The entries that differ, by place.
    """
    before, after = _entries(old), _entries(new)
    found = []
    for place in sorted(before.keys() | after.keys()):
        if place not in after:
            found.append(Difference(place, "removed"))
        elif place not in before:
            found.append(Difference(place, "added"))
        elif before[place] != after[place]:
            details = tuple(
                _describe(name, before[place][name], value)
                for name, value in after[place].items()
                if before[place][name] != value
            )
            found.append(Difference(place, "changed", details))
    return tuple(found)
