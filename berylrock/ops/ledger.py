"""Stores bills in batches, and counts each bill once however often it is stored.

The key of a bill identifies the step of its request. The sidecar that ran the attempt keeps a copy
until the entry process confirms that the bill is in the object API, so that the bill survives the
loss of either of the two processes. If that sidecar is lost, another one is asked to keep a copy.
"""

import itertools
import secrets
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import msgspec

from berylrock.adapters import interfaces
from berylrock.core import errors, message, metrics

__all__ = ["Ledger", "PendingBill", "deduplicate", "read_all"]

OBJECT_KIND = "bills"
MAX_BATCH_BILLS = 2000
MAX_PENDING_BILLS = 200_000
MAX_STORED_ATTEMPTS = 100_000
PREFIX_BYTES = 8


class PendingBill(NamedTuple):
    """A bill, and the sidecar process that keeps the second copy; empty if there is none."""

    bill: message.Bill
    holder: str


class Ledger:
    """The bills of one entry process that are not stored in the object API yet.

    Attributes:
      pending: The bills by attempt, each with the sidecar process that keeps the second copy.
    """

    def __init__(self, objects: interfaces.ObjectStore, name: str, meter: metrics.Metrics) -> None:
        self._objects = objects
        self._prefix = f"{name}-{secrets.token_hex(PREFIX_BYTES)}"
        self._meter = meter
        self._sequence = 0
        self._batch: tuple[message.Bill, ...] = ()
        self._stored_attempts: dict[str, None] = {}
        self.pending: dict[str, PendingBill] = {}

    def add(self, bill: message.Bill, holder: str) -> bool:
        """Add a bill, to be stored with the next batch.

        Args:
          bill: The bill.
          holder: The sidecar process that keeps the second copy; empty if there is none.

        Returns:
          False if this process has already stored the bill, otherwise True.
        """
        if bill.attempt in self._stored_attempts:
            return False
        if len(self.pending) < MAX_PENDING_BILLS:
            self.pending[bill.attempt] = PendingBill(bill, holder)
        return True

    def find_unreplicated(self, holders: Collection[str]) -> tuple[message.Bill, ...]:
        """Find the pending bills without a second copy at a connected sidecar.

        Args:
          holders: The sidecar processes that are connected now.
        """
        return tuple(item.bill for item in self.pending.values() if item.holder not in holders)

    async def flush(self, stored: Callable[[tuple[str, ...]], None]) -> None:
        """Store one batch of pending bills.

        A batch is written under the same name until it is known to be stored. If an earlier write
        took effect but its answer was lost, the next write gets a conflict.

        Args:
          stored: Called with the attempts whose bills are now stored.
        """
        if not self._batch:
            pending = itertools.islice(self.pending.values(), MAX_BATCH_BILLS)
            self._batch = tuple(item.bill for item in pending)
        if not self._batch:
            return
        name = f"{self._prefix}-{self._sequence:09d}"
        body = msgspec.json.encode([bill._asdict() for bill in self._batch])
        try:
            await self._objects.put(OBJECT_KIND, name, body, 0)
        except errors.Conflict:
            # An earlier write of this batch took effect, but its answer was lost.
            pass
        except errors.StoreUnavailable:
            return
        self._sequence += 1
        attempts = tuple(bill.attempt for bill in self._batch)
        self._batch = ()
        for attempt in attempts:
            self.pending.pop(attempt, None)
            self._stored_attempts[attempt] = None
        while len(self._stored_attempts) > MAX_STORED_ATTEMPTS:
            del self._stored_attempts[next(iter(self._stored_attempts))]
        self._meter.count(metrics.Metrics.BILLS_STORED, len(attempts))
        stored(attempts)


def deduplicate(bills: Iterable[message.Bill]) -> dict[str, message.Bill]:
    """Return the first bill of each billing key, by billing key."""
    found: dict[str, message.Bill] = {}
    for bill in bills:
        found.setdefault(bill.billing_key, bill)
    return found


async def read_all(objects: interfaces.ObjectStore) -> dict[str, message.Bill]:
    """Read all stored bills; returns one bill for each billing key."""
    bills: list[message.Bill] = []
    for name in sorted(await objects.names(OBJECT_KIND)):
        stored = await objects.get(OBJECT_KIND, name)
        rows = msgspec.json.decode(stored.body, type=list[dict])
        bills.extend(message.Bill(**row) for row in rows)
    return deduplicate(bills)
