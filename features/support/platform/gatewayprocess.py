"""A gateway process of the tests, with its addresses, settings file and log."""

import contextlib
import itertools
import os
import signal
import socket
import subprocess
import sys
from typing import NamedTuple

_host_numbers = itertools.count()
# Hosts of one network of the loopback range, and networks for one process after the other.
HOSTS_PER_NETWORK, NETWORKS = 250, 250

SETTINGS = """
node-name = "{name}"
zone = "etna-a"
region = "sicilia-est"
ip = "{host}"
heartbeat-ms = 1200
port-range = [{peers}, {last_peer_port}]
new-field = "is ignored"
[listen]
frontend = "{host}:{port}"
readiness = "{host}:{ready}"
[limits]
max-fds = 1024
[bounds]
revoke-timeout-ms = {revoke_ms}
config-apply-ms = {apply_ms}
drain-timeout-ms = {apply_ms}
grace-s = {grace_s}
retry-extra = {retry_extra}
warmup-overrun = 1.5
warmup-margin = 5
{bounds}
[platform]
address = "127.0.0.1:{store}"
{tables}
"""


class MoreSettings(NamedTuple):
    """Settings beside those that each gateway has.

    Attributes:
      further_ports: Ports for messages between gateways after the first one.
      bounds: Lines among the operators' limits.
      tables: Lines after them.
    """

    further_ports: int = 0
    bounds: str = ""
    tables: str = ""


NO_MORE = MoreSettings()


def new_host():
    """Return a loopback address that no other fleet uses, in this or another test process."""
    used, host = divmod(next(_host_numbers), HOSTS_PER_NETWORK)
    pages, network = divmod(os.getpid(), NETWORKS)
    return f"127.{(pages + 100 * used) % NETWORKS + 1}.{network + 1}.{host + 2}"


def free_ports(host, count):
    """Return different ports of an address on which no process listens."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]


class GatewayProcess:
    """A gateway process with its addresses, settings file and log.

    Attributes:
      name: Name of the gateway.
      host: Address on which it listens.
      port: Port for callers.
      ready_port: Port of the readiness page.
      peer_port: Port for datagrams from other gateways.
      popen: The process; None before its start.

    Args:
      launcher: What Python runs, before the path of the settings.
      code: Folder in which it runs, and from which a module is loaded; None for this process's.
      more: Settings beside the usual ones.
    """

    def __init__(
        self,
        root,
        name,
        host,
        store_port,
        revoke_ms,
        grace_s,
        peer_port=None,
        retry_extra=50,
        apply_ms=2000,
        launcher=("-m", "berylrock", "gateway"),
        code=None,
        more=NO_MORE,
    ):
        self.name, self.host = name, host
        self.port, self.ready_port, own_peer_port = free_ports(host, 3)
        self.peer_port = peer_port or own_peer_port
        self.popen = None
        self._launcher, self._code = launcher, code
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
                apply_ms=apply_ms,
                last_peer_port=self.peer_port + more.further_ports,
                bounds=more.bounds,
                tables=more.tables,
            )
        )

    def start(self):
        """Start the process, also after an earlier one has ended."""
        command = [sys.executable, *self._launcher, str(self._path)]
        with open(self._root / f"{self.name}.log", "ab") as log:
            self.popen = subprocess.Popen(command, stdout=log, stderr=log, cwd=self._code)

    def log(self):
        """Return all that the process has logged, over all its starts."""
        path = self._root / f"{self.name}.log"
        return path.read_text() if path.exists() else ""

    def stop(self):
        """Send the process SIGKILL, if it runs, and wait for its end."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()
