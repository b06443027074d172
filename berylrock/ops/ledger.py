"""Stores bills in batches, each counted once however often it is stored.

A bill is keyed by its request's step. The sidecar that ran the attempt keeps its copy until this
process says that the object API has it, so that either of the two may die.
"""

import secrets
from collections.abc import Callable, Iterable

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import errors, message, metrics

__all__ = ["Ledger", "count_once", "read_all"]

OBJECT_KIND = "bills"
MAX_BATCH_BILLS = 2000
MAX_PENDING_BILLS = 200_000
NAME_BYTES = 8


class Ledger:
    """The bills of one entry process that the object API does not have yet.

    Attributes:
      pending: The bills by attempt.
    """

    def __init__(self, objects: interfaces.Objects, name: str, meter: metrics.Metrics) -> None:
        self._objects = objects
        self._prefix = f"{name}-{secrets.token_hex(NAME_BYTES)}"
        self._meter = meter
        self._sequence = 0
        self._batch: tuple[message.Bill, ...] = ()
        self.pending: dict[str, message.Bill] = {}

    def add(self, bill: message.Bill) -> None:
        """Add a bill, to be stored with the next batch."""
        if len(self.pending) < MAX_PENDING_BILLS:
            self.pending[bill.attempt] = bill

    async def flush(self, stored: Callable[[tuple[str, ...]], None]) -> None:
        """Store a batch.

        A batch is tried again under its name until it is known to be stored: a lost answer shows
        as a conflict then.

        Args:
          stored: Called with the attempts whose bills are now stored.
        """
        if not self._batch:
            self._batch = tuple(self.pending.values())[:MAX_BATCH_BILLS]
        if not self._batch:
            return
        name = f"{self._prefix}-{self._sequence:09d}"
        body = msgspec.json.encode([bill._asdict() for bill in self._batch])
        try:
            await self._objects.put(OBJECT_KIND, name, body, 0)
        except errors.Conflict:
            # The same batch was stored before; its answer was lost.
            pass
        except errors.StoreUnavailable:
            return
        self._sequence += 1
        attempts = tuple(bill.attempt for bill in self._batch)
        self._batch = ()
        for attempt in attempts:
            self.pending.pop(attempt, None)
        self._meter.count(metrics.Metrics.BILLS_STORED, len(attempts))
        stored(attempts)


def count_once(bills: Iterable[message.Bill]) -> dict[str, message.Bill]:
    """Keep one bill for each billing key."""
    found: dict[str, message.Bill] = {}
    for bill in bills:
        found.setdefault(bill.billing_key, bill)
    return found


async def read_all(objects: interfaces.Objects) -> dict[str, message.Bill]:
    """Read the whole ledger; one bill for each billing key."""
    bills: list[message.Bill] = []
    for name in sorted(await objects.names(OBJECT_KIND)):
        stored = await objects.get(OBJECT_KIND, name)
        rows = msgspec.json.decode(stored.body, type=list[dict])
        bills.extend(message.Bill(**row) for row in rows)
    return count_once(bills)
