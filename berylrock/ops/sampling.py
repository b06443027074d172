"""Chooses which share of each route's requests a version on trial gets, to be judged in time.

Scenario: a plain service gets a dozen requests a second, of which the first stage of a rollout
sends seven in all to the new version. Nothing is known of it when the clock would complete the
rollout, after which nobody can roll it back. So each route gets the share of its requests on trial
that its test needs.
"""

from berylrock.core import gatewaysettings
from berylrock.ops import rollouts, trials

__all__ = ["reweigh", "sampling_shares", "second_stage_margin_s"]

# Factor on the counts of ``reweigh``, which are whole numbers.
REWEIGHED_ANSWERS = 100
# Responses of all routes that are assumed on a route of which little is known.
PRIOR_RESPONSES = 2.0
# Largest share of a route's requests that is sent to a version on trial for more responses, and the
# time over which a lack of them is made up, in seconds.
MAX_SAMPLING_SHARE, SAMPLING_HORIZON_S = 0.5, 1.0
# Share of the time until the second stage in which the responses are collected.
COLLECTION_SHARE = 0.95
# Parts of the requests that a version may get beyond its share, for sampling and, in place of that,
# for the second stage of streams.
SAMPLING_MARGIN_SHARE, STREAM_MARGIN_SHARE = 0.85, 0.7


def reweigh(
    trial: dict[str, rollouts.Evidence], stable: dict[str, rollouts.Evidence]
) -> rollouts.Evidence:
    """Return the stable version's results as if its requests were distributed as on trial.

    Sampling sends other shares of each route to the version on trial, so that sums over all routes
    could not be compared otherwise.

    Args:
      trial: Results of the version on trial, by route.
      stable: Results of the stable version, by route.

    Returns:
      Results for ``REWEIGHED_ANSWERS`` times as many responses as on trial.
    """
    total = rollouts.Evidence()
    for found in stable.values():
        total = total.plus(found)
    errors = slow = 0.0
    for route, found in trial.items():
        usual = stable.get(route, rollouts.Evidence())
        errors += found.answers * _mixed_share(
            usual.errors, usual.answers, total.errors, total.answers
        )
        slow += found.timed * _mixed_share(usual.slow, usual.timed, total.slow, total.timed)
    answers = sum(found.answers for found in trial.values())
    timed = sum(found.timed for found in trial.values())
    factor = REWEIGHED_ANSWERS
    return rollouts.Evidence(
        factor * answers, round(factor * errors), round(factor * slow), factor * timed
    )


def _mixed_share(bad: int, responses: int, all_bad: int, all_responses: int) -> float:
    """Return a route's share of bad responses; that of all routes while little is known of it."""
    overall = all_bad / all_responses if all_responses else 0.0
    return (bad + PRIOR_RESPONSES * overall) / (responses + PRIOR_RESPONSES)


def second_stage_margin_s(streams: bool, per_s: float, bounds: gatewaysettings.Bounds) -> float:
    """Return how much traffic beyond its share the second stage of a rollout may use.

    Sessions cannot be sampled by route. The second stage, in which sessions may change their
    version, begins earlier instead.

    Args:
      streams: Whether the service's responses are streams.
      per_s: Requests per second for the service at all gateways.
      bounds: Limits on what a bad version may receive before the deadline.

    Returns:
      The margin in seconds of the service's whole traffic; 0 for a plain service, whose sampling
      uses it.
    """
    if not streams or per_s <= 0.0:
        return 0.0
    return STREAM_MARGIN_SHARE * bounds.canary_margin / per_s


def sampling_shares(
    judge: trials.TrialJudge, age_s: float, duration_s: float, bounds: gatewaysettings.Bounds
) -> dict[str, float]:
    """Compute which share of each route's requests goes to the version on trial for a judgement.

    Args:
      judge: The judge of the version.
      age_s: Time since the rollout's start, in seconds.
      duration_s: Time from the order to its deadline, in seconds.
      bounds: Limits on what a bad version may receive before the deadline.

    Returns:
      The share by route, without routes that need none.
    """
    due = rollouts.make_schedule(duration_s, bounds.canary_share)
    collected_s = COLLECTION_SHARE * due.second
    lacking = judge.lacking((age_s + SAMPLING_HORIZON_S) / collected_s)
    total = sum(lacking.values())
    on_trial, answers = judge.totals()
    allowed = SAMPLING_MARGIN_SHARE * bounds.canary_margin + rollouts.STAGE_SHARES[0] * answers
    left = allowed - on_trial if age_s < duration_s else float(total)
    if left <= 0.0 or not total:
        return {}
    seconds = max(1.0, age_s)
    shares = {}
    for route, lack in lacking.items():
        per_horizon = max(1.0, judge.answers(route) / seconds * SAMPLING_HORIZON_S)
        wanted = min(1.0, left / total) * lack / per_horizon
        shares[route] = min(MAX_SAMPLING_SHARE, wanted)
    return shares
