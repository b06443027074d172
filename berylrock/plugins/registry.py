"""Loads plug-in modules, and finds their plug-ins by name."""

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
    "Wish",
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
      quality: Expected rating for the kind of request, from the document.
    """

    version_id: data.VersionId
    cost_per_million: float
    quality: float


class Preferences(NamedTuple):
    """What an organisation asks for in a kind of request.

    Attributes:
      quality: Target rating, 0 to 1.
      cost_per_million: Highest price of a million tokens, in euro; 0 for no limit.
    """

    quality: float
    cost_per_million: float


# Plug-ins written for earlier releases import Preferences by this name.
Wish = Preferences


class ServerView(NamedTuple):
    """A backend server that could take a request now.

    Attributes:
      name: The server's name.
      same_zone: Whether it is in the entry process's own availability zone.
      load: Share of its capacity in use, by its last report and the requests sent since.
      outstanding: Number of requests of this entry process that it has not completed.
      slots: Number of further requests that it could start at once, by its last report and the
        requests sent since.
    """

    name: str
    same_zone: bool
    load: float
    outstanding: int
    slots: int


class Policy(Protocol):
    """Orders versions by preference. The caller has removed the versions that are not allowed."""

    def __call__(
        self, candidates: tuple[Candidate, ...], preferences: Preferences
    ) -> tuple[Candidate, ...]:
        """Order the candidates, the preferred one first; may omit some."""


class Balancer(Protocol):
    """Orders backend servers by preference; not the load balancer in front of the processes."""

    def __call__(
        self, servers: tuple[ServerView, ...], rng: random.Random
    ) -> tuple[ServerView, ...]:
        """Order the servers, the preferred one first."""


class Plugin(NamedTuple):
    """A function that a module provides, and the name that selects it in the settings."""

    name: str
    function: Policy | Balancer


class Registry:
    """The plug-ins that have been loaded."""

    def __init__(self) -> None:
        self._functions: dict[str, Policy | Balancer] = {}

    def add(self, plugin: Plugin) -> None:
        """Add a plug-in; replaces an earlier one of the same name."""
        self._functions[plugin.name] = plugin.function

    def find(self, name: str) -> Policy | Balancer:
        """Find a plug-in by name.

        Raises:
          SettingsError: No plug-in has this name.
        """
        if name not in self._functions:
            known = ", ".join(sorted(self._functions))
            raise errors.SettingsError(f"no plug-in is named {name!r}; use one of: {known}")
        return self._functions[name]


def load(modules: Iterable[str]) -> Registry:
    """Import modules and register their plug-ins.

    Args:
      modules: Names of modules, each with a ``__plugins__`` tuple.

    Returns:
      The registry.

    Raises:
      SettingsError: A module cannot be imported or has no ``__plugins__``.
    """
    registry = Registry()
    for name in modules:
        try:
            plugins = importlib.import_module(name).__plugins__
        except (ImportError, AttributeError) as exc:
            raise errors.SettingsError(
                f"cannot load plug-in module {name}; correct the setting plugins: {exc}"
            ) from exc
        for plugin in plugins:
            registry.add(plugin)
    return registry
