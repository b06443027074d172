"""Copies the store's objects of one kind, and tells what changed since a revision.

Scenario: dozens of gateways in one availability zone need the same objects. One of them watches the
store; the others ask it what changed since the revision that they have. The store has a single
counter of revisions, so the answers of different gateways can be combined in any order.

Scenario: all gateways are restarted together, with thousands of engines. Each lists the objects,
and half of them did so just before the gateway through which they will read. That one does not know
which objects were deleted in between, but it knows the names of all that exist. They are a
fifteenth of the size of the objects, which its link could not carry to all of them at once.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from berylrock.core import stored

__all__ = ["Delta", "Mirror", "to_listing"]

# Deletions that are remembered. Who is further behind gets the names of all objects.
MAX_DELETIONS = 256
MAX_GAPS = 64


class Delta(NamedTuple):
    """Changes of one kind of object between two revisions.

    Attributes:
      full: Whether ``objects`` has all objects, so that any other one is gone.
      objects: New and changed objects; all objects if ``full``.
      deleted: Names of objects that are gone.
      revision: Revision that the changes lead to; 0 before the first list.
      names: Names of all objects, in place of ``deleted``; None if ``deleted`` has all.
    """

    full: bool
    objects: tuple[stored.StoredObject, ...]
    deleted: tuple[str, ...]
    revision: int
    names: tuple[str, ...] | None = None


class _Deletion(NamedTuple):
    """A deleted object, and the revision at which it was known to be gone."""

    name: str
    revision: int


class Mirror:
    """Copy of all objects of one kind.

    Attributes:
      revision: Revision of the store that the copy reflects; 0 before the first list.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, stored.StoredObject] = {}
        self._deletions: collections.deque[_Deletion] = collections.deque()
        # Between the two revisions of a gap, objects may have come and gone unseen.
        self._gaps: collections.deque[tuple[int, int]] = collections.deque()
        # Deletions up to this revision are not remembered.
        self._floor = 0

    def apply(self, listing: stored.Listing, full: bool) -> bool:
        """Apply a list (``full``) or changes.

        Args:
          listing: The list or the changes.
          full: Whether it is a list.

        Returns:
          Whether it was applied; False for a list that is older than the copy.
        """
        if full:
            return self._replace(listing)
        for change in listing.changes:
            self._apply_change(change, listing.revision)
        self.revision = max(self.revision, listing.revision)
        return True

    def _replace(self, listing: stored.Listing) -> bool:
        if listing.revision < self.revision:
            return False
        self._record_gap(listing.revision)
        listed = {item.name for item in listing.objects}
        for name in [name for name in self._objects if name not in listed]:
            self._record_deletion(name, listing.revision)
        self._objects = {item.name: item for item in listing.objects}
        self.revision = listing.revision
        return True

    def _apply_change(self, change: stored.ObjectChange, revision: int) -> None:
        item = change.stored
        known = self._objects.get(item.name)
        if change.deleted:
            self._objects.pop(item.name, None)
            self._record_deletion(item.name, revision)
        elif known is None or known.revision <= item.revision:
            self._objects[item.name] = item

    def _record_gap(self, revision: int) -> None:
        """Record that the changes before a list are known only by their result."""
        if not self.revision:
            self._floor = revision
        elif revision > self.revision:
            self._gaps.append((self.revision, revision))
        if len(self._gaps) > MAX_GAPS:
            self._floor = max(self._floor, self._gaps.popleft()[1])

    def _record_deletion(self, name: str, revision: int) -> None:
        self._deletions.append(_Deletion(name, revision))
        if len(self._deletions) > MAX_DELETIONS:
            self._floor = max(self._floor, self._deletions.popleft().revision)

    def names(self) -> tuple[str, ...]:
        """Return the names of the objects."""
        return tuple(self._objects)

    def revisions(self) -> dict[str, int]:
        """Return the revisions of the objects by name."""
        return {name: item.revision for name, item in self._objects.items()}

    def since(self, revision: int) -> Delta:
        """Return what changed after a revision.

        Args:
          revision: Revision that the asking process has; 0 for all objects.

        Returns:
          The changes; without any if this copy is not newer.
        """
        if revision >= self.revision:
            return Delta(False, (), (), self.revision)
        if not revision:
            return Delta(True, tuple(self._objects.values()), (), self.revision)
        changed = tuple(item for item in self._objects.values() if item.revision > revision)
        in_gap = any(first < revision < last for first, last in self._gaps)
        if revision < self._floor or in_gap:
            return Delta(False, changed, (), self.revision, self.names())
        deleted = tuple(
            item.name
            for item in self._deletions
            if item.revision > revision and item.name not in self._objects
        )
        return Delta(False, changed, deleted, self.revision)


def to_listing(delta: Delta, known: Iterable[str]) -> stored.Listing:
    """Return changes in the form in which the store gives them.

    Args:
      delta: The changes.
      known: Names of the objects in the copy to which they will be applied.

    Returns:
      The list or the changes.
    """
    if delta.full:
        return stored.Listing(delta.objects, (), False, delta.revision)
    changes = [stored.ObjectChange(item, False) for item in delta.objects]
    deleted = delta.deleted
    if delta.names is not None:
        existing = set(delta.names)
        deleted = tuple(name for name in known if name not in existing)
    changes += [
        stored.ObjectChange(stored.StoredObject(name, delta.revision, None, None), True)
        for name in deleted
    ]
    return stored.Listing((), tuple(changes), False, delta.revision)
