"""Parses JSON with comments into typed values and collects all errors.

Documents and settings files are both parsed here, in two passes: the first checks the syntax, the
second names and types.
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
    "extra_forbidden": "is not a known key; remove it or correct its spelling",
    "unexpected_keyword_argument": "is not a known key; remove it or correct its spelling",
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
    """Return the validator of a type.

    Validators are cached because creating one takes longer than parsing a document with a thousand
    entries.
    """
    return pydantic.TypeAdapter(target_type)


def parse(text: str, source: str, target_type: Any) -> tuple[Any, list[errors.InputError]]:
    """Parse a text into a value of a type.

    Args:
      text: JSON with comments.
      source: Name of the text, for error messages.
      target_type: Type of the value; its nested types are NamedTuples.

    Returns:
      The value, or None if there are errors; and all errors found.
    """
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5DecoderException as exc:
        message = f"is not valid JSON with comments: {exc.message}; correct the syntax here"
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
