"""Runs an engine as a process of its own that logs the begin and the end of each run.

Run it as ``python -m support.platform.rigengine ID HOST:PORT LOG SEED [--habit HABIT] [--alias
ID]``. Each line of the log is a JSON object; times are of the monotonic clock, which all processes
of a host share.

An engine with an alias is known under two ids, and refuses many requests once: with 421 those for
the alias, for which it does not take itself at first.

An engine watches its connections, and drops a request whose connection ends. Its habit may differ:

- ``stubborn``: it goes on with a stream until it cannot write to its connection any more, as one
  that takes the end of the received data for no more than that
- ``deaf``: it runs each request to its end, whatever becomes of the connection
- ``hasty``: it closes idle connections long before the time that it states, so that the close
  meets requests on their way, and resets those beyond a few right after they were accepted
- ``proxied``: copies of its refusals come first on new connections, as from a proxy before it
"""

import argparse
import asyncio
import json
import os
import random
import time

from . import rigcopies

SLOTS, QUEUE = 6, 24
WORK_S, FIRST_EVENT_S, EVENT_GAP_S, EVENTS = 0.09, 0.1, 0.04, 30
STALL_S, PAUSE_S = 3.0, 0.4
# A process that wakes up later than this was kept from running, as one that is stopped.
LATE_CHECK_S, LATE_S = 0.05, 0.15
# Share of the requests that an engine with an alias refuses once.
REFUSED_ONCE_SHARE = 0.5
# Longest and shortest idle time of a hasty engine's connections, which state more, and its limit.
HASTY_IDLE_S, HASTY_MAX_CONNS, STATED_IDLE_S = (0.1, 1.0), 12, 5
# Shares of the requests that meet a fault, added up.
STALLED, RESET, FAILED, CUT, FULL, PAUSING = 0.02, 0.03, 0.045, 0.06, 0.1, 0.105
HABITS = ("", "stubborn", "deaf", "hasty", "proxied")
ID_HEADER, TARGET_HEADER = "x-berylrock-attempt-id", "x-berylrock-target-instance"
LAST_EVENT, MODEL = "last-event-id", "x-berylrock-model"
NOT_RUN = "X-Berylrock-Not-Executed: 1\r\n"


class Engine:
    """An engine of a plain service or of models."""

    def __init__(self, options):
        self._options = options
        self._log = os.open(options.log, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        self._rng = random.Random(options.seed)
        # Of its own, so that copies do not change which other faults a seed has.
        self._copies_rng = random.Random(f"{options.seed} copies")
        self._slots = asyncio.Semaphore(SLOTS if options.id.startswith("plain") else 48)
        self._held = 0
        self._runs = 0
        self._refused = set()
        self._copier = rigcopies.Copier(self._copies_rng, options.habit == "proxied")
        self._copies = {}
        self._open = 0

    @property
    def _is_watching(self):
        return self._options.habit not in ("stubborn", "deaf")

    async def watch_lateness(self):
        """Log when this process was kept from running."""
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(LATE_CHECK_S)
            late_s = time.monotonic() - began_at - LATE_CHECK_S
            if late_s > LATE_S:
                self.write(what="late", since=began_at)

    def write(self, **fields):
        """Write a line to the log, at once."""
        line = json.dumps({"at": time.monotonic(), "engine": self._options.id} | fields)
        os.write(self._log, line.encode() + b"\n")

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        self._open += 1
        try:
            if self._options.habit == "hasty" and self._open > HASTY_MAX_CONNS:
                return
            self._copies[writer] = self._copier.open()
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, TimeoutError):
            # The other side has closed or reset the connection, or it was idle for too long.
            pass
        finally:
            self._open -= 1
            self._copies.pop(writer, None)
            writer.transport.abort()

    async def _read_head(self, reader):
        idle_s = self._rng.uniform(*HASTY_IDLE_S) if self._options.habit == "hasty" else None
        async with asyncio.timeout(idle_s):
            return (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")

    async def _serve_one(self, reader, writer):
        head = await self._read_head(reader)
        first, *lines = head.split("\r\n")
        target = first.split()[1]
        pairs = [line.partition(":") for line in lines if line]
        headers = {name.lower(): value.strip() for name, _, value in pairs}
        await reader.readexactly(int(headers.get("content-length", 0)))
        copies = self._copies[writer]
        status, more = self._find_refusal(headers)
        draw = 1.0 if status else self._rng.random()
        if not status and headers[ID_HEADER] not in self._refused:
            status, more = self._find_fault(draw)
        if not status:
            self._copier.repeat_refusal(copies, headers[ID_HEADER])
        await self._send(writer, copies.take("early"))
        if status:
            self._refused.add(headers[ID_HEADER])
            return await self._answer(writer, headers, status, more)
        return await self._run(reader, writer, target, headers, draw)

    def _find_refusal(self, headers):
        """Return the status and further header lines of a refusal for its ids; 0 for none."""
        named, alias = headers.get(TARGET_HEADER, self._options.id), self._options.alias
        if named not in (self._options.id, alias):
            return 421, NOT_RUN
        is_first = headers[ID_HEADER] not in self._refused
        if alias and is_first and self._copies_rng.random() < REFUSED_ONCE_SHARE:
            return 421 if named == alias else self._copies_rng.choice((429, 503)), NOT_RUN
        return 0, ""

    def _find_fault(self, draw):
        """Return the same of a refusal by an engine that is full, or wants a pause."""
        if self._held >= SLOTS + QUEUE or CUT <= draw < FULL:
            return 503, NOT_RUN
        if FULL <= draw < PAUSING:
            return 503, f"{NOT_RUN}Retry-After: {PAUSE_S}\r\n"
        return 0, ""

    async def _run(self, reader, writer, target, headers, draw):
        self._held += 1
        self._runs += 1
        run, how, keeps_open = self._runs, "broken", False
        watch = asyncio.create_task(reader.read(1)) if self._is_watching else None
        try:
            async with self._slots:
                self.write(what="begin", run=run, id=headers[ID_HEADER], target=target)
                work = asyncio.create_task(self._work(writer, target, headers, draw))
                waited = {work} if watch is None else {work, watch}
                await asyncio.wait(waited, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    how = "cancelled"
                    work.cancel()
                    return False
                keeps_open = work.result()
                how = "done"
                return keeps_open
        finally:
            self._held -= 1
            sound = keeps_open and self._copies[writer].is_fair
            self.write(what="end", run=run, how=how, sound=sound)
            if watch is not None:
                watch.cancel()
                await asyncio.wait((watch,))

    async def _work(self, writer, target, headers, draw):
        if STALLED <= draw < RESET:
            writer.transport.abort()
            return False
        if RESET <= draw < FAILED:
            await asyncio.sleep(WORK_S)
            return await self._answer(writer, headers, 500, self._signature())
        if MODEL in headers:
            return await self._stream(writer, headers, draw)
        stalls = draw < STALLED and self._is_watching
        await asyncio.sleep(STALL_S if stalls else WORK_S)
        body = f"{self._options.id} {target}"
        return await self._answer(writer, headers, 200, self._signature(), body)

    async def _stream(self, writer, headers, draw):
        await asyncio.sleep(FIRST_EVENT_S)
        head = self._make_head(headers, 200, self._signature())
        head += f"X-Berylrock-Hint-Confidence: {self._rng.randrange(101)}\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        copies = self._copies[writer]
        writer.write(copies.take("together") + head.encode())
        first = int(headers.get(LAST_EVENT) or 0) + 1
        bad_event = self._rng.randrange(first, EVENTS + 2)
        for number in range(first, EVENTS + 1):
            data = f"id: {number}\ndata: {headers[MODEL]}\n\n"
            if number == bad_event and draw < STALLED and self._is_watching:
                # An engine that does not watch and writes nothing could not learn of the close.
                await asyncio.sleep(STALL_S)
            if number == bad_event and FAILED <= draw < CUT:
                writer.write(f"{len(data):x}\r\n{data[:5]}".encode())
                writer.transport.abort()
                return False
            await self._send(writer, f"{len(data):x}\r\n{data}\r\n".encode())
            await asyncio.sleep(EVENT_GAP_S)
        await self._send(writer, b"0\r\n\r\n")
        await self._send(writer, copies.take("after"))
        return True

    async def _send(self, writer, data):
        """Write data and wait until it has left; a deaf engine does not learn if it cannot."""
        if not data or self._options.habit == "deaf" and writer.transport.is_closing():
            return
        writer.write(data)
        try:
            await writer.drain()
        except OSError:
            if self._options.habit != "deaf":
                raise

    def _signature(self):
        return f"X-Berylrock-Response-Signature: sig-{self._options.id}\r\n"

    @staticmethod
    def _make_head(headers, status, more):
        lines = f"HTTP/1.1 {status} X\r\n{rigcopies.ID_LINE.format(headers[ID_HEADER])}"
        return f"{lines}Keep-Alive: timeout={STATED_IDLE_S}\r\n{more}"

    async def _answer(self, writer, headers, status, more, body=""):
        head = self._make_head(headers, status, more)
        data = f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        copies, is_refusal = self._copies[writer], NOT_RUN in more
        await self._send(writer, copies.take("together") + data)
        await self._send(writer, copies.take("after"))
        self._copier.plan(copies, headers[ID_HEADER], data, is_refusal)
        await self._send(writer, copies.take("at once"))
        return True


async def main(options):
    """Serve until the process is ended by a signal."""
    host, _, port = options.address.rpartition(":")
    item = Engine(options)
    server = await asyncio.start_server(item.serve, host, int(port))
    item.write(what="started", habit=options.habit)
    lateness = asyncio.create_task(item.watch_lateness())
    await asyncio.gather(server.serve_forever(), lateness)


def parse():
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("id")
    parser.add_argument("address")
    parser.add_argument("log")
    parser.add_argument("seed", type=int)
    parser.add_argument("--habit", choices=HABITS, default="")
    parser.add_argument("--alias", default="", help="another id of the engine")
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse()))
