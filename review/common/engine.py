"""A stand-in for an engine of a plain service, as PROTOCOL.md describes it under "Engines"."""

import asyncio
import random
import time

from common import wire

KEEP_ALIVE_S = 30
ATTEMPT = "x-berylrock-attempt-id"


class Engine:
    """Runs each request for ``work_s`` seconds in one of ``slots`` slots, and queues a few more.

    Times are in seconds of ``time.monotonic``.

    Attributes:
      id: The engine's id.
      address: Host and port on which it listens.
      arrivals: Time, attempt id and outcome of each request that reached it: ``ran``, ``refused``,
        ``misdirected`` or ``cut`` (the engine exited while it ran).
      refuses_until: Time until which it turns every request away, with ``Retry-After``.
      full_share: Share of the requests that find it full, with the requests of other machines.
    """

    def __init__(self, engine_id, work_s, slots=6, queue=24):
        self.id = engine_id
        self.full_share = 0.0
        self.address = ("", 0)
        self.arrivals = []
        self.refuses_until = 0.0
        self._work_s = work_s
        self._slots = asyncio.Semaphore(slots)
        self._most = slots + queue
        self._held = 0
        self._server = None
        self._connections = {}

    async def start(self, host):
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def make_entry(self, service, zone, state="ready"):
        """Return the engine's entry in the store."""
        return {
            "backend": service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": zone,
            "version": "v1",
            "batch-slots": 6,
            "state": state,
            "warmup-left-ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
        }

    def exit(self):
        """End as a process does: no listener any more, and all connections close."""
        self._server.close()
        for task, writer in list(self._connections.items()):
            writer.transport.abort()
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections[task] = writer
        try:
            while True:
                _, _, headers, _ = await wire.read_request(reader)
                writer.write(await self._answer(headers))
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            del self._connections[task]
            writer.close()

    async def _answer(self, headers):
        attempt, now = headers.get(ATTEMPT, ""), time.monotonic()
        arrival = {"at": now, "attempt": attempt, "outcome": "ran"}
        self.arrivals.append(arrival)
        base = [("X-Berylrock-Attempt-Id", attempt), ("Keep-Alive", f"timeout={KEEP_ALIVE_S}")]
        if headers.get("x-berylrock-target-instance", self.id) != self.id:
            arrival["outcome"] = "misdirected"
            return wire.make_response(421, [*base, ("X-Berylrock-Not-Executed", "1")], b"")
        is_full = self._held >= self._most or random.random() < self.full_share
        if now < self.refuses_until or is_full:
            arrival["outcome"] = "refused"
            refusal = [*base, ("X-Berylrock-Not-Executed", "1")]
            if now < self.refuses_until:
                refusal.append(("Retry-After", f"{self.refuses_until - now:.2f}"))
            return wire.make_response(503, refusal, b"")
        self._held += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._work_s)
        except asyncio.CancelledError:
            arrival["outcome"] = "cut"
            raise
        finally:
            self._held -= 1
        body = f"{self.id} {attempt}".encode()
        return wire.make_response(200, [*base, ("X-Berylrock-Response-Signature", "s1")], body)
