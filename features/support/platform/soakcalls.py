"""The callers of a soak: they keep using open connections until those are gone."""

import asyncio
import time
from typing import NamedTuple

import h11

from berylrock.adapters import http1

from . import fleet

TIMEOUT_S = 3.0
PATIENCE_S = 5.0
CONNECT_S = 1.0
PAUSE_S = 0.02
# Id of the requests that ask whether a gateway serves again.
PROBE = "f" * 16
KINDS = {"read": "GET", "order": "POST", "chat": "POST"}


class Call(NamedTuple):
    """A request as its caller saw it.

    Attributes:
      status: 0 if no head came.
      whole: The answer came to its end.
      first_on_connection: Nothing was sent on its connection before.
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


class Callers:
    """Some callers on the fleet's event loop."""

    def __init__(self, running, rng, faults):
        self.calls = []
        self._fleet = running
        self._rng = rng
        self._faults = faults
        self._count = 0
        self._ended = False

    async def work(self, keeps):
        """Send requests one after the other until told to end.

        Args:
          keeps: Whether to go on using a connection until it is gone, or to open one each time.
        """
        link, name, fresh = None, "", True
        while not self._ended:
            if link is None:
                name = self._rng.choice(sorted(self._fleet.gateways))
                link, fresh = await self._connect(name), True
            if link is None:
                await asyncio.sleep(PAUSE_S)
                continue
            call = await self._send(link, name, fresh)
            self.calls.append(call)
            fresh = False
            again = keeps and call.whole and call.headers.get("connection") != "close"
            if not (again and link.reset_for_reuse()):
                link.close()
                link = None
            await asyncio.sleep(PAUSE_S * self._rng.random())
        if link is not None:
            link.close()

    async def _connect(self, name):
        item = self._fleet.gateways[name]
        try:
            return await http1.EngineConnection.open((item.host, item.port), CONNECT_S)
        except http1.ConnectFailed:
            return None

    async def _send(self, link, gateway, fresh):
        self._count += 1
        identity = f"{self._count:016x}"
        kind = self._rng.choice(sorted(KINDS))
        key = self._rng.choice(self._faults.current_keys)
        target = f"/{kind}/{identity}"
        sent_at = time.monotonic()
        status, headers, body, whole = await exchange(link, kind, target, identity, key)
        return Call(
            identity,
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
            fresh,
        )

    def end(self):
        """Let each caller finish what it has begun."""
        self._ended = True


def make_headers(kind, identity, key, body):
    """The head of a request."""
    lines = {
        "Host": fleet.HOST,
        "X-Berylrock-Attempt-Id": identity,
        "X-Api-Key": key,
        "X-Berylrock-Deadline-Ms": str(int(TIMEOUT_S * 1000)),
    }
    if body:
        lines["Content-Length"] = str(len(body))
    if kind == "chat":
        lines["X-Berylrock-Model"] = "*"
        lines["X-Berylrock-Token-Usage"] = "100,20"
        lines["X-Berylrock-Prefix-Hash"] = f"aa:50,{identity}:50"
    return [(name.encode(), value.encode()) for name, value in lines.items()]


async def exchange(link, kind, target, identity, key):
    """Send a request and read its answer; returns status, headers, body and whether it is whole."""
    body = b"" if kind == "read" else identity.encode()
    status, headers, data = 0, {}, b""
    try:
        async with asyncio.timeout(PATIENCE_S):
            await link.send(KINDS[kind], target, make_headers(kind, identity, key, body), body)
            while not isinstance(event := await link.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.Response):
                    status = event.status_code
                    headers = {name.decode(): value.decode() for name, value in event.headers}
                else:
                    data += event.data
    except (http1.ResponseBroken, TimeoutError):
        # What came until then is judged with the rest.
        return status, headers, data, False
    return status, headers, data, True
