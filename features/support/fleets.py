"""Starts fleets, changes their configuration and suspends their processes."""

import signal
import time

from berylrock.loader import document
from berylrock.standins import fleet

# The plain service of each example deployment.
SERVICES = {"ferrante": "gestionale", "taurex": "ledger-app"}
CONFIG_TIMEOUT_SECONDS = 5.0
# Names of the options of each kind of process.
OPTION_GROUPS = {
    "engine": ("token_seconds", "first_token_seconds", "capacity_tokens", "cold_answers"),
    "service": ("seconds",),
    "entry": ("readiness_seconds", "default_timeout_seconds"),
    "sidecar": ("stall_seconds", "max_queue"),
}


def read_options(text):
    """Parse the options of a fleet.

    Args:
      text: Words of the form ``name=value``, separated by spaces; None or empty for no options.

    Returns:
      The options by name. Options of a kind of process are in a dictionary of their own, under
      the name of the kind.
    """
    options = {"engines": 3, "services": 2}
    for word in (text or "").split():
        name, _, value = word.partition("=")
        group = [key for key, names in OPTION_GROUPS.items() if name in names]
        if group:
            options.setdefault(group[0], {})[name] = float(value) if "." in value else int(value)
        else:
            options[name] = int(value)
    return options


def start_fleet(context, deployment, options):
    """Start a fleet and store it in the context, with its service and its model versions.

    Args:
      context: The behave context.
      deployment: Name of the example deployment.
      options: Options of the fleet, as ``read_options`` returns them.
    """
    context.deployment = deployment
    context.service = SERVICES[deployment]
    path = f"examples/{deployment}.jsonc"
    context.fleet = fleet.Fleet(fleet.FleetOptions(path, context.root, **options))
    context.fleet.start()
    context.models = [
        f"{model.name}@{version.name}"
        for model in context.fleet.doc.models
        for version in model.versions
    ]


def sees_leaving(context, entry, server):
    """Return whether an entry process has read from the VM list that a server's VM is leaving."""
    return context.fleet.status(entry)["servers"][server]["vm_leaving"]


def change_config(context, edit, *args):
    """Edit the configuration document and publish it.

    Args:
      context: The behave context; gets the new version and the time of the change.
      edit: Function that takes the text, the parsed document and ``args``, and returns the new
        text.
      *args: Further arguments of ``edit``.

    Returns:
      The new version of the document.
    """
    doc, problems = document.load(context.fleet.text, "test")
    assert doc is not None, problems
    context.changed_at = time.time()
    context.version = context.fleet.put_config(edit(context.fleet.text, doc, *args))
    return context.version


def wait_in_force(context):
    """Wait until the last change is in force at every running process, and note the time."""
    names = [
        name
        for name in (*context.fleet.servers, *context.fleet.entries())
        if context.fleet.processes[name].popen.poll() is None
    ]
    context.fleet.wait_config(context.version, CONFIG_TIMEOUT_SECONDS, names)
    context.in_force_at = time.time()


def suspend(context, name):
    """Stop a process with SIGSTOP."""
    context.fleet.processes[name].signal(signal.SIGSTOP)


def resume(context, name):
    """Continue a stopped process with SIGCONT."""
    context.fleet.processes[name].signal(signal.SIGCONT)
