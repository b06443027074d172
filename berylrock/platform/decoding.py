"""Converts the platform's objects to and from the gateway's types.

The store accepts writes from anyone, so objects can be invalid. The functions ``decode_*`` return
None for an invalid object, and their callers continue with the others.
"""

import ipaddress
from typing import Annotated, Any

import msgspec

from berylrock.core import errors, routing, stored
from berylrock.platform import names

__all__ = [
    "InvalidConfig",
    "convert_config",
    "decode_config",
    "decode_engine",
    "decode_peer",
    "decode_rollout",
    "encode_peer",
    "encode_rollout_status",
]

MS_PER_S = 1000.0


# Largest values that an entry may hold; a larger one is another writer's mistake.
MAX_COUNT, MAX_SLOTS = 2**53, 100_000
MAX_WARMUP_MS, MAX_PORT = 3_600_000.0, 65_535

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


def _is_host(text: str) -> bool:
    """Tell whether a text is an IP address; there is no name service."""
    try:
        return bool(ipaddress.IPv4Address(text))
    except ValueError:
        return False


# The platform calls a service a backend, an organisation a tenant, and the models of a route its
# sizes.
class _Split(msgspec.Struct):
    backend: str
    weight: float = 1.0


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    sizes: list[str] = []
    backend: str | None = None
    traffic_split: list[_Split] | None = None
    max_attempts: int = 1
    public: bool = False
    stream_resume: bool = False
    # ITL: inter-token latency.
    itl_target_ms: float = 0.0


class _Model(msgspec.Struct):
    name: str
    cost: float = 0.0


class _EngineLimits(msgspec.Struct, rename="kebab"):
    batch_slots: int = 0
    kv_capacity: int = 0
    models: list[_Model] = []


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    health_path: str = "/"
    max_conns: int = 100
    warmup_s: float = 0.0
    warmup_per_s: float = 0.0
    engine: _EngineLimits | None = None


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Organisation(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route] = []
    backends: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Organisation] | None = None


def _convert_route(raw: _Route) -> routing.Route:
    splits = tuple(routing.Split(item.backend, item.weight) for item in raw.traffic_split or [])
    if not splits and raw.backend:
        splits = (routing.Split(raw.backend, 1.0),)
    # A route of an unknown type counts as not repeatable.
    route_kind: Any = names.ROUTE_KINDS.get(raw.route_type, "non_idempotent")
    return routing.Route(
        name=raw.name,
        host=raw.hostname.lower(),
        prefix=raw.path_prefix,
        splits=splits,
        kind=route_kind,
        timeout_s=raw.timeout_ms / MS_PER_S,
        latency_target_s=raw.target_latency_ms / MS_PER_S,
        max_attempts=max(1, raw.max_attempts),
        priority=raw.priority,
        public=raw.public,
        resumable=raw.stream_resume,
        models=tuple(raw.sizes),
        event_gap_target_s=raw.itl_target_ms / MS_PER_S,
    )


def _convert_service(raw: _Service) -> routing.Service:
    engine = raw.engine or _EngineLimits()
    return routing.Service(
        name=raw.name,
        health_path=raw.health_path,
        max_connections=raw.max_conns,
        warmup_s=raw.warmup_s,
        warmup_per_s=raw.warmup_per_s,
        slots=engine.batch_slots,
        token_capacity=engine.kv_capacity,
        models=tuple(routing.EngineModel(item.name, item.cost) for item in engine.models),
    )


class InvalidConfig(errors.BerylrockError):
    """A configuration lacks a value or has one of another type; ``place`` tells which."""

    def __init__(self, text: str, place: str) -> None:
        super().__init__(text)
        self.place = place


def decode_config(spec: Any) -> routing.Config | None:
    """Decode a configuration; None if it is invalid."""
    try:
        return convert_config(spec)
    except InvalidConfig:
        return None


def convert_config(spec: Any) -> routing.Config:
    """Convert a configuration; raises ``InvalidConfig`` if it is invalid."""
    try:
        raw = msgspec.convert(spec, _Config, strict=False)
    except msgspec.ValidationError as exc:
        text, _, place = str(exc).partition(" - at `$.")
        raise InvalidConfig(text, place.rstrip("`") or "document") from exc
    limits = raw.limits
    return routing.Config(
        version=raw.version,
        routes=tuple(_convert_route(item) for item in raw.routes),
        services=tuple(_convert_service(item) for item in raw.backends),
        organisations=tuple(
            routing.Organisation(item.name, tuple(item.api_keys), item.priority)
            for item in raw.tenants or []
        ),
        has_organisations=raw.tenants is not None,
        limits=routing.Limits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


class _Engine(msgspec.Struct, rename="kebab"):
    backend: str
    address: str
    zone: str
    version: str
    state: str
    batch_slots: Annotated[int, msgspec.Meta(le=MAX_SLOTS)]
    warmup_left_ms: Annotated[float, msgspec.Meta(le=MAX_WARMUP_MS)]
    sequence: _Count
    # Not all engines tell when they started.
    born: _Count = 0


def _is_header_value(text: str) -> bool:
    """Tell whether a text can be sent as the value of a header, and arrives as it is."""
    return text.isascii() and text.isprintable() and text == text.strip() != ""


def decode_engine(item: stored.StoredObject) -> routing.Engine | None:
    """Decode an engine's record; None if it is invalid or neither ready nor draining.

    An engine's id is sent to it with each request, so that it must be fit for a header.
    """
    if not _is_header_value(item.name):
        return None
    try:
        raw = msgspec.convert(item.spec, _Engine, strict=True)
        host, _, port = raw.address.rpartition(":")
        address = (host, int(port))
    except (msgspec.ValidationError, ValueError):
        return None
    if raw.state not in (names.STATE_READY, names.STATE_DRAINING):
        return None
    if not _is_host(host) or not 0 < address[1] <= MAX_PORT:
        return None
    return routing.Engine(
        id=item.name,
        service=raw.backend,
        address=address,
        zone=raw.zone,
        version=raw.version,
        slots=max(1, raw.batch_slots),
        draining=raw.state == names.STATE_DRAINING,
        warmup_left_s=max(0.0, raw.warmup_left_ms / MS_PER_S),
        revision=item.revision,
        started_ms=raw.born,
        sequence=raw.sequence,
    )


class _Rollout(msgspec.Struct, rename="kebab"):
    backend: str
    target: str
    duration_s: float = 0.0


class _RolloutStatus(msgspec.Struct):
    state: str
    target: str = ""
    stage: int = 0
    began_ms: int = 0


def decode_rollout(item: stored.StoredObject) -> routing.Rollout | None:
    """Decode a rollout and its status; None if its spec is invalid."""
    try:
        raw = msgspec.convert(item.spec, _Rollout, strict=False)
    except msgspec.ValidationError:
        return None
    status = None
    try:
        status = msgspec.convert(item.status, _RolloutStatus) if item.status else None
    except msgspec.ValidationError:
        status = None
    if status is None or status.target != raw.target or status.state not in names.ROLLOUT_STATES:
        # A rollout without a valid status is new. A status for another target belongs to an earlier
        # rollout.
        return routing.Rollout(raw.backend, raw.target, raw.duration_s, "new", 0, item.revision)
    state: Any = names.ROLLOUT_STATES[status.state]
    return routing.Rollout(
        raw.backend,
        raw.target,
        raw.duration_s,
        state,
        status.stage,
        item.revision,
        status.began_ms,
    )


def encode_rollout_status(rollout: routing.Rollout) -> dict[str, Any]:
    """Return the status of a rollout in the platform's format."""
    # The platform has no name for the state ``new``.
    state = names.ROLLOUT_STATE_NAMES.get(rollout.state, "in_progress")
    return {
        "state": state,
        "target": rollout.target,
        "stage": rollout.stage,
        "began_ms": rollout.began_ms,
    }


class _Peer(msgspec.Struct):
    heartbeat: _Count = msgspec.field(name="beat")
    address: str = ""
    zone: str = ""
    link_mbps: float = 0.0
    evidence: dict[str, tuple[int, ...]] = {}
    blamed_parts: tuple[tuple[str, bool, int], ...] = ()
    blame_trials: tuple[int, ...] = ()
    limits: dict[str, float] = {}


def decode_peer(item: stored.StoredObject) -> routing.Peer | None:
    """Decode the record of a gateway; None if it is invalid."""
    try:
        raw = msgspec.convert(item.spec, _Peer)
    except msgspec.ValidationError:
        return None
    if raw.address and not _is_host(raw.address):
        return None
    return routing.Peer(
        name=item.name,
        address=raw.address,
        zone=raw.zone,
        link_mbps=raw.link_mbps,
        heartbeat=raw.heartbeat,
        evidence=raw.evidence,
        revision=item.revision,
        blames=routing.make_blames(raw.blamed_parts, raw.blame_trials),
        limits=raw.limits,
    )


def encode_peer(peer: routing.Peer) -> dict[str, Any]:
    """Return the record of a gateway in the platform's format."""
    return {
        "beat": peer.heartbeat,
        "address": peer.address,
        "zone": peer.zone,
        "link_mbps": peer.link_mbps,
        "evidence": peer.evidence,
        "blamed_parts": [item[:3] for item in peer.blames],
        "blame_trials": [item.trials for item in peer.blames],
        "limits": peer.limits,
    }
