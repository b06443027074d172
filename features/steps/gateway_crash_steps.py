"""Steps on what crashes engines, without a process or a network.

Load pattern: requests on one route share their first part, some share a second one, and each has a
part of its own; one second part, or one request, crashes each engine that answers it.
"""

from behave import given, then
from support import crashsim

from berylrock.core import routing
from berylrock.ops import crashblame, crashlog, enginestate, soundness

FIRST, BAD, SOUND = "first", "bad", "sound"
REQUEST = f"request:{1:012x}"
FLEET, GATEWAYS = 9, 4
RUN_S = 0.5
SIMULATED_SEEDS, SIMULATED_S = range(8), 60.0
# The share of the requests that crash nothing which may be refused, and of those in vain.
MAX_REFUSED_SHARE = 0.02


def make_engine(number):
    """Return an engine's record."""
    return routing.Engine(f"engine-{number}", "s", ("h", 1), "z", "v", 8, False, 0.0, 1)


def make_broken(request, *parts, at=0.0, run_s=RUN_S):
    """Return a request that broke off when its engine crashed, some time after it was sent."""
    return enginestate.BrokenRequest(f"{request:012x}", parts, at, at - run_s)


def crash(blame, number, requests, at=None):
    """Let an engine crash with requests, given as pairs of a number and a second part."""
    at = float(number) if at is None else at
    for _, part in requests:
        blame.rates.record((FIRST, part), at - RUN_S)
    broken = [make_broken(request, FIRST, part, at=at) for request, part in requests]
    blame.record_crash(make_engine(number), FLEET, broken, at)


def answer(blame, *parts, at, request=0xFFFF, engine=99):
    """Let an engine answer a request completely, and live on; returns what that clears."""
    run = soundness.Run(f"engine-{engine}", at - RUN_S, at - RUN_S / 2)
    blame.soundness.record_ended(soundness.EndedRun(run, f"{request:012x}", parts, True), at)
    later = at + 1.1 * soundness.SETTLING_S
    return blame.settle(later, int(later * 1000))


def decide(blame, at=10.0):
    """Return the suspects that are blamed now."""
    return [item.suspect for item in blame.decide(GATEWAYS, at, int(at * 1000))]


@then("the part in the requests of 3 crashes is blamed, whichever gateway saw each of them")
def step_shared_part(context):
    """Check a gateway that saw one crash and hears of two others, one of them twice."""
    blame, other = crashblame.CrashBlame(), crashblame.CrashBlame()
    answer(blame, FIRST, at=0.0)
    crash(blame, 1, [(1, BAD), (2, "x")])
    assert not decide(blame, 1.5)
    crash(other, 2, [(3, BAD)])
    crash(other, 3, [(4, BAD), (5, "y")])
    for _ in range(2):
        blame.record_reports(other.take_reports(), 3.1)
    assert decide(blame) == [BAD]
    assert blame.find_blamed((FIRST, BAD), "1") == (BAD,)
    assert not blame.find_blamed((FIRST, "x"), "1")


@then("the first part of all prompts is not, even if no answer has been complete")
def step_first_part(context):
    """Check crashes right after the start, with the first part in more requests."""
    blame = crashblame.CrashBlame()
    for number in range(1, 6):
        crash(blame, number, [(number, BAD), (10 + number, f"x{number}")])
    assert decide(blame) == [BAD]
    assert not blame.is_blamed(FIRST)


@then("one request that comes again is blamed, and no part of its prompt")
def step_one_request(context):
    """Check the attempts of one request, which explains the crashes by itself."""
    blame = crashblame.CrashBlame()
    answer(blame, FIRST, at=0.0)
    for number in range(1, 6):
        crash(blame, number, [(1, "rare"), (10 + number, "rare")])
    assert decide(blame) == [REQUEST]


@then("a request with a complete answer since is not blamed")
def step_innocent_request(context):
    """Check a read that happened to run at engines that crashed, and is answered elsewhere."""
    blame, other = crashblame.CrashBlame(), crashblame.CrashBlame()
    for number in range(1, 10):
        at = 3.0 * number
        blame.record_crash(make_engine(number), FLEET, [make_broken(1, at=at)], at)
        other.record_reports(blame.take_reports(), at + 0.1)
        answer(other, at=at + 1.5, request=1)
        blame.hear_sound(other.soundness.take_news(at + 2.2), at + 2.2)
        assert not decide(blame, at + 2.5)


@then("the parts and requests of three crashes by chance are not told to others for ever")
def step_bounded(context):
    """Check what a gateway keeps and writes after thousands of requests at crashed engines."""
    blame = crashblame.CrashBlame()
    for number in range(2000):
        at = 1.0 * number
        broken = [make_broken(10 * number + item, at=at) for item in range(8)]
        blame.record_crash(make_engine(number), FLEET, broken, at)
        blame.settle(at, 0)
        blame.decide(GATEWAYS, at, 0)
    assert len(blame.decisions()) <= crashblame.MAX_DECISIONS
    assert len(blame._log.crashes_between("s", 0.0, 2000.0)) <= crashlog.MAX_CRASHES


@then("a part with a complete answer since is not blamed")
def step_innocent(context):
    """Check an answer after the first crashes, and one that another gateway knows of."""
    blame, other = crashblame.CrashBlame(), crashblame.CrashBlame()
    for item in (blame, other):
        for number in range(1, 4):
            crash(item, number, [(number, SOUND)])
    answer(blame, FIRST, SOUND, at=3.5)
    assert not decide(blame)
    other.hear_sound(blame.soundness.take_news(4.2), 4.2)
    assert not decide(other)


@then("one whose engine crashes right after a complete answer is blamed all the same")
def step_crash_after_answer(context):
    """Check engines that crash as they end their answers, with nothing else to do."""
    blame = crashblame.CrashBlame()
    answer(blame, FIRST, at=0.0)
    for number in range(1, 6):
        at = 3.0 * number
        run = soundness.Run(f"engine-{number}", at - RUN_S, at - RUN_S)
        item = soundness.EndedRun(run, f"{number:012x}", (FIRST, BAD), True)
        blame.soundness.record_ended(item, at)
        sound = make_broken(100 + number, FIRST, f"x{number}", at=at + 0.05)
        blame.record_crash(make_engine(number), FLEET, [sound], at + 0.05)
        blame.settle(at + 1.0, 0)
    assert decide(blame, 20.0) == [BAD]


@then("each crash counts of an engine that is back under its id at once")
def step_back_at_once(context):
    """Check one engine and two gateways, whose reports of the earlier crash come late."""
    blame, other = crashblame.CrashBlame(), crashblame.CrashBlame()
    for number in range(1, 4):
        broken = [make_broken(number, FIRST, BAD, at=number, run_s=0.1)]
        blame.record_crash(make_engine(1), FLEET, broken, float(number))
        at = number + 0.02
        late = [make_broken(10 + number, FIRST, f"x{number}", at=at, run_s=0.9)]
        other.record_crash(make_engine(1), FLEET, late, at)
    blame.record_reports(other.take_reports(), 3.1)
    assert [item.crashes for item in blame.decide(GATEWAYS, 4.0, 4000)] == [3]


def crash_once_sound(blame, count, innocent):
    """Let engines crash on a part that was sound until now; the last crash is not decided on yet.

    Args:
      blame: The crashes as known to a gateway.
      count: Number of crashes.
      innocent: Parts on which engines complete other answers between the crashes.
    """
    answer(blame, FIRST, BAD, at=0.5)
    for number in range(1, count + 1):
        at = 3.0 * number
        assert not decide(blame, at), number
        crash(blame, number, [(number, BAD)], at)
        answer(blame, *innocent, at=at + 0.5)


@then("a part that turns bad is blamed after {count:d} crashes")
def step_turned_bad(context, count):
    """Check a part in requests whose other parts are answered beside them, and one alone."""
    for innocent in ((FIRST, "other"), ("other",)):
        blame = crashblame.CrashBlame()
        crash_once_sound(blame, count, innocent)
        assert decide(blame, 40.0) == [BAD]


@then("a part that has just been sound is blamed if it has crashed engines since")
def step_adopted_since(context):
    """Check two gateways that had answers on the part, until one of them sees it crash engines."""
    blame, other = crashblame.CrashBlame(), crashblame.CrashBlame()
    answer(other, FIRST, BAD, at=0.5)
    crash_once_sound(blame, 5, (FIRST, "other"))
    assert decide(blame, 16.0) == [BAD]
    other.record_reports(blame.take_reports(), 16.1)
    (found,) = blame.decisions()
    assert other.adopt(found, 16.1)
    assert other.is_blamed(BAD)


@then("a part is blamed however far the answers had got when their engines crashed")
def step_begun(context):
    """Check streams that were cut soon after they were sent, or much later."""
    for run_s in (0.01, 0.5, 3.0):
        blame = crashblame.CrashBlame()
        answer(blame, FIRST, at=0.0)
        for number in range(1, 6):
            at = 3.0 * number
            broken = [make_broken(number, FIRST, BAD, at=at, run_s=run_s)]
            blame.record_crash(make_engine(number), FLEET, broken, at)
            answer(blame, FIRST, at=at + 1.0)
        assert decide(blame, 20.0) == [BAD]


@then("a part that another gateway clears is not blamed for the same crashes again")
def step_cleared(context):
    """Check a gateway that has decided on crashes which another one knows to be no fault."""
    blame = crashblame.CrashBlame()
    answer(blame, FIRST, at=0.0)
    for number in range(1, 4):
        crash(blame, number, [(number, SOUND)])
    assert decide(blame, 4.0) == [SOUND]
    assert blame.adopt(routing.Blame(SOUND, False, 4001), 4.1)
    crash(blame, 4, [(4, SOUND)], 4.2)
    assert not decide(blame, 5.0)


@then("where the crashes go on without a blamed part, the next likely one is blamed for all")
def step_wrong_blame(context):
    """Check a sound part that was at each crash at first, and is not any more."""
    blame = crashblame.CrashBlame()
    answer(blame, FIRST, at=0.0)
    for number in range(1, 4):
        crash(blame, number, [(number, BAD), (10 + number, SOUND)])
    blame.adopt(routing.Blame(SOUND, True, 3100), 3.1)
    assert not decide(blame, 4.0)
    crash(blame, 5, [(5, BAD)])
    assert decide(blame, 6.0) == [BAD]


@then("{gateways:d} gateways that report the crashes of a zone again and again cost little")
def step_many_reports(context, gateways):
    """Check what is kept, and that known reports lead to no further decision."""
    blame = crashblame.CrashBlame()
    reports = [
        crashlog.CrashReport(
            f"engine-{(gateway * 10 + item) % 155}",
            f"{gateway}-{item}",
            (FIRST, "x"),
            *(1.0, 0.5, "s", 2800),
        )
        for gateway in range(gateways)
        for item in range(10)
    ]
    blame.record_reports(reports, 1.2)
    assert not decide(blame, 2.0)
    crashes = blame._log.crashes_between("s", 0.0, 2.0)
    assert len(crashes) == 155, len(crashes)
    assert max(len(item.exposures["x"].requests) for item in crashes) <= crashlog.MAX_REQUESTS
    blame._collect_cases = None
    for turn in range(40):
        blame.record_reports(reports, 2.1 + 0.25 * turn)
        assert not decide(blame, 2.1 + 0.25 * turn)


@then("no part is blamed when all of {count:d} engines crash at once, twice")
def step_all_crash(context, count):
    """Check subjects that are asked for by many requests, half of them for the first time."""
    blame = crashblame.CrashBlame()
    subjects = [f"subject-{number}" for number in range(2 * count)]
    answer(blame, FIRST, *subjects[:count], at=0.0)
    for wave in (1.0, 20.0):
        for engine in range(count):
            waiting = [(100 * engine + item, subjects[(engine + item) % 20]) for item in range(2)]
            crash(blame, engine, waiting, wave)
        assert not decide(blame, wave + 1.0)
        answer(blame, FIRST, *subjects, at=wave + 5.0)


@then("no part is blamed when all of {count:d} engines crash at once right after the start")
def step_all_crash_early(context, count):
    """Check that engines on which no answer was complete yet, all crash before the first one."""
    blame = crashblame.CrashBlame()
    for engine in range(count):
        waiting = [(100 * engine + item, "hot") for item in range(3)]
        crash(blame, engine, waiting, 1.0 + 0.02 * engine)
    assert not decide(blame, 2.0)


@then("a part that engines have answered lately is not blamed, whoever blames it")
def step_rejected(context):
    """Check a gateway that knows better, and the one that hears its decision."""
    knowing, blaming = crashblame.CrashBlame(), crashblame.CrashBlame()
    answer(knowing, FIRST, SOUND, at=5.0)
    wrong = routing.Blame(SOUND, True, 8000)
    assert blaming.adopt(wrong, 8.0)
    assert not knowing.adopt(wrong, 8.0)
    assert not knowing.is_blamed(SOUND)
    for decision in knowing.decisions():
        blaming.adopt(decision, 8.2)
    assert not blaming.is_blamed(SOUND)


@then("a part that another gateway blames is refused, and one that it clears is not")
def step_adopted(context):
    """Check both decisions, each of them twice."""
    blame = crashblame.CrashBlame()
    assert blame.adopt(routing.Blame(BAD, True, 1000), 1.0)
    assert not blame.adopt(routing.Blame(BAD, True, 1000), 1.1)
    assert blame.is_blamed(BAD)
    assert blame.adopt(routing.Blame(BAD, False, 2000), 2.0)
    assert not blame.is_blamed(BAD)


@then("an earlier decision does not replace a later one")
def step_earlier_decision(context):
    """Check a message that arrives late."""
    blame = crashblame.CrashBlame()
    blame.adopt(routing.Blame(BAD, False, 2000), 2.0)
    assert not blame.adopt(routing.Blame(BAD, True, 1000), 3.0)
    assert not blame.is_blamed(BAD)


@then("a blamed part is tried again by one request of all gateways, each time much later")
def step_trial(context):
    """Check that the pause grows, that gateways hear of a trial, and that an answer clears it."""
    first, second = crashblame.CrashBlame(), crashblame.CrashBlame()
    for item in (first, second):
        item.adopt(routing.Blame(BAD, True, 1000), 1.0)
    pause_ms = crashblame.FIRST_TRIAL_MS
    assert first.trial_in_s(BAD, 0.0, 1000 + pause_ms - 500) == 0.5
    assert second.trial_in_s(BAD, 0.5, 1000 + pause_ms) == crashblame.TRIAL_SPREAD_MS / 2000
    assert first.trial_in_s(BAD, 0.0, 1000 + pause_ms) == 0.0
    first.take_trial(BAD, 1000 + pause_ms)
    for decision in first.decisions():
        assert not second.adopt(decision, 9.3)
    for item in (first, second):
        assert item.trial_in_s(BAD, 0.0, 1000 + pause_ms) == 4 * pause_ms / 1000
    assert answer(second, FIRST, BAD, at=50.0) == [BAD]
    assert not second.is_blamed(BAD)


@then("a gateway that has just started tries it no sooner than the others")
def step_trial_after_start(context):
    """Check a decision that was tried twice, read from the store by a new process."""
    blame = crashblame.CrashBlame()
    (decision,) = routing.make_blames([(BAD, True, 100_000)], [2])
    assert blame.adopt(decision, 1.0)
    assert blame.trial_in_s(BAD, 0.0, 150_000) == 16 * crashblame.FIRST_TRIAL_MS / 1000 - 50.0


@given("{engines:d} engines, and {gateways:d} gateways with {per_s:g} requests per second")
def step_crash_load(context, engines, gateways, per_s):
    """Set what is simulated."""
    context.load = crashsim.Load(engines=engines, gateways=gateways, per_s=per_s)


@given("engines that crash after {share:g} in 100 of an answer")
def step_crash_at(context, share):
    """Set when a bad request crashes its engine."""
    context.load = crashsim.Load(crash_at=share / 100.0)


def check_found(outcomes):
    """Check that the cause was found soon; one seed in four may need more crashes."""
    late = [item.late_sends for item in outcomes]
    assert sum(count > crashsim.MAX_LATE_SENDS for count in late) <= len(late) // 4, late
    assert all(item.crashes_at_blame is not None for item in outcomes)
    check_few_refused(outcomes)


def check_few_refused(outcomes):
    """Check the requests that crash nothing."""
    refused = [item.refused / item.sound for item in outcomes]
    assert sum(refused) / len(refused) <= MAX_REFUSED_SHARE, refused


def simulate(load):
    """Simulate a minute with several seeds."""
    return [crashsim.simulate(load, seed, SIMULATED_S) for seed in SIMULATED_SEEDS]


@then("a part that crashes engines from {start:g} s on is refused, and hardly any other request")
def step_simulated_part(context, start):
    """Simulate a part that was never sound."""
    check_found(simulate(context.load._replace(bad_from_s=start)))


@then("a sound part that crashes engines from {start:g} s on is refused, and hardly any other")
def step_simulated_turned(context, start):
    """Simulate a part that many requests have had before."""
    load = context.load._replace(bad="turned", bad_from_s=start)
    outcomes = simulate(load)
    assert all(item.crashes_at_blame is not None for item in outcomes)
    check_few_refused(outcomes)


@then("a request that crashes engines is refused when it comes again, and hardly any other")
def step_simulated_request(context):
    """Simulate a request that comes every other second, at any gateway."""
    check_found(simulate(context.load._replace(bad="request", bad_per_s=0.5)))


@then("hardly any request is refused when engines crash by chance each {seconds:g} s")
def step_simulated_chance(context, seconds):
    """Simulate a minute without anything that crashes engines."""
    check_few_refused(simulate(context.load._replace(bad="", chance_every_s=seconds)))


@then("hardly any is when {count:d} of them go down again and again")
def step_simulated_flapping(context, count):
    """Simulate engines that crash whatever they run."""
    check_few_refused(simulate(context.load._replace(bad="", flapping=count)))
