"""Operators, and traffic that flows."""

import subprocess
import sys

OPERATOR_SECONDS = 40.0


def operate(context, *words):
    """Run an operator's command; returns the process when it has ended."""
    command = [sys.executable, "-m", "berylrock", *words]
    command += ["--settings", context.fleet.operator_settings()]
    return subprocess.run(command, capture_output=True, text=True, timeout=OPERATOR_SECONDS)


def is_ready(context, entry):
    """Whether the balancer would send work to an entry process."""
    return context.fleet.responds_ok(f"{context.fleet.admin_url(entry)}/ready")


def end_flow(context):
    """End the traffic and wait for its last requests."""
    context.flow_end.set()
    for thread in context.flow:
        thread.join()
