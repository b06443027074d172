"""Draws what callers send and what engines do, for plays of ``answersim``."""

import hypothesis.strategies as st

from . import answerengine, answersim

RUN_STATUSES, REFUSAL_STATUSES = (200, 200, 204, 500), (421, 429, 503)
# Few fall silent, or few copies would meet an answer.
KINDS = ("run",) * 6 + ("refuse",) * 4 + ("silent", "break")
# Engine ids by the number of their address: one address with two ids, or one of each.
SITES = ((0,), (0,), (0, 0), (0, 1), (0, 0, 1), (0, 0, 1, 1))
SIZES = (0, 0, 0, 0, 10_000, 40_000)
OFTEN = st.sampled_from((False, False, True))
RARELY = st.sampled_from((False,) * 9 + (True,))
SOMETIMES = st.sampled_from((False, False, False, False, True))


@st.composite
def copies(draw, most=2):
    """Draw copies of earlier answers; a gateway can pass over most of them."""
    found = []
    for _ in range(draw(st.integers(0, most))):
        copy = answerengine.Copy(draw(st.sampled_from((0, 0, 1, 2))))
        if draw(st.booleans()):
            # One that may prove nothing, and may come without end.
            copy = copy._replace(
                elsewhere=draw(st.booleans()),
                named=not draw(SOMETIMES),
                framed=not draw(SOMETIMES),
            )
            found += [copy] * draw(st.sampled_from((0, 1, 4)))
        found.append(copy)
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
        before=draw(copies()) if draw(OFTEN) else (),
        delay_s=draw(st.sampled_from((0.0, 0.02))),
        # Copies end the connection; on one that has not carried much there is little to copy.
        after=draw(copies(1)) if draw(RARELY) else (),
        late=draw(copies(1)) if draw(RARELY) else (),
        aside=draw(copies(1)) if draw(RARELY) else (),
    )


@st.composite
def calls(draw):
    """Draw a request of a caller."""
    repeatable = draw(st.booleans())
    return answersim.Call(
        repeatable,
        gap_s=draw(st.sampled_from((0.0, 0.05, 0.18, 0.18, 0.18, 0.5))),
        waits=draw(st.sampled_from((True, True, False))),
        same_id=draw(SOMETIMES),
        method=draw(st.sampled_from(("GET", "GET", "HEAD"))) if repeatable else "POST",
    )


def plays():
    """Draw engines, requests and moves."""
    return st.tuples(
        st.sampled_from(SITES),
        st.lists(calls(), min_size=4, max_size=12),
        st.lists(moves(), min_size=8, max_size=20),
    )


def make_proxy_play():
    """Return a play in which a proxy copies an order's refusal to another of its connections."""
    copied = answerengine.Move(before=(answerengine.Copy(0, elsewhere=True),), delay_s=0.02)
    refused = answerengine.Move("refuse", 503)
    orders = [answersim.Call(False, gap_s=0.18, waits=True)] * 6
    return (0, 0, 1), orders, [refused, copied] * 6


def make_kept_play():
    """Return a play in which all earlier answers of a kept connection are copied at once."""
    copied = tuple(answerengine.Copy(back) for back in range(4))
    orders = [answersim.Call(False, gap_s=0.18, waits=True)] * 5
    return (0,), orders, [answerengine.Move()] * 4 + [answerengine.Move(before=copied)]
