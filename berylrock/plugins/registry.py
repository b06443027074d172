"""Finds plug-ins by name; a plug-in module registers itself by its ``__plugins__``."""

import importlib
import random
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from berylrock.core import data, errors

__all__ = [
    "BUILT_IN",
    "Balancer",
    "Candidate",
    "Plugin",
    "Policy",
    "Preferences",
    "Registry",
    "ServerView",
    "load",
]

BUILT_IN = (
    "berylrock.plugins.cheapest_good_enough",
    "berylrock.plugins.always_best",
    "berylrock.plugins.two_choices",
    "berylrock.plugins.least_outstanding",
    "berylrock.plugins.round_robin",
)


class Candidate(NamedTuple):
    """A version that a request may run on.

    Attributes:
      version_id: The version.
      cost_per_million: Price of a million tokens, in euro.
      quality: Expected rating for the request's kind, from the document and from ratings.
    """

    version_id: data.VersionId
    cost_per_million: float
    quality: float


class Preferences(NamedTuple):
    """What the organisation asks for: least rating, and highest price (0 for no bound)."""

    quality: float
    cost_per_million: float


class ServerView(NamedTuple):
    """A backend server that could take a request now.

    Attributes:
      name: The server's name.
      same_zone: Whether it is in the entry process's own availability zone.
      load: Share of its capacity in use, by its last report and what was sent since.
      outstanding: Requests of this entry process that it holds.
      slots: Requests that could start there at once, less those sent since its last report.
    """

    name: str
    same_zone: bool
    load: float
    outstanding: int
    slots: int


class Policy(Protocol):
    """Orders versions by preference. The caller has removed all that are not allowed."""

    def __call__(
        self, candidates: tuple[Candidate, ...], preferences: Preferences
    ) -> tuple[Candidate, ...]:
        """Order the candidates, the preferred one first; may drop some."""


class Balancer(Protocol):
    """Orders servers by preference."""

    def __call__(
        self, servers: tuple[ServerView, ...], rng: random.Random
    ) -> tuple[ServerView, ...]:
        """Order the servers, the preferred one first."""


class Plugin(NamedTuple):
    """A function that a module offers, and the name by which settings choose it."""

    name: str
    function: Policy | Balancer


class Registry:
    """The plug-ins that have been loaded."""

    def __init__(self) -> None:
        self._functions: dict[str, Policy | Balancer] = {}

    def add(self, plugin: Plugin) -> None:
        """Add a plug-in; a later one of the same name wins."""
        self._functions[plugin.name] = plugin.function

    def find(self, name: str) -> Policy | Balancer:
        """Find a plug-in; raises ``SettingsError`` if there is none of this name."""
        if name not in self._functions:
            known = ", ".join(sorted(self._functions))
            raise errors.SettingsError(f"no plug-in {name!r}; one of: {known}")
        return self._functions[name]


def load(modules: Iterable[str]) -> Registry:
    """Import modules and register what they offer.

    Args:
      modules: Names of modules, each with a ``__plugins__`` tuple.

    Returns:
      The registry.

    Raises:
      SettingsError: A module cannot be imported or offers nothing.
    """
    registry = Registry()
    for name in modules:
        try:
            plugins = importlib.import_module(name).__plugins__
        except (ImportError, AttributeError) as exc:
            raise errors.SettingsError(f"no plug-in module {name}; mend plugins: {exc}") from exc
        for plugin in plugins:
            registry.add(plugin)
    return registry
