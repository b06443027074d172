"""Describes the state of the fleet and the history of a request in text for operators.

The state and the events are those that entry processes and sidecars serve on their admin ports.
"""

from typing import Any

from berylrock.core import eventlog

__all__ = ["describe_status", "explain_request"]


def _describe_entry(row: dict[str, Any]) -> str:
    lease_mark = " holds the lease" if row["controller"]["held"] else ""
    return (
        f"{row['process']:<14} {row['zone']:<12} config {row['config_version']:<5}"
        f" active {row['active']:<4} unstored bills {row['unstored_bills']}{lease_mark}"
    )


def _describe_sidecar(row: dict[str, Any]) -> str:
    report = row["report"]
    flags = [name for name in ("cold", "leaving") if report[name]]
    if not report["reachable"]:
        flags.append("down")
    return (
        f"{row['process']:<14} {row['zone']:<12} config {row['config_version']:<5}"
        f" running {report['running']:<3} queued {report['queued']:<3}"
        f" tokens {report['held_tokens']}/{report['capacity_tokens']} {' '.join(flags)}"
    )


def describe_status(rows: dict[str, dict[str, Any] | None]) -> list[str]:
    """Describe the state of the fleet.

    Args:
      rows: Status of each process, by URL of its admin port; None for a process that did not
        answer.

    Returns:
      Lines of text.
    """
    found = [row for row in rows.values() if row]
    newest = max([row["config_version"] for row in found], default=0)
    lines = [f"newest config version reported: {newest}"]
    for row in sorted(found, key=lambda item: (item["role"], item["process"])):
        text = _describe_entry(row) if row["role"] == "entry" else _describe_sidecar(row)
        lag = "  LAGS" if row["config_version"] < newest else ""
        lines.append(text + lag)
    lines.extend(f"no answer: {url}" for url, row in rows.items() if not row)
    entries = [row for row in found if row["role"] == "entry"]
    if entries:
        latest = max(entries, key=lambda item: item["fleet_version"])
        for version, reason in latest["bad_versions"].items():
            lines.append(f"bad version {version}: {reason}")
        for version, percent in latest["progress"].items():
            lines.append(f"rollout of {version} has reached {percent:g} %")
        lines.extend(f"quarantined request fingerprint {item}" for item in latest["quarantined"])
    return lines


def _explain_event(event: eventlog.Event) -> str:
    fields = event.fields
    sentences = {
        "attempt_sent": "{process} sent an attempt to {server} in {zone}, for {target}",
        "attempt_passed_on": "{process} sent the attempt to its backend server",
        "attempt_refused": "{process} refused the attempt as not run: {reason}, {detail}",
        "attempt_ended": (
            "{process} reported the end of the attempt: {outcome}, {tokens} tokens {detail}"
        ),
        "attempt_failed": "{process} could not use the attempt: {detail}",
        "attempt_reattached": (
            "{process} reattached to the attempt at chunk {offset} on a new connection"
        ),
        "request_answered": "{process} answered the request from {target} after {seconds} s",
        "request_refused": "{process} told the caller {outcome}: {reason}, {detail}",
        "answer_cut": "{process} told the caller that the answer is incomplete: {detail}",
        "caller_left": "the caller disconnected from {process}",
        "cascade_step": "{process} asked {target} first: {why}",
        "version_chosen": "{process} chose {target}: {why}",
        "claim_settled": "{process} stored the outcome of the request: {state}",
    }
    sentence = sentences.get(event.name)
    if sentence is None:
        return f"{event.process}: {event.name} {fields}"
    try:
        return sentence.format(process=event.process, **fields).rstrip()
    except KeyError:
        return f"{event.process}: {event.name} {fields}"


def explain_request(request: str, events: list[eventlog.Event]) -> list[str]:
    """Describe the history of a request.

    Args:
      request: Id of the request.
      events: Events of the request, in order of time.

    Returns:
      Lines of text.
    """
    if not events:
        return [f"no process has events of request {request}; they may already have been discarded"]
    start = events[0].time
    return [f"+{event.time - start:7.3f} s  {_explain_event(event)}" for event in events]
