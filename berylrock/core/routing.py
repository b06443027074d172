"""Immutable types for the gateway's routing decisions: configuration, engines and requests.

The package ``platform`` decodes the platform's objects into these types, which contain no wire
names. Times are in seconds unless a field says otherwise.
"""

import itertools
from collections.abc import Iterable
from typing import Literal, NamedTuple

__all__ = [
    "Blame",
    "Config",
    "DispatchOptions",
    "Engine",
    "EngineModel",
    "RouteKind",
    "Limits",
    "Organisation",
    "Peer",
    "PromptPart",
    "Request",
    "RequestHead",
    "Rollout",
    "Route",
    "Service",
    "Split",
    "is_repeatable",
    "make_blames",
]

RouteKind = Literal["idempotent", "non_idempotent", "stream"]
# A decision that was tried more often counts as one that was tried so often.
MAX_TRIALS = 32
RolloutState = Literal["new", "running", "completed", "reverted"]


class Split(NamedTuple):
    """Service and the relative weight with which a route sends requests to it."""

    service: str
    weight: float


class Route(NamedTuple):
    """Rule that maps a host and path prefix to services.

    Attributes:
      name: The route's name.
      host: Host that the route serves, in lower case.
      prefix: Path prefix that the route serves, with a slash at both ends.
      splits: Services and their weights.
      kind: Whether the requests are idempotent, and whether they are streams.
      timeout_s: Longest time until the final answer.
      latency_target_s: Time within which an answer, or the first event of a stream, is on time.
      max_attempts: Maximum number of engines that may run one request.
      priority: Priority; 0 is the most urgent.
      public: Whether callers need no key.
      resumable: Whether another engine may continue a stream.
      models: Models that may answer, smallest first; empty if the caller names the model.
      event_gap_target_s: Longest time between two events of a stream that is on time; 0 if not
        given.
    """

    name: str
    host: str
    prefix: str
    splits: tuple[Split, ...]
    kind: RouteKind
    timeout_s: float
    latency_target_s: float
    max_attempts: int
    priority: int
    public: bool
    resumable: bool
    models: tuple[str, ...]
    event_gap_target_s: float


class EngineModel(NamedTuple):
    """Model of a service, with its price for a thousand generated tokens."""

    name: str
    cost: float


class Service(NamedTuple):
    """Group of interchangeable engines.

    Attributes:
      name: The service's name.
      health_path: Path of the engines' health check.
      max_connections: Maximum number of connections that one engine accepts from all gateways.
      warmup_s: Time for which an engine is cold after its start.
      warmup_per_s: Requests per second that a cold engine can serve; 0 for no limit.
      slots: Number of requests that an engine runs at the same time; 0 if not given.
      token_capacity: Number of tokens that fit in an engine's memory; 0 if the engines run no
        model.
      models: The models that the service offers.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float
    warmup_per_s: float
    slots: int
    token_capacity: int
    models: tuple[EngineModel, ...]


class Organisation(NamedTuple):
    """Organisation that uses the router, with its keys and priority.

    A priority of None uses the route's priority; 0 is the most urgent.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


class Limits(NamedTuple):
    """Limits on request sizes, and on the time for headers and of idle connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class Config(NamedTuple):
    """Complete configuration; one with a higher version replaces it."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]
    has_organisations: bool
    limits: Limits


class Engine(NamedTuple):
    """Backend server, as registered in the platform's store.

    Attributes:
      id: The engine's id; most restarts change it.
      service: The service that the engine belongs to.
      address: ``(address, port)``.
      zone: The engine's availability zone.
      version: Version of the engine's software.
      slots: Number of requests that the engine runs at the same time.
      draining: Whether the engine is about to leave.
      warmup_left_s: Remaining cold time when the entry was last written.
      revision: The store's revision of the entry.
      started_ms: When the engine started, in milliseconds since 1970; 0 if not known.
      sequence: How often the engine had written its entry since its start; 0 if not known.
    """

    id: str
    service: str
    address: tuple[str, int]
    zone: str
    version: str
    slots: int
    draining: bool
    warmup_left_s: float
    revision: int
    started_ms: int = 0
    sequence: int = 0

    @property
    def host_port(self) -> str:
        """The address as text, ``host:port``."""
        return f"{self.address[0]}:{self.address[1]}"


class Rollout(NamedTuple):
    """Rollout of another version at a service, and its progress.

    Attributes:
      service: The service.
      target: The version to roll out.
      duration_s: Time within which the rollout must be completed.
      state: State of the rollout; ``new`` until a gateway starts it.
      stage: Current step of the rollout, from 0.
      revision: The store's revision of the rollout.
      began_ms: Milliseconds since 1970 at which a gateway first saw the order; 0 if not known.
    """

    service: str
    target: str
    duration_s: float
    state: RolloutState
    stage: int
    revision: int
    began_ms: int = 0


class Blame(NamedTuple):
    """Decision about what may crash engines; the later one of two gateways' decisions holds.

    Attributes:
      suspect: The part of prompts, or the request; see the module ``suspects``.
      blamed: Whether it is blamed for crashes of engines; False if it was found to be sound after
        all.
      decided_ms: Time of the decision, or of the last trial since, in milliseconds since 1970.
      trials: How many requests have tried it since it was blamed.
    """

    suspect: str
    blamed: bool
    decided_ms: int
    trials: int = 0


def make_blames(
    decided: Iterable[tuple[str, bool, int]], trials: Iterable[int]
) -> tuple[Blame, ...]:
    """Join decisions with how often they were tried, which earlier releases do not tell.

    Args:
      decided: The first three fields of each decision.
      trials: The trials, in the same order; those that are missing count as 0.
    """
    counts = itertools.chain(trials, itertools.repeat(0))
    return tuple(
        Blame(*item, trials=max(0, min(MAX_TRIALS, count)))
        for item, count in zip(decided, counts, strict=False)
    )


class Peer(NamedTuple):
    """Latest record that another gateway wrote about itself to the store.

    Attributes:
      name: Name of the gateway's VM.
      address: The gateway's IP address; empty if not given.
      zone: The availability zone of the gateway's VM; empty if not given.
      link_mbps: Bandwidth of the VM's link, in Mbit/s; 0 if not given.
      heartbeat: Counter that grows with each heartbeat of the gateway.
      evidence: Results of running rollouts, by ``service version``.
      blames: Decisions on what may crash engines.
      limits: Requests per second that engines take from all gateways together, by the engine's id.
      revision: The store's revision of the record.
    """

    name: str
    address: str
    zone: str
    link_mbps: float
    heartbeat: int
    evidence: dict[str, tuple[int, ...]]
    revision: int
    blames: tuple[Blame, ...] = ()
    limits: dict[str, float] = {}


class PromptPart(NamedTuple):
    """Part of a prompt, with its id and its size in tokens."""

    id: str
    tokens: int


class RequestHead(NamedTuple):
    """Request line and headers of a request, decoded.

    Attributes:
      id: The caller's id for this request.
      method: HTTP method.
      target: Path and query, as sent.
      host: Host, in lower case and without port.
      key: The caller's key; None if there is none.
      deadline_s: How long the caller waits; None if not given.
      model: The requested model; empty if none is named.
      prompt_tokens: Number of tokens in the prompt; 0 if not given.
      output_tokens: Maximum number of tokens to generate; 0 if not given.
      parts: The prompt's parts, in order.
      session: The session that the request belongs to; empty if none.
      last_event: Id of the last event of this stream that the caller has; None for a new stream.
      headers: Headers to pass on, as sent.
    """

    id: str
    method: str
    target: str
    host: str
    key: str | None
    deadline_s: float | None
    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    session: str
    last_event: int | None
    headers: tuple[tuple[bytes, bytes], ...]

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of the prompt's parts that other requests may have too; the last one is its own."""
        return tuple(part.id for part in self.parts[:-1])


class Request(NamedTuple):
    """Request that was admitted and may run.

    Attributes:
      head: The decoded request line and headers.
      body: The complete body.
      route: The route that matched.
      service: The service chosen for the request.
      organisation: Organisation that the key belongs to; None on a public route.
      received_at: Time at which the head was read, on the event loop's clock.
      expires_at: Time by which the final answer is due, on the event loop's clock.
      fingerprint: Digest of path, organisation and body, the same when a request is sent again.
      config_version: Version of the configuration by which the request was admitted.
      tried: What is blamed for crashes and this request tries once; see the module ``suspects``.
      rank: How urgent the request is, 0 first; None if the configuration tells none apart.
    """

    head: RequestHead
    body: bytes
    route: Route
    service: str
    organisation: str | None
    received_at: float
    expires_at: float
    fingerprint: str
    config_version: int
    tried: tuple[str, ...] = ()
    rank: int | None = None


class DispatchOptions(NamedTuple):
    """Values that the gateway sets in a request that it passes on to an engine.

    Attributes:
      engine_id: Id of the engine that is to run the request; any other engine refuses it.
      deadline_s: Time left until the deadline.
      model: The model to run; empty to keep the model that the caller named.
      last_event: Id of the last event that the caller has; None for a new stream.
    """

    engine_id: str
    deadline_s: float
    model: str
    last_event: int | None


def is_repeatable(route: Route) -> bool:
    """Tell whether a route's requests may run more than once."""
    return route.kind == "idempotent" or (route.kind == "stream" and route.resumable)
