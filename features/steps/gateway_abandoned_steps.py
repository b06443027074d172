"""Steps on engines that are late to learn that a request was given up, with a gateway process."""

import asyncio
import signal
import time

from behave import given, then, when
from support.platform import fleet, scenario

BODY_BYTES = 400_000
LIMITS = {"max-header-bytes": 16384, "max-body-bytes": 1_000_000}
HEAD_END = b"\r\n\r\n"
ANSWER = (
    b"HTTP/1.1 200 OK\r\nX-Berylrock-Attempt-Id: %s\r\nX-Berylrock-Response-Signature: s\r\n"
    b"Keep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok"
)
ID_HEADER = b"x-berylrock-attempt-id: "


class LateEngine:
    """An engine that reads what arrives, from a time on, and keeps how each connection ended.

    Attributes:
      received: Bytes of each connection.
      ends: How each connection ended: ``closed`` or ``reset``.
    """

    def __init__(self, reads_after_s=0.0, answers=False):
        self.received = []
        self.ends = []
        self.port = 0
        self._reads_after_s = reads_after_s
        self._answers = answers
        self._server = None

    async def start(self):
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**16)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        if self._reads_after_s:
            writer.transport.pause_reading()
            await asyncio.sleep(self._reads_after_s)
            writer.transport.resume_reading()
        data = bytearray()
        self.received.append(data)
        try:
            while chunk := await reader.read(65_536):
                data += chunk
                if self._answers and HEAD_END in chunk:
                    request_id = data.lower().rpartition(ID_HEADER)[2].partition(b"\r\n")[0]
                    writer.write(ANSWER % bytes(request_id))
            self.ends.append("closed")
        except ConnectionResetError:
            self.ends.append("reset")
        finally:
            writer.transport.abort()


def start_with(context, late):
    """Start a gateway with a late engine and, in another zone, one of each service that answers."""
    scenario.start_gateway(context, plain=0, models=0)
    running, context.late = context.gateway, late
    running.thread.run(late.start())
    running.put("config", "main", fleet.make_config(2, limits=LIMITS))
    for service in ("plain", "models"):
        entry = fleet.make_entry(service, f"127.0.0.1:{late.port}")
        running.put("servers", f"{service}-late", entry)
        running.add_engine(f"{service}-1", service, zone="giarre-d")
    running.wait(lambda: "engine=models-1 what=added" in running.log(), "the engines are known")
    running.wait(lambda: "config_in_force version=2" in running.log(), "the limits are known")


@given("a gateway and an engine that reads nothing for {seconds:g} s")
def step_reads_late(context, seconds):
    """Start them."""
    start_with(context, LateEngine(reads_after_s=seconds))


@given("a gateway and an engine that reads requests and never answers")
def step_never_answers(context):
    """Start them."""
    start_with(context, LateEngine())


@given("a gateway and an engine that answers and keeps connections open")
def step_answers(context):
    """Start them."""
    start_with(context, LateEngine(answers=True))


@when("a read with a body of 400 kB is sent")
def step_long_read(context):
    """Send it and wait for its answer."""
    context.result = context.gateway.send("POST", "/read/a", body=b"x" * BODY_BYTES)


@then("the other engine answers it")
def step_answered(context):
    """Check the answer."""
    assert context.result.status == 200 and context.result.whole, context.gateway.log()
    assert len(context.gateway.runs("plain")) == 1


@then("the late engine does not get the whole request")
def step_not_whole(context):
    """Wait until it has read to the end."""
    late = context.late
    context.gateway.wait(lambda: late.ends, "the late engine has read all that there is")
    assert all(len(data) < BODY_BYTES for data in late.received), [len(x) for x in late.received]


@when("a read fails over to the other engine")
def step_read_fails_over(context):
    """Send a read and wait for its answer."""
    assert context.gateway.send().status == 200


@when("a stream fails over to the other engine")
def step_stream_fails_over(context):
    """Send a chat and wait for its answer."""
    assert context.gateway.send_chat().status == 200


@when("the deadline of an order passes")
def step_order_deadline(context):
    """Send an order and wait for the timeout."""
    headers = [("X-Berylrock-Deadline-Ms", "600")]
    assert context.gateway.send("POST", "/order/a", headers=headers, body=b"x").status == 504


@when("the caller of a read leaves")
def step_caller_leaves(context):
    """Close the connection of a read that an engine has got."""
    running = context.gateway

    async def send_and_leave():
        _, writer = await asyncio.open_connection(running.host, running.port)
        head = f"GET /read/a HTTP/1.1\r\nHost: {fleet.HOST}\r\nX-Api-Key: {fleet.KEY}\r\n"
        writer.write(head.encode() + b"X-Berylrock-Attempt-Id: 00000000000000aa\r\n\r\n")
        while not context.late.received or HEAD_END not in context.late.received[0]:
            await asyncio.sleep(0.01)
        writer.close()

    running.thread.run(send_and_leave())


@when("the gateway ends with a read that it runs")
def step_gateway_ends(context):
    """Stop the gateway while a read waits for its engine, which is the only one."""
    running = context.gateway
    running.thread.run(running.store.remove("servers", "plain-1"))
    removed = "engine=plain-1 what=removed"
    running.wait(lambda: removed in running.log(), "the other engine is gone")
    headers = [("X-Berylrock-Deadline-Ms", "30000")]
    running.put("config", "main", long_timeouts())
    running.wait(lambda: "config_in_force version=3" in running.log(), "timeouts are long")
    loop = running.thread
    call = asyncio.run_coroutine_threadsafe(running.send_async(headers=headers), loop.loop)
    running.wait(lambda: context.late.received, "the engine has the read")
    running.signal(signal.SIGTERM)
    call.result(30)


def long_timeouts():
    """Return a configuration in which requests may take longer than the gateway's stop."""
    config = fleet.make_config(3, limits=LIMITS)
    for route in config["routes"]:
        route["timeout-ms"] = 30_000
    return config


@when("a read is answered and its connection is no longer used")
def step_idle(context):
    """Send a read and let its connection grow old."""
    assert context.gateway.send().status == 200
    time.sleep(1.0)


@then("the engine's connection is reset, not closed in order")
def step_reset(context):
    """Wait for the end of the connection."""
    context.gateway.wait(lambda: context.late.ends, "the connection has ended")
    assert set(context.late.ends) == {"reset"}, context.late.ends


@then("the engine's connection is closed in order, not reset")
def step_closed(context):
    """Wait for the end of the connection."""
    context.gateway.wait(lambda: context.late.ends, "the connection has ended")
    assert set(context.late.ends) == {"closed"}, context.late.ends
