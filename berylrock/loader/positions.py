"""Finds the position of each value in a JSON text with comments.

The JSON parser returns values without positions. Error messages for operators need the line of a
value, and commands that change one value must preserve the rest of the text, including comments.
"""

import re
from typing import NamedTuple

__all__ = ["Path", "Span", "Token", "find_line", "find_spans", "find_tokens", "format_path"]

Path = tuple[str | int, ...]

_TOKEN = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|/\*.*?\*/)
    |(?P<punct>[{}\[\]:,])
    |(?P<string>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<word>[^\s{}\[\]:,"'/]+)""",
    re.S | re.X,
)


class Span(NamedTuple):
    """Start and end offsets of a value in the text."""

    start: int
    end: int


class Token(NamedTuple):
    """Token of the text, with its start and end offsets."""

    text: str
    start: int
    end: int


def find_tokens(text: str) -> list[Token]:
    """Split a text into tokens; whitespace and comments are skipped."""
    found = []
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "skip":
            found.append(Token(match.group(), match.start(), match.end()))
    return found


class _Scanner:
    """Scanner that records the span of every value in a well-formed text."""

    def __init__(self, text: str) -> None:
        self.tokens = find_tokens(text)
        self.next_token = 0
        self.spans: dict[Path, Span] = {}

    def scan_value(self, path: Path) -> None:
        token = self.tokens[self.next_token]
        if token.text == "{":
            self._scan_members(path, "}")
        elif token.text == "[":
            self._scan_members(path, "]")
        else:
            self.next_token += 1
        end = self.tokens[self.next_token - 1].end
        self.spans[path] = Span(token.start, end)

    def _scan_members(self, path: Path, close: str) -> None:
        self.next_token += 1
        item_index = 0
        while self.tokens[self.next_token].text != close:
            key: str | int = item_index
            if close == "}":
                key = self.tokens[self.next_token].text.strip("\"'")
                self.next_token += 2
            self.scan_value((*path, key))
            item_index += 1
            if self.tokens[self.next_token].text == ",":
                self.next_token += 1
        self.next_token += 1


def find_spans(text: str) -> dict[Path, Span]:
    """Find the spans of all values.

    Args:
      text: A text that the JSON parser accepts.

    Returns:
      The spans by path; the empty path stands for the whole document.
    """
    scanner = _Scanner(text)
    scanner.scan_value(())
    return scanner.spans


def find_line(text: str, spans: dict[Path, Span], path: Path) -> int:
    """Find the line of a value.

    Args:
      text: The text.
      spans: The spans of the text's values.
      path: Path of the value.

    Returns:
      The line number, from 1, of the value or, if there is none at the path, of its closest
      enclosing value.
    """
    while path and path not in spans:
        path = path[:-1]
    return text.count("\n", 0, spans[path].start) + 1


def format_path(path: Path) -> str:
    """Format a path for error messages, for example ``organisations[2].allowed``."""
    out = ""
    for part in path:
        if isinstance(part, int):
            out += f"[{part}]"
        else:
            out += f".{part}" if out else part
    return out or "document"
