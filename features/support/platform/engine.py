"""A stand-in for an engine of the platform: whole answers and streams, with faults on demand."""

import asyncio
import time

import h11

from berylrock.adapters import http1

HEADER_BYTES = 65_536


class Run:
    """A request that the engine began to run, as it arrived."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = {name.decode().lower(): value.decode() for name, value in headers}
        self.body = body
        self.cancelled = False
        self.at = time.monotonic()


class StandInEngine:
    """Answers by its ``faults``, one for each request, then well.

    Faults: ``full`` (503, not run), ``error`` (500, run), ``reset`` (run, no answer), ``silent``,
    ``cut N`` (a stream broken off within event N), ``unframed``, ``extra`` (a second answer),
    ``stranger`` (another request's id), ``unsigned``, ``encoded``, ``short`` (body cut off),
    ``garbage``, ``early`` (answered before the body was read), ``stuck`` (the body is never read).
    """

    def __init__(self, engine_id):
        self.id = engine_id
        self.faults = []
        self.runs = []
        self.confidence = {}
        self.events = 6
        self.event_s = 0.005
        self.work_s = 0.0
        self.server = None
        self.port = 0

    async def start(self, host="127.0.0.1"):
        """Listen."""
        self.server = await asyncio.start_server(self._serve, host, 0)
        self._where = self.server.sockets[0].getsockname()
        self.port = self._where[1]

    async def stop(self):
        """Stop listening: connections are refused from now on."""
        self.server.close()

    async def _serve(self, stream, writer):
        link = http1.CallerConnection(stream, writer, HEADER_BYTES)
        try:
            while await self._serve_one(link, writer):
                link.start_next_request()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            link.abort()

    async def _serve_one(self, link, writer):
        event = await link.next_event()
        if not isinstance(event, h11.Request):
            return False
        run = Run(event.method.decode(), event.target.decode(), event.headers, b"")
        if self.faults and self.faults[0] in ("early", "stuck"):
            return await self._answer_unread(link, writer, run, self.faults.pop(0))
        run.body = await self._read_body(link)
        if run.headers.get("x-berylrock-target-instance", self.id) != self.id:
            return await self._whole(link, 421, [], b"")
        fault = self.faults.pop(0) if self.faults else ""
        if run.target.endswith("crasher"):
            self.runs.append(run)
            await self._crash(link)
            return False
        if fault == "full":
            return await self._whole(link, 503, [("X-Berylrock-Not-Executed", "1")], b"")
        self.runs.append(run)
        try:
            return await self._run(link, writer, run, fault)
        except OSError:
            run.cancelled = True
            raise

    @staticmethod
    async def _read_body(link):
        body = b""
        while not isinstance(part := await link.next_event(), h11.EndOfMessage):
            body += part.data
        return body

    async def _answer_unread(self, link, writer, run, fault):
        """Answer before the body is read, and read on later; or do neither (``stuck``)."""
        self.runs.append(run)
        writer.transport.pause_reading()
        if fault == "stuck":
            await asyncio.sleep(STUCK_S)
            return False
        headers = [("X-Berylrock-Attempt-Id", run.headers[ID])]
        headers.append(("X-Berylrock-Response-Signature", f"sig-{self.id}"))
        again = await self._whole(link, 200, headers, f"{self.id} early".encode())
        await asyncio.sleep(READ_ON_S)
        writer.transport.resume_reading()
        run.body = await self._read_body(link)
        return again or link.reusable

    async def _crash(self, link):
        """End like a process that crashed, and come back at the same address."""
        self.server.close()
        link.abort()
        host, port = self._where
        await asyncio.sleep(DOWN_S)
        self.server = await asyncio.start_server(self._serve, host, port)

    async def _run(self, link, writer, run, fault):
        if fault == "reset":
            link.abort()
            return False
        if fault == "silent":
            await link.reader.ended.wait()
            run.cancelled = True
            return False
        if fault == "garbage":
            writer.write(b"\x00\x01 no answer\r\n\r\n")
            await writer.drain()
            return False
        await asyncio.sleep(self.work_s)
        identity = "ffffffffffffffff" if fault == "stranger" else run.headers[ID]
        headers = [("X-Berylrock-Attempt-Id", identity)]
        if fault != "unsigned":
            headers.append(("X-Berylrock-Response-Signature", f"sig-{self.id}"))
        if fault == "encoded":
            headers.append(("Content-Encoding", "br"))
        if "x-berylrock-model" in run.headers:
            return await self._stream(link, writer, run, fault, headers)
        status = 500 if fault == "error" else 200
        text = f"{self.id} {run.method} {run.target}".encode()
        if fault == "short":
            size = str(len(text))
            await link.send(
                h11.Response(status_code=200, headers=[*headers, ("Content-Length", size)])
            )
            await link.send(h11.Data(data=text[:-5]))
            link.abort()
            return False
        again = await self._whole(link, status, headers, text)
        if fault == "extra":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
            await writer.drain()
            await asyncio.sleep(0.2)
            return False
        return again

    async def _stream(self, link, writer, run, fault, headers):
        if fault == "error":
            return await self._whole(link, 500, headers, b"bad")
        model = run.headers["x-berylrock-model"]
        if model in self.confidence:
            headers.append(("X-Berylrock-Hint-Confidence", str(self.confidence[model])))
        headers.append(("Content-Type", "text/event-stream"))
        if fault == "unframed":
            headers.append(("Connection", "close"))
            lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
            writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        else:
            headers.append(("Transfer-Encoding", "chunked"))
            await link.send(h11.Response(status_code=200, headers=headers))
        cut = int(fault.split()[1]) if fault.startswith("cut") else 0
        for number in range(int(run.headers.get("last-event-id", 0)) + 1, self.events + 1):
            data = f"id: {number}\ndata: {model} {number}\n\n".encode()
            if number == cut:
                await link.send(h11.Data(data=data[:9]))
                link.abort()
                return False
            if fault == "unframed":
                writer.write(data)
                await writer.drain()
            else:
                await link.send(h11.Data(data=data))
            await asyncio.sleep(self.event_s)
            if link.reader.ended.is_set():
                run.cancelled = True
                return False
        if fault == "unframed":
            writer.close()
            return False
        await link.send(h11.EndOfMessage())
        return link.reusable

    async def _whole(self, link, status, headers, body):
        headers = [*headers, ("Content-Length", str(len(body)))]
        await link.send(h11.Response(status_code=status, headers=headers))
        if body:
            await link.send(h11.Data(data=body))
        await link.send(h11.EndOfMessage())
        return link.reusable


ID = "x-berylrock-attempt-id"
DOWN_S = 0.4
READ_ON_S, STUCK_S = 0.3, 30.0
