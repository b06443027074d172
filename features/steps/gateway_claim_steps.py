"""Steps on what a gateway takes for an answer of the store, the platform or another gateway."""

import asyncio
import contextlib
import json
import random
import time
import types

from behave import given, then, when
from support.platform import copyingserver
from support.platform import store as standin

from berylrock.core import duties, errors, metrics
from berylrock.daemons.gateway import peermessages, reporting, usagelink
from berylrock.ops import dutybook, freshness, usage
from berylrock.platform import dutyobjects, names, provider, store

CFG = duties.DutySettings(("127.0.0.1", 1), True, 50.0, 3.0, 5.0, 10.0)
KINDS = ("config", "servers")
# Longest wait of a watch, in seconds.
WAIT_S = 0.3
# Time between two renewals of a duty, in seconds.
RENEWAL_PAUSE_S = 0.6


class CountingReceiver:
    """The other gateway: takes counts, and answers late."""

    def __init__(self, delay_s):
        self.ledger = usage.UsageLedger(CFG.window_s)
        self._delay_s = delay_s

    async def start(self):
        """Start listening; returns the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            while True:
                found = await peermessages.receive(reader, usagelink.UsageMessage, 1_000_000)
                windows = tuple(duties.WindowCounts(*item) for item in found.windows)
                source = duties.Holder(found.gateway, found.process)
                self.ledger.merge(usage.UsageReport(source, found.until_s, windows))
                await asyncio.sleep(self._delay_s)
                await peermessages.send(writer, usagelink.UsageAnswer(0))
        except (OSError, asyncio.IncompleteReadError):
            writer.transport.abort()


def make_gateway(port):
    """Return what a sender of counts needs, with another gateway at this port."""
    return types.SimpleNamespace(
        cfg=types.SimpleNamespace(address="127.0.0.1", usage_port=port),
        peers={"g2": (types.SimpleNamespace(address="127.0.0.1"), 0.0)},
        gateways_heard=lambda: ("g2",),
        gateway_count=lambda: 2,
        meter=metrics.Metrics("", "test"),
        log=types.SimpleNamespace(write=lambda name, **fields: None),
    )


@given("a gateway whose counts go to another one that answers after {delay_s:g} s")
def step_counting(context, delay_s):
    """Keep the other gateway."""
    context.receiver = CountingReceiver(delay_s)


@when("it sends its counts, counts {count:d} more requests and sends them before the answer")
def step_two_sends(context, count):
    """Let the second send meet the first one."""

    async def play():
        ctx = make_gateway(await context.receiver.start())
        book = dutybook.DutyBook(CFG, duties.Holder("g1", 1))
        now = asyncio.get_running_loop().time()
        book.adopt(duties.Announcement("g2", 1, now, 0))
        sender = usagelink.UsageSender(ctx, book)
        book.counter.record("one", time.time())
        first = asyncio.create_task(sender.send_all())
        await asyncio.sleep(copyingserver.ANSWER_DELAY_S)
        for _ in range(count):
            book.counter.record("one", time.time())
        context.results = await asyncio.gather(sender.send_all(), first, return_exceptions=True)
        sender.close()
        context.failed_sends = ctx.meter.counts.get("usage_sends_failed", 0)

    context.expected = count + 1
    asyncio.run(play())


@then("the other gateway has got all its counts, and no send has failed")
def step_all_counts(context):
    """Check the sums over the windows."""
    assert context.results == [None, None], context.results
    assert not context.failed_sends, context.failed_sends
    window = usage.find_window(time.time(), CFG.window_s)
    ledger = context.receiver.ledger
    found = sum(ledger.sum(item).get("one", 0) for item in (window - 1, window))
    assert found == context.expected, found


@given("a store that writes each answer once more when the next call comes")
def step_copying_store(context):
    """Keep a store with one object of each kind."""
    context.store = standin.StandInStore()


async def open_store(context):
    """Start the store behind a server that copies; returns a client of it."""
    await context.store.start()
    for kind in KINDS:
        await context.store.put(kind, f"of-{kind}", {})

    async def handle(method, target, headers, body):
        status, found = await context.store._handle(method, target, body)
        return status, {"Store-Era": 1}, json.dumps(found).encode()

    copying = copyingserver.CopyingServer(handle)
    await copying.start()
    return store.Store(("127.0.0.1", copying.port))


@when('the list of "{first}" is read, and then that of "{second}"')
def step_lists(context, first, second):
    """Read them one after the other."""

    async def play():
        client = await open_store(context)
        context.listed = {}
        for kind in (first, second):
            context.listed[kind] = [item.name for item in (await client.list(kind)).objects]
        client.close()

    asyncio.run(play())


@then("each has its own objects")
def step_own_objects(context):
    """Check the names."""
    assert context.listed == {kind: [f"of-{kind}"] for kind in context.listed}, context.listed


@when('the changes of "{kind}" are watched twice')
def step_watches(context, kind):
    """Remove the object, and watch from before that and then from after it."""

    async def play():
        client = await open_store(context)
        revision = (await client.list(kind)).revision
        client.close()
        await context.store.remove(kind, f"of-{kind}")
        first = await client.watch(kind, revision, WAIT_S)
        assert [item.deleted for item in first.changes] == [True], first
        try:
            context.second = await client.watch(kind, first.revision, WAIT_S)
        except errors.StoreUnavailable:
            context.second = None
        client.close()

    asyncio.run(play())


@then("the second watch has no changes of the first one, or no answer")
def step_no_changes(context):
    """Check it."""
    assert context.second is None or not context.second.changes, context.second


@when('"{kind}" is watched twice, {what:w} changes, and then listed twice')
def step_watches_and_lists(context, kind, what):
    """Keep the lists that are read right after the second watch."""

    async def play():
        client = await open_store(context)
        revision = (await client.list(kind)).revision
        client.close()
        if what == "with":
            await context.store.put(kind, "new", {})
        first = await client.watch(kind, revision, WAIT_S)
        with contextlib.suppress(errors.StoreUnavailable):
            await client.watch(kind, first.revision, WAIT_S)
        context.listings = []
        with contextlib.suppress(errors.StoreUnavailable):
            context.listings.append(await client.list(kind))
        context.listings.append(await client.list(kind))
        client.close()

    asyncio.run(play())


@then("each list has the object that is there, and the second one is no failure")
def step_lists_are_whole(context):
    """Check them; a failure of the second list has ended the step before."""
    for found in context.listings:
        assert "of-servers" in [item.name for item in found.objects], found


@given("two stores, and a client with a kept connection to the first one")
def step_two_stores(context):
    """Keep the stores."""
    context.stores = [standin.StandInStore(), standin.StandInStore()]


@when("the address of the second one is set, and an object is read")
def step_address(context):
    """Read an object before and after."""

    async def play():
        first, second = context.stores
        await first.start()
        await second.start()
        client = store.Store(("127.0.0.1", first.port))
        await client.get("config", "main")
        client.address = ("127.0.0.1", second.port)
        await client.get("config", "main")
        client.close()

    asyncio.run(play())


@then("the second one has got the call")
def step_second_called(context):
    """Check who was asked."""
    assert [len(item.calls) for item in context.stores] == [1, 1], context.stores[0].calls


@given(
    "a service for reports that writes each answer once more when the next call comes,"
    " and then refuses it"
)
def step_copying_service(context):
    """Keep the service, which takes the first report alone."""
    context.windows = []

    async def handle(method, target, headers, body):
        context.windows.append(json.loads(body)["window-id"])
        return (200 if len(context.windows) == 1 else 429), {}, b"{}"

    context.service = copyingserver.CopyingServer(handle)


@when("two windows are reported")
def step_reports(context):
    """Report them one after the other."""

    async def play():
        await context.service.start()
        client = provider.Provider(("127.0.0.1", context.service.port))
        context.outcomes = []
        for window in (1, 2):
            counts = duties.WindowCounts(window, {"one": 1})
            try:
                await client.report_usage(duties.Claim("g1", 1), counts, 1.0)
                context.outcomes.append("accepted")
            except errors.StoreUnavailable:
                context.outcomes.append("unknown")
        await asyncio.sleep(2 * copyingserver.ANSWER_DELAY_S)
        client.close()

    asyncio.run(play())


@then("the second report is not taken for accepted")
def step_not_accepted(context):
    """Check both."""
    assert context.windows == [1, 2], context.windows
    assert context.outcomes == ["accepted", "unknown"], context.outcomes


@when("a gateway renews the duty, another one takes it over, and the first one renews again")
def step_renewals(context):
    """Let the second renewal meet the copy of the answer to the first one."""

    async def play():
        client = await open_store(context)
        ctx = make_gateway(0)
        ctx.store, ctx.rng = client, random.Random(1)
        own, other = duties.Holder("g1", 1), duties.Holder("g3", 3)
        reporter = reporting.UsageReporter(ctx, dutybook.DutyBook(CFG, own))
        path = names.DUTIES_KIND, names.USAGE_DUTY
        record = duties.DutyRecord(own, (1 << 20) + 1, 0)
        await context.store.put(*path, dutyobjects.encode_duty(record))
        known = await client.get(*path)
        client.close()
        reporter._lease.record_written(record, known.revision, freshness.boottime_clock())
        await reporter._hold()
        await asyncio.sleep(RENEWAL_PAUSE_S)
        taken = record._replace(holder=other, token=record.token + 1)
        await context.store.put(*path, dutyobjects.encode_duty(taken))
        await reporter._hold()
        now = freshness.boottime_clock()
        context.holds = [reporter._lease.holds(now, item) for item in (1.5, 2.2)]
        reporter.close()
        client.close()

    asyncio.run(play())


@then("the first one holds the duty no longer than by its first renewal")
def step_not_renewed(context):
    """Check its lease, of which 85 % count: 2.55 s from the first renewal."""
    assert context.holds[1] is False, context.holds
