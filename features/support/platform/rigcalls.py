"""The callers of the rig, who try again as the platform's callers do.

An order, and a stream that cannot be resumed, is sent again only after an answer which says that it
has not run, or if a kept connection was closed without an answer, as if it had not been read.
Everything else is sent again after any failure, a stream from the event after the last one that
arrived. Each further attempt has an id and a connection of its own, and mostly goes to another
gateway.
"""

import asyncio
import random
import time
from typing import NamedTuple

import h11

from berylrock.adapters import http1

from . import fleet

ATTEMPTS = 3
PAUSE_LIMIT_SHARE = 0.33
CONNECT_TIMEOUT_S, EVENT_TIMEOUT_S = 1.0, 2.4
GIVE_UP_SHARE, KEPT_SHARE = 0.1, 0.5
NOT_RUN_STATUSES = (408, 421, 429, 503)
BODY_BYTES, LONG_BODY_BYTES, LONG_BODY_SHARE = 200, (100_000, 1_000_000), 0.04
METHODS = {"read": "GET", "flip": "GET", "order": "POST", "chat": "POST", "talk": "POST"}
DEADLINES_S = {"read": 3.0, "flip": 3.0, "order": 3.0, "chat": 8.0, "talk": 8.0}
# Kinds by their shares of the requests.
MIXES = {
    "all": ("chat",) * 10 + ("talk",) * 3 + ("order",) * 4 + ("read",) * 2 + ("flip",),
    "orders": ("order",) * 16 + ("read",) + ("flip",) + ("chat",) * 2,
}
MAX_KEPT = 16


class Attempt(NamedTuple):
    """One attempt of a request as its caller saw it; times are of the monotonic clock.

    Attributes:
      id: Its id; the first 12 digits are those of the request.
      kind: Kind of the request, a key of ``METHODS``.
      gateway: Name of the gateway.
      sent_at: When it was sent.
      ended_at: When its answer was complete, broke off or was given up.
      status: The HTTP status; 0 if no head arrived.
      whole: Whether the answer arrived completely.
      gave_up: Whether the caller left before the answer was complete.
      reused: Whether it was sent on a connection that had carried another one.
      closed: Whether its connection ended before any byte of an answer.
    """

    id: str
    kind: str
    gateway: str
    sent_at: float
    ended_at: float
    status: int
    whole: bool
    gave_up: bool
    reused: bool
    closed: bool


class _Answer:
    """What has arrived of an answer."""

    def __init__(self):
        self.status, self.whole, self.last_event, self.retry_after_s = 0, False, 0, 0.2
        self.reused, self.closed = False, False


class Callers:
    """Sends requests at a rate, each in a task of its own.

    Attributes:
      attempts: All attempts that have ended.
    """

    def __init__(self, gateways, rng: random.Random, per_s, mix="all"):
        self.attempts = []
        self._kinds = MIXES[mix]
        self._gateways = gateways
        self._rng = rng
        self._per_s = per_s
        self._count = 0
        self._tasks = set()
        self._kept = {}

    async def run(self, seconds):
        """Send requests for a time, and wait until all have ended."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._count += 1
            task = asyncio.create_task(self._request(self._count, self._rng.choice(self._kinds)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(self._per_s))
        await asyncio.gather(*self._tasks)
        for conns in self._kept.values():
            for conn in conns:
                conn.close()

    async def _request(self, number, kind):
        """Send a request, again if that is allowed and there is time."""
        rng, answer = random.Random(number * 7919 + self._rng.randrange(2**30)), _Answer()
        expires_at = time.monotonic() + DEADLINES_S[kind]
        leaves_at = expires_at
        if rng.random() < GIVE_UP_SHARE:
            leaves_at = time.monotonic() + rng.uniform(0.02, 1.0)
        tried = set()
        for attempt in range(ATTEMPTS):
            names = sorted(set(self._gateways) - tried) or sorted(self._gateways)
            name = rng.choice(names)
            tried.add(name)
            request_id = f"{number:012x}{attempt:04x}"
            keeps = attempt == 0 and rng.random() < KEPT_SHARE
            times = (expires_at, min(expires_at, leaves_at))
            await self._send(request_id, kind, name, times, answer, keeps)
            ended_at = time.monotonic()
            if answer.whole and answer.status == 200 or ended_at >= min(expires_at, leaves_at):
                return
            is_refused = answer.whole and answer.status in NOT_RUN_STATUSES
            is_unread = answer.reused and answer.closed
            if kind in ("order", "talk") and not is_refused and not is_unread:
                return
            pause_s = answer.retry_after_s if is_refused else 0.02
            if pause_s > PAUSE_LIMIT_SHARE * (expires_at - ended_at):
                return
            await asyncio.sleep(pause_s)

    async def _send(self, request_id, kind, name, times, answer, keeps):
        """Send one attempt and read its answer; ``times`` are its deadline and when it is left."""
        expires_at, until = times
        answer.status, answer.whole, answer.reused, answer.closed = 0, False, False, False
        sent_at, conn = time.monotonic(), None
        try:
            async with asyncio.timeout(max(0.01, until - sent_at)):
                conn = await self._connect(name, keeps)
                answer.reused = conn.responses_read > 0
                await self._exchange(conn, request_id, kind, expires_at, answer)
        except http1.ResponseBroken:
            answer.closed = not answer.status
        except (http1.ConnectFailed, TimeoutError):
            # What has arrived is in the answer.
            pass
        finally:
            gave_up = time.monotonic() >= until
            if conn is not None:
                self._release(name, conn, keeps and answer.whole)
        self.attempts.append(
            Attempt(
                *(request_id, kind, name, sent_at, time.monotonic()),
                *(answer.status, answer.whole, gave_up and not answer.whole),
                *(answer.reused, answer.closed),
            )
        )

    async def _connect(self, name, keeps):
        kept = self._kept.get(name, [])
        while keeps and kept:
            conn = kept.pop()
            if conn.usable:
                return conn
            conn.close()
        item = self._gateways[name]
        return await http1.EngineConnection.open((item.host, item.port), CONNECT_TIMEOUT_S)

    def _release(self, name, conn, keeps):
        kept = self._kept.setdefault(name, [])
        if keeps and len(kept) < MAX_KEPT and conn.reset_for_reuse():
            kept.append(conn)
        else:
            conn.close()

    async def _exchange(self, conn, request_id, kind, expires_at, answer):
        left_ms = max(1, int((expires_at - time.monotonic()) * 1000))
        body = b"" if kind in ("read", "flip") else self._make_body()
        lines = {
            "Host": fleet.HOST,
            "X-Api-Key": fleet.KEY,
            "X-Berylrock-Attempt-Id": request_id,
            "X-Berylrock-Deadline-Ms": str(left_ms),
            "Content-Length": str(len(body)),
        }
        if kind in ("chat", "talk"):
            parts = f"aa:50,{request_id[:12]}:50"
            lines |= {"X-Berylrock-Model": "*", "X-Berylrock-Token-Usage": "100,20"}
            lines["X-Berylrock-Prefix-Hash"] = parts
        if answer.last_event:
            lines["Last-Event-Id"] = str(answer.last_event)
        headers = [(key.encode(), value.encode()) for key, value in lines.items()]
        await conn.send(METHODS[kind], f"/{kind}/{request_id[:12]}", headers, body)
        await self._read(conn, kind, answer)

    def _make_body(self):
        is_long = self._rng.random() < LONG_BODY_SHARE
        return b"x" * (self._rng.randint(*LONG_BODY_BYTES) if is_long else BODY_BYTES)

    async def _read(self, conn, kind, answer):
        data = b""
        while True:
            limit_s = EVENT_TIMEOUT_S if kind in ("chat", "talk") else DEADLINES_S[kind]
            async with asyncio.timeout(limit_s):
                event = await conn.next_event()
            if isinstance(event, h11.EndOfMessage):
                answer.whole = True
                return
            if isinstance(event, h11.Response):
                answer.status = event.status_code
                fields = dict(event.headers)
                answer.retry_after_s = float(fields.get(b"retry-after", b"0.2"))
                continue
            data += event.data
            *events, data = data.split(b"\n\n")
            ids = [item.partition(b"\n")[0] for item in events if item.startswith(b"id: ")]
            if ids and kind == "chat":
                answer.last_event = int(ids[-1][4:])
