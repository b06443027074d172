"""Decides whether a request may run, by its head, and which service it is for."""

import hashlib
from typing import NamedTuple

from berylrock.core import routing
from berylrock.daemons.gateway import context, crashes
from berylrock.ops import freshness, returns, routetable, suspects

__all__ = ["Refused", "admit"]

# The configuration must have been confirmed within the time in which a revoked key must stop
# working, less the time that a call to the store may take.
FRESHNESS_MARGIN_S = 0.25
# Deadlines end this much early, so that the response is sent before the caller stops waiting.
EXPIRY_MARGIN_S = 0.03


class Refused(NamedTuple):
    """A refusal by the gateway; the request has not run.

    Attributes:
      status: HTTP status.
      reason: Why, for the log.
      retry_after_s: Seconds after which the caller may retry; None if a retry is pointless.
    """

    status: int
    reason: str
    retry_after_s: float | None = None


def _fingerprint(head: routing.RequestHead, organisation: str, body: bytes) -> str:
    hasher = hashlib.blake2b(digest_size=12)
    for item in (organisation.encode(), head.method.encode(), head.target.encode(), body):
        hasher.update(len(item).to_bytes(8, "big"))
        hasher.update(item)
    return hasher.hexdigest()


def _check_state(ctx: context.Context, head: routing.RequestHead) -> Refused | None:
    """Refuse a request if too little is known to serve any, or if a key may have been withdrawn."""
    if not ctx.informed:
        return Refused(503, "no_configuration", returns.MIN_RETURN_S)
    age_s = ctx.config_freshness.age(freshness.boottime_clock())
    if age_s <= ctx.cfg.bounds.revoke_s - FRESHNESS_MARGIN_S:
        return None
    return_s = returns.after_outage_s(age_s, head.deadline_s or 0.0, ctx.rng.random())
    return Refused(503, "configuration_too_old", return_s)


def _check_crashes(
    ctx: context.Context, head: routing.RequestHead, fingerprint: str, now: float
) -> tuple[str, ...] | Refused:
    """Refuse a request that crashes engines, by itself or by a part of its prompt.

    Returns:
      What is blamed and the request may try again, mostly nothing; or the refusal.
    """
    found = crashes.check(ctx, head, fingerprint)
    if found.refused_for:
        is_request = suspects.is_request(found.refused_for)
        reason = "crashes_engines" if is_request else "prompt_part_crashes_engines"
        return Refused(503, reason, found.return_s)
    ctx.blame.rates.record(head.shared_parts, now)
    return found.tried


def admit(
    ctx: context.Context, head: routing.RequestHead, body: bytes, received_at: float
) -> routing.Request | Refused:
    """Decide whether a request may run.

    Args:
      ctx: State of the gateway.
      head: Head of the request.
      body: Complete body of the request.
      received_at: When the head was read, on the event loop's clock.

    Returns:
      The request to run, or the refusal.
    """
    table = ctx.table
    refused = _check_state(ctx, head)
    if table is None or refused is not None:
        return refused or Refused(503, "no_configuration", returns.MIN_RETURN_S)
    route = table.find_route(head.host, head.target)
    if route is None:
        return Refused(404, "no_route")
    if not head.id:
        return Refused(400, "no_request_id")
    organisation = table.find_organisation(head.key)
    if not table.may_call(organisation, route):
        return Refused(401, "unknown_key")
    service = routetable.choose_service(route, head.session or head.id)
    if service is None:
        return Refused(503, "no_service", returns.MIN_RETURN_S)
    name = organisation.name if organisation is not None else ""
    fingerprint = _fingerprint(head, name, body)
    tried = _check_crashes(ctx, head, fingerprint, received_at)
    if isinstance(tried, Refused):
        return tried
    timeout_s = min(route.timeout_s, head.deadline_s or route.timeout_s)
    if timeout_s <= 0.0:
        return Refused(503, "no_time_left")
    return routing.Request(
        head=head,
        body=body,
        route=route,
        service=service,
        organisation=name if organisation is not None else None,
        received_at=received_at,
        expires_at=received_at + timeout_s - EXPIRY_MARGIN_S,
        fingerprint=fingerprint,
        config_version=table.config.version,
        tried=tried,
        rank=table.find_rank(route, organisation),
    )
