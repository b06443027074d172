"""Keeps one connection, served by one task, to the sidecar of each backend server.

A connection that breaks or goes silent is re-established, and its attempts reattach where they
stopped. They fail only if there is no connection for ``REATTACH_TIMEOUT_SECONDS``, if the sidecar
was restarted or if the backend server is gone.
"""

import asyncio
import random
from collections.abc import Callable

from berylrock.core import data, errors, message, metrics
from berylrock.daemons import runtime
from berylrock.daemons.entry import attempts
from berylrock.loader import settings
from berylrock.ops import subsets
from berylrock.plugins import registry
from berylrock.wire import link

__all__ = ["Listener", "ServerLink", "ServerLinks"]

SILENCE_TIMEOUT_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.0
MAINTENANCE_SECONDS = 0.5
REATTACH_TIMEOUT_SECONDS = 3.0
RECONNECT_MIN_SECONDS = 0.05
RECONNECT_MAX_SECONDS = 1.0

Listener = Callable[["ServerLink", message.Message], None]


class ServerLink:
    """The connection to one backend server through its sidecar, and the server's state.

    Attributes:
      server: The server, as listed by the VM list.
      report: The sidecar's last report.
      loaded: The versions that the server's engine has loaded.
      attempts: The attempts that run on the server, by id.
      sent_tokens: Tokens of the attempts sent since the last report.
      sent_requests: Number of attempts sent since the last report.
      task: The task that keeps and serves the connection.
    """

    def __init__(
        self,
        cfg: settings.EntrySettings,
        process_runtime: runtime.Runtime,
        server: data.Server,
        listener: Listener,
    ) -> None:
        self._cfg = cfg
        self._runtime = process_runtime
        self._listener = listener
        self._link: link.Link | None = None
        self._incarnation = ""
        self._disconnected_at = process_runtime.timer.now()
        self.server = server
        self.report = message.Report()
        self.loaded: tuple[str, ...] = ()
        self.attempts: dict[str, attempts.Attempt] = {}
        self.sent_tokens = 0
        self.sent_requests = 0
        self._closed_bytes = 0
        self._last_heartbeat_at = 0.0
        self.task = process_runtime.timer.spawn(self._run())

    @property
    def connected(self) -> bool:
        """Whether the connection is open."""
        return self._link is not None

    @property
    def sidecar_id(self) -> str:
        """Id of the sidecar process, which changes with each restart; empty if disconnected."""
        return f"{self.server.name}/{self._incarnation}" if self.connected else ""

    @property
    def link_bytes(self) -> int:
        """Bytes sent and received on all connections to the sidecar."""
        return self._closed_bytes + (self._link.total_bytes if self._link is not None else 0)

    def send(self, msg: message.Message) -> None:
        """Send a message if the connection is open."""
        if self._link is not None:
            self._link.send(msg)

    def start_attempt(self, start: message.Start) -> attempts.Attempt:
        """Send a request to the server and return the attempt to run it."""
        attempt = attempts.Attempt(start, self)
        self.attempts[start.attempt] = attempt
        self.sent_tokens += start.tokens
        self.sent_requests += 1
        self.send(start)
        return attempt

    def discard(self, attempt: str) -> None:
        """Ignore all further frames of an attempt, given its id."""
        self.attempts.pop(attempt, None)

    def view(self) -> registry.ServerView:
        """Return the view of this server that a balancer ranks by."""
        capacity = self.report.capacity_tokens or 1
        load = (self.report.held_tokens + self.sent_tokens) / capacity
        return registry.ServerView(
            self.server.name,
            self.server.zone == self._cfg.zone,
            load,
            len(self.attempts),
            self.report.slots - self.sent_requests,
        )

    def close(self) -> None:
        """Close the connection and fail all attempts: the server is gone or has moved."""
        self.task.cancel()
        if self._link is not None:
            self._link.close()
        self._fail_attempts("backend server is gone from the VM list or has moved")

    async def _run(self) -> None:
        pause = RECONNECT_MIN_SECONDS
        while True:
            try:
                conn, welcome = await link.connect(
                    self.server.address,
                    self.server.port,
                    self._cfg.secret,
                    self._cfg.name,
                    self._cfg.zone,
                )
            except errors.LinkLost as exc:
                if pause == RECONNECT_MIN_SECONDS:
                    self._runtime.log.write("connect_failed", peer=self.server.name, error=str(exc))
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(RECONNECT_MAX_SECONDS, pause * 2)
                continue
            pause = RECONNECT_MIN_SECONDS
            await self._serve(conn, welcome)

    async def _serve(self, conn: link.Link, welcome: message.Welcome) -> None:
        self._runtime.log.write("connected", peer=welcome.server, incarnation=welcome.incarnation)
        self._link = conn
        if welcome.incarnation != self._incarnation:
            self._fail_attempts("the sidecar was restarted")
            self._incarnation = welcome.incarnation
        self._send_initial_state(conn)
        try:
            async for msg in conn.messages():
                self._handle_message(msg)
        except errors.ProtocolError as exc:
            self._runtime.log.write("peer_broke_protocol", peer=self.server.name, error=str(exc))
        finally:
            conn.close()
            self._link = None
            self._closed_bytes += conn.total_bytes
            self._disconnected_at = self._runtime.timer.now()
            self.report = self.report._replace(reachable=False)
            self._runtime.meter.count(metrics.Metrics.LINKS_LOST)
            self._runtime.log.write("link_lost", peer=self.server.name, attempts=len(self.attempts))

    def _send_initial_state(self, conn: link.Link) -> None:
        config = self._runtime.config
        conn.send(message.Config(config.version, config.body))
        conn.send(message.Strikes(strikes=self._runtime.strikes.all()))
        for attempt in self.attempts.values():
            self._runtime.meter.count(metrics.Metrics.REATTACHED)
            self._runtime.log.write(
                "attempt_reattached",
                request=attempt.start.request_id,
                attempt=attempt.start.attempt,
                offset=attempt.offset,
            )
            conn.send(message.Attach(attempt.start.attempt, attempt.offset))

    def _handle_message(self, msg: message.Message) -> None:
        if isinstance(msg, message.Chunk | message.End | message.Refused):
            self._deliver(msg)
            return
        if isinstance(msg, message.Report):
            self.report = msg
            self.sent_tokens = 0
            self.sent_requests = 0
        elif isinstance(msg, message.Loaded):
            self.loaded = msg.versions
        self._listener(self, msg)

    def _deliver(self, msg: message.Chunk | message.End | message.Refused) -> None:
        attempt = self.attempts.get(msg.attempt)
        if attempt is None:
            self._runtime.meter.count(metrics.Metrics.LATE_FRAMES)
            self.send(message.Cancel(msg.attempt))
            return
        attempt.deliver(msg)
        if not isinstance(msg, message.Chunk):
            self.discard(msg.attempt)
        if isinstance(msg, message.Refused):
            self.send(message.Cancel(msg.attempt))

    def _fail_attempts(self, detail: str) -> None:
        for attempt in list(self.attempts.values()):
            self.discard(attempt.start.attempt)
            attempt.deliver(attempts.AttemptLost(detail))

    def maintain(self) -> None:
        """Send a heartbeat, close a silent connection, and fail attempts after a long outage.

        ``_run`` opens a closed connection again.
        """
        now = self._runtime.timer.now()
        if self._link is not None:
            if now - self._last_heartbeat_at > HEARTBEAT_SECONDS:
                self._last_heartbeat_at = now
                self._link.send(message.Heartbeat(self._runtime.config.version))
            if now - self._link.last_received_at > SILENCE_TIMEOUT_SECONDS:
                self._runtime.log.write("link_silent", peer=self.server.name)
                self._link.close()
        elif now - self._disconnected_at > REATTACH_TIMEOUT_SECONDS:
            self._fail_attempts("no connection to the sidecar")


class ServerLinks:
    """The connections to the backend servers of the VM list, one for each.

    Attributes:
      by_name: The connections by server name.
    """

    def __init__(
        self, cfg: settings.EntrySettings, process_runtime: runtime.Runtime, listener: Listener
    ) -> None:
        self._cfg = cfg
        self._runtime = process_runtime
        self._listener = listener
        self.by_name: dict[str, ServerLink] = {}

    def update(self, servers: tuple[data.Server, ...]) -> None:
        """Connect to the servers of the VM list, or to this process's subset of a long list.

        The list may be out of date, so a server that it no longer contains is marked as leaving
        and dropped only once its connection is lost.

        Args:
          servers: All servers of the VM list.
        """
        chosen = subsets.choose(servers, self._cfg.name, self._cfg.subset_size)
        listed = {server.name: server for server in chosen}
        for name, server in listed.items():
            server_link = self.by_name.get(name)
            moved = server_link is not None and server_link.server[:5] != server[:5]
            if server_link is not None and moved:
                server_link.close()
                server_link = None
            if server_link is None:
                self.by_name[name] = ServerLink(self._cfg, self._runtime, server, self._listener)
            else:
                server_link.server = server
        for name, server_link in list(self.by_name.items()):
            if name not in listed:
                server_link.server = server_link.server._replace(leaving=True)
                if not server_link.connected:
                    server_link.close()
                    del self.by_name[name]

    def maintain(self) -> None:
        """Maintain all connections."""
        for server_link in list(self.by_name.values()):
            server_link.maintain()

    def broadcast(self, msg: message.Message) -> None:
        """Send a message to all connected sidecars."""
        for server_link in self.by_name.values():
            server_link.send(msg)

    def entry_count(self) -> int:
        """Return the number of entry processes, as counted by the sidecars; at least 1."""
        return max([1, *(server_link.report.entries for server_link in self.by_name.values())])

    def find_available(self, doc: data.Document, pool: str, target: str) -> list[ServerLink]:
        """Find the servers that may be sent new attempts.

        Args:
          doc: The document in force.
          pool: The pool that serves the target.
          target: ``model@version`` that an engine must have loaded, or a service's name.

        Returns:
          The connections that are open, whose server is reachable, whose availability zone is in
          service and that are not leaving.
        """
        in_service = {zone.name for zone in doc.zones if zone.in_service}
        return [
            server_link
            for server_link in self.by_name.values()
            if server_link.connected
            and server_link.server.pool == pool
            and server_link.server.zone in in_service
            and not server_link.server.leaving
            and not server_link.report.leaving
            and server_link.report.reachable
            and ("@" not in target or target in server_link.loaded)
        ]
