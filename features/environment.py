"""Gives each scenario its own folder and stops its processes afterwards."""

import contextlib
import pathlib
import shutil
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from support import step_types  # noqa: E402, F401 - registers the parameter types of steps


def before_scenario(context, scenario):
    """Create the folder in which the steps start processes."""
    context.root = pathlib.Path(tempfile.mkdtemp(prefix="berylrock-"))
    context.fleet = None
    context.results = []
    context.cleanups = []


def after_scenario(context, scenario):
    """Stop all processes; delete the folder with their logs if the scenario passed."""
    cleanups = [*context.cleanups, *([context.fleet.stop] if context.fleet is not None else [])]
    with contextlib.ExitStack() as stack:
        # They run in their order, and the others also if one fails.
        for cleanup in reversed(cleanups):
            stack.callback(cleanup)
    if hasattr(context, "pool"):
        context.pool.shutdown()
    if scenario.status != "passed":
        print(f"logs of the failed scenario are kept in {context.root}")
    else:
        shutil.rmtree(context.root, ignore_errors=True)
