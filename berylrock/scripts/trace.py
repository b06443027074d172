"""The subcommand that explains a request from log files alone."""

import argparse
import pathlib
import sys
from typing import Any

from berylrock.ops import tracing

__all__ = ["add_commands"]

EXIT_OK, EXIT_NOT_FOUND, EXIT_USAGE = 0, 1, 2


def add_commands(commands: Any) -> None:
    """Add the subcommand to the command line."""
    trace = commands.add_parser(
        "trace",
        help="explain a request from the logs of the gateways",
        description="Prints what happened to a request, what its processes had learned shortly "
        "before, and how it ended, from log files alone.",
    )
    trace.add_argument("request", help="the request's id")
    trace.add_argument("logs", nargs="+", help="log files of any processes; - for standard input")
    trace.set_defaults(run=_run)


def _read(names: list[str]) -> list[str]:
    lines: list[str] = []
    for name in names:
        text = sys.stdin.read() if name == "-" else pathlib.Path(name).read_text("utf-8", "replace")
        lines += text.splitlines()
    return lines


def _print(line: tracing.LogLine, mark: str) -> None:
    facts = " ".join(f"{name}={value}" for name, value in line.fields.items() if value)
    print(f"{mark} {line.time:.3f} {line.process} {line.event} {facts}")


def _run(args: argparse.Namespace) -> int:
    try:
        lines = _read(args.logs)
    except OSError as exc:
        print(f"cannot read a log: {exc}; name files that exist", file=sys.stderr)
        return EXIT_USAGE
    found = tracing.trace(lines, args.request)
    if not found.own:
        remedy = "give the logs of all entry VMs; look for log_dropped"
        print(f"no line of request {args.request}; {remedy}", file=sys.stderr)
        return EXIT_NOT_FOUND
    for line in sorted((*found.own, *found.context)):
        _print(line, ">" if line in found.own else " ")
    print(tracing.explain(found))
    return EXIT_OK
