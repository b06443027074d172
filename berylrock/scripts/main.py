"""The command ``berylrock``: dispatches to the subcommand and maps errors to exit codes."""

import argparse
import importlib
import sys
from collections.abc import Iterable

from berylrock.core import errors

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_REFUSED", "build_parser", "main"]

MODULES = ("daemons", "configure", "inspect", "trace", "bench")
DAEMON_COMMANDS = ("entry", "gateway", "sidecar", "standin")
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4

EPILOG = """exit codes: 0 done; 1 failed; 2 wrong arguments, settings or document; 3 refused,
because the configuration has changed or does not allow it; 4 the platform did not answer in
time."""


def build_parser(modules: Iterable[str] = MODULES) -> argparse.ArgumentParser:
    """Build the parser of the command line with the subcommands of the given modules."""
    parser = argparse.ArgumentParser(
        prog="berylrock",
        description="A model-aware router for versions and cascades.",
        epilog=EPILOG,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name in modules:
        importlib.import_module(f"berylrock.scripts.{name}").add_commands(commands)
    return parser


def main(argv: list[str] | None = None) -> None:
    """Run the command line and exit with its exit code.

    Args:
      argv: Arguments without the program name; None for those of the process.
    """
    arguments = sys.argv[1:] if argv is None else argv
    # Daemons do not import the modules of the other subcommands, because memory on their VMs is
    # scarce.
    modules = MODULES[:1] if arguments and arguments[0] in DAEMON_COMMANDS else MODULES
    args = build_parser(modules).parse_args(arguments)
    try:
        code = args.run(args)
    except errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        code = EXIT_USAGE
    except errors.StoreUnavailable as exc:
        print(f"platform: {exc}", file=sys.stderr)
        code = EXIT_UNAVAILABLE
    except (errors.Conflict, errors.NotFound) as exc:
        print(f"refused: {exc}", file=sys.stderr)
        code = EXIT_REFUSED
    except KeyboardInterrupt:
        code = EXIT_FAILED
    sys.exit(code)
