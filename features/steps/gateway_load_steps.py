"""Steps on the load of engines as the gateways report it to each other."""

import random
import subprocess
import sys

from behave import then
from support.gateway_data import make_criteria, make_states

from berylrock.ops import loadreport, loadview, selection

ENGINES = [f"e{number}" for number in range(6)]
GATEWAYS = [f"entry-{number}" for number in range(370)]
LIFETIME_S = loadview.REPORT_LIFETIME_S
PREFERRED = """
from support.gateway_data import make_criteria, make_states
import random
from berylrock.ops import selection
for part in range(40):
    print(selection.choose(make_states(6), make_criteria(f"p{part}"), random.Random(1)).engine.id)
"""


def make_loads(rng):
    """Return the loads of some engines."""
    chosen = rng.sample(ENGINES, rng.randrange(len(ENGINES)))
    return tuple(
        loadreport.EngineLoad(
            loadreport.engine_key(name), rng.randrange(1, 5), float(rng.randrange(900))
        )
        for name in chosen
    )


def count_by_hand(reports, engine_id, now):
    """Return the running requests and their size, from reports that have not expired."""
    loads = [
        load
        for at, items in reports.values()
        if now - at < LIFETIME_S
        for load in items
        if load.key == loadreport.engine_key(engine_id)
    ]
    return sum(load.running for load in loads), sum(load.work for load in loads)


@then("the sums by engine equal the reports that have not expired, in any order of arrival")
def step_sums(context):
    """Compare the sums with a count by hand over random reports, expiry and look-ups."""
    for seed in range(60):
        rng, view, reports, now = random.Random(seed), loadview.LoadView(), {}, 50.0
        for _ in range(80):
            now += rng.random() * 0.2
            name, loads = rng.choice(GATEWAYS[:12]), make_loads(rng)
            view.record(name, loads, {}, now)
            reports[name] = (now, loads)
            if rng.random() < 0.2:
                view.expire(now)
            for engine_id in ENGINES:
                found = view.peer_load(engine_id, now)
                expected = count_by_hand(reports, engine_id, now)
                assert (found.running, round(found.work)) == (expected[0], round(expected[1])), seed


@then("a look-up reads no report, however many gateways there are")
def step_lookup(context):
    """Let the reports of 370 gateways fail any access, then look an engine up."""

    class Unread(tuple):
        def __iter__(self):
            raise AssertionError("a report was read")

    view = loadview.LoadView()
    for name in GATEWAYS:
        view.record(name, (loadreport.EngineLoad(loadreport.engine_key("e1"), 1, 5.0),), {}, 50.0)
    view._reports = {
        name: item._replace(loads=Unread(item.loads)) for name, item in view._reports.items()
    }
    assert view.peer_load("e1", 50.1).running == len(GATEWAYS)


@then("a report without running requests leaves no trace")
def step_idle_report(context):
    """Check that such a report, which no gateway of this release sends, does no harm."""
    view = loadview.LoadView()
    view.record("entry-1", (loadreport.EngineLoad(loadreport.engine_key("e1"), 0, 0.0),), {}, 50.0)
    view.expire(60.0)
    view.record("entry-1", (), {}, 60.0)
    assert view.peer_load("e1", 60.0).running == 0


@then("processes with different seeds of the hash function prefer the same engines")
def step_same_preference(context):
    """Run the choice in processes with different values of PYTHONHASHSEED."""
    found = {
        subprocess.run(
            [sys.executable, "-c", PREFERRED],
            env={"PYTHONPATH": ".:features", "PYTHONHASHSEED": seed},
            capture_output=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    }
    assert len(found) == 1 and len(next(iter(found)).split()) == 40, found


@then("the loss of one engine moves only the prompt parts that it had")
def step_stable_preference(context):
    """Compare the choices with and without one of twelve engines."""
    states = make_states(12)
    rest = states[:-1]
    for part in range(200):
        pick = make_criteria(f"p{part}")
        before = selection.choose(states, pick, random.Random(1)).engine.id
        after = selection.choose(rest, pick, random.Random(1)).engine.id
        assert before == after or before == states[-1].engine.id, part
