"""Several gateways with a proxy before the store for each, and before each engine."""

import itertools
import random

from berylrock.core import errors

from . import fleet, proxy

GATEWAYS = 3
METRICS_PORT = 9464
REVOKE_MS, GRACE_S = 5000, 5


class SoakFleet(fleet.GatewayFleet):
    """A store, engines of two services, and gateways that reach all of them through proxies."""

    def __init__(self, root):
        self.engine_proxies = {}
        super().__init__(root, plain=3, models=3, revoke_ms=REVOKE_MS, grace_s=GRACE_S)
        self.store_proxies = {}
        self.gateways = {}
        for number in range(1, GATEWAYS + 1):
            self._add_gateway(f"entry-{number}")
        self.counter = itertools.count(1)

    def _add_gateway(self, name):
        path = proxy.Proxy(self.store.port)
        self.thread.run(path.start())
        self.store_proxies[name] = path
        host = fleet.new_host()
        self.gateways[name] = fleet.GatewayProcess(
            self.root, name, host, path.port, REVOKE_MS, GRACE_S, self.peer_port
        )

    def address_of(self, name):
        """The address that an engine registers: its proxy's."""
        path = self.engine_proxies.get(name)
        if path is None:
            path = self.engine_proxies[name] = proxy.Proxy(self.engines[name].port)
            self.thread.run(path.start())
        return f"127.0.0.1:{path.port}"

    def start_all(self):
        """Start every gateway and wait until each is ready."""
        for item in self.gateways.values():
            item.start()
        self.wait_ready()

    def get_readiness_of(self, name):
        """A gateway's readiness status; 0 if it does not answer."""
        item = self.gateways[name]
        request = fleet.exchange(
            (item.host, item.ready_port), "GET", "/readyz", [("Host", "x")], b""
        )
        return self.thread.run(request).status

    def get_metrics_page(self, name, path):
        """A page on a gateway's metrics address."""
        item = self.gateways[name]
        request = fleet.exchange((item.host, METRICS_PORT), "GET", path, [("Host", "x")], b"")
        return self.thread.run(request).body

    def send_read_async(self, item):
        """The coroutine of a read at one gateway."""
        lines = [("Host", fleet.HOST), ("X-Api-Key", fleet.KEY)]
        lines.append(("X-Berylrock-Attempt-Id", f"{next(self.counter):016x}"))
        return fleet.exchange((item.host, item.port), "GET", "/read/a", lines, b"")

    def wait_ready(self):
        """Wait until every gateway says that it is ready."""
        for name in self.gateways:
            self.wait(lambda name=name: self.get_readiness_of(name) == 200, f"{name} is ready")

    def clear_faults(self):
        """Take all faults of proxies, store and engines back."""
        for path in (*self.store_proxies.values(), *self.engine_proxies.values()):
            path.clear_faults()
        self.thread.run(self.store.set_mode("up"))
        for item in self.engines.values():
            item.faults.clear()
            item.response_delay_s = 0.0

    def stop(self):
        """End all processes that were started, by their ids."""
        for item in self.gateways.values():
            item.stop()
        super().stop()


def pick(rng: random.Random, items):
    """One of some items, the same for the same seed."""
    found = sorted(items)
    if not found:
        raise errors.BerylrockError("nothing to choose from; add some engines")
    return rng.choice(found)
