"""Decides how long to wait for an engine that says nothing, before another one is asked.

Load patterns: an engine that died without a word, and an engine that is only slow because many
long prompts came at once. The first one is silent on all connections; the second goes on with its
other answers, and to leave it would only add to the load.
"""

from typing import NamedTuple

__all__ = ["AnswerTimeouts", "first_event_timeouts", "next_event_timeouts", "should_abandon"]

QUIET_S = 0.6
FIRST_SHARE, FIRST_LONGEST = 0.5, 1.6
NEXT_SHARE, NEXT_LONGEST = 0.6, 2.5
LEAST_S = 0.25


class AnswerTimeouts(NamedTuple):
    """How long to wait.

    Attributes:
      dead_s: Time after which an engine that is silent on all connections is left.
      slow_s: Time after which any engine is left.
    """

    dead_s: float
    slow_s: float


def first_event_timeouts(objective_s: float) -> AnswerTimeouts:
    """How long to wait for the first event, or for the head of a whole answer."""
    return AnswerTimeouts(max(LEAST_S, FIRST_SHARE * objective_s), FIRST_LONGEST * objective_s)


def next_event_timeouts(pause_s: float) -> AnswerTimeouts:
    """How long to wait for the next event of a stream."""
    return AnswerTimeouts(max(LEAST_S, NEXT_SHARE * pause_s), NEXT_LONGEST * pause_s)


def should_abandon(now: float, since: float, heard_at: float, timeouts: AnswerTimeouts) -> bool:
    """Tell whether an engine is to be left.

    Args:
      now: The loop's clock.
      since: When the wait began.
      heard_at: When anything last came from the engine, to this gateway or another one.
      timeouts: How long to wait.

    Returns:
      Whether to ask another engine.
    """
    waited_s = now - since
    if waited_s >= timeouts.slow_s:
        return True
    return waited_s >= timeouts.dead_s and now - max(since, heard_at) >= min(QUIET_S, waited_s)
