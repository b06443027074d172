"""Steps on what entry processes and sidecars take for an answer, without processes."""

import asyncio
import time
import types

import msgspec
from behave import given, then, when
from support.platform import breakingserver, copyingserver
from support.sidecars import TIMEOUT_S, make_links, make_runner

from berylrock.adapters import backend, platform
from berylrock.core import errors, message, metrics, timer
from berylrock.daemons.entry import calls, outcome
from berylrock.ops import claims, runs


@given("a plain server whose connections close after each call has arrived")
def step_closing(context):
    """Keep the server."""
    context.server = breakingserver.BreakingServer()


@given("a plain server whose connections are reset after each call has arrived")
def step_resetting(context):
    """Keep the server."""
    context.server = breakingserver.BreakingServer(resets=True)


@given("a plain server that stops listening and closes once a call has arrived")
def step_stopping(context):
    """Keep the server."""
    context.server = breakingserver.BreakingServer(stops=True)


@when("a sidecar passes a {method:w} call on that may run once")
def step_pass_on(context, method):
    """Run it as an attempt, and keep its last frame."""

    async def play():
        await context.server.start()
        client = backend.HttpPlainServer(f"http://127.0.0.1:{context.server.port}")
        runner = make_runner(client, "plain")
        start = message.Start(
            attempt="a1", target="m", method=method, path="/a", timeout_ms=9000, repeatable=False
        )
        run = runs.Run(start, "entry", None, 0.0)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await runner.run(run)
        finally:
            await context.server.stop()
        return run.end

    context.end = asyncio.run(play())


@then("the call has arrived once, and its outcome is unknown")
def step_once(context):
    """Check what arrived, and that the last frame does not say that the call has not run."""
    assert len(context.server.arrived) == 1, context.server.arrived
    assert isinstance(context.end, message.End), context.end
    assert context.end.outcome == message.Outcome.STALLED, context.end


class Connection:
    """A connection to an entry process that keeps what is sent."""

    total_bytes = 0

    def __init__(self):
        self.sent = []

    def send(self, msg):
        """Keep a message."""
        self.sent.append(msg)

    def close(self):
        """Close nothing."""


def make_claim(token, seconds=9.0):
    """Return a claim of a call that runs."""
    now = time.time()
    return claims.Claim(
        token, "claimed", "r1", "same", now + seconds, now + claims.RETENTION_SECONDS
    )


@given("an entry process, and another one that runs a call under the same key")
def step_other_runs(context):
    """Keep its calls; the claim is the other one's."""
    context.claim = make_claim("other")


@when("the claim is gone while the entry process waits for its outcome")
def step_claim_gone(context):
    """Let the object API find no claim any more."""

    async def read(name):
        raise errors.NotFound(name)

    async def play():
        made = calls.CallRunner(types.SimpleNamespace(claims=types.SimpleNamespace(read=read)))
        req = types.SimpleNamespace(fingerprint="same")
        deadline = asyncio.get_running_loop().time() + TIMEOUT_S
        try:
            await made._wait_for_claim(req, "name", context.claim, deadline)
        except outcome.RequestFailed as exc:
            context.outcome = exc.outcome

    asyncio.run(play())


@then("the caller is told that the call may have run")
def step_may_have_run(context):
    """Check the outcome."""
    assert context.outcome == outcome.UNKNOWN, context.outcome


@given(
    "an object API that writes each answer once more when the next call comes, and a stored claim"
)
def step_copying_api(context):
    """Keep objects by path, of which one is a claim that another request holds."""
    context.objects = {"/objects/claims/held": (1, msgspec.json.encode(make_claim("other")))}

    async def handle(method, target, headers, body):
        version, known = context.objects.get(target, (0, b""))
        if method == "GET":
            return (200 if version else 404), {"X-Version": version}, known
        if int(headers["if-version"]) != version:
            return 409, {"X-Version": version}, b""
        context.objects[target] = (version + 1, body)
        return 200, {"X-Version": version + 1}, b""

    context.server = copyingserver.CopyingServer(handle)


@when("a request writes another claim, and then wants the stored one")
def step_two_claims(context):
    """Acquire both, one after the other."""

    async def play():
        await context.server.start()
        url = f"http://127.0.0.1:{context.server.port}"
        objects = platform.HttpObjectStore(url, metrics.Metrics("", "test"))
        log = types.SimpleNamespace(write=lambda name, **fields: None)
        clock = timer.Timer(log.write)
        made = claims.ClaimStore(objects, clock, log)
        context.found = [await made.acquire(name, make_claim("own")) for name in ("free", "held")]
        await clock.close()

    asyncio.run(play())


@then("it does not hold the stored one")
def step_not_held(context):
    """Check both results, and what is stored."""
    free, held = context.found
    assert free.acquired and not held.acquired, context.found
    assert held.claim.token == "other", held


@given("a sidecar that has run an attempt for an entry process whose connection was then lost")
def step_forgetful(context):
    """Keep the sidecar's links, with a run that has ended and is discarded later."""
    context.links, context.runner, context.clock = make_links()
    context.links._log = types.SimpleNamespace(write=lambda name, **fields: None)
    context.connections = {}
    for name in ("entry-1", "entry-2"):
        conn = context.connections[name] = Connection()
        context.links.links[conn] = name
    end_run(context, "first")
    context.clock.at = 1.0
    context.links._drop(context.connections["entry-1"])


def end_run(context, attempt):
    """Let a run end, and discard it."""
    run = runs.Run(message.Start(attempt=attempt, target="m@v1"), "entry", None, 0.0)
    run.end = message.End(attempt)
    context.runner.runs[attempt] = run
    context.links._discard(run)


@when("{count:d} more attempts have ended there, and the entry process asks for its attempt")
def step_many_ended(context, count):
    """Let them end within some time, then reattach."""
    end_others(context, count)
    reattach(context)


@when("{count:d} more attempts have ended there, and the entry process asks after a second loss")
def step_second_loss(context, count):
    """Let them end, lose a connection on which nothing was asked, then reattach."""
    end_others(context, count)
    conn = context.connections["entry-1"]
    context.links.links[conn] = "entry-1"
    context.clock.at = 40.0
    context.links._drop(conn)
    reattach(context)


@when(
    "{count:d} more attempts have ended there, and the entry process comes back, lives, is lost"
    " and asks for a new one"
)
def step_settled_loss(context, count):
    """Let it send a heartbeat on its second connection, and lose that later."""
    end_others(context, count)
    conn = context.connections["entry-1"]
    context.links.links[conn] = "entry-1"
    context.links._handle_heartbeat(conn, message.Heartbeat(1))
    context.clock.at = 40.0
    context.links._drop(conn)
    reattach(context, "new")


def end_others(context, count):
    """Let so many other runs end."""
    context.clock.at = 30.0
    for number in range(count):
        end_run(context, f"other-{number}")


def reattach(context, attempt="first"):
    """Let the entry process connect again and ask for an attempt."""
    conn = context.connections["entry-1"]
    context.links.links[conn] = "entry-1"
    context.links._handle_attach(conn, message.Attach(attempt, 0))


@then("the new attempt is said never to have started")
def step_never_started(context):
    """Check the frame."""
    frame = context.connections["entry-1"].sent[-1]
    assert isinstance(frame, message.Refused), frame


@then("the attempt is said to have ended without an answer")
def step_said_ended(context):
    """Check the frame."""
    (frame,) = context.connections["entry-1"].sent
    assert isinstance(frame, message.End) and frame.outcome == message.Outcome.STALLED, frame


@then(
    "an attempt of an entry process that has lost no connection since is said never to have started"
)
def step_said_never(context):
    """Ask for one that did not arrive."""
    context.clock.at = 31.0
    conn = context.connections["entry-2"]
    context.links._drop(conn)
    context.links.links[conn] = "entry-2"
    context.links._handle_attach(conn, message.Attach("late", 0))
    (frame,) = conn.sent
    assert isinstance(frame, message.Refused), frame
