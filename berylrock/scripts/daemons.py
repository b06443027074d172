"""Subcommands that run a daemon or a stand-in until it is terminated."""

import argparse
import importlib
from typing import Any

__all__ = ["add_commands"]

STANDIN_OPTIONS = {
    "engine": "EngineOptions",
    "path": "PathOptions",
    "platform": "PlatformOptions",
    "service": "ServiceOptions",
}


def add_commands(commands: Any) -> None:
    """Add the subcommands to the parser of the command line."""
    entry = commands.add_parser(
        "entry",
        help="run an entry process",
        description="Runs the process of an entry VM. SIGTERM stops it gracefully; a second "
        "SIGTERM stops it without waiting for running requests.",
    )
    entry.add_argument("settings", help="file of JSON with comments; see docs/SETTINGS.md")
    entry.set_defaults(run=_run_entry)
    gateway = commands.add_parser(
        "gateway",
        help="run a gateway on the users' platform",
        description="Runs the process of an entry VM on the users' platform. SIGTERM stops it "
        "gracefully; SIGHUP reloads the settings.",
    )
    gateway.add_argument(
        "settings", nargs="?", help="settings file of the platform (default: its standard path)"
    )
    gateway.set_defaults(run=_run_gateway)
    sidecar = commands.add_parser(
        "sidecar",
        help="run the process beside a backend server",
        description="Runs the process in the slot of a backend server VM. SIGTERM lets running "
        "requests finish and returns queued requests as not run.",
    )
    sidecar.add_argument("settings", help="file of JSON with comments; see docs/SETTINGS.md")
    sidecar.set_defaults(run=_run_sidecar)
    standin = commands.add_parser(
        "standin",
        help="run a stand-in for an external system, for tests",
        description="Runs a small stand-in on a loopback address.",
    )
    standin.add_argument("kind", choices=sorted(STANDIN_OPTIONS))
    standin.add_argument("options", help="file of JSON with the stand-in's options")
    standin.set_defaults(run=_run_standin)


def _import(name: str) -> Any:
    """Import a module when it is needed, so that a process loads only the modules it uses."""
    return importlib.import_module(f"berylrock.{name}")


def _run_entry(args: argparse.Namespace) -> int:
    settings = _import("loader.settings")
    _import("daemons.entry.process").run(settings.load(args.settings, settings.EntrySettings))
    return 0


def _run_gateway(args: argparse.Namespace) -> int:
    path = args.settings or _import("platform.settings").default_path()
    _import("daemons.gateway.process").run(path)
    return 0


def _run_sidecar(args: argparse.Namespace) -> int:
    settings = _import("loader.settings")
    _import("daemons.sidecar.process").run(settings.load(args.settings, settings.SidecarSettings))
    return 0


def _run_standin(args: argparse.Namespace) -> int:
    settings = _import("loader.settings")
    module = _import(f"standins.{args.kind}")
    module.run(settings.load(args.options, getattr(module, STANDIN_OPTIONS[args.kind])))
    return 0
