"""Steps on revisions of several eras of the store, with its client and without a gateway."""

import asyncio

from behave import given, then
from support.platform import loop, store

from berylrock.core import errors, stored
from berylrock.ops import mirrors
from berylrock.platform import store as client

KIND = "gateways"
CLOSING_S = 0.05


@given("a stand-in store that has come back from a copy and has used its revisions again")
def step_restored(context):
    """Write after the copy, list, come back, and write as often as before."""
    context.loop = loop.LoopThread()
    context.cleanups.append(lambda: close(context))
    stand_in = context.store = store.StandInStore()
    run = context.loop.run
    run(stand_in.start())
    context.client = client.Store(("127.0.0.1", stand_in.port))
    run(stand_in.put(KIND, "kept", {"text": "copied"}))
    copy = stand_in.take_copy()
    run(stand_in.put(KIND, "kept", {"text": "changed"}))
    run(stand_in.put(KIND, "lost", {}))
    context.before = run(context.client.list(KIND))
    run(stand_in.restore(copy))
    for number in range(2):
        run(stand_in.put("other", f"item-{number}", {}))
    context.after = run(context.client.list(KIND))


def close(context):
    """Close all connections while the loop runs, and then the loop."""

    context.loop.call(context.client.close)
    context.loop.run(asyncio.sleep(CLOSING_S))
    context.loop.stop()


def number_of(listing):
    """Return the store's counter in a list."""
    return stored.find_number(listing.revision)


@then("a watch from a revision before that is answered as if its history were gone")
def step_watch_gone(context):
    """Watch from both lists; they have the same number."""
    assert number_of(context.before) == number_of(context.after)
    for item in (client.Store(context.client.address), context.client):
        try:
            context.loop.run(item.watch(KIND, context.before.revision, 0.1))
        except client.HistoryGone:
            item.close()
            continue
        raise AssertionError("the watch went on")
    assert not context.loop.run(context.client.watch(KIND, context.after.revision, 0.1)).changes


@then("a write on condition of a revision before that conflicts, and changes nothing")
def step_write_conflicts(context):
    """Write an object whose revision is that of another change now."""
    known = next(item for item in context.before.objects if item.name == "kept")
    calls = len(context.store.calls)
    try:
        context.loop.run(context.client.replace(KIND, "kept", {}, known.revision))
    except errors.Conflict:
        assert len(context.store.calls) == calls
        return
    raise AssertionError("the write was made")


@then("a list that was answered before that is older than one after it")
def step_order(context):
    """Apply them in the wrong order."""
    mirror = mirrors.Mirror()
    assert mirror.apply(context.after, True)
    assert not mirror.apply(context.before, True)


@then("a gateway that reads through another one gets what the copy changed, also what it lacks")
def step_relayed(context):
    """Let one copy follow another across the two lists."""
    relay, follower = mirrors.Mirror(), mirrors.Mirror()
    relay.apply(context.before, True)
    follower.apply(context.before, True)
    relay.apply(context.after, True)
    delta = relay.since(follower.revision)
    follower.apply(mirrors.to_listing(delta, follower.names()), delta.full)
    assert follower.revisions() == relay.revisions()
    assert follower.names() == ("kept",)
