"""Reads a configuration in the form in which operators write it to the platform's store."""

from typing import Any

import pyjson5

from berylrock.core import errors, routing
from berylrock.platform import decoding

__all__ = ["is_config_file", "read_config"]


def _parse(text: str) -> Any:
    try:
        return pyjson5.decode(text)
    except pyjson5.Json5DecoderException:
        return None


def is_config_file(text: str) -> bool:
    """Tell whether a text is a configuration of the platform, and no document of our own."""
    raw = _parse(text)
    return isinstance(raw, dict) and "routes" in raw and "backends" in raw


def read_config(text: str, source: str) -> tuple[routing.Config | None, list[errors.InputError]]:
    """Read a configuration.

    Args:
      text: The configuration as JSON, with or without comments.
      source: Name of the text, for error messages.

    Returns:
      The configuration, or None if it is invalid; and why it is.
    """
    raw = _parse(text)
    if not isinstance(raw, dict):
        fault = errors.InputError(source, 1, "document", "must be an object {...}; correct it")
        return None, [fault]
    try:
        return decoding.convert_config(raw), []
    except decoding.InvalidConfig as exc:
        return None, [errors.InputError(source, 0, exc.place, f"{exc}; correct it")]
