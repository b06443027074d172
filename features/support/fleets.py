"""Starts fleets and changes their configuration."""

import signal
import time

from berylrock.loader import document
from berylrock.standins import fleet

APPS = {"ferrante": "gestionale", "taurex": "ledger-app"}
WITHIN_SECONDS = 5.0
GROUPS = {
    "engine": ("token_seconds", "first_token_seconds", "capacity_tokens", "cold_answers"),
    "service": ("seconds",),
    "entry": ("readiness_seconds", "default_timeout_seconds"),
    "sidecar": ("stall_seconds", "max_queue"),
}


def read_options(text):
    """Read ``name=value`` words into the options of a fleet."""
    options = {"engines": 3, "services": 2}
    for word in (text or "").split():
        name, _, value = word.partition("=")
        group = [key for key, names in GROUPS.items() if name in names]
        if group:
            options.setdefault(group[0], {})[name] = float(value) if "." in value else int(value)
        else:
            options[name] = int(value)
    return options


def start_fleet(context, deployment, options):
    """Start a fleet and keep it in the context."""
    context.deployment = deployment
    context.service = APPS[deployment]
    path = f"examples/{deployment}.jsonc"
    context.fleet = fleet.Fleet(fleet.FleetOptions(path, context.root, **options))
    context.fleet.start()
    context.models = [
        f"{model.name}@{version.name}"
        for model in context.fleet.doc.models
        for version in model.versions
    ]


def sees_leaving(context, entry, server):
    """Whether an entry process has read that a VM leaves."""
    return context.fleet.status(entry)["servers"][server]["vm_leaving"]


def change_config(context, edit, *args):
    """Change the document in force; returns its version."""
    doc, found = document.load(context.fleet.text, "test")
    assert doc is not None, found
    context.changed_at = time.time()
    context.version = context.fleet.put_config(edit(context.fleet.text, doc, *args))
    return context.version


def wait_in_force(context):
    """Wait until the last change is in force at every process that runs."""
    names = [
        name
        for name in (*context.fleet.servers, *context.fleet.entries())
        if context.fleet.processes[name].popen.poll() is None
    ]
    context.fleet.wait_config(context.version, WITHIN_SECONDS, names)
    context.in_force_at = time.time()


def freeze(context, name):
    """Stop a process without ending it."""
    context.fleet.processes[name].signal(signal.SIGSTOP)


def thaw(context, name):
    """Let a frozen process go on."""
    context.fleet.processes[name].signal(signal.SIGCONT)
