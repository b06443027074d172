"""The immutable types that the gateway's decisions work on: what may run where, and who asks.

The platform's adapter decodes its objects into these; nothing here knows a name of the wire.
Times are in seconds unless a field says otherwise.
"""

from typing import Literal, NamedTuple

__all__ = [
    "Bounds",
    "Config",
    "DispatchOptions",
    "Engine",
    "EngineModel",
    "GatewaySettings",
    "Kind",
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
]

Kind = Literal["idempotent", "non_idempotent", "stream"]
RolloutState = Literal["new", "running", "completed", "reverted"]


class Bounds(NamedTuple):
    """What the operators promise their callers, as limits that the gateway keeps.

    Attributes:
      contact_s: Time after which an undisturbed process has to keep all the others.
      drain_s: Longest time in which a leaving engine may still get new requests.
      grace_s: Time from SIGTERM to SIGKILL.
      config_apply_s: Longest time until a configuration is in force.
      revoke_s: Longest time for which a withdrawn key may still be served.
      retry_ratio: Most repeats at a service, as a share of its requests.
      retry_window_s: Window over which repeats are counted.
      retry_extra: Repeats allowed on top in each window.
      canary_share: Most of a service's requests that a version on trial may get.
      warmup_overrun: Factor on the request rate that a cold engine bears.
      warmup_margin: Requests allowed on top of that rate in each second.
      evacuate_s: Longest time in which a zone taken out may still get new requests.
      session_ttl_s: Pause after which a session's next request begins a new session.
      retry_after_s: Time for which a prompt part that was read counts as kept.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    config_apply_s: float = 2.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.9
    retry_window_s: float = 10.0
    retry_extra: float = 50.0
    canary_share: float = 0.15
    warmup_overrun: float = 1.5
    warmup_margin: float = 5.0
    evacuate_s: float = 5.0
    session_ttl_s: float = 5.0
    retry_after_s: float = 7.0


class GatewaySettings(NamedTuple):
    """Settings of a gateway process, as the platform gives them.

    Attributes:
      name: Name of the VM.
      zone: Its availability zone.
      region: Its region.
      address: Its IP number.
      frontend_address: ``(address, port)`` for callers.
      readiness_address: ``(address, port)`` for the balancer's readiness checks.
      store_address: ``(address, port)`` of the platform's store.
      peer_port: UDP port for the gateways among themselves, the same on all VMs.
      max_fds: Most descriptors.
      bounds: The limits to keep.
    """

    name: str
    zone: str
    region: str
    address: str
    frontend_address: tuple[str, int]
    readiness_address: tuple[str, int]
    store_address: tuple[str, int]
    peer_port: int
    max_fds: int
    bounds: Bounds


class Split(NamedTuple):
    """A service's share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Which service answers a host's paths, and how.

    Attributes:
      name: The route's name.
      host: Host that it serves, in lower case.
      prefix: Prefix of its paths, from slash to slash.
      splits: Services and their weights.
      kind: Whether its requests may run more than once.
      timeout_s: Longest time until the final answer.
      latency_target_s: Time within which an answer (of a stream: the first event) is on time.
      max_attempts: Most engines that may run one request.
      priority: Rank; 0 is the most urgent.
      public: Whether no key is needed.
      resumable: Whether a stream may go on at another engine.
      models: Models that may answer, smallest first; empty if the caller names one.
      event_gap_target_s: Longest pause between two events of a stream that is on time; 0 if not
        given.
    """

    name: str
    host: str
    prefix: str
    splits: tuple[Split, ...]
    kind: Kind
    timeout_s: float
    latency_target_s: float
    max_attempts: int
    priority: int
    public: bool
    resumable: bool
    models: tuple[str, ...]
    event_gap_target_s: float


class EngineModel(NamedTuple):
    """A model of a service and its price for a thousand generated tokens."""

    name: str
    cost: float


class Service(NamedTuple):
    """A set of interchangeable engines.

    Attributes:
      name: The service's name.
      health_path: Path of its engines' health check.
      max_connections: Most connections that one engine accepts from all gateways.
      warmup_s: Time for which an engine is cold after its start.
      warmup_per_s: Requests a second that a cold engine bears; 0 if it bears all.
      slots: Requests that an engine runs at a time; 0 if not given.
      token_capacity: Tokens that an engine's memory holds; 0 if it is no model engine.
      models: The models it serves.
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
    """A customer: its name, its keys and its rank (None: the route's)."""

    name: str
    keys: tuple[str, ...]
    priority: int | None


class Limits(NamedTuple):
    """What callers may send."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class Config(NamedTuple):
    """A whole configuration; a higher version replaces it."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]
    has_organisations: bool
    limits: Limits


class Engine(NamedTuple):
    """A backend server as it registered itself.

    Attributes:
      id: Changes at most starts.
      service: The service it belongs to.
      address: ``(address, port)``.
      zone: Its availability zone.
      version: Version of its software.
      slots: Requests that it runs at a time.
      draining: Whether it is about to leave.
      warmup_left_s: How much longer it is cold, as of its last entry.
      revision: The store's revision of the entry.
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


class Rollout(NamedTuple):
    """An order to move a service to another version, and how far it is.

    Attributes:
      service: The service.
      target: The version to move to.
      duration_s: Time in which the order is to be done.
      state: How far it is; ``new`` before any gateway has taken it up.
      stage: Step of the roll-out, from 0.
      revision: The store's revision of the order.
    """

    service: str
    target: str
    duration_s: float
    state: RolloutState
    stage: int
    revision: int


class Peer(NamedTuple):
    """What another gateway last said of itself in the store.

    Attributes:
      name: Name of its VM.
      address: Its IP number; empty if not given.
      heartbeat: Grows with each of its heartbeats.
      evidence: Results by ``service version``, of roll-outs under way.
      suspects: Fingerprints of requests, and the engines that fell while they held them.
      revision: The store's revision of the record.
    """

    name: str
    address: str
    heartbeat: int
    evidence: dict[str, tuple[int, ...]]
    suspects: dict[str, tuple[str, ...]]
    revision: int


class PromptPart(NamedTuple):
    """A part of a prompt: its id and its size in tokens."""

    id: str
    tokens: int


class RequestHead(NamedTuple):
    """What the gateway reads from a request's headers.

    Attributes:
      id: The caller's id for this request.
      method: HTTP method.
      target: Path and query, as sent.
      host: Host, in lower case and without port.
      key: The key it carries, or None.
      deadline_s: How long the caller waits; None if it does not say.
      model: The model it names; empty if none.
      prompt_tokens: Tokens of the prompt; 0 if not given.
      output_tokens: Most tokens to be generated; 0 if not given.
      parts: The prompt's parts, in order.
      session: The session it belongs to; empty if none.
      last_event: The last event that the caller has of this stream; None for a new one.
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


class Request(NamedTuple):
    """A request that may run.

    Attributes:
      head: What its headers say.
      body: Its whole body.
      route: The route that matched.
      service: The service chosen for it.
      organisation: Whose key it carries; None on a public route.
      received_at: When its last byte was read, on the loop's clock.
      expires_at: When it must have its final answer, on the loop's clock.
      fingerprint: Names path, organisation and body: alike for a request that is sent again.
      config_version: Version of the configuration that decided.
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


class DispatchOptions(NamedTuple):
    """What the gateway adds to a request that it passes on to an engine.

    Attributes:
      engine_id: The engine that is meant; any other refuses.
      deadline_s: Time that is left.
      model: The model to run; empty to leave the caller's.
      last_event: The last event that the caller has; None for a new stream.
    """

    engine_id: str
    deadline_s: float
    model: str
    last_event: int | None


def is_repeatable(route: Route) -> bool:
    """Tell whether a route's requests may run more than once."""
    return route.kind == "idempotent" or (route.kind == "stream" and route.resumable)
