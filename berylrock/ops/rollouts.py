"""Moves a service to another version: who gets it, when the share grows, when it is taken back.

No gateway leads. The stage of a roll-out is in the store; any gateway may move it on, on condition
that nobody else did. Within a stage the version of a session is a function of the session alone,
so every gateway finds the same one; shares only grow, and a session that is under way keeps its
version through the first half.

Load patterns: a version that fails at once, slowly, only under load, only on one route or only
after a while must be found while few requests have met it. A version whose fault does not show at
the load of the day cannot be found; its roll-out must still send it no more than its share of the
requests before the order's deadline, so most sessions move shortly before that.
"""

import hashlib
import math
from typing import NamedTuple

from berylrock.core import routing

__all__ = [
    "Evidence",
    "Plan",
    "Schedule",
    "SessionVersions",
    "Decision",
    "baseline_version",
    "decide",
    "looks_bad",
    "make_plan",
    "make_schedule",
    "choose_version",
    "trial_engines",
]

# The first share is so small that a version that is bad meets few requests while it is watched; the
# second one fills the caches of the engines that are to take over.
STAGE_SHARES = (0.035, 0.2, 1.0)
LAST_STAGE = len(STAGE_SHARES) - 1
# Sessions may move once half of the time is over; a little later, so that clocks may differ.
FIRST_STAGE_SHARE_OF_TIME = 0.515
# What a version may get before the deadline, in seconds of the service's whole traffic, is divided
# over the stages. The last one counts up to the deadline; the first stage takes the rest.
SECOND_STAGE_SHARE_OF_EXPOSURE = 0.12
LAST_STAGE_SHARE_OF_EXPOSURE = 0.6
# Completed so long before the deadline that the write may be made again.
COMPLETE_EARLY_S = 0.9
# On completion the old engines stop at once; short requests have ended by then.
LEAST_LAST_STAGE_S = 0.7
LEAST_SECOND_STAGE_S = 0.4
HASH_RANGE = 2.0**64

LEAST_ERRORS = 5
ERROR_SHARE = 0.06
# A failing engine or link costs every version some errors; a bad version has several times as many.
ERROR_RATIO = 3.0
ERROR_ALLOWANCE = 0.01
LEAST_SLOW = 5
# Load makes every version slow now and then; few answers are slow by chance.
LEAST_USUAL_SLOW, SLOW_ALLOWANCE = 0.08, 0.05
# Standard deviations above the usual share of slow answers; the test is made again and again.
SLOW_DEVIATIONS = 4.0
# Engines on trial have little to do: at least this share of a good version's streams is quick.
LEAST_QUICK_SHARE = 0.4
CHANCE_OF_NONE_QUICK = 0.005


class Evidence(NamedTuple):
    """Results of one version of a service.

    Attributes:
      answers: Answers in all.
      errors: Failed ones.
      slow: Slow ones.
      timed: Those whose times say whether they are slow.
      paced: Streams long enough to have a pace.
      quick: Those of them that were about as fast as an idle engine of the serving version.
    """

    answers: int = 0
    errors: int = 0
    slow: int = 0
    timed: int = 0
    paced: int = 0
    quick: int = 0

    def plus(self, other: "Evidence") -> "Evidence":
        """Both together."""
        return Evidence(
            self.answers + other.answers,
            self.errors + other.errors,
            self.slow + other.slow,
            self.timed + other.timed,
            self.paced + other.paced,
            self.quick + other.quick,
        )

    def __str__(self) -> str:
        slow = f"{self.slow}of{self.timed}"
        return f"{self.errors}+{slow}/{self.answers} quick {self.quick}of{self.paced}"


class Plan(NamedTuple):
    """Versions of a service by how much a new session may go to them.

    Attributes:
      stable: The version that serves; None if it is not known.
      trial: The version on trial or taken over to; None without one.
      share: Share of the sessions that goes to ``trial``.
      forbidden: Versions that get nothing.
    """

    stable: str | None
    trial: str | None
    share: float
    forbidden: frozenset[str]


class Schedule(NamedTuple):
    """When the stages of a roll-out begin, in seconds after the order.

    Attributes:
      second: Its second stage.
      last: Its last stage, in which all sessions move.
      completed: The old engines may stop.
    """

    second: float
    last: float
    completed: float


class Decision(NamedTuple):
    """What to write into a roll-out's status."""

    state: routing.RolloutState
    stage: int
    reason: str


def baseline_version(engines: list[routing.Engine]) -> str | None:
    """The version that most engines of a service have; the one that came first if two tie."""
    counts: dict[str, int] = {}
    first: dict[str, int] = {}
    for item in engines:
        counts[item.version] = counts.get(item.version, 0) + 1
        first[item.version] = min(first.get(item.version, item.revision), item.revision)
    if not counts:
        return None
    return max(counts, key=lambda name: (counts[name], -first[name]))


def make_plan(rollout: routing.Rollout | None, engines: list[routing.Engine], vetoed: bool) -> Plan:
    """Say which versions of a service may get requests.

    Args:
      rollout: The service's roll-out, if there is one.
      engines: The service's engines.
      vetoed: This gateway has found the target bad.

    Returns:
      The plan.
    """
    if rollout is None:
        return Plan(baseline_version(engines), None, 0.0, frozenset())
    others = [item for item in engines if item.version != rollout.target]
    stable = baseline_version(others)
    if rollout.state == "completed":
        return Plan(rollout.target, None, 0.0, frozenset())
    if rollout.state == "reverted" or vetoed:
        return Plan(stable, None, 0.0, frozenset((rollout.target,)))
    share = STAGE_SHARES[min(rollout.stage, LAST_STAGE)]
    return Plan(stable, rollout.target, share, frozenset())


def _point(service: str, target: str, session: str) -> float:
    digest = hashlib.blake2b(f"{service}\0{target}\0{session}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / HASH_RANGE


def choose_version(plan: Plan, service: str, session: str, kept: str | None) -> str | None:
    """The version for a session's next request.

    Args:
      plan: The service's plan.
      service: The service.
      session: The session, or the request's id if it has none.
      kept: The version of the session's last request, if it is still under way.

    Returns:
      The version; None if none is known.
    """
    if plan.trial is None:
        return plan.stable
    # Until the last stage a session that is under way stays where it is.
    if kept is not None and plan.share < 1.0 and kept in (plan.stable, plan.trial):
        return kept
    if _point(service, plan.trial, session) < plan.share:
        return plan.trial
    return plan.stable or plan.trial


def trial_engines(engine_ids: list[str], plan: Plan) -> frozenset[str]:
    """The engines that take what goes to a version on trial.

    Few requests on few engines load each of them as it will be loaded later, so that a version that
    is bad only under load shows it while few requests have met it.

    Args:
      engine_ids: Engines of the version on trial.
      plan: The service's plan.

    Returns:
      As many of them as the share asks for; the same at every gateway.
    """
    ranked = sorted(engine_ids, key=lambda item: _point("", plan.trial or "", item))
    return frozenset(ranked[: max(1, round(plan.share * len(ranked)))])


class SessionVersions:
    """The version of each session that is under way, by service."""

    def __init__(self) -> None:
        self._last: dict[tuple[str, str], tuple[str, float]] = {}

    def find(self, service: str, session: str, now: float, ttl_s: float) -> str | None:
        """The version of a session's last request; None if it is too long ago."""
        version, at = self._last.get((service, session), ("", 0.0))
        return version if version and now - at < ttl_s else None

    def note(self, service: str, session: str, version: str, now: float) -> None:
        """A session's request runs, or has just ended, on a version."""
        self._last[(service, session)] = (version, now)

    def expire(self, now: float, ttl_s: float) -> None:
        """Forget sessions that are over."""
        self._last = {key: item for key, item in self._last.items() if now - item[1] < ttl_s}


def looks_bad(trial: Evidence, stable: Evidence) -> bool:
    """Tell whether a version on trial fails so much more than the stable one that it goes back."""
    answers = max(1, trial.answers)
    usual = stable.errors / stable.answers if stable.answers else 0.0
    failing = trial.errors / answers >= max(ERROR_SHARE, ERROR_RATIO * (usual + ERROR_ALLOWANCE))
    if trial.errors >= LEAST_ERRORS and failing:
        return True
    if _is_never_quick(trial, stable):
        return True
    return trial.slow >= LEAST_SLOW and _is_slower(trial, stable)


def _is_never_quick(trial: Evidence, stable: Evidence) -> bool:
    """Whether no stream of a version is quick, though some should be by now.

    Under load many streams of the serving version are slow too, which hides a slow version from a
    comparison of shares; its engines on trial have little to do, and still none is quick.
    """
    if trial.quick:
        return False
    usual = stable.quick / stable.paced if stable.paced else 0.0
    return (1.0 - max(usual, LEAST_QUICK_SHARE)) ** trial.paced < CHANCE_OF_NONE_QUICK


def _is_slower(trial: Evidence, stable: Evidence) -> bool:
    """Whether so many of the answers can hardly be slow by chance."""
    usual = stable.slow / stable.timed if stable.timed else 0.0
    usual = min(1.0, max(LEAST_USUAL_SLOW, usual) + SLOW_ALLOWANCE)
    spread = math.sqrt(trial.timed * usual * (1.0 - usual))
    return trial.slow - usual * trial.timed > SLOW_DEVIATIONS * spread


def make_schedule(duration_s: float, canary_share: float) -> Schedule:
    """Say when the stages begin, so that a bad version stays within its share.

    Args:
      duration_s: Time in which the order is to be done.
      canary_share: Most of the requests in that time that a bad version may get.

    Returns:
      The schedule.
    """
    exposure_s = canary_share * duration_s
    last = duration_s - LAST_STAGE_SHARE_OF_EXPOSURE * exposure_s
    second = last - SECOND_STAGE_SHARE_OF_EXPOSURE * exposure_s / STAGE_SHARES[1]
    half = FIRST_STAGE_SHARE_OF_TIME * duration_s
    return Schedule(max(second, half), max(last, half), duration_s - COMPLETE_EARLY_S)


def decide(
    rollout: routing.Rollout,
    trial: Evidence,
    stable: Evidence,
    age_s: float,
    stage_s: float,
    canary_share: float,
) -> Decision | None:
    """Decide what a roll-out's status is to say next.

    Args:
      rollout: The order and its status.
      trial: Results of the target, of all gateways.
      stable: Results of the version that serves.
      age_s: Time since the order.
      stage_s: Time since the stage began.
      canary_share: Most of the requests before the deadline that a bad version may get.

    Returns:
      What to write; None to leave it.
    """
    if rollout.state in ("completed", "reverted"):
        return None
    if looks_bad(trial, stable):
        return Decision("reverted", rollout.stage, f"errors+slow/answers={trial}")
    if rollout.state == "new":
        return Decision("running", 0, "taken up")
    due = make_schedule(rollout.duration_s, canary_share)
    if rollout.stage == 0:
        return Decision("running", 1, "no fault found") if age_s >= due.second else None
    if rollout.stage < LAST_STAGE:
        ready = age_s >= due.last and stage_s >= LEAST_SECOND_STAGE_S
        return Decision("running", LAST_STAGE, "no fault found") if ready else None
    if age_s >= due.completed and stage_s >= LEAST_LAST_STAGE_S:
        return Decision("completed", LAST_STAGE, "all sessions moved")
    return None
