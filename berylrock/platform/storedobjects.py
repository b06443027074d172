"""Decodes the store's objects, lists and changes, whatever another writer left among them."""

from typing import Any

import msgspec

from berylrock.core import stored
from berylrock.platform import jsonparts

__all__ = ["decode_changes", "decode_list", "decode_stored"]

MAX_REVISION = 2**44 - 1
# Deeper contents could not be passed on to other gateways, and no object of ours is as deep.
MAX_NESTING = 32
CONTENTS = ("spec", "status")


def _decode(body: bytes) -> Any:
    """Decode a JSON document; None if a value in it cannot be decoded."""
    try:
        return msgspec.json.decode(body.decode("utf-8", "replace"))
    except (msgspec.MsgspecError, RecursionError):
        return None


def _is_revision(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_REVISION


def _is_deep(value: Any) -> bool:
    """Tell whether a value has more than ``MAX_NESTING`` lists and objects within each other."""
    level = [value]
    for _ in range(MAX_NESTING):
        level = [item for outer in level for item in _inner(outer)]
        if not level:
            return False
    return True


def _inner(value: Any) -> list[Any]:
    """Return the lists and objects in a list or an object."""
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return []
    return [item for item in value if isinstance(item, (dict, list))]


def _convert_object(raw: Any, era: int) -> stored.StoredObject | None:
    if not isinstance(raw, dict) or not isinstance(raw.get("metadata"), dict):
        return None
    meta = raw["metadata"]
    name, revision = meta.get("name"), meta.get("revision")
    if not isinstance(name, str) or not _is_revision(revision):
        return None
    spec, status = (None if _is_deep(value) else value for value in map(raw.get, CONTENTS))
    return stored.StoredObject(name, stored.make_revision(era, revision), spec, status)


def decode_stored(body: bytes, era: int) -> stored.StoredObject | None:
    """Decode one object from an answer of an era of the store; None if it is invalid."""
    return _convert_object(_decode_members(body), era)


def _decode_members(body: bytes) -> Any:
    """Decode an object; of one that cannot be decoded as a whole, the members that can be."""
    raw = _decode(body)
    if raw is not None:
        return raw
    return {name: _decode(text) for name, text in jsonparts.split_members(body).items()}


def _decode_event(body: bytes) -> dict[str, Any]:
    members = jsonparts.split_members(body)
    return {
        "object": _decode_members(members.get("object", b"")),
        "deleted": _decode(members.get("deleted", b"")),
    }


def _decode_listing_parts(body: bytes) -> dict[str, Any]:
    """Decode an answer whose entries cannot all be decoded."""
    found: dict[str, Any] = {}
    for name, text in jsonparts.split_members(body).items():
        if name == "entries":
            found[name] = [_decode_members(item) for item in jsonparts.split_items(text)]
        elif name == "events":
            found[name] = [_decode_event(item) for item in jsonparts.split_items(text)]
        else:
            found[name] = _decode(text)
    return found


def decode_list(body: bytes, era: int) -> stored.Listing | None:
    """Decode the response to a list in an era of the store; None if it is invalid.

    An entry that cannot be decoded does not hide the others. If its name can be, it has no spec.
    """
    raw = _decode_answer(body, "events")
    if raw is None:
        return None
    objects = [_convert_object(item, era) for item in _list_of(raw, "entries")]
    kept = tuple(item for item in objects if item is not None)
    revision = stored.make_revision(era, raw["at"])
    return stored.Listing(kept, (), bool(raw.get("has-more")), revision)


def decode_changes(body: bytes, era: int) -> stored.Listing | None:
    """Decode the response to a watch in an era of the store; None if it is invalid.

    An event that cannot be decoded does not hide the others.
    """
    raw = _decode_answer(body, "entries")
    if raw is None:
        return None
    changes = []
    for item in _list_of(raw, "events"):
        changed = _convert_object(item.get("object"), era) if isinstance(item, dict) else None
        if changed is not None:
            changes.append(stored.ObjectChange(changed, bool(item.get("deleted"))))
    return stored.Listing((), tuple(changes), False, stored.make_revision(era, raw["at"]))


def _decode_answer(body: bytes, foreign: str) -> dict[str, Any] | None:
    """Decode the answer to a list or a watch; None if it is invalid or has the other's part.

    Scenario: a watch gets a copy of an earlier answer, and its own answer comes where that to the
    next list is due. Without its events it would pass for an empty list.
    """
    raw = _decode(body)
    raw = _decode_listing_parts(body) if raw is None else raw
    if not isinstance(raw, dict) or foreign in raw or not _is_revision(raw.get("at")):
        return None
    return raw


def _list_of(raw: dict[str, Any], name: str) -> list[Any]:
    value = raw.get(name)
    return value if isinstance(value, list) else []
