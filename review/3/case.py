"""Clients give up orders while all engines of the service want a pause."""

import asyncio
import os
import pathlib
import tempfile
import time

from common import client, engine, gateway, record, store

FOLDER = pathlib.Path(__file__).parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 3
ENGINES = 4
ORDERS_PER_S = 40.0
WORK_S = 0.09
CONTACT_S = 3.0
# For so long the engines turn requests away, with Retry-After.
PAUSE_S = 2.0
# Three in ten clients leave, after half of the objective of 400 ms.
LEAVING_OF_TEN = 3
LEAVE_AFTER_S = 0.2
# "more than a few requests reach an engine over half a second later"
LATE_S, FEW = 0.5, 10
SETTLE_S = 6.0
DEADLINE_MS = 3000


class Case:
    """The gateway, its stand-ins and the calls."""

    def __init__(self, folder):
        self.host = f"127.8.{os.getpid() % 200 + 1}.9"
        self.folder = folder
        self.record = record.Record(FOLDER)
        self.store = store.Store()
        self.engines = []
        self.calls = []
        self.gateway = None
        self._tasks = set()
        self._ended = False
        self._pressed = False

    async def send_orders(self):
        """Send orders at a steady rate; during the trouble some clients leave early."""
        number = 0
        while not self._ended:
            number += 1
            call = client.Call(f"{number:016x}", "dispatch-order")
            self.calls.append(call)
            leaves = self._pressed and number % 10 < LEAVING_OF_TEN
            task = asyncio.create_task(
                client.send(
                    self.gateway.address,
                    call,
                    "POST",
                    "/dispatch/a",
                    DEADLINE_MS,
                    LEAVE_AFTER_S if leaves else None,
                    b"order",
                )
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / ORDERS_PER_S)
        await asyncio.gather(*self._tasks)

    async def play_round(self):
        """Let all engines turn requests away for a while, and some clients give up."""
        if HAS_TROUBLE:
            until = time.monotonic() + PAUSE_S
            for item in self.engines:
                item.refuses_until = until
            self._pressed = True
            self.record.add(f"engines turn requests away for {PAUSE_S} s; clients give up")
        await asyncio.sleep(PAUSE_S)
        self._pressed = False
        await asyncio.sleep(SETTLE_S)

    async def run(self):
        """Play all rounds; returns whether the gateway became ready."""
        await self.store.start(self.host)
        await self.store.put("config", "main", gateway.make_config())
        for number in range(ENGINES):
            item = engine.Engine(f"i-{number:04x}", WORK_S)
            await item.start(self.host)
            self.engines.append(item)
            await self.store.put("servers", item.id, item.make_entry("gestionale", gateway.ZONE))
        self.gateway = gateway.Gateway(self.folder, "edge-1", self.host, self.store.address)
        self.gateway.start()
        try:
            if not await self.gateway.wait_ready():
                return False
            sender = asyncio.create_task(self.send_orders())
            await asyncio.sleep(CONTACT_S)
            for _ in range(ROUNDS):
                await self.play_round()
            self._ended = True
            await sender
        finally:
            self.gateway.stop()
        return True

    def judge(self):
        """Return the status of the case and its summary."""
        closed = {call.attempt: call.closed_at for call in self.calls if call.closed_at}
        late, ran = [], 0
        for item in self.engines:
            for arrival in item.arrivals:
                closed_at = closed.get(arrival["attempt"])
                if closed_at is not None and arrival["at"] > closed_at + LATE_S:
                    late.append(arrival["at"] - closed_at)
                    ran += arrival["outcome"] == "ran"
        summary = [
            f"orders {len(self.calls)}, given up by their clients {len(closed)}",
            f"orders that reached an engine over {LATE_S} s after their client had closed "
            f"{len(late)}, of these run {ran}, the latest {max(late, default=0.0):.3f} s after",
        ]
        return (record.BROKEN if len(late) > FEW else record.HELD), summary


async def main():
    """Run the case."""
    with tempfile.TemporaryDirectory() as folder:
        case = Case(folder)
        if not await case.run():
            case.record.finish(record.COULD_NOT_RUN, [case.gateway.log_path.read_text()[-2000:]])
        for call in case.calls:
            case.record.add_call(call)
        for item in case.engines:
            case.record.add_arrivals(item)
        case.record.finish(*case.judge())


asyncio.run(main())
