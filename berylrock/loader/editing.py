"""Changes one value of a document's text and leaves the rest, comments included, as it was."""

import json
from collections.abc import Sequence

from berylrock.core import data
from berylrock.loader import positions

__all__ = ["add_withdrawal", "set_rollout", "set_zone"]


def _replace(text: str, span: positions.Span, value: object) -> str:
    return text[: span.start] + json.dumps(value) + text[span.end :]


def _insert_member(text: str, span: positions.Span, member: str) -> str:
    """Insert a member as the first one of an object or array."""
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


def _append_item(text: str, section: str, item: object) -> str:
    spans = positions.find_spans(text)
    span = spans.get((section,))
    if span is None:
        return _insert_member(text, spans[()], f"{json.dumps(section)}: {json.dumps([item])}")
    return _insert_member(text, span, json.dumps(item))


def _index(names: Sequence[str], name: str, what: str) -> int:
    if name not in names:
        raise KeyError(f"{name!r} is no {what}; one of: {', '.join(names)}")
    return list(names).index(name)


def set_zone(text: str, doc: data.Document, zone: str, in_service: bool) -> str:
    """Take an availability zone out of service or back into it.

    Args:
      text: The document's text.
      doc: The same document, read.
      zone: Name of the zone.
      in_service: Whether it is to get new work.

    Returns:
      The changed text.

    Raises:
      KeyError: The document has no such zone.
    """
    index = _index([item.name for item in doc.zones], zone, "availability zone")
    return _set_member(text, ("zones", index), "in_service", in_service)


def add_withdrawal(text: str, doc: data.Document, version_id: str) -> str:
    """Withdraw a version.

    Raises:
      KeyError: The document has no such version.
    """
    known = [f"{model.name}@{item.name}" for model in doc.models for item in model.versions]
    _index(known, version_id, "version")
    if version_id in doc.withdrawals:
        return text
    return _append_item(text, "withdrawals", version_id)


def set_rollout(text: str, doc: data.Document, rollout: data.Rollout) -> str:
    """Add a model's roll-out or change the one it has.

    Raises:
      KeyError: The document has no such model or versions.
    """
    known = [f"{model.name}@{item.name}" for model in doc.models for item in model.versions]
    _index(known, f"{rollout.model}@{rollout.old}", "version")
    _index(known, f"{rollout.model}@{rollout.new}", "version")
    for index, item in enumerate(doc.rollouts):
        if item.model == rollout.model:
            span = positions.find_spans(text)[("rollouts", index)]
            return _replace(text, span, rollout._asdict())
    return _append_item(text, "rollouts", rollout._asdict())
