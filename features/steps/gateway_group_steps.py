"""Steps on the engines that are offered for a request, without a process or a network."""

import collections
import random

from behave import then
from support.gateway_data import make_criteria, make_engine, make_states

from berylrock.ops import enginegroup, engineset, enginestate, selection

ENGINES = 2800
ZONES = 18


def make_group(count=ENGINES):
    """Return a group of engines in all zones."""
    return enginegroup.EngineGroup(
        enginestate.EngineState(make_engine(f"e{number}", zone=f"z{number % ZONES}"))
        for number in range(count)
    )


@then("of {count:d} engines at most {most:d} are compared for a request")
def step_few_compared(context, count, most):
    """Check the size of the offers, with a prompt part and without one."""
    context.group = make_group(count)
    rng = random.Random(1)
    offers = [context.group.offer(key, "z3", rng) for key in ("", "part") for _ in range(50)]
    assert max(len(item.states) for item in offers) <= most
    assert min(len(item.states) for item in offers) >= enginegroup.MAX_OFFERED // 2


@then("the engine that keeps a prompt part is among them, the same at every gateway")
def step_preferred_offered(context):
    """Compare the offers and the choices of gateways with other random numbers and zones."""
    for part in range(40):
        key = f"model\0part{part}"
        offers = [context.group.offer(key, f"z{seed}", random.Random(seed)) for seed in range(8)]
        assert len({item.preferred for item in offers}) == 1
        chosen = {choose_from(item, key, seed) for seed, item in enumerate(offers)}
        assert chosen == {offers[0].preferred[0]}, chosen


def choose_from(offer, key, seed):
    """Return the id of the engine that a request with a prompt part gets."""
    criteria = make_criteria(key)._replace(preferred=offer.preferred)
    return selection.choose(offer.states, criteria, random.Random(seed)).engine.id


@then("the loss of an engine moves only its own prompt parts to another engine")
def step_loss(context):
    """Compare the preferred engines with and without one engine."""
    rng = random.Random(1)
    lost = context.group.offer("part0", "z0", rng).preferred[0]
    rest = enginegroup.EngineGroup(item for item in context.group.states if item.engine.id != lost)
    for part in range(300):
        before = context.group.offer(f"part{part}", "z0", rng).preferred
        after = rest.offer(f"part{part}", "z0", rng).preferred
        assert after[0] == (before[1] if before[0] == lost else before[0]), part


@then("{count:d} requests are spread evenly over the engines, half of them in the own zone")
def step_spread(context, count):
    """Send requests without prompt parts from gateways of all zones, each of which runs on."""
    group, rng = make_group(), random.Random(2)
    near = 0
    for number in range(count):
        zone = f"z{number % ZONES}"
        criteria = make_criteria()._replace(zone=zone)
        state = selection.choose(group.offer("", zone, rng).states, criteria, rng)
        state.begin(0.0, float(number))
        near += state.engine.zone == zone
    running = collections.Counter(item.running for item in group.states)
    assert max(running) <= 2 * count / ENGINES, running
    assert near >= count / 2, near


@then("a change of any engine shows in the next offer")
def step_change_shows(context):
    """Add, drain, move and remove engines, and evacuate a zone."""
    engines = engineset.EngineSet()

    def offered():
        return {item.engine.id for item in engines.group("models", "v1").states}

    engines.put(make_engine("e1"), 0.0)
    assert offered() == {"e1"}
    engines.put(make_engine("e2", zone="b"), 0.0)
    assert offered() == {"e1", "e2"}
    engines.put(make_engine("e1", revision=2, draining=True), 0.0)
    assert offered() == {"e2"}
    engines.set_evacuated(frozenset("b"), 0.0)
    assert offered() == set()
    engines.set_evacuated(frozenset(), 0.0)
    engines.put(make_engine("e1", revision=3), 0.0)
    assert offered() == {"e1", "e2"}
    engines.remove("e2", 0.0)
    engines.put(make_engine("e1", version="v2", revision=4), 0.0)
    assert offered() == set()
    generation = engines.generation
    engines.put(make_engine("e1", version="v2", revision=5), 0.0)
    assert engines.generation == generation


@then("a group of {count:d} engines is offered whole")
def step_whole(context, count):
    """Check that a small group gives all engines and leaves the preference to the choice."""
    group = enginegroup.EngineGroup(make_states(count))
    assert group.offer("part", "a", random.Random(1)) == enginegroup.Offer(group.states, ())
