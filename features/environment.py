"""Gives each scenario a fleet of its own and ends it afterwards."""

import pathlib
import shutil
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from support import step_types  # noqa: E402, F401 - registers the parameter types of steps


def before_scenario(context, scenario):
    """Prepare a folder; the steps start the fleet in it."""
    context.root = pathlib.Path(tempfile.mkdtemp(prefix="berylrock-"))
    context.fleet = None
    context.results = []
    context.cleanups = []


def after_scenario(context, scenario):
    """End the fleet; keep its logs if the scenario failed."""
    for cleanup in context.cleanups:
        cleanup()
    if context.fleet is not None:
        context.fleet.stop()
    if hasattr(context, "pool"):
        context.pool.shutdown()
    if scenario.status != "passed":
        print(f"logs of the failed scenario are kept in {context.root}")
    else:
        shutil.rmtree(context.root, ignore_errors=True)
