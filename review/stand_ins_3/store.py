"""The platform's store: objects by kind and name, with revisions, watches and conditions."""

import asyncio
import json
import typing
import urllib.parse

from stand_ins_3 import http

PAGE_ITEMS = 500
STATUS_TEXTS = {200: "OK", 404: "Not Found", 409: "Conflict", 503: "Unavailable"}


class Store:
    """The store.

    Attributes
    ----------
    calls : list of str
        Method and target of each call.
    is_down : bool
        Whether all calls get a 503, and watches are cut off.
    """

    def __init__(self, address: str):
        self.address = address
        self.kinds: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self.revision = 100
        self.history: list[tuple[int, str, dict[str, typing.Any], bool]] = []
        self.changed = asyncio.Event()
        self.calls: list[str] = []
        self.is_down = False

    async def start(self) -> None:
        """Begin to serve."""
        await http.serve(self.address, self.handle)

    def set_down(self, is_down: bool) -> None:
        """Begin or end an outage."""
        self.is_down = is_down
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, **fields: typing.Any) -> dict[str, typing.Any]:
        """Create or change an object."""
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and all(known[field] == value for field, value in fields.items()):
            return known
        self.revision += 1
        metadata = {
            "name": name,
            "rev": self.revision,
            "createRevision": known["metadata"]["createRevision"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {**(known or {"spec": None, "status": None}), **fields, "metadata": metadata}
        objects[name] = item
        self.record(kind, item, is_removed=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.record(kind, item, is_removed=True)

    def record(self, kind: str, item: dict[str, typing.Any], *, is_removed: bool) -> None:
        """Add a change to the history, and wake the watches."""
        self.history.append((self.revision, kind, item, is_removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(
        self, request: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one call."""
        method, target, _ = request.start
        self.calls.append(f"{method} {target}")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")[3:]]
        if self.is_down:
            status, content = 503, {}
        elif "watch" in query:
            status, content = 200, await self.watch(parts[0], query)
            if self.is_down:
                return False
        else:
            status, content = self.apply(method, parts, query, request.body)
        body = json.dumps(content).encode()
        headers = {"Content-Type": "application/json", "Content-Length": str(len(body))}
        writer.write(http.head(f"HTTP/1.1 {status} {STATUS_TEXTS[status]}", headers) + body)
        await writer.drain()
        return True

    async def watch(self, kind: str, query: dict[str, str]) -> dict[str, typing.Any]:
        """Return the changes of a kind since a revision, as soon as there is one."""
        since = int(query["watch"])
        try:
            async with asyncio.timeout(float(query.get("waitMs", "0")) / 1000):
                while not self.changes(kind, since) and not self.is_down:
                    await self.changed.wait()
        except TimeoutError:
            pass
        return {"events": self.changes(kind, since), "storeRevision": self.revision}

    def changes(self, kind: str, since: int) -> list[dict[str, typing.Any]]:
        """Return the events of a kind since a revision."""
        return [
            {"object": item, "tombstone": is_removed}
            for revision, changed, item, is_removed in self.history
            if changed == kind and revision > since
        ]

    def apply(
        self, method: str, parts: list[str], query: dict[str, str], body: bytes
    ) -> tuple[int, typing.Any]:
        """Carry out any other call; return the status and the content."""
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 1:
            names = [name for name in sorted(objects) if name > query.get("after", "")]
            items = [objects[name] for name in names[:PAGE_ITEMS]]
            more = len(names) > PAGE_ITEMS
            return 200, {"items": items, "hasMore": more, "storeRevision": self.revision}
        sent = json.loads(body) if body else {}
        if method == "POST":
            name = sent["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, spec=sent.get("spec"))
        name = parts[1]
        if name not in objects:
            return 404, {}
        condition = sent.get("metadata", {}).get("rev") or query.get("rev")
        if method != "GET" and condition and int(condition) != objects[name]["metadata"]["rev"]:
            return 409, objects[name]
        if method == "PUT":
            field = "status" if len(parts) > 2 else "spec"
            return 200, self.put(kind, name, **{field: sent.get(field)})
        found = objects[name]
        if method == "DELETE":
            self.remove(kind, name)
        return 200, found
