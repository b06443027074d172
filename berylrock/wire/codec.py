"""Turns messages into Cap'n Proto frames and back.

The mapping is by name, so that a new message needs a NamedTuple and a struct and nothing here.
"""

import pathlib
import re
import typing
from typing import Any, NamedTuple

import capnp

from berylrock.core import errors, message

__all__ = ["decode", "encode"]

MAX_WORDS = 1_048_576
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


class _Field(NamedTuple):
    """How one field is read: its names on both sides and what to make of its value."""

    name: str
    wire_name: str
    convert: Any


class _Kind(NamedTuple):
    """How one message type is read and written."""

    cls: Any
    wire_name: str
    fields: tuple[_Field, ...]


def _camel(name: str) -> str:
    return re.sub(r"_(\w)", lambda match: match[1].upper(), name)


def _converter(hint: Any) -> Any:
    if hint is bytes:
        return bytes
    if typing.get_origin(hint) is not tuple:
        return None
    item = typing.get_args(hint)[0]
    if item is str:
        return tuple
    kind = _describe(item)
    return lambda structs: tuple(_read(kind, struct) for struct in structs)


def _describe(cls: Any) -> _Kind:
    hints = typing.get_type_hints(cls)
    fields = tuple(_Field(name, _camel(name), _converter(hints[name])) for name in cls._fields)
    return _Kind(cls, cls.__name__[0].lower() + cls.__name__[1:], fields)


_KINDS = [_describe(cls) for cls in typing.get_args(message.Message)]
_BY_CLASS = {kind.cls: kind for kind in _KINDS}
_BY_NAME = {kind.wire_name: kind for kind in _KINDS}


def _read(kind: _Kind, struct: Any) -> Any:
    values = []
    for field in kind.fields:
        value = getattr(struct, field.wire_name)
        values.append(value if field.convert is None else field.convert(value))
    return kind.cls(*values)


def _write_value(value: Any) -> Any:
    if isinstance(value, tuple):
        return [item if isinstance(item, str) else _to_dict(item) for item in value]
    return value


def _to_dict(item: Any) -> dict[str, Any]:
    return {_camel(name): value for name, value in item._asdict().items()}


def encode(msg: message.Message) -> bytes:
    """Encode a message.

    Args:
      msg: The message.

    Returns:
      The bytes of one packed Cap'n Proto message, without a length prefix.
    """
    kind = _BY_CLASS[type(msg)]
    frame = _SCHEMA.Frame.new_message()
    struct = frame.init(kind.wire_name)
    for field, value in zip(kind.fields, msg, strict=True):
        setattr(struct, field.wire_name, _write_value(value))
    return frame.to_bytes_packed()


def decode(data: bytes) -> message.Message:
    """Decode a message.

    Args:
      data: The bytes of one packed Cap'n Proto message.

    Returns:
      The message.

    Raises:
      ProtocolError: The bytes are no frame of this schema.
    """
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(data, MAX_WORDS)
        kind = _BY_NAME[frame.which()]
        return _read(kind, getattr(frame, kind.wire_name))
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as exc:
        raise errors.ProtocolError(
            f"unreadable frame of {len(data)} bytes; run one release on all processes: {exc}"
        ) from exc
