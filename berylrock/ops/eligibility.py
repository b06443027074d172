"""Selects the versions that a request may run on, before a policy orders them by preference.

A policy plug-in receives only versions that the organisation may use, that are not withdrawn, and
that are on the request's side of a rollout. So no plug-in can choose any other version.
"""

from typing import NamedTuple

from berylrock.core import data
from berylrock.ops import sessions, versionhealth
from berylrock.plugins import registry

__all__ = ["ANY_MODEL", "RolloutView", "find_candidates", "find_preferences", "is_usable"]

ANY_MODEL = "auto"


class RolloutView(NamedTuple):
    """The state of rollouts and versions that the fleet shares beside the document.

    Attributes:
      percent: Percentage that each rollout has reached, by ``model@version`` of the new version.
      bad: Versions found bad, each as ``model@version``.
    """

    percent: dict[str, float]
    bad: frozenset[str]


def is_usable(
    doc: data.Document, organisation: data.Organisation, version_id: data.VersionId
) -> bool:
    """Tell whether an organisation's new requests may run on a version."""
    text = str(version_id)
    if versionhealth.find_version(doc, text) is None or text in doc.withdrawals:
        return False
    return data.is_allowed(organisation, version_id)


def find_preferences(organisation: data.Organisation, kind: str) -> registry.Preferences:
    """Return an organisation's target rating and highest price for a kind of request."""
    quality = organisation.quality.get(kind, organisation.quality[data.DEFAULT_KIND])
    return registry.Preferences(quality, organisation.cost_per_million)


def find_candidates(
    doc: data.Document,
    organisation: data.Organisation,
    requested_model: str,
    kind: str,
    bucketing_key: str,
    view: RolloutView,
) -> tuple[registry.Candidate, ...]:
    """Find the versions that a request may run on.

    Args:
      doc: The document in force.
      organisation: The organisation that sends the request.
      requested_model: What the caller requested_model for: ``auto``, a model, or ``model@version``.
      kind: Kind of request.
      bucketing_key: Session or request id; its hash determines the side of each rollout.
      view: State of rollouts and versions.

    Returns:
      The versions, in the document's order. Versions found bad are included only if there are no
      others.
    """
    candidates = [
        registry.Candidate(
            data.VersionId(model.name, version.name),
            version.cost_per_million,
            versionhealth.expected_quality(version, kind),
        )
        for model in doc.models
        for version in model.versions
        if _is_requested(requested_model, model.name, version.name)
    ]
    usable = [item for item in candidates if is_usable(doc, organisation, item.version_id)]
    if "@" not in requested_model:
        usable = _split_rollouts(doc, usable, bucketing_key, view)
    good = [item for item in usable if str(item.version_id) not in view.bad]
    return tuple(good or usable)


def _is_requested(requested_model: str, model: str, version: str) -> bool:
    return requested_model in (ANY_MODEL, "", model, f"{model}@{version}")


def _split_rollouts(
    doc: data.Document,
    candidates: list[registry.Candidate],
    bucketing_key: str,
    view: RolloutView,
) -> list[registry.Candidate]:
    """Remove the candidates that are on the other side of their model's rollout."""
    for rollout in doc.rollouts:
        new = data.VersionId(rollout.model, rollout.new)
        old = data.VersionId(rollout.model, rollout.old)
        reached = min(rollout.percent, view.percent.get(str(new), 0.0))
        if rollout.state == "aborted" or str(new) in view.bad:
            reached = 0.0
        dropped = old if sessions.bucket(bucketing_key) < reached else new
        kept = [item for item in candidates if item.version_id != dropped]
        # If neither of the rollout's versions would remain, the request may use the other side.
        if any(item.version_id in (old, new) for item in kept):
            candidates = kept
    return candidates
