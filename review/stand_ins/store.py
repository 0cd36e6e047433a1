"""The platform's metadata store."""

import asyncio
import json
import urllib.parse

from stand_ins import http

ANSWER_S = 0.004
PAGE = 500
REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Unavailable"}


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, dict]] = {}
        self.revision = 10
        self.history: list[tuple[int, str, dict, bool]] = []
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.is_down = False
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen for calls."""
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, kind: str, name: str, **fields) -> dict:
        """Create an object, or replace some of its fields."""
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and all(known.get(key) == value for key, value in fields.items()):
            return known
        self.revision += 1
        created = known["metadata"]["createRevision"] if known else self.revision
        item = {"spec": None, "status": None, **(known or {}), **fields}
        item["metadata"] = {
            "name": name,
            "rev": self.revision,
            "createRevision": created,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = item
        self.note(kind, item, False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.note(kind, item, True)

    def note(self, kind: str, item: dict, tombstone: bool) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, item, tombstone))
        self.changed.set()
        self.changed = asyncio.Event()

    def go_down(self) -> None:
        """Reset all connections and refuse calls until ``is_down`` is cleared."""
        self.is_down = True
        for writer in self.writers:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        try:
            while True:
                request = await http.read_message(reader)
                if self.is_down:
                    break
                await asyncio.sleep(ANSWER_S)
                status, content = await self.handle(request)
                if self.is_down:
                    break
                body = json.dumps(content).encode()
                head = {"Content-Type": "application/json"}
                writer.write(http.encode(f"HTTP/1.1 {status} {REASONS[status]}", head, body))
                await writer.drain()
        except (http.ClosedError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request: http.Message) -> tuple[int, dict]:
        """Carry out one call."""
        method, target = request.first[0], request.first[1]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.removeprefix("/v1/objects/").split("/")
        kind = parts[0]
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 1:
            names = sorted(name for name in objects if name > query.get("after", ""))
            return 200, {
                "items": [objects[name] for name in names[:PAGE]],
                "hasMore": len(names) > PAGE,
                "storeRevision": self.revision,
            }
        body = json.loads(request.body) if request.body else {}
        if method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, spec=body.get("spec"))
        name = parts[1]
        if name not in objects:
            return 404, {}
        if method == "GET":
            return 200, objects[name]
        expected = query.get("rev", body.get("metadata", {}).get("rev"))
        if expected is not None and int(expected) != objects[name]["metadata"]["rev"]:
            return 409, objects[name]
        if method == "DELETE":
            self.remove(kind, name)
            return 200, {}
        field = "status" if len(parts) > 2 else "spec"
        return 200, self.put(kind, name, **{field: body.get(field)})

    async def watch(self, kind: str, since: int, wait_s: float) -> tuple[int, dict]:
        """Wait for changes of a kind."""
        end = asyncio.get_running_loop().time() + wait_s
        while True:
            found = [
                {"object": item, "tombstone": gone}
                for revision, of_kind, item, gone in self.history
                if of_kind == kind and revision > since
            ]
            left = end - asyncio.get_running_loop().time()
            if found or left <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue
