"""The callers' HTTP interface."""

import collections.abc
import math
import typing
import uuid

import msgspec
from starlette import applications, requests, responses, routing

from dogwoodgap import calls, clock, exceptions, keys, models, programs, records, structures

if typing.TYPE_CHECKING:
    from dogwoodgap import node as node_module

PROBLEM_TYPE = "application/problem+json"


class ProgramView(msgspec.Struct):
    """Answer to ``GET /v1/programs/{id}``."""

    id: str
    service: str
    profile: str
    status: str
    reason: str
    budget_tokens: int
    remaining_tokens: int
    next_seq: int
    turns: int
    parent: str
    children: list[str]


class CallView(msgspec.Struct):
    """Answer to a call and payload of the ``done`` event."""

    program: str
    turn: structures.Turn


class HistoryView(msgspec.Struct):
    """Answer to ``GET /v1/programs/{id}/history``."""

    program: str
    turns: list[structures.Turn]


class TokenView(msgspec.Struct):
    """Payload of a ``token`` event."""

    index: int
    text: str


def answer(value: typing.Any, status: int = 200) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(msgspec.json.encode(value), status, media_type="application/json")


def refuse(error: exceptions.DogwoodgapError) -> responses.Response:
    """Return the problem document of an error."""
    headers = {}
    if error.retry_after_s:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    body = msgspec.json.encode(exceptions.problem(error))
    return responses.Response(body, error.status, headers, media_type=PROBLEM_TYPE)


def server_sent(event: str, value: typing.Any) -> bytes:
    """Return one server-sent event."""
    return b"event: " + event.encode() + b"\ndata: " + msgspec.json.encode(value) + b"\n\n"


class App:
    """Routes of the callers' interface over one node."""

    def __init__(self, node: "node_module.Node"):
        self.node = node

    def identify(self, request: requests.Request) -> keys.Identity:
        """Return who sends a request."""
        header = request.headers.get("authorization", "")
        return keys.authenticate(header, self.node.configuration)

    async def body(self, request: requests.Request, model: type[models.M]) -> models.M:
        """Read and validate a body."""
        limit = self.node.settings.node.max_body_bytes
        data = bytearray()
        async for part in request.stream():
            data += part
            if len(data) > limit:
                raise exceptions.BodyTooLargeError(f"the body exceeds {limit} bytes; send less")
        return models.parse(model, bytes(data))

    def program(self, request: requests.Request) -> programs.Program:
        """Return the program named by the path, of the sender's customer."""
        identity = self.identify(request)
        return self.node.table.get(identity.customer, request.path_params["program"])

    async def create_program(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /v1/programs``."""
        identity = self.identify(request)
        body = await self.body(request, models.ProgramRequest)
        program = await self.node.create_program(identity.customer, body)
        return answer(self.view(program), 201)

    async def get_program(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /v1/programs/{id}``."""
        return answer(self.view(self.program(request)))

    async def end_program(self, request: requests.Request) -> responses.Response:
        """Handle ``DELETE /v1/programs/{id}``."""
        program = self.program(request)
        await self.node.end_program(program, structures.ProgramStatus.FINISHED, "ended by caller")
        return answer(self.view(program))

    async def history(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /v1/programs/{id}/history``."""
        program = self.program(request)
        return answer(HistoryView(program.id, program.turns()))

    async def call(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /v1/programs/{id}/calls``."""
        program = self.program(request)
        body = await self.body(request, models.CallRequest)
        deadline_s = body.deadline_seconds or self.node.profile(program).call_deadline_seconds
        running = self.node.calls.submit(program, body, deadline_s)
        if body.stream:
            return responses.StreamingResponse(
                self.events(program.id, running), media_type="text/event-stream"
            )
        async for _ in running.follow():
            pass
        return answer(CallView(program.id, running.turn))

    async def events(
        self, program: str, running: calls.RunningCall
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the server-sent events of a call."""
        try:
            async for batch in running.follow():
                yield b"".join(
                    server_sent("token", TokenView(token.index, token.text)) for token in batch
                )
            yield server_sent("done", CallView(program, running.turn))
        except exceptions.DogwoodgapError as error:
            yield server_sent("error", exceptions.problem(error))

    def view(self, program: programs.Program) -> ProgramView:
        """Describe a program to its caller."""
        return ProgramView(
            id=program.id,
            service=program.service,
            profile=program.profile,
            status=program.status,
            reason=program.reason,
            budget_tokens=program.budget_tokens,
            remaining_tokens=self.node.table.remaining_tokens(program),
            next_seq=program.next_seq,
            turns=program.turn_count,
            parent=program.parent,
            children=program.children,
        )

    async def health(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /health``."""
        return answer({"node": self.node.settings.node.name, "ready": self.node.ready})


async def on_error(request: requests.Request, error: Exception) -> responses.Response:
    """Turn a typed error into its problem document."""
    return refuse(typing.cast(exceptions.DogwoodgapError, error))


def build(node: "node_module.Node") -> applications.Starlette:
    """Return the ASGI application of a node."""
    app = App(node)
    routes = [
        routing.Route("/health", app.health),
        routing.Route("/v1/programs", app.create_program, methods=["POST"]),
        routing.Route("/v1/programs/{program}", app.get_program, methods=["GET"]),
        routing.Route("/v1/programs/{program}", app.end_program, methods=["DELETE"]),
        routing.Route("/v1/programs/{program}/history", app.history, methods=["GET"]),
        routing.Route("/v1/programs/{program}/calls", app.call, methods=["POST"]),
    ]
    return applications.Starlette(
        routes=routes, exception_handlers={exceptions.DogwoodgapError: on_error}
    )


def new_program_id() -> str:
    """Return a fresh program id."""
    return uuid.uuid4().hex


def created_record(
    customer: str, body: models.ProgramRequest, profile: models.Profile, name: str
) -> records.ProgramCreated:
    """Return the record of a new program."""
    now = clock.wall()
    lifetime = body.deadline_seconds or profile.max_wall_seconds
    return records.ProgramCreated(
        customer=customer,
        program=body.id or new_program_id(),
        service=body.service,
        profile=name,
        budget_tokens=body.budget_tokens or profile.budget_tokens,
        created_at=now,
        deadline_at=now + lifetime,
        parent=body.parent or "",
    )
