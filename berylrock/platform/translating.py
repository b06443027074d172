"""Converts requests and responses between the platform's headers and the gateway's types."""

import math
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.core import routing
from berylrock.platform import names

__all__ = [
    "ResponseHead",
    "Headers",
    "read_response_head",
    "read_request",
    "build_engine_headers",
    "build_refusal_headers",
]

Headers = list[tuple[bytes, bytes]]

MS_PER_S = 1000.0
# Longer numbers than this are no counts or ids that anyone has.
MAX_DIGITS = 15


class ResponseHead(NamedTuple):
    """Head of an engine's response.

    Attributes:
      status: HTTP status.
      request_id: Id of the request, as echoed by the engine; empty if it is missing, and all of
        them if there are different ones.
      signed: Whether the response has the engine's signature.
      not_run: Whether the engine states that it did not run the request.
      encoded: Whether the body has a content encoding, so that it is not the engine's own bytes.
      confidence: The model's confidence in its output, 0 to 100; None if not given.
      retry_after_s: Seconds after which the engine may be asked again; None if not given.
      cold_s: Seconds for which the engine remains cold; None if not given.
      closes: Whether the engine closes the connection after the response.
      keep_alive_s: Seconds for which the engine keeps the connection open; None if not given.
      framed: Whether the body has a length or chunks; otherwise it ends with the connection.
      leaving: Whether the engine says that it is about to leave.
      limit_per_s: Requests per second that the engine takes from all gateways together; infinite
        if it names no limit, None if what it names is no such number.
      headers: Headers to pass on, as sent.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    encoded: bool
    confidence: int | None
    retry_after_s: float | None
    cold_s: float | None
    closes: bool
    keep_alive_s: float | None
    framed: bool
    leaving: bool
    limit_per_s: float | None
    headers: tuple[tuple[bytes, bytes], ...]


def _text(fields: dict[bytes, bytes], name: bytes) -> str:
    return fields.get(name, b"").decode("latin-1").strip()


def _join_different(items: Headers, name: bytes) -> str:
    """Return the value of a header; all of them, if it is repeated with different values."""
    values = [value.decode("latin-1").strip() for key, value in items if key.lower() == name]
    return ", ".join(dict.fromkeys(values))


def _number(fields: dict[bytes, bytes], name: bytes) -> float | None:
    """Return the value of a header that holds a number, also an infinite one; None if not."""
    try:
        return float(fields[name])
    except (KeyError, ValueError):
        return None


def _finite_number(fields: dict[bytes, bytes], name: bytes) -> float | None:
    """Return the value of a header that holds a finite number; None if it holds none."""
    value = _number(fields, name)
    return value if value is not None and math.isfinite(value) else None


def _parse_count(text: str) -> int | None:
    """Return a number that is written in plain digits; None for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)


def _parse_tokens(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    counts = _parse_count(prompt.strip() or "0"), _parse_count(output.strip() or "0")
    return (0, 0) if counts[0] is None or counts[1] is None else (counts[0], counts[1])


def _parse_prompt_parts(text: str) -> tuple[routing.PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        name, _, digits = item.strip().partition(":")
        size = _parse_count(digits)
        if size is None:
            return ()
        parts.append(routing.PromptPart(name, size))
    return tuple(parts)


def read_request(
    method: bytes, target: bytes, raw: Iterable[tuple[bytes, bytes]]
) -> routing.RequestHead:
    """Read the head of a caller's request.

    Args:
      method: HTTP method.
      target: Path and query, as sent.
      raw: Headers, in order and spelling as received.

    Returns:
      The values of the headers, and the headers to pass on.
    """
    items = list(raw)
    fields = {name.lower(): value for name, value in items}
    prompt, output = _parse_tokens(_text(fields, names.TOKEN_FORECAST))
    deadline = _finite_number(fields, names.DEADLINE_MS)
    dropped = names.SYSTEM_HEADERS | names.CONNECTION_HEADERS | _connection_options(fields)
    return routing.RequestHead(
        id=_text(fields, names.REQUEST_ID),
        method=method.decode("latin-1"),
        target=target.decode("latin-1"),
        host=_text(fields, b"host").lower().partition(":")[0],
        key=_text(fields, names.API_KEY) if names.API_KEY in fields else None,
        deadline_s=None if deadline is None else deadline / MS_PER_S,
        model=_text(fields, names.MODEL),
        prompt_tokens=prompt,
        output_tokens=output,
        parts=_parse_prompt_parts(_text(fields, names.PROMPT_PARTS)),
        session=_text(fields, names.SESSION),
        last_event=_parse_count(_text(fields, names.LAST_EVENT)),
        headers=tuple(item for item in items if item[0].lower() not in dropped),
    )


def _connection_options(fields: dict[bytes, bytes]) -> frozenset[bytes]:
    """Return the headers that ``Connection`` lists, which apply to that connection only."""
    kept = {names.REQUEST_ID, names.MODEL, names.TOKEN_FORECAST, names.PROMPT_PARTS, b"host"}
    listed = {item.strip().lower() for item in fields.get(b"connection", b"").split(b",")}
    return frozenset(listed - kept)


def _encode(text: str) -> bytes:
    """Encode a text of the configuration for a header, as Latin-1 where that has its characters."""
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        return text.encode()


def build_engine_headers(req: routing.Request, options: routing.DispatchOptions) -> Headers:
    """Return the headers of a request that is forwarded to an engine."""
    headers: Headers = []
    for name, value in req.head.headers:
        if name.lower() == names.MODEL and options.model:
            value = _encode(options.model)
        headers.append((name, value))
    left_ms = max(1, int(options.deadline_s * MS_PER_S))
    headers.append((names.DEADLINE_MS, str(left_ms).encode()))
    headers.append((names.TARGET_ENGINE, _encode(options.engine_id)))
    if req.rank is not None:
        headers.append((names.ENGINE_PRIORITY, str(req.rank).encode()))
    if req.organisation is not None:
        headers.append((names.ORGANISATION, _encode(req.organisation)))
    if options.last_event is not None:
        headers.append((names.LAST_EVENT, str(options.last_event).encode()))
    if req.body or req.head.method not in ("GET", "HEAD", "DELETE"):
        headers.append((b"content-length", str(len(req.body)).encode()))
    return headers


def _parse_keep_alive(fields: dict[bytes, bytes]) -> float | None:
    for item in fields.get(b"keep-alive", b"").split(b","):
        name, _, value = item.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit() and len(value) <= MAX_DIGITS:
            return float(value)
    return None


def _parse_limit(fields: dict[bytes, bytes]) -> float | None:
    if names.RATE_LIMIT not in fields:
        return math.inf
    limit = _number(fields, names.RATE_LIMIT)
    return limit if limit is not None and 0.0 <= limit < math.inf else None


def read_response_head(status: int, raw: Iterable[tuple[bytes, bytes]]) -> ResponseHead:
    """Read the head of an engine's response."""
    items = list(raw)
    fields = {name.lower(): value for name, value in items}
    confidence = _finite_number(fields, names.CONFIDENCE)
    cold_ms = _finite_number(fields, names.WARMUP_MS)
    dropped = names.CONNECTION_HEADERS | _connection_options(fields)
    return ResponseHead(
        status=status,
        request_id=_join_different(items, names.REQUEST_ID),
        signed=names.SIGNATURE in fields,
        not_run=names.NOT_RUN in fields or status == 421,
        encoded=fields.get(b"content-encoding", b"identity").lower() not in (b"", b"identity"),
        confidence=None if confidence is None else int(confidence),
        retry_after_s=_number(fields, names.RETRY_AFTER),
        cold_s=None if cold_ms is None else cold_ms / MS_PER_S,
        closes=b"close" in fields.get(b"connection", b"").lower(),
        keep_alive_s=_parse_keep_alive(fields),
        leaving=_text(fields, names.LEAVING) == "1",
        limit_per_s=_parse_limit(fields),
        framed=b"content-length" in fields or b"transfer-encoding" in fields,
        headers=tuple(item for item in items if item[0].lower() not in dropped),
    )


def build_refusal_headers(request_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of a response that the gateway itself sends."""
    headers: Headers = [(b"content-length", b"0")]
    if request_id:
        headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
    return headers
