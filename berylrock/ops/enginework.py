"""Estimates the engine time that a request takes before its first event.

Load pattern: prompts differ a hundredfold in length and models tenfold in pace. While an engine
reads a long prompt for its largest model, every other stream on it waits between its events, and a
request that arrives then waits for its first one. A count of requests shows none of this.
"""

from typing import NamedTuple

from berylrock.core import routing

__all__ = ["RequestWork", "estimate"]

# Length of a prompt at which attention between its tokens takes as long as all else.
QUADRATIC_TOKENS = 24_000.0
MIN_WORK = 1.0


class RequestWork(NamedTuple):
    """Estimated work of a request on an engine, in prompt tokens of the service's dearest model.

    Attributes:
      prefill: Work to read the whole prompt.
      shared: Work that an engine saves which keeps the shared parts of the prompt.
    """

    prefill: float
    shared: float


def _model_weight(service: routing.Service | None, model: str) -> float:
    """Return a model's pace relative to the dearest one, for which its price stands."""
    costs = {item.name: item.cost for item in service.models} if service is not None else {}
    dearest = max(costs.values(), default=0.0)
    cost = costs.get(model, dearest)
    return cost / dearest if dearest > 0.0 and cost > 0.0 else 1.0


def estimate(head: routing.RequestHead, service: routing.Service | None, model: str) -> RequestWork:
    """Estimate the work of a request.

    Args:
      head: The head of the request.
      service: The service that runs it; None if it is not known.
      model: The model that is to run it; empty for the caller's model.

    Returns:
      The work; ``MIN_WORK`` for a request without tokens.
    """
    weight = _model_weight(service, model or head.model)
    tokens = float(head.prompt_tokens)
    shared = float(sum(part.tokens for part in head.parts[:-1]))
    return RequestWork(
        max(MIN_WORK, weight * tokens * (1.0 + tokens / QUADRATIC_TOKENS)), weight * shared
    )
