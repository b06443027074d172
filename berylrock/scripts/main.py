"""The command ``berylrock``: finds the subcommand and turns errors into exit codes."""

import argparse
import sys

from berylrock.core import errors
from berylrock.scripts import bench, configure, daemons, inspect

__all__ = ["EXIT_FAILED", "EXIT_OK", "EXIT_REFUSED", "build_parser", "main"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNAVAILABLE = 4

EPILOG = """exit codes: 0 done; 1 failed; 2 wrong arguments, settings or document; 3 refused,
because the configuration moved on or does not allow it; 4 the platform did not answer in time."""


def build_parser() -> argparse.ArgumentParser:
    """Make the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="berylrock",
        description="A model-aware router for versions and cascades.",
        epilog=EPILOG,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for module in (daemons, configure, inspect, bench):
        module.add_commands(commands)
    return parser


def main(argv: list[str] | None = None) -> None:
    """Run the command line."""
    args = build_parser().parse_args(argv)
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
