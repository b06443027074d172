"""Steps on what answers on connections to engines prove, without a network."""

import collections
import itertools
import tracemalloc

import hypothesis
from behave import then
from support import answer_data, answercuts, answersim, gateway_data

from berylrock.ops import answers

PLAYS, EXCHANGES = 600, 1000
# Requests of a connection whose answers may be copied, by docs/design/answers.md.
REMEMBERED = 64
KB = 1024


@then("no play of sends, refusals, runs, copies, pauses and repeats breaks a promise")
def step_plays(context):
    """Play drawn moves, and check that the plays have shown what they are about."""
    seen = collections.Counter()

    @hypothesis.settings(
        gateway_data.property_settings,
        max_examples=PLAYS,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(answer_data.plays())
    @hypothesis.example(answer_data.make_proxy_play())
    @hypothesis.example(answer_data.make_kept_play())
    def check(drawn):
        play = answersim.Play(*drawn)
        play.run()
        assert not play.faults, (play.faults, drawn)
        seen["copies passed over"] += play.met
        seen["answers"] += sum(item.body is not None for item in play.results)
        seen["not run"] += sum(item.status == 503 for item in play.results)
        seen["unknown"] += sum(item.status == 502 for item in play.results)

    check()
    assert all(seen[name] >= PLAYS / 10 for name in seen) and len(seen) == 4, seen


@then("no drawn exchange of two requests on a connection gives the second one foreign bytes")
def step_cuts(context):
    """Play drawn exchanges; those without further bytes are kept for the next step."""
    context.sound, seen = [], collections.Counter()

    @hypothesis.settings(gateway_data.property_settings, max_examples=EXCHANGES)
    @hypothesis.given(answercuts.exchanges())
    def check(exchange):
        found = answercuts.play(exchange)
        due = exchange.answers[1]
        is_own = (found.status, found.body) == (due.status, due.body)
        assert is_own or not found.status, (found, exchange)
        if exchange.is_sound:
            context.sound.append((found, exchange))
        seen["own answer"] += is_own
        seen["error"] += found.reused and not found.status
        seen["connection closed"] += not found.reused
        seen["copy passed over"] += found.passed_over

    check()
    assert all(seen[name] >= EXCHANGES / 50 for name in seen) and len(seen) == 4, seen


@then("each exchange without further bytes gives it its whole answer")
def step_sound_cuts(context):
    """Check those exchanges."""
    assert len(context.sound) >= EXCHANGES / 20, len(context.sound)
    for found, exchange in context.sound:
        due = exchange.answers[1]
        assert found.reused and (found.status, found.body) == (due.status, due.body), exchange


@then("a copy for one of these is passed over, and one for an older request proves nothing")
def step_last(context):
    """Judge copies of all requests that a connection has carried."""
    history = answers.ConnectionHistory()
    count = 2 * REMEMBERED
    for number in range(count + 1):
        history.begin(f"{number:016x}", "POST")
    meanings = [
        history.judge(answers.Claim(503, f"{number:016x}", True, True)).meaning
        for number in range(count)
    ]
    unknown = [answers.Meaning.UNRELATED] * REMEMBERED
    assert meanings == unknown + [answers.Meaning.EARLIER] * REMEMBERED, meanings


@then(
    "the history of a connection takes at most {limit:d} KB after {count:d} requests with ids of"
    " {size:d} KB"
)
def step_memory(context, limit, count, size):
    """Measure what the history keeps."""
    tracemalloc.start()
    try:
        history = answers.ConnectionHistory()
        for number in range(count):
            history.begin(f"{number:x}".rjust(size * KB, "0"), "POST")
        taken, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert taken <= limit * KB, taken


@then(
    "the copy of an answer with a body before one without, or the other way round, proves nothing"
)
def step_head(context):
    """Judge a copy for each pair of methods."""
    for first, second in itertools.product(("GET", "HEAD"), repeat=2):
        history = answers.ConnectionHistory()
        history.begin("a", first)
        history.begin("b", second)
        meaning = history.judge(answers.Claim(200, "a", False, True)).meaning
        alike = first == second
        expected = answers.Meaning.EARLIER if alike else answers.Meaning.UNRELATED
        assert meaning == expected, (first, second, meaning)
