"""An engine of the platform as a process of its own, as PROTOCOL.md describes one.

It is started with its id, its address, the file for its runs, and options. Each run is one line of
JSON, written before the engine begins to work, so that it stays if the process is killed.
"""

import argparse
import asyncio
import json
import os
import time


class Engine:
    """Answers requests, one at a time on a connection.

    Args:
      options: The command line.
    """

    def __init__(self, options):
        self._options = options
        self._file = os.open(options.runs, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def _note(self, **fields):
        line = json.dumps({"at": round(time.time(), 3), "engine": self._options.id, **fields})
        os.write(self._file, line.encode() + b"\n")

    async def serve(self, reader, writer):
        """Serve one connection until it ends."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        if target == "/healthz":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        attempt = fields.get("x-berylrock-attempt-id", "")
        if fields.get("x-berylrock-target-instance", self._options.id) != self._options.id:
            writer.write(
                f"HTTP/1.1 421 Misdirected Request\r\nX-Berylrock-Attempt-Id: {attempt}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        parts = fields.get("x-berylrock-prefix-hash", "")
        self._note(
            id=attempt, method=method, target=target, body=body.decode("latin-1"), parts=parts
        )
        answer = asyncio.create_task(self._answer(writer, attempt, fields, body))
        gone = asyncio.create_task(self._wait_for_end(reader))
        done, _ = await asyncio.wait((answer, gone), return_when=asyncio.FIRST_COMPLETED)
        if answer not in done:
            # Work stops with the connection.
            answer.cancel()
            self._note(id=attempt, dropped=True)
            return False
        gone.cancel()
        return answer.result()

    @staticmethod
    async def _wait_for_end(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def _answer(self, writer, attempt, fields, body):
        options = self._options
        heads = [
            f"X-Berylrock-Attempt-Id: {attempt}",
            f"X-Berylrock-Response-Signature: {options.id}",
        ]
        if "x-berylrock-model" in fields:
            return await self._stream(writer, attempt, fields, heads, body)
        await asyncio.sleep(options.work_ms / 1000)
        parts = [
            f"part {number} of {options.parts}\n".ljust(200, ".") for number in range(options.parts)
        ]
        if not options.unframed:
            heads.append(f"Content-Length: {sum(map(len, parts))}")
        else:
            heads.append("Connection: close")
        writer.write(
            ("HTTP/1.1 200 OK\r\n" + "".join(f"{item}\r\n" for item in heads) + "\r\n").encode()
        )
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(options.gap_ms / 1000)
            writer.write(part.encode())
        await writer.drain()
        self._note(id=attempt, ended=True)
        return not options.unframed

    async def _stream(self, writer, attempt, fields, heads, body):
        options = self._options
        heads.append("Content-Type: text/event-stream")
        parts = [
            item.partition(":")[0] for item in fields.get("x-berylrock-prefix-hash", "").split(",")
        ]
        crashes = bool(options.crash_part) and options.crash_part in parts
        crashes = crashes or bool(options.crash_body) and body == options.crash_body.encode()
        heads.append("Connection: close" if options.unframed else "Transfer-Encoding: chunked")
        writer.write(
            ("HTTP/1.1 200 OK\r\n" + "".join(f"{item}\r\n" for item in heads) + "\r\n").encode()
        )
        if crashes and not options.crash_events:
            self._note(id=attempt, crashed=True)
            os._exit(1)
        await asyncio.sleep(options.work_ms / 1000)
        last = int(fields.get("last-event-id", 0))
        for number in range(last + 1, options.events + 1):
            data = f"id: {number}\ndata: event {number} of {options.events}\n\n".encode()
            writer.write(data if options.unframed else b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            if crashes and number - last >= options.crash_events:
                self._note(id=attempt, crashed=True)
                os._exit(1)
            await asyncio.sleep(options.gap_ms / 1000)
        self._note(id=attempt, ended=True)
        if not options.unframed:
            writer.write(b"0\r\n\r\n")
        return not options.unframed


async def main():
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--runs", required=True)
    parser.add_argument("--work-ms", type=float, default=100.0)
    parser.add_argument("--gap-ms", type=float, default=50.0)
    parser.add_argument("--parts", type=int, default=1)
    parser.add_argument("--events", type=int, default=40)
    parser.add_argument("--crash-part", default="")
    parser.add_argument("--crash-body", default="")
    parser.add_argument("--crash-events", type=int, default=1)
    parser.add_argument("--unframed", action="store_true")
    options = parser.parse_args()
    engine = Engine(options)
    server = await asyncio.start_server(engine.serve, options.host, options.port)
    async with server:
        await server.serve_forever()


asyncio.run(main())
