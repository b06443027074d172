"""The admin port of every process, on CherryPy: health, readiness, status and the time line.

It runs in threads beside the event loop and only reads. Operators' requests carry their key; a
wrong key is logged without it.
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
    """The hex SHA-256 of a key, as settings and documents hold it."""
    return hashlib.sha256(key.encode()).hexdigest()


class _Pages:
    """The pages of the admin port."""

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
            raise cherrypy.HTTPError(401, "operators' key is missing or wrong; send a Bearer key")

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def health(self) -> dict[str, str]:
        """Whether the process lives."""
        return {"status": "alive"}

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def ready(self) -> dict[str, str]:
        """Whether the balancer may send work."""
        if not self._ready():
            cherrypy.response.status = 503
            return {"status": "not ready"}
        return {"status": "ready"}

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def status(self) -> dict[str, Any]:
        """The process's state, for operators."""
        self._check_key()
        return self._status()

    @cherrypy.expose
    def events(self, request: str = "") -> bytes:
        """The last events, one JSON object a line, optionally of one request."""
        self._check_key()
        cherrypy.response.headers["Content-Type"] = "application/jsonl"
        lines = []
        for event in list(self._log.events)[-MAX_EVENTS:]:
            if not request or event.fields.get("request") == request:
                lines.append(json.dumps(event._asdict(), default=str))
        return ("\n".join(lines) + "\n").encode()


class _ErrorHandler(logging.Handler):
    """Passes the library's errors on to the process's own log."""

    def __init__(self, log: eventlog.EventLog) -> None:
        super().__init__(logging.ERROR)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one error."""
        self._log.write("admin_error", error=record.getMessage()[-2000:])


class AdminServer:
    """Serves the admin port from CherryPy's threads."""

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
        """Start serving."""
        cherrypy.engine.signals.subscribed = False
        cherrypy.engine.start()

    def stop(self) -> None:
        """Stop serving."""
        cherrypy.engine.exit()
