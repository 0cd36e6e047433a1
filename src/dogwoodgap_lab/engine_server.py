"""HTTP server of the fake model engine."""

import collections.abc
import contextlib
import typing

import anyio
import msgspec
import xxhash
from starlette import applications, requests, responses, routing

from dogwoodgap import adapters, exceptions, structures
from dogwoodgap_lab import engine as engine_module
from dogwoodgap_lab import faults

STATUS_STALE_FENCING = 412


class ChatBody(msgspec.Struct):
    """Body of ``POST /v1/chat/completions``."""

    model: str
    messages: list[structures.Text]
    max_tokens: int = 64
    stream: bool = True
    request_id: str = ""
    priority: int = 0
    session: str = ""
    resume_from: int = 0


class SessionBody(msgspec.Struct):
    """Body of the requests that name a session or a running request."""

    session: str = ""
    request_id: str = ""
    seconds: float = 0.0


class EngineStats(msgspec.Struct):
    """Response to ``GET /stats``."""

    arrivals: int
    generated_tokens: int
    held_token_s: float
    wasted_token_s: float
    cached_tokens: int
    orders: list[adapters.EngineOrder]


def json_response(value: typing.Any, status: int = 200) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(msgspec.json.encode(value), status, media_type="application/json")


def parse_request(body: ChatBody) -> engine_module.EngineRequest:
    """Return the engine request of a body; a leading system message is its shared prefix."""
    prompt = [word for message in body.messages for word in message.content.split()]
    shared = ""
    shared_tokens = 0
    if body.messages and body.messages[0].role == "system":
        content = body.messages[0].content
        shared = f"prefix:{xxhash.xxh3_64_hexdigest(content.encode())}"
        shared_tokens = len(content.split())
    return engine_module.EngineRequest(
        request_id=body.request_id,
        prompt=prompt,
        max_tokens=body.max_tokens,
        priority=body.priority,
        session=body.session,
        resume_from=body.resume_from,
        shared_prefix=shared,
        shared_tokens=shared_tokens,
    )


def encode_event(body: ChatBody, token: engine_module.EngineToken) -> bytes:
    """Encode a token as a server-sent event."""
    choice = adapters.Choice(adapters.Delta(token.text), token.finish_reason or None)
    usage = None
    if token.finish_reason:
        details = adapters.PromptDetails(token.cached_tokens)
        usage = adapters.Usage(token.prompt_tokens, token.output_tokens, details)
    chunk = adapters.EngineChunk(body.request_id, [choice], token.index, usage)
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


class EngineServer:
    """HTTP handlers of one engine.

    Parameters
    ----------
    checks_fencing : bool
        Whether orders with a fencing number below the last one are refused with 412.
    """

    def __init__(self, engine: engine_module.Engine, *, checks_fencing: bool = True):
        self.engine = engine
        self.checks_fencing = checks_fencing
        self.state = adapters.EngineState()
        self.orders: list[adapters.EngineOrder] = []

    async def chat(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /v1/chat/completions``, which always streams."""
        body = msgspec.json.decode(await request.body(), type=ChatBody)
        generation_request = parse_request(body)
        try:
            self.engine.raise_if_crashed(generation_request)
        except exceptions.RunnerUnreachableError:
            self.state = adapters.EngineState()
            return faults.TruncatedResponse()
        return responses.StreamingResponse(
            self.stream(body, generation_request), media_type="text/event-stream"
        )

    async def stream(
        self, body: ChatBody, generation_request: engine_module.EngineRequest
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield the events of a completion, one chunk per batch of tokens."""
        async with contextlib.aclosing(self.engine.stream(generation_request)) as batches:
            async for batch in batches:
                yield b"".join(encode_event(body, token) for token in batch)
        yield b"data: [DONE]\n\n"

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /cancel``; cancelling an unknown request is not an error."""
        body = msgspec.json.decode(await request.body(), type=SessionBody)
        self.engine.cancel(body.request_id)
        return json_response(body)

    async def load(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /load``."""
        return json_response(self.engine.load())

    async def cache(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /cache``."""
        return json_response(self.engine.cache.sessions())

    async def cache_events(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /cache/events``."""
        since = int(request.query_params.get("since", "0"))
        return json_response(self.engine.cache.events_since(since))

    async def release(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /cache/release``."""
        body = msgspec.json.decode(await request.body(), type=SessionBody)
        self.engine.release(body.session)
        return json_response(body)

    async def retain(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /cache/retain``."""
        body = msgspec.json.decode(await request.body(), type=SessionBody)
        found = self.engine.cache.retain(body.session, body.seconds)
        return json_response(body, 200 if found else 404)

    async def export(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /kv/export``."""
        body = msgspec.json.decode(await request.body(), type=SessionBody)
        tokens = self.engine.cache.reuse(body.session)
        if not tokens:
            return json_response(body, 404)
        return json_response(adapters.KvBlock(body.session, tokens))

    async def import_block(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /kv/import``."""
        block = msgspec.json.decode(await request.body(), type=adapters.KvBlock)
        self.engine.cache.store(block.session, block.tokens)
        return json_response(adapters.CachedSession(block.session, block.tokens))

    async def order(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /orders``; the order takes effect after ``order_delay_s``.

        The fencing number is checked again after the delay, since a newer order may have arrived.
        """
        order = msgspec.json.decode(await request.body(), type=adapters.EngineOrder)
        if self.checks_fencing and order.fencing < self.state.fencing:
            return json_response(self.state, STATUS_STALE_FENCING)
        if self.checks_fencing:
            self.state.fencing = order.fencing
        await anyio.sleep(self.engine.fault_injector.faults.order_delay_s)
        if self.checks_fencing and order.fencing < self.state.fencing:
            return json_response(self.state, STATUS_STALE_FENCING)
        self.apply(order)
        return json_response(self.state)

    def apply(self, order: adapters.EngineOrder) -> None:
        """Record an order and update the engine state."""
        self.orders.append(order)
        if order.kind == "load_model":
            self.state.model = order.value
        elif order.kind == "load_adapter" and order.value not in self.state.adapters:
            self.state.adapters.append(order.value)
        elif order.kind == "set_version":
            self.state.version = order.value
        elif order.kind == "set_role":
            self.state.role = order.value

    async def get_state(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /orders``, which returns the engine state."""
        return json_response(self.state)

    async def request_log(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /requests``, which returns the latest accepted requests, oldest first."""
        return json_response(list(self.engine.request_log))

    async def stats(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /stats``."""
        cache = self.engine.cache
        return json_response(
            EngineStats(
                arrivals=self.engine.arrivals,
                generated_tokens=self.engine.generated_tokens,
                held_token_s=cache.held_token_s,
                wasted_token_s=cache.wasted_token_s,
                cached_tokens=cache.held_tokens(),
                orders=self.orders,
            )
        )


def build(
    engine: engine_module.Engine, *, checks_fencing: bool = True
) -> collections.abc.Callable[..., typing.Any]:
    """Return the ASGI application of an engine, whose lifespan runs the step loop."""
    server = EngineServer(engine, checks_fencing=checks_fencing)

    @contextlib.asynccontextmanager
    async def lifespan(_: applications.Starlette) -> collections.abc.AsyncIterator[None]:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(engine.run)
            yield
            tasks.cancel_scope.cancel()

    application = applications.Starlette(
        routes=[
            routing.Route("/v1/chat/completions", server.chat, methods=["POST"]),
            routing.Route("/cancel", server.cancel, methods=["POST"]),
            routing.Route("/load", server.load),
            routing.Route("/cache", server.cache),
            routing.Route("/cache/events", server.cache_events),
            routing.Route("/cache/release", server.release, methods=["POST"]),
            routing.Route("/cache/retain", server.retain, methods=["POST"]),
            routing.Route("/kv/export", server.export, methods=["POST"]),
            routing.Route("/kv/import", server.import_block, methods=["POST"]),
            routing.Route("/orders", server.order, methods=["POST"]),
            routing.Route("/orders", server.get_state, methods=["GET"]),
            routing.Route("/faults", engine.fault_injector.set_faults, methods=["PUT"]),
            routing.Route("/requests", server.request_log),
            routing.Route("/stats", server.stats),
        ],
        lifespan=lifespan,
    )
    return faults.FaultMiddleware(application, engine.fault_injector)
