"""Runs the behave scenarios and prints a summary; known failures are printed but tolerated.

``KNOWN-RED.txt`` lists scenarios that fail because of a real fault, one per line that starts with
``scenario:``. A listed scenario that passes fails the run, so that the list stays correct.
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

KNOWN_FAILURES = pathlib.Path("KNOWN-RED.txt")
SCENARIO_PREFIX = "scenario:"
FEATURES_DIRECTORY = pathlib.Path("features")
CORES_PER_RUN = 3
PASSED, FAILED = "passed", "failed"


class Outcome(NamedTuple):
    """The name and the final status of a scenario."""

    name: str
    status: str


class Result(NamedTuple):
    """The outcomes and the exit code of a behave run, and its output if that was captured."""

    outcomes: list[Outcome]
    exit_code: int
    output: str


def _read_known_failures() -> set[str]:
    if not KNOWN_FAILURES.exists():
        return set()
    lines = KNOWN_FAILURES.read_text(encoding="utf-8").splitlines()
    return {
        line.removeprefix(SCENARIO_PREFIX).strip()
        for line in lines
        if line.startswith(SCENARIO_PREFIX)
    }


def _read_outcomes(report: pathlib.Path) -> list[Outcome]:
    outcomes = []
    for feature in json.loads(report.read_text(encoding="utf-8") or "[]"):
        for element in feature.get("elements", []):
            if element["type"] == "scenario":
                outcomes.append(Outcome(element["name"].strip(), element.get("status", FAILED)))
    return outcomes


def _run(arguments: list[str], capture: bool) -> Result:
    """Run behave with some arguments; ``capture`` returns its output instead of printing it."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [sys.executable, "-m", "behave", "--no-color", "-f", "json", "-o", str(report)]
        command += ["-f", "progress3", *arguments]
        streams = subprocess.PIPE if capture else None
        completed = subprocess.run(command, check=False, stdout=streams, stderr=subprocess.STDOUT)
        outcomes = _read_outcomes(report) if report.exists() else []
    return Result(
        outcomes, completed.returncode, (completed.stdout or b"").decode("utf-8", "replace")
    )


def _run_all() -> Result:
    """Run all features, some in parallel; this is safe as each scenario has its own addresses."""
    features = sorted(FEATURES_DIRECTORY.glob("*.feature"))
    parallel_runs = max(1, (os.cpu_count() or 1) // CORES_PER_RUN)
    outcomes, exit_code = [], 0
    with concurrent.futures.ThreadPoolExecutor(parallel_runs) as pool:
        for result in pool.map(lambda path: _run([str(path)], True), features):
            print(result.output, flush=True)
            outcomes += result.outcomes
            exit_code = exit_code or result.exit_code
    return Result(outcomes, exit_code, "")


def main() -> None:
    """Run all scenarios, or those that the arguments select."""
    arguments = sys.argv[1:]
    result = _run(arguments, False) if arguments else _run_all()
    sys.exit(_print_summary(result.outcomes, result.exit_code))


def _print_summary(outcomes: list[Outcome], exit_code: int) -> int:
    known = _read_known_failures()
    failed = [item.name for item in outcomes if item.status != PASSED]
    unexpected = [name for name in failed if name not in known]
    fixed = [item.name for item in outcomes if item.name in known and item.status == PASSED]
    for name in failed:
        note = " (known red)" if name in known else ""
        print(f"failed: {name}{note}")
    for name in fixed:
        print(f"listed in {KNOWN_FAILURES} but passed, so take it off the list: {name}")
    aborted = exit_code != 0 and not failed
    if aborted or not outcomes:
        print("behave broke off; see its output above")
    passed = sum(item.status == PASSED for item in outcomes)
    print(f"{passed} passed, {len(failed)} failed")
    return 1 if unexpected or fixed or aborted or not outcomes else 0


if __name__ == "__main__":
    main()
