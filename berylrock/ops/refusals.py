"""Decides whether an engine's refusal proves that a request has not run.

Scenario: an engine, or a proxy before it, sends an earlier refusal once more where the answer to an
order is due, and the order runs. Whoever believes it sends the order to a second engine, or tells
the caller that it has not run.
"""

__all__ = ["find_doubt"]

BAD_REQUEST, REQUEST_TIMEOUT, MISDIRECTED = 400, 408, 421
TOO_MANY_REQUESTS, UNAVAILABLE = 429, 503
# Any other status says that the request ran, or nothing of it.
REFUSAL_STATUSES = frozenset(
    (BAD_REQUEST, REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE)
)


def find_doubt(status: int, named_id: str, request_id: str) -> str:
    """Return why a refusal does not prove that a request has not run; empty if it does.

    Args:
      status: HTTP status of the refusal.
      named_id: Id of the request that the refusal names; empty if it names none.
      request_id: Id of the request that was sent on the connection.
    """
    if not named_id:
        return "refusal that names no request"
    if named_id != request_id:
        return "refusal of another request"
    if status not in REFUSAL_STATUSES:
        return "refusal whose status contradicts it"
    return ""
