"""Gateways and engines as processes, a stand-in store, and clients, for the cases of this review.

The gateways run with the command of the deploy file. The store is the project's stand-in. With
``KEEP_LOGS=1`` the settings and logs of the gateways stay in the temporary folder.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parents[1]
sys.path[:0] = [str(ROOT / "target" / "deps"), str(ROOT), str(ROOT / "features")]

from support.platform import store as standin_store  # noqa: E402

HEARTBEAT_S, SILENT_HEARTBEATS = 1.2, 3
READY_S = 20.0
SETTINGS = """
node-name = "{name}"
role = "gateway"
machine-class = "edge"
serves = ["edge"]
ip = "{host}"
zone = "{zone}"
region = "sicilia-est"
port-range = [{peers}, {last_peer}]
heartbeat-ms = 1200
[listen]
frontend = "{host}:{port}"
readiness = "{host}:{ready}"
[limits]
cpu-quota = 0.817
cpu-cores = 1
mem-limit-mb = 300
max-fds = 1024
bandwidth-mbps = 1000.0
[fault-tolerance]
nodes = 2
zones = 1
regions = 0
[bounds]
contact-ms = 3000
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
retry-after-s = 7
session-ttl-s = 5
[platform]
address = "127.0.0.1:{store}"
form = "objects"
"""


def free_port(host):
    """Return a port of an address on which no process listens."""
    with contextlib.closing(socket.socket()) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Lab:
    """The processes of one case, which all end with it.

    Attributes:
      record: Lines of what was sent, answered and run.
      began: When the traffic began, on the monotonic clock.
    """

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = []
        self.began = time.monotonic()
        self.store = standin_store.StandInStore()
        self.gateways, self.engines = {}, {}
        self._root = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self._numbers = itertools.count(2)
        self._network = os.getpid() % 200 + 20
        self._ids = itertools.count(1)
        self._peer_port = free_port("127.0.0.1")
        self._tasks = set()

    @property
    def now(self):
        """Seconds since the traffic began."""
        return time.monotonic() - self.began

    def note(self, text):
        """Add a line to the record."""
        self.record.append(f"{self.now:8.3f} {text}")

    def _host(self):
        return f"127.{self._network}.7.{next(self._numbers)}"

    async def add_gateway(self, name, zone, peers=None, **bounds):
        """Start a gateway process."""
        host = self._host()
        item = {"host": host, "port": free_port(host), "ready": free_port(host), "name": name}
        text = SETTINGS.format(
            **item,
            zone=zone,
            peers=self._peer_port,
            last_peer=self._peer_port + 3,
            store=self.store.port,
        )
        path = self._root / f"{name}.toml"
        path.write_text(text)
        item["path"] = path
        self.gateways[name] = item
        self.start_gateway(name)
        return item

    def start_gateway(self, name):
        """Start a gateway, also after it has ended."""
        item = self.gateways[name]
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"BERYLROCK_BOOT": str(item["path"]), "PYTHONPATH": str(ROOT / "target" / "deps")}
        with open(self._root / f"{name}.log", "ab") as log:
            item["popen"] = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT, env=env)

    async def wait_ready(self):
        """Wait until all gateways say that they are ready."""
        until = time.monotonic() + READY_S
        for item in self.gateways.values():
            while await self._ask_ready(item) != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{item['name']} is not ready")
                await asyncio.sleep(0.1)

    async def _ask_ready(self, item):
        try:
            reader, writer = await asyncio.open_connection(item["host"], item["ready"])
        except OSError:
            return 0
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return int(line.split()[1]) if line else 0

    def log(self, name):
        """Return what a gateway has logged."""
        return (self._root / f"{name}.log").read_text(errors="replace")

    async def add_engine(self, service, zone, *options, address=None, version="v1", slots=8):
        """Start an engine process, which registers itself with its heartbeats."""
        number = next(self._ids)
        host, port = address or (self._host(), 0)
        port = port or free_port(host)
        engine = {
            "id": f"i-{service}-{number:03}",
            "service": service,
            "zone": zone,
            "host": host,
            "port": port,
            "options": options,
            "version": version,
            "slots": slots,
            "born": int(time.time() * 1000),
            "sequence": 0,
            "silent": 0,
            "state": "ready",
        }
        command = [sys.executable, str(HERE / "engine.py"), "--id", engine["id"], "--host", host]
        command += ["--port", str(port), "--runs", str(self._root / "runs"), *options]
        engine["popen"] = subprocess.Popen(command)
        self.engines[engine["id"]] = engine
        for _ in range(100):
            try:
                _, writer = await asyncio.open_connection(host, port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.05)
        await self._beat(engine)
        return engine

    async def _beat(self, engine):
        engine["sequence"] += 1
        spec = {
            "backend": engine["service"],
            "address": f"{engine['host']}:{engine['port']}",
            "zone": engine["zone"],
            "version": engine["version"],
            "batch-slots": engine["slots"],
            "state": engine["state"],
            "warmup-left-ms": 0,
            "sequence": engine["sequence"],
            "born": engine["born"],
        }
        old = self.store.objects.get(("servers", engine["id"]))
        if old is not None and {**old["spec"], "sequence": 0} == {**spec, "sequence": 0}:
            # Only ``sequence`` differs, so the entry does not change.
            return
        await self.store.put("servers", engine["id"], spec)

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in list(self.engines.values()):
                if engine["popen"].poll() is None:
                    engine["silent"] = 0
                    await self._beat(engine)
                    continue
                engine["silent"] += 1
                if engine["silent"] == SILENT_HEARTBEATS:
                    await self.store.remove("servers", engine["id"])
                    del self.engines[engine["id"]]

    def watch_engines(self, down_s):
        """Let each engine that ends by itself start again after some seconds."""
        self.spawn(self._restart_ended(down_s))

    async def _restart_ended(self, down_s):
        known = set()
        while True:
            await asyncio.sleep(0.05)
            for engine in list(self.engines.values()):
                if engine["popen"].poll() is not None and engine["id"] not in known:
                    known.add(engine["id"])
                    self.spawn(self.crash_engine(engine, down_s))

    async def crash_engine(self, engine, down_s):
        """Kill an engine; it starts again at its address under a new id after some seconds."""
        self.note(f"engine {engine['id']} crashes")
        engine["popen"].kill()
        await asyncio.to_thread(engine["popen"].wait)
        await asyncio.sleep(down_s)
        again = await self.add_engine(
            engine["service"],
            engine["zone"],
            *engine["options"],
            address=(engine["host"], engine["port"]),
            version=engine["version"],
            slots=engine["slots"],
        )
        self.note(f"engine {engine['id']} is back as {again['id']}")

    def spawn(self, coro):
        """Run a coroutine until the case ends; its errors end the case."""
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        return task

    async def send(self, gateway, method, target, headers=(), body=b"", deadline_ms=3000, host=""):
        """Send one request on a new connection.

        Returns:
          Its id, the status (0 for none), the headers, the body, and whether the answer was whole.
        """
        item = self.gateways[gateway]
        attempt = os.urandom(8).hex()
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host or HOST}"]
        lines += [f"X-Berylrock-Attempt-Id: {attempt}", f"X-Berylrock-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                reader, writer = await asyncio.open_connection(item["host"], item["port"])
                try:
                    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                    status, fields, data, whole = await read_answer(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self.note(f"{attempt} {method} {target} to {gateway}: {exc!r}")
            return attempt, 0, {}, b"", False
        whole_text = "whole" if whole else "broken off"
        self.note(
            f"{attempt} {method} {target} to {gateway}: {status}, {len(data)} B, {whole_text}"
        )
        return attempt, status, fields, data, whole

    def runs(self):
        """Return what the engines have noted."""
        path = self._root / "runs"
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines() if line.endswith("}")]

    async def start(self, config):
        """Start the store and write the configuration."""
        await self.store.start()
        await self.store.put("config", "main", config)
        self.spawn(self._heartbeats())

    def end(self):
        """End all processes and write the record."""
        for task in self._tasks:
            task.cancel()
        for item in (*self.gateways.values(), *self.engines.values()):
            popen = item["popen"]
            if popen.poll() is None:
                popen.send_signal(signal.SIGKILL)
                popen.wait()
        lines = [*self.record, "runs, as the engines noted them:"]
        lines += [json.dumps(item) for item in self.runs()]
        (self.folder / "record.txt").write_text("\n".join(lines) + "\n")
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self._root, ignore_errors=True)


HOST = "calls.example"


async def read_answer(reader):
    """Read one answer of a gateway; a body without its end is not whole."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    status = int(first.split(" ")[1])
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    data = b""
    try:
        if fields.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip() or b"x", 16):
                data += await reader.readexactly(size)
                await reader.readline()
        else:
            data = await reader.readexactly(int(fields.get("content-length", 0)))
    except (OSError, ValueError, asyncio.IncompleteReadError):
        return status, fields, data, False
    return status, fields, data, True


def route(name, prefix, kind, service, **more):
    """Return a route as operators write it."""
    base = {
        "name": name,
        "hostname": HOST,
        "path-prefix": prefix,
        "route-type": kind,
        "backend": service,
        "timeout-ms": 3000,
        "target-latency-ms": 400,
        "max-attempts": 2,
        "priority": 1,
        "public": False,
    }
    return base | more


def config(version, routes, **more):
    """Return a configuration with a plain service and a model service."""
    return {
        "version": version,
        "routes": routes,
        "backends": [
            {"name": "plain", "health-path": "/healthz", "max-conns": 110},
            {
                "name": "models",
                "health-path": "/healthz",
                "max-conns": 300,
                "engine": {"batch-slots": 48, "kv-capacity": 444000, "models": []},
            },
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [
            {"name": "one", "api-keys": ["key-one"]},
            {"name": "two", "api-keys": ["key-two"]},
        ],
    } | more


def play(folder, coro_of):
    """Run a case; exit with 1 if it finds the rule broken, 0 if not, 2 if it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        lab = Lab(folder)
        try:
            async with asyncio.timeout(115):
                return await coro_of(lab, trouble)
        finally:
            lab.end()

    try:
        broken, text = asyncio.run(run())
    except Exception as exc:  # noqa: BLE001
        print(f"could not run: {exc!r}")
        sys.exit(2)
    print(text)
    with open(pathlib.Path(folder) / "record.txt", "a", encoding="utf-8") as out:
        out.write(text + "\n")
    sys.exit(1 if broken else 0)
