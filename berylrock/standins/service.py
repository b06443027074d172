"""A stand-in for a plain service that records and echoes every call.

``POST /control`` sets the duration of a call and the size of the answer, or makes the service exit
after running the next call.
"""

import asyncio
import os
import secrets
from typing import Any, NamedTuple

from aiohttp import web

from berylrock.standins import record

__all__ = ["Service", "ServiceOptions", "run"]

CRASH_EXIT_STATUS = 70


class ServiceOptions(NamedTuple):
    """Options of a stand-in service.

    Attributes:
      name: Name under which it writes to the record.
      address: IP address to listen on.
      port: TCP port to listen on.
      record: File to which it appends its record.
      seconds: Duration of a call, in seconds.
    """

    name: str
    address: str
    port: int
    record: str
    seconds: float = 0.02


class Service:
    """The state and the HTTP handlers of the service."""

    def __init__(self, options: ServiceOptions) -> None:
        self._options = options
        self._record = record.Record(options.record, options.name)
        self._control: dict[str, Any] = {}

    def build(self) -> web.Application:
        """Build the HTTP application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_post("/control", self._update_control)
        app.router.add_route("*", "/{path:.*}", self._call)
        return app

    async def _update_control(self, req: web.Request) -> web.Response:
        """Handle ``POST /control``; the JSON keys are seconds, die_after_run and answer_bytes."""
        self._control |= await req.json()
        return web.json_response(self._control)

    async def _call(self, req: web.Request) -> web.Response:
        body = (await req.read()).decode()
        run_id = secrets.token_hex(6)
        self._record.write(
            "ran",
            method=req.method,
            path=req.path_qs,
            body=body,
            run=run_id,
            key=req.headers.get("Idempotency-Key", ""),
            request=req.headers.get("X-Request-Id", ""),
        )
        await asyncio.sleep(self._control.get("seconds", self._options.seconds))
        if self._control.get("die_after_run"):
            os._exit(CRASH_EXIT_STATUS)
        padding = "x" * int(self._control.get("answer_bytes", 0))
        return web.json_response(
            {"run": run_id, "by": self._options.name, "echo": body, "padding": padding},
            headers={"X-Service": self._options.name},
        )


def run(options: ServiceOptions) -> None:
    """Run the stand-in until the process is terminated."""

    async def build() -> web.Application:
        return Service(options).build()

    web.run_app(build(), host=options.address, port=options.port, print=None, access_log=None)
