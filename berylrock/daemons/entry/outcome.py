"""The three ways in which a caller hears how its request ended.

``done``: it ran, here is the answer. ``not-run``: it ran nowhere and may be sent again.
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
    """A request that ends without an answer of a backend server.

    Attributes:
      status: HTTP status.
      reason: A short word for programs.
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


def encode_error(ended: RequestFailed, request_id: str) -> bytes:
    """The JSON body that tells a caller how its request ended."""
    error = _Error(ended.reason, ended.detail, ended.outcome, request_id)
    return msgspec.json.encode(_ErrorBody(error))


def make_error_response(ended: RequestFailed, request_id: str) -> web.Response:
    """The HTTP response that tells a caller how its request ended."""
    headers = {HEADER: ended.outcome, "X-Request-Id": request_id}
    if ended.status in (429, 503):
        headers["Retry-After"] = "1"
    return web.Response(
        status=ended.status,
        body=encode_error(ended, request_id),
        content_type="application/json",
        headers=headers,
    )
