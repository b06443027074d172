"""Finds where each value of a JSON-with-comments text stands.

The parser for such texts gives values only. Operators need the line of a fault, and a command that
changes one value must leave the rest of the text, comments included, as it was.
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
    """Where a value stands: its offsets in the text."""

    start: int
    end: int


class Token(NamedTuple):
    """A token of the text and its offsets."""

    text: str
    start: int
    end: int


def find_tokens(text: str) -> list[Token]:
    """Split a text into its tokens, without white space and comments."""
    found = []
    for match in _TOKEN.finditer(text):
        if match.lastgroup != "skip":
            found.append(Token(match.group(), match.start(), match.end()))
    return found


class _Scanner:
    """Walks the tokens of a well-formed text and notes the span of every value."""

    def __init__(self, text: str) -> None:
        self.tokens = find_tokens(text)
        self.index = 0
        self.spans: dict[Path, Span] = {}

    def scan_value(self, path: Path) -> None:
        token = self.tokens[self.index]
        if token.text == "{":
            self._scan_members(path, "}")
        elif token.text == "[":
            self._scan_members(path, "]")
        else:
            self.index += 1
        end = self.tokens[self.index - 1].end
        self.spans[path] = Span(token.start, end)

    def _scan_members(self, path: Path, close: str) -> None:
        self.index += 1
        position = 0
        while self.tokens[self.index].text != close:
            key: str | int = position
            if close == "}":
                key = self.tokens[self.index].text.strip("\"'")
                self.index += 2
            self.scan_value((*path, key))
            position += 1
            if self.tokens[self.index].text == ",":
                self.index += 1
        self.index += 1


def find_spans(text: str) -> dict[Path, Span]:
    """Find the span of each value.

    Args:
      text: A text that the parser accepts.

    Returns:
      The spans by path; the empty path is the whole value.
    """
    scanner = _Scanner(text)
    scanner.scan_value(())
    return scanner.spans


def find_line(text: str, spans: dict[Path, Span], path: Path) -> int:
    """The line, from 1, of the value at a path, or of the nearest value around it."""
    while path and path not in spans:
        path = path[:-1]
    return text.count("\n", 0, spans[path].start) + 1


def format_path(path: Path) -> str:
    """Write a path for people, for example ``organisations[2].allowed``."""
    out = ""
    for part in path:
        if isinstance(part, int):
            out += f"[{part}]"
        else:
            out += f".{part}" if out else part
    return out or "document"
