"""Loads and validates the configuration document.

Parsing and validation are separate passes. All errors of a pass are reported together. A document
with errors is rejected as a whole.
"""

import fnmatch
from collections.abc import Callable, Iterable

from berylrock.core import data, errors
from berylrock.loader import parsing, positions

__all__ = ["MAX_DOCUMENT_BYTES", "load"]

MAX_DOCUMENT_BYTES = 1_000_000

_Report = Callable[[positions.Path, str], None]


def load(text: str, source: str) -> tuple[data.Document | None, list[errors.InputError]]:
    """Parse a document and validate it.

    Args:
      text: JSON with comments.
      source: Name of the file or object, for error messages.

    Returns:
      The document, or None if there are errors; and all errors found.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        message = f"is larger than {MAX_DOCUMENT_BYTES} bytes; remove entries that are not used"
        return None, [errors.InputError(source, 1, "document", message)]
    doc, found = parsing.parse(text, source, data.Document)
    if doc is None:
        return None, found
    found = check(doc, text, source)
    return (None, found) if found else (doc, [])


def check(doc: data.Document, text: str, source: str) -> list[errors.InputError]:
    """Check rules that types cannot express: references, unique names and value ranges.

    Args:
      doc: The parsed document.
      text: The document's text, for line numbers.
      source: Name of the file or object, for error messages.

    Returns:
      All errors found.
    """
    faults: list[tuple[positions.Path, str]] = []

    def report(path: positions.Path, message: str) -> None:
        faults.append((path, message))

    for section in ("zones", "pools", "models", "organisations", "services"):
        _check_unique(section, (item.name for item in getattr(doc, section)), report)
    _check_models(doc, report)
    _check_organisations(doc, report)
    _check_services(doc, report)
    _check_rollouts(doc, report)
    known = _version_ids(doc)
    for index, text_id in enumerate(doc.withdrawals):
        if text_id not in known:
            report(
                ("withdrawals", index),
                f"{text_id} is not a known model@version; list it under models or remove it",
            )
    return _locate(faults, text, source)


def _locate(
    faults: list[tuple[positions.Path, str]], text: str, source: str
) -> list[errors.InputError]:
    """Add line numbers to faults; the text is scanned only if there are any."""
    if not faults:
        return []
    spans = positions.find_spans(text)
    return [
        errors.InputError(
            source, positions.find_line(text, spans, path), positions.format_path(path), message
        )
        for path, message in faults
    ]


def _version_ids(doc: data.Document) -> set[str]:
    return {f"{model.name}@{version.name}" for model in doc.models for version in model.versions}


def _check_unique(section: str, names: Iterable[str], report: _Report) -> None:
    seen = set()
    for index, name in enumerate(names):
        if name in seen:
            report((section, index, "name"), f"{name!r} is used twice; use a unique name")
        seen.add(name)


def _check_ratings(path: positions.Path, ratings: dict[str, float], report: _Report) -> None:
    if data.DEFAULT_KIND not in ratings:
        report(path, f"has no {data.DEFAULT_KIND!r}; add it for the other kinds of request")
    for kind, rating in ratings.items():
        if not 0 <= rating <= 1:
            report((*path, kind), f"{rating} is not a valid rating; use a number from 0 to 1")


def _check_models(doc: data.Document, report: _Report) -> None:
    pools = {pool.name for pool in doc.pools if pool.kind == "engine"}
    for index, model in enumerate(doc.models):
        path = ("models", index)
        if model.pool not in pools:
            report((*path, "pool"), f"{model.pool!r} is not an engine pool; list it under pools")
        _check_unique_versions(path, model, report)
        for number, version in enumerate(model.versions):
            place = (*path, "versions", number)
            _check_ratings((*place, "quality"), version.quality, report)
            if version.cost_per_million < 0:
                report((*place, "cost_per_million"), "is negative; use the price in euro")


def _check_unique_versions(path: positions.Path, model: data.Model, report: _Report) -> None:
    names = [version.name for version in model.versions]
    if not names:
        report((*path, "versions"), "is empty; list at least one version or remove the model")
    for number, name in enumerate(names):
        if name in names[:number]:
            report((*path, "versions", number, "name"), f"{name!r} is used twice; rename one")


def _check_organisations(doc: data.Document, report: _Report) -> None:
    known = sorted(_version_ids(doc))
    digests: set[str] = set()
    for index, organisation in enumerate(doc.organisations):
        path = ("organisations", index)
        _check_ratings((*path, "quality"), organisation.quality, report)
        for number, pattern in enumerate(organisation.allowed):
            if not any(fnmatch.fnmatchcase(text, pattern) for text in known):
                message = f"{pattern!r} matches no model@version; correct it or remove it"
                report((*path, "allowed", number), message)
        for number, digest in enumerate(organisation.key_sha256):
            if len(digest) != 64 or set(digest) - set("0123456789abcdef"):
                message = "is not a hexadecimal SHA-256 digest; create one with: berylrock key"
                report((*path, "key_sha256", number), message)
            elif digest in digests:
                report((*path, "key_sha256", number), "is used twice; give each caller its own key")
            digests.add(digest)


def _check_services(doc: data.Document, report: _Report) -> None:
    pools = {pool.name for pool in doc.pools if pool.kind == "service"}
    for index, service in enumerate(doc.services):
        if service.pool not in pools:
            message = f"{service.pool!r} is not a service pool; list it under pools"
            report(("services", index, "pool"), message)


def _check_rollouts(doc: data.Document, report: _Report) -> None:
    known = _version_ids(doc)
    models = set()
    for index, rollout in enumerate(doc.rollouts):
        path = ("rollouts", index)
        for field, version in (("old", rollout.old), ("new", rollout.new)):
            if f"{rollout.model}@{version}" not in known:
                message = f"{rollout.model}@{version} is not known; list it under models"
                report((*path, field), message)
        if not 0 <= rollout.percent <= 100:
            report((*path, "percent"), "is not a percentage; use a number from 0 to 100")
        if rollout.model in models:
            report((*path, "model"), f"{rollout.model!r} has two rollouts; end one of them first")
        models.add(rollout.model)
