"""Converts the platform's objects to and from the gateway's types.

The store accepts writes from anyone, so objects can be invalid. The readers return None for an
invalid object, and their callers continue with the others.
"""

from typing import Any, NamedTuple

import msgspec

from berylrock.core import routing
from berylrock.platform import names

__all__ = [
    "Event",
    "Listing",
    "StoredObject",
    "read_config",
    "read_engine",
    "read_listing",
    "read_peer",
    "read_rollout",
    "read_stored",
    "write_peer",
    "write_rollout_status",
]

MS_PER_S = 1000.0


class StoredObject(NamedTuple):
    """An object of the store.

    Attributes:
      name: Name, unique within its kind.
      revision: Revision of the store at the object's last change.
      spec: Specification, written by the object's owner.
      status: Status, written by the system.
    """

    name: str
    revision: int
    spec: Any
    status: Any


class Event(NamedTuple):
    """A change of an object, as returned by a watch."""

    stored: StoredObject
    deleted: bool


class Listing(NamedTuple):
    """A page of the objects of a kind, or the changes that a watch returned.

    Attributes:
      objects: Objects of the page.
      events: Changes that the watch returned.
      has_more: Whether another page follows.
      revision: Revision of the store that the answer reflects.
    """

    objects: tuple[StoredObject, ...]
    events: tuple[Event, ...]
    has_more: bool
    revision: int


def _decode(body: bytes) -> Any:
    try:
        return msgspec.json.decode(body.decode("utf-8", "replace"))
    except msgspec.MsgspecError:
        return None


def _convert_object(raw: Any) -> StoredObject | None:
    if not isinstance(raw, dict) or not isinstance(raw.get("metadata"), dict):
        return None
    meta = raw["metadata"]
    name, revision = meta.get("name"), meta.get("revision")
    if not isinstance(name, str) or not isinstance(revision, int):
        return None
    return StoredObject(name, revision, raw.get("spec"), raw.get("status"))


def read_stored(body: bytes) -> StoredObject | None:
    """Read one object; None if it is invalid."""
    return _convert_object(_decode(body))


def read_listing(body: bytes) -> Listing | None:
    """Read the response to a list or a watch; None if it is invalid."""
    raw = _decode(body)
    if not isinstance(raw, dict) or not isinstance(raw.get("at"), int):
        return None
    objects = [_convert_object(item) for item in raw.get("entries") or []]
    events = []
    for item in raw.get("events") or []:
        stored = _convert_object(item.get("object")) if isinstance(item, dict) else None
        if stored is not None:
            events.append(Event(stored, bool(item.get("deleted"))))
    kept = tuple(item for item in objects if item is not None)
    return Listing(kept, tuple(events), bool(raw.get("has-more")), raw["at"])


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
    kind: Any = names.ROUTE_KINDS.get(raw.route_type, "non_idempotent")
    return routing.Route(
        name=raw.name,
        host=raw.hostname.lower(),
        prefix=raw.path_prefix,
        splits=splits,
        kind=kind,
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


def read_config(spec: Any) -> routing.Config | None:
    """Read a configuration; None if it is invalid."""
    try:
        raw = msgspec.convert(spec, _Config, strict=False)
    except msgspec.ValidationError:
        return None
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
    batch_slots: int = 1
    warmup_left_ms: float = 0.0


def read_engine(stored: StoredObject) -> routing.Engine | None:
    """Read an engine's entry; None if it is invalid, or the engine neither ready nor draining."""
    try:
        raw = msgspec.convert(stored.spec, _Engine, strict=True)
        host, _, port = raw.address.rpartition(":")
        address = (host, int(port))
    except (msgspec.ValidationError, ValueError):
        return None
    if raw.state not in (names.STATE_READY, names.STATE_DRAINING) or not host:
        return None
    return routing.Engine(
        id=stored.name,
        service=raw.backend,
        address=address,
        zone=raw.zone,
        version=raw.version,
        slots=max(1, raw.batch_slots),
        draining=raw.state == names.STATE_DRAINING,
        warmup_left_s=max(0.0, raw.warmup_left_ms / MS_PER_S),
        revision=stored.revision,
    )


class _Rollout(msgspec.Struct, rename="kebab"):
    backend: str
    target: str
    duration_s: float = 0.0


class _RolloutStatus(msgspec.Struct):
    state: str
    target: str = ""
    stage: int = 0


def read_rollout(stored: StoredObject) -> routing.Rollout | None:
    """Read a roll-out and its status; None if its spec is invalid."""
    try:
        raw = msgspec.convert(stored.spec, _Rollout, strict=False)
    except msgspec.ValidationError:
        return None
    status = None
    try:
        status = msgspec.convert(stored.status, _RolloutStatus) if stored.status else None
    except msgspec.ValidationError:
        status = None
    if status is None or status.target != raw.target or status.state not in names.ROLLOUT_STATES:
        # A status for another target belongs to an earlier roll-out and is ignored.
        return routing.Rollout(raw.backend, raw.target, raw.duration_s, "new", 0, stored.revision)
    state: Any = names.ROLLOUT_STATES[status.state]
    return routing.Rollout(
        raw.backend, raw.target, raw.duration_s, state, status.stage, stored.revision
    )


def write_rollout_status(rollout: routing.Rollout) -> dict[str, Any]:
    """Return the status of a roll-out in the platform's format."""
    state = names.ROLLOUT_STATE_NAMES.get(rollout.state, "in_progress")
    return {"state": state, "target": rollout.target, "stage": rollout.stage}


class _Peer(msgspec.Struct):
    beat: int
    address: str = ""
    evidence: dict[str, tuple[int, ...]] = {}
    suspects: dict[str, tuple[str, ...]] = {}


def read_peer(stored: StoredObject) -> routing.Peer | None:
    """Read the record of a gateway; None if it is invalid."""
    try:
        raw = msgspec.convert(stored.spec, _Peer)
    except msgspec.ValidationError:
        return None
    return routing.Peer(
        stored.name, raw.address, raw.beat, raw.evidence, raw.suspects, stored.revision
    )


def write_peer(peer: routing.Peer) -> dict[str, Any]:
    """Return the record of a gateway in the platform's format."""
    return {
        "beat": peer.heartbeat,
        "address": peer.address,
        "evidence": peer.evidence,
        "suspects": peer.suspects,
    }
