"""Reads JSON with comments into a typed value and collects every error of it.

Documents and settings share this: one pass for the syntax, one for names and types.
"""

import functools
import re
from typing import Any

import pydantic
import pyjson5

from berylrock.core import errors
from berylrock.loader import positions

__all__ = ["parse"]

_REMEDIES = {
    "missing": "is missing; add it",
    "missing_argument": "is missing; add it",
    "extra_forbidden": "is not a known key; remove it or mend its spelling",
    "unexpected_keyword_argument": "is not a known key; remove it or mend its spelling",
}


def _describe(source: str, text: str, exc: pydantic.ValidationError) -> list[errors.InputError]:
    spans = positions.find_spans(text)
    found = []
    for item in exc.errors(include_url=False):
        path = tuple(item["loc"])
        remedy = _REMEDIES.get(item["type"], f"{item['msg']}; got {str(item['input'])[:40]!r}")
        line = positions.find_line(text, spans, path)
        found.append(errors.InputError(source, line, positions.format_path(path), remedy))
    return found


@functools.cache
def _validator(target_type: Any) -> pydantic.TypeAdapter[Any]:
    """Building a validator takes longer than reading a document of a thousand entries."""
    return pydantic.TypeAdapter(target_type)


def parse(text: str, source: str, target_type: Any) -> tuple[Any, list[errors.InputError]]:
    """Read a text into a type.

    Args:
      text: JSON with comments.
      source: Name of the text, for messages.
      target_type: The type to read it into; its nested types are NamedTuples.

    Returns:
      The value, or None if there are errors; and all errors found.
    """
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as exc:
        message = f"not JSON with comments: {exc.message}; mend the syntax here"
        return None, [errors.InputError(source, _syntax_line(text, exc), "document", message)]
    if not isinstance(raw, dict):
        return None, [errors.InputError(source, 1, "document", "must be an object {...}")]
    try:
        return _validator(target_type).validate_python(raw), []
    except pydantic.ValidationError as exc:
        return None, _describe(source, text, exc)


def _syntax_line(text: str, exc: pyjson5.Json5DecoderException) -> int:
    offset = re.search(r"near (\d+)", str(exc.message))
    return text.count("\n", 0, int(offset[1]) if offset else 0) + 1
