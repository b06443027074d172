"""A stand-in for a service whose answers come twice: again when the next call has been sent."""

import asyncio

HEAD_END = b"\r\n\r\n"
# Time from a copy to the answer that is due.
ANSWER_DELAY_S = 0.05


class CopyingServer:
    """Answers calls over HTTP, and writes each answer once more when the next call comes.

    Attributes:
      port: Port on which it listens; 0 before ``start``.
    """

    def __init__(self, handle):
        """Prepare the server.

        Args:
          handle: Called with method, target, headers by lower-case name, and body; returns status,
            headers and body.
        """
        self.port = 0
        self._handle = handle
        self._server = None

    async def start(self):
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        last = b""
        try:
            while True:
                first, *lines = (await reader.readuntil(HEAD_END)).decode().splitlines()
                pairs = [line.split(": ", 1) for line in lines if line]
                headers = {name.lower(): value for name, value in pairs}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(last)
                await asyncio.sleep(ANSWER_DELAY_S if last else 0.0)
                method, target, _ = first.split()
                last = self._encode(*await self._handle(method, target, headers, body))
                writer.write(last)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The other side has closed the connection, or the scenario ends.
            pass
        finally:
            writer.transport.abort()

    @staticmethod
    def _encode(status, headers, body):
        lines = [f"HTTP/1.1 {status} Any", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join(lines).encode() + HEAD_END + body
