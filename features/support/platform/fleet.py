"""Runs a gateway process with a stand-in store and stand-in engines, and sends it requests."""

import asyncio
import itertools
import pathlib
import time
from typing import NamedTuple

import h11

from berylrock.adapters import http1

from . import engine, gatewayprocess, loop, store

TIMEOUT_S = 15.0
POLL_S = 0.02
KEY, HOST = "key-one", "calls.example"
CHAT_HEADERS = (
    ("X-Berylrock-Model", "*"),
    ("X-Berylrock-Token-Usage", "100,20"),
    ("X-Berylrock-Prefix-Hash", "aa:50,bb:50"),
)


class Answer(NamedTuple):
    """A response as its caller received it.

    Attributes:
      status: The HTTP status; 0 if no response head arrived.
      headers: Headers by name.
      body: The part of the body that arrived.
      whole: Whether the response arrived completely.
    """

    status: int
    headers: dict
    body: bytes
    whole: bool

    @property
    def event_ids(self):
        """Ids of the stream's events, in the order of their arrival."""
        lines = self.body.decode().splitlines()
        return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


def make_route(name, prefix, kind, service, **more):
    """Return a route in the form that operators write to the store.

    Args:
      name: Name of the route.
      prefix: Prefix of its paths.
      kind: Its route type.
      service: Name of its service.
      **more: Fields to add or to replace.
    """
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


def make_config(version, keys=(KEY,), **more):
    """Return a configuration with a plain service and a model service.

    Args:
      version: Version of the configuration.
      keys: Keys of its one organisation.
      **more: Top-level fields to add or to replace.
    """
    sizes = ["small", "large"]
    stream = {"sizes": sizes, "stream-resume": True, "itl-target-ms": 600}
    return {
        "version": version,
        "routes": [
            make_route("read", "/read/", "idempotent", "plain"),
            make_route("order", "/order/", "non_idempotent", "plain", **{"max-attempts": 1}),
            make_route("chat", "/chat/", "streaming", "models", **stream),
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


def make_entry(service, address, **fields):
    """Return an engine's entry in the form that engines write to the store.

    Args:
      service: Name of its service.
      address: Its host and port.
      **fields: Fields to add or to replace.
    """
    base = {
        "backend": service,
        "address": address,
        "zone": "etna-a",
        "version": "v1",
        "batch-slots": 8,
        "state": "ready",
        "warmup-left-ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return base | fields


class GatewayFleet:
    """A gateway with the stand-in store and the stand-in engines of a scenario.

    Args:
      root: Folder for settings and logs.
      plain: Number of engines of the plain service.
      models: Number of engines of the model service.
      revoke_ms: The gateway's bound on serving withdrawn keys, in milliseconds.
      grace_s: The gateway's time from SIGTERM to SIGKILL, in seconds.
      page_size: Most objects in one of the store's answers to a list request.
      lost_pages: Number of requests for later pages that the store resets.
      retry_extra: Number of repeats that the gateway allows beyond its ratio.
      launcher: What Python runs as the gateway, before the path of its settings.

    Attributes:
      root: Folder for settings and logs.
      host: The gateway's address.
      thread: The event loop on which the stand-ins run.
      store: The stand-in store.
      engines: Stand-in engines by name.
      started_ms: When each engine started, as it says of itself.
      config_version: Version of the initial configuration.
      entry: The gateway.
    """

    def __init__(
        self,
        root,
        plain=2,
        models=2,
        revoke_ms=5000,
        grace_s=4,
        page_size=500,
        lost_pages=0,
        retry_extra=50,
        launcher=("-m", "berylrock", "gateway"),
    ):
        self.root = pathlib.Path(root)
        self.host = gatewayprocess.new_host()
        self.thread = loop.LoopThread()
        self.store = store.StandInStore()
        self.store.page_size = page_size
        self.store.lost_pages = lost_pages
        self.thread.run(self.store.start())
        self.engines = {}
        self.started_ms = {}
        self.config_version = 1
        self.entry = gatewayprocess.GatewayProcess(
            self.root,
            "entry-1",
            self.host,
            self.store.port,
            revoke_ms,
            grace_s,
            retry_extra=retry_extra,
            launcher=launcher,
        )
        self.port, self.ready_port = self.entry.port, self.entry.ready_port
        self.peer_port = self.entry.peer_port
        self._ids = itertools.count(1)
        self.put("config", "main", make_config(1))
        for number in range(plain):
            self.add_engine(f"plain-{number}", "plain")
        for number in range(models):
            self.add_engine(f"models-{number}", "models")

    @property
    def process(self):
        """The gateway's operating system process."""
        return self.entry.popen

    def put(self, kind, name, spec):
        """Write an object's spec to the store, without a condition."""
        self.thread.run(self.store.put(kind, name, spec))

    def address_of(self, name):
        """Return the address under which an engine is registered in the store."""
        return f"127.0.0.1:{self.engines[name].port}"

    def add_engine(self, name, service, version="v1", zone="etna-a", state="ready", sequence=1):
        """Start an engine, unless it runs already, and write its entry to the store.

        Args:
          name: Name of the engine; it begins with the name of its service.
          service: Name of its service.
          version: Version of its software.
          zone: Its availability zone.
          state: Its state in the store.
          sequence: How often the engine has written its entry.

        Returns:
          The engine.
        """
        item = self.engines.get(name)
        if item is None:
            item = engine.StandInEngine(name)
            self.thread.run(item.start())
            self.engines[name] = item
            self.started_ms[name] = 1
        entry = make_entry(
            service,
            self.address_of(name),
            zone=zone,
            version=version,
            state=state,
            sequence=sequence,
            born=self.started_ms[name],
        )
        self.put("servers", name, entry)
        return item

    def start(self, ready=True):
        """Start the gateway.

        Args:
          ready: Whether to wait until its readiness page reports that it is ready.
        """
        self.entry.start()
        if ready:
            self.wait(lambda: self.get_readiness() == 200, "the gateway is ready")

    def get_readiness(self):
        """Return the status of the readiness page; 0 if the page cannot be read."""
        return self.get_page(self.ready_port, "/readyz").status

    def get_page(self, port, path):
        """Fetch a page from a port of the gateway."""
        return self.thread.run(exchange((self.host, port), "GET", path, [("Host", "x")], b""))

    def send(self, method="GET", path="/read/a", key=KEY, headers=(), body=b""):
        """Send a request on a new connection and wait for its response.

        Args:
          method: HTTP method.
          path: Path of the request.
          key: The caller's key; empty to send none.
          headers: Pairs of names and values; they replace the usual headers of the same names.
          body: The request's body.

        Returns:
          The ``Answer``.
        """
        return self.thread.run(self.send_async(method, path, key, headers, body))

    def send_async(self, method="GET", path="/read/a", key=KEY, headers=(), body=b""):
        """Return a coroutine that does what ``send`` does."""
        attempt_id = f"{next(self._ids):016x}"
        lines = [("Host", HOST), ("X-Berylrock-Attempt-Id", attempt_id)]
        lines += [("X-Api-Key", key)] if key else []
        if body:
            lines.append(("Content-Length", str(len(body))))
        names = {name.lower() for name, _ in headers}
        lines = [item for item in lines if item[0].lower() not in names]
        target = (self.host, self.port)
        return exchange(target, method, path, [*lines, *headers], body)

    def send_chunks(self, path, chunks):
        """Send a POST request with a chunked body.

        Args:
          path: Path of the request.
          chunks: The body with its chunk framing.
        """
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

    def send_chat(self, headers=()):
        """Send a request for a stream of the model service."""
        return self.send("POST", "/chat/a", headers=[*CHAT_HEADERS, *headers], body=b"prompt")

    def runs(self, service):
        """Return all requests that the engines of a service began to run."""
        return [
            run
            for name, item in self.engines.items()
            if name.startswith(service)
            for run in item.runs
        ]

    def wait(self, check, what):
        """Wait until a condition holds; fail with the end of the log if it does not in time.

        Args:
          check: Function that returns whether the condition holds.
          what: The condition in words, for the message of a failure.
        """
        deadline = time.monotonic() + TIMEOUT_S
        while not check():
            assert time.monotonic() < deadline, f"not true in time: {what}\n{self.log()[-3000:]}"
            time.sleep(POLL_S)

    def log(self):
        """Return all that the gateway has logged."""
        return self.entry.log()

    def signal(self, number):
        """Send the gateway's process a signal."""
        self.process.send_signal(number)

    def stop(self):
        """Kill the gateway and stop the stand-ins."""
        self.entry.stop()
        self.thread.stop()


async def exchange_kept(address, requests):
    """Send requests one after the other on one connection.

    Args:
      address: ``(host, port)`` to connect to.
      requests: Method, path, headers as bytes, and body of each.

    Returns:
      The ``Answer`` of each; those after the end of the connection have status 0.
    """
    conn = await http1.EngineConnection.open(address, 2.0)
    answers = []
    try:
        for method, path, headers, body in requests:
            answers.append(await _exchange_on(conn, method, path, headers, body))
            if not answers[-1].whole or not conn.reset_for_reuse():
                break
    finally:
        conn.close()
    return answers + [Answer(0, {}, b"", False)] * (len(requests) - len(answers))


async def exchange(address, method, path, headers, body):
    """Send one request on a new connection, with a client that rejects malformed responses.

    Args:
      address: ``(host, port)`` to connect to.
      method: HTTP method.
      path: Path of the request.
      headers: Pairs of names and values.
      body: The request's body.

    Returns:
      The ``Answer``.
    """
    try:
        conn = await http1.EngineConnection.open(address, 2.0)
    except http1.ConnectFailed:
        return Answer(0, {}, b"", False)
    raw = [(name.encode(), value.encode()) for name, value in headers]
    try:
        return await _exchange_on(conn, method, path, raw, body)
    finally:
        conn.close()


async def _exchange_on(conn, method, path, headers, body):
    """Send one request on an open connection; headers are pairs of bytes."""
    data, status, fields = b"", 0, {}
    try:
        await conn.send(method, path, headers, body)
        while True:
            event = await conn.next_event()
            if isinstance(event, h11.EndOfMessage):
                return Answer(status, fields, data, True)
            if isinstance(event, h11.Response):
                status = event.status_code
                fields = {name.decode(): value.decode() for name, value in event.headers}
            else:
                data += event.data
    except http1.ResponseBroken:
        return Answer(status, fields, data, False)
