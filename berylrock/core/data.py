"""The immutable types of the configuration document, shared by every layer.

The document is the only place where operators state what is allowed. It names no address and no
environment, so that the same bytes can be promoted from trial to production.
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
    """A model and one of its versions, written ``model@version``."""

    model: str
    version: str

    def __str__(self) -> str:
        return f"{self.model}@{self.version}"


class Version(NamedTuple):
    """One version of a model.

    Attributes:
      name: The version's name, unique within the model.
      cost_per_million: Price of a million generated tokens, in euro.
      quality: Expected rating by kind of request, 0 to 1; ``default`` serves the other kinds.
    """

    name: str
    cost_per_million: float
    quality: dict[str, float]


class Model(NamedTuple):
    """A model, its versions and the pool whose engines serve it.

    Attributes:
      name: The model's name.
      pool: The pool of backend servers that load it.
      versions: The versions in use.
    """

    name: str
    pool: str
    versions: tuple[Version, ...]


class Organisation(NamedTuple):
    """A customer of the router.

    Attributes:
      name: The organisation's name.
      key_sha256: Hex SHA-256 digests of the caller keys that it may present.
      allowed: Patterns of ``model@version`` that its requests may run on.
      quality: Target rating by kind of request, 0 to 1; ``default`` serves the other kinds.
      cost_per_million: The highest price it pays for a million tokens, in euro; 0 for no bound.
      requests_per_second: Its quota; 0 for no bound.
      priority: Higher goes first in a queue.
      cascade: Whether whole answers may be asked of a cheaper version first, and judged.
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
    """A shift of a model's sessions from one version to another.

    Attributes:
      model: The model.
      old: The version that serves today.
      new: The version that is rolled out.
      percent: Share of new sessions that the roll-out grows to, 0 to 100.
      step_percent: By how much it grows at each step; also its first share.
      step_seconds: Time between two steps, in seconds.
      state: Whether the roll-out advances.
    """

    model: str
    old: str
    new: str
    percent: float = 100.0
    step_percent: float = 10.0
    step_seconds: float = 60.0
    state: Literal["running", "paused", "aborted"] = "running"


class Zone(NamedTuple):
    """An availability zone and whether operators have it in service."""

    name: str
    region: str
    in_service: bool = True


class Pool(NamedTuple):
    """A pool of backend servers of one kind.

    Attributes:
      name: The pool's name, as in the VM list.
      kind: Model engines or a plain service.
      cold_limit: Most requests that a server in cold start holds.
      warm_after: Answered requests after which a server counts as warm.
      warm_first_token_seconds: Time to the first token above which an engine is cold again.
      concurrency: Most calls that a plain server holds; engines are bounded by their tokens.
      checks_fencing: Whether its servers refuse an order with an old fencing number.
    """

    name: str
    kind: Literal["engine", "service"]
    cold_limit: int = 2
    warm_after: int = 4
    warm_first_token_seconds: float = 1.1
    concurrency: int = 32
    checks_fencing: bool = False


class CallRule(NamedTuple):
    """A set of a plain service's calls and whether they may be repeated.

    Attributes:
      method: HTTP method, or ``*``.
      path: Shell-style pattern of the path.
      idempotent: Whether a call may run more than once.
    """

    method: str
    path: str
    idempotent: bool


class Service(NamedTuple):
    """A plain service: its pool, its calls, and who may call it.

    Calls that no pattern matches are held to be not idempotent.
    """

    name: str
    pool: str
    calls: tuple[CallRule, ...]


class Document(NamedTuple):
    """The whole configuration of one environment."""

    deployment: str
    zones: tuple[Zone, ...]
    pools: tuple[Pool, ...]
    models: tuple[Model, ...]
    organisations: tuple[Organisation, ...]
    services: tuple[Service, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    withdrawals: tuple[str, ...] = ()


class Server(NamedTuple):
    """A backend server VM as the VM list has it.

    Attributes:
      name: The server's name.
      zone: Its availability zone.
      pool: Its pool.
      address: IP number of its sidecar.
      port: TCP port of its sidecar.
      leaving: Whether the platform is about to take the VM away.
    """

    name: str
    zone: str
    pool: str
    address: str
    port: int
    leaving: bool = False


def parse_version_id(text: str) -> VersionId | None:
    """Read ``model@version``.

    Args:
      text: The text to read.

    Returns:
      The identifier, or None if the text is not one.
    """
    model, at, version = text.partition("@")
    if not (model and at and version):
        return None
    return VersionId(model, version)


def is_allowed(organisation: Organisation, version_id: VersionId) -> bool:
    """Tell whether an organisation's requests may run on a version."""
    text = str(version_id)
    return any(fnmatch.fnmatchcase(text, pattern) for pattern in organisation.allowed)


def find_call_rule(service: Service, method: str, path: str) -> CallRule:
    """Find the rule for a call of a plain service.

    Args:
      service: The service.
      method: HTTP method.
      path: Path without the query.

    Returns:
      The first rule that matches, or one that forbids repeating.
    """
    for call in service.calls:
        if call.method in ("*", method) and fnmatch.fnmatchcase(path, call.path):
            return call
    return CallRule(method, path, idempotent=False)
