"""Traces one request through the log files of the gateways, and explains its outcome.

A log line consists of ``key=value`` pairs. Lines of different processes are ordered by their own
timestamps without correction for clock skew between VMs, so each line keeps the name of its
process.
"""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["LogLine", "Trace", "explain", "parse_line", "trace"]

FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# A process usually bases its decisions on information that it received shortly before. Context is
# collected from this many seconds before the start of the request.
CONTEXT_S = 5.0
CONTEXT_EVENTS = frozenset(
    (
        "config_in_force",
        "engine_changed",
        "engine_leaving",
        "engine_paused",
        "history_gone",
        "log_dropped",
        "prompt_part_blamed",
        "rollout_decided",
        "rollout_heard",
        "rollout_seen",
        "started",
        "stop_requested",
        "stopped",
        "store_lost",
        "store_regained",
        "version_vetoed",
        "zones_out_of_use",
    )
)


class LogLine(NamedTuple):
    """Parsed log line.

    Attributes:
      time: Time of the event in seconds, by the clock of the process's VM.
      process: Name of the process.
      event: Name of the event.
      fields: The other fields.
    """

    time: float
    process: str
    event: str
    fields: dict[str, str]


class Trace(NamedTuple):
    """Log lines that concern one request.

    Attributes:
      own: The lines of the request itself.
      context: Lines on other events that may explain the outcome, from shortly before the request
        until its end.
    """

    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; returns None if it is not a line of this project's event log."""
    fields = {}
    for name, value in FIELD.findall(text):
        if value.startswith('"') and value.endswith('"') and len(value) > 1:
            value = re.sub(
                r"\\(.)", lambda match: "\n" if match[1] == "n" else match[1], value[1:-1]
            )
        fields[name] = value
    try:
        time = float(fields.pop("time"))
        return LogLine(time, fields.pop("process"), fields.pop("event"), fields)
    except (KeyError, ValueError):
        return None


def _is_relevant(line: LogLine, engines: set[str], processes: set[str]) -> bool:
    if line.event not in CONTEXT_EVENTS or line.process not in processes:
        return False
    return "engine" not in line.fields or line.fields["engine"] in engines


def trace(lines: Iterable[str], request_id: str) -> Trace:
    """Collect the log lines that concern a request.

    Args:
      lines: Log lines of any processes, in any order.
      request_id: The request's id.

    Returns:
      The request's own lines and the context, each ordered by time.
    """
    found = [line for line in map(parse_line, lines) if line is not None]
    own = sorted(line for line in found if line.fields.get("request") == request_id)
    if not own:
        return Trace((), ())
    engines = {item for line in own for item in line.fields.get("engines", "").split(",")}
    engines |= {line.fields["engine"] for line in own if "engine" in line.fields}
    processes = {line.process for line in own}
    took_s = max(float(line.fields.get("took_ms", 0)) / 1000.0 for line in own)
    # The first line may have been written only at the end of the request, so the duration of the
    # request is subtracted as well.
    since, until = own[0].time - took_s - CONTEXT_S, own[-1].time
    context = [
        line
        for line in found
        if since <= line.time <= until and _is_relevant(line, engines, processes)
    ]
    return Trace(tuple(own), tuple(sorted(context)))


EXPLANATIONS = {
    "configuration_too_old": "The gateway could not reach the store; see error= of store_lost.",
    "no_configuration": "The gateway had not read all that it needs from the store yet.",
    "no_route": "No route of the configuration version config= has a prefix of this path.",
    "no_request_id": "The request named no id, so that no answer could be told to be its own.",
    "unknown_key": "No organisation of the configuration version config= has this API key.",
    "crashes_engines": "Engines crashed while they ran the same request; see request_blamed.",
    "prompt_part_crashes_engines": (
        "Engines crashed while they ran requests with a part of its prompt; see prompt_part_blamed."
    ),
}


# What decided a request's version, by the field ``version_source``.
VERSION_SOURCES = {
    "only": "no other version was offered",
    "collecting": "a rollout was ordered and had not begun its first stage",
    "held": "its session had begun before the rollout, as this gateway knew",
    "told": "its session had begun before the rollout, as another gateway told",
    "hash": "by the share of the rollout's stage",
}


def _describe_version(found: Trace, fields: dict[str, str]) -> str:
    """Say which version a request ran on, and why."""
    text = f"version {fields.get('version')}"
    source = VERSION_SOURCES.get(fields.get("version_source", ""))
    if source is not None:
        text += f", {source}"
    if fields.get("version_source") in ("held", "told"):
        text += f" for {fields.get('version_age_s')} s"
    if fields.get("stage", "-1") != "-1":
        text += f", stage {fields['stage']}"
    changed = [item for item in found.own if item.event == "session_changed"]
    if changed:
        text += f"; its session ran on {changed[-1].fields.get('before')} before"
    return text


def explain(found: Trace) -> str:
    """Explain in a few sentences how a request ended and why, with one for each failed attempt.

    Args:
      found: The trace of the request.

    Returns:
      The explanation; it names the likely causes if no line says how the request ended.
    """
    for line in reversed(found.own):
        fields = line.fields
        if line.event == "request_refused":
            reason = fields.get("reason", "")
            return (
                f"Refused with {fields.get('status')}: {reason}. "
                f"{EXPLANATIONS.get(reason, '')}".strip()
            )
        if line.event == "request_done":
            failed = [item for item in found.own if item.event == "attempt_failed"]
            steps = [item for item in found.own if item.event == "step_up"]
            text = f"Ended as {fields.get('outcome')!r} after {fields.get('took_ms')} ms and "
            text += f"{fields.get('sends')} attempts ({_describe_version(found, fields)})."
            if steps:
                text += (
                    " The smallest model had low confidence "
                    f"({steps[-1].fields.get('confidence')})."
                )
            for item in failed:
                text += f" {item.fields.get('engine')}: {item.fields.get('reason')}"
                ran = item.fields.get("may_have_run") == "True"
                text += " (may have run)." if ran else " (not run)."
            return text
    return (
        "No line says how the request ended: its process was killed, or log lines were dropped "
        "(see log_dropped)."
    )
