"""Gives each scenario a fleet of its own and ends it afterwards."""

import pathlib
import shutil
import tempfile


def before_scenario(context, scenario):
    """Prepare a folder; the steps start the fleet in it."""
    context.root = pathlib.Path(tempfile.mkdtemp(prefix="berylrock-"))
    context.fleet = None
    context.results = []


def after_scenario(context, scenario):
    """End the fleet; keep its logs if the scenario failed."""
    if context.fleet is not None:
        context.fleet.stop()
    if scenario.status == "failed":
        print(f"logs of the failed scenario are kept in {context.root}")
    else:
        shutil.rmtree(context.root, ignore_errors=True)
