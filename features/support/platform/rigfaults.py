"""The faults of the rig: what is done to its engines, gateways, links and store."""

import asyncio
import signal
import time

from . import fleet, rigchecks

GRACE_S, APPLY_MS = 8, 2000
FAULTS_PER_S, RENAMES_PER_S = 0.9, 0.15
RESTART_S, LEAVE_EXTRA_S = 1.0, 2.0
# Time until an address is used again, and for which the entry of its former engine still stands.
COOLDOWN_S, STALE_ENTRY_S, MIN_ENGINES = 2.0, 1.0, 1
# Shortest and longest time for which the entry of a crashed engine stands beside its new one.
OLD_ENTRY_S = (1.0, 6.0)
STORE_MODES = ("down", "silent", "busy", "lossy")
KINDS = (
    *("stop_engine", "stop_engine", "kill_engine", "replace_engine", "reset_engine"),
    *("slow_engine", "cut_engine", "silence_engine", "take_over", "flip_route"),
    *("stop_gateway", "kill_gateway", "term_gateway", "cut_store", "store_mode"),
)


class Faults:
    """The faults of a run; each method is one, and lasts until its coroutine ends."""

    def __init__(self, rig):
        self._rig = rig
        self._tasks = set()

    async def run(self, seconds):
        """Inject faults, which may overlap, for a time; returns once all have ended."""
        await asyncio.gather(
            self._inject(seconds, self._rig.rng, KINDS, FAULTS_PER_S),
            self._inject(seconds, self._rig.rename_rng, ("rename_engine",), RENAMES_PER_S),
        )
        await asyncio.gather(*self._tasks)

    async def _inject(self, seconds, rng, kinds, per_s):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(rng.expovariate(per_s))
            task = asyncio.create_task(getattr(self, rng.choice(kinds))())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _pause_s(self, first=0.3, last=3.0):
        return self._rig.rng.uniform(first, last)

    async def _stop_process(self, kind, item):
        if item is None or item.popen.poll() is not None:
            return
        popen = item.popen
        async with self._rig.disturb(kind, getattr(item, "id", "") or item.name):
            popen.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self._pause_s())
            popen.send_signal(signal.SIGCONT)

    async def stop_engine(self):
        """Stop an engine's process for a while."""
        await self._stop_process("engine_stop", self._rig.pick(self._rig.engines))

    async def stop_gateway(self):
        """Stop a gateway's process for a while."""
        await self._stop_process("gateway", self._rig.pick(self._rig.gateways))

    async def kill_engine(self):
        """Kill an engine, which starts again under its id and at its address."""
        rig = self._rig
        item = rig.pick(rig.engines)
        if item is None:
            return
        async with rig.disturb("engine_kill", item.id):
            await asyncio.to_thread(item.stop)
            await asyncio.sleep(RESTART_S)
            item.start()
            await rig.store.put("servers", item.id, self._entry(item, "ready"))

    async def _remove_entries(self, item):
        for engine_id in item.ids:
            await self._rig.store.remove("servers", engine_id)

    def _entry(self, item, state):
        born = int(time.monotonic() * 1000)
        return fleet.make_entry(item.service, item.address, state=state, born=born)

    async def replace_engine(self):
        """Let an engine drain and leave, while another one starts."""
        rig = self._rig
        item = rig.pick(rig.engines)
        if item is None:
            return
        rig.reserve(item.id)
        await asyncio.to_thread(rig.add_engine, item.service)
        await asyncio.sleep(RESTART_S)
        async with rig.disturb("engine_kill", f"{item.id} leaves"):
            for engine_id in item.ids:
                await rig.store.put("servers", engine_id, self._entry(item, "draining"))
            await asyncio.sleep(APPLY_MS / 1000.0 + LEAVE_EXTRA_S)
            await self._remove_entries(item)
        async with rig.disturb("engine_kill", item.id):
            await asyncio.to_thread(item.stop)
            del rig.engines[item.id]

    async def take_over(self):
        """Kill an engine; one of the other service gets its address while its entry stands."""
        rig = self._rig
        item = rig.pick(rig.engines, lambda one: rig.count(one.service) > MIN_ENGINES)
        if item is None:
            return
        other = "plain" if item.service == "models" else "models"
        async with rig.disturb("engine_kill", item.id):
            rig.reserve(item.id)
            await asyncio.to_thread(item.stop)
            del rig.engines[item.id]
            await asyncio.sleep(COOLDOWN_S)
            await asyncio.to_thread(rig.add_engine, other, item)
            await asyncio.sleep(STALE_ENTRY_S)
            await self._remove_entries(item)

    async def rename_engine(self):
        """Kill an engine, which starts again under a new id while its old entry stands."""
        rig = self._rig
        item = rig.pick(rig.engines, rng=rig.rename_rng)
        if item is None:
            return
        async with rig.disturb("engine_kill", item.id):
            rig.reserve(item.id)
            await asyncio.to_thread(item.stop)
            del rig.engines[item.id]
            await asyncio.sleep(RESTART_S)
            await asyncio.to_thread(rig.add_engine, item.service, item)
        await asyncio.sleep(rig.rename_rng.uniform(*OLD_ENTRY_S))
        await self._remove_entries(item)

    async def flip_route(self):
        """Forbid repeats of a route's requests, while a gateway is cut off from the store."""
        rig = self._rig
        item = rig.pick(rig.gateways)
        route = next(route for route in rig.config["routes"] if route["name"] == "flip")
        if item is None or route["route-type"] == "non_idempotent":
            return
        route |= {"route-type": "non_idempotent", "max-attempts": 1}
        rig.config["version"] += 1
        async with rig.disturb("gateway", item.name):
            link = rig.store_links[item.name]
            link.blocked_directions.update(("up", "down"))
            await rig.store.put("config", "main", rig.config)
            rig.mark(rigchecks.FLIPPED)
            await asyncio.sleep(self._pause_s(1.0, 4.0))
            link.clear_faults()

    async def _disturb_link(self, inject):
        rig = self._rig
        item = rig.pick(rig.engines, lambda one: one.link is not None)
        if item is None:
            return
        async with rig.disturb("link", item.id):
            inject(item.link)
            await asyncio.sleep(self._pause_s())
            item.link.clear_faults()

    async def reset_engine(self):
        """Reset an engine's connections."""
        await self._disturb_link(lambda link: link.reset())

    async def slow_engine(self):
        """Delay all bytes to and from an engine."""
        await self._disturb_link(lambda link: setattr(link, "delay_s", 0.15))

    async def cut_engine(self):
        """Hold back all bytes to and from an engine."""
        await self._disturb_link(lambda link: link.blocked_directions.update(("up", "down")))

    async def silence_engine(self):
        """Silence the open connections of an engine."""
        await self._disturb_link(lambda link: link.silence_open_connections())

    async def kill_gateway(self):
        """Kill a gateway, which is started again."""
        item = self._rig.pick(self._rig.gateways)
        if item is None:
            return
        async with self._rig.disturb("gateway", item.name):
            await asyncio.to_thread(item.stop)
            await asyncio.sleep(RESTART_S)
            item.start()

    async def term_gateway(self):
        """Stop a gateway as planned, and start it again once it has ended."""
        item = self._rig.pick(self._rig.gateways)
        if item is None or item.popen.poll() is not None:
            return
        async with self._rig.disturb("term", item.name):
            item.popen.send_signal(signal.SIGTERM)
            until = time.monotonic() + GRACE_S
            while item.popen.poll() is None and time.monotonic() < until:
                await asyncio.sleep(0.05)
            await asyncio.to_thread(item.stop)
            item.start()

    async def cut_store(self):
        """Cut a gateway off from the store."""
        rig = self._rig
        item = rig.pick(rig.gateways)
        if item is None:
            return
        async with rig.disturb("gateway", item.name):
            link = rig.store_links[item.name]
            link.blocked_directions.update(("up", "down"))
            await asyncio.sleep(self._pause_s(1.0, 6.0))
            link.clear_faults()

    async def store_mode(self):
        """Let the store fail for all gateways."""
        rig = self._rig
        async with rig.disturb("store", ""):
            await rig.store.set_mode(rig.rng.choice(STORE_MODES))
            await asyncio.sleep(self._pause_s(0.5, 4.0))
            await rig.store.set_mode("up")
