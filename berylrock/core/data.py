"""Immutable types of the configuration document, used by every layer.

The document is the only place where operators define what is allowed. It contains no addresses and
no environment name, so that the same bytes can be promoted from trial to production.
"""

import fnmatch
from typing import Literal, NamedTuple

__all__ = [
    "CallRule",
    "Document",
    "Model",
    "Organisation",
    "Pool",
    "Rollout",
    "Server",
    "Service",
    "Version",
    "VersionId",
    "Zone",
    "DEFAULT_KIND",
    "parse_version_id",
    "find_call_rule",
    "is_allowed",
]

DEFAULT_KIND = "default"


class VersionId(NamedTuple):
    """Model and one of its versions, written as ``model@version``."""

    model: str
    version: str

    def __str__(self) -> str:
        return f"{self.model}@{self.version}"


class Version(NamedTuple):
    """Version of a model.

    Attributes:
      name: The version's name, unique within the model.
      cost_per_million: Price of a million generated tokens, in euro.
      quality: Expected rating by kind of request, from 0 to 1; ``default`` applies to kinds that
        are not listed.
    """

    name: str
    cost_per_million: float
    quality: dict[str, float]


class Model(NamedTuple):
    """Model with its versions and the pool whose engines serve it.

    Attributes:
      name: The model's name.
      pool: The pool of backend servers that load it.
      versions: The versions in use.
    """

    name: str
    pool: str
    versions: tuple[Version, ...]


class Organisation(NamedTuple):
    """Organisation that uses the router, with its keys, permissions and quota.

    Attributes:
      name: The organisation's name.
      key_sha256: Hexadecimal SHA-256 digests of the keys that its callers may present.
      allowed: Patterns of the ``model@version`` that its requests may run on.
      quality: Target rating by kind of request, from 0 to 1; ``default`` applies to kinds that
        are not listed.
      cost_per_million: Highest price for a million tokens, in euro; 0 for no limit.
      requests_per_second: Request quota per second; 0 for no limit.
      priority: Priority in a queue; higher values go first.
      cascade: Whether a request that is not streamed may first be sent to a cheaper version, whose
        answer is then judged.
    """

    name: str
    key_sha256: tuple[str, ...]
    allowed: tuple[str, ...]
    quality: dict[str, float]
    cost_per_million: float = 0.0
    requests_per_second: float = 0.0
    priority: int = 0
    cascade: bool = False


class Rollout(NamedTuple):
    """Gradual move of a model's sessions from one version to another.

    Attributes:
      model: The model.
      old: The current version.
      new: The version to roll out.
      percent: Final share of new sessions that get the new version, from 0 to 100.
      step_percent: Increase of that share at each step; also the initial share.
      step_seconds: Time between two steps, in seconds.
      state: Whether the rollout is running, paused or aborted.
    """

    model: str
    old: str
    new: str
    percent: float = 100.0
    step_percent: float = 10.0
    step_seconds: float = 60.0
    state: Literal["running", "paused", "aborted"] = "running"


class Zone(NamedTuple):
    """Availability zone and whether it is in service."""

    name: str
    region: str
    in_service: bool = True


class Pool(NamedTuple):
    """Pool of backend servers of the same kind.

    Attributes:
      name: The pool's name, as in the VM list.
      kind: Whether the pool consists of model engines or of servers of a plain service.
      cold_limit: Maximum number of requests that a server runs during cold start.
      warm_after: Number of answered requests after which a server counts as warm.
      warm_first_token_seconds: Time to the first token, in seconds, above which an engine counts
        as cold again.
      concurrency: Maximum number of calls that a server of a plain service runs. Engines are
        limited by their tokens instead.
      checks_fencing: Whether the servers refuse an order with an outdated fencing number.
    """

    name: str
    kind: Literal["engine", "service"]
    cold_limit: int = 2
    warm_after: int = 4
    warm_first_token_seconds: float = 1.1
    concurrency: int = 32
    checks_fencing: bool = False


class CallRule(NamedTuple):
    """Rule that tells whether matching calls of a plain service may be repeated.

    Attributes:
      method: HTTP method, or ``*`` for any method.
      path: Shell-style pattern for the path.
      idempotent: Whether a matching call may run more than once.
    """

    method: str
    path: str
    idempotent: bool


class Service(NamedTuple):
    """Plain service, which is not a model, with its pool and the rules for its calls.

    Calls that match no rule are treated as not idempotent.
    """

    name: str
    pool: str
    calls: tuple[CallRule, ...]


class Document(NamedTuple):
    """Complete configuration of one environment."""

    deployment: str
    zones: tuple[Zone, ...]
    pools: tuple[Pool, ...]
    models: tuple[Model, ...]
    organisations: tuple[Organisation, ...]
    services: tuple[Service, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    withdrawals: tuple[str, ...] = ()


class Server(NamedTuple):
    """VM of a backend server, as listed in the VM list.

    Attributes:
      name: The server's name.
      zone: The server's availability zone.
      pool: The server's pool.
      address: IP address of the server's sidecar.
      port: TCP port of the server's sidecar.
      leaving: Whether the platform is about to remove the VM.
    """

    name: str
    zone: str
    pool: str
    address: str
    port: int
    leaving: bool = False


def parse_version_id(text: str) -> VersionId | None:
    """Parse a version identifier of the form ``model@version``.

    Args:
      text: The text to parse.

    Returns:
      The identifier, or None if the text has another form.
    """
    model, separator, version = text.partition("@")
    if not (model and separator and version):
        return None
    return VersionId(model, version)


def is_allowed(organisation: Organisation, version_id: VersionId) -> bool:
    """Return whether an organisation's requests may run on a version."""
    text = str(version_id)
    return any(fnmatch.fnmatchcase(text, pattern) for pattern in organisation.allowed)


def find_call_rule(service: Service, method: str, path: str) -> CallRule:
    """Find the rule that applies to a call of a plain service.

    Args:
      service: The service.
      method: HTTP method.
      path: Path without the query.

    Returns:
      The first matching rule, or a rule that forbids repeating if none matches.
    """
    for rule in service.calls:
        if rule.method in ("*", method) and fnmatch.fnmatchcase(path, rule.path):
            return rule
    return CallRule(method, path, idempotent=False)
