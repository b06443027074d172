"""The callers of a soak, most of which reuse a connection until it is closed."""

import asyncio
import time
from typing import NamedTuple

import h11

from berylrock.adapters import http1

from . import fleet

# Deadline that callers send with each request.
DEADLINE_S = 3.0
EXCHANGE_TIMEOUT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
MAX_PAUSE_S = 0.02
# Id of the requests that check whether a gateway has recovered.
PROBE_ID = "f" * 16
# Sessions to which the chats of all callers belong in turn, so that each comes to other gateways.
SESSIONS = 60
# HTTP method by kind of request.
METHODS = {"read": "GET", "order": "POST", "chat": "POST"}


class Call(NamedTuple):
    """A request and its response as the caller saw them.

    Times are in seconds on the monotonic clock.

    Attributes:
      id: Id of the request.
      kind: Kind of the request, a key of ``METHODS``.
      target: Request target.
      key: The caller's key.
      gateway: Name of the gateway.
      sent_at: Time at which the request was sent.
      ended_at: Time at which the response was complete or given up.
      status: The HTTP status; 0 if no response head arrived.
      headers: Headers of the response.
      body: The part of the response's body that arrived.
      whole: Whether the response arrived completely.
      first_on_connection: Whether the request was the first one on its connection.
      session: Name of the session of a chat; empty for other requests.
    """

    id: str
    kind: str
    target: str
    key: str
    gateway: str
    sent_at: float
    ended_at: float
    status: int
    headers: dict
    body: bytes
    whole: bool
    first_on_connection: bool
    session: str


class Callers:
    """Several callers that run on the fleet's event loop.

    Args:
      soak_fleet: The ``SoakFleet`` whose gateways they call.
      rng: Random generator for the choice of gateways, kinds of requests, keys and pauses.
      faults: The ``Faults`` that know the keys in force.

    Attributes:
      calls: All calls that have ended.
    """

    def __init__(self, soak_fleet, rng, faults):
        self.calls = []
        self._fleet = soak_fleet
        self._rng = rng
        self._faults = faults
        self._count = 0
        self._stopped = False

    async def send_requests(self, keep_alive):
        """Send requests one after the other, as one caller, until ``stop`` is called.

        Args:
          keep_alive: Whether to reuse a connection until it is closed; otherwise each request has
            a connection of its own.
        """
        conn, name, is_first = None, "", True
        while not self._stopped:
            if conn is None:
                name = self._rng.choice(sorted(self._fleet.gateways))
                conn, is_first = await self._connect(name), True
            if conn is None:
                await asyncio.sleep(MAX_PAUSE_S)
                continue
            call = await self._send(conn, name, is_first)
            self.calls.append(call)
            is_first = False
            reusable = keep_alive and call.whole and call.headers.get("connection") != "close"
            if not (reusable and conn.reset_for_reuse()):
                conn.close()
                conn = None
            await asyncio.sleep(MAX_PAUSE_S * self._rng.random())
        if conn is not None:
            conn.close()

    async def _connect(self, name):
        gateway = self._fleet.gateways[name]
        try:
            return await http1.EngineConnection.open(
                (gateway.host, gateway.port), CONNECT_TIMEOUT_S
            )
        except http1.ConnectFailed:
            return None

    async def _send(self, conn, gateway, is_first):
        self._count += 1
        attempt_id = f"{self._count:016x}"
        kind = self._rng.choice(sorted(METHODS))
        key = self._rng.choice(self._faults.current_keys)
        target = f"/{kind}/{attempt_id}"
        session = f"session-{self._count % SESSIONS}" if kind == "chat" else ""
        sent_at = time.monotonic()
        status, headers, body, whole = await exchange(conn, kind, target, attempt_id, key, session)
        return Call(
            attempt_id,
            kind,
            target,
            key,
            gateway,
            sent_at,
            time.monotonic(),
            status,
            headers,
            body,
            whole,
            is_first,
            session,
        )

    def stop(self):
        """Make each caller end after its current request."""
        self._stopped = True


def make_headers(kind, attempt_id, key, body, session=""):
    """Return the headers of a request.

    Args:
      kind: Kind of the request.
      attempt_id: Id of the request.
      key: The caller's key.
      body: Body of the request.
      session: Name of its session; empty if it has none.
    """
    lines = {
        "Host": fleet.HOST,
        "X-Berylrock-Attempt-Id": attempt_id,
        "X-Api-Key": key,
        "X-Berylrock-Deadline-Ms": str(int(DEADLINE_S * 1000)),
    }
    if body:
        lines["Content-Length"] = str(len(body))
    if kind == "chat":
        lines["X-Berylrock-Model"] = "*"
        lines["X-Berylrock-Token-Usage"] = "100,20"
        lines["X-Berylrock-Prefix-Hash"] = f"aa:50,{attempt_id}:50"
    if session:
        lines["Session"] = session
    return [(name.encode(), value.encode()) for name, value in lines.items()]


async def exchange(conn, kind, target, attempt_id, key, session=""):
    """Send a request and read its response.

    Args:
      conn: The connection to a gateway.
      kind: Kind of the request.
      target: Request target.
      attempt_id: Id of the request.
      key: The caller's key.
      session: Name of the request's session; empty if it has none.

    Returns:
      The status, headers and body, and whether the response arrived completely. A response that
      breaks off or takes longer than ``EXCHANGE_TIMEOUT_S`` is returned as far as it arrived.
    """
    body = b"" if kind == "read" else attempt_id.encode()
    status, headers, data = 0, {}, b""
    try:
        async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
            lines = make_headers(kind, attempt_id, key, body, session)
            await conn.send(METHODS[kind], target, lines, body)
            while not isinstance(event := await conn.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.Response):
                    status = event.status_code
                    headers = {name.decode(): value.decode() for name, value in event.headers}
                else:
                    data += event.data
    except (http1.ResponseBroken, TimeoutError):
        # The checks also cover incomplete responses.
        return status, headers, data, False
    return status, headers, data, True
