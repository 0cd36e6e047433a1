"""The platform's store: objects by kind and name, conditional writes and watches."""

import asyncio
import json
import typing
import urllib.parse

from stand_ins_2 import http

PREFIX = "/v1/objects/"
PAGE = 500
ANSWER_S = 0.004


class Store:
    """The store; ``delay_s`` is the time of an answer."""

    def __init__(self) -> None:
        self.kinds: dict[str, dict[str, dict]] = {}
        self.history: list[tuple[int, str, dict, bool]] = []
        self.revision = 100
        self.delay_s = ANSWER_S
        self.changed = asyncio.Event()

    def note(self, kind: str, item: dict, *, tombstone: bool) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, item, tombstone))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind: str, name: str, field: str, value: typing.Any) -> dict:
        """Create an object or replace a part of it; no change adds no revision."""
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old is not None and old[field] == value:
            return old
        self.revision += 1
        item = dict(old) if old else {"spec": None, "status": None}
        created = old["metadata"]["createRevision"] if old else self.revision
        item[field] = value
        item["metadata"] = {
            "name": name,
            "rev": self.revision,
            "createRevision": created,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = item
        self.note(kind, item, tombstone=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self.note(kind, item, tombstone=True)

    async def handle(self, request: http.Message, writer: asyncio.StreamWriter) -> None:
        """Answer one call."""
        method, target, _ = request.first_line
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.removeprefix(PREFIX).split("/")]
        await asyncio.sleep(self.delay_s)
        if "watch" in query:
            status, content = 200, await self.watch(parts[0], query)
        else:
            body = json.loads(request.body) if request.body else {}
            status, content = self.answer(method, parts, query, body)
        headers = {"Content-Type": "application/json"}
        writer.write(http.encode_response(status, headers, json.dumps(content).encode()))

    async def watch(self, kind: str, query: dict[str, str]) -> dict:
        """Wait for changes of a kind."""
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000
        while True:
            events = [
                {"object": item, "tombstone": tombstone}
                for revision, of, item, tombstone in self.history
                if of == kind and revision > since
            ]
            left = until - loop.time()
            if events or left <= 0:
                return {"events": events, "storeRevision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    def answer(
        self, method: str, parts: list[str], query: dict[str, str], body: dict
    ) -> tuple[int, typing.Any]:
        """Answer a call that is no watch."""
        kind = parts[0]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(parts) == 1:
            names = [name for name in sorted(objects) if name > query.get("after", "")]
            items = [objects[name] for name in names[:PAGE]]
            more = len(names) > PAGE
            return 200, {"items": items, "hasMore": more, "storeRevision": self.revision}
        if method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, "spec", body.get("spec"))
        item = objects.get(parts[1])
        if item is None:
            return 404, {}
        if method == "GET":
            return 200, item
        wanted = query.get("rev") or body.get("metadata", {}).get("rev")
        if wanted is not None and int(wanted) != item["metadata"]["rev"]:
            return 409, item
        if method == "DELETE":
            self.remove(kind, parts[1])
            return 200, item
        field = "status" if parts[2:] == ["status"] else "spec"
        return 200, self.put(kind, parts[1], field, body.get(field))
