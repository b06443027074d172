"""Steps on what entry processes and sidecars take for an answer, without processes."""

import asyncio

from behave import given, then, when
from support.platform import rawengine
from support.sidecars import TIMEOUT_S, make_runner

from berylrock.adapters import backend, sockets
from berylrock.core import message
from berylrock.ops import runs


class BreakingServer:
    """Reads the head of each request, and ends its connection without an answer.

    Attributes:
      arrived: Heads of the requests.
      port: Port on which it listens; 0 before ``start``.
    """

    def __init__(self, resets=False, stops=False):
        """Prepare the server.

        Args:
          resets: Whether connections are reset, and not closed in order.
          stops: Whether it stops listening before the first connection ends.
        """
        self.arrived = []
        self.port = 0
        self._resets, self._stops = resets, stops
        self._server = None

    async def start(self):
        """Start listening on a free port."""
        limit = rawengine.HEAD_BYTES
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=limit)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stop listening."""
        self._server.close()

    async def _serve(self, reader, writer):
        self.arrived.append(await reader.readuntil(b"\r\n\r\n"))
        if self._stops:
            self._server.close()
        if self._resets:
            sockets.set_reset_on_close(writer.get_extra_info("socket"))
        writer.close()


@given("a plain server whose connections close after each call has arrived")
def step_closing(context):
    """Keep the server."""
    context.server = BreakingServer()


@given("a plain server whose connections are reset after each call has arrived")
def step_resetting(context):
    """Keep the server."""
    context.server = BreakingServer(resets=True)


@given("a plain server that stops listening and closes once a call has arrived")
def step_stopping(context):
    """Keep the server."""
    context.server = BreakingServer(stops=True)


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
            await client.close()
            await context.server.stop()
        return run.end

    context.end = asyncio.run(play())


@then("the call has arrived once, and its outcome is unknown")
def step_once(context):
    """Check what arrived, and that the last frame does not say that the call has not run."""
    assert len(context.server.arrived) == 1, context.server.arrived
    assert isinstance(context.end, message.End), context.end
    assert context.end.outcome == message.Outcome.STALLED, context.end
