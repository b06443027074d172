"""A stand-in for an engine of the platform: whole responses and streams, with fault injection."""

import asyncio
import time
from typing import NamedTuple

import h11

from berylrock.adapters import http1

HEADER_BYTES = 65_536


class Run:
    """A request that the engine began to run, as it was received.

    Attributes:
      method: HTTP method.
      target: Request target, with its query.
      headers: Headers by their lower-case names.
      body: The request's body.
      cancelled: Whether the gateway closed the connection before the response was complete.
      started_at: Time at which the request's head arrived, in seconds on the monotonic clock.
    """

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = {name.decode().lower(): value.decode("latin-1") for name, value in headers}
        self.body = body
        self.cancelled = False
        self.started_at = time.monotonic()


class Arrival(NamedTuple):
    """A request that arrived, whether it was run or not, and what its answer says of the engine.

    Attributes:
      at: Time of its arrival, in seconds on the monotonic clock.
      attempt_id: Its id.
      paused_until: End of the pause that the engine asked for, on the same clock; 0 for none.
      leaving: Whether the answer says that the engine leaves.
    """

    at: float
    attempt_id: str
    paused_until: float
    leaving: bool


class StandInEngine:
    """Answers requests, each with the next fault of its list, and correctly once the list is empty.

    The faults are:

    - ``full``: status 503, and the request is not run
    - ``refusal again``: the request is run, and the last refusal is written once more
    - ``refusal again, no id``: the same, without the id of the request that was refused
    - ``error``: the request is run and answered with status 500
    - ``reset``: the request is run and the connection reset without a response
    - ``silent``: the request is run and never answered
    - ``cut N``: a stream is cut off within event N
    - ``unframed``: a stream has neither a length nor chunks and ends with the connection
    - ``empty``: the same, and it has no events
    - ``error stream``: a stream is answered with status 500 and events
    - ``extra``: a second response follows the first
    - ``stranger``: the response has the id of another request
    - ``unsigned``: the response has no signature
    - ``encoded``: the response has a content encoding
    - ``short``: the response's body is cut off
    - ``garbage``: bytes are sent that are no HTTP response
    - ``early``: the response is sent before the request's body is read
    - ``stuck``: the request's body is never read

    A request whose target ends in ``crasher`` makes the engine close and listen again later, and so
    does one that has ``CRASHING_PART`` in its prompt or ``CRASHING_BODY`` as its body.

    Attributes:
      id: The engine's id.
      faults: Faults of the next requests, in order.
      runs: Requests that the engine began to run.
      arrivals: The ``Arrival`` of each request.
      leaving: Whether each answer says that the engine is about to leave.
      limit: Requests per second that the engine takes from all gateways together, as each answer
        names it; empty for no limit.
      more_headers: Pairs of names and values that each answer has besides.
      pause_s: Seconds from the next request for which the engine refuses all requests and asks for
        none until then; 0 for no pause.
      confidence: Value of the confidence header by model; models without an entry send none.
      restart_delay_s: Time for which the engine does not listen after a crash, in seconds.
      crash_after_events: Number of events that it sends in answer to a request that crashes it; -1
        for not even the head.
      event_count: Number of events in a complete stream.
      event_interval_s: Pause after each event, in seconds.
      refusal_delay_s: Time from a request to its refusal for the fault ``full``, in seconds.
      response_delay_s: Time from the whole request to its response, in seconds.
      server: The listening server; None before ``start``.
      port: Port on which the engine listens; 0 before ``start``.
    """

    def __init__(self, engine_id):
        self.id = engine_id
        self.faults = []
        self.runs = []
        self.arrivals = []
        self.leaving = False
        self.limit = ""
        self.more_headers = []
        self.pause_s = 0.0
        self._paused_until = 0.0
        self._refused_id = ""
        self.confidence = {}
        self.restart_delay_s = RESTART_DELAY_S
        self.crash_after_events = -1
        self.event_count = 6
        self.event_interval_s = 0.005
        self.response_delay_s = 0.0
        self.refusal_delay_s = 0.0
        self.server = None
        self.port = 0
        self._open = set()

    async def start(self, host="127.0.0.1"):
        """Start listening on a free port of an address."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        self._address = self.server.sockets[0].getsockname()
        self.port = self._address[1]

    async def stop(self):
        """Stop listening, so that new connections are refused."""
        self.server.close()

    async def _serve(self, stream, writer):
        conn = http1.CallerConnection(stream, writer, HEADER_BYTES)
        self._open.add(conn)
        try:
            while await self._serve_one(conn, writer):
                conn.start_next_request()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(conn)
            conn.abort()

    async def _serve_one(self, conn, writer):
        event = await conn.next_event()
        if not isinstance(event, h11.Request):
            return False
        run = Run(event.method.decode(), event.target.decode(), event.headers, b"")
        if self.faults and self.faults[0] in ("early", "stuck"):
            return await self._respond_unread(conn, writer, run, self.faults.pop(0))
        run.body = await self._read_body(conn)
        if run.headers.get("x-berylrock-target-instance", self.id) != self.id:
            headers = [("X-Berylrock-Attempt-Id", run.headers[ATTEMPT_ID_HEADER])]
            return await self._send_response(conn, 421, headers, b"")
        now, attempt_id = time.monotonic(), run.headers[ATTEMPT_ID_HEADER]
        if self.pause_s:
            self._paused_until, self.pause_s = now + self.pause_s, 0.0
        paused_until = self._paused_until if now < self._paused_until else 0.0
        self.arrivals.append(Arrival(now, attempt_id, paused_until, self.leaving))
        if paused_until:
            return await self._send_refusal(conn, attempt_id, paused_until - now)
        fault = self.faults.pop(0) if self.faults else ""
        if self._is_crashed_by(run) and self.crash_after_events < 0:
            self.runs.append(run)
            await self._crash(conn)
            return False
        if fault == "full":
            self._refused_id = run.headers[ATTEMPT_ID_HEADER]
            await asyncio.sleep(self.refusal_delay_s)
            return await self._send_refusal(conn, self._refused_id)
        self.runs.append(run)
        if fault.startswith("refusal again"):
            return await self._send_refusal(conn, "" if "no id" in fault else self._refused_id)
        try:
            return await self._run(conn, writer, run, fault)
        except OSError:
            run.cancelled = True
            raise

    async def _send_refusal(self, conn, attempt_id, retry_after_s=None):
        headers = [("X-Berylrock-Attempt-Id", attempt_id)] if attempt_id else []
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:.3f}"))
        return await self._send_response(
            conn, 503, [*headers, ("X-Berylrock-Not-Executed", "1")], b""
        )

    @staticmethod
    async def _read_body(conn):
        body = b""
        while not isinstance(part := await conn.next_event(), h11.EndOfMessage):
            body += part.data
        return body

    async def _respond_unread(self, conn, writer, run, fault):
        """Respond before reading the body and read it later; do neither for ``stuck``."""
        self.runs.append(run)
        writer.transport.pause_reading()
        if fault == "stuck":
            await asyncio.sleep(STUCK_DURATION_S)
            return False
        headers = [("X-Berylrock-Attempt-Id", run.headers[ATTEMPT_ID_HEADER])]
        headers.append(("X-Berylrock-Response-Signature", f"sig-{self.id}"))
        reusable = await self._send_response(conn, 200, headers, f"{self.id} early".encode())
        await asyncio.sleep(EARLY_READ_DELAY_S)
        writer.transport.resume_reading()
        run.body = await self._read_body(conn)
        return reusable or conn.reusable

    @staticmethod
    def _is_crashed_by(run):
        parts = run.headers.get("x-berylrock-prefix-hash", "")
        crashes = run.target.endswith("crasher") or f"{CRASHING_PART}:" in parts
        return crashes or run.body == CRASHING_BODY

    async def _crash(self, conn):
        """Close like a process that crashed, then listen again on the same address."""
        self.server.close()
        for item in list(self._open):
            item.abort()
        conn.abort()
        host, port = self._address
        await asyncio.sleep(self.restart_delay_s)
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _run(self, conn, writer, run, fault):
        if fault == "reset":
            conn.abort()
            return False
        if fault == "silent":
            await conn.reader.ended.wait()
            run.cancelled = True
            return False
        if fault == "garbage":
            writer.write(b"\x00\x01 no answer\r\n\r\n")
            await writer.drain()
            return False
        await asyncio.sleep(self.response_delay_s)
        attempt_id = "ffffffffffffffff" if fault == "stranger" else run.headers[ATTEMPT_ID_HEADER]
        headers = [("X-Berylrock-Attempt-Id", attempt_id)]
        if fault != "unsigned":
            headers.append(("X-Berylrock-Response-Signature", f"sig-{self.id}"))
        if fault == "encoded":
            headers.append(("Content-Encoding", "br"))
        if "x-berylrock-model" in run.headers:
            return await self._stream(conn, writer, run, fault, headers)
        status = 500 if fault == "error" else 200
        text = f"{self.id} {run.method} {run.target}".encode()
        if fault == "short":
            size = str(len(text))
            await conn.send(
                h11.Response(status_code=200, headers=[*headers, ("Content-Length", size)])
            )
            await conn.send(h11.Data(data=text[:-5]))
            conn.abort()
            return False
        reusable = await self._send_response(conn, status, headers, text)
        if fault == "extra":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
            await writer.drain()
            await asyncio.sleep(0.2)
            return False
        return reusable

    async def _stream(self, conn, writer, run, fault, headers):
        if fault == "error":
            return await self._send_response(conn, 500, headers, b"bad")
        model = run.headers["x-berylrock-model"]
        if model in self.confidence:
            headers.append(("X-Berylrock-Hint-Confidence", str(self.confidence[model])))
        headers.append(("Content-Type", "text/event-stream"))
        if fault == "error stream":
            return await self._send_response(conn, 500, headers, b"id: 4\ndata: error\n\n")
        headers += self._notices()
        unframed = fault in ("unframed", "empty")
        if unframed:
            headers.append(("Connection", "close"))
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        else:
            headers.append(("Transfer-Encoding", "chunked"))
            await conn.send(h11.Response(status_code=200, headers=headers))
        cut_at = int(fault.split()[1]) if fault.startswith("cut") else 0
        event_count = 0 if fault == "empty" else self.event_count
        first = int(run.headers.get("last-event-id", 0)) + 1
        for number in range(first, event_count + 1):
            if self._is_crashed_by(run) and number - first >= self.crash_after_events:
                await self._crash(conn)
                return False
            data = f"id: {number}\ndata: {model} {number}\n\n".encode()
            if number == cut_at:
                await conn.send(h11.Data(data=data[:9]))
                conn.abort()
                return False
            if unframed:
                writer.write(data)
                await writer.drain()
            else:
                await conn.send(h11.Data(data=data))
            await asyncio.sleep(self.event_interval_s)
            if conn.reader.ended.is_set():
                run.cancelled = True
                return False
        if self._is_crashed_by(run):
            await self._crash(conn)
            return False
        if unframed:
            writer.close()
            return False
        await conn.send(h11.EndOfMessage())
        return conn.reusable

    def _notices(self):
        """Return the headers in which the engine speaks of itself."""
        headers = [*self.more_headers, *([("Server-Leaving", "1")] if self.leaving else [])]
        return [*headers, ("Server-Limit", self.limit)] if self.limit else headers

    async def _send_response(self, conn, status, headers, body):
        headers = [*headers, *self._notices(), ("Content-Length", str(len(body)))]
        await conn.send(h11.Response(status_code=status, headers=headers))
        if body:
            await conn.send(h11.Data(data=body))
        await conn.send(h11.EndOfMessage())
        return conn.reusable


ATTEMPT_ID_HEADER = "x-berylrock-attempt-id"
RESTART_DELAY_S = 0.4
CRASHING_PART = "dead"
CRASHING_BODY = b"a body that crashes engines"
EARLY_READ_DELAY_S, STUCK_DURATION_S = 0.3, 30.0
