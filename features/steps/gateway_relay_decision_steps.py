"""Steps on what gateways decide about relays, without a process or a network."""

import random

from behave import then
from support import relay_data

from berylrock.core import gatewaysettings, stored
from berylrock.ops import mirrors, relays


class RecordedStore:
    """Objects of one kind with a counter of revisions, and the changes so far."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.events = []

    def write(self, name):
        """Write an object."""
        self.revision += 1
        self.objects[name] = stored.StoredObject(name, self.revision, {"n": self.revision}, None)
        self.events.append((self.revision, stored.ObjectChange(self.objects[name], False)))

    def delete(self, name):
        """Delete an object, if it exists."""
        item = self.objects.pop(name, None)
        if item is not None:
            self.revision += 1
            self.events.append((self.revision, stored.ObjectChange(item, True)))

    def list(self):
        """Return the answer to a list request."""
        return stored.Listing(tuple(self.objects.values()), (), False, self.revision)

    def watch(self, revision):
        """Return the answer to a watch that ends at once."""
        changes = tuple(change for at, change in self.events if at > revision)
        return stored.Listing((), changes, False, self.revision)


def digest_of(copy):
    """Return what stands for the digest of a copy."""
    return repr(sorted(copy.revisions().items())).encode()


def poll(copy, relay):
    """Read through a relay, and ask for all objects if the copies differ afterwards."""
    read_through(copy, relay)
    if relays.needs_all(copy.revision, digest_of(copy), relay.revision, digest_of(relay)):
        delta = relay.since(0)
        copy.apply(mirrors.to_listing(delta, copy.names()), delta.full)


@then("a copy whose relay's watches withheld changes is equal after the relay's next list")
def step_withheld(context):
    """Let watches answer with a later revision and without their changes, then list."""
    for seed in range(200):
        rng, store = random.Random(seed), RecordedStore()
        relay, copy = mirrors.Mirror(), mirrors.Mirror()
        for number in range(8):
            store.write(f"object-{number}")
        relay.apply(store.list(), True)
        poll(copy, relay)
        for _ in range(rng.randrange(1, 6)):
            change_at_random(rng, store)
        relay.apply(stored.Listing((), (), False, store.revision), False)
        poll(copy, relay)
        relay.apply(store.list(), True)
        poll(copy, relay)
        expected = {name: item.revision for name, item in store.objects.items()}
        assert copy.revisions() == expected, seed


def change_at_random(rng, store):
    """Write or delete one of a few objects."""
    name = f"object-{rng.randrange(8)}"
    if rng.random() < 0.6:
        store.write(name)
    else:
        store.delete(name)


def read_through(copy, relay):
    """Apply what a relay has newer than the copy."""
    delta = relay.since(copy.revision)
    copy.apply(mirrors.to_listing(delta, copy.names()), delta.full)


def refresh(rng, relay, store):
    """Let a relay list or watch."""
    full = relay.revision == 0 or rng.random() < 0.2
    relay.apply(store.list() if full else store.watch(relay.revision), full)


@then("a copy that reads from relays at different revisions never goes back and ends up equal")
def step_copies_converge(context):
    """Check random orders of writes, deletions and reads through three relays."""
    for seed in range(400):
        rng, store = random.Random(seed), RecordedStore()
        relay_copies, copy = [mirrors.Mirror() for _ in range(3)], mirrors.Mirror()
        for _ in range(60):
            change_at_random(rng, store)
            refresh(rng, rng.choice(relay_copies), store)
            before = copy.revisions()
            read_through(copy, rng.choice(relay_copies))
            for name, revision in copy.revisions().items():
                assert revision >= before.get(name, 0), (seed, name)
        for relay in relay_copies:
            relay.apply(store.list(), True)
            read_through(copy, relay)
        expected = {name: item.revision for name, item in store.objects.items()}
        assert copy.revisions() == expected, seed


@then("a copy that is older than its relay's first list gets the names of what it has, no objects")
def step_names_only(context):
    """List 3,000 objects, then let a relay list after a few changes."""
    store, relay, copy = RecordedStore(), mirrors.Mirror(), mirrors.Mirror()
    for number in range(3000):
        store.write(f"object-{number}")
    copy.apply(store.list(), True)
    store.write("object-1")
    store.delete("object-2")
    relay.apply(store.list(), True)
    delta = relay.since(copy.revision)
    assert [item.name for item in delta.objects] == ["object-1"] and not delta.full
    read_through(copy, relay)
    assert copy.revisions() == relay.revisions() and len(copy.revisions()) == 2999


@then("after more deletions than are remembered the copy still ends up equal")
def step_many_deletions(context):
    """Delete more objects than a relay remembers, while the copy is behind."""
    store, relay, copy = RecordedStore(), mirrors.Mirror(), mirrors.Mirror()
    for number in range(mirrors.MAX_DELETIONS + 20):
        store.write(f"object-{number}")
    relay.apply(store.list(), True)
    read_through(copy, relay)
    for number in range(mirrors.MAX_DELETIONS + 10):
        store.delete(f"object-{number}")
        relay.apply(store.watch(relay.revision), False)
    read_through(copy, relay)
    assert copy.revisions() == relay.revisions() and len(copy.revisions()) == 10


@then("the gateway with the widest link is everybody's first choice and reads from the store")
def step_first_choice(context):
    """Check the first choice of each gateway."""
    choices = {peer.name: relay_data.rank_for(peer)[:1] for peer in relay_data.ZONE_PEERS}
    assert choices.pop("entry-9") == []
    assert set(map(tuple, choices.values())) == {("entry-9",)}, choices


@then("gateways of other zones and gateways that were not heard are no choice")
def step_no_choice(context):
    """Check that neither is ranked."""
    peers = [*relay_data.ZONE_PEERS, relay_data.make_peer("far", "giarre-d", 1000.0)]
    assert "far" not in relay_data.rank_for(
        relay_data.ZONE_PEERS[0], [*relay_data.NAMES, "far"], peers
    )
    assert "entry-9" not in relay_data.rank_for(
        relay_data.ZONE_PEERS[0], [name for name in relay_data.NAMES if name != "entry-9"]
    )


@then("reading through others never forms a loop")
def step_no_loop(context):
    """Check that of any two gateways at most one ranks before the other, whoever is heard."""
    rng = random.Random(1)
    for _ in range(100):
        before = {}
        for peer in relay_data.ZONE_PEERS:
            before[peer.name] = relay_data.rank_for(
                peer, rng.sample(relay_data.NAMES, rng.randrange(len(relay_data.NAMES)))
            )
        loops = [(a, b) for a, found in before.items() for b in found if a in before[b]]
        assert not loops, loops


@then("after one failure the next relay is chosen, and after two the store")
def step_failures(context):
    """Check the choices of the gateway that ranks last."""
    context.ranked = tuple(relay_data.make_peer(name) for name in ("first", "second", "third"))
    context.choice = relays.RelayChoice()
    assert context.choice.choose(context.ranked, 10.0).name == "first"
    context.choice.record_failure("first", 10.0)
    assert context.choice.choose(context.ranked, 10.1).name == "second"
    context.choice.record_failure("second", 10.2)
    assert context.choice.choose(context.ranked, 10.3) is None


@then("the first relay is chosen again later")
def step_chosen_again(context):
    """Check that a failure is forgotten."""
    later_s = 10.1 + relays.FAILURE_PAUSE_S
    assert context.choice.choose(context.ranked, later_s).name == "first"


@then("a view is doubted after half of the tightest bound, and bounds of 2 s allow no relay")
def step_view_age(context):
    """Check each bound that a change must keep."""
    wide = gatewaysettings.Bounds(config_apply_s=8.0, drain_s=8.0, evacuate_s=8.0, revoke_s=8.0)
    assert relays.max_view_age_s(wide) == 4.0
    for name in ("config_apply_s", "drain_s", "evacuate_s", "revoke_s"):
        assert relays.max_view_age_s(wide._replace(**{name: 3.0})) == 1.5, name
        assert relays.max_view_age_s(wide._replace(**{name: 2.0})) is None, name


@then("a gateway that the store answers does not read through a relay that the store refuses")
def step_refused_alone(context):
    """Check the only combination in which this gateway knows the store's state better."""
    found = [
        (relay_lost, watching, own_lost)
        for relay_lost in (False, True)
        for watching in (False, True)
        for own_lost in (False, True)
        if relays.is_refused_alone(relay_lost, watching, own_lost)
    ]
    assert found == [(True, True, False)], found


@then("the view of a relay that has lost the store is doubted after a fifth of the tightest bound")
def step_doubt_lost(context):
    """Check that the gateway asks the store itself long before the view is too old."""
    wide = gatewaysettings.Bounds(config_apply_s=8.0, drain_s=8.0, evacuate_s=8.0, revoke_s=8.0)
    for name in ("config_apply_s", "drain_s", "evacuate_s", "revoke_s"):
        bounds = wide._replace(**{name: 3.0})
        assert abs(relays.doubt_age_s(bounds, True) - 0.6) < 1e-9, name
        assert relays.doubt_age_s(bounds, False) == relays.max_view_age_s(bounds), name
