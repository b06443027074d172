"""Compares three records that know nothing of each other: callers', stand-ins' and the ledger's."""

import collections
from collections.abc import Iterable
from typing import Any, NamedTuple

from berylrock.core import message
from berylrock.standins import caller

__all__ = ["Reconciliation", "reconcile"]


class Reconciliation(NamedTuple):
    """What the records say together.

    Attributes:
      answered: Requests with a whole answer.
      not_run: Requests refused as not run.
      unknown: Requests whose caller heard that the outcome is unknown.
      broken: Requests whose caller's own connection broke.
      lost: Answered requests that no stand-in ran, and short or foreign answers.
      duplicated: Requests that ran twice though they may not.
      wrongly_refused: Requests refused as not run that a service ran.
      misbilled: Answered requests that were not billed once.
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
        """All that is off, in words."""
        return tuple(
            f"{what}: {name}"
            for what, names in (
                ("lost", self.lost),
                ("doubled", self.duplicated),
                ("refused as not run, yet run", self.wrongly_refused),
                ("not billed once", self.misbilled),
            )
            for name in names
        )


def reconcile(
    results: Iterable[tuple[caller.Result, str]],
    ran: list[dict[str, Any]],
    bills: Iterable[message.Bill],
) -> Reconciliation:
    """Compare the three records.

    Args:
      results: What callers saw, and the idempotency key of each request that runs at most once.
      ran: The stand-ins' record.
      bills: The ledger, one bill for each billing key.

    Returns:
      What they say together.
    """
    results = list(results)
    runs = collections.Counter(row["key"] for row in ran if row["event"] == "ran" and row["key"])
    started = {row.get("request") for row in ran if row["event"] in ("ran", "start")}
    billed = collections.Counter(bill.request_id for bill in bills)
    outcomes = collections.Counter(result.outcome for result, _ in results)
    lost = [
        item.request_id
        for item, key in results
        if item.outcome == "done" and not (item.whole and (item.request_id in started or key))
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
    """Whether a request refused as not run did run, and not for another try with its key."""
    if not key or not runs[key]:
        return False
    others = [other for other, name in results if name == key and other is not item]
    return not any(other.outcome != "not-run" for other in others)
