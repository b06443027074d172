"""Merges the events of many processes into one causally consistent order.

Clocks differ between VMs. Some events of a request have a known order, such as sent before passed
on. If an effect is recorded before its cause, the clock of its process is behind, and all times of
that process are shifted later until the order is right.
"""

from collections.abc import Iterable
from typing import NamedTuple

from berylrock.core import eventlog

__all__ = ["estimate_skews", "filter_events", "merge"]

ATTEMPT_CAUSES = (
    ("attempt_sent", "attempt_passed_on"),
    ("attempt_sent", "attempt_refused"),
    ("attempt_ended", "attempt_failed"),
)
MAX_ROUNDS = 5


class _Pair(NamedTuple):
    """An event, and an event that it caused in another process."""

    cause: eventlog.Event
    effect: eventlog.Event


def _find_pairs(events: list[eventlog.Event]) -> list[_Pair]:
    by_attempt = {(event.name, event.fields.get("attempt")): event for event in events}
    answers = {
        event.fields.get("request"): event for event in events if event.name == "request_answered"
    }
    pairs = []
    for cause_name, effect_name in ATTEMPT_CAUSES:
        for (name, attempt), effect in by_attempt.items():
            cause = by_attempt.get((cause_name, attempt)) if name == effect_name else None
            if attempt and cause is not None:
                pairs.append(_Pair(cause, effect))
    for event in events:
        answer = answers.get(event.fields.get("request"))
        if event.name == "attempt_ended" and event.fields.get("outcome") == "done" and answer:
            pairs.append(_Pair(event, answer))
    return [pair for pair in pairs if pair.cause.process != pair.effect.process]


def estimate_skews(events: list[eventlog.Event]) -> dict[str, float]:
    """Estimate by how much the clock of each process is behind the others.

    Args:
      events: Events of all processes.

    Returns:
      Seconds to add to the times of each process, so that effects follow their causes.
    """
    skews = {event.process: 0.0 for event in events}
    pairs = _find_pairs(events)
    for _ in range(MAX_ROUNDS):
        changed = False
        for cause, effect in pairs:
            early = cause.time + skews[cause.process] - effect.time - skews[effect.process]
            if early > 0:
                skews[effect.process] += early
                changed = True
        if not changed:
            break
    return skews


def merge(events: list[eventlog.Event]) -> list[eventlog.Event]:
    """Sort the events of all processes by time, corrected for clock skew."""
    skews = estimate_skews(events)
    corrected = [event._replace(time=event.time + skews[event.process]) for event in events]
    return sorted(corrected, key=lambda event: event.time)


def filter_events(
    events: Iterable[eventlog.Event], request: str = "", version: str = "", zone: str = ""
) -> list[eventlog.Event]:
    """Select the events that match all given criteria; an empty criterion matches every event.

    Args:
      events: The events.
      request: Request id.
      version: Version as ``model@version``.
      zone: Name of an availability zone.
    """
    kept = []
    for event in events:
        fields = event.fields
        if request and fields.get("request") != request:
            continue
        if version and version not in (fields.get("target"), fields.get("version")):
            continue
        if zone and fields.get("zone") != zone:
            continue
        kept.append(event)
    return kept
