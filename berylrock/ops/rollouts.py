"""Decides on the staged rollout of a service's version: traffic share, stage changes, rollback.

The gateways elect no leader. The stage of a rollout is kept in the store, and any gateway may
advance it by a conditional write that fails if another gateway has changed it. Within a stage, the
version of a session depends on nothing but the session, so that every gateway chooses the same one.
Traffic shares never shrink, and an active session keeps its version during the first half of the
rollout's time (``sessionplacement``).

Scenarios: a version that fails immediately, responds slowly, or fails only under load, only on one
route or only after some time has to be detected after few requests. A fault that does not show at
the current load cannot be detected. Even then the version may receive at most the share
``canary_share`` of the requests before the order's deadline, so most sessions move shortly before
the deadline.
"""

import math
from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import positions

__all__ = [
    "LAST_STAGE",
    "Decision",
    "Evidence",
    "Plan",
    "Schedule",
    "Verdict",
    "majority_version",
    "decide",
    "find_fault",
    "is_held",
    "make_plan",
    "make_schedule",
    "trial_engines",
]

# Share of the sessions in each stage. The first share is small, so that a bad version receives few
# requests while it is observed. The second one fills the caches of the engines that take over.
STAGE_SHARES = (0.035, 0.2, 1.0)
LAST_STAGE = len(STAGE_SHARES) - 1
# Before the first stage, the gateways tell each other which sessions are active. All sessions stay
# on the old version until then.
COLLECTING_STAGE = -1
# That takes longer in a large fleet, in which so many sessions a second become known to all.
COLLECTION_S, MAX_COLLECTION_S, COLLECTED_PER_S = 1.0, 5.0, 1000.0
MAX_COLLECTION_SHARE = 0.1
# Sessions may move after half of the time. The margin above one half allows for clock skew.
FIRST_STAGE_TIME_SHARE = 0.515
# The exposure is the traffic that the version may receive before the deadline, expressed in seconds
# of the service's whole traffic. These shares divide it among the stages: the last stage's share
# covers the time until the deadline, and the first stage takes the rest.
SECOND_STAGE_EXPOSURE_SHARE = 0.12
LAST_STAGE_EXPOSURE_SHARE = 0.6
# The rollout completes this long before the deadline, which leaves time to retry a failed write.
COMPLETION_MARGIN_S = 0.9
# The old engines stop as soon as the rollout completes, so
# ``MIN_LAST_STAGE_S`` leaves short requests time to end.
MIN_LAST_STAGE_S = 0.7
MIN_SECOND_STAGE_S = 0.4
# A rollout waits for evidence until so many times its duration after the order.
MAX_HELD_DURATIONS = 3.0

MIN_ERRORS = 5
MIN_ERROR_RATE = 0.06
# A failing engine or connection causes errors in every version. A bad version has several times as
# many.
ERROR_RATIO = 3.0
ERROR_ALLOWANCE = 0.01
MIN_SLOW = 5
# Load slows every version occasionally, so a small share of slow responses proves nothing.
MIN_USUAL_SLOW_SHARE, SLOW_ALLOWANCE = 0.08, 0.05
# Standard deviations above the usual number of slow responses. The limit is high because the test
# is made repeatedly, and each time it could give a false alarm.
SLOW_DEVIATIONS = 4.0
# Engines on trial are lightly loaded, so at least this share of a good version's streams is quick.
MIN_QUICK_SHARE = 0.4
NONE_QUICK_PROBABILITY = 0.005


class Evidence(NamedTuple):
    """Counts of the responses of one version of a service.

    Attributes:
      answers: All responses.
      errors: Failed responses.
      slow: Slow responses.
      timed: Responses whose times show whether they are slow. The time to the first event alone can
        show that a stream is slow, but not that it is not.
      paced: Streams with enough events to measure the time between events.
      quick: Paced streams about as fast as the fastest recent one of the stable version.
      crawling: Paced streams several times slower than usual.
    """

    answers: int = 0
    errors: int = 0
    slow: int = 0
    timed: int = 0
    paced: int = 0
    quick: int = 0
    crawling: int = 0

    def plus(self, other: "Evidence") -> "Evidence":
        """Return the sum of both counts."""
        return Evidence(
            self.answers + other.answers,
            self.errors + other.errors,
            self.slow + other.slow,
            self.timed + other.timed,
            self.paced + other.paced,
            self.quick + other.quick,
            self.crawling + other.crawling,
        )

    @property
    def brief(self) -> str:
        """Return ``ERRORS+SLOWofTIMED/ANSWERS``, as in 5+3of7/20."""
        return f"{self.errors}+{self.slow}of{self.timed}/{self.answers}"

    def __str__(self) -> str:
        """Return the counts, as in 5+3of7/20 quick 0of4 crawling 2."""
        return f"{self.brief} quick {self.quick}of{self.paced} crawling {self.crawling}"


class Plan(NamedTuple):
    """How the sessions of a service are divided among its versions.

    Attributes:
      stable: The version of the sessions that do not go to ``trial``; None if it is not known.
      trial: The version on trial (the canary), which a running rollout introduces; None if there is
        none.
      share: Share of the sessions and other requests that goes to ``trial``, 0 to 1.
      forbidden: Versions that receive no requests.
      stage: Stage of the rollout that introduces ``trial``; ``COLLECTING_STAGE`` before the first
        one, and without a rollout.
    """

    stable: str | None
    trial: str | None
    share: float
    forbidden: frozenset[str]
    stage: int = COLLECTING_STAGE


class Schedule(NamedTuple):
    """Start times of the stages of a rollout, in seconds after the order.

    Attributes:
      first: Start of the first stage, before which the gateways collect the active sessions.
      second: Start of the second stage.
      last: Start of the last stage, in which all sessions move.
      completed: Time at which the rollout completes and the old engines may stop.
    """

    first: float
    second: float
    last: float
    completed: float


class Decision(NamedTuple):
    """The next state and stage of a rollout, and the reason for the log."""

    state: routing.RolloutState
    stage: int
    reason: str


def majority_version(engines: list[routing.Engine]) -> str | None:
    """Return the version of most engines of a service.

    Args:
      engines: The service's engines.

    Returns:
      The most frequent version; in a tie, the one with the oldest engine record. None without
      engines.
    """
    counts: dict[str, int] = {}
    first: dict[str, int] = {}
    for item in engines:
        counts[item.version] = counts.get(item.version, 0) + 1
        first[item.version] = min(first.get(item.version, item.revision), item.revision)
    if not counts:
        return None
    return max(counts, key=lambda name: (counts[name], -first[name]))


def make_plan(rollout: routing.Rollout | None, engines: list[routing.Engine], vetoed: bool) -> Plan:
    """Determine which versions of a service may receive requests.

    Args:
      rollout: The service's rollout; None if there is none.
      engines: The service's engines.
      vetoed: Whether the target version was found bad.

    Returns:
      The plan.
    """
    if rollout is None:
        return Plan(majority_version(engines), None, 0.0, frozenset())
    others = [item for item in engines if item.version != rollout.target]
    stable = majority_version(others)
    if rollout.state == "completed":
        return Plan(rollout.target, None, 0.0, frozenset())
    if rollout.state == "reverted" or vetoed:
        return Plan(stable, None, 0.0, frozenset((rollout.target,)))
    share = STAGE_SHARES[min(rollout.stage, LAST_STAGE)]
    stage = COLLECTING_STAGE if rollout.state == "new" else min(rollout.stage, LAST_STAGE)
    return Plan(stable, rollout.target, share, frozenset(), stage)


def trial_engines(engine_ids: list[str], plan: Plan) -> frozenset[str]:
    """Select the engines that receive the requests for a version on trial.

    Concentrating few requests on few engines loads each of them as heavily as after the rollout, so
    that a version that fails only under load is detected after few requests.

    Args:
      engine_ids: Ids of the engines of the version on trial.
      plan: The service's plan.

    Returns:
      The plan's share of the engines, at least one; the same selection at every gateway.
    """
    ranked = sorted(
        engine_ids, key=lambda item: positions.find_position("", plan.trial or "", item)
    )
    return frozenset(ranked[: max(1, round(plan.share * len(ranked)))])


class Verdict(NamedTuple):
    """What is known about a version on trial.

    Attributes:
      fault: Why the version has to be rolled back, for the log; empty if it need not be.
      doubt: Why the rollout cannot be completed yet, for the log; empty if it can.
      trial: Results of the version on trial at all gateways and on all routes.
      usual: Those of the stable version.
    """

    fault: str = ""
    doubt: str = ""
    trial: Evidence = Evidence()
    usual: Evidence = Evidence()


def find_fault(trial: Evidence, stable: Evidence) -> str:
    """Tell whether a version on trial is so much worse than the stable one that it is rolled back.

    Args:
      trial: Results of the version on trial.
      stable: Results of the stable version.

    Returns:
      Whether it has too many errors, too many slow responses or no quick stream, for the log; empty
      if it has none of these.
    """
    answers = max(1, trial.answers)
    usual_error_share = stable.errors / stable.answers if stable.answers else 0.0
    failing = trial.errors / answers >= max(
        MIN_ERROR_RATE, ERROR_RATIO * (usual_error_share + ERROR_ALLOWANCE)
    )
    if trial.errors >= MIN_ERRORS and failing:
        return "errors"
    if _is_never_quick(trial, stable):
        return "no quick stream"
    return "slow" if trial.slow >= MIN_SLOW and _is_slower(trial, stable) else ""


def _is_never_quick(trial: Evidence, stable: Evidence) -> bool:
    """Tell whether a version has no quick stream although some are expected by now.

    Under load many streams of the stable version are slow as well, so that a comparison of the
    shares of slow responses does not reveal a slow version. Engines on trial are lightly loaded, so
    a version without a single quick stream there is slow.
    """
    if trial.quick:
        return False
    # Two streams that were not quick are assumed: a few quick ones do not show that all are.
    usual_quick_share = stable.quick / (stable.paced + 2.0)
    return (1.0 - max(usual_quick_share, MIN_QUICK_SHARE)) ** trial.paced < NONE_QUICK_PROBABILITY


def _is_slower(trial: Evidence, stable: Evidence) -> bool:
    """Tell whether a version has significantly more slow responses than the stable one."""
    usual_slow_share = stable.slow / stable.timed if stable.timed else 0.0
    usual_slow_share = min(1.0, max(MIN_USUAL_SLOW_SHARE, usual_slow_share) + SLOW_ALLOWANCE)
    spread = math.sqrt(trial.timed * usual_slow_share * (1.0 - usual_slow_share))
    return trial.slow - usual_slow_share * trial.timed > SLOW_DEVIATIONS * spread


def make_schedule(
    duration_s: float, canary_share: float, margin_s: float = 0.0, held: int = 0
) -> Schedule:
    """Compute the start times of the stages, so that a bad version stays within its share.

    Args:
      duration_s: Time from the order to its deadline, in seconds.
      canary_share: Largest share of the requests in that time that a bad version may receive.
      margin_s: Requests beyond that share that the second stage may use, expressed in seconds of
        the service's whole traffic.
      held: Sessions known so far that the first stage must not move.

    Returns:
      The schedule.
    """
    collection_s = min(MAX_COLLECTION_S, max(COLLECTION_S, held / COLLECTED_PER_S))
    first = min(collection_s, MAX_COLLECTION_SHARE * duration_s)
    exposure_s = canary_share * duration_s
    last = duration_s - LAST_STAGE_EXPOSURE_SHARE * exposure_s
    second = last - (SECOND_STAGE_EXPOSURE_SHARE * exposure_s + margin_s) / STAGE_SHARES[1]
    half = FIRST_STAGE_TIME_SHARE * duration_s
    completed = duration_s - COMPLETION_MARGIN_S
    return Schedule(first, max(second, half), max(last, half), completed)


def is_held(rollout: routing.Rollout, verdict: Verdict, age_s: float) -> bool:
    """Tell whether a rollout may not go on yet because too little is known of the version.

    Args:
      rollout: The order and its status.
      verdict: What the results of all gateways say about the target version.
      age_s: Time since the order, in seconds.

    Returns:
      Whether it waits; after three times the order's time it goes on, so that a service without
      requests is not left between two versions.
    """
    return bool(verdict.doubt) and age_s < MAX_HELD_DURATIONS * rollout.duration_s


def decide(
    rollout: routing.Rollout,
    verdict: Verdict,
    age_s: float,
    stage_s: float,
    due: Schedule,
) -> Decision | None:
    """Decide whether a rollout changes its state or stage.

    Args:
      rollout: The order and its status.
      verdict: What the results of all gateways say about the target version.
      age_s: Time since the order, less this gateway's delay, in seconds.
      stage_s: Time since this gateway first saw the stage, less this gateway's delay, in seconds.
      due: Start times of the stages.

    Returns:
      The change to write; None if the status stays.
    """
    if rollout.state in ("completed", "reverted"):
        return None
    if verdict.fault:
        return Decision(
            "reverted", rollout.stage, f"{verdict.fault}; errors+slow/answers={verdict.trial}"
        )
    if rollout.state == "new":
        return Decision("running", 0, "sessions collected") if age_s >= due.first else None
    if rollout.stage == 0:
        return Decision("running", 1, "no fault found") if age_s >= due.second else None
    if is_held(rollout, verdict, age_s):
        return None
    if rollout.stage < LAST_STAGE:
        ready = age_s >= due.last and stage_s >= MIN_SECOND_STAGE_S
        return Decision("running", LAST_STAGE, "no fault found") if ready else None
    if age_s >= due.completed and stage_s >= MIN_LAST_STAGE_S:
        return Decision("completed", LAST_STAGE, "all sessions moved")
    return None
