"""A stand-in for an engine that writes earlier answers once more on its kept connections."""

import asyncio
import time

from .rawengine import ID_HEADER, Listener

LENGTH_HEADER = b"content-length: "
NOT_RUN = b"X-Berylrock-Not-Executed: 1\r\n"
SIGNED = b"X-Berylrock-Response-Signature: s\r\n"
# Its answers have no body, and no length.
NO_CONTENT = 204
EVENTS, ID_LENGTH = 6, 16
# Time from the copy to the answer that is due.
ANSWER_DELAY_S = 0.02
# Time between two looks whether a connection has ended.
LOOK_S = 0.005
DRIP, DRIP_GAP_S = b"1\r\nx\r\n", 0.05


def make_refusal(status, more=b""):
    """Return a refusal; ``{id}`` stands for the id of the request, ``more`` are header lines."""
    head = b"HTTP/1.1 %d Refused\r\nX-Berylrock-Attempt-Id: {id}\r\n" % status + more
    return head + NOT_RUN + b"Content-Length: 0\r\n\r\n"


def make_success(chunked=False, body=b"done", status=200):
    """Return a success; ``{id}`` stands for the id of the request."""
    head = b"HTTP/1.1 %d OK\r\nX-Berylrock-Attempt-Id: {id}\r\n" % status + SIGNED
    if status == NO_CONTENT:
        return head + b"\r\n"
    if chunked:
        return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    return head + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)


def make_stream():
    """Return a stream of which each event names the request; ``{id}`` stands for its id."""
    head = b"HTTP/1.1 200 OK\r\nX-Berylrock-Attempt-Id: {id}\r\n" + SIGNED
    head += b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    events = [b"id: %d\ndata: {id} %d\n\n" % (number, number) for number in range(1, EVENTS + 1)]
    sizes = [len(event) + ID_LENGTH - len(b"{id}") for event in events]
    chunks = [b"%x\r\n%s\r\n" % pair for pair in zip(sizes, events, strict=True)]
    return head + b"".join(chunks) + b"0\r\n\r\n"


class CopyingEngine(Listener):
    """Answers some requests with ``first``, and writes that again before the next answer.

    Attributes:
      arrived: Ids of the requests, in order of arrival.
      runs: Ids of the requests that it has begun to run.
      ran_s: How long each run went on after the copy, in seconds.
      met: Ids of the requests before whose answers it has written a copy.
      unasked: Open connections on which no request has come.
      given_up: When the other side closed a connection on which a request ran, by its id, in
        seconds on the monotonic clock.
    """

    def __init__(
        self,
        first,
        copies=1,
        by_id=False,
        refuses=True,
        answer=None,
        copy=None,
        drips=False,
        is_proxied=False,
        answer_delay_s=ANSWER_DELAY_S,
        late_s=None,
    ):
        """Prepare the engine.

        Args:
          first: The answer that is copied; ``{id}`` in it stands for the id of its request.
          copies: How often the answer is written again.
          by_id: Whether each id gets it the first time it comes; otherwise each connection's first
            request does.
          refuses: Whether a request that gets it does not run.
          answer: The answer of the others.
          copy: What is written in place of the copied answer; None to write it as it was.
          drips: Whether a copy ends in chunks that come slowly, and without end.
          is_proxied: Whether the copy for an id that comes again is written on any connection.
          answer_delay_s: Time from the copies to the answer that is due, in seconds.
          late_s: Time from the copied answer to its copies, which then come whether another request
            is under way or not; None for those before the next answer.
        """
        super().__init__()
        self.arrived, self.runs, self.met = [], [], []
        self.given_up = {}
        self.unasked = set()
        self._first = first
        self.ran_s = []
        self._drips = drips
        self._is_proxied = is_proxied
        self._copies = copies
        self._by_id = by_id
        self._refuses = refuses
        self._copy = copy or first
        self._answer = answer or make_success()
        self._answer_delay_s = answer_delay_s
        self._late_s = late_s

    async def _serve(self, reader, writer):
        due = b""
        carried = 0
        self.unasked.add(writer)
        try:
            while True:
                request_id = await self._read_request(reader)
                self.unasked.discard(writer)
                seen = request_id in self.arrived
                self.arrived.append(request_id)
                if not (seen if self._by_id else carried):
                    due = self._copy.replace(b"{id}", request_id)
                    if not self._refuses:
                        self.runs.append(request_id)
                    writer.write(self._first.replace(b"{id}", request_id))
                    if self._late_s is not None:
                        due = self._copy_late(writer, request_id, due)
                else:
                    if self._is_proxied:
                        due = self._copy.replace(b"{id}", request_id)
                    await self._run(reader, writer, request_id, due)
                    due = b""
                carried += 1
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has closed the connection, or the scenario ends.
            pass
        finally:
            self.unasked.discard(writer)
            writer.transport.abort()

    @staticmethod
    async def _read_request(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = head.partition(LENGTH_HEADER)[2].partition(b"\r\n")[0]
        await reader.readexactly(int(length or 0))
        return head.partition(ID_HEADER)[2].partition(b"\r\n")[0]

    def _copy_late(self, writer, request_id, due):
        """Write the copies of an answer on their own; returns what is due before the next one."""
        if self._late_s:
            asyncio.get_running_loop().call_later(self._late_s, writer.write, due * self._copies)
        else:
            writer.write(due * self._copies)
        self.met.append(request_id)
        return b""

    async def _run(self, reader, writer, request_id, due):
        """Run a request, and write the copies of an earlier answer before its own."""
        self.runs.append(request_id)
        if due:
            self.met.append(request_id)
            writer.write(due * self._copies)
            while self._drips and not writer.transport.is_closing():
                writer.write(DRIP)
                await asyncio.sleep(DRIP_GAP_S)
            await self._work(reader, request_id)
        writer.write(self._answer.replace(b"{id}", request_id))
        await writer.drain()

    async def _work(self, reader, request_id):
        """Take the time of a run, and note if the other side gives it up."""
        began_at = time.monotonic()
        while (ran_s := time.monotonic() - began_at) < self._answer_delay_s:
            # Bytes of a further request are left for later.
            if reader.at_eof() or reader.exception() is not None:
                self.given_up[request_id] = time.monotonic()
                break
            await asyncio.sleep(LOOK_S)
        self.ran_s.append(ran_s)
        if request_id in self.given_up:
            raise ConnectionResetError("the other side has given the run up")
