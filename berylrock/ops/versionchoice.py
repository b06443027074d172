"""Chooses the version for a request by the plan of its service's rollout."""

from typing import NamedTuple

from berylrock.ops import positions, rollouts

__all__ = [
    "COLLECTING",
    "HASH",
    "HELD",
    "ONLY",
    "TOLD",
    "VersionChoice",
    "choose_for_request",
    "choose_for_session",
]

# What decides the version of a request, as the log says it.
ONLY, COLLECTING, HELD, TOLD, HASH = "only", "collecting", "held", "told", "hash"


class VersionChoice(NamedTuple):
    """The version chosen for a request, and what decided it.

    Attributes:
      version: The version; None if none is known.
      source: What decided: ``ONLY`` if no rollout offers another one, ``COLLECTING`` before the
        first stage, ``HELD`` for a session that stays on the old version in that stage, ``TOLD`` if
        this gateway knows so from another one, ``HASH`` for the share of the stage.
      age_s: For how long this gateway has known that the session stays, in seconds; 0 for other
        sources.
    """

    version: str | None
    source: str
    age_s: float = 0.0


def choose_for_request(
    plan: rollouts.Plan, service: str, request_id: str, sampling_share: float = 0.0
) -> VersionChoice:
    """Choose the version for a request without a session.

    Args:
      plan: The service's plan.
      service: The service's name.
      request_id: The request's id.
      sampling_share: Share of such requests that goes to the version on trial, if that is more than
        the plan's.

    Returns:
      The version and its source.
    """
    if plan.trial is None:
        return VersionChoice(plan.stable, ONLY)
    if positions.find_position(service, plan.trial, request_id) < max(plan.share, sampling_share):
        return VersionChoice(plan.trial, HASH)
    return VersionChoice(plan.stable or plan.trial, HASH)


def choose_for_session(
    plan: rollouts.Plan, service: str, digest: bytes, held: bool
) -> VersionChoice:
    """Choose the version for a session's next request.

    Args:
      plan: The service's plan.
      service: The service's name.
      digest: Digest of the session's name.
      held: Whether the session stays on the old version in the first stage.

    Returns:
      The version and its source.
    """
    if plan.trial is None:
        return VersionChoice(plan.stable, ONLY)
    old = plan.stable or plan.trial
    if plan.stage == rollouts.COLLECTING_STAGE:
        return VersionChoice(old, COLLECTING)
    if plan.stage == 0 and held:
        return VersionChoice(old, HELD)
    if positions.find_position(service, plan.trial, digest.hex()) < plan.share:
        return VersionChoice(plan.trial, HASH)
    return VersionChoice(old, HASH)
