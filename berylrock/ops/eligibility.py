"""Decides which versions a request may run on, before a policy orders them.

Whatever a plug-in prefers, it is only shown versions that are allowed, not withdrawn, and on the
request's side of a roll-out.
"""

from typing import NamedTuple

from berylrock.core import data
from berylrock.ops import sessions, versionhealth
from berylrock.plugins import registry

__all__ = ["ANY_MODEL", "RolloutView", "find_candidates", "find_preferences", "is_usable"]

ANY_MODEL = "auto"


class RolloutView(NamedTuple):
    """What the fleet knows beside the document.

    Attributes:
      percent: Share reached by each model's roll-out, by ``model@new``.
      bad: Versions found bad.
    """

    percent: dict[str, float]
    bad: frozenset[str]


def is_usable(
    doc: data.Document, organisation: data.Organisation, version_id: data.VersionId
) -> bool:
    """Tell whether an organisation's new work may go to a version."""
    text = str(version_id)
    if versionhealth.find_version(doc, text) is None or text in doc.withdrawals:
        return False
    return data.is_allowed(organisation, version_id)


def find_preferences(organisation: data.Organisation, kind: str) -> registry.Preferences:
    """What an organisation asks for, for a kind of request."""
    quality = organisation.quality.get(kind, organisation.quality[data.DEFAULT_KIND])
    return registry.Preferences(quality, organisation.cost_per_million)


def find_candidates(
    doc: data.Document,
    organisation: data.Organisation,
    asked: str,
    kind: str,
    bucketing_key: str,
    view: RolloutView,
) -> tuple[registry.Candidate, ...]:
    """Find the versions that a request may run on.

    Args:
      doc: The document in force.
      organisation: Whose request it is.
      asked: What the caller asked for: ``auto``, a model, or ``model@version``.
      kind: Kind of request.
      bucketing_key: Session or request id, which fixes its side of a roll-out.
      view: What the fleet knows beside the document.

    Returns:
      The versions, in the document's order. A version found bad is offered only if there is no
      other.
    """
    candidates = [
        registry.Candidate(
            data.VersionId(model.name, version.name),
            version.cost_per_million,
            versionhealth.expected_quality(version, kind),
        )
        for model in doc.models
        for version in model.versions
        if _is_asked(asked, model.name, version.name)
    ]
    usable = [item for item in candidates if is_usable(doc, organisation, item.version_id)]
    if "@" not in asked:
        usable = _split_rollouts(doc, usable, bucketing_key, view)
    good = [item for item in usable if str(item.version_id) not in view.bad]
    return tuple(good or usable)


def _is_asked(asked: str, model: str, version: str) -> bool:
    return asked in (ANY_MODEL, "", model, f"{model}@{version}")


def _split_rollouts(
    doc: data.Document,
    candidates: list[registry.Candidate],
    bucketing_key: str,
    view: RolloutView,
) -> list[registry.Candidate]:
    """Leave each model's candidates on the request's side of its roll-out."""
    for rollout in doc.rollouts:
        new = data.VersionId(rollout.model, rollout.new)
        old = data.VersionId(rollout.model, rollout.old)
        reached = min(rollout.percent, view.percent.get(str(new), 0.0))
        if rollout.state == "aborted" or str(new) in view.bad:
            reached = 0.0
        dropped = old if sessions.bucket(bucketing_key) < reached else new
        kept = [item for item in candidates if item.version_id != dropped]
        # A session whose side has nothing left is served by the other one.
        if any(item.version_id in (old, new) for item in kept):
            candidates = kept
    return candidates
