"""Plays two requests on one kept connection, whose bytes arrive cut anywhere, at any moment."""

import asyncio
import types
from typing import NamedTuple
from unittest import mock

import h11
import hypothesis.strategies as st

from berylrock.adapters import http1
from berylrock.daemons.gateway import dueresponse, pool
from berylrock.ops import answers

from . import gateway_data, virtualtime

IDS = ("1111111111111111", "2222222222222222")
ID_LINE = b"X-Berylrock-Attempt-Id: %s\r\n"
BODILESS_STATUSES = (204, 304)
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
MAX_CUTS = 6
# Turns of the event loop in which a chunk is read.
TURNS = 4


class Written(NamedTuple):
    """An answer as an engine writes it.

    Attributes:
      status: The status.
      body: The body that its reader is to get.
      data: All its bytes.
    """

    status: int
    body: bytes
    data: bytes


class Exchange(NamedTuple):
    """What happens on the connection.

    Attributes:
      methods: Methods of the two requests.
      answers: Their answers.
      extra: Bytes that follow the first answer.
      joined: Whether the first of these come in one segment with the end of the answer.
      early: Number of their segments that arrive before the second request is sent, if it is.
      cuts: Places, as shares of the length, at which the bytes of the first answer, those that
        follow it and the second answer are cut.
      kept: Share of the second answer that arrives before the connection ends.
    """

    methods: tuple[str, str]
    answers: tuple[Written, Written]
    extra: bytes
    joined: bool
    early: int
    cuts: tuple[tuple[float, ...], tuple[float, ...], tuple[float, ...]]
    kept: float

    @property
    def is_sound(self):
        """Whether nothing but the two whole answers arrives."""
        return not self.extra and self.kept == 1.0


class Outcome(NamedTuple):
    """What the reader of the second answer got.

    Attributes:
      reused: Whether the second request was sent on the connection.
      status: Status of its answer; 0 if the connection broke.
      body: The answer's body.
      passed_over: Whether the copy of an earlier answer was passed over.
    """

    reused: bool
    status: int = 0
    body: bytes = b""
    passed_over: bool = False


@st.composite
def written(draw, number, method):
    """Draw the answer to a request of a number and a method."""
    status = draw(st.sampled_from((200, 204, 304, 404)))
    text = draw(st.sampled_from((b"", b"a", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 300)))
    body = b"%d %s" % (number, text)
    head = b"HTTP/1.1 %d Any\r\n" % status + ID_LINE % IDS[number].encode()
    chunked = draw(st.booleans())
    framing = (
        b"Transfer-Encoding: chunked\r\n" if chunked else b"Content-Length: %d\r\n" % len(body)
    )
    sent = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body) if chunked else body
    if status in BODILESS_STATUSES:
        framing = sent = body = b""
    if method == "HEAD":
        sent = body = b""
    hints = draw(st.sampled_from((b"", HINTS)))
    return Written(status, body, hints + head + framing + b"\r\n" + sent)


@st.composite
def exchanges(draw):
    """Draw an exchange; what follows the first answer is nothing, its copy, or other bytes."""
    methods = tuple(draw(st.sampled_from(("GET", "POST", "HEAD"))) for _ in IDS)
    pair = tuple(draw(written(number, method)) for number, method in enumerate(methods))
    copy = pair[0].data
    nameless = copy.replace(ID_LINE % IDS[0].encode(), b"")
    extra = draw(st.sampled_from((b"", copy, copy[:20], nameless, b"\r\n", b"\x00\x01")))
    cuts = st.lists(st.floats(0.0, 1.0), max_size=MAX_CUTS).map(tuple)
    kept = draw(st.sampled_from((1.0, 1.0, 0.99, 0.5)))
    joined = draw(st.sampled_from((False, False, False, True)))
    early = draw(st.sampled_from((0, 0, 0, 1, MAX_CUTS)))
    return Exchange(methods, pair, extra, joined, early, tuple(draw(cuts) for _ in range(3)), kept)


def _cut(data, shares):
    places = sorted(int(share * len(data)) for share in shares)
    ends = [0, *places, len(data)]
    return [data[begin:end] for begin, end in zip(ends, ends[1:], strict=False) if begin < end]


class _Player:
    """Sends the requests, feeds the bytes and reads the answers."""

    def __init__(self, exchange):
        self._exchange = exchange
        self._stream = asyncio.StreamReader()
        writer = mock.Mock()
        writer.transport.is_closing = lambda: False
        self._conn = pool.PooledConnection(self._stream, writer)
        self._engine = gateway_data.make_engine("e")
        self._passed_over = 0

    async def play(self):
        """Play the exchange and return its outcome."""
        exchange = self._exchange
        *begin, end = _cut(exchange.answers[0].data, exchange.cuts[0])
        late = _cut(exchange.extra, exchange.cuts[1])
        if late and exchange.joined:
            end += late.pop(0)
        task = await self._send(0)
        for chunk in (*begin, end):
            await self._feed(chunk)
        assert await task == (exchange.answers[0].status, exchange.answers[0].body)
        if not self._conn.reset_for_reuse():
            return Outcome(False)
        for chunk in late[: exchange.early]:
            await self._feed(chunk)
        if not self._conn.usable:
            return Outcome(False)
        return await self._play_second(late[exchange.early :])

    async def _play_second(self, late):
        exchange = self._exchange
        task = await self._send(1)
        whole = exchange.answers[1].data
        for chunk in (*late, *_cut(whole[: int(exchange.kept * len(whole))], exchange.cuts[2])):
            await self._feed(chunk)
        self._stream.feed_eof()
        try:
            status, body = await task
        except http1.ResponseBroken:
            return Outcome(True, passed_over=self._passed_over > 0)
        return Outcome(True, status, body, self._passed_over > 0)

    async def _send(self, number):
        method = self._exchange.methods[number]
        self._conn.history.begin(IDS[number], method)
        await self._conn.send(method, "/a", [(b"host", b"e")], b"")
        return asyncio.create_task(self._read(IDS[number]))

    async def _feed(self, chunk):
        self._stream.feed_data(chunk)
        for _ in range(TURNS):
            await asyncio.sleep(0)

    async def _read(self, request_id):
        """Read the due answer; raises ``ResponseBroken`` also if it is not believed."""
        conn = self._conn
        ctx = types.SimpleNamespace(
            meter=types.SimpleNamespace(count=self._count),
            log=types.SimpleNamespace(write=lambda name, **fields: None),
        )
        due = await dueresponse.read_head(
            ctx, dueresponse.Exchange(request_id, self._engine, conn, conn.next_event)
        )
        if due.verdict.meaning is not answers.Meaning.ANSWER:
            raise http1.ResponseBroken("not believed")
        body = b""
        while not isinstance(part := await conn.next_event(), h11.EndOfMessage):
            body += bytes(part.data)
        return due.head.status, body

    def _count(self, name):
        self._passed_over += 1


def play(exchange):
    """Play an exchange on a connection in memory, and return its outcome."""

    async def main():
        with mock.patch("berylrock.adapters.sockets.set_options"):
            return await _Player(exchange).play()

    return virtualtime.run(main())
