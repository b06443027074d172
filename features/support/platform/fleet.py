"""A gateway process between a stand-in store, stand-in engines and test callers."""

import asyncio
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import h11

from berylrock.adapters import http1

from . import engine, loop, store

WAIT_S = 15.0
POLL_S = 0.02
KEY, HOST = "key-one", "calls.example"
_hosts = itertools.count(2)

SETTINGS = """
node-name = "{name}"
zone = "etna-a"
region = "sicilia-est"
ip = "{host}"
heartbeat-ms = 1200
port-range = [{peers}, {peers}]
new-field = "is ignored"
[listen]
frontend = "{host}:{port}"
readiness = "{host}:{ready}"
[limits]
max-fds = 1024
[bounds]
revoke-timeout-ms = {revoke_ms}
grace-s = {grace_s}
retry-extra = {retry_extra}
warmup-overrun = 1.5
warmup-margin = 5
[platform]
address = "127.0.0.1:{store}"
"""


class Answer(NamedTuple):
    """What a caller got: status 0 if nothing, and whether the answer was whole."""

    status: int
    headers: dict
    body: bytes
    whole: bool

    @property
    def event_ids(self):
        """Ids of the events of a stream."""
        lines = self.body.decode().splitlines()
        return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


def new_host():
    """A loopback address that no other fleet of this or another test process has."""
    return f"127.0.{os.getpid() % 200 + 1}.{next(_hosts)}"


def free_port(host):
    """A port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def route(name, prefix, kind, service, **more):
    """A route as the operator writes it."""
    base = {
        "name": name,
        "hostname": HOST,
        "path-prefix": prefix,
        "route-type": kind,
        "backend": service,
        "timeout-ms": 3000,
        "target-latency-ms": 1000,
        "max-attempts": 3,
    }
    return base | more


def config(version, keys=(KEY,), **more):
    """A configuration: a plain service and a model service."""
    sizes = ["small", "large"]
    stream = {"sizes": sizes, "stream-resume": True, "itl-target-ms": 600}
    return {
        "version": version,
        "routes": [
            route("read", "/read/", "idempotent", "plain"),
            route("order", "/order/", "non_idempotent", "plain", **{"max-attempts": 1}),
            route("chat", "/chat/", "streaming", "models", **stream),
        ],
        "backends": [
            {"name": "plain", "health-path": "/healthz", "max-conns": 50},
            {
                "name": "models",
                "health-path": "/healthz",
                "max-conns": 50,
                "engine": {"batch-slots": 8, "kv-capacity": 1000, "models": []},
            },
        ],
        "tenants": [{"name": "one", "api-keys": list(keys)}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000},
    } | more


class GatewayProcess:
    """A gateway process: its addresses, settings and log.

    Attributes:
      popen: The process; None before its start.
    """

    def __init__(
        self, root, name, host, store_port, revoke_ms, grace_s, peer_port=None, retry_extra=50
    ):
        self.name, self.host = name, host
        self.port, self.ready_port = free_port(host), free_port(host)
        self.peer_port = peer_port or free_port(host)
        self.popen = None
        self._root = root
        self._path = root / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                port=self.port,
                ready=self.ready_port,
                store=store_port,
                peers=self.peer_port,
                revoke_ms=revoke_ms,
                grace_s=grace_s,
                retry_extra=retry_extra,
            )
        )

    def start(self):
        """Start the process, also again."""
        command = [sys.executable, "-m", "berylrock", "gateway", str(self._path)]
        with open(self._root / f"{self.name}.log", "ab") as log:
            self.popen = subprocess.Popen(command, stdout=log, stderr=log)

    def log(self):
        """What the process has logged."""
        path = self._root / f"{self.name}.log"
        return path.read_text() if path.exists() else ""

    def stop(self):
        """End the process at once, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait(WAIT_S)


class GatewayFleet:
    """All that a scenario runs."""

    def __init__(
        self, root, plain=2, models=2, revoke_ms=5000, grace_s=4, page=500, retry_extra=50
    ):
        self.root = pathlib.Path(root)
        self.host = new_host()
        self.thread = loop.LoopThread()
        self.store = store.StandInStore()
        self.store.page = page
        self.thread.run(self.store.start())
        self.engines = {}
        self.config_version = 1
        self.entry = GatewayProcess(
            self.root,
            "entry-1",
            self.host,
            self.store.port,
            revoke_ms,
            grace_s,
            retry_extra=retry_extra,
        )
        self.port, self.ready_port = self.entry.port, self.entry.ready_port
        self.peer_port = self.entry.peer_port
        self._ids = itertools.count(1)
        self.put("config", "main", config(1))
        for number in range(plain):
            self.add_engine(f"plain-{number}", "plain")
        for number in range(models):
            self.add_engine(f"models-{number}", "models")

    @property
    def process(self):
        """The gateway's process."""
        return self.entry.popen

    def put(self, kind, name, spec):
        """Write an object as its owner does."""
        self.thread.run(self.store.put(kind, name, spec))

    def address_of(self, name):
        """The address that an engine registers."""
        return f"127.0.0.1:{self.engines[name].port}"

    def add_engine(self, name, service, version="v1", zone="etna-a", state="ready"):
        """Start an engine and register it."""
        found = self.engines.get(name)
        if found is None:
            found = engine.StandInEngine(name)
            self.thread.run(found.start())
            self.engines[name] = found
        entry = {
            "backend": service,
            "address": self.address_of(name),
            "zone": zone,
            "version": version,
            "batch-slots": 8,
            "state": state,
            "warmup-left-ms": 0,
            "sequence": 1,
        }
        self.put("servers", name, entry)
        return found

    def start(self, ready=True):
        """Start the gateway and wait until it says that it is ready."""
        self.entry.start()
        if ready:
            self.wait(lambda: self.ready() == 200, "the gateway is ready")

    def ready(self):
        """The readiness page's status; 0 if there is none."""
        return self.get_page(self.ready_port, "/readyz").status

    def get_page(self, port, path):
        """Read a page of the gateway."""
        return self.thread.run(exchange((self.host, port), "GET", path, [("Host", "x")], b""))

    def send(self, method="GET", path="/read/a", key=KEY, headers=(), body=b""):
        """Send a request on a new connection and wait for its answer."""
        return self.thread.run(self.send_later(method, path, key, headers, body))

    def send_later(self, method="GET", path="/read/a", key=KEY, headers=(), body=b""):
        """The coroutine of ``send``."""
        identity = f"{next(self._ids):016x}"
        lines = [("Host", HOST), ("X-Berylrock-Attempt-Id", identity)]
        lines += [("X-Api-Key", key)] if key else []
        if body:
            lines.append(("Content-Length", str(len(body))))
        names = {name.lower() for name, _ in headers}
        lines = [item for item in lines if item[0].lower() not in names]
        target = (self.host, self.port)
        return exchange(target, method, path, [*lines, *headers], body)

    def send_chunks(self, path, chunks):
        """Post chunks that are framed already."""
        lines = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
        lines += "X-Berylrock-Attempt-Id: 00000000000000cc\r\nTransfer-Encoding: chunked\r\n"

        async def post():
            reader, writer = await asyncio.open_connection(self.host, self.port)
            writer.write(lines.encode() + b"Connection: close\r\n\r\n" + chunks)
            data = await reader.read()
            writer.close()
            head, _, body = data.partition(b"\r\n\r\n")
            return Answer(int(head.split()[1]), {}, body, bool(body))

        return self.thread.run(post())

    def chat(self, headers=()):
        """Send a request for a stream."""
        lines = [
            ("X-Berylrock-Model", "*"),
            ("X-Berylrock-Token-Usage", "100,20"),
            ("X-Berylrock-Prefix-Hash", "aa:50,bb:50"),
        ]
        return self.send("POST", "/chat/a", headers=[*lines, *headers], body=b"prompt")

    def runs(self, service):
        """All requests that engines of a service ran."""
        return [
            run
            for name, item in self.engines.items()
            if name.startswith(service)
            for run in item.runs
        ]

    def wait(self, check, what):
        """Wait until something holds."""
        until = time.monotonic() + WAIT_S
        while not check():
            assert time.monotonic() < until, f"did not come true: {what}\n{self.log()[-3000:]}"
            time.sleep(POLL_S)

    def log(self):
        """What the gateway has logged."""
        return self.entry.log()

    def signal(self, number):
        """Send the gateway a signal."""
        self.process.send_signal(number)

    def stop(self):
        """End everything that was started."""
        self.entry.stop()
        self.thread.stop()


async def exchange(address, method, path, headers, body):
    """Make one request with a strict client."""
    try:
        link = await http1.EngineConnection.open(address, 2.0)
    except http1.ConnectFailed:
        return Answer(0, {}, b"", False)
    data, status, fields = b"", 0, {}
    try:
        raw = [(name.encode(), value.encode()) for name, value in headers]
        await link.send(method, path, raw, body)
        while True:
            event = await link.next_event()
            if isinstance(event, h11.EndOfMessage):
                return Answer(status, fields, data, True)
            if isinstance(event, h11.Response):
                status = event.status_code
                fields = {name.decode(): value.decode() for name, value in event.headers}
            else:
                data += event.data
    except http1.ResponseBroken:
        return Answer(status, fields, data, False)
    finally:
        link.close()
