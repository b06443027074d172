"""Runs several gateways, with a proxy between each gateway and the store and before each engine."""

import itertools
import random

from berylrock.core import errors

from . import fleet, gatewayprocess, proxy

GATEWAYS = 3
METRICS_PORT = 9464
REVOKE_MS, GRACE_S = 5000, 5
# Wide enough for gateways that read the store through one of them.
APPLY_MS = 4000


class SoakFleet(fleet.GatewayFleet):
    """A store, engines of two services, and gateways that connect to them through proxies.

    Attributes:
      engine_proxies: Proxies before the engines, by the engine's name.
      store_proxies: Proxies before the store, by the gateway's name.
      gateways: Gateway processes by name.
      counter: Numbers for ids of requests and names of keys.
    """

    def __init__(self, root, apply_ms=APPLY_MS):
        self.engine_proxies = {}
        self._apply_ms = apply_ms
        super().__init__(root, plain=3, models=3, revoke_ms=REVOKE_MS, grace_s=GRACE_S)
        self.store_proxies = {}
        self.gateways = {}
        self._more = self.make_more_settings()
        for number in range(1, GATEWAYS + 1):
            self._add_gateway(f"entry-{number}")
        self.counter = itertools.count(1)

    def make_more_settings(self):
        """Return settings of the gateways beside the usual ones."""
        return gatewayprocess.NO_MORE

    def _add_gateway(self, name):
        store_proxy = proxy.Proxy(self.store.port)
        self.thread.run(store_proxy.start())
        self.store_proxies[name] = store_proxy
        host = gatewayprocess.new_host()
        self.gateways[name] = gatewayprocess.GatewayProcess(
            self.root,
            name,
            host,
            store_proxy.port,
            REVOKE_MS,
            GRACE_S,
            self.peer_port,
            apply_ms=self._apply_ms,
            more=self._more,
        )

    def address_of(self, name):
        """Return the address of an engine's proxy, under which the engine is registered."""
        engine_proxy = self.engine_proxies.get(name)
        if engine_proxy is None:
            engine_proxy = self.engine_proxies[name] = proxy.Proxy(self.engines[name].port)
            self.thread.run(engine_proxy.start())
        return f"127.0.0.1:{engine_proxy.port}"

    def start_all(self):
        """Start all gateways and wait until each is ready."""
        for item in self.gateways.values():
            item.start()
        self.wait_ready()

    def get_readiness_of(self, name):
        """Return the status of a gateway's readiness page; 0 if it does not answer."""
        item = self.gateways[name]
        request = fleet.exchange(
            (item.host, item.ready_port), "GET", "/readyz", [("Host", "x")], b""
        )
        return self.thread.run(request).status

    def get_metrics_page(self, name, path):
        """Return the body of a page on a gateway's metrics port."""
        item = self.gateways[name]
        request = fleet.exchange((item.host, METRICS_PORT), "GET", path, [("Host", "x")], b"")
        return self.thread.run(request).body

    def send_read_async(self, item):
        """Return a coroutine that sends a read request to a gateway process."""
        lines = [("Host", fleet.HOST), ("X-Api-Key", fleet.KEY)]
        lines.append(("X-Berylrock-Attempt-Id", f"{next(self.counter):016x}"))
        return fleet.exchange((item.host, item.port), "GET", "/read/a", lines, b"")

    def wait_ready(self):
        """Wait until the readiness page of every gateway reports that it is ready."""
        for name in self.gateways:
            self.wait(lambda name=name: self.get_readiness_of(name) == 200, f"{name} is ready")

    def clear_faults(self):
        """End all faults but the silence of connections, which lasts until they are closed."""
        for item in (*self.store_proxies.values(), *self.engine_proxies.values()):
            item.clear_faults()
        self.thread.run(self.store.set_mode("up"))
        for item in self.engines.values():
            item.faults.clear()
            item.response_delay_s = 0.0

    def stop(self):
        """Kill all gateways and stop the stand-ins."""
        for item in self.gateways.values():
            item.stop()
        super().stop()


def pick(rng: random.Random, items):
    """Return a random item; the same seed gives the same item, whatever the order of the items."""
    choices = sorted(items)
    if not choices:
        raise errors.BerylrockError("no items to choose from; add some engines")
    return rng.choice(choices)
