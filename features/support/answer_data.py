"""Draws what callers send and what engines do, for plays of ``answersim``."""

import hypothesis.strategies as st

from . import answerengine, answersim

RUN_STATUSES, REFUSAL_STATUSES = (200, 200, 204, 500), (421, 429, 503)
# Few fall silent, or few copies would meet an answer.
KINDS = ("run", "run", "run", "refuse", "refuse", "silent", "break")
# Engine ids by the number of their address: one address with two ids, or one of each.
SITES = ((0,), (0, 0), (0, 1), (0, 0, 1), (0, 0, 1, 1))
SIZES = (0, 0, 0, 0, 10_000, 40_000)
SOMETIMES = st.sampled_from((False, False, False, False, True))


@st.composite
def copies(draw, most=2):
    """Draw copies of earlier answers; few of them are more than a gateway can pass over."""
    found = []
    for _ in range(draw(st.sampled_from((0, 0, *range(1, most + 1))))):
        copy = answerengine.Copy(
            draw(st.sampled_from((0, 0, 1, 2))),
            elsewhere=draw(SOMETIMES),
            named=not draw(SOMETIMES),
            framed=not draw(SOMETIMES),
        )
        found += [copy] * draw(st.sampled_from((1, 1, 2, 5)))
    return tuple(found)


@st.composite
def moves(draw):
    """Draw what an engine does with a request."""
    kind = draw(st.sampled_from(KINDS))
    return answerengine.Move(
        kind=kind,
        status=draw(st.sampled_from(REFUSAL_STATUSES if kind == "refuse" else RUN_STATUSES)),
        pauses=draw(st.booleans()),
        chunked=draw(st.booleans()),
        size=draw(st.sampled_from(SIZES)),
        before=draw(copies()),
        delay_s=draw(st.sampled_from((0.0, 0.02))),
        after=draw(copies(1)),
        late=draw(copies(1)),
        aside=draw(copies(1)),
    )


@st.composite
def calls(draw):
    """Draw a request of a caller."""
    repeatable = draw(st.booleans())
    return answersim.Call(
        repeatable,
        gap_s=draw(st.sampled_from((0.0, 0.05, 0.18, 0.18, 0.5))),
        waits=draw(st.sampled_from((True, True, False))),
        same_id=draw(SOMETIMES),
        method=draw(st.sampled_from(("GET", "GET", "HEAD"))) if repeatable else "POST",
    )


def plays():
    """Draw engines, requests and moves."""
    return st.tuples(
        st.sampled_from(SITES),
        st.lists(calls(), min_size=2, max_size=10),
        st.lists(moves(), min_size=1, max_size=16),
    )
