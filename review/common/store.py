"""A stand-in for the platform's store, as PROTOCOL.md describes it under "metadata store"."""

import asyncio
import json
from urllib import parse

from common import wire

PAGE = 500


class Store:
    """Objects by kind and name, with one counter of revisions, lists, watches and conditions.

    Attributes:
      objects: Stored objects by kind and name.
      revision: The counter of revisions.
      address: Host and port on which the store listens.
      cuts: Number of waiting watches that were cut off.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.address = ("", 0)
        self.cuts = 0
        self._events = []
        self._changed = asyncio.Condition()
        self._waiting = {}
        self._server = None

    async def start(self, host):
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    async def put(self, kind, name, spec):
        """Write an object as the operator or an engine does."""
        async with self._changed:
            old = self.objects.get((kind, name), {})
            self._write(kind, name, spec, old.get("status"))
            self._changed.notify_all()

    async def remove(self, kind, name):
        """Remove an object."""
        async with self._changed:
            self._delete(kind, name)
            self._changed.notify_all()

    def cut_watches(self, kind):
        """Close the connections of the watches of a kind that wait now."""
        for task, (watched, writer) in list(self._waiting.items()):
            if watched == kind:
                self.cuts += 1
                writer.close()
                task.cancel()

    def _write(self, kind, name, spec, status):
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 0, "finalizers": []}
        stored = {"metadata": meta, "spec": spec, "status": status}
        self.objects[(kind, name)] = stored
        self._events.append((self.revision, kind, stored, False))
        return stored

    def _delete(self, kind, name):
        self.revision += 1
        stored = self.objects.pop((kind, name))
        self._events.append((self.revision, kind, stored, True))
        return stored

    async def _serve(self, reader, writer):
        try:
            while True:
                method, target, _, body = await wire.read_request(reader)
                status, answer = await self._handle(method, target, body, writer)
                headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
                writer.write(wire.make_response(status, headers, json.dumps(answer).encode()))
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _handle(self, method, target, body, writer):
        path, _, query = target.partition("?")
        params = dict(parse.parse_qsl(query))
        kind, *rest = [parse.unquote(item) for item in path.strip("/").split("/")][1:]
        if method == "GET" and "watch" in params:
            return await self._watch(kind, int(params["watch"]), int(params["wait-ms"]), writer)
        if method == "GET":
            return self._get(kind, rest, params)
        async with self._changed:
            result = self._change(method, kind, rest, params, json.loads(body) if body else {})
            self._changed.notify_all()
        return result

    def _get(self, kind, rest, params):
        if rest:
            found = self.objects.get((kind, rest[0]))
            return (200, found) if found else (404, {})
        names = sorted(name for of, name in self.objects if of == kind)
        names = [name for name in names if name > params.get("after", "")]
        entries = [self.objects[(kind, name)] for name in names[:PAGE]]
        return 200, {"entries": entries, "has-more": len(names) > PAGE, "at": self.revision}

    async def _watch(self, kind, revision, wait_ms, writer):
        def find():
            return [item for item in self._events if item[0] > revision and item[1] == kind]

        task = asyncio.current_task()
        self._waiting[task] = (kind, writer)
        try:
            async with self._changed, asyncio.timeout(wait_ms / 1000):
                await self._changed.wait_for(find)
        except TimeoutError:
            pass
        finally:
            del self._waiting[task]
        events = [{"object": stored, "deleted": gone} for _, _, stored, gone in find()]
        return 200, {"events": events, "at": self.revision}

    def _change(self, method, kind, rest, params, raw):
        name = rest[0] if rest else raw["metadata"]["name"]
        stored = self.objects.get((kind, name))
        if method == "POST":
            if stored is not None:
                return 409, stored
            return 200, self._write(kind, name, raw.get("spec"), None)
        if stored is None:
            return 404, {}
        expected = raw.get("metadata", {}).get("revision", params.get("revision"))
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if method == "DELETE":
            return 200, self._delete(kind, name)
        if len(rest) > 1:
            return 200, self._write(kind, name, stored["spec"], raw["status"])
        return 200, self._write(kind, name, raw.get("spec"), stored["status"])
