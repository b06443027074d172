"""Checks what the engines of the rig have logged against what its callers saw.

Four promises are checked: what may run once runs once, also if its caller sends it again because a
kept connection was closed without an answer; a request does not go on at another engine while the
one before still works on it; a gateway does not close kept connections without an answer after it
has passed their requests on; and an order does not fail whose engine has answered it, whatever
copies of earlier answers came before.
"""

import json
import math
from typing import NamedTuple

RUN_ONCE = ("order", "talk")
NOT_RUN_STATUSES = (408, 421, 429, 503)
BAD_GATEWAY = 502
# Requests that a gateway may cut on kept connections, after it has passed them on.
MAX_CUT = 3
# Longest time for which an engine may go on with a request after another one has begun it.
OVERLAP_S = 0.4
# A gateway that was disturbed within this time need not keep up with its engines.
CONTACT_S = 3.0
# Requests of the kind ``flip`` may run once from now on, at gateways that follow the store.
FLIPPED, APPLY_S = "flip", 2.0
# The machine was too busy to run the processes of the rig in time.
STARVED = ("starved", "")


class Run(NamedTuple):
    """One run of a request at an engine; times are of the monotonic clock.

    Attributes:
      engine: Id of the engine.
      id: Id of the attempt.
      began_at: When it began.
      ended_at: When it ended; infinite if the engine still runs it.
      how: How it ended: ``done``, ``cancelled`` or ``broken``; empty if it did not.
      deaf: Whether the engine does not learn of closed connections.
      sound: Whether its answer was written, and whether each copy of another answer on its
        connection names an earlier request of that connection.
    """

    engine: str
    id: str
    began_at: float
    ended_at: float
    how: str
    deaf: bool = False
    sound: bool = False


class Disturbance(NamedTuple):
    """A fault or a planned change, from the begin to the end.

    Attributes:
      kind: What happened: ``engine_stop``, ``engine_kill``, ``link``, ``gateway``.
      name: Name of the engine or the gateway.
      began_at: When it began.
      ended_at: When it ended; infinite before that.
    """

    kind: str
    name: str
    began_at: float
    ended_at: float


def read_runs(path, engine_id, disturbances):
    """Return the runs in an engine's log; a process that was killed ends what it ran.

    Times in which the process was kept from running are added to the disturbances.
    """
    kills = [item.began_at for item in disturbances if item[:2] == ("engine_kill", engine_id)]
    begun, runs, deaf = {}, [], False
    for line in path.read_text().splitlines() if path.exists() else ():
        item = json.loads(line)
        if item["what"] == "started":
            begun.clear()
            deaf = item["habit"] == "deaf"
        elif item["what"] == "late":
            late = Disturbance("engine_stop", engine_id, item["since"], item["at"])
            disturbances.append(late)
        elif item["what"] == "begin":
            killed_at = min([at for at in kills if at > item["at"]], default=math.inf)
            run = Run(engine_id, item["id"], item["at"], killed_at, "", deaf)
            begun[item["run"]] = len(runs)
            runs.append(run)
        elif item["run"] in begun:
            index = begun.pop(item["run"])
            runs[index] = runs[index]._replace(
                ended_at=item["at"], how=item["how"], sound=item["sound"]
            )
    return runs


def find_breaches(runs, attempts, disturbances):
    """Return the descriptions of all breaches."""
    by_attempt, by_request = {}, {}
    for run in sorted(runs, key=lambda item: item.began_at):
        by_attempt.setdefault(run.id, []).append(run)
        by_request.setdefault(run.id[:12], []).append(run)
    found = []
    flipped_at = min(
        [item.began_at for item in disturbances if item.kind == FLIPPED], default=math.inf
    )
    for attempt in attempts:
        ran = by_attempt.get(attempt.id, [])
        is_once = attempt.kind in RUN_ONCE
        if attempt.kind == "flip" and attempt.sent_at > flipped_at + APPLY_S:
            is_once = not _was_disturbed(attempt, disturbances) and not _missed_store(
                attempt, disturbances
            )
        if is_once and len(ran) > 1:
            found.append(f"twice: {attempt} ran at {ran}")
        if is_once and attempt.status in NOT_RUN_STATUSES and ran:
            found.append(f"not run: {attempt} ran at {ran}")
    found += _find_repeats(attempts, by_attempt, disturbances)
    found += _find_cut(attempts, by_attempt, disturbances)
    found += _find_lost(attempts, by_attempt, disturbances)
    gateways = {attempt.id: attempt.gateway for attempt in attempts}
    for name, groups in (("attempt", by_attempt), ("request", by_request)):
        for group in groups.values():
            found += _find_overlaps(name, group, gateways, disturbances)
    return found


def _find_repeats(attempts, by_attempt, disturbances):
    """Return the requests that may run once and ran in more than one attempt of their callers."""
    ran = {}
    for attempt in attempts:
        if attempt.kind in RUN_ONCE and attempt.id in by_attempt:
            ran.setdefault(attempt.id[:12], []).append(attempt)
    return [
        f"again: {group}"
        for group in ran.values()
        if len(group) > 1 and not _was_disturbed(group[0], disturbances)
    ]


def _find_cut(attempts, by_attempt, disturbances):
    """Return the gateways that cut more requests than allowed which they had passed on."""
    cut = {}
    for item in attempts:
        if item.closed and item.reused and item.id in by_attempt:
            if not _was_disturbed(item, disturbances):
                cut.setdefault(item.gateway, []).append(item)
    return [f"cut: {group}" for group in cut.values() if len(group) > MAX_CUT]


def _find_lost(attempts, by_attempt, disturbances):
    """Return the orders that failed although their engines, undisturbed, have answered them."""
    found = []
    for attempt in attempts:
        ran = by_attempt.get(attempt.id, [])
        if attempt.kind != "order" or attempt.status != BAD_GATEWAY or len(ran) != 1:
            continue
        run = ran[0]
        # A deaf engine does not learn that its answer could not be written.
        if not run.sound or run.deaf or _was_disturbed(attempt, disturbances):
            continue
        if not _was_run_disturbed(run, disturbances):
            found.append(f"lost: {attempt} was answered at {run}")
    return found


def _was_run_disturbed(run, disturbances):
    """Tell whether something was done to a run's engine or its link, or to the whole machine."""
    return any(
        (item.name == run.engine and item.kind != "gateway" or item[:2] == STARVED)
        and item.began_at <= run.ended_at
        and item.ended_at >= run.began_at - CONTACT_S
        for item in disturbances
    )


def _was_disturbed(attempt, disturbances):
    """Tell whether something was done to an attempt's gateway beside a planned stop."""
    return any(
        (item.kind, item.name) == ("gateway", attempt.gateway)
        and item.began_at <= attempt.ended_at
        and item.ended_at >= attempt.sent_at - CONTACT_S
        for item in disturbances
    )


def _missed_store(attempt, disturbances):
    """Tell whether the store failed for all gateways shortly before or during an attempt."""
    return any(
        item.kind == "store"
        and item.began_at <= attempt.ended_at
        and item.ended_at >= attempt.sent_at - CONTACT_S
        for item in disturbances
    )


def _find_overlaps(name, group, gateways, disturbances):
    """Return the runs of one request that went on for too long beside another one elsewhere."""
    found = []
    for index, later in enumerate(group):
        for run in group[:index]:
            is_within = name == "request" and run.id == later.id
            if run.engine == later.engine or is_within or run.deaf:
                continue
            if later.deaf and _began_late(later, disturbances):
                continue
            left_at = _continued_at(run.engine, later.began_at, disturbances)
            # An engine that was late to read may begin last a request that it got first.
            overlap_s = min(run.ended_at, later.ended_at) - left_at
            if overlap_s <= OVERLAP_S or _is_excused(run, later, gateways, disturbances):
                continue
            found.append(f"overlap of one {name}: {overlap_s:.2f} s, {run}, then {later}")
    return found


def _began_late(run, disturbances):
    """Tell whether an engine's process was stopped, or its link held back, until it began a run.

    It may have been sent the request first, and if it is deaf, it does not learn that it was given
    up meanwhile.
    """
    return any(
        item[:2] in (("engine_stop", run.engine), ("link", run.engine))
        and item.began_at <= run.began_at
        and item.ended_at >= run.began_at - OVERLAP_S
        for item in disturbances
    )


def _continued_at(engine, at, disturbances):
    """Return the time, or the end of the time in which the engine's process was stopped then."""
    stops = [item for item in disturbances if item[:2] == ("engine_stop", engine)]
    return max([at, *(item.ended_at for item in stops if item.began_at <= at + OVERLAP_S)])


def _is_excused(run, later, gateways, disturbances):
    """Tell whether a gateway did not reach the engine, or was disturbed itself.

    If a caller has sent the request again, the two runs may be of two gateways.
    """
    begin, end = later.began_at - CONTACT_S, later.began_at + OVERLAP_S
    excuses = [("link", run.engine), STARVED]
    excuses += [("gateway", gateways.get(item.id)) for item in (run, later)]
    return any(
        item.began_at <= end and item.ended_at >= begin and (item.kind, item.name) in excuses
        for item in disturbances
    )
