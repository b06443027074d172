"""Subcommands that run a process until it is told to stop."""

import argparse
import importlib
from typing import Any

__all__ = ["add_commands"]

STAND_INS = {
    "engine": "EngineOptions",
    "path": "PathOptions",
    "platform": "PlatformOptions",
    "service": "ServiceOptions",
}


def add_commands(commands: Any) -> None:
    """Add the subcommands to the command line."""
    entry = commands.add_parser(
        "entry",
        help="run an entry process",
        description="Runs the process of an entry VM. SIGTERM stops it gracefully; a second one "
        "ends the wait for running requests.",
    )
    entry.add_argument("settings", help="file of JSON with comments; see docs/SETTINGS.md")
    entry.set_defaults(run=_run_entry)
    gateway = commands.add_parser(
        "gateway",
        help="run a gateway on the users' platform",
        description="Runs the process of an entry VM on the users' platform. SIGTERM stops it "
        "gracefully; SIGHUP reads the settings again.",
    )
    gateway.add_argument(
        "settings", nargs="?", help="settings file of the platform; default: its usual place"
    )
    gateway.set_defaults(run=_run_gateway)
    sidecar = commands.add_parser(
        "sidecar",
        help="run the process beside a backend server",
        description="Runs the process in the slot of a backend server VM. SIGTERM lets running "
        "requests finish and hands waiting ones back as not run.",
    )
    sidecar.add_argument("settings", help="file of JSON with comments; see docs/SETTINGS.md")
    sidecar.set_defaults(run=_run_sidecar)
    standin = commands.add_parser(
        "standin",
        help="run a stand-in for an outside system, for tests",
        description="Runs a small stand-in on a loopback address.",
    )
    standin.add_argument("kind", choices=sorted(STAND_INS))
    standin.add_argument("options", help="file of JSON with the stand-in's options")
    standin.set_defaults(run=_run_standin)


def _import(name: str) -> Any:
    """Import a module only when its process runs, so that each holds just what it needs."""
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
    module.run(settings.load(args.options, getattr(module, STAND_INS[args.kind])))
    return 0
