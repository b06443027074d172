"""Shows that the soak can find something: takes one mechanism out of a scratch copy and runs it.

Run from the root of a checkout: ``make soak-mutants``. A mechanism whose loss no seed notices is
reported.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from support import mutants

SEEDS = "1-16"
GATEWAY = "daemons/gateway"


def _take_out(name, file, old, new, *also):
    return mutants.Mutant(name, file, old, new, "", also)


MECHANISMS = (
    _take_out(
        "an order that may have run is not sent again",
        f"{GATEWAY}/sending.py",
        "self.runs -= not result.may_have_run",
        "self.runs -= 1",
    ),
    _take_out(
        "503 only if nothing can have run",
        f"{GATEWAY}/forwarding.py",
        "        elif self.sender.runs:\n",
        "        elif False:\n",
    ),
    _take_out(
        "a body that broke off is no answer",
        f"{GATEWAY}/forwarding.py",
        "            opened.attempt.end()\n            return None",
        "            opened.attempt.end()\n            return bytes(body)",
    ),
    _take_out(
        "a leaving engine gets nothing new",
        "ops/engineset.py",
        "if not item.engine.draining and",
        "if",
    ),
    _take_out(
        "a stream goes on after the event that the caller has",
        f"{GATEWAY}/streaming.py",
        "self._step.model, self._sequence.last, self",
        "self._step.model, None, self",
        mutants.Edit(
            f"{GATEWAY}/streaming.py", "if not self._sequence.accepts(event):", "if False:"
        ),
        mutants.Edit(f"{GATEWAY}/streaming.py", "if self._sequence.has_gap(event):", "if False:"),
    ),
    _take_out(
        "a planned stop waits for what runs",
        f"{GATEWAY}/callers.py",
        "while self._open and loop.time() < drain_until:",
        "while False:",
    ),
    _take_out(
        "a caller's key goes no further",
        "platform/names.py",
        "        API_KEY,\n        ORGANISATION,",
        "        ORGANISATION,",
    ),
)


def is_noticed(mutant):
    """Run the soak in a scratch copy; returns the first breach, empty if there was none."""
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        for name in ("berylrock", "features"):
            shutil.copytree(name, pathlib.Path(folder) / name)
        mutants.apply(mutant, pathlib.Path(folder))
        command = [sys.executable, "-m", "support.platform.soak", "--seeds", SEEDS, "--first"]
        features = pathlib.Path(folder) / "features"
        env = {**os.environ, "PYTHONPATH": f"{folder}:{features}"}
        done = subprocess.run(
            command, cwd=folder, env=env, capture_output=True, text=True, check=False
        )
        breaches = [line.strip() for line in done.stdout.splitlines() if "BREACH" in line]
        return breaches[0] if breaches else ""


def main():
    """Try every mechanism."""
    missed = 0
    for mutant in MECHANISMS:
        breach = is_noticed(mutant)
        print(f"without '{mutant.name}': {breach or 'NOT NOTICED'}", flush=True)
        missed += not breach
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
