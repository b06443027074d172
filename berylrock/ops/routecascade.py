"""Chooses the model for each step of a request: a small one first, a larger one if it is unsure.

The models of a route come smallest first. A small model answers most requests well at a small part
of the price; its own confidence says for which. Its answer is dropped before the caller has any of
it, and the largest model is asked.
"""

from typing import NamedTuple

from berylrock.core import routing

__all__ = ["Step", "accepts", "first_step", "next_step"]

TRUSTED_CONFIDENCE = 58
# A step up is made only while this share of the time until the objective is left.
LEAST_TIME_LEFT = 0.35


class Step(NamedTuple):
    """A step of a cascade: the model, and whether it is the last one."""

    model: str
    last: bool


def first_step(route: routing.Route, attempts_left: int) -> Step:
    """The model to ask first; an empty one leaves what the caller named."""
    if not route.models:
        return Step("", True)
    if attempts_left < 2 or len(route.models) == 1:
        return Step(route.models[-1], True)
    return Step(route.models[0], False)


def next_step(route: routing.Route) -> Step:
    """The model to ask after an answer that was not trusted."""
    return Step(route.models[-1], True)


def accepts(
    step: Step, confidence: int | None, elapsed_s: float, objective_s: float, attempts_left: int
) -> bool:
    """Tell whether the answer of a step goes to the caller.

    Args:
      step: The step.
      confidence: The model's estimate of its answer, 0 to 100; None if it gave none.
      elapsed_s: Time since the request came.
      objective_s: Time within which the first event is on time.
      attempts_left: Engines that may still be asked.

    Returns:
      Whether to pass the answer on.
    """
    if step.last or confidence is None or attempts_left < 1:
        return True
    if confidence >= TRUSTED_CONFIDENCE:
        return True
    return objective_s - elapsed_s < LEAST_TIME_LEFT * objective_s
