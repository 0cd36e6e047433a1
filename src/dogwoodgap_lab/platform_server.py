"""HTTP server of the fake platform; ``PUT /faults`` sets the faults of its store."""

import collections.abc
import typing

import msgspec
from starlette import applications, requests, responses, routing

from dogwoodgap import exceptions, objectstore
from dogwoodgap_lab import objects

ERROR_STATUSES: dict[type[exceptions.DogwoodgapError], int] = {
    exceptions.ObjectMissingError: 404,
    exceptions.VersionConflictError: 412,
    exceptions.StoreUnavailableError: 503,
    exceptions.StoreBusyError: 429,
    exceptions.WatchExpiredError: 410,
}

Handler = collections.abc.Callable[
    [requests.Request], collections.abc.Awaitable[responses.Response]
]


def json_response(value: typing.Any) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(msgspec.json.encode(value), media_type="application/json")


class PlatformServer:
    """HTTP handlers of an object store."""

    def __init__(self, store: objects.MemoryObjectStore):
        self.store = store

    async def get(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /objects/{key}``."""
        stored = await self.store.get(request.path_params["key"])
        return responses.Response(stored.data, headers={"ETag": f'"{stored.version}"'})

    async def put(self, request: requests.Request) -> responses.Response:
        """Handle ``PUT /objects/{key}`` with ``If-Match`` or ``If-None-Match: *``."""
        data = await request.body()
        expected = None
        if request.headers.get("if-none-match") == "*":
            expected = objectstore.ABSENT
        elif "if-match" in request.headers:
            expected = int(request.headers["if-match"].strip('"'))
        if len(data) > objectstore.MAX_OBJECT_BYTES:
            return responses.Response("object exceeds the maximum size", 413)
        version = await self.store.put(request.path_params["key"], data, expected=expected)
        return responses.Response(status_code=200, headers={"ETag": f'"{version}"'})

    async def delete(self, request: requests.Request) -> responses.Response:
        """Handle ``DELETE /objects/{key}`` with ``If-Match``."""
        expected = None
        if "if-match" in request.headers:
            expected = int(request.headers["if-match"].strip('"'))
        await self.store.delete(request.path_params["key"], expected=expected)
        return responses.Response(status_code=204)

    async def list_page(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /list``."""
        query = request.query_params
        limit = int(query.get("limit", "1000"))
        page = await self.store.list_page(
            query["prefix"], after=query.get("after", ""), limit=limit
        )
        return json_response(page)

    async def watch(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /watch``."""
        query = request.query_params
        page = await self.store.watch(
            query["prefix"], since=int(query["since"]), timeout_s=float(query["timeout"])
        )
        return json_response(page)

    async def vms(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /vms``."""
        return json_response(await self.store.vms())

    async def set_vms(self, request: requests.Request) -> responses.Response:
        """Handle ``PUT /vms``, which replaces the list of VMs."""
        vms = msgspec.json.decode(await request.body(), type=list[objectstore.Vm])
        self.store.set_vms(vms)
        return json_response(vms)

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Handle ``PUT /faults``."""
        faults = msgspec.json.decode(await request.body(), type=objects.StoreFaults)
        self.store.faults = faults
        return json_response(faults)

    async def get_stats(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /stats``, which returns the number of calls of each kind."""
        return json_response(self.store.calls)


async def on_error(request: requests.Request, error: Exception) -> responses.Response:
    """Convert a store error to an HTTP response."""
    return responses.Response(str(error), ERROR_STATUSES.get(type(error), 500))


def build(store: objects.MemoryObjectStore) -> applications.Starlette:
    """Return the ASGI application of the fake platform."""
    server = PlatformServer(store)
    return applications.Starlette(
        routes=[
            routing.Route("/objects/{key:path}", server.get, methods=["GET"]),
            routing.Route("/objects/{key:path}", server.put, methods=["PUT"]),
            routing.Route("/objects/{key:path}", server.delete, methods=["DELETE"]),
            routing.Route("/list", server.list_page),
            routing.Route("/watch", server.watch),
            routing.Route("/vms", server.vms, methods=["GET"]),
            routing.Route("/vms", server.set_vms, methods=["PUT"]),
            routing.Route("/faults", server.set_faults, methods=["PUT"]),
            routing.Route("/stats", server.get_stats),
        ],
        exception_handlers={exceptions.DogwoodgapError: on_error},
    )
