"""Names what may crash engines: a shared part of prompts, or one request that is sent again."""

__all__ = ["digest_of", "is_request", "list_suspects", "name_request", "request_digest"]

REQUEST_PREFIX = "request:"
# Of a request's fingerprint, so many digits are told to other gateways.
DIGEST_DIGITS = 12


def request_digest(fingerprint: str) -> str:
    """Return the first digits of a request's fingerprint, by which gateways name it."""
    return fingerprint[:DIGEST_DIGITS]


def name_request(digest: str) -> str:
    """Return the suspect that stands for a whole request; ids of prompt parts have no colon."""
    return REQUEST_PREFIX + digest


def digest_of(suspect: str) -> str:
    """Return the digest of a suspect that is a whole request."""
    return suspect.removeprefix(REQUEST_PREFIX)


def is_request(suspect: str) -> bool:
    """Tell whether a suspect is a whole request."""
    return suspect.startswith(REQUEST_PREFIX)


def list_suspects(parts: tuple[str, ...], digest: str) -> tuple[str, ...]:
    """Return all that may be to blame when an engine crashes under a request.

    Args:
      parts: Ids of the shared parts of its prompt.
      digest: From ``request_digest``.
    """
    return (*parts, name_request(digest))
