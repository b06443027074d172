"""Merges the events of many processes into one order that respects cause and effect.

Clocks differ between VMs. Events of one request happen in a known order (sent before passed on,
passed on before ended), so a process whose events come too early is moved later until they fit.
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
ROUNDS = 5


class _Pair(NamedTuple):
    """An event and one that it caused, in another process."""

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
    """Estimate by how much each process's clock is behind the others.

    Args:
      events: Events of all processes.

    Returns:
      Seconds to add to each process's times, so that no effect comes before its cause.
    """
    skews = {event.process: 0.0 for event in events}
    pairs = _find_pairs(events)
    for _ in range(ROUNDS):
        moved = False
        for cause, effect in pairs:
            early = cause.time + skews[cause.process] - effect.time - skews[effect.process]
            if early > 0:
                skews[effect.process] += early
                moved = True
        if not moved:
            break
    return skews


def merge(events: list[eventlog.Event]) -> list[eventlog.Event]:
    """Order the events of all processes, with times corrected for skewed clocks."""
    skews = estimate_skews(events)
    corrected = [event._replace(time=event.time + skews[event.process]) for event in events]
    return sorted(corrected, key=lambda event: event.time)


def filter_events(
    events: Iterable[eventlog.Event], request: str = "", version: str = "", zone: str = ""
) -> list[eventlog.Event]:
    """Keep the events of a request, of a version, or of an availability zone."""
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
