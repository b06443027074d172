"""The subcommand that reconstructs the history of a request from log files only."""

import argparse
import pathlib
import sys
from typing import Any

from berylrock.ops import tracing

__all__ = ["add_commands"]

EXIT_OK, EXIT_NOT_FOUND, EXIT_USAGE = 0, 1, 2


def add_commands(commands: Any) -> None:
    """Add the subcommand to the parser of the command line."""
    trace = commands.add_parser(
        "trace",
        help="explain a request from the logs of the gateways",
        description="Prints the events of a request, the state changes that its processes logged "
        "shortly before, and its outcome, from log files only.",
    )
    trace.add_argument("request", help="id of the request")
    trace.add_argument(
        "logs", nargs="+", help="log files of any processes, or - for standard input"
    )
    trace.set_defaults(run=_run)


def _read_lines(names: list[str]) -> list[str]:
    lines: list[str] = []
    for name in names:
        text = sys.stdin.read() if name == "-" else pathlib.Path(name).read_text("utf-8", "replace")
        lines += text.splitlines()
    return lines


def _print_line(line: tracing.LogLine, prefix: str) -> None:
    facts = " ".join(f"{name}={value}" for name, value in line.fields.items() if value)
    print(f"{prefix} {line.time:.3f} {line.process} {line.event} {facts}")


def _run(args: argparse.Namespace) -> int:
    try:
        lines = _read_lines(args.logs)
    except OSError as exc:
        print(f"cannot read a log file: {exc}; name files that exist", file=sys.stderr)
        return EXIT_USAGE
    found = tracing.trace(lines, args.request)
    if not found.own:
        remedy = "give the logs of all entry VMs, and search them for log_dropped"
        print(f"no log line of request {args.request}; {remedy}", file=sys.stderr)
        return EXIT_NOT_FOUND
    for line in sorted((*found.own, *found.context)):
        _print_line(line, ">" if line in found.own else " ")
    print(tracing.explain(found))
    return EXIT_OK
