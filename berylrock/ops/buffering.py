"""Limits the bytes that a process holds of what others send, for each body and for all together.

Scenario: many callers or servers send bodies at the same time that are large, or never end. Each of
them is within its own limit, but together they would exceed the memory of the process. The largest
one that is still being received gives way, so that neither a server nor a request can take the room
that the others need.
"""

import threading

from berylrock.core import errors

__all__ = [
    "Body",
    "BodyGivenUp",
    "BodyTooLarge",
    "BufferBudget",
    "Hold",
    "budget_bytes",
]

BYTES_PER_MB = 1_048_576
# Share of the memory limit that bodies may take; a body is copied when it is sent.
MEMORY_SHARE = 0.15
MIN_BUDGET_BYTES = 8 * BYTES_PER_MB
# A body up to this size is not counted, so that a small answer always fits.
FREE_BYTES = 4096
# An answer that cannot be had again gives way as one of this fraction of its size would.
IRREPLACEABLE_WEIGHT = 0.125
# Largest share of the budget that one body may take.
MAX_BODY_SHARE = 0.5


class BodyTooLarge(errors.BerylrockError):
    """A body is larger than its limit; ask its sender for less."""


class BodyGivenUp(errors.BerylrockError):
    """A body was given up as there is no memory for it; try again, or raise the memory limit."""


def budget_bytes(memory_limit_mb: float) -> int:
    """Return the bytes that bodies may take of a memory limit; 0 stands for an unknown limit."""
    return max(MIN_BUDGET_BYTES, int(memory_limit_mb * BYTES_PER_MB * MEMORY_SHARE))


class Hold:
    """Part of a budget that is taken by one body, line or event while it is received.

    Attributes:
      size: Number of the bytes.
      given_up: Whether it had to give way; its bytes are free again.
    """

    def __init__(self, budget: "BufferBudget", replaceable: bool = True) -> None:
        """Create a hold without bytes.

        Args:
          budget: The budget.
          replaceable: Whether what is received could be had again.
        """
        self.size = 0
        self.given_up = False
        self._budget = budget
        self._weight = 1.0 if replaceable else IRREPLACEABLE_WEIGHT

    def weigh(self, size: int) -> float:
        """Return its weight at a size; of several holds, the one with the largest gives way."""
        return size * self._weight

    def resize(self, size: int) -> None:
        """Change the number of bytes; others may have to give way.

        Raises:
          BodyGivenUp: It has given way to others, or there is no room for it.
        """
        with self._budget.lock:
            if self.given_up or not self._budget.make_room(self, size):
                self.give_up()
                raise BodyGivenUp(f"no memory for another {size} bytes; try again later")
            self._budget.set_size(self, size)
            self.size = size

    def settle(self) -> None:
        """Keep the bytes whatever others need, as all of them have arrived."""
        with self._budget.lock:
            self._budget.settle(self)

    def give_up(self) -> None:
        """Return the bytes, and take no more."""
        with self._budget.lock:
            self.given_up = True
            self.release()

    def release(self) -> None:
        """Return the bytes."""
        with self._budget.lock:
            self._budget.set_size(self, 0)
            self.size = 0


class BufferBudget:
    """Bytes that all holds of a process may take together.

    Attributes:
      limit: The bytes.
      held: Bytes that are held now.
      lock: Held while any hold of the budget changes, as holds of threads may give way to others.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held = 0
        self.lock = threading.RLock()
        self._receiving: set[Hold] = set()

    @property
    def max_body_bytes(self) -> int:
        """Largest size of a body that leaves room for others."""
        return int(self.limit * MAX_BODY_SHARE)

    def make_room(self, hold: Hold, size: int) -> bool:
        """Let larger holds give way until one can have a size; return whether it can."""
        while self.held - _count(hold.size) + _count(size) > self.limit:
            others = self._receiving - {hold}
            largest = max(others, key=lambda item: item.weigh(item.size), default=None)
            if largest is None or largest.weigh(largest.size) < hold.weigh(size):
                return False
            largest.give_up()
        return True

    def set_size(self, hold: Hold, size: int) -> None:
        """Count a hold with another size."""
        self.held += _count(size) - _count(hold.size)
        if not _count(size):
            self._receiving.discard(hold)
        elif not _count(hold.size):
            self._receiving.add(hold)

    def settle(self, hold: Hold) -> None:
        """Let a hold give way no more."""
        self._receiving.discard(hold)


def _count(size: int) -> int:
    return size if size > FREE_BYTES else 0


class Body(Hold):
    """Collects the bytes of one body, within its own limit and a budget."""

    def __init__(self, budget: BufferBudget, max_bytes: int, replaceable: bool = True) -> None:
        """Create an empty body.

        Args:
          budget: The budget.
          max_bytes: Largest size of the body.
          replaceable: Whether the body could be had again.
        """
        super().__init__(budget, replaceable)
        self._max_bytes = max_bytes
        self._data = bytearray()

    def add(self, data: bytes | bytearray) -> None:
        """Add bytes that have arrived.

        Raises:
          BodyTooLarge: The body is larger than its limit; its bytes are free again.
          BodyGivenUp: It has given way to others, or there is no room for it.
        """
        with self._budget.lock:
            size = self.size + len(data)
            if size > self._max_bytes:
                self.give_up()
                raise BodyTooLarge(
                    f"body of more than {self._max_bytes} bytes; ask for less at once"
                )
            self.resize(size)
            self._data += data

    def finish(self) -> bytes:
        """Return the whole body, which stays counted until it is released.

        Raises:
          BodyGivenUp: It has given way to others.
        """
        with self._budget.lock:
            if self.given_up:
                raise BodyGivenUp("no memory for the body; try again later")
            self.settle()
            data = bytes(self._data)
            self._data.clear()
            return data

    def release(self) -> None:
        """Return the bytes, and forget those that were not taken yet."""
        with self._budget.lock:
            super().release()
            self._data.clear()
