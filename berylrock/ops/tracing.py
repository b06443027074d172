"""Finds in the logs of all processes what happened to one request, and what stood behind it.

A log line is ``key=value`` pairs. Clocks of VMs may differ, so lines of different processes are
ordered by their own times only, and each keeps the name of its process.
"""

import re
from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["LogLine", "Trace", "explain", "parse_line", "trace"]

PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# What a process believed when it decided was mostly learned shortly before.
CONTEXT_S = 5.0
CONTEXT_EVENTS = frozenset(
    (
        "config_in_force",
        "engine_changed",
        "history_gone",
        "log_dropped",
        "rollout_decided",
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
    """A line of a log: when, which process, what, and its further facts."""

    time: float
    process: str
    event: str
    fields: dict[str, str]


class Trace(NamedTuple):
    """A request's own lines, and what the processes learned around them that may explain it."""

    own: tuple[LogLine, ...]
    context: tuple[LogLine, ...]


def parse_line(text: str) -> LogLine | None:
    """Read a line of a log; None if it is none of ours."""
    facts = {}
    for name, value in PAIR.findall(text):
        if value.startswith('"') and value.endswith('"') and len(value) > 1:
            value = re.sub(
                r"\\(.)", lambda match: "\n" if match[1] == "n" else match[1], value[1:-1]
            )
        facts[name] = value
    try:
        when = float(facts.pop("time"))
        return LogLine(when, facts.pop("process"), facts.pop("event"), facts)
    except (KeyError, ValueError):
        return None


def _touches(line: LogLine, engines: set[str], processes: set[str]) -> bool:
    if line.event not in CONTEXT_EVENTS or line.process not in processes:
        return False
    return line.event != "engine_changed" or line.fields.get("engine") in engines


def trace(lines: Iterable[str], request_id: str) -> Trace:
    """Collect what happened to a request.

    Args:
      lines: Lines of the logs of any processes, in any order.
      request_id: The request's id.

    Returns:
      Its own lines and those around them that may explain it, each in order of time.
    """
    found = [line for line in map(parse_line, lines) if line is not None]
    own = sorted(line for line in found if line.fields.get("request") == request_id)
    if not own:
        return Trace((), ())
    engines = {item for line in own for item in line.fields.get("engines", "").split(",")}
    engines |= {line.fields["engine"] for line in own if "engine" in line.fields}
    processes = {line.process for line in own}
    took_s = max(float(line.fields.get("took_ms", 0)) / 1000.0 for line in own)
    first, last = own[0].time - took_s - CONTEXT_S, own[-1].time
    context = [
        line for line in found if first <= line.time <= last and _touches(line, engines, processes)
    ]
    return Trace(tuple(own), tuple(sorted(context)))


REMEDIES = {
    "configuration_too_old": "The gateway had lost the store; see store_lost and its error.",
    "no_configuration": "The gateway had just started and knew no configuration yet.",
    "no_route": "No route begins this path in the configuration named by config=.",
    "unknown_key": "The key is in no organisation of the configuration named by config=.",
    "crashes_engines": "The same request was held by engines that fell; see request_suspected.",
}


def explain(found: Trace) -> str:
    """Say in a sentence or two how a request ended and what decided it."""
    for line in reversed(found.own):
        facts = line.fields
        if line.event == "request_refused":
            reason = facts.get("reason", "")
            return (
                f"Refused with {facts.get('status')}: {reason}. {REMEDIES.get(reason, '')}".strip()
            )
        if line.event == "request_done":
            failed = [item for item in found.own if item.event == "attempt_failed"]
            steps = [item for item in found.own if item.event == "step_up"]
            text = f"Ended as {facts.get('outcome')!r} after {facts.get('took_ms')} ms and "
            text += f"{facts.get('sends')} sends (version {facts.get('version')})."
            if steps:
                text += f" The smaller model was unsure ({steps[-1].fields.get('confidence')})."
            for item in failed:
                text += f" {item.fields.get('engine')}: {item.fields.get('reason')}"
                ran = item.fields.get("may_have_run") == "True"
                text += " (may have run)." if ran else " (not run)."
            return text
    return "No line says how it ended: its process was killed, or lines were dropped (log_dropped)."
