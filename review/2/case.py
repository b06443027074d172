"""An engine leaves while a machine's path to the store comes back."""

import asyncio
import os
import pathlib
import tempfile
import time

from common import client, engine, gateway, path, record, store

FOLDER = pathlib.Path(__file__).parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS = 9
ENGINES = 3
CALLS_PER_S = 40.0
WORK_S = 0.09
CONTACT_S, DRAIN_S = 3.0, 2.0
# Length of the cut; the site file has up to 5.5 s.
CUT_S = 4.5
# From the end of the cut to the removal of the engine's entry.
LEAVES_AFTER_S = 0.3
# "and a little longer (at times many seconds)": from the end of drain-timeout-ms to the exit.
LINGER_S = 1.0
SETTLE_S = 1.2
DEADLINE_MS = 3000


class Case:
    """The gateway, its stand-ins and the calls."""

    def __init__(self, folder):
        self.host = f"127.7.{os.getpid() % 200 + 1}.9"
        self.folder = folder
        self.record = record.Record(FOLDER)
        self.store = store.Store()
        self.path = None
        self.engines = []
        self.left = []
        self.calls = []
        self.gateway = None
        self._tasks = set()
        self._ended = False

    async def add_engine(self):
        """Start an engine and write its entry."""
        item = engine.Engine(f"i-{len(self.engines):04x}", WORK_S)
        await item.start(self.host)
        self.engines.append(item)
        await self.store.put("servers", item.id, item.make_entry("gestionale", gateway.ZONE))
        return item

    async def send_calls(self):
        """Send orders and lookups in turns, at a steady rate."""
        number = 0
        while not self._ended:
            number += 1
            kind = "dispatch-order" if number % 3 else "stock-lookup"
            call = client.Call(f"{number:016x}", kind)
            self.calls.append(call)
            method, path = ("POST", "/dispatch/a") if number % 3 else ("GET", "/stock/a")
            body = b"order" if number % 3 else b""
            task = asyncio.create_task(
                client.send(self.gateway.address, call, method, path, DEADLINE_MS, body=body)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1.0 / CALLS_PER_S)
        await asyncio.gather(*self._tasks)

    async def play_round(self):
        """Let an engine leave; with trouble, right after the machine was cut off from the store."""
        leaver = next(item for item in self.engines if item not in [one for one, _, _ in self.left])
        await self.add_engine()
        await asyncio.sleep(SETTLE_S)
        if HAS_TROUBLE:
            self.path.cut()
            self.record.add("the machine is cut off from the store")
        await asyncio.sleep(CUT_S)
        self.path.heal()
        healed_at = time.monotonic()
        if HAS_TROUBLE:
            self.record.add("the machine reaches the store again")
        await asyncio.sleep(LEAVES_AFTER_S)
        await self.store.remove("servers", leaver.id)
        gone_at = time.monotonic()
        # From then on the machine is in touch, and the engine has left for drain-timeout-ms.
        self.left.append((leaver, max(gone_at + DRAIN_S, healed_at + CONTACT_S), gone_at))
        self.record.add(f"store has acknowledged that {leaver.id} is gone")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        leaver.exit()
        self.record.add(f"{leaver.id} exits")

    async def run(self):
        """Play all rounds; returns whether the gateway became ready."""
        await self.store.start(self.host)
        await self.store.put("config", "main", gateway.make_config())
        for _ in range(ENGINES):
            await self.add_engine()
        self.path = path.Path(self.store.address)
        await self.path.start(self.host)
        self.gateway = gateway.Gateway(self.folder, "edge-1", self.host, self.path.address)
        self.gateway.start()
        try:
            if not await self.gateway.wait_ready():
                return False
            sender = asyncio.create_task(self.send_calls())
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
        late, lost = [], []
        failed = {call.attempt for call in self.calls if call.status != 200}
        for leaver, bound, gone_at in self.left:
            found = [item for item in leaver.arrivals if item["at"] > bound]
            found = [item for item in found if item["outcome"] != "misdirected"]
            late += [(leaver.id, item, item["at"] - gone_at) for item in found]
            lost += [item["attempt"] for item in found if item["attempt"] in failed]
        latest = max((seconds for _, _, seconds in late), default=0.0)
        answered = sum(call.status == 200 for call in self.calls)
        summary = [
            f"calls {len(self.calls)}, answered 200 {answered}, others {len(failed)}",
            f"engines that left {len(self.left)}",
            f"requests at an engine that left, later than drain-timeout-ms, from the machine "
            f"in touch {len(late)}, "
            f"the latest {latest:.3f} s after the acknowledgement",
            f"of these without a good answer {len(lost)}: {' '.join(lost)}",
        ]
        return (record.BROKEN if late else record.HELD), summary


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
