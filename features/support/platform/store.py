"""A stand-in for the platform's store: objects by kind, revisions, watches and fault injection."""

import asyncio
import json
from typing import NamedTuple
from urllib import parse

import h11

from berylrock.adapters import http1

HEADER_BYTES = 65_536
LATE_WRITE_DELAY_S = 1.0
REFUSAL_STATUS = {"busy": 503, "limited": 429}


class Copy(NamedTuple):
    """The store's contents at a moment: objects by kind and name, and the revision."""

    objects: dict
    revision: int


class StandInStore:
    """An HTTP store that holds objects in memory.

    The modes are:

    - ``up``: no fault
    - ``down``: connections are reset
    - ``silent``: requests are not answered
    - ``busy``: status 503
    - ``limited``: status 429
    - ``gone``: watches get 410 at once
    - ``hasty``: watches are answered at once, without a change
    - ``lossy``: writes are performed and not answered
    - ``endless``: answers have a body without end
    - ``late``: writes are not answered, and performed a second later if their condition still
      holds

    Attributes:
      objects: Stored objects by kind and name.
      revision: Revision of the last change.
      mode: The fault in force.
      calls: Method and target of each request that was received.
      history_start: Revision before which changes are no longer known; older watches get 410.
      page_size: Most objects in one answer to a list request.
      stale_revision: Revision of the answers to list requests that allow stale data, which then
        have no entries; None if such requests get current data.
      silent_kinds: Kinds of objects whose requests are not answered.
      raw_texts: JSON texts, valid or not, that are sent in place of strings with their names.
      era: How often the store has come back from an older copy, and one.
      lost_pages: Number of the next requests for a page after the first that are reset.
      server: The listening server; None before ``start``.
      port: Port on which the store listens; 0 before ``start``.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.mode = "up"
        self.calls = []
        self.history_start = 0
        self.era = 1
        self.raw_texts = {}
        self.page_size = 500
        self.stale_revision = None
        self.silent_kinds = set()
        self.lost_pages = 0
        self._events = []
        self._late_writes = set()
        self._changed = None
        self.server = None
        self.port = 0

    async def start(self, host="127.0.0.1", port=0):
        """Start listening.

        Args:
          host: Address to listen on.
          port: Port to listen on, such as one used before; 0 for a free port.
        """
        self._changed = asyncio.Condition()
        self.server = await asyncio.start_server(self._serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec=None, status=None):
        """Write an object without a condition, as an operator or an engine does.

        Args:
          kind: Kind of the object.
          name: Name of the object.
          spec: Its new spec; None to keep the stored one.
          status: Its new status; None to keep the stored one.
        """
        async with self._changed:
            self._write(kind, name, spec, status)
            self._changed.notify_all()

    async def remove(self, kind, name):
        """Delete an object, if it exists, without a condition."""
        async with self._changed:
            self.revision += 1
            stored = self.objects.pop((kind, name), None)
            if stored is not None:
                self._events.append((self.revision, kind, stored, True))
            self._changed.notify_all()

    async def set_mode(self, mode):
        """Set the fault in force and wake the watches."""
        async with self._changed:
            self.mode = mode
            self._changed.notify_all()

    async def drop_history(self):
        """Drop the history of changes, so that watches from earlier revisions get 410."""
        async with self._changed:
            self.history_start = self.revision
            self._events.clear()
            self.revision += 1
            self._changed.notify_all()

    def take_copy(self):
        """Return a copy of the contents, from which the store can come back."""
        return Copy(dict(self.objects), self.revision)

    async def restore(self, copy):
        """Come back from a copy: later writes are lost, and their revisions are used again."""
        async with self._changed:
            self.objects = dict(copy.objects)
            self.revision = copy.revision
            self._events = [item for item in self._events if item[0] <= copy.revision]
            self.era += 1
            self._changed.notify_all()

    def _write(self, kind, name, spec, status):
        self.revision += 1
        old = self.objects.get((kind, name), {"spec": None, "status": None})
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        stored = {
            "metadata": meta,
            "spec": old["spec"] if spec is None else spec,
            "status": old["status"] if status is None else status,
        }
        self.objects[(kind, name)] = stored
        self._events.append((self.revision, kind, stored, False))
        return stored

    async def _serve(self, stream, writer):
        conn = http1.CallerConnection(stream, writer, HEADER_BYTES)
        try:
            while await self._serve_one(conn):
                conn.start_next_request()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            conn.abort()

    async def _serve_one(self, conn):
        event = await conn.next_event()
        if not isinstance(event, h11.Request):
            return False
        body = b""
        while not isinstance(part := await conn.next_event(), h11.EndOfMessage):
            body += part.data
        method, target = event.method.decode(), event.target.decode()
        self.calls.append((method, target))
        if self.mode == "down" or self._loses_page(target):
            conn.abort()
            return False
        if self.mode == "silent" or target.split("/")[2].partition("?")[0] in self.silent_kinds:
            await asyncio.sleep(3600)
        if self.mode == "endless":
            return await self._send_endless(conn)
        if self.mode in REFUSAL_STATUS:
            return await self._send_response(conn, REFUSAL_STATUS[self.mode], {"error": self.mode})
        if self.mode == "late" and method != "GET":
            self._late_writes.add(asyncio.create_task(self._write_late(method, target, body)))
            await asyncio.sleep(3600)
        status, answer = await self._handle(method, target, body)
        if self.mode == "lossy" and method != "GET":
            conn.abort()
            return False
        # The mode may have changed while a watch was waiting.
        if self.mode in ("down", "silent"):
            conn.abort()
            return False
        return await self._send_response(conn, status, answer)

    def _loses_page(self, target):
        """Return whether this request is for a page that is to be lost, and count it."""
        if not self.lost_pages or "after=" not in target:
            return False
        self.lost_pages -= 1
        return True

    async def _send_endless(self, conn):
        await conn.send(h11.Response(status_code=200, headers=[("Transfer-Encoding", "chunked")]))
        while self.mode == "endless":
            await conn.send(h11.Data(data=b"x" * HEADER_BYTES))
        conn.abort()
        return False

    async def _write_late(self, method, target, body):
        await asyncio.sleep(LATE_WRITE_DELAY_S)
        await self._handle(method, target, body)

    async def _send_response(self, conn, status, answer):
        body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        for name, text in self.raw_texts.items():
            body = body.replace(json.dumps(name).encode(), text)
        headers = [("content-length", str(len(body))), ("content-type", "application/json")]
        headers.append(("store-era", str(self.era)))
        await conn.send(h11.Response(status_code=status, headers=headers))
        await conn.send(h11.Data(data=body))
        await conn.send(h11.EndOfMessage())
        return conn.reusable

    async def _handle(self, method, target, body):
        path, _, query = target.partition("?")
        params = dict(parse.parse_qsl(query))
        parts = [parse.unquote(item) for item in path.strip("/").split("/")][1:]
        if method == "GET":
            if "watch" in params:
                return await self._watch(parts[0], int(params["watch"]), int(params["wait-ms"]))
            return self._get(parts, params)
        async with self._changed:
            result = self._change(method, parts, params, json.loads(body) if body else {})
            self._changed.notify_all()
        return result

    def _get(self, parts, params):
        if len(parts) > 1:
            stored = self.objects.get((parts[0], parts[1]))
            return (200, stored) if stored else (404, {"error": "none"})
        if "allow-stale" in params and self.stale_revision is not None:
            return 200, {"entries": [], "has-more": False, "at": self.stale_revision}
        names = sorted(name for kind, name in self.objects if kind == parts[0])
        names = [name for name in names if name > params.get("after", "")]
        entries = [self.objects[(parts[0], name)] for name in names[: self.page_size]]
        more = len(names) > self.page_size
        return 200, {"entries": entries, "has-more": more, "at": self.revision}

    async def _watch(self, kind, revision, wait_ms):
        if self.mode == "hasty":
            return 200, {"events": [], "at": self.revision}
        if self.mode == "gone" or revision < self.history_start or revision > self.revision:
            return 410, {"error": "gone"}
        era = self.era

        def found():
            return [item for item in self._events if item[0] > revision and item[1] == kind]

        def ready():
            gone = revision < self.history_start or era != self.era
            return found() or self.mode != "up" or gone

        try:
            async with self._changed, asyncio.timeout(wait_ms / 1000):
                await self._changed.wait_for(ready)
        except TimeoutError:
            pass
        if revision < self.history_start or era != self.era:
            return 410, {"error": "gone"}
        events = [{"object": item[2], "deleted": item[3]} for item in found()]
        return 200, {"events": events, "at": self.revision}

    def _change(self, method, parts, params, raw):
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else raw["metadata"]["name"]
        stored = self.objects.get((kind, name))
        if method == "POST":
            if stored is not None:
                return 409, stored
            return 200, self._write(kind, name, raw.get("spec"), None)
        if stored is None:
            return 404, {"error": "none"}
        expected_revision = raw.get("metadata", {}).get("revision", params.get("revision"))
        if (
            expected_revision is not None
            and int(expected_revision) != stored["metadata"]["revision"]
        ):
            return 409, stored
        if method == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            self._events.append((self.revision, kind, stored, True))
            return 200, stored
        part = "status" if len(parts) > 2 else "spec"
        if raw.get(part) in (None, stored[part]):
            # As on the platform, a write that changes nothing makes no revision and no event.
            return 200, stored
        if part == "status":
            return 200, self._write(kind, name, None, raw["status"])
        return 200, self._write(kind, name, raw["spec"], None)
