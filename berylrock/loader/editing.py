"""Edits single values in a document's text and preserves the rest, including comments."""

import json
from collections.abc import Sequence

from berylrock.core import data
from berylrock.loader import positions

__all__ = ["add_withdrawal", "set_rollout", "set_zone"]


def _replace(text: str, span: positions.Span, value: object) -> str:
    return text[: span.start] + json.dumps(value) + text[span.end :]


def _insert_member(text: str, span: positions.Span, member: str) -> str:
    """Insert a member or item at the beginning of an object or array."""
    body = text[span.start + 1 : span.end - 1]
    has_members = any(token.text for token in positions.find_tokens(body))
    separator = ", " if has_members else ""
    return text[: span.start + 1] + member + separator + body + text[span.end - 1 :]


def _set_member(text: str, path: positions.Path, key: str, value: object) -> str:
    spans = positions.find_spans(text)
    span = spans.get((*path, key))
    if span is not None:
        return _replace(text, span, value)
    return _insert_member(text, spans[path], f"{json.dumps(key)}: {json.dumps(value)}")


def _add_item(text: str, section: str, item: object) -> str:
    spans = positions.find_spans(text)
    span = spans.get((section,))
    if span is None:
        return _insert_member(text, spans[()], f"{json.dumps(section)}: {json.dumps([item])}")
    return _insert_member(text, span, json.dumps(item))


def _find_index(names: Sequence[str], name: str, description: str) -> int:
    if name not in names:
        raise KeyError(f"{name!r} is not a known {description}; use one of: {', '.join(names)}")
    return list(names).index(name)


def set_zone(text: str, doc: data.Document, zone: str, in_service: bool) -> str:
    """Take an availability zone out of service or put it back into service.

    Args:
      text: The document's text.
      doc: The same document, parsed.
      zone: Name of the availability zone.
      in_service: Whether the zone is to get new requests.

    Returns:
      The changed text.

    Raises:
      KeyError: The document has no such availability zone.
    """
    index = _find_index([item.name for item in doc.zones], zone, "availability zone")
    return _set_member(text, ("zones", index), "in_service", in_service)


def add_withdrawal(text: str, doc: data.Document, version_id: str) -> str:
    """Add a version to the withdrawn versions, unless it is already withdrawn.

    Args:
      text: The document's text.
      doc: The same document, parsed.
      version_id: The version, as ``model@version``.

    Returns:
      The changed text.

    Raises:
      KeyError: The document has no such version.
    """
    version_ids = [f"{model.name}@{item.name}" for model in doc.models for item in model.versions]
    _find_index(version_ids, version_id, "version")
    if version_id in doc.withdrawals:
        return text
    return _add_item(text, "withdrawals", version_id)


def set_rollout(text: str, doc: data.Document, rollout: data.Rollout) -> str:
    """Add a model's rollout, or replace the rollout that the model already has.

    Args:
      text: The document's text.
      doc: The same document, parsed.
      rollout: The rollout.

    Returns:
      The changed text.

    Raises:
      KeyError: The document does not have the model or one of its versions.
    """
    version_ids = [f"{model.name}@{item.name}" for model in doc.models for item in model.versions]
    _find_index(version_ids, f"{rollout.model}@{rollout.old}", "version")
    _find_index(version_ids, f"{rollout.model}@{rollout.new}", "version")
    for index, item in enumerate(doc.rollouts):
        if item.model == rollout.model:
            span = positions.find_spans(text)[("rollouts", index)]
            return _replace(text, span, rollout._asdict())
    return _add_item(text, "rollouts", rollout._asdict())
