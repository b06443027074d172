"""Weighs how well a suspect explains the crashes of engines.

Scenario: an engine crashes under some requests, and many others run there too, some of them again
and again because their own engines crashed before. How far an answer had got when its engine
crashed says nothing about the request. What does: by chance, a suspect that is in few requests, or
in short ones, is seldom at an engine when it crashes.
"""

import math
from typing import NamedTuple

from berylrock.ops import crashlog, suspects

__all__ = ["MIN_CRASHES", "Case", "collect", "suffices"]

# Crashes after which a suspect may be blamed; more if an answer to it was complete before.
MIN_CRASHES, MIN_CRASHES_ONCE_SOUND = 3, 5
# Engines that are lost at the same time say nothing about what they were running, only a crash
# under a request that was sent after an earlier crash does: that makes a round.
MIN_ROUNDS = 2
# Score from which a suspect is blamed, by the number of its crashes, and for more of them. In nats:
# the natural logarithm of how much likelier the crashes are if the suspect causes them.
NEEDED_SCORES, NEEDED_SCORE = {3: 7.0, 4: 5.0}, 3.0
# What is needed besides if an answer was complete before, in nats: few suspects change.
ONCE_SOUND_SCORE = 2.0
# Assumed time until a crashed engine is back, and shortest time of a request at an engine.
DOWN_S, MIN_EXPOSURE_S = 4.0, 0.02


class Case(NamedTuple):
    """The crashes that one suspect may explain.

    Attributes:
      suspect: The suspect.
      crashes: Number of crashes since the last complete answer with it.
      rounds: Crashes that followed each other; see ``MIN_ROUNDS``.
      place: Its place in the prompts.
      requests: Digests of the requests with it at the engine, by crash.
      score: How well it explains the crashes, in nats; 0 if chance does as well.
    """

    suspect: str
    crashes: int
    rounds: int
    place: int
    requests: dict[crashlog.Crash, frozenset[str]]
    score: float

    def includes(self, other: "Case") -> bool:
        """Tell whether another suspect, in some of the same requests, explains as much."""
        if not self.requests.keys() <= other.requests.keys():
            return False
        return all(other.requests[crash] <= found for crash, found in self.requests.items())


def collect(log: crashlog.CrashLog, suspect: str, per_s: float, until: float) -> Case | None:
    """Collect the crashes that a suspect may explain.

    Args:
      log: The known crashes.
      suspect: The suspect.
      per_s: Requests with it that all gateways get per second.
      until: Time up to which crashes count, in seconds.

    Returns:
      The case; None if it has too few crashes.
    """
    found = log.crashes_of(suspect, until)
    if len(found) < MIN_CRASHES:
        return None
    exposures = [item.exposures[suspect] for item in found]
    return Case(
        suspect=suspect,
        crashes=len(found),
        rounds=_count_rounds(found, exposures),
        place=max(item.place for item in exposures),
        requests={
            crash: frozenset(item.requests) for crash, item in zip(found, exposures, strict=True)
        },
        score=_score(log, found, exposures, per_s),
    )


def _count_rounds(found: list[crashlog.Crash], exposures: list[crashlog.Exposure]) -> int:
    rounds, began_at = 0, -math.inf
    for crash, exposure in zip(found, exposures, strict=True):
        if exposure.last_sent_at > began_at:
            rounds += 1
            began_at = crash.at
    return rounds


def _score(
    log: crashlog.CrashLog,
    found: list[crashlog.Crash],
    exposures: list[crashlog.Exposure],
    per_s: float,
) -> float:
    """Compare the share of the crashes at which the suspect was there with that by chance.

    The score is the number of crashes times the relative entropy of the two shares.
    """
    begin, end = min(item.first_sent_at for item in exposures), found[-1].at
    service = next((item.service for item in found if item.service), "")
    in_time = log.crashes_between(service, begin, end)
    total = max(len(in_time), len(found))
    share = len(found) / total
    chance = _share_by_chance(in_time or found, found, exposures, per_s)
    if share <= chance:
        return 0.0
    score = share * math.log(share / chance)
    if share < 1.0:
        score += (1.0 - share) * math.log((1.0 - share) / (1.0 - chance))
    return total * score


def _share_by_chance(
    in_time: list[crashlog.Crash],
    found: list[crashlog.Crash],
    exposures: list[crashlog.Exposure],
    per_s: float,
) -> float:
    """Return the share of the engines that have a request with the suspect at any time.

    It follows from the time that such requests were at crashed engines, or from their rate and the
    mean of that time if these say more: the gateways are not told of requests at other engines.
    """
    begin, end = min(item.first_sent_at for item in exposures), found[-1].at
    pairs = zip(found, exposures, strict=True)
    times = [max(MIN_EXPOSURE_S, crash.at - item.first_sent_at) for crash, item in pairs]
    fleet = max(1, *(item.fleet for item in in_time))
    span_s = max(end - begin, MIN_EXPOSURE_S)
    down_s = sum(min(DOWN_S, end - item.at) for item in in_time)
    up_s = max(fleet * span_s - down_s, span_s, sum(times))
    mean_s = sum(times) / len(times)
    return max(sum(times) / up_s, 1.0 - math.exp(-per_s * mean_s / fleet))


def suffices(case: Case, once_sound: bool) -> bool:
    """Tell whether a suspect may be blamed.

    Args:
      case: The crashes that it may explain.
      once_sound: Whether an answer with it was ever complete.
    """
    if case.crashes < (MIN_CRASHES_ONCE_SOUND if once_sound else MIN_CRASHES):
        return False
    if case.rounds < MIN_ROUNDS:
        return False
    # One request that explains all the crashes of a prompt part is the likelier cause.
    if not suspects.is_request(case.suspect) and frozenset.intersection(*case.requests.values()):
        return False
    needed = NEEDED_SCORES.get(case.crashes, NEEDED_SCORE)
    return case.score >= needed + (ONCE_SOUND_SCORE if once_sound else 0.0)
