"""Compares three independent records: of the callers, of the stand-ins and of the ledger."""

import collections
from collections.abc import Iterable
from typing import Any, NamedTuple

from berylrock.core import message
from berylrock.standins import caller

__all__ = ["Reconciliation", "reconcile"]


class Reconciliation(NamedTuple):
    """The result of comparing the records.

    Attributes:
      answered: Number of requests with a complete answer.
      not_run: Number of requests refused as not run.
      unknown: Number of requests whose caller was told that the outcome is unknown.
      broken: Number of requests whose connection to the caller failed.
      lost: Answered requests that no stand-in ran, or whose answer is incomplete or belongs to
        another request.
      duplicated: Idempotency keys whose request ran more than once.
      wrongly_refused: Requests refused as not run although a service ran them.
      misbilled: Answered requests that were not billed exactly once, and idempotency keys of
        answered requests that did not run exactly once.
    """

    answered: int
    not_run: int
    unknown: int
    broken: int
    lost: tuple[str, ...]
    duplicated: tuple[str, ...]
    wrongly_refused: tuple[str, ...]
    misbilled: tuple[str, ...]

    @property
    def violations(self) -> tuple[str, ...]:
        """All violations, as text."""
        return tuple(
            f"{description}: {name}"
            for description, names in (
                ("lost", self.lost),
                ("doubled", self.duplicated),
                ("refused as not run, yet run", self.wrongly_refused),
                ("not billed once", self.misbilled),
            )
            for name in names
        )


def reconcile(
    results: Iterable[tuple[caller.Result, str]],
    events: list[dict[str, Any]],
    bills: Iterable[message.Bill],
) -> Reconciliation:
    """Compare the three records.

    Args:
      results: Results of the callers, each with its idempotency key; the key is empty if the
        request may run more than once.
      events: Events of the stand-ins' record.
      bills: The ledger, one bill for each billing key.

    Returns:
      The counts and the violations.
    """
    results = list(results)
    runs = collections.Counter(row["key"] for row in events if row["event"] == "ran" and row["key"])
    started = {row.get("request") for row in events if row["event"] in ("ran", "start")}
    billed = collections.Counter(bill.request_id for bill in bills)
    outcomes = collections.Counter(result.outcome for result, _ in results)
    lost = [
        item.request_id
        for item, key in results
        if item.outcome == "done" and not (item.complete and (item.request_id in started or key))
    ]
    wrongly_refused = [
        item.request_id
        for item, key in results
        if item.outcome == "not-run" and _has_run(item, key, runs, results)
    ]
    answered = {item.request_id for item, key in results if item.outcome == "done" and not key}
    answered_keys = {key for item, key in results if item.outcome == "done" and key}
    return Reconciliation(
        outcomes["done"],
        outcomes["not-run"],
        outcomes["unknown-not-repeated"],
        outcomes["broken"],
        tuple(lost),
        tuple(key for key, count in runs.items() if count > 1),
        tuple(wrongly_refused),
        tuple(name for name in sorted(answered) if billed[name] != 1)
        + tuple(key for key in sorted(answered_keys) if runs[key] != 1),
    )


def _has_run(
    item: caller.Result,
    key: str,
    runs: collections.Counter[str],
    results: list[tuple[caller.Result, str]],
) -> bool:
    """Return whether a request refused as not run did run.

    A run is not attributed to this request if another attempt with the same key may have caused it.
    """
    if not key or not runs[key]:
        return False
    others = [other for other, name in results if name == key and other is not item]
    return not any(other.outcome != "not-run" for other in others)
