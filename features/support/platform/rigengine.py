"""Runs an engine as a process of its own that logs the begin and the end of each run.

Run it as ``python -m support.platform.rigengine ID HOST:PORT LOG SEED [--habit HABIT]``. Each line
of the log is a JSON object; times are of the monotonic clock, which all processes of a host share.

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

SLOTS, QUEUE = 6, 24
WORK_S, FIRST_EVENT_S, EVENT_GAP_S, EVENTS = 0.09, 0.1, 0.04, 30
STALL_S, PAUSE_S = 3.0, 0.4
# Shares of the answers that are written a second time, at once or before the next answer. Half of
# the copies of refusals have no id.
COPIED_SHARE, COPIED_REFUSAL_SHARE = 0.03, 0.3
# A process that wakes up later than this was kept from running, as one that is stopped.
LATE_CHECK_S, LATE_S = 0.05, 0.15
# Share of the new connections of a proxied engine on which a copy of a refusal comes first.
STRAY_SHARE = 0.5
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
        self._slots = asyncio.Semaphore(SLOTS if options.id.startswith("plain") else 48)
        self._held = 0
        self._runs = 0
        self._copies = {}
        self._strays = []
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
            if self._strays and self._rng.random() < STRAY_SHARE:
                self._copies[writer] = self._strays.pop()
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
        if headers.get(TARGET_HEADER, self._options.id) != self._options.id:
            return await self._answer(writer, headers, 421, NOT_RUN)
        draw = self._rng.random()
        if self._held >= SLOTS + QUEUE or CUT <= draw < FULL:
            return await self._answer(writer, headers, 503, NOT_RUN)
        if FULL <= draw < PAUSING:
            more = f"{NOT_RUN}Retry-After: {PAUSE_S}\r\n"
            return await self._answer(writer, headers, 503, more)
        return await self._run(reader, writer, target, headers, draw)

    async def _run(self, reader, writer, target, headers, draw):
        self._held += 1
        self._runs += 1
        run, how = self._runs, "broken"
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
            self.write(what="end", run=run, how=how)
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
        writer.write(head.encode())
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
        return True

    async def _send(self, writer, data):
        """Write data and wait until it has left; a deaf engine does not learn if it cannot."""
        if self._options.habit == "deaf" and writer.transport.is_closing():
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
        lines = f"HTTP/1.1 {status} X\r\nX-Berylrock-Attempt-Id: {headers[ID_HEADER]}\r\n"
        return f"{lines}Keep-Alive: timeout={STATED_IDLE_S}\r\n{more}"

    async def _answer(self, writer, headers, status, more, body=""):
        head = self._make_head(headers, status, more)
        data = f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
        await self._send(writer, self._copies.pop(writer, b"") + data)
        if self._rng.random() < self._copied_share(more is NOT_RUN):
            copy = data
            if more is NOT_RUN and self._rng.random() < 0.5:
                copy = data.replace(
                    f"X-Berylrock-Attempt-Id: {headers[ID_HEADER]}\r\n".encode(), b""
                )
            await self._send_copy(writer, copy, more is NOT_RUN)
        return True

    def _copied_share(self, is_refusal):
        if is_refusal and self._options.habit == "proxied":
            return 1.0
        return COPIED_REFUSAL_SHARE if is_refusal else COPIED_SHARE

    async def _send_copy(self, writer, copy, is_refusal):
        """Write a copy at once, or keep it for later, on this connection or on a new one."""
        if is_refusal and self._options.habit == "proxied":
            self._strays.append(copy)
        elif self._rng.random() < 0.5:
            await self._send(writer, copy)
        else:
            self._copies[writer] = copy


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
    return parser.parse_args()


if __name__ == "__main__":
    asyncio.run(main(parse()))
