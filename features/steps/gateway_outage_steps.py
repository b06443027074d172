"""Steps on what callers meet during and right after an outage of the store."""

import random
import signal
import threading
import time

from behave import given, then, when

from berylrock.ops import readiness, returns

NOW = 100.0
ZONES = ("z1", "z2", "z3", "z4")
LONG_LEFT_S = 20.0
CHECK_S = 0.1


def make_fleet(ages_s, zones=ZONES, each=3):
    """Return a fleet in which gateway ``g{zone}-{number}`` last heard the store so long ago."""
    names = {f"g{zone}-{number}": zone for zone in zones for number in range(each)}
    confirmed = {name: NOW - ages_s[zone] for name, zone in names.items() if zone in ages_s}
    return readiness.Fleet(zones[0], names, confirmed)


@given("gateways in {count:d} zones that last heard the store {seconds:g} s ago")
def step_lost_fleet(context, count, seconds):
    """Let all of them have a view of this age."""
    context.ages_s = dict.fromkeys(ZONES[:count], seconds)


@then("a gateway that hears those of all zones stays ready")
def step_stays_ready(context):
    """No other gateway is better off."""
    assert readiness.is_lost_for_all(make_fleet(context.ages_s), NOW)


@then("it is not ready once one of them has heard the store {seconds:g} s ago")
def step_one_fresh(context, seconds):
    """Another gateway serves callers."""
    found = make_fleet(context.ages_s)
    confirmed = found.confirmed | {"gz3-1": NOW - seconds}
    assert not readiness.is_lost_for_all(found._replace(confirmed=confirmed), NOW)


@then("one that hears only its own zone is not ready, and one that hears nobody is not ready")
def step_cut(context):
    """The zone, or the gateway, is cut off, and others may serve."""
    own_zone = {ZONES[0]: context.ages_s[ZONES[0]]}
    assert not readiness.is_lost_for_all(make_fleet(own_zone), NOW)
    assert not readiness.is_lost_for_all(make_fleet({}), NOW)


@then("no gateway stays ready that hears one with a fresher view, or too few zones")
def step_any_fleet(context):
    """Compare the decision with a count by hand over random fleets."""
    limit_s = readiness.READY_MAX_AGE_S
    for seed in range(2000):
        rng = random.Random(seed)
        zones = ZONES[: rng.randint(1, 4)]
        names = {f"g{number}": rng.choice(zones) for number in range(rng.randint(0, 30))}
        heard = [name for name in names if rng.random() < rng.choice((0.1, 0.5, 0.9))]
        confirmed = {name: NOW - rng.uniform(3.5, 9.0) for name in heard}
        found = readiness.is_lost_for_all(readiness.Fleet("z1", names, confirmed), NOW)
        too_few = len({"z1", *(names[name] for name in heard)}) * 2 <= len({"z1", *names.values()})
        fresher = any(NOW - at < limit_s for at in confirmed.values())
        assert found == (bool(heard) and not too_few and not fresher), seed


@given("{count:d} callers that are refused at any moment of outages of {low:d} to {high:d} s")
def step_refused_callers(context, count, low, high):
    """Draw for each the outage's length and age, and the time that the caller has left."""
    rng = random.Random(7)
    context.callers = []
    for _ in range(count):
        length_s = rng.uniform(low, high)
        left_s = rng.choice((1.1, 4.0, LONG_LEFT_S))
        context.callers.append((length_s, rng.uniform(4.75, length_s), left_s, rng.random()))


@then(
    "more than twice as many of those that wait {left_s:g} s meet the store again as after waits of"
    " {wait_s:g} s"
)
def step_meet_store(context, left_s, wait_s):
    """Count the callers whose only repeat comes after the outage."""
    patient = [item for item in context.callers if item[2] == left_s]
    met = sum(
        age_s + returns.after_outage_s(age_s, left_s, draw) >= length_s
        for length_s, age_s, left_s, draw in patient
    )
    before = sum(age_s + wait_s >= length_s for length_s, age_s, _, _ in patient)
    assert met > 2 * before, (met, before, len(patient))


@then("no caller is asked to wait for longer than it accepts, nor for less than {least_s:g} s")
def step_accepted(context, least_s):
    """Callers wait for a third of the time they have left; short ones cannot be helped."""
    for _, age_s, left_s, draw in context.callers:
        wait_s = returns.after_outage_s(age_s, left_s, draw)
        assert wait_s >= least_s, wait_s
        assert wait_s < max(left_s / 3.0, returns.MIN_RETURN_S + 0.01), (wait_s, left_s)


@then("callers that are refused together do not return within one tenth of their wait")
def step_spread(context):
    """Let all be refused at the same moment of one outage."""
    waits = [returns.after_outage_s(6.0, LONG_LEFT_S, item[3]) for item in context.callers]
    assert max(waits) - min(waits) > 0.1 * max(waits), (min(waits), max(waits))


class _Observer:
    """Asks gateways for their readiness and sends them reads, until it is stopped."""

    def __init__(self, running, names):
        self.found = []
        self._running, self._names = running, names
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def start(self):
        """Begin to ask."""
        self._thread.start()

    def stop(self):
        """End, and return the time, readiness, answer and duration of each look."""
        self._stop.set()
        self._thread.join()
        return self.found

    def _run(self):
        while not self._stop.wait(CHECK_S):
            for name in self._names:
                ready = self._running.get_readiness_of(name)
                began = time.monotonic()
                answer = self._running.thread.run(
                    self._running.send_read_async(self._running.gateways[name])
                )
                self.found.append((began, ready, answer, time.monotonic() - began))


@when(
    "the store is down for {seconds:g} s for all gateways, and the gateways are restarted in turn"
)
def step_outage_and_restarts(context, seconds):
    """Restart the one that serves as the relay in the middle of the outage; watch the others."""
    running = context.running
    observer = _Observer(running, context.followers)
    running.thread.run(running.store.set_mode("busy"))
    context.began = time.monotonic()
    observer.start()
    item = running.gateways[context.relay]
    item.popen.send_signal(signal.SIGTERM)
    item.popen.wait()
    item.start()
    time.sleep(max(0.0, context.began + seconds - time.monotonic()))
    running.store.calls.clear()
    running.thread.run(running.store.set_mode("up"))
    context.returned = time.monotonic()
    context.looks = observer.stop()


@then("the gateways that were not restarted were ready all the while")
def step_ready_all_the_while(context):
    """Check each look at their readiness pages."""
    found = [(round(at - context.began, 2), ready) for at, ready, _, _ in context.looks]
    assert all(ready == 200 for _, ready in found), found


@then(
    "after {seconds:g} s they refused reads at once as not run, to return after {least_s:g} s or"
    " later"
)
def step_refused(context, seconds, least_s):
    """Check the answers to reads from then on until the store's return."""
    late = [item for item in context.looks if item[0] > context.began + seconds]
    late = [item for item in late if item[0] < context.returned - CHECK_S]
    assert len(late) > 3, len(late)
    for _, _, answer, took_s in late:
        assert answer.status == 503 and took_s < 1.0, (answer, took_s)
        assert float(answer.headers["retry-after"]) >= least_s, answer


@then("within {seconds:g} s of its return every gateway answers reads")
def step_answers_again(context, seconds):
    """Poll each gateway until it answers a read."""
    running = context.running
    for name, item in running.gateways.items():
        running.wait(
            lambda item=item: running.thread.run(running.send_read_async(item)).status == 200,
            f"{name} answers",
        )
    took_s = time.monotonic() - context.returned
    assert took_s < seconds, took_s


@then("the store got at most {most:d} calls in the first second after its return")
def step_bounded_calls(context, most):
    """Count what has arrived since."""
    time.sleep(max(0.0, context.returned + 1.0 - time.monotonic()))
    found = list(context.running.store.calls)
    assert len(found) <= most, found
