"""Chooses the models for a request in a cascade: the smallest, then a larger one if needed.

The models of a route are ordered from the smallest to the largest. The smallest model responds well
to most requests at a fraction of the price, and its reported confidence tells which ones. If the
confidence is too low, its response is discarded before the caller receives any part of it, and the
request is sent to the largest model that responds in time.

Scenario: the longest prompts take the largest model most of the latency target. After the smallest
model has read them as well, no time is left for it. A prompt that it can read in time only at once
goes to it at once; one that it cannot read in time at all goes to the next smaller model.
"""

from typing import NamedTuple

from berylrock.core import routing

__all__ = ["MIN_CONFIDENCE", "Step", "accepts", "first_step", "leaves_no_time", "next_steps"]

# Lowest confidence, from 0 to 100, at which a response of the smallest model is passed on.
MIN_CONFIDENCE = 58
# A prompt is long if a model takes at least this share of the time limit to read it.
LONG_PROMPT_SHARE = 0.5
# The next model is asked only while at least this share of the latency target is left.
MIN_TIME_LEFT_SHARE = 0.35


class Step(NamedTuple):
    """Step of a cascade: the model to ask, and whether it is the last step."""

    model: str
    last: bool


def first_step(route: routing.Route, attempts_left: int) -> Step:
    """Return the first step for a request.

    Args:
      route: The request's route.
      attempts_left: Number of engines that may still run the request.

    Returns:
      The step. Its model is empty if the route names none, which keeps the caller's model.
    """
    if not route.models:
        return Step("", True)
    if attempts_left < 2 or len(route.models) == 1:
        return Step(route.models[-1], True)
    return Step(route.models[0], False)


def next_steps(route: routing.Route) -> tuple[Step, ...]:
    """Return the steps that may follow a response of low confidence, the preferred one first.

    Args:
      route: The request's route.

    Returns:
      A last step for each larger model, the largest first.
    """
    return tuple(Step(model, True) for model in reversed(route.models[1:]))


def leaves_no_time(small_s: float, large_s: float, limit_s: float, wait_s: float = 0.0) -> bool:
    """Tell whether a prompt has to go to a larger model at once.

    Args:
      small_s: Predicted time of the smallest model's response, in seconds.
      large_s: Predicted time in which the larger model reads the prompt; 0 if it is not known.
      limit_s: Time within which the response has to begin, in seconds.
      wait_s: How long a new prompt waits at engines, in seconds.

    Returns:
      Whether the prompt is long, and the larger model would be in time, but not after the smallest
      one. While engines are busy the smallest model is slow for short prompts too; these are no
      reason to ask a model that keeps engines busy for longer.
    """
    is_long = large_s >= LONG_PROMPT_SHARE * limit_s
    return is_long and large_s <= limit_s < small_s + wait_s + large_s


def accepts(
    step: Step,
    confidence: int | None,
    elapsed_s: float,
    latency_target_s: float,
    attempts_left: int,
) -> bool:
    """Tell whether the response of a step is passed on to the caller.

    Args:
      step: The step.
      confidence: The model's confidence in its response, from 0 to 100; None if it reported none.
      elapsed_s: Time since the request arrived, in seconds.
      latency_target_s: Time within which the first event is on time, in seconds.
      attempts_left: Number of engines that may still run the request.

    Returns:
      Whether to pass the response on.
    """
    if step.last or confidence is None or attempts_left < 1:
        return True
    if confidence >= MIN_CONFIDENCE:
        return True
    return latency_target_s - elapsed_s < MIN_TIME_LEFT_SHARE * latency_target_s
