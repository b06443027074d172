"""Defines the three outcomes of a request that are reported to its caller.

``done``: the request ran and this is its answer. ``not-run``: it ran nowhere and may be sent again.
``unknown-not-repeated``: it may have run, and the system will not run it again.
"""

import msgspec
from aiohttp import web

__all__ = [
    "DONE",
    "HEADER",
    "NOT_RUN",
    "UNKNOWN",
    "RequestFailed",
    "NotRun",
    "Unknown",
    "encode_error",
    "make_error_response",
]

HEADER = "X-Berylrock-Outcome"
DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown-not-repeated"


class RequestFailed(Exception):
    """The request ended without a complete answer of a backend server.

    Attributes:
      status: HTTP status.
      reason: Machine-readable reason.
      detail: What happened and what the caller can do.
    """

    outcome = ""

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(f"{reason}: {detail}")
        self.status = status
        self.reason = reason
        self.detail = detail


class NotRun(RequestFailed):
    """The request ran nowhere."""

    outcome = NOT_RUN


class Unknown(RequestFailed):
    """The request may have run, and is not repeated."""

    outcome = UNKNOWN


class _Error(msgspec.Struct):
    type: str
    message: str
    outcome: str
    request_id: str


class _ErrorBody(msgspec.Struct):
    error: _Error


def encode_error(failure: RequestFailed, request_id: str) -> bytes:
    """Encode a failure as the JSON body of an error response."""
    error = _Error(failure.reason, failure.detail, failure.outcome, request_id)
    return msgspec.json.encode(_ErrorBody(error))


def make_error_response(failure: RequestFailed, request_id: str) -> web.Response:
    """Build the HTTP error response for a failure.

    A response with status 429 or 503 asks the caller to retry after 1 second.
    """
    headers = {HEADER: failure.outcome, "X-Request-Id": request_id}
    if failure.status in (429, 503):
        headers["Retry-After"] = "1"
    return web.Response(
        status=failure.status,
        body=encode_error(failure, request_id),
        content_type="application/json",
        headers=headers,
    )
