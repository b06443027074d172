"""Runs operators' commands, and the balancer's part of background traffic."""

import subprocess
import sys

COMMAND_TIMEOUT_SECONDS = 40.0


def run_command(context, *words):
    """Run an operator's command and wait for its end.

    Args:
      context: The behave context.
      *words: The subcommand and its arguments, without the settings file.

    Returns:
      The ended process, with its output.
    """
    command = [sys.executable, "-m", "berylrock", *words]
    command += ["--settings", context.fleet.operator_settings()]
    return subprocess.run(command, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_SECONDS)


def is_ready(context, entry):
    """Return whether an entry process is ready, so that a balancer would send it requests."""
    return context.fleet.responds_ok(f"{context.fleet.admin_url(entry)}/ready")


def stop_traffic(context):
    """Stop the threads that send background traffic and wait for their last requests."""
    context.flow_end.set()
    for thread in context.flow:
        thread.join()
