"""Plays requests through a gateway's own forwarding, with engines and connections in memory.

Nothing but the engines, the connections' bytes and the callers is simulated: which engine and which
connection a request gets, and what an answer proves, is decided by the product.
"""

import asyncio
import collections
import logging
import random
from typing import NamedTuple
from unittest import mock

from berylrock.core import eventlog, gatewaysettings, metrics, routing, timer
from berylrock.daemons.gateway import context, forwarding, pool
from berylrock.ops import routetable

from . import answerengine, gateway_data, virtualtime

SERVICE = routing.Service("s", "/healthz", 100, 0.0, 0.0, 48, 0, ())
REPEATABLE = gateway_data.make_route("r", "/r/", kind="idempotent")
RUN_ONCE = gateway_data.make_route("o", "/o/", kind="non_idempotent", max_attempts=1)
# Statuses by which a caller learns that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A sound answer must arrive after this many copies and bytes of them, of requests among the last
# that its connection has carried.
COPIES, COPIED_BYTES, REMEMBERED = 4, 65_536, 64
BOUNDS = gatewaysettings.Bounds(retry_ratio=1.0, retry_extra=1000.0)
SETTINGS = gatewaysettings.GatewaySettings(
    "g", "a", "r", "x", ("x", 1), ("x", 2), ("x", 3), 4, 1000, 0.0, 0.0, 1.0, BOUNDS
)


class Call(NamedTuple):
    """A request of a caller.

    Attributes:
      repeatable: Whether it may run more than once.
      gap_s: Time after the call before it.
      waits: Whether that one has ended first.
      same_id: Whether it has the id of that one.
      method: HTTP method.
    """

    repeatable: bool
    gap_s: float
    waits: bool
    same_id: bool = False
    method: str = "POST"


class Result(NamedTuple):
    """What a caller got: a status, the id that the answer names, and the body if an engine's."""

    status: int
    names: str
    body: bytes | None


class Caller:
    """Takes the place of the gateway's responder for one caller."""

    def __init__(self):
        self.begun = False
        self.result = None

    async def refuse(self, status, _reason, _retry_after_s=None):
        """Take a status of the gateway's own."""
        self.result = Result(status, "", None)

    async def send_response(self, head, body):
        """Take an engine's answer."""
        self.result = Result(head.status, head.request_id, bytes(body))


class Play:
    """One play of calls against engines.

    Attributes:
      calls: The calls, by the numbers of their callers.
      runs: All runs.
      results: What the callers got.
      unproved: Number of arrivals of each call without a refusal that must be believed.
      met: Number of copies of earlier answers before an answer that was expected.
      faults: What broke a promise, in words.
    """

    def __init__(self, addresses, calls, moves):
        """Prepare a play.

        Args:
          addresses: Number of the address of each engine id.
          calls: Each ``Call``.
          moves: Each ``Move`` for the requests in order of their arrival; then they just run.
        """
        self.calls = calls
        self.runs = []
        self.results = []
        self.met = 0
        self.faults = []
        self._addresses = addresses
        self._moves = iter(moves)
        self._processes = {("x", number): answerengine.Process(self) for number in addresses}
        self._expected = {}
        self.unproved = collections.Counter()

    def next_move(self):
        """Return what is done with the request that has arrived."""
        return next(self._moves, answerengine.Move())

    def begin(self, run):
        """Record that an engine begins to run a request."""
        number = run.caller
        earlier = [item for item in self.runs if item.caller == number]
        if earlier and not self.calls[number].repeatable:
            self.faults.append(f"call {number} began again")
        if any(item.active for item in earlier):
            self.faults.append(f"call {number} runs at two engines")
        self.runs.append(run)

    def arrive(self, wire, request):
        """Record that a request has arrived on a connection."""
        self.unproved[request[1]] += 1
        if request[0] in [name for name, _, _ in wire.carried[-REMEMBERED:]]:
            self.faults.append(f"call {request[1]} came twice on one connection")
        if wire.copied:
            self.faults.append(f"call {request[1]} came on a connection with a copy before")

    def expect(self, wire, request, move, item):
        """Record that the answer that is about to be written must reach its caller, if it must."""
        copies = wire.pending
        earlier = wire.carried[-REMEMBERED:]
        same = {name for name, _, method in earlier if (method == "HEAD") == (request[2] == "HEAD")}
        sound = all(
            copy.framed and copy.names in same and copy.no_body == item.no_body for copy in copies
        )
        size = sum(len(copy.body) for copy in copies)
        few = len(copies) <= COPIES and size <= COPIED_BYTES
        if not (sound and few):
            return
        self.met += len(copies)
        wire.copied = wire.copied or bool(copies)
        if move.kind == "refuse":
            self.unproved[request[1]] -= 1
        elif move.status < 500:
            self._expected[request[1]] = move.status

    async def _open(self, address, _timeout_s):
        wire = self._processes[address].connect()
        return pool.PooledConnection(wire.reader, wire)

    async def _call(self, ctx, conns, number, request_id):
        call, now = self.calls[number], asyncio.get_running_loop().time()
        route = REPEATABLE if call.repeatable else RUN_ONCE
        headers = ((b"Host", b"h"), (answerengine.ID_NAME, request_id.encode()))
        headers += ((answerengine.CALLER_NAME, str(number).encode()),)
        target = route.prefix + "a"
        head = routing.RequestHead(
            request_id, call.method, target, "h", "k", 3.0, "", 0, 0, (), "", None, headers
        )
        req = routing.Request(head, b"", route, "s", "org", now, now + 3.0, str(number), 1)
        caller = Caller()
        await forwarding.Forwarding(ctx, conns, req, caller).run()
        self.results[number] = caller.result
        self._check(number, request_id, caller.result)

    def _check(self, number, request_id, result):
        """Compare what a caller got with what has run."""
        began = any(item.caller == number for item in self.runs)
        if result.status in NOT_RUN_STATUSES and began:
            self.faults.append(f"call {number} has run and got {result.status}")
        if result.status == 502 and not began and not self.unproved[number]:
            self.faults.append(f"call {number} got 502 although all its refusals are proofs")
        if result.body is not None and result.names != request_id:
            self.faults.append(f"call {number} got the answer to another one")
        bodiless = result.status == 204 or self.calls[number].method == "HEAD"
        if result.body is not None and not bodiless and not result.body.startswith(b"%d:" % number):
            self.faults.append(f"call {number} got the body of another one")
        expected = self._expected.get(number)
        if expected is not None and result.status != expected:
            self.faults.append(f"call {number} got {result.status} in place of its {expected}")

    def _make_context(self):
        config = routing.Config(1, (REPEATABLE, RUN_ONCE), (SERVICE,), (), False, routing.Limits())
        log = eventlog.EventLog("g", logging.NullHandler())
        ctx = context.Context(SETTINGS, log, metrics.Metrics("", "g"), timer.Timer(log.write, 1))
        ctx.rng = random.Random(1)
        ctx.table = routetable.RouteTable(config)
        engines = [
            gateway_data.make_engine(f"e{index}", service="s", address=("x", number))
            for index, number in enumerate(self._addresses)
        ]
        ctx.engines.replace(tuple(engines), asyncio.get_running_loop().time())
        return ctx

    async def _play(self):
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, error: self.faults.append(f"error: {error}"))
        ctx, conns = self._make_context(), pool.ConnectionPool()
        tasks, request_id = [], ""
        for number, call in enumerate(self.calls):
            if tasks and call.waits:
                await tasks[-1]
            await asyncio.sleep(call.gap_s)
            if not (call.same_id and tasks and tasks[-1].done()):
                request_id = f"{number:016x}"
            tasks.append(asyncio.create_task(self._call(ctx, conns, number, request_id)))
        await asyncio.gather(*tasks)
        conns.close()

    def run(self):
        """Play it; ``faults`` then holds what broke a promise."""
        self.results = [None] * len(self.calls)
        with mock.patch.object(pool.PooledConnection, "open", self._open):
            virtualtime.run(self._play())
