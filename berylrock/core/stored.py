"""Immutable types for the objects of the platform's store, as lists, watches and relays give them.

The contents of an object are opaque here; the package ``platform`` decodes them.

The store may come back from an older copy of its contents. Its counter of revisions then goes back
as well, and it says that a new era has begun. Here a revision holds both, so that any revision of a
later era is larger than all of those before.
"""

from typing import Any, NamedTuple

__all__ = [
    "Listing",
    "ObjectChange",
    "StoredObject",
    "find_era",
    "find_number",
    "make_revision",
]

# Bits of a revision that hold the store's counter; those above hold the era.
NUMBER_BITS = 44


def make_revision(era: int, number: int) -> int:
    """Return the revision for a value of the store's counter in one of its eras."""
    return (era << NUMBER_BITS) + number


def find_era(revision: int) -> int:
    """Return the store's era at a revision."""
    return revision >> NUMBER_BITS


def find_number(revision: int) -> int:
    """Return the value of the store's counter at a revision."""
    return revision - (find_era(revision) << NUMBER_BITS)


class StoredObject(NamedTuple):
    """An object of the store.

    Attributes:
      name: Name, unique within its kind.
      revision: Revision of the store at the object's last change, as of ``make_revision``.
      spec: Specification, written by the object's owner.
      status: Status, written by the system.
    """

    name: str
    revision: int
    spec: Any
    status: Any


class ObjectChange(NamedTuple):
    """A change of an object, as returned by a watch."""

    stored: StoredObject
    deleted: bool


class Listing(NamedTuple):
    """Response of the store: a page of the objects of a kind, or the changes of a watch.

    Attributes:
      objects: Objects of the page.
      changes: Changes that the watch returned.
      has_more: Whether another page follows.
      revision: Revision of the store that the response reflects.
    """

    objects: tuple[StoredObject, ...]
    changes: tuple[ObjectChange, ...]
    has_more: bool
    revision: int
