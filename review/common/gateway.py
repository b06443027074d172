"""Starts gateways with the command of deploy/system.toml and settings as DEPLOY.md shows them."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONE = "etna-a"

SETTINGS = """
node-name = "{name}"
role = "gateway"
machine-class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "sicilia-est"
port-range = [{peers}, {last_peer}]
seed-nodes = []
bootstrap = true
discovery = "platform"
ingress = "virtual_ip"
heartbeat-ms = 1200
[zones]
etna-a = "sicilia-est"
catania-b = "sicilia-est"
[listen]
frontend = "{host}:{port}"
readiness = "{host}:{ready}"
[limits]
cpu-quota = 0.817
cpu-cores = 1
mem-limit-mb = 300
max-fds = 4100
bandwidth-mbps = 1000.0
disk-limit-mb = 0
[fault-tolerance]
nodes = 2
zones = 1
regions = 0
[bounds]
seed-staleness-s = 3
addr-cooldown-s = 2
contact-ms = 3000
ack-timeout-ms = 4000
sync-timeout-s = 4
drain-timeout-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
downgrade-slack-ms = 250
max-skew-ms = 5000
strict-revoke = true
revoke-timeout-ms = 5000
retry-ratio = 0.9
retry-window-s = 10
retry-extra = 56
canary-share = 0.15
canary-margin = 30
rollback-ms = 5000
warmup-overrun = 1.5
warmup-margin = 5
evacuate-ms = 5000
recovery-s = 12
iteration-ms = 120
retry-after-s = 7
session-ttl-s = 5
[platform]
address = "{store_host}:{store_port}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
retention-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
"""


def free_ports(host, count):
    """Return different ports of an address on which nothing listens."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]


class Gateway:
    """A gateway process.

    Attributes:
      address: Host and port for clients.
      process: The process; None before its start.
      log_path: File with what the process writes.
    """

    def __init__(self, folder, name, host, store_address):
        port, self._ready, peers = free_ports(host, 3)
        self.address = (host, port)
        self.process = None
        self.log_path = pathlib.Path(folder) / f"{name}.log"
        self._path = pathlib.Path(folder) / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                zone=ZONE,
                port=port,
                ready=self._ready,
                peers=peers,
                last_peer=peers,
                store_host=store_address[0],
                store_port=store_address[1],
            )
        )

    def start(self):
        """Start the process."""
        table = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = table["roles"]["gateway"]["run"].split()
        env = {"PATH": os.environ["PATH"], "HOME": os.environ.get("HOME", "/")}
        env |= {"PYTHONPATH": "target/deps", "BERYLROCK_BOOT": str(self._path)}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log)

    async def wait_ready(self, limit_s=20.0):
        """Wait until the readiness page answers 200; returns whether it did in time."""
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.address[0], self._ready)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b" 200 " in line:
                    return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        """End the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait(10)


def make_route(name, prefix, kind, **more):
    """Return a route of the configuration."""
    base = {
        "name": name,
        "hostname": "ficu95.example",
        "path-prefix": prefix,
        "route-type": kind,
        "backend": "gestionale",
        "timeout-ms": 3000,
        "target-latency-ms": 400,
        "max-attempts": 1 if kind == "non_idempotent" else 2,
        "priority": 2,
    }
    return base | more


def make_config():
    """Return the configuration: the plain calls of the sheet of ferrante-linea."""
    return {
        "version": 1,
        "routes": [
            make_route("dispatch-order", "/dispatch/", "non_idempotent"),
            make_route("stock-lookup", "/stock/", "idempotent"),
        ],
        "backends": [{"name": "gestionale", "health-path": "/healthz", "max-conns": 110}],
        "tenants": [{"name": "hule930", "api-keys": ["n2ctnfzs989anu6wsjnb"]}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
