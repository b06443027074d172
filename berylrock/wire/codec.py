"""Encodes messages as Cap'n Proto frames and decodes them.

Classes and fields are mapped to structs by name, so that a new message type needs a NamedTuple and
a struct, but no change here.
"""

import pathlib
import re
import typing
from typing import Any, NamedTuple

import capnp

from berylrock.core import errors, message

__all__ = ["decode", "encode"]

TRAVERSAL_LIMIT_WORDS = 1_048_576
_SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name("schema.capnp")))


class _Field(NamedTuple):
    """Field of a message type: its names in Python and on the wire, and the value's converter."""

    name: str
    wire_name: str
    convert: Any


class _MessageType(NamedTuple):
    """Message type: its class, its name on the wire and its fields."""

    cls: Any
    wire_name: str
    fields: tuple[_Field, ...]


def _to_camel_case(name: str) -> str:
    return re.sub(r"_(\w)", lambda match: match[1].upper(), name)


def _find_converter(hint: Any) -> Any:
    """Find the function that converts values of a type from Cap'n Proto; None if none is needed."""
    if hint is bytes:
        return bytes
    if typing.get_origin(hint) is not tuple:
        return None
    item = typing.get_args(hint)[0]
    if item is str:
        return tuple
    message_type = _describe(item)
    return lambda structs: tuple(_from_struct(message_type, struct) for struct in structs)


def _describe(cls: Any) -> _MessageType:
    hints = typing.get_type_hints(cls)
    fields = tuple(
        _Field(name, _to_camel_case(name), _find_converter(hints[name])) for name in cls._fields
    )
    return _MessageType(cls, cls.__name__[0].lower() + cls.__name__[1:], fields)


_MESSAGE_TYPES = [_describe(cls) for cls in typing.get_args(message.Message)]
_BY_CLASS = {message_type.cls: message_type for message_type in _MESSAGE_TYPES}
_BY_NAME = {message_type.wire_name: message_type for message_type in _MESSAGE_TYPES}


def _from_struct(message_type: _MessageType, struct: Any) -> Any:
    values = []
    for field in message_type.fields:
        value = getattr(struct, field.wire_name)
        values.append(value if field.convert is None else field.convert(value))
    return message_type.cls(*values)


def _write_value(value: Any) -> Any:
    if isinstance(value, tuple):
        return [item if isinstance(item, str) else _to_dict(item) for item in value]
    return value


def _to_dict(item: Any) -> dict[str, Any]:
    return {_to_camel_case(name): value for name, value in item._asdict().items()}


def encode(msg: message.Message) -> bytes:
    """Encode a message.

    Args:
      msg: The message.

    Returns:
      One packed Cap'n Proto message, without a length prefix.
    """
    message_type = _BY_CLASS[type(msg)]
    frame = _SCHEMA.Frame.new_message()
    struct = frame.init(message_type.wire_name)
    for field, value in zip(message_type.fields, msg, strict=True):
        setattr(struct, field.wire_name, _write_value(value))
    return frame.to_bytes_packed()


def decode(data: bytes) -> message.Message:
    """Decode a message.

    Args:
      data: One packed Cap'n Proto message, without a length prefix.

    Returns:
      The message.

    Raises:
      ProtocolError: The data is not a valid frame of this schema.
    """
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(data, TRAVERSAL_LIMIT_WORDS)
        message_type = _BY_NAME[frame.which()]
        return _from_struct(message_type, getattr(frame, message_type.wire_name))
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as exc:
        raise errors.ProtocolError(
            f"invalid frame of {len(data)} bytes; run the same release in all processes: {exc}"
        ) from exc
