"""Checks that the soak detects faults: runs it on copies from which one mechanism is removed.

Run it from the root of a checkout: ``make soak-mutants``. A mechanism is reported if no seed
detects its removal.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from support import mutants, mutanttypes

SEEDS = "1-16"
GATEWAY = "daemons/gateway"


def _remove(name, file, old, new, *more_edits):
    return mutanttypes.Mutant(name, file, old, new, "", more_edits)


MECHANISMS = (
    _remove(
        "an order that may have run is not sent again",
        f"{GATEWAY}/sending.py",
        "self.attempts_run -= not result.may_have_run",
        "self.attempts_run -= 1",
    ),
    _remove(
        "503 only if nothing can have run",
        f"{GATEWAY}/forwarding.py",
        "        elif self.dispatcher.attempts_run:\n",
        "        elif False:\n",
    ),
    _remove(
        "a body that broke off is no answer",
        f"{GATEWAY}/forwarding.py",
        '            self._end_incomplete(opened, f"incomplete response: {exc}", first_part_s)\n'
        "            return None",
        '            self._end_incomplete(opened, f"incomplete response: {exc}", first_part_s)\n'
        '            return b""',
    ),
    _remove(
        "a leaving engine gets nothing new",
        "ops/engineset.py",
        "                and not item.engine.draining\n",
        "",
    ),
    _remove(
        "a stream goes on after the event that the caller has",
        f"{GATEWAY}/streaming.py",
        "self._step.model, self._sequence.last, self",
        "self._step.model, None, self",
        mutanttypes.Edit(
            f"{GATEWAY}/streaming.py", "if not self._sequence.advance(event):", "if False:"
        ),
        mutanttypes.Edit(
            f"{GATEWAY}/streaming.py", "if self._sequence.has_gap(event):", "if False:"
        ),
    ),
    _remove(
        "a planned stop waits for what runs",
        f"{GATEWAY}/callers.py",
        "while self._open and loop.time() < self._drain_until:",
        "while False:",
    ),
    _remove(
        "what an engine says of its leaving counts",
        f"{GATEWAY}/noticing.py",
        "    if head.leaving:\n",
        "    if False:\n",
    ),
    _remove(
        "a pause that an engine asks for is kept",
        f"{GATEWAY}/noticing.py",
        "    if pause_s and",
        "    if False and",
    ),
    _remove(
        "a caller's key goes no further",
        "platform/names.py",
        "        API_KEY,\n        ORGANISATION,",
        "        ORGANISATION,",
    ),
    _remove(
        "gateways choose the same version for a session",
        "ops/versionchoice.py",
        "    if positions.find_position(service, plan.trial, digest.hex()) < plan.share:\n",
        "    if positions.find_position(service, plan.trial, str(id(plan))) < plan.share:\n",
    ),
)


def find_breach(mutant):
    """Apply a mutant to a temporary copy and run the soak there.

    Args:
      mutant: The ``mutanttypes.Mutant``.

    Returns:
      The first breach that the soak reports; empty if it reports none.
    """
    with tempfile.TemporaryDirectory(prefix="mutant-") as folder:
        for name in ("berylrock", "features"):
            shutil.copytree(name, pathlib.Path(folder) / name)
        mutants.apply(mutant, pathlib.Path(folder))
        command = [sys.executable, "-m", "support.platform.soak", "--seeds", SEEDS, "--first"]
        features = pathlib.Path(folder) / "features"
        env = {**os.environ, "PYTHONPATH": f"{folder}:{features}"}
        process = subprocess.run(
            command, cwd=folder, env=env, capture_output=True, text=True, check=False
        )
        breaches = [line.strip() for line in process.stdout.splitlines() if "BREACH" in line]
        return breaches[0] if breaches else ""


def main():
    """Run the soak for every mechanism; exit with 1 if the removal of one was not detected."""
    undetected = 0
    for mutant in MECHANISMS:
        breach = find_breach(mutant)
        print(f"without '{mutant.name}': {breach or 'NOT NOTICED'}", flush=True)
        undetected += not breach
    sys.exit(1 if undetected else 0)


if __name__ == "__main__":
    main()
