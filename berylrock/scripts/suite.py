"""Runs the behave scenarios and prints the result; known failures are named and passed over.

``KNOWN-RED.txt`` lists scenarios that fail for a real fault, one a line that starts with
``scenario:``. A listed scenario that passes fails the run, so that the list stays true.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
from typing import NamedTuple

__all__ = ["main"]

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
PREFIX = "scenario:"
FEATURES = pathlib.Path("features")
CORES_EACH = 3
PASSED, FAILED = "passed", "failed"


class Outcome(NamedTuple):
    """How a scenario ended."""

    name: str
    status: str


class Result(NamedTuple):
    """What a run of behave gave: outcomes, exit code, and what it printed if that was kept."""

    outcomes: list[Outcome]
    code: int
    output: str


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


def _run(words: list[str], quiet: bool) -> Result:
    """Run behave on some features; ``quiet`` keeps its output until it has ended."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", str(report)]
        command += ["-f", "progress3", *words]
        streams = subprocess.PIPE if quiet else None
        done = subprocess.run(command, check=False, stdout=streams, stderr=subprocess.STDOUT)
        outcomes = _read_outcomes(report) if report.exists() else []
    return Result(outcomes, done.returncode, (done.stdout or b"").decode("utf-8", "replace"))


def _run_all() -> Result:
    """Run every feature, some side by side: each scenario has addresses of its own."""
    features = sorted(FEATURES.glob("*.feature"))
    jobs = max(1, (os.cpu_count() or 1) // CORES_EACH)
    outcomes, code = [], 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        for result in pool.map(lambda path: _run([str(path)], True), features):
            print(result.output, flush=True)
            outcomes += result.outcomes
            code = code or result.code
    return Result(outcomes, code, "")


def main() -> None:
    """Run all scenarios, or those that the arguments choose."""
    words = sys.argv[1:]
    result = _run(words, False) if words else _run_all()
    sys.exit(_conclude(result.outcomes, result.code))


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
