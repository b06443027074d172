"""Splits a JSON document into its parts without reading them.

The store's answers hold entries of several writers. If the whole answer cannot be decoded, for one
value that is nested too deeply, is no JSON or does not fit a number, the others are decoded one by
one. The depth of nesting does not matter here.
"""

import re

__all__ = ["split_items", "split_members"]

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{}:,]', re.DOTALL)


def _split(text: bytes) -> list[tuple[bytes, bytes]]:
    """Split an array or an object into pairs of key and value; an array's keys are empty."""
    parts: list[tuple[bytes, bytes]] = []
    depth, key, begin = 0, b"", 0
    for token in _TOKEN.finditer(text):
        sign = token.group()
        if sign in (b"[", b"{"):
            depth += 1
            begin = token.end() if depth == 1 else begin
        elif depth == 1 and sign == b":":
            key, begin = text[begin : token.start()].strip(), token.end()
        elif depth == 1 and sign in (b",", b"]", b"}"):
            parts.append((key, text[begin : token.start()].strip()))
            key, begin = b"", token.end()
        if sign in (b"]", b"}"):
            depth -= 1
            if depth <= 0:
                break
    return [part for part in parts if part[1]]


def split_items(text: bytes) -> list[bytes]:
    """Return the items of an array as JSON texts; none if it is no array."""
    return [value for _, value in _split(text)] if text.lstrip()[:1] == b"[" else []


def split_members(text: bytes) -> dict[str, bytes]:
    """Return the values of an object as JSON texts by key; none if it is no object."""
    if text.lstrip()[:1] != b"{":
        return {}
    return {key.strip(b'"').decode("utf-8", "replace"): value for key, value in _split(text)}
