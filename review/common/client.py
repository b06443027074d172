"""A stand-in for a client: one request on a connection of its own, as PROTOCOL.md allows."""

import asyncio
import time

from common import wire

HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"


class Call:
    """One client attempt. Times are in seconds of ``time.monotonic``.

    Attributes:
      attempt: Its id.
      kind: Name of the kind of request.
      sent_at: When its last byte was sent.
      closed_at: When the client closed the connection before it had an answer; None if it did not.
      answered_at: When the answer was complete; None if there was none.
      status: Status of the answer; 0 if there was none.
      signed: Whether the answer bears an engine's signature.
      earlier: Number of requests that were answered before on the same connection.
    """

    def __init__(self, attempt, kind):
        self.attempt = attempt
        self.kind = kind
        self.sent_at = 0.0
        self.closed_at = None
        self.answered_at = None
        self.status = 0
        self.signed = False
        self.earlier = 0


def make_lines(call, deadline_ms):
    """Return the headers of a call."""
    return [
        ("Host", HOST),
        ("X-Berylrock-Attempt-Id", call.attempt),
        ("X-Berylrock-Deadline-Ms", str(deadline_ms)),
        ("X-Api-Key", KEY),
    ]


async def send(address, call, method, target, deadline_ms, leaves_after_s=None, body=b""):
    """Send a request and wait for its answer.

    Args:
      address: Host and port of the gateway.
      call: The call; its fields are set.
      method: HTTP method.
      target: Path of the request.
      deadline_ms: How long the client waits for the answer.
      leaves_after_s: When the client gives up and closes its connection; None to wait.
      body: Body of the request.
    """
    headers = make_lines(call, deadline_ms)
    wait_s = deadline_ms / 1000 if leaves_after_s is None else leaves_after_s
    writer = None
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
        writer.write(wire.make_request(method, target, headers, body))
        await writer.drain()
        call.sent_at = time.monotonic()
        async with asyncio.timeout(wait_s):
            first, fields = await wire.read_head(reader)
            await reader.readexactly(int(fields["content-length"]))
        call.status, call.answered_at = int(first.split()[1]), time.monotonic()
        call.signed = "x-berylrock-response-signature" in fields
    except TimeoutError:
        call.closed_at = time.monotonic()
    except (EOFError, OSError, asyncio.IncompleteReadError):
        # The connection ended without an answer; the status stays 0.
        pass
    finally:
        if writer is not None:
            writer.transport.abort()


class KeptConnection:
    """A client's connection that is kept open for many requests, one after the other.

    After a request without an answer, the next one goes on a new connection.
    """

    def __init__(self, address):
        self._address = address
        self._streams = None
        self._answered = 0

    async def send(self, call, method, target, deadline_ms, body=b""):
        """Send a request and wait for its answer; the fields of the call are set."""
        try:
            if self._streams is None:
                async with asyncio.timeout(1.0):
                    self._streams = await asyncio.open_connection(*self._address)
            call.earlier = self._answered
            reader, writer = self._streams
            lines = make_lines(call, deadline_ms)
            writer.write(wire.make_request(method, target, lines, body))
            await writer.drain()
            call.sent_at = time.monotonic()
            async with asyncio.timeout(deadline_ms / 1000):
                first, fields = await wire.read_head(reader)
                await reader.readexactly(int(fields["content-length"]))
            call.status, call.answered_at = int(first.split()[1]), time.monotonic()
            call.signed = "x-berylrock-response-signature" in fields
            self._answered += 1
            if "close" in fields.get("connection", ""):
                self.close()
        except TimeoutError:
            call.closed_at = time.monotonic()
            self.close()
        except (EOFError, OSError, asyncio.IncompleteReadError):
            # The connection ended without an answer; the status stays 0.
            self.close()

    def close(self):
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None
            self._answered = 0
