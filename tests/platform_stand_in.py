"""A stand-in for the platform's store: objects, revisions, conditions, watches and its faults."""

import dataclasses
import json
import urllib.parse

import anyio
import listen_addresses

from dogwoodgap import ingress

ROUTE = {
    "name": "r1",
    "host": "h.example",
    "pathPrefix": "/read/",
    "kind": "idempotent",
    "timeoutMs": 1200,
    "sloMs": 120,
    "priority": 2,
    "service": "plain",
    "attempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        ROUTE,
        {
            **ROUTE,
            "name": "r2",
            "pathPrefix": "/turn/",
            "kind": "streaming",
            "service": None,
            "split": [{"service": "model", "weight": 90}, {"service": "plain", "weight": 10}],
            "sticky": True,
            "resumable": True,
        },
    ],
    "services": [
        {"name": "plain", "maxConns": 100},
        {
            "name": "model",
            "maxConns": 170,
            "engine": {"slots": 16, "kvTokens": 1000, "eventTokens": 10},
        },
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


@dataclasses.dataclass(slots=True)
class Change:
    """One change of the history."""

    revision: int
    kind: str
    item: dict
    deleted: bool


class Store:
    """The store; faults are switched by its attributes.

    Attributes
    ----------
    refuse : int
        Status of all answers; 0 for none.
    lose : bool
        Calls are carried out, and their connection is closed without an answer.
    oldest : int
        History before this revision is gone.
    """

    def __init__(self) -> None:
        self.address = listen_addresses.free_address()
        self.kinds: dict[str, dict[str, dict]] = {}
        self.history: list[Change] = []
        self.revision = 10
        self.oldest = 0
        self.refuse = 0
        self.lose = False
        self.calls: list[str] = []
        self.changed = anyio.Event()

    def put(self, kind: str, name: str, **fields) -> dict:
        """Write an object."""
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name, {"spec": None, "status": None})
        item = {**known, **fields, "metadata": {"name": name, "rev": self.revision}}
        self.kinds[kind][name] = item
        self.note(kind, item, deleted=False)
        return item

    def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        self.revision += 1
        self.note(kind, self.kinds[kind].pop(name), deleted=True)

    def note(self, kind: str, item: dict, *, deleted: bool) -> None:
        """Add to the history and wake the watches."""
        self.history.append(Change(self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = anyio.Event()

    async def handle(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Answer one call."""
        url = urllib.parse.urlsplit(request.target.decode())
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = url.path.removeprefix("/v1/objects/").split("/")
        body = json.loads(request.body) if request.body else {}
        self.calls.append(f"{request.method.decode()} {parts[0]}")
        if self.refuse:
            status, reply = self.refuse, {}
        elif "watch" in query:
            status, reply = await self.watch(parts[0], query)
        else:
            status, reply = self.act(request.method.decode(), parts, query, body)
        if self.lose:
            raise ingress.CallerDisconnectedError
        await responder.send(status, [], json.dumps(reply).encode())

    async def watch(self, kind: str, query: dict) -> tuple[int, dict]:
        """Answer a watch."""
        since = int(query["watch"])
        if since < self.oldest:
            return 410, {}
        with anyio.move_on_after(int(query["waitMs"]) / 1000):
            while not (found := self.since(kind, since)):
                await self.changed.wait()
        found = self.since(kind, since)
        events = [{"object": item.item, "tombstone": item.deleted} for item in found]
        return 200, {"events": events, "storeRevision": self.revision}

    def since(self, kind: str, revision: int) -> list[Change]:
        """Return the changes of a kind after a revision."""
        return [item for item in self.history if item.kind == kind and item.revision > revision]

    def act(self, method: str, parts: list[str], query: dict, body: dict) -> tuple[int, dict]:
        """Answer any other call."""
        found = self.kinds.get(parts[0], {})
        if len(parts) == 1 and method == "GET":
            names = [name for name in sorted(found) if name > query.get("after", "")]
            items = [found[name] for name in names[:2]]
            more = len(names) > len(items)
            return 200, {"items": items, "hasMore": more, "storeRevision": self.revision}
        if method == "POST":
            name = body["metadata"]["name"]
            return (
                (409, found[name])
                if name in found
                else (200, self.put(parts[0], name, **{"spec": body["spec"]}))
            )
        if parts[1] not in found:
            return 404, {}
        if method == "GET":
            return 200, found[parts[1]]
        if method == "DELETE":
            self.remove(parts[0], parts[1])
            return 200, {}
        expected = body["metadata"].get("rev")
        if expected is not None and expected != found[parts[1]]["metadata"]["rev"]:
            return 409, found[parts[1]]
        field = "status" if len(parts) > 2 else "spec"
        return 200, self.put(parts[0], parts[1], **{field: body[field]})
