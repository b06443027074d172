"""A stand-in for the platform's service that takes the calls of duties."""

import asyncio
import json
import time
from typing import NamedTuple

import h11

from berylrock.adapters import http1

HEADER_BYTES = 65_536


class UsageCall(NamedTuple):
    """A report of usage as it arrived.

    Attributes:
      at: Time of its arrival, on the monotonic clock.
      sender: Address from which it came.
      gateway: The gateway that holds the duty, as the call names it.
      token: Its fencing token.
      window: Number of the window.
      counts: Requests by organisation.
      accepted: Whether the report took effect.
    """

    at: float
    sender: str
    gateway: str
    token: int
    window: int
    counts: dict
    accepted: bool


class StandInProvider:
    """Takes reports of usage and checks nothing.

    The modes are:

    - ``up``: no fault
    - ``limited``: status 429
    - ``silent``: calls are not answered and have no effect
    - ``lossy``: calls take effect, and the connection is reset in place of an answer

    Attributes:
      mode: The fault in force.
      reports: The reports, in order of arrival.
      port: Port on which it listens; 0 before ``start``.
    """

    def __init__(self):
        self.mode = "up"
        self.reports = []
        self.port = 0
        self._server = None

    async def start(self):
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, stream, writer):
        conn = http1.CallerConnection(stream, writer, HEADER_BYTES)
        sender = writer.get_extra_info("peername")[0]
        try:
            while await self._serve_one(conn, sender):
                conn.start_next_request()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            conn.abort()

    async def _serve_one(self, conn, sender):
        event = await conn.next_event()
        if not isinstance(event, h11.Request):
            return False
        body = b""
        while not isinstance(part := await conn.next_event(), h11.EndOfMessage):
            body += part.data
        accepted = self.mode in ("up", "lossy")
        self._record(event, sender, json.loads(body), accepted)
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "lossy":
            conn.abort()
            return False
        status = 200 if accepted else 429
        await conn.send(h11.Response(status_code=status, headers=[("content-length", "0")]))
        await conn.send(h11.EndOfMessage())
        return conn.reusable

    def _record(self, event, sender, raw, accepted):
        fields = {name.decode(): value.decode() for name, value in event.headers}
        self.reports.append(
            UsageCall(
                time.monotonic(),
                sender,
                fields["x-berylrock-duty-owner"],
                int(fields["x-berylrock-fencing-token"]),
                raw["window-id"],
                raw["counts"],
                accepted,
            )
        )
