"""Types of the source changes that each remove one mechanism, which a scenario has to notice."""

from typing import NamedTuple


class Edit(NamedTuple):
    """A replacement of text in a source file.

    Attributes:
      file: Path of the file, relative to the package ``berylrock``.
      old: The text to replace.
      new: The text that replaces it.
    """

    file: str
    old: str
    new: str


class Mutant(NamedTuple):
    """A source change that removes a mechanism, and the scenario that has to fail then.

    Attributes:
      name: Name of the mutant.
      file: Path of the first changed file, relative to the package ``berylrock``.
      old: The text to replace in it.
      new: The text that replaces it.
      scenario: Part of the scenario's name.
      more_edits: Further changes. A promise that is enforced in two places is broken only if both
        are removed.
    """

    name: str
    file: str
    old: str
    new: str
    scenario: str
    more_edits: tuple[Edit, ...] = ()

    @property
    def edits(self) -> tuple[Edit, ...]:
        """All changes of the mutant."""
        return (Edit(self.file, self.old, self.new), *self.more_edits)
