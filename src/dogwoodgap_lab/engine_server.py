"""The model engine stand-in over HTTP."""

import collections.abc
import typing

import msgspec
from starlette import applications, requests, responses, routing

from dogwoodgap import adapters, structures
from dogwoodgap_lab import engine as engine_module


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
    """Body of an order about a session or a request."""

    session: str = ""
    request_id: str = ""


def encoded(value: typing.Any) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(msgspec.json.encode(value), media_type="application/json")


class EngineServer:
    """HTTP routes over one engine."""

    def __init__(self, engine: engine_module.Engine):
        self.engine = engine

    async def chat(self, request: requests.Request) -> responses.Response:
        """Handle a streamed completion."""
        body = msgspec.json.decode(await request.body(), type=ChatBody)
        return responses.StreamingResponse(self.stream(body), media_type="text/event-stream")

    async def stream(self, body: ChatBody) -> collections.abc.AsyncIterator[bytes]:
        """Yield the events of one answer."""
        prompt = [word for message in body.messages for word in message.content.split()]
        wanted = engine_module.EngineRequest(
            request_id=body.request_id,
            prompt=prompt,
            max_tokens=body.max_tokens,
            priority=body.priority,
            session=body.session,
            resume_from=body.resume_from,
        )
        async for token in self.engine.generate(wanted):
            choice = adapters.Choice(adapters.Delta(token.text), token.finish_reason or None)
            usage = None
            if token.finish_reason:
                usage = adapters.Usage(
                    token.prompt_tokens,
                    token.output_tokens,
                    adapters.PromptDetails(token.cached_tokens),
                )
            event = adapters.EngineChunk(body.request_id, [choice], token.index, usage)
            yield b"data: " + msgspec.json.encode(event) + b"\n\n"
        yield b"data: [DONE]\n\n"

    async def load(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /load``."""
        return encoded(
            adapters.LoadReport(
                queued=len(self.engine.waiting),
                running=self.engine.running,
                cached_tokens=self.engine.cached_tokens(),
            )
        )

    async def release(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /cache/release``."""
        body = msgspec.json.decode(await request.body(), type=SessionBody)
        self.engine.release(body.session)
        return encoded(body)


def build(engine: engine_module.Engine) -> applications.Starlette:
    """Return the ASGI application of an engine."""
    server = EngineServer(engine)
    return applications.Starlette(
        routes=[
            routing.Route("/v1/chat/completions", server.chat, methods=["POST"]),
            routing.Route("/load", server.load),
            routing.Route("/cache/release", server.release, methods=["POST"]),
        ]
    )
