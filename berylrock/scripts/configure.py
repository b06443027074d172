"""Subcommands that check, change and promote the configuration document."""

import argparse
import asyncio
import difflib
import functools
import hashlib
import json
import secrets
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from berylrock.adapters import interfaces, platform
from berylrock.core import data, errors, metrics
from berylrock.loader import document, editing, settings
from berylrock.ops import configuration, publishing
from berylrock.scripts import checking

__all__ = ["add_commands"]

EXIT_DIFFERENT = 1
DEFAULT_DEADLINE_SECONDS = 30.0

Edit = Callable[[str, data.Document], str]


def _add_common(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--settings", required=True, help="file with the operators' settings")
    parser.add_argument("--json", action="store_true", help="print JSON for programs")
    parser.add_argument(
        "--deadline",
        type=float,
        default=DEFAULT_DEADLINE_SECONDS,
        metavar="SECONDS",
        help="timeout for calls to the platform (default: %(default)s)",
    )


def add_commands(commands: Any) -> None:
    """Add the subcommands to the parser of the command line."""
    _add_document_commands(commands)
    _add_change_commands(commands)
    key = commands.add_parser("key", help="generate a caller key and its digest for the document")
    key.set_defaults(run=_key)


def _add_document_commands(commands: Any) -> None:
    """Add the subcommands that operate on a complete document."""
    checking.add_command(commands)
    diff = commands.add_parser("diff", help="show how a document differs from the one in force")
    diff.add_argument("document", help="file of JSON with comments")
    _add_common(diff)
    diff.set_defaults(run=_diff)

    apply_ = commands.add_parser(
        "apply",
        help="put a document in force",
        description="Puts a document in force, unless it has errors or another operator changed "
        "the one in force since it was read.",
    )
    apply_.add_argument("document", help="file of JSON with comments")
    apply_.add_argument(
        "--if-version", type=int, help="refuse unless this version is in force (see status)"
    )
    _add_common(apply_)
    apply_.set_defaults(run=_apply)

    promote = commands.add_parser(
        "promote",
        help="put the trial environment's document in force in production, unchanged",
        description="Copies the same bytes. Refused if production is no longer at --if-version.",
    )
    promote.add_argument(
        "--if-version", type=int, help="refuse unless production is at this version"
    )
    _add_common(promote)
    promote.set_defaults(run=_promote)


def _add_change_commands(commands: Any) -> None:
    """Add the subcommands that change a single setting of the document in force."""
    zone = commands.add_parser(
        "zone", help="take an availability zone out of service, or put it back"
    )
    zone.add_argument("action", choices=("out", "in"))
    zone.add_argument("zone")
    _add_common(zone)
    zone.set_defaults(run=_zone)

    withdraw = commands.add_parser(
        "withdraw", help="withdraw a version, so that it gets no new requests"
    )
    withdraw.add_argument("version", metavar="MODEL@VERSION")
    _add_common(withdraw)
    withdraw.set_defaults(run=_withdraw)

    rollout = commands.add_parser("rollout", help="start, pause, resume or abort a rollout")
    rollout.add_argument("action", choices=("start", "pause", "resume", "abort"))
    rollout.add_argument("model")
    rollout.add_argument("--old", help="version in service at present (start)")
    rollout.add_argument("--new", help="version to roll out (start)")
    rollout.add_argument(
        "--percent", type=float, default=100.0, help="final share of the new version (start)"
    )
    rollout.add_argument("--step-percent", type=float, default=10.0)
    rollout.add_argument("--step-seconds", type=float, default=60.0)
    _add_common(rollout)
    rollout.set_defaults(run=_rollout)


def _open_store(platform_settings: settings.PlatformSettings) -> interfaces.ObjectStore:
    return platform.HttpObjectStore(platform_settings.objects_url, metrics.Metrics("", "operator"))


def _load_settings(args: argparse.Namespace) -> settings.OperatorSettings:
    return settings.load(args.settings, settings.OperatorSettings)


def _run_with_deadline(args: argparse.Namespace, work: Coroutine[Any, Any, int]) -> int:
    async def main() -> int:
        try:
            async with asyncio.timeout(args.deadline):
                return await work
        except TimeoutError as exc:
            raise errors.StoreUnavailable(
                f"no answer within {args.deadline:g} s; run status before trying again"
            ) from exc

    return asyncio.run(main())


def _diff(args: argparse.Namespace) -> int:
    cfg = _load_settings(args)
    new = checking.read_file(args.document)

    async def work() -> int:
        stored = await publishing.read(
            _open_store(cfg.platform), cfg.platform.environment, _print_progress
        )
        old = stored.body.decode()
        label = f"in force (version {stored.version})"
        lines = list(
            difflib.unified_diff(
                old.splitlines(), new.splitlines(), label, args.document, "", "", 3, ""
            )
        )
        if args.json:
            print(json.dumps({"version": stored.version, "diff": lines}))
        else:
            print("\n".join(lines) or "no difference")
        return EXIT_DIFFERENT if lines else 0

    return _run_with_deadline(args, work())


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr)


def _print_published(args: argparse.Namespace, done: publishing.Published) -> int:
    if args.json:
        print(json.dumps(done._asdict()))
    else:
        note = " (its first answer was lost; it is in force all the same)" if done.read_back else ""
        print(f"version {done.version} is accepted{note}")
    return 0


def _publish(
    text: str, platform_settings: settings.PlatformSettings, if_version: int
) -> Coroutine[Any, Any, publishing.Published]:
    return publishing.publish(
        _open_store(platform_settings),
        platform_settings.environment,
        text.encode(),
        if_version,
        _print_progress,
    )


def _apply(args: argparse.Namespace) -> int:
    cfg = _load_settings(args)
    text = checking.read_file(args.document)
    doc, found = document.load(text, args.document)
    if doc is None:
        return checking.print_errors(found, args.json)

    async def work() -> int:
        version = args.if_version
        if version is None:
            version = await publishing.read_version(
                _open_store(cfg.platform), cfg.platform.environment, _print_progress
            )
        return _print_published(args, await _publish(text, cfg.platform, version))

    return _run_with_deadline(args, work())


def _promote(args: argparse.Namespace) -> int:
    cfg = _load_settings(args)
    if cfg.trial is None:
        raise errors.SettingsError("the settings have no trial environment; add the key trial")
    trial = cfg.trial

    async def work() -> int:
        tried = await publishing.read(_open_store(trial), trial.environment, _print_progress)
        doc, found = document.load(tried.body.decode(), "trial")
        if doc is None:
            return checking.print_errors(found, args.json)
        version = args.if_version
        if version is None:
            version = await publishing.read_version(
                _open_store(cfg.platform), cfg.platform.environment, _print_progress
            )
        text = tried.body.decode()
        return _print_published(args, await _publish(text, cfg.platform, version))

    return _run_with_deadline(args, work())


def _edit_document(args: argparse.Namespace, edit: Edit) -> int:
    """Edit the document in force; refused if another operator changes it at the same time."""
    cfg = _load_settings(args)

    async def work() -> int:
        objects = _open_store(cfg.platform)
        name = cfg.platform.environment
        stored = await publishing.read(objects, name, _print_progress)
        text = stored.body.decode()
        doc, found = document.load(text, configuration.OBJECT_KIND)
        if doc is None:
            return checking.print_errors(found, args.json)
        try:
            changed = edit(text, doc)
        except KeyError as exc:
            raise errors.SettingsError(str(exc.args[0])) from exc
        doc, found = document.load(changed, configuration.OBJECT_KIND)
        if doc is None:
            return checking.print_errors(found, args.json)
        return _print_published(args, await _publish(changed, cfg.platform, stored.version))

    return _run_with_deadline(args, work())


def _zone(args: argparse.Namespace) -> int:
    return _edit_document(
        args, lambda text, doc: editing.set_zone(text, doc, args.zone, args.action == "in")
    )


def _withdraw(args: argparse.Namespace) -> int:
    return _edit_document(args, lambda text, doc: editing.add_withdrawal(text, doc, args.version))


def _rollout(args: argparse.Namespace) -> int:
    return _edit_document(args, functools.partial(_edit_rollout, args))


def _edit_rollout(args: argparse.Namespace, text: str, doc: data.Document) -> str:
    if args.action == "start":
        if not (args.old and args.new):
            raise KeyError("start needs --old and --new")
        rollout = data.Rollout(
            args.model, args.old, args.new, args.percent, args.step_percent, args.step_seconds
        )
        return editing.set_rollout(text, doc, rollout)
    found = [item for item in doc.rollouts if item.model == args.model]
    if not found:
        raise KeyError(f"{args.model!r} has no rollout; start one first")
    states: dict[str, Any] = {"pause": "paused", "resume": "running", "abort": "aborted"}
    return editing.set_rollout(text, doc, found[0]._replace(state=states[args.action]))


def _key(_args: argparse.Namespace) -> int:
    key = secrets.token_urlsafe(32)
    print(f"key:    {key}")
    print(f"sha256: {hashlib.sha256(key.encode()).hexdigest()}")
    return 0
