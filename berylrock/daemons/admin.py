"""Serves the admin port of a process with CherryPy: health, readiness, status and recent events.

The pages run in threads beside the event loop and only read. The status and the events require the
operators' key; a request with a missing or wrong key is logged without the key.
"""

import hashlib
import hmac
import json
import logging
from collections.abc import Callable
from typing import Any

import cherrypy

from berylrock.core import eventlog
from berylrock.loader import settings

__all__ = ["AdminServer", "digest_key"]

THREAD_POOL_SIZE = 3
MAX_EVENTS = 5000

Settings = settings.EntrySettings | settings.SidecarSettings
Status = Callable[[], dict[str, Any]]
Ready = Callable[[], bool]


def digest_key(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of a key, as stored in settings and documents."""
    return hashlib.sha256(key.encode()).hexdigest()


class _Pages:
    """The request handlers of the admin port."""

    def __init__(self, cfg: Settings, log: eventlog.EventLog, status: Status, ready: Ready) -> None:
        self._cfg = cfg
        self._log = log
        self._status = status
        self._ready = ready

    def _check_key(self) -> None:
        header = cherrypy.request.headers.get("Authorization", "")
        digest = digest_key(header.removeprefix("Bearer "))
        if not hmac.compare_digest(digest, self._cfg.operator_key_sha256):
            self._log.write("operator_refused", address=cherrypy.request.remote.ip)
            raise cherrypy.HTTPError(
                401, "operators' key is missing or wrong; send it as a Bearer token"
            )

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def health(self) -> dict[str, str]:
        """Report that the process is alive."""
        return {"status": "alive"}

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def ready(self) -> dict[str, str]:
        """Report whether the load balancer may send requests; answers 503 if not."""
        if not self._ready():
            cherrypy.response.status = 503
            return {"status": "not ready"}
        return {"status": "ready"}

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def status(self) -> dict[str, Any]:
        """Return the state of the process, for operators."""
        self._check_key()
        return self._status()

    @cherrypy.expose
    def events(self, request: str = "") -> bytes:
        """Return the last events, one JSON object per line.

        Args:
          request: Id of the request whose events to return; empty for all.
        """
        self._check_key()
        cherrypy.response.headers["Content-Type"] = "application/jsonl"
        lines = []
        for event in list(self._log.events)[-MAX_EVENTS:]:
            if not request or event.fields.get("request") == request:
                lines.append(json.dumps(event._asdict(), default=str))
        return ("\n".join(lines) + "\n").encode()


class _ErrorHandler(logging.Handler):
    """Writes CherryPy's errors to the event log of the process."""

    def __init__(self, log: eventlog.EventLog) -> None:
        super().__init__(logging.ERROR)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write the last 2000 characters of one error."""
        self._log.write("admin_error", error=record.getMessage()[-2000:])


class AdminServer:
    """The HTTP server of the admin port, which runs in CherryPy's threads."""

    def __init__(self, cfg: Settings, log: eventlog.EventLog, status: Status, ready: Ready) -> None:
        cherrypy.config.update(
            {
                "server.socket_host": cfg.address,
                "server.socket_port": cfg.admin_port,
                "server.thread_pool": THREAD_POOL_SIZE,
                "engine.autoreload.on": False,
                "log.screen": False,
                "checker.on": False,
                "request.show_tracebacks": False,
            }
        )
        cherrypy.log.error_log.addHandler(_ErrorHandler(log))
        cherrypy.tree.mount(_Pages(cfg, log, status, ready), "/")

    def start(self) -> None:
        """Start the server; CherryPy's own signal handlers stay disabled."""
        cherrypy.engine.signals.subscribed = False
        cherrypy.engine.start()

    def stop(self) -> None:
        """Stop the server."""
        cherrypy.engine.exit()
