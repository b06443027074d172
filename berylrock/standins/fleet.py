"""Starts a complete deployment on loopback addresses: stand-ins, sidecars and entry processes.

Each process has its own IP address, so that several fleets can run at the same time. The demo, the
tests and the bench use this module; the product itself starts no processes.
"""

import contextlib
import functools
import json
import pathlib
import random
import signal
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import urllib3

from berylrock.core import data
from berylrock.daemons import admin
from berylrock.loader import document
from berylrock.standins import processes

__all__ = ["OPERATOR_KEY", "Fleet", "FleetOptions"]

OPERATOR_KEY = "operator-key"
SECRET = "fleet-secret"
CALLER_PORT, ADMIN_PORT, LINK_PORT, BACKEND_PORT, PLATFORM_PORT, PATH_PORT = (
    8000,
    8001,
    8002,
    8003,
    8004,
    8005,
)
START_TIMEOUT_SECONDS = 60.0
STOP_SECONDS = 15.0


class FleetOptions(NamedTuple):
    """Size and options of a fleet.

    Attributes:
      document: Path of the configuration document.
      root: Directory for settings, logs and records.
      engines: Number of engines in the engine pool.
      services: Number of backend servers of the plain service.
      entries: Number of entry processes.
      paths: Whether the connections to sidecars go through TCP proxies that can simulate faults.
      engine: Additional options of the stand-in engines.
      service: Additional options of the stand-in services.
      platform: Additional options of the stand-in platform.
      entry: Additional settings of the entry processes.
      sidecar: Additional settings of the sidecars.
    """

    document: str
    root: pathlib.Path
    engines: int
    services: int
    entries: int = 2
    paths: bool = False
    engine: dict[str, Any] = {}
    service: dict[str, Any] = {}
    platform: dict[str, Any] = {}
    entry: dict[str, Any] = {}
    sidecar: dict[str, Any] = {}


class Fleet:
    """A running deployment.

    Attributes:
      processes: All processes, by name.
      servers: The entries of the VM list, by name of the backend server.
      doc: The configuration document.
      config_version: Version of the document that was stored last.
    """

    def __init__(self, options: FleetOptions) -> None:
        self.options = options
        self.root = options.root
        self.root.mkdir(parents=True, exist_ok=True)
        self.text = pathlib.Path(options.document).read_text(encoding="utf-8")
        doc, found = document.load(self.text, options.document)
        if doc is None:
            raise processes.FleetError("\n".join(str(item) for item in found))
        self.doc: data.Document = doc
        self.processes: dict[str, processes.Process] = {}
        self.servers: dict[str, dict[str, Any]] = {}
        self.record = str(self.root / "record.jsonl")
        self._network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        self._next_host = 1
        self._http = urllib3.PoolManager(retries=False, timeout=5.0, maxsize=32, num_pools=64)
        self.config_version = 0

    # Addresses and files

    def _address(self) -> str:
        self._next_host += 1
        return f"{self._network}.{self._next_host}"

    def _write_json(self, name: str, value: dict[str, Any]) -> str:
        path = self.root / f"{name}.json"
        path.write_text(json.dumps(value, indent=1), encoding="utf-8")
        return str(path)

    def _spawn(self, name: str, arguments: list[str], value: dict[str, Any], address: str) -> None:
        command = [sys.executable, "-m", "berylrock", *arguments, self._write_json(name, value)]
        log = self.root / f"{name}.log"
        self.processes[name] = processes.Process(name, command, log, address)

    # Starting

    def start(self) -> None:
        """Start all processes, publish the document and wait until all processes are ready."""
        self._platform_address = self._address()
        self._start_platform()
        zones = [zone.name for zone in self.doc.zones]
        pools = {pool.kind: pool for pool in self.doc.pools}
        for index in range(self.options.engines):
            self.add_server(f"engine-{index + 1}", zones[index % len(zones)], pools["engine"])
        for index in range(self.options.services):
            self.add_server(f"service-{index + 1}", zones[index % len(zones)], pools["service"])
        for index in range(self.options.entries):
            self.add_entry(f"entry-{index + 1}", zones[index % len(zones)])
        self.wait(lambda: self.responds_ok(f"{self.platform_url}/counts"), "the stand-in platform")
        self.put_config(self.text)
        self.put_vms()
        self.wait_ready()

    def _start_platform(self) -> None:
        quality = {
            f"{model.name}@{version.name}": version.quality
            for model in self.doc.models
            for version in model.versions
        }
        options = {
            "address": self._platform_address,
            "port": PLATFORM_PORT,
            "record": self.record,
            "quality": quality,
            **self.options.platform,
        }
        self._spawn("platform", ["standin", "platform"], options, self._platform_address)

    def _platform_settings(self) -> dict[str, Any]:
        return {
            "objects_url": self.platform_url,
            "vms_url": f"{self.platform_url}/vms",
            "ratings_url": self.platform_url,
            "environment": "production",
        }

    @property
    def platform_url(self) -> str:
        """Base URL of the stand-in platform."""
        return f"http://{self._platform_address}:{PLATFORM_PORT}"

    def add_server(self, name: str, zone: str, pool: data.Pool) -> None:
        """Start a backend server and its sidecar, and add it to the next VM list."""
        address = self._address()
        common = {"name": name, "address": address, "port": BACKEND_PORT, "record": self.record}
        if pool.kind == "engine":
            loaded = [
                f"{model.name}@{version.name}"
                for model in self.doc.models
                for version in model.versions
            ]
            quality = {
                f"{model.name}@{version.name}": version.quality[data.DEFAULT_KIND]
                for model in self.doc.models
                for version in model.versions
            }
            options = {**common, "loaded": loaded, "quality": quality, **self.options.engine}
            self._spawn(f"{name}.backend", ["standin", "engine"], options, address)
        else:
            options = {**common, **self.options.service}
            self._spawn(f"{name}.backend", ["standin", "service"], options, address)
        self._start_sidecar(name, zone, pool, address)
        port = LINK_PORT
        if self.options.paths:
            self._start_path(name, address)
            port = PATH_PORT
        self.servers[name] = {
            "name": name,
            "zone": zone,
            "pool": pool.name,
            "address": address,
            "port": port,
        }

    def _start_sidecar(self, name: str, zone: str, pool: data.Pool, address: str) -> None:
        cfg = {
            "name": name,
            "zone": zone,
            "pool": pool.name,
            "address": address,
            "port": LINK_PORT,
            "admin_port": ADMIN_PORT,
            "secret": SECRET,
            "operator_key_sha256": admin.digest_key(OPERATOR_KEY),
            "backend_url": f"http://{address}:{BACKEND_PORT}",
            "platform": self._platform_settings(),
            **self.options.sidecar,
        }
        self._spawn(name, ["sidecar"], cfg, address)

    def _start_path(self, name: str, address: str) -> None:
        options = {
            "address": address,
            "port": PATH_PORT,
            "control_port": PATH_PORT + 1,
            "target_address": address,
            "target_port": LINK_PORT,
        }
        self._spawn(f"{name}.path", ["standin", "path"], options, address)

    def add_entry(self, name: str, zone: str) -> None:
        """Start an entry process."""
        address = self._address()
        cfg = {
            "name": name,
            "zone": zone,
            "address": address,
            "port": CALLER_PORT,
            "admin_port": ADMIN_PORT,
            "secret": SECRET,
            "operator_key_sha256": admin.digest_key(OPERATOR_KEY),
            "platform": self._platform_settings(),
            "readiness_seconds": 0.3,
            "vms_seconds": 0.5,
            **self.options.entry,
        }
        self._spawn(name, ["entry"], cfg, address)

    def operator_settings(self) -> str:
        """Write the settings of the operators' commands; returns the path of the file."""
        value = {
            "platform": self._platform_settings(),
            "operator_key": OPERATOR_KEY,
            "admin_urls": [self.admin_url(name) for name in (*self.entries(), *self.servers)],
        }
        return self._write_json("operator", value)

    # Names and addresses of running processes

    def entries(self) -> list[str]:
        """Return the names of the entry processes."""
        return [name for name in self.processes if name.startswith("entry-")]

    def caller_url(self, entry: str) -> str:
        """Return the base URL at which an entry process accepts callers."""
        return f"http://{self.processes[entry].address}:{CALLER_PORT}"

    def admin_url(self, name: str) -> str:
        """Return the base URL of the admin port of a process."""
        return f"http://{self.processes[name].address}:{ADMIN_PORT}"

    def backend_url(self, server: str) -> str:
        """Return the base URL of a backend server."""
        return f"http://{self.processes[server].address}:{BACKEND_PORT}"

    # Requests to stand-ins and admin ports

    def post(self, url: str, value: dict[str, Any], method: str = "POST") -> bytes:
        """Send JSON to a stand-in."""
        return self._http.request(method, url, json=value).data

    def responds_ok(self, url: str, key: str = "") -> bool:
        """Return whether a URL responds with status 200."""
        return self.fetch(url, key) is not None

    def responds(self, url: str) -> bool:
        """Return whether a URL responds with any status, including errors."""
        try:
            self._http.request("GET", url, timeout=2.0)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    def fetch(self, url: str, key: str = "") -> bytes | None:
        """Fetch a URL; returns None if it does not respond with status 200."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        try:
            resp = self._http.request("GET", url, headers=headers, timeout=2.0)
        except urllib3.exceptions.HTTPError:
            return None
        return resp.data if resp.status == 200 else None

    def status(self, name: str) -> dict[str, Any]:
        """Return the status page of a process; empty if it does not respond."""
        body = self.fetch(f"{self.admin_url(name)}/status", OPERATOR_KEY)
        return json.loads(body) if body else {}

    def set_backend_options(self, server: str, **options: Any) -> None:
        """Change the behaviour of a stand-in backend server."""
        self.post(f"{self.backend_url(server)}/control", options)

    def set_path_fault(self, server: str, **fault: Any) -> None:
        """Set the faults of the TCP proxy in front of a sidecar; no arguments clear ``refuse``."""
        address = self.processes[server].address
        self.post(f"http://{address}:{PATH_PORT + 1}/control", fault)

    def set_platform_faults(self, **faults: Any) -> None:
        """Set the faults of the stand-in platform; no arguments clear all faults."""
        self.post(f"{self.platform_url}/faults", faults)

    def put_vms(self) -> None:
        """Publish the VM list."""
        rows: Any = list(self.servers.values())
        self.post(f"{self.platform_url}/vms", rows, "PUT")

    def put_config(self, text: str) -> int:
        """Publish a configuration document; returns its version."""
        url = f"{self.platform_url}/objects/config/production"
        resp = self._http.request("PUT", url, body=text.encode())
        self.config_version = int(resp.headers["X-Version"])
        self.text = text
        return self.config_version

    # Waiting

    def wait(
        self, condition: Callable[[], Any], description: str, seconds: float = START_TIMEOUT_SECONDS
    ) -> Any:
        """Poll until a condition holds; returns its first true value.

        Raises:
          FleetError: The condition did not hold within the timeout.
        """
        return processes.wait(condition, description, seconds, self.root)

    def wait_ready(self) -> None:
        """Wait until all processes are ready and each entry process reaches each backend server."""
        for name in (*self.servers, *self.entries()):
            url = f"{self.admin_url(name)}/ready"
            self.wait(functools.partial(self.responds_ok, url), f"{name} to be ready")
        for name in self.entries():
            self.wait(
                functools.partial(self._reaches_all, name), f"{name} to reach all backend servers"
            )

    def _reaches_all(self, entry: str) -> bool:
        servers = self.status(entry).get("servers", {})
        return all(
            servers.get(name, {}).get("connected") and servers[name].get("reachable")
            for name in self.servers
        )

    def wait_config(self, version: int, seconds: float, names: list[str] | None = None) -> None:
        """Wait until a version of the document, or a later one, is in force at some processes.

        Args:
          version: Version of the document.
          seconds: Timeout for each process.
          names: Names of the processes; None for all entry processes and sidecars.
        """
        for name in names or [*self.servers, *self.entries()]:
            condition = functools.partial(self._has_config, name, version)
            self.wait(condition, f"version {version} in force at {name}", seconds)

    def _has_config(self, name: str, version: int) -> bool:
        return self.status(name).get("config_version", 0) >= version

    # Stopping

    def stop(self) -> None:
        """Kill all processes, including those that are suspended by SIGSTOP."""
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait()

    def __enter__(self) -> "Fleet":
        with contextlib.ExitStack() as stack:
            stack.callback(self.stop)
            self.start()
            stack.pop_all()
        return self

    def __exit__(self, *exc: object) -> None:
        self.stop()
