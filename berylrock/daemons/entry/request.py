"""Parses callers' HTTP requests into typed values and rejects invalid ones."""

import hashlib
import re
import secrets
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from aiohttp import web

from berylrock.core import data
from berylrock.daemons import admin
from berylrock.daemons.entry import outcome
from berylrock.loader import settings

__all__ = [
    "ServiceCall",
    "Caller",
    "CompletionRequest",
    "read_call",
    "read_caller",
    "read_completion",
]

ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
CHARS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 512
MAX_TIMEOUT_SECONDS = 3600.0
PRIORITY_RANGE = 10
NOT_FORWARDED_HEADERS = frozenset(
    (
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "transfer-encoding",
        "upgrade",
    )
)


class Caller(NamedTuple):
    """The caller of a request, and the options that every request has.

    Attributes:
      request_id: The id that the caller gave the request, or a new one.
      organisation: The organisation that the caller's API key belongs to.
      timeout_seconds: Time until the request's deadline.
      priority: The organisation's priority plus the X-Priority header, which is from -10 to 0.
      idempotency_key: The caller's idempotency key, or an empty string.
      is_connected: Tells whether the caller's connection is still open.
    """

    request_id: str
    organisation: data.Organisation
    timeout_seconds: float
    priority: int
    idempotency_key: str
    is_connected: Callable[[], bool]


class CompletionRequest(NamedTuple):
    """A chat completion request.

    Attributes:
      caller: The caller.
      requested_model: ``auto``, a model, or ``model@version``.
      kind: Kind of request; the quality of versions is configured per kind.
      session: The session header as received, or an empty string.
      stream: Whether the answer is sent as server-sent events.
      body: The body as received.
      tokens: Tokens to reserve: the estimated length of the prompt plus the maximum length of the
        answer.
      fingerprint: Digest of the organisation and the messages.
    """

    caller: Caller
    requested_model: str
    kind: str
    session: str
    stream: bool
    body: bytes
    tokens: int
    fingerprint: str


class ServiceCall(NamedTuple):
    """A call to a plain service, which is a service that is not a model.

    Attributes:
      caller: The caller.
      service: The service.
      repeatable: Whether the call may run more than once.
      method: HTTP method.
      path: Path and query at the service.
      headers: Header lines to forward.
      body: The body as received.
      fingerprint: Digest of the organisation, the method, the path and the body.
    """

    caller: Caller
    service: data.Service
    repeatable: bool
    method: str
    path: str
    headers: tuple[str, ...]
    body: bytes
    fingerprint: str


class _Body(msgspec.Struct):
    messages: list[dict[str, Any]]
    model: str = "auto"
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    metadata: dict[str, Any] = {}


def _digest(*parts: bytes) -> str:
    return hashlib.sha256(b"\0".join(parts)).hexdigest()


def _read_number_header(req: web.Request, name: str, low: float, high: float) -> float | None:
    text = req.headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if not low <= value <= high:
        raise outcome.NotRun(400, "bad_header", f"{name} must be a number from {low} to {high}")
    return value


def _read_id_header(req: web.Request, name: str) -> str:
    text = req.headers.get(name, "")
    if text and not ID_PATTERN.fullmatch(text):
        remedy = f"{name} must be 1 to 128 letters, digits or . _ : -"
        raise outcome.NotRun(400, "bad_header", remedy)
    return text


def read_caller(req: web.Request, doc: data.Document, cfg: settings.EntrySettings) -> Caller:
    """Authenticate the caller and parse the headers that every request may have.

    Args:
      req: The HTTP request.
      doc: The document in force.
      cfg: The process's settings.

    Returns:
      The caller.

    Raises:
      NotRun: The API key is missing or unknown, or a header is invalid.
    """
    header = req.headers.get("Authorization", "")
    if not header.startswith("Bearer "):
        raise outcome.NotRun(401, "no_key", "send the header 'Authorization: Bearer <caller key>'")
    digest = admin.digest_key(header.removeprefix("Bearer "))
    owners = [item for item in doc.organisations if digest in item.key_sha256]
    if not owners:
        raise outcome.NotRun(401, "unknown_key", "use a caller key listed for your organisation")
    priority = _read_number_header(req, "X-Priority", -PRIORITY_RANGE, 0) or 0
    timeout_ms = _read_number_header(req, "X-Timeout-Ms", 1, MAX_TIMEOUT_SECONDS * 1000)
    timeout = timeout_ms / 1000 if timeout_ms else cfg.default_timeout_seconds
    return Caller(
        _read_id_header(req, "X-Request-Id") or secrets.token_hex(12),
        owners[0],
        timeout,
        owners[0].priority + int(priority),
        _read_id_header(req, "Idempotency-Key"),
        lambda: req.transport is not None and not req.transport.is_closing(),
    )


def _count_characters(value: Any) -> int:
    if isinstance(value, str):
        return len(value)
    if isinstance(value, dict):
        return sum(_count_characters(item) for item in value.values())
    if isinstance(value, list):
        return sum(_count_characters(item) for item in value)
    return 0


def read_completion(req: web.Request, raw: bytes, caller: Caller) -> CompletionRequest:
    """Parse a chat completion request.

    Args:
      req: The HTTP request.
      raw: Its body.
      caller: Its caller.

    Returns:
      The request.

    Raises:
      NotRun: The body is not a valid chat completion request.
    """
    try:
        body = msgspec.json.decode(raw, type=_Body)
    except msgspec.MsgspecError as exc:
        remedy = f"send a chat completion request as JSON: {exc}"
        raise outcome.NotRun(400, "bad_body", remedy) from exc
    kind = req.headers.get("X-Request-Kind") or str(body.metadata.get("kind", data.DEFAULT_KIND))
    prompt = _count_characters(body.messages) // CHARS_PER_TOKEN + 1
    max_answer_tokens = body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS
    if max_answer_tokens < 1:
        raise outcome.NotRun(
            400, "bad_body", "max_tokens and max_completion_tokens must be at least 1"
        )
    content = msgspec.json.encode(body.messages, order="sorted")
    return CompletionRequest(
        caller,
        body.model,
        kind,
        req.headers.get("X-Session", ""),
        body.stream,
        raw,
        prompt + max_answer_tokens,
        _digest(caller.organisation.name.encode(), content),
    )


def read_call(req: web.Request, raw: bytes, caller: Caller, doc: data.Document) -> ServiceCall:
    """Parse a call to a plain service, ``/services/<name>/<path>``.

    Args:
      req: The HTTP request.
      raw: Its body.
      caller: Its caller.
      doc: The document in force.

    Returns:
      The call.

    Raises:
      NotRun: The document has no such service.
    """
    name = req.match_info["service"]
    services = [item for item in doc.services if item.name == name]
    if not services:
        known = ", ".join(item.name for item in doc.services)
        raise outcome.NotRun(404, "unknown_service", f"no service {name}; use one of: {known}")
    path = req.raw_path.removeprefix(f"/services/{name}") or "/"
    rule = data.find_call_rule(services[0], req.method, path.partition("?")[0])
    headers = tuple(
        f"{key}: {value}"
        for key, value in req.headers.items()
        if key.lower() not in NOT_FORWARDED_HEADERS
    )
    digest = _digest(caller.organisation.name.encode(), req.method.encode(), path.encode(), raw)
    return ServiceCall(caller, services[0], rule.idempotent, req.method, path, headers, raw, digest)
