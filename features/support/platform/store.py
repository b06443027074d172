"""A stand-in for the platform's store: kinds of objects, revisions, watches, faults."""

import asyncio
import json
from urllib import parse

import h11

from berylrock.adapters import http1

HEADER_BYTES = 65_536
LATE_S = 1.0
REFUSALS = {"busy": 503, "limited": 429}


class StandInStore:
    """Holds objects in memory.

    ``mode`` is one of: ``up``, ``down`` (resets), ``silent`` (no answer), ``busy`` (503),
    ``limited`` (429), ``lossy`` (writes are done and not answered), ``late`` (writes are not
    answered, and done a second later if their condition still holds). Lists that may be old are
    answered as of ``stale_at``, if that is set.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.mode = "up"
        self.calls = []
        self.forgotten = 0
        self.page = 500
        self.stale_at = None
        self.silent_kinds = set()
        self._events = []
        self._late = set()
        self._changed = None
        self.server = None
        self.port = 0

    async def start(self, host="127.0.0.1", port=0):
        """Listen; a port that was used before may be given."""
        self._changed = asyncio.Condition()
        self.server = await asyncio.start_server(self._serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def put(self, kind, name, spec=None, status=None):
        """Write as the operator or an engine does."""
        async with self._changed:
            self._write(kind, name, spec, status)
            self._changed.notify_all()

    async def remove(self, kind, name):
        """Delete an object."""
        async with self._changed:
            self.revision += 1
            stored = self.objects.pop((kind, name), None)
            if stored is not None:
                self._events.append((self.revision, kind, stored, True))
            self._changed.notify_all()

    async def set_mode(self, mode):
        """Change the fault in force."""
        async with self._changed:
            self.mode = mode
            self._changed.notify_all()

    async def forget(self):
        """Drop the history: older watches get 410."""
        async with self._changed:
            self.forgotten = self.revision
            self._events.clear()
            self.revision += 1
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
        link = http1.CallerConnection(stream, writer, HEADER_BYTES)
        try:
            while await self._serve_one(link):
                link.start_next_request()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass
        finally:
            link.abort()

    async def _serve_one(self, link):
        event = await link.next_event()
        if not isinstance(event, h11.Request):
            return False
        body = b""
        while not isinstance(part := await link.next_event(), h11.EndOfMessage):
            body += part.data
        method, target = event.method.decode(), event.target.decode()
        self.calls.append((method, target))
        if self.mode == "down":
            link.abort()
            return False
        if self.mode == "silent" or target.split("/")[2].partition("?")[0] in self.silent_kinds:
            await asyncio.sleep(3600)
        if self.mode in REFUSALS:
            return await self._answer(link, REFUSALS[self.mode], {"error": self.mode})
        if self.mode == "late" and method != "GET":
            self._late.add(asyncio.create_task(self._handle_late(method, target, body)))
            await asyncio.sleep(3600)
        status, answer = await self._handle(method, target, body)
        if self.mode == "lossy" and method != "GET":
            link.abort()
            return False
        if self.mode in ("down", "silent"):
            link.abort()
            return False
        return await self._answer(link, status, answer)

    async def _handle_late(self, method, target, body):
        await asyncio.sleep(LATE_S)
        await self._handle(method, target, body)

    async def _answer(self, link, status, answer):
        body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        headers = [("content-length", str(len(body))), ("content-type", "application/json")]
        await link.send(h11.Response(status_code=status, headers=headers))
        await link.send(h11.Data(data=body))
        await link.send(h11.EndOfMessage())
        return link.reusable

    async def _handle(self, method, target, body):
        path, _, query = target.partition("?")
        words = dict(parse.parse_qsl(query))
        parts = [parse.unquote(item) for item in path.strip("/").split("/")][1:]
        if method == "GET":
            if "watch" in words:
                return await self._watch(parts[0], int(words["watch"]), int(words["wait-ms"]))
            return self._read(parts, words)
        async with self._changed:
            result = self._change(method, parts, words, json.loads(body) if body else {})
            self._changed.notify_all()
        return result

    def _read(self, parts, words):
        if len(parts) > 1:
            stored = self.objects.get((parts[0], parts[1]))
            return (200, stored) if stored else (404, {"error": "none"})
        if "allow-stale" in words and self.stale_at is not None:
            return 200, {"entries": [], "has-more": False, "at": self.stale_at}
        names = sorted(name for kind, name in self.objects if kind == parts[0])
        names = [name for name in names if name > words.get("after", "")]
        entries = [self.objects[(parts[0], name)] for name in names[: self.page]]
        more = len(names) > self.page
        return 200, {"entries": entries, "has-more": more, "at": self.revision}

    async def _watch(self, kind, revision, wait_ms):
        if revision < self.forgotten:
            return 410, {"error": "gone"}

        def found():
            return [item for item in self._events if item[0] > revision and item[1] == kind]

        def ready():
            return found() or self.mode != "up" or revision < self.forgotten

        try:
            async with self._changed, asyncio.timeout(wait_ms / 1000):
                await self._changed.wait_for(ready)
        except TimeoutError:
            pass
        if revision < self.forgotten:
            return 410, {"error": "gone"}
        events = [{"object": item[2], "deleted": item[3]} for item in found()]
        return 200, {"events": events, "at": self.revision}

    def _change(self, method, parts, words, raw):
        kind = parts[0]
        name = parts[1] if len(parts) > 1 else raw["metadata"]["name"]
        stored = self.objects.get((kind, name))
        if method == "POST":
            if stored is not None:
                return 409, stored
            return 200, self._write(kind, name, raw.get("spec"), None)
        if stored is None:
            return 404, {"error": "none"}
        wanted = raw.get("metadata", {}).get("revision", words.get("revision"))
        if wanted is not None and int(wanted) != stored["metadata"]["revision"]:
            return 409, stored
        if method == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            self._events.append((self.revision, kind, stored, True))
            return 200, stored
        if len(parts) > 2:
            return 200, self._write(kind, name, None, raw["status"])
        return 200, self._write(kind, name, raw.get("spec"), None)
