"""Another writer leaves an entry with fields missing among the engines, while engines are busy."""

import asyncio
import os
import pathlib
import tempfile

from common import client, engine, gateway, record, store

FOLDER = pathlib.Path(__file__).parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENGINES = 4
CLIENTS = 30
# Between two requests of a client; 60 a second in all.
PAUSE_S = 0.4
WORK_S = 0.09
CONTACT_S = 3.0
# Engines are full for a part of the requests, as in srv_grey with how = "busy".
BUSY_S, FULL_SHARE = 6.5, 0.45
QUIET_S = 4.0
DEADLINE_MS = 3000
# "more than three times"
MOST_CLOSED = 3
ODD_NAME = "gestionale \u2013 prova"


class Case:
    """The gateway, its stand-ins and the calls."""

    def __init__(self, folder):
        self.host = f"127.9.{os.getpid() % 200 + 1}.9"
        self.folder = folder
        self.record = record.Record(FOLDER)
        self.store = store.Store()
        self.engines = []
        self.calls = []
        self.gateway = None
        self._ended = False

    async def send_calls(self, number):
        """Send the requests of one client on a kept connection."""
        conn = client.KeptConnection(self.gateway.address)
        await asyncio.sleep(PAUSE_S * number / CLIENTS)
        while not self._ended:
            is_order = (len(self.calls) % 3) > 0
            kind = "dispatch-order" if is_order else "stock-lookup"
            call = client.Call(f"{len(self.calls) + 1:016x}", kind)
            self.calls.append(call)
            method, path = ("POST", "/dispatch/a") if is_order else ("GET", "/stock/a")
            await conn.send(call, method, path, DEADLINE_MS, b"order" if is_order else b"")
            await asyncio.sleep(PAUSE_S)
        conn.close()

    async def write_odd_entry(self):
        """Write an entry that names no engine to use: three of its fields are missing."""
        entry = self.engines[0].make_entry("gestionale", gateway.ZONE)
        for name in ("batch-slots", "warmup-left-ms", "sequence"):
            del entry[name]
        await self.store.put("servers", ODD_NAME, entry)
        self.record.add("another writer's entry, with fields missing, is among the engines")

    async def run(self):
        """Play the case; returns whether the gateway became ready."""
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
            clients = [asyncio.create_task(self.send_calls(n)) for n in range(CLIENTS)]
            await asyncio.sleep(CONTACT_S)
            if HAS_TROUBLE:
                await self.write_odd_entry()
            await asyncio.sleep(QUIET_S)
            for item in self.engines:
                item.full_share = FULL_SHARE
            await asyncio.sleep(BUSY_S)
            for item in self.engines:
                item.full_share = 0.0
            await asyncio.sleep(QUIET_S)
            self._ended = True
            await asyncio.gather(*clients)
        finally:
            self.gateway.stop()
        return True

    def judge(self):
        """Return the status of the case and its summary."""
        passed_on = {item["attempt"] for one in self.engines for item in one.arrivals}
        ended = [call for call in self.calls if not call.status and call.closed_at is None]
        kept = [call for call in ended if call.earlier]
        closed = [call.attempt for call in kept if call.attempt in passed_on]
        answered = sum(call.status == 200 for call in self.calls)
        refused = sum(call.status == 503 for call in self.calls)
        summary = [
            f"calls {len(self.calls)}, answered 200 {answered}, 503 {refused}",
            f"connections closed without an answer {len(ended)}, kept ones {len(kept)}",
            f"of these after the request had been passed on to a sound engine {len(closed)}",
        ]
        return (record.BROKEN if len(closed) > MOST_CLOSED else record.HELD), summary


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
