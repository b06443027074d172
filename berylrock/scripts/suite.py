"""Runs the behave scenarios and prints the result; known failures are named and passed over.

``KNOWN-RED.txt`` lists scenarios that fail for a real fault, one a line that starts with
``scenario:``. A listed scenario that passes fails the run, so that the list stays true.
"""

import json
import pathlib
import subprocess
import sys
import tempfile
from typing import NamedTuple

__all__ = ["main"]

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
PREFIX = "scenario:"
PASSED, FAILED = "passed", "failed"


class Outcome(NamedTuple):
    """How a scenario ended."""

    name: str
    status: str


def _read_known_red() -> set[str]:
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix(PREFIX).strip() for line in lines if line.startswith(PREFIX)}


def _read_outcomes(report: pathlib.Path) -> list[Outcome]:
    outcomes = []
    for feature in json.loads(report.read_text(encoding="utf-8") or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                outcomes.append(Outcome(element["name"], element.get("status", FAILED)))
    return outcomes


def main() -> None:
    """Run all scenarios, or those that the arguments choose."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", str(report)]
        command += ["-f", "progress3", *sys.argv[1:]]
        code = subprocess.run(command, check=False).returncode
        outcomes = _read_outcomes(report) if report.exists() else []
    sys.exit(_conclude(outcomes, code))


def _conclude(outcomes: list[Outcome], code: int) -> int:
    known = _read_known_red()
    failed = [item.name for item in outcomes if item.status != PASSED]
    unexpected = [name for name in failed if name not in known]
    healed = [item.name for item in outcomes if item.name in known and item.status == PASSED]
    for name in failed:
        note = " (known red)" if name in known else ""
        print(f"failed: {name}{note}")
    for name in healed:
        print(f"listed in {KNOWN_RED} but passed, so take it off the list: {name}")
    broken = code != 0 and not failed
    if broken or not outcomes:
        print("behave broke off; see its output above")
    passed = sum(item.status == PASSED for item in outcomes)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if unexpected or healed or broken or not outcomes else 0


if __name__ == "__main__":
    main()
