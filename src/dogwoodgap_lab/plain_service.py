"""The plain service stand-in: executes actions and keeps a ledger of them."""

import typing

import msgspec
from starlette import applications, requests, responses, routing

from dogwoodgap import adapters, clock


class Execution(msgspec.Struct):
    """One executed action."""

    path: str
    key: str
    payload: typing.Any
    at: float


def encoded(value: typing.Any, status: int = 200) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(msgspec.json.encode(value), status, media_type="application/json")


class PlainService:
    """Executes whatever it is asked, without removing duplicates, and records it."""

    def __init__(self) -> None:
        self.ledger: list[Execution] = []

    async def execute(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /{path}``."""
        body = await request.body()
        payload = msgspec.json.decode(body) if body else None
        key = request.headers.get("idempotency-key", "")
        path = request.path_params["path"]
        self.ledger.append(Execution(path, key, payload, clock.wall()))
        return encoded({"executed": path, "number": len(self.ledger)})

    async def get_ledger(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /ledger``."""
        return encoded(self.ledger)

    async def load(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /load``."""
        return encoded(adapters.LoadReport())


def build(service: PlainService) -> applications.Starlette:
    """Return the ASGI application of a plain service."""
    return applications.Starlette(
        routes=[
            routing.Route("/ledger", service.get_ledger),
            routing.Route("/load", service.load),
            routing.Route("/{path:path}", service.execute, methods=["POST"]),
        ]
    )
