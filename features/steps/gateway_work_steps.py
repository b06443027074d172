"""Steps on the work of requests: where long prompts go, and which models can read them in time."""

import random

from behave import then
from support.gateway_data import make_criteria, make_states

from berylrock.core import routing
from berylrock.ops import baselines, buffering, enginework, latency, selection, sse, timeouts

SMALL, LARGE = routing.EngineModel("small", 0.014), routing.EngineModel("large", 0.22)
SERVICE = routing.Service("models", "/healthz", 300, 3.0, 18.0, 12, 444_000, (SMALL, LARGE))
SECONDS_PER_WORK = 2e-5


def make_head(tokens, shared=()):
    """Return the head of a request with a prompt of this length and these shared parts."""
    parts = tuple(routing.PromptPart(f"{number}", size) for number, size in enumerate(shared))
    own = routing.PromptPart("own", tokens - sum(shared))
    return routing.RequestHead(
        "id", "POST", "/", "h", None, 1.0, "*", tokens, 100, (*parts, own), "", None, ()
    )


def choose(states, **criteria):
    """Choose an engine, with ties broken in the same way each time."""
    return selection.choose(states, make_criteria(**criteria), random.Random(1))


@then("the work of a prompt grows faster than its length and with the price of the model")
def step_estimate(context):
    """Check the estimates for short and long prompts and for both models."""
    short = enginework.estimate(make_head(2_400), SERVICE, "large")
    long = enginework.estimate(make_head(48_000), SERVICE, "large")
    cheap = enginework.estimate(make_head(48_000, (500, 4_000)), SERVICE, "small")
    assert 2_400 <= short.prefill < 3_000
    assert long.prefill > 40 * short.prefill
    assert cheap.prefill < 0.1 * long.prefill and 0 < cheap.shared < 4_500
    assert enginework.estimate(make_head(0), None, "").prefill == enginework.MIN_WORK


@then("a long prompt goes to the engine with the fewest streams, and short ones go elsewhere")
def step_long_prompt(context):
    """Load engines with streams, then send a long prompt and short ones."""
    states = make_states(6, slots=12)
    for number, state in enumerate(states):
        for _ in range(3 + number):
            state.begin(0.0, 0.0)
    quiet = choose(states, prefill=100_000.0, shared=0.0)
    assert quiet is states[0]
    quiet.begin(100_000.0, 0.0)
    found = {choose(states, prefill=200.0, shared=0.0).engine.id for _ in range(20)}
    assert quiet.engine.id not in found
    quiet.begin_answer(100_000.0)
    assert quiet.work == 0.0 and quiet.running == 4


@then("requests with short shared parts do not queue at one engine while slots are free")
def step_no_queue(context):
    """Send sixty requests with the same part to six engines of twelve slots."""
    states, rng = make_states(6, slots=12), random.Random(1)
    criteria = make_criteria(key="part", prefill=240.0, shared=40.0)
    for _ in range(60):
        selection.choose(states, criteria, rng).begin(0.0, 0.0)
    assert max(state.running for state in states) <= 12, [state.running for state in states]


@then("an engine that fails requests does not get the long prompts, though it looks idle")
def step_failing_idle(context):
    """Let one of four engines fail all requests while the others run eight each."""
    states = make_states(4, slots=12)
    for _ in range(12):
        states[0].health.record_failure(0.0)
    for state in states[1:]:
        for _ in range(8):
            state.begin(0.0, 0.0)
    assert choose(states, prefill=100_000.0, shared=0.0) is not states[0]


@then("the largest model is not asked for a prompt that it cannot read within the target")
def step_too_long(context):
    """Compare the predictions for a short and a long prompt with a target of 2 s."""
    estimator = latency.LatencyEstimator()
    assert estimator.predict_work("models", 1e6) == 0.0
    for _ in range(5):
        estimator.record_work("models", 20_000.0, 20_000.0 * SECONDS_PER_WORK)
        estimator.record_work("models", 10.0, 5.0)
    answers = []
    for tokens in (6_000, 50_000):
        work = enginework.estimate(make_head(tokens), SERVICE, "large").prefill
        timing = baselines.Timing(estimator.predict_work("models", work), 0.01)
        answers.append(latency.meets_deadlines(timing, 30.0, 0.2, 2.0, 12.0, 1))
    assert answers == [True, False]


@then("an engine that reads long prompts may be silent for longer, but not without end")
def step_silent_reader(context):
    """Compare an idle engine with one that has a long prompt before it."""
    wait = timeouts.next_event_timeouts(1.0, 0.02)
    assert timeouts.should_abandon(11.0, 10.0, 10.0, wait, 0.0)
    assert not timeouts.should_abandon(11.0, 10.0, 10.0, wait, 100_000.0)
    assert timeouts.should_abandon(10.0 + wait.slow_s, 10.0, 10.0, wait, 1e9)


@then("a stream of an engine that usually pauses within the target stays, and others leave early")
def step_silent_stream(context):
    """Compare engines whose usual time between events is long, short and not known."""
    for usual_s, stays_until_s in ((0.5, 1.2), (0.8, 1.9), (0.0, 1.2), (0.02, 0.55)):
        wait = timeouts.next_event_timeouts(1.0, usual_s)
        assert not timeouts.should_abandon(10.0 + stays_until_s, 10.0, 10.0, wait), usual_s
        assert timeouts.should_abandon(10.0 + wait.slow_s, 10.0, 10.0, wait), usual_s
    early = timeouts.next_event_timeouts(1.0, 0.02)
    assert timeouts.should_abandon(10.7, 10.0, 10.0, early)


def fill(budget, size, count=300):
    """Return whole bodies of a size, as many as the budget takes."""
    whole = []
    for _ in range(count):
        body = buffering.Body(budget, size)
        try:
            body.add(bytes(size))
            body.finish()
        except buffering.BodyGivenUp:
            break
        whole.append(body)
    return whole


@then("bodies take no more memory together than the budget, and return it")
def step_budget(context):
    """Take bodies until the budget is used up, then release one."""
    budget = buffering.BufferBudget(buffering.budget_bytes(200.0))
    size = buffering.BYTES_PER_MB
    whole = fill(budget, size)
    assert 8 <= len(whole) <= 40, len(whole)
    assert budget.held == len(whole) * size
    whole[0].release()
    assert len(fill(budget, size)) == 1 and budget.held == len(whole) * size


@then("the largest body that is still being received gives way, and returns its bytes at once")
def step_largest(context):
    """Let a body grow without end beside small ones that come after it."""
    budget = buffering.BufferBudget(buffering.budget_bytes(0.0))
    size = buffering.BYTES_PER_MB
    endless = buffering.Body(budget, budget.limit)
    for _ in range(8):
        endless.add(bytes(size))
    assert budget.held == budget.limit
    sound = buffering.Body(budget, size)
    sound.add(bytes(100_000))
    assert sound.finish() == bytes(100_000)
    assert endless.given_up and budget.held == 100_000, budget.held
    for use in (lambda: endless.add(b"x"), endless.finish):
        try:
            use()
            raise AssertionError("a body that was given up goes on")
        except buffering.BodyGivenUp:
            pass


@then("a body that outgrows all others gives way itself, and whole ones never do")
def step_outgrows(context):
    """Fill the budget with whole bodies, and with one that grows beside a smaller one."""
    budget = buffering.BufferBudget(buffering.budget_bytes(0.0))
    size = buffering.BYTES_PER_MB
    whole = fill(budget, size, 6)
    small, growing = (buffering.Body(budget, budget.limit) for _ in range(2))
    small.add(bytes(size // 2))
    try:
        for _ in range(8):
            growing.add(bytes(size // 2))
        raise AssertionError("it takes more than there is")
    except buffering.BodyGivenUp:
        pass
    assert small.finish() == bytes(size // 2)
    assert not any(body.given_up for body in whole)


@then("an answer that cannot be had again gives way after larger parts of others")
def step_irreplaceable(context):
    """Let an answer to an order meet smaller bodies of reads, and grow without end itself."""
    budget = buffering.BufferBudget(buffering.budget_bytes(0.0))
    size = buffering.BYTES_PER_MB
    order = buffering.Body(budget, 2 * budget.limit, replaceable=False)
    order.add(bytes(3 * size))
    reads = [buffering.Body(budget, size) for _ in range(5)]
    for read in reads:
        read.add(bytes(size))
    late = buffering.Body(budget, size)
    late.add(bytes(size // 2))
    assert not order.given_up and sum(read.given_up for read in reads) == 1
    order.add(bytes(4 * size))
    assert not order.given_up
    last = buffering.Body(budget, size)
    last.add(bytes(size * 3 // 5))
    assert order.given_up and not late.given_up


@then("a small answer fits although whole ones have taken all")
def step_small(context):
    """Fill the budget, then take bodies of the size of an order's answer."""
    budget = buffering.BufferBudget(buffering.budget_bytes(0.0))
    assert len(fill(budget, buffering.BYTES_PER_MB)) == 8
    assert len(fill(budget, 800, 50)) == 50


@then("incomplete events of many streams take no more than the budget together")
def step_events(context):
    """Feed each stream 60 kB of an event, then the end of one."""
    budget = buffering.BufferBudget(buffering.budget_bytes(0.0))
    splitters = [sse.EventSplitter(buffering.Hold(budget)) for _ in range(400)]
    for splitter in splitters:
        splitter.feed(b"data: " + b"x" * 60_000)
    assert budget.held <= budget.limit
    last = sse.EventSplitter(buffering.Hold(budget))
    assert not last.feed(b"data: x\r\n\r") and len(last.feed(b"\ndata")) == 1
    for splitter in splitters:
        splitter.close()
    assert budget.held == 0


@then("a body is given up at its own limit, and one body takes half of the budget at most")
def step_own_limit(context):
    """Let a body grow past its limit."""
    budget = buffering.BufferBudget(buffering.budget_bytes(0.0))
    body = buffering.Body(budget, 10_000)
    body.add(bytes(10_000))
    try:
        body.add(b"x")
        raise AssertionError("it is larger than its limit")
    except buffering.BodyTooLarge:
        pass
    assert budget.held == 0
    assert budget.max_body_bytes * 2 <= budget.limit
