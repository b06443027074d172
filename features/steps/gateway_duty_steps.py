"""Steps on the duty that one gateway at a time has: to report the usage of all."""

import pathlib
import random
import signal
import time

import msgspec
from behave import given, then, when
from support import dutysim
from support.platform import dutyfleet, gatewayprocess

from berylrock.core import duties
from berylrock.daemons.gateway import gossipmessage
from berylrock.ops import dutylease, usage, usagereport
from berylrock.platform import settings

CFG = duties.DutySettings(("127.0.0.1", 1), True, 50.0, 3.0, 5.0, 10.0)
WINDOW, END_S = 100, 101 * 5.0


@then("over {count:d} random histories no two gateways hold the duty at the same time")
def step_histories(context, count):
    """Play them, and keep what the gateways did."""
    context.plays = [dutysim.play(seed) for seed in range(count)]
    assert sum(bool(acts) for acts in context.plays) > 0.9 * count
    assert any(len({name for _, name, _ in acts}) > 1 for acts in context.plays)
    found = [fault for acts in context.plays for fault in dutysim.find_faults(acts)]
    assert not found, found[:5]


@then("no token is used by two of them, and none is lower than one before")
def step_tokens(context):
    """Check that tokens grow with each new holder."""
    for acts in context.plays:
        tokens = [token for _, _, token in acts]
        assert tokens == sorted(tokens)


@then(
    "over {count:d} random histories with a restored store no token is used again and no two"
    " gateways act"
)
def step_restored_histories(context, count):
    """Play histories in which the store comes back from older copies."""
    for seed in range(count):
        found = dutysim.find_faults(dutysim.play(seed, restores=True))
        assert not found, (seed, found[:5])


@given("a record that its holder was heard to renew {ago_s:g} s ago, and a lease of {lease_s:g} s")
def step_heard_record(context, ago_s, lease_s):
    """Make another gateway's view of it."""
    context.ago_s, context.now = ago_s, 100.0
    context.record = duties.DutyRecord(duties.Holder("g1", 1), 1, WINDOW)
    context.lease = dutylease.DutyLease(duties.Holder("g2", 1), lease_s)


@then("a gateway that reads this very record may claim the duty at once")
def step_claim_at_once(context):
    """Nobody has written since."""
    context.lease.observe(context.record, 7, 0, context.now - context.ago_s)
    assert context.lease.may_write(context.now)
    assert context.lease.next_record().token > context.record.token


@then("one that reads a later record waits for a lease")
def step_claim_later(context):
    """The holder may have renewed it unheard."""
    context.lease.observe(context.record, 8, 0, context.now)
    assert not context.lease.may_write(context.now + 2.9)
    assert context.lease.may_write(context.now + 3.0)


@then("the sums by window and organisation equal what began, whatever is repeated or crossed")
def step_sums(context):
    """Merge the reports of 300 gateways in random order, some of them several times."""
    rng = random.Random(5)
    ledger, truth, reports = usage.UsageLedger(5.0), {}, []
    for number in range(300):
        counter = usage.UsageCounter(duties.Holder(f"g{number}", number), 5.0)
        for _ in range(rng.randint(0, 40)):
            organisation, at = f"o{rng.randrange(24)}", rng.uniform(500.0, 520.0)
            counter.record(organisation, at)
            key = (usage.find_window(at, 5.0), organisation)
            truth[key] = truth.get(key, 0) + 1
            if rng.random() < 0.1:
                reports.append(counter.make_report(at, {}))
        reports.append(counter.make_report(520.0, {}))
    for report in rng.sample(reports, len(reports)) + rng.sample(reports, 200):
        ledger.merge(report)
    found = {
        (window, organisation): count
        for window in range(100, 104)
        for organisation, count in ledger.sum(window).items()
    }
    assert found == truth


def make_ledger(until_s):
    """Return a ledger with the counts of some gateways, which are complete up to these times."""
    ledger = usage.UsageLedger(CFG.window_s)
    for name, until in until_s.items():
        counts = duties.WindowCounts(WINDOW, {"one": 3})
        ledger.merge(usage.UsageReport(duties.Holder(name, 1), until, (counts,)))
    return ledger


def fix(ledger, wall_s, gateways, record=None, held_s=60.0):
    """Return the record after windows were fixed at a time."""
    start = duties.DutyRecord(duties.Holder("g1", 1), 1, WINDOW)
    moment = usagereport.Moment(wall_s, gateways, held_s)
    return usagereport.fix_windows(record or start, ledger, CFG, moment)


@then("its window is fixed before its report is due, with what the killed gateway had sent")
def step_killed(context):
    """Let one of three gateways fall silent in the middle of the window."""
    ledger = make_ledger({"g1": END_S + 0.5, "g2": END_S + 0.5, "g3": END_S - 2.0})
    still_heard = fix(ledger, END_S + 1.0, ("g1", "g2", "g3"))
    assert not still_heard.unreported, still_heard
    lost = fix(ledger, END_S + 1.0, ("g1", "g2"))
    assert lost.unreported == (duties.WindowCounts(WINDOW, {"one": 9}),), lost
    late = fix(ledger, END_S + 0.6 * CFG.report_delay_s, ("g1", "g2", "g3"))
    assert late.unreported == lost.unreported, late


@then("a window whose gateways have all sent their counts is fixed at once")
def step_complete(context):
    """Nobody waits for more."""
    ledger = make_ledger({"g1": END_S + 0.1, "g2": END_S + 0.1})
    found = fix(ledger, END_S + 0.4, ("g1", "g2"))
    assert found.next_window == WINDOW + 1, found


@then("a third gateway that takes the duty gets the counts of a killed one from whoever has them")
def step_hand_over(context):
    """Let g3 be killed after it had sent its counts to g2 alone, and g1 take the duty."""
    deputy = make_ledger({"g1": END_S, "g2": END_S, "g3": END_S - 2.0})
    holder = make_ledger({"g1": END_S + 0.1})
    own = duties.Holder("g2", 1)
    counts = duties.WindowCounts(WINDOW, {"one": 3})
    holder.merge(usage.UsageReport(own, END_S + 0.1, (counts,)))
    for report in deputy.hand_over(own):
        assert report.source != own
        holder.merge(report)
    found = fix(holder, END_S + 1.0, ("g1", "g2"))
    assert found.unreported == (duties.WindowCounts(WINDOW, {"one": 9}),), found


@then("a gateway that has just taken the duty waits for counts that were sent to others")
def step_settle(context):
    """Let a window be overdue, and the counts of one gateway arrive only now."""
    ledger = make_ledger({"g1": END_S + 8.0})
    late_s = END_S + 0.8 * CFG.report_delay_s
    assert not fix(ledger, late_s, ("g1", "g2"), held_s=0.3).unreported
    counts = duties.WindowCounts(WINDOW, {"one": 4})
    ledger.merge(usage.UsageReport(duties.Holder("g2", 1), END_S + 8.1, (counts,)))
    found = fix(ledger, late_s + 0.2, ("g1", "g2"), held_s=0.5).unreported
    assert found[0] == duties.WindowCounts(WINDOW, {"one": 7}), found
    alone = make_ledger({"g1": END_S + 8.0})
    assert fix(alone, late_s, ("g1", "g2"), held_s=usagereport.SETTLE_S).unreported


@then("no window is fixed twice, and windows of an outage are made up, the oldest first")
def step_made_up(context):
    """Fix windows again and again after the store was away for ten of them."""
    ledger = usage.UsageLedger(CFG.window_s)
    counts = tuple(duties.WindowCounts(WINDOW + n, {"one": n + 1}) for n in range(10))
    ledger.merge(usage.UsageReport(duties.Holder("g1", 1), END_S + 60.0, counts))
    record = None
    for _ in range(5):
        record = fix(ledger, END_S + 60.0, ("g1",), record)
    windows = [item.window for item in record.unreported]
    assert windows == sorted(set(windows)) and windows[:10] == [item.window for item in counts]
    assert [item.counts["one"] for item in record.unreported[:10]] == list(range(1, 11))


@then("each of these settings is reported with its remedy, and the gateway starts")
def step_settings(context):
    """Read settings files with each of them."""
    for row in context.table:
        table = row["table"].replace("\\n", "\n")
        more = gatewayprocess.MoreSettings(1, row["bounds"], f"[provider]\n{table}")
        folder = pathlib.Path(context.root)
        gatewayprocess.GatewayProcess(folder, "g1", "127.0.0.1", 1, 5000, 4, more=more)
        cfg = settings.load(str(folder / "g1.toml"))
        assert len(cfg.faults) == 1, cfg.faults
        assert row["fault"] in cfg.faults[0], cfg.faults
        assert cfg.duty_cfg is None or not cfg.duty_cfg.reports_usage or "counting" in table


@then("settings without duties lead to datagrams without a word on them")
def step_no_word(context):
    """Compare the number of fields."""
    fields = len(
        msgspec.msgpack.decode(msgspec.msgpack.encode(gossipmessage.GossipMessage("g", [], [])))
    )
    more = msgspec.msgpack.encode(gossipmessage.DutyGossipMessage("g", [], []))
    assert fields + 1 == len(msgspec.msgpack.decode(more))


@given("three gateways whose usage is reported")
def step_duty_fleet(context):
    """Start them, and wait until one of them reports."""
    running = dutyfleet.DutyFleet(context.root)
    context.cleanups.append(running.stop)
    running.start_all()
    context.running, context.excused = running, []
    running.wait_holder()


@when("{count:d} reads are sent to all of them")
def step_reads(context, count):
    """Send reads to the gateways in turns."""
    context.running.send_reads(count)


@when("{count:d} reads are sent to the others")
def step_reads_to_others(context, count):
    """Send reads to those that were not killed, suspended or cut off."""
    names = [name for name in context.running.gateways if name != context.lost]
    context.running.send_reads(count, names)


@when("the gateway that reports is killed")
def step_kill_holder(context):
    """Send it SIGKILL, after the others have its counts."""
    time.sleep(0.7)
    context.lost = context.running.holder()
    context.running.gateways[context.lost].stop()


@when("the gateway that reports is killed once it has tried")
def step_kill_trying(context):
    """Wait until its report of the reads has arrived."""
    running = context.running
    running.wait(
        lambda: any(sum(item.counts.values()) for item in running.provider.reports),
        "a report of the reads was tried",
    )
    # The others learn meanwhile that the window is fixed.
    time.sleep(0.5)
    context.lost = running.holder()
    running.gateways[context.lost].stop()
    context.tried = [item for item in running.provider.reports if sum(item.counts.values())]


@when("the gateway that reports is suspended until another one reports")
def step_suspend_holder(context):
    """Stop its process, wait for a successor, and let it go on in the middle of its work."""
    running = context.running
    context.lost = running.holder()
    process = running.gateways[context.lost].popen
    process.send_signal(signal.SIGSTOP)
    running.wait_holder(but=context.lost)
    process.send_signal(signal.SIGCONT)
    # Calls of a VM that has just woken do not count.
    context.excused.append((time.monotonic(), time.monotonic() + 0.3))


@when("the gateway that reports is cut off from the store")
def step_cut_holder(context):
    """Reset its connections to the store."""
    running = context.running
    time.sleep(0.7)
    context.lost = running.holder()
    path = running.store_proxies[context.lost]
    path.refusing = True
    path.reset()


@when('the service that takes reports is "{mode}"')
def step_mode(context, mode):
    """Set its fault."""
    context.running.provider.mode = mode


@when('the service that takes reports is "{mode}" for {seconds:g} s while {count:d} reads are sent')
def step_mode_for(context, mode, seconds, count):
    """Set its fault for a time."""
    context.running.provider.mode = mode
    context.running.send_reads(count)
    time.sleep(seconds)
    context.running.provider.mode = "up"


@when("the store is away for {seconds:g} s while {count:d} reads are sent")
def step_store_away(context, seconds, count):
    """Let the store refuse all calls."""
    running = context.running
    running.thread.run(running.store.set_mode("busy"))
    running.send_reads(count)
    time.sleep(seconds)
    running.thread.run(running.store.set_mode("up"))


@when("the store comes back from a copy that another gateway's duty is older than")
def step_restore(context):
    """Take a copy once all is reported, let the duty change hands, and come back from the copy."""
    running = context.running
    running.wait_total(running.sent)
    copy = running.store.take_copy()
    context.lost = running.holder()
    running.gateways[context.lost].stop()
    running.wait_holder(but=context.lost)
    running.thread.run(running.store.restore(copy))
    running.gateways[context.lost].start()
    running.wait_ready()


@then("{count:d} requests are reported, each window once, by one gateway")
def step_reported_once(context, count):
    """Wait for the reports."""
    running = context.running
    running.wait_total(count)
    assert all(len(found) == 1 for found in running.accepted().values()), running.accepted()
    assert len({item.sender for item in running.provider.reports}) == 1


@then("{count:d} requests are reported, and no rule on duties is broken")
def step_reported(context, count):
    """Wait for the reports, and check them all."""
    context.running.wait_total(count)
    check_breaches(context)
    assert context.running.total() == count, context.running.accepted()


def check_breaches(context):
    """Check all reports against the rules on duties."""
    reports = context.running.provider.reports
    found = dutyfleet.find_breaches(reports, dutyfleet.LEASE_S, context.excused)
    assert not found, found


@then("another gateway reports, and no rule on duties is broken")
def step_other_reports(context):
    """Wait for a report of another one."""
    context.running.wait_holder(but=context.lost)
    check_breaches(context)


@then("at least {count:d} requests are reported")
def step_at_least(context, count):
    """Wait for the reports."""
    context.running.wait_total(count)


@then("another gateway repeats exactly what the killed one tried")
def step_repeats(context):
    """Compare the accepted counts of each window with those that were tried."""
    running = context.running
    windows = {item.window: item.counts for item in context.tried}
    running.wait(lambda: windows.keys() <= running.accepted().keys(), "the windows are reported")
    for window, counts in windows.items():
        assert running.accepted()[window][0] == counts, (window, counts, running.accepted()[window])
    check_breaches(context)
