"""Decides how long to wait for an engine before the request is sent to another one.

Scenarios: an engine that died without closing its connections, and an engine that is only slow
because many long prompts arrived at once. The first one is silent on all connections. The second
one continues to send other responses, and abandoning it would only add to the load.
"""

from typing import NamedTuple

__all__ = [
    "ResponseTimeouts",
    "engine_wait_s",
    "needed_s",
    "next_event_timeouts",
    "response_start_timeouts",
    "should_abandon",
    "wait_for_limit",
    "wait_for_pause",
]

# An engine may be dead if nothing arrived from it for this long, or during the whole wait.
MAX_SILENCE_S = 0.6
RESPONSE_START_DEAD_SHARE, RESPONSE_START_SLOW_FACTOR = 0.5, 1.6
NEXT_EVENT_DEAD_SHARE, NEXT_EVENT_SLOW_FACTOR = 0.6, 2.5
# Silence that is allowed while the usual time between events is not known, as a multiple of the
# target, and after that as a multiple of the usual time.
NEXT_EVENT_UNKNOWN_FACTOR, USUAL_GAP_FACTOR = 1.25, 2.5
MIN_DEAD_S = 0.25
# Longest wait for an engine that can take a request, as shares of the route's latency target.
ENGINE_WAIT_SHARE, RETRY_ENGINE_WAIT_SHARE = 0.12, 0.5
# Time that a request may take, as a multiple of the usual time.
NEEDED_FACTOR = 4.0
# Pending work at an engine, as in ``enginework``, that doubles the silence that is allowed.
WORK_PER_SILENCE = 50_000.0


class ResponseTimeouts(NamedTuple):
    """Timeouts for an engine's response.

    Attributes:
      dead_s: Seconds after which an engine that is silent on all connections is abandoned.
      slow_s: Seconds after which any engine is abandoned.
    """

    dead_s: float
    slow_s: float


def engine_wait_s(latency_target_s: float, may_have_run: bool) -> float:
    """Return how long a request waits while no engine can take it.

    Scenario: an engine fails, and the requests that it had find the others full for a moment.

    Args:
      latency_target_s: Time within which the response is on time, in seconds.
      may_have_run: Whether an engine may have run the request. If not, its caller is told so at
        once and comes back; otherwise it would only learn of a failure.

    Returns:
      The time in seconds.
    """
    share = RETRY_ENGINE_WAIT_SHARE if may_have_run else ENGINE_WAIT_SHARE
    return share * latency_target_s


def needed_s(left_s: float, usual_s: float) -> float:
    """Return the time to allow for a request while its gateway stops.

    Args:
      left_s: Seconds until the final answer is due.
      usual_s: Usual time of such a request, in seconds; 0 if it is not known.

    Returns:
      The time in seconds.
    """
    return min(left_s, NEEDED_FACTOR * usual_s) if usual_s > 0.0 else left_s


def wait_for_pause(
    pause_end: float, wait_s: float, usual_first_part_s: float, expires_at: float
) -> float:
    """Return until when a request waits while all engines want a pause.

    Args:
      pause_end: End of the first pause.
      wait_s: How long a request waits for an engine that is not free for a moment, in seconds.
      usual_first_part_s: Usual time to the first part of a response, in seconds; 0 if not known.
      expires_at: Time by which the final answer is due.

    Returns:
      The time on the same clock; it has passed if no response would come in time.
    """
    if pause_end + usual_first_part_s >= expires_at:
        return 0.0
    return pause_end + wait_s


def wait_for_limit(permit_at: float, until: float) -> float:
    """Return until when a request waits while all engines are at their limits.

    Scenario: all engines of a service name limits, and callers send many times as much. Those that
    wait would only be refused later.

    Args:
      permit_at: When the first engine may get the next request.
      until: Until when the request waits for an engine that is not free for a moment.

    Returns:
      The time on the same clock; it has passed if no engine may get the request until then.
    """
    return until if permit_at <= until else 0.0


def response_start_timeouts(latency_target_s: float) -> ResponseTimeouts:
    """Return the timeouts for the first event of a stream or the head of a complete response.

    Args:
      latency_target_s: Time within which the response is on time, in seconds.

    Returns:
      The timeouts.
    """
    return ResponseTimeouts(
        max(MIN_DEAD_S, RESPONSE_START_DEAD_SHARE * latency_target_s),
        RESPONSE_START_SLOW_FACTOR * latency_target_s,
    )


def next_event_timeouts(target_gap_s: float, usual_gap_s: float) -> ResponseTimeouts:
    """Return the timeouts for the next event of a stream.

    Scenario: an engine pauses between events for about as long as the route allows, or a little
    longer. Its streams are sound and stay where they are. An engine that usually sends many events
    in that time, and then none, is left early enough for another one to be on time.

    Args:
      target_gap_s: Longest time between two events of a stream that is on time, in seconds.
      usual_gap_s: Usual time between two events of the engine; 0 if it is not known.

    Returns:
      The timeouts.
    """
    slow_s = NEXT_EVENT_SLOW_FACTOR * target_gap_s
    dead_s = NEXT_EVENT_UNKNOWN_FACTOR * target_gap_s
    if usual_gap_s > 0.0:
        dead_s = max(NEXT_EVENT_DEAD_SHARE * target_gap_s, USUAL_GAP_FACTOR * usual_gap_s)
    return ResponseTimeouts(min(slow_s, max(MIN_DEAD_S, dead_s)), slow_s)


def should_abandon(
    now: float,
    since: float,
    heard_at: float,
    timeouts: ResponseTimeouts,
    pending_work: float = 0.0,
) -> bool:
    """Tell whether to abandon an engine and send the request to another one.

    Times are in seconds on the event loop's clock.

    Args:
      now: The current time.
      since: Start of the wait.
      heard_at: Time at which data last arrived from the engine at any gateway.
      timeouts: The timeouts.
      pending_work: Work at the engine that has not begun to answer, as in ``enginework``; while an
        engine reads long prompts, all its streams pause.

    Returns:
      Whether the engine is considered dead or too slow.
    """
    waited_s = now - since
    if waited_s >= timeouts.slow_s:
        return True
    allowance = 1.0 + pending_work / WORK_PER_SILENCE
    silent_s = now - max(since, heard_at)
    return waited_s >= timeouts.dead_s * allowance and silent_s >= min(
        MAX_SILENCE_S * allowance, waited_s
    )
