"""Checks that scenarios detect faults: runs each on a copy from which one mechanism is removed.

A mutant is reported if its scenario does not detect it. Run it from the root of a checkout:
``python features/support/mutants.py [NAME ...]``.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

if __name__ == "__main__":
    sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from support import (  # noqa: E402
    answermutants,
    crashmutants,
    gatewaymutants,
    mutantlist,
    mutanttypes,
)

MUTANTS = (
    *mutantlist.MUTANTS,
    *gatewaymutants.MUTANTS,
    *answermutants.MUTANTS,
    *crashmutants.MUTANTS,
)
COPIED = ("berylrock", "features", "examples")


def apply(mutant: mutanttypes.Mutant, folder: pathlib.Path) -> None:
    """Remove a mechanism from a copy of the sources.

    Args:
      mutant: The mutant.
      folder: Root of the copy.

    Raises:
      SystemExit: A text to replace is not in its file.
    """
    for edit in mutant.edits:
        path = folder / "berylrock" / edit.file
        text = path.read_text(encoding="utf-8")
        if edit.old not in text:
            raise SystemExit(
                f"{mutant.name}: the text to replace is not in {edit.file}; update the mutant"
            )
        path.write_text(text.replace(edit.old, edit.new), encoding="utf-8")


def is_detected(mutant: mutanttypes.Mutant) -> bool:
    """Run the mutant's scenario on a temporary copy with its changes.

    Args:
      mutant: The mutant.

    Returns:
      Whether the scenario failed.
    """
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        for name in COPIED:
            shutil.copytree(name, pathlib.Path(folder) / name)
        apply(mutant, pathlib.Path(folder))
        command = [sys.executable, "-m", "behave", "-f", "null", "features", "-n", mutant.scenario]
        env = {**os.environ, "PYTHONPATH": folder}
        process = subprocess.run(command, cwd=folder, env=env, capture_output=True, check=False)
        return process.returncode != 0


def main() -> None:
    """Run the mutants named as arguments, or all; exit with 1 if one was not detected."""
    chosen = [item for item in MUTANTS if not sys.argv[1:] or item.name in sys.argv[1:]]
    undetected = []
    for mutant in chosen:
        detected = is_detected(mutant)
        print(f"{mutant.name}: {'failed as it should' if detected else 'NOT NOTICED'}", flush=True)
        if not detected:
            undetected.append(mutant.name)
    print(f"{len(chosen) - len(undetected)} passed, {len(undetected)} failed")
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
