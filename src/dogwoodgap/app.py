"""The callers' HTTP interface."""

import collections.abc
import dataclasses
import typing

import pydantic
from starlette import requests, responses, routing

from dogwoodgap import actions as actions_module
from dogwoodgap import (
    answers,
    bodies,
    calls,
    clock,
    completions,
    exceptions,
    forwarding,
    intents,
    keys,
    lifecycle,
    limits,
    middleware,
    models,
    openapi,
    programs,
    settings,
    shards,
    structures,
    validation,
    views,
)

DISCOVERY_TTL_S = 5.0
FOLLOW_GRACE_S = 0.2
"""How long requests outlast the deadline of a call, to get the error with which it ends."""

LOCAL_ID_ATTEMPTS = 64

EntryLookup = collections.abc.Callable[[str, str], list[views.EntryView]]


@dataclasses.dataclass
class Services:
    """Components of a node that the callers' interface uses.

    Attributes
    ----------
    entries : callable
        Returns entry addresses for a customer and a program id; the id may be empty.
    """

    settings: settings.NodeSettings
    table: programs.ProgramTable
    calls: calls.Calls
    actions: actions_module.Actions
    intents: intents.Intents
    idempotent: actions_module.IdempotentActions
    lifecycle: lifecycle.Lifecycle
    forwarder: forwarding.Forwarder
    configuration: collections.abc.Callable[[], models.FleetConfiguration]
    entries: EntryLookup
    health: collections.abc.Callable[[], views.HealthView]
    ttl_s: float = DISCOVERY_TTL_S
    limiter: limits.Limiter | None = None


class App:
    """Request handlers of the callers' interface."""

    def __init__(self, services: Services):
        self.services = services
        self.max_body_bytes = services.settings.node.max_body_bytes

    def identify(self, request: requests.Request) -> keys.Identity:
        """Authenticate a request and return the identity of its caller."""
        if not self.services.health().ready:
            raise exceptions.NotReadyError("the node is starting; use another entry address")
        header = request.headers.get("authorization", "")
        identity = keys.authenticate(header, self.services.configuration())
        keys.check_caller(identity)
        return identity

    def longest_call_s(self) -> float:
        """Return the longest default deadline of a call in any profile."""
        profiles = self.services.configuration().profiles.values()
        return max((profile.call_deadline_seconds for profile in profiles), default=0.0)

    async def forward_if_remote(
        self,
        request: requests.Request,
        shard: int,
        body: bytes | None = None,
        deadline_s: float = 0.0,
    ) -> responses.Response | None:
        """Forward a request when another node owns the shard; return None otherwise."""
        if await self.services.forwarder.serves(shard):
            return None
        content = bodies.chunks(request, self.max_body_bytes) if body is None else body
        return await self.services.forwarder.forward(request, shard, content, deadline_s)

    async def forward_program_if_remote(
        self, request: requests.Request, body: bytes | None = None, deadline_s: float = 0.0
    ) -> responses.Response | None:
        """Forward a request when another node owns the program in its path."""
        identity = self.identify(request)
        shard = shards.program_shard(identity.customer, request.path_params["program"])
        return await self.forward_if_remote(request, shard, body, deadline_s)

    def program(self, request: requests.Request) -> programs.Program:
        """Return the program in the path, which belongs to the caller's customer."""
        identity = self.identify(request)
        return self.services.table.get(identity.customer, request.path_params["program"])

    def program_response(self, program: programs.Program, status: int = 200) -> responses.Response:
        """Return a response with the state of a program."""
        return views.json_response(views.program_view(program, self.services.table), status)

    def new_local_id(self, customer: str) -> str:
        """Return a new program id, if possible in a shard that this node owns."""
        for _ in range(LOCAL_ID_ATTEMPTS):
            candidate = lifecycle.new_id()
            if self.services.forwarder.ownership.owns(shards.program_shard(customer, candidate)):
                break
        return candidate

    async def create_program(self, request: requests.Request) -> responses.Response:
        """Create a program, or return the one with this id."""
        identity = self.identify(request)
        data = await bodies.read(request, self.max_body_bytes)
        body = validation.parse_json(models.ProgramRequest, data)
        keys.check_service(identity, body.service)
        routing_id = body.parent or body.id or self.new_local_id(identity.customer)
        shard = shards.program_shard(identity.customer, routing_id)
        forwarded = await self.forward_if_remote(request, shard, data)
        if forwarded is not None:
            return forwarded
        if body.parent is None and body.id is None:
            body.id = routing_id
        return self.program_response(
            await self.services.lifecycle.create(identity.customer, body), 201
        )

    async def get_program(self, request: requests.Request) -> responses.Response:
        """Return the state of a program."""
        return await self.forward_program_if_remote(request) or self.program_response(
            self.program(request)
        )

    async def end_program(self, request: requests.Request) -> responses.Response:
        """End or cancel a program and its children."""
        forwarded = await self.forward_program_if_remote(request)
        if forwarded is not None:
            return forwarded
        program = self.program(request)
        status = structures.ProgramStatus.FINISHED
        if programs.key_of(program) in self.services.calls.running:
            status = structures.ProgramStatus.CANCELLED
        await self.services.lifecycle.end(program, status, "ended by its caller")
        return self.program_response(program)

    async def history(self, request: requests.Request) -> responses.Response:
        """Return the stored turns of a program."""
        forwarded = await self.forward_program_if_remote(request)
        if forwarded is not None:
            return forwarded
        program = self.program(request)
        turns = self.services.calls.stored_turns(program)
        return views.json_response(views.HistoryView(program.id, turns))

    async def heartbeat(self, request: requests.Request) -> responses.Response:
        """Extend the idle limit of a program whose tool is slow."""
        forwarded = await self.forward_program_if_remote(request)
        if forwarded is not None:
            return forwarded
        program = self.program(request)
        self.services.lifecycle.touch(program)
        return self.program_response(program)

    async def call(self, request: requests.Request) -> responses.Response:
        """Run the next call of a program, or attach to the one with this number."""
        self.identify(request)
        data = await bodies.read(request, self.max_body_bytes)
        body = validation.parse_json(models.CallRequest, data)
        wait_s = self.longest_call_s() if body.deadline_seconds is None else body.deadline_seconds
        forwarded = await self.forward_program_if_remote(request, data, wait_s)
        if forwarded is not None:
            return forwarded
        program = self.program(request)
        default = self.services.lifecycle.profile(program).call_deadline_seconds
        deadline_s = default if body.deadline_seconds is None else body.deadline_seconds
        trace = request.headers.get("traceparent", "")
        running = await self.submit(program, body, deadline_s, trace)
        follow_until = clock.now() + deadline_s + FOLLOW_GRACE_S
        if body.stream:
            return responses.StreamingResponse(
                stream_events(program.id, running, follow_until), media_type="text/event-stream"
            )
        turn = await running.result(follow_until)
        return views.json_response(views.CallView(program.id, turn))

    async def submit(
        self, program: programs.Program, body: models.CallRequest, deadline_s: float, trace: str
    ) -> answers.RunningCall:
        """Start a call within the limits of its program and customer, or attach to it."""
        digest = calls.prompts.digest_of(body)
        attached = self.services.calls.attach(program, body, digest)
        if attached is not None:
            return attached
        self.services.lifecycle.check_limits(program, digest)
        if self.services.limiter is None:
            return self.services.calls.submit(program, body, deadline_s, trace)
        await self.services.limiter.acquire(program.customer)
        try:
            running = self.services.calls.submit(program, body, deadline_s, trace)
        except BaseException:
            self.services.limiter.release(program.customer)
            raise
        self.services.calls.tasks.start_soon(self.release_when_closed, program.customer, running)
        return running

    async def release_when_closed(self, customer: str, running: answers.RunningCall) -> None:
        """Release a call's slot in the limit of its customer when the call has ended."""
        await running.closed.wait()
        self.services.limiter.release(customer)

    async def program_action(self, request: requests.Request) -> responses.Response:
        """Run the next action of a program; an urgent idempotent one needs no number."""
        identity = self.identify(request)
        data = await bodies.read(request, self.max_body_bytes)
        body = validation.parse_json(models.ActionRequest, data)
        action = self.action_of(request, identity, body)
        if body.urgent and body.idempotent and body.seq is None:
            return views.action_response(await self.services.idempotent.run(action))
        if body.seq is None:
            raise exceptions.InvalidRequestError(
                "seq is missing; number the action, or mark it urgent and idempotent"
            )
        forwarded = await self.forward_program_if_remote(request, data, body.deadline_seconds)
        if forwarded is not None:
            return forwarded
        program = self.program(request)
        authorization = request.headers.get("authorization", "")
        result = await self.services.actions.run(program, body.seq, action, authorization)
        return views.action_response(result)

    async def action(self, request: requests.Request) -> responses.Response:
        """Run an action outside programs."""
        identity = self.identify(request)
        data = await bodies.read(request, self.max_body_bytes)
        body = validation.parse_json(models.ActionRequest, data)
        action = self.action_of(request, identity, body)
        if body.idempotent:
            return views.action_response(await self.services.idempotent.run(action))
        shard = shards.key_shard(identity.customer, action.key)
        forwarded = await self.forward_if_remote(request, shard, data, body.deadline_seconds)
        if forwarded is not None:
            return forwarded
        return views.action_response(await self.services.intents.run(action))

    def action_of(
        self, request: requests.Request, identity: keys.Identity, body: models.ActionRequest
    ) -> intents.Action:
        """Return the action that a request describes."""
        service = request.path_params["service"]
        keys.check_service(identity, service)
        configured = self.services.configuration().services
        if service not in configured or configured[service].kind != "plain":
            names = [name for name, candidate in configured.items() if candidate.kind == "plain"]
            raise exceptions.UnknownServiceError(
                f"{service!r} is not a plain service; use one of {', '.join(sorted(names))}"
            )
        return intents.Action(
            customer=identity.customer,
            key="" if body.idempotent else idempotency_key_of(request),
            service=service,
            path=request.path_params["path"],
            payload=body.payload,
            deadline_at=clock.now() + body.deadline_seconds,
            trace=request.headers.get("traceparent", ""),
            urgent=body.urgent,
        )

    async def entries(self, request: requests.Request) -> responses.Response:
        """Return the entry addresses to use."""
        identity = self.identify(request)
        program = request.query_params.get("program", "")
        entry_views = self.services.entries(identity.customer, program)
        return views.json_response(views.EntriesView(entry_views, self.services.ttl_s))

    async def health(self, request: requests.Request) -> responses.Response:
        """Return whether the node is alive and ready."""
        return views.json_response(self.services.health())

    async def openapi(self, request: requests.Request) -> responses.Response:
        """Return the description of this interface."""
        return views.json_response(openapi.document(ROUTES))


def idempotency_key_of(request: requests.Request) -> str:
    """Return the idempotency key of a request."""
    key = request.headers.get("idempotency-key", "")
    try:
        return _key_type.validate_python(key)
    except pydantic.ValidationError as error:
        raise exceptions.InvalidRequestError(
            "send the header Idempotency-Key with 1 to 128 letters, digits or _.:- "
            "or mark the action idempotent"
        ) from error


_key_type = pydantic.TypeAdapter(validation.Name)


async def stream_events(
    program: str, running: answers.RunningCall, deadline_at: float
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the server-sent events of a call."""
    try:
        async for batch in running.follow(deadline_at):
            yield views.encode_token_events(batch)
        turn = typing.cast(structures.Turn, running.turn)
        yield views.encode_event("done", views.CallView(program, turn))
    except exceptions.DogwoodgapError as error:
        views.count_refusal(error)
        yield views.encode_event("error", exceptions.problem(error))


Operation = openapi.Operation
ROUTES = [
    Operation("GET", "/health", "health", None, views.HealthView),
    Operation("GET", "/openapi.json", "openapi", None, None),
    Operation("GET", "/v1/entries", "entries", None, views.EntriesView, query=("program",)),
    Operation(
        "POST", "/v1/programs", "create_program", models.ProgramRequest, views.ProgramView, 201
    ),
    Operation("GET", "/v1/programs/{program}", "get_program", None, views.ProgramView),
    Operation("DELETE", "/v1/programs/{program}", "end_program", None, views.ProgramView),
    Operation("GET", "/v1/programs/{program}/history", "history", None, views.HistoryView),
    Operation("POST", "/v1/programs/{program}/heartbeat", "heartbeat", None, views.ProgramView),
    Operation("POST", "/v1/programs/{program}/calls", "call", models.CallRequest, views.CallView),
    Operation(
        "POST",
        "/v1/programs/{program}/actions/{service}/{path:path}",
        "program_action",
        models.ActionRequest,
        structures.ActionResult,
        headers=("Idempotency-Key",),
    ),
    Operation(
        "POST",
        "/v1/actions/{service}/{path:path}",
        "action",
        models.ActionRequest,
        structures.ActionResult,
        headers=("Idempotency-Key",),
    ),
    Operation(
        "POST",
        "/v1/chat/completions",
        "chat",
        models.ChatRequest,
        completions.Completion,
        headers=(completions.PROGRAM_HEADER,),
    ),
]


def build(
    services: Services, extra_routes: collections.abc.Sequence[routing.BaseRoute] = ()
) -> middleware.ProblemMiddleware:
    """Return the ASGI application of a node; ``extra_routes`` adds routes of other modules."""
    handlers = App(services)
    chat = completions.Completions(handlers)
    routes = [
        routing.Route(
            operation.path,
            chat.chat if operation.handler == "chat" else getattr(handlers, operation.handler),
            methods=[operation.method],
            name=operation.handler,
        )
        for operation in ROUTES
    ]
    router = routing.Router([*routes, *extra_routes], redirect_slashes=False)
    return middleware.ProblemMiddleware(router)
