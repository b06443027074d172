"""Subcommand that checks a configuration before it is sent: ours, or the users' platform's."""

import argparse
import difflib
import json
import pathlib
import sys
from typing import Any

from berylrock.core import errors
from berylrock.loader import document
from berylrock.ops import configcheck
from berylrock.platform import configfile

__all__ = ["EXIT_BAD_DOCUMENT", "add_command", "print_errors", "read_file"]

EXIT_BAD_DOCUMENT = 2

DESCRIPTION = """Checks a document of ours, or a configuration as operators write it to the users'
platform, and prints all errors with place and remedy; of the latter also entries that can never
match and limits that contradict each other."""
EPILOG = """exit codes: 0 no errors (also with warnings, unless --strict); 2 errors."""


def add_command(commands: Any) -> None:
    """Add the subcommand to the parser of the command line."""
    check = commands.add_parser(
        "check",
        help="check a configuration and print all its errors",
        description=DESCRIPTION,
        epilog=EPILOG,
    )
    check.add_argument("document", help="file of JSON with comments")
    check.add_argument("--against", metavar="FILE", help="show what differs from this one")
    check.add_argument("--strict", action="store_true", help="treat warnings as errors")
    check.add_argument("--json", action="store_true", help="print JSON for programs")
    check.set_defaults(run=_check)


def read_file(path: str) -> str:
    """Read a text file; raises ``SettingsError`` if that is not possible."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f"cannot read {path}: {exc}; name a UTF-8 text file") from exc


def print_errors(found: list[errors.InputError], as_json: bool) -> int:
    """Print errors; returns the exit code for them."""
    if as_json:
        print(json.dumps({"errors": [item._asdict() for item in found]}))
    else:
        for item in found:
            print(item, file=sys.stderr)
    return EXIT_BAD_DOCUMENT


def _check(args: argparse.Namespace) -> int:
    text = read_file(args.document)
    if configfile.is_config_file(text):
        return _check_platform_config(args, text)
    doc, found = document.load(text, args.document)
    if doc is None:
        return print_errors(found, args.json)
    differences = _diff_texts(args, text) if args.against else []
    if args.json:
        print(json.dumps({"errors": [], **({"diff": differences} if args.against else {})}))
    else:
        print("\n".join([f"{args.document}: sound", *differences]))
    return 0


def _diff_texts(args: argparse.Namespace, text: str) -> list[str]:
    old = read_file(args.against).splitlines()
    lines = difflib.unified_diff(old, text.splitlines(), args.against, args.document, n=3)
    return [line.rstrip("\n") for line in lines]


def _check_platform_config(args: argparse.Namespace, text: str) -> int:
    cfg, faults = configfile.read_config(text, args.document)
    if cfg is None:
        return print_errors(faults, args.json)
    found = configcheck.check(cfg)
    differences: tuple[configcheck.Difference, ...] = ()
    if args.against:
        old, faults = configfile.read_config(read_file(args.against), args.against)
        if old is None:
            return print_errors(faults, args.json)
        if cfg.version <= old.version:
            message = f"is {cfg.version}, not above {old.version}, which is in force; raise it"
            found = (configcheck.Finding("error", "version", message), *found)
        differences = configcheck.compare(old, cfg)
    _print_findings(args, found, differences)
    wrong = any(item.level == "error" or args.strict for item in found)
    return EXIT_BAD_DOCUMENT if wrong else 0


def _print_findings(
    args: argparse.Namespace,
    found: tuple[configcheck.Finding, ...],
    differences: tuple[configcheck.Difference, ...],
) -> None:
    if args.json:
        document_json = {
            "findings": [item._asdict() for item in found],
            "differences": [item._asdict() for item in differences],
        }
        print(json.dumps(document_json))
        return
    for item in found:
        print(f"{args.document}: {item.level}: {item.place}: {item.message}", file=sys.stderr)
    for change in differences:
        print(f"{change.change} {change.place}" + "".join(f"\n  {x}" for x in change.details))
    if not found:
        print(f"{args.document}: sound")
