"""Engines in memory that copy earlier answers, and their ends of connections."""

import asyncio
from typing import NamedTuple
from unittest import mock

ID_NAME, CALLER_NAME = b"X-Berylrock-Attempt-Id", b"X-Caller"
# Time from an answer to its late copies.
LATE_S = 0.03
NO_CONTENT = 204


class Copy(NamedTuple):
    """An earlier answer that is written once more.

    Attributes:
      back: Which of the earlier answers, 0 for the latest.
      elsewhere: Whether those of the address's other connections count too.
      named: Whether it keeps the id of its request.
      framed: Whether it keeps its length.
    """

    back: int
    elsewhere: bool = False
    named: bool = True
    framed: bool = True


class Move(NamedTuple):
    """What the engine does with one request.

    Attributes:
      kind: ``run``; ``refuse``; ``silent`` and ``break``, which run it and never answer.
      status: Status of the answer.
      pauses: Whether a refusal asks for a pause.
      chunked: Whether the body comes in chunks.
      size: Additional bytes in the body.
      before: Copies before the answer.
      delay_s: Time from these to the answer.
      after: Copies together with the answer.
      late: Copies on this connection some time after the answer.
      aside: Copies on the address's other connections, at the time of the answer.
    """

    kind: str = "run"
    status: int = 200
    pauses: bool = False
    chunked: bool = False
    size: int = 0
    before: tuple = ()
    delay_s: float = 0.0
    after: tuple = ()
    late: tuple = ()
    aside: tuple = ()


class Written(NamedTuple):
    """An answer as written, or a copy of one.

    Attributes:
      names: Id of its request; empty if it names none.
      caller: Number of its caller.
      framed: Whether it says where its body ends.
      no_body: Whether its request was a HEAD.
      body: Its body.
      data: All its bytes.
    """

    names: str
    caller: int
    framed: bool
    no_body: bool
    body: bytes
    data: bytes


class Run:
    """A run of a request on an engine.

    Attributes:
      caller: Number of the caller.
      wire: The connection.
      ended: Whether it was answered.
    """

    def __init__(self, caller, wire):
        self.caller = caller
        self.wire = wire
        self.ended = False

    @property
    def active(self):
        """Whether the engine still works on it, as far as the gateway has told it."""
        return not self.ended and not self.wire.closed


class Wire:
    """The engine's end of a connection; it is the writer and the transport of the gateway's end.

    Attributes:
      reader: What the gateway reads from.
      transport: The connection itself.
      closed: Whether the gateway has closed it.
      ended: Whether the engine has closed it.
      copied: Whether copies were to be passed over on it.
      carried: Id, caller and method of the earlier requests.
      current: The same of the latest one; None before the first.
      answers: Moves and requests of its answers.
      pending: What was written since the last answer.
    """

    def __init__(self, process):
        self.reader = asyncio.StreamReader()
        self.transport = self
        self.closed = self.ended = self.copied = False
        self.carried = []
        self.answers = []
        self.current = None
        self.pending = []
        self._process = process

    def get_extra_info(self, name):
        """Return a stand-in for the socket."""
        return mock.Mock(name=name)

    def is_closing(self):
        """Tell whether the gateway has closed its end."""
        return self.closed

    def abort(self):
        """Close the connection, on the gateway's behalf."""
        self.closed = True

    def write(self, data):
        """Receive a request from the gateway."""
        self._process.receive(self, data)

    def feed(self, item):
        """Write an answer to the gateway."""
        if not self.closed and not self.ended:
            self.reader.feed_data(item.data)
            self.pending.append(item)

    def end(self):
        """Close the connection on the engine's behalf."""
        self.ended = True
        if not self.closed:
            self.reader.feed_eof()


def make_answer(move, request, named=True, framed=True):
    """Return the answer to a request; ``request`` is its id, its caller and its method."""
    request_id, caller, method = request
    lines = [b"HTTP/1.1 %d X" % move.status]
    if named:
        lines.append(b"%s: %s" % (ID_NAME, request_id.encode()))
    if move.kind == "refuse":
        lines.append(b"X-Berylrock-Not-Executed: 1")
        lines += [b"Retry-After: 0.3"] if move.pauses else []
    else:
        lines.append(b"X-Berylrock-Response-Signature: s")
    body = b"%d:%s" % (caller, b"x" * move.size)
    if move.status == NO_CONTENT:
        body, framed = b"", True
    elif framed and move.chunked:
        lines.append(b"Transfer-Encoding: chunked")
    elif framed:
        lines.append(b"Content-Length: %d" % len(body))
    data = b"\r\n".join(lines) + b"\r\n\r\n"
    if method != "HEAD" and move.status != NO_CONTENT:
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        data += chunks if framed and move.chunked else body
    no_body = method == "HEAD"
    return Written(
        request_id if named else "", caller, framed, no_body, b"" if no_body else body, data
    )


class Process:
    """What listens at an address; it takes itself for each engine that is known there."""

    def __init__(self, play):
        self.wires = []
        self.answered = []
        self._play = play

    def connect(self):
        """Return a new connection."""
        self.wires.append(Wire(self))
        return self.wires[-1]

    def receive(self, wire, data):
        """Take the next move of the play for a request."""
        head, _, _ = data.partition(b"\r\n\r\n")
        fields = dict(line.split(b": ", 1) for line in head.split(b"\r\n")[1:])
        method = head.split(b" ", 1)[0].decode()
        request = (fields[ID_NAME].decode(), int(fields[CALLER_NAME]), method)
        move = self._play.next_move()
        if wire.current is not None:
            wire.carried.append(wire.current)
        wire.current = request
        run = Run(request[1], wire)
        self._play.arrive(wire, request)
        if move.kind != "refuse":
            self._play.begin(run)
        self._write_copies(wire, move.before)
        if move.kind == "break":
            wire.end()
        if move.kind in ("run", "refuse"):
            loop = asyncio.get_running_loop()
            loop.call_later(move.delay_s, self._answer, wire, request, move, run)

    def _answer(self, wire, request, move, run):
        run.ended = True
        item = make_answer(move, request)
        # Also if the gateway has given it up by now.
        self._play.expect(wire, request, move, item)
        if wire.closed:
            return
        wire.feed(item)
        self._write_copies(wire, move.after)
        wire.pending.clear()
        self.answered.append((move, request))
        wire.answers.append((move, request))
        for other in self.wires:
            if other is not wire:
                self._write_copies(other, [copy._replace(elsewhere=True) for copy in move.aside])
        asyncio.get_running_loop().call_later(LATE_S, self._write_copies, wire, move.late)

    def _write_copies(self, wire, copies):
        for copy in copies:
            known = self.answered if copy.elsewhere else wire.answers
            if not known:
                continue
            move, request = known[-1 - copy.back % len(known)]
            if self._is_possible(wire, request):
                wire.feed(make_answer(move, request, copy.named, copy.framed))

    def _is_possible(self, wire, request):
        """Tell whether a copy may be written on a connection.

        The users' pages say that a copy comes on the connection of its request. For one that may
        run once, the gateway is to be safe from copies on the address's other connections, too.
        """
        current = wire.current
        if current is None or request[0] != current[0]:
            return True
        if any(move_request is request for _, move_request in wire.answers):
            return True
        return request[1] == current[1] and not self._play.calls[request[1]].repeatable
