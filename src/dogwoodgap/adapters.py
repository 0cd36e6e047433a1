"""Interface to model engines and its implementation over HTTP."""

import collections.abc
import dataclasses
import typing

import anyio
import httpx
import msgspec

from dogwoodgap import backend_messages, exceptions, structures

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 15.0
TRANSFER_TIMEOUT_S = 30.0
"""Timeout of engine orders and of prefix exports and imports, which transfer many bytes."""

Delta = backend_messages.Delta
Choice = backend_messages.Choice
PromptDetails = backend_messages.PromptDetails
Usage = backend_messages.Usage
EngineChunk = backend_messages.EngineChunk
LoadReport = backend_messages.LoadReport
CacheEvent = backend_messages.CacheEvent
CacheEventPage = backend_messages.CacheEventPage
CachedSession = backend_messages.CachedSession
KvBlock = backend_messages.KvBlock
EngineOrder = backend_messages.EngineOrder
EngineState = backend_messages.EngineState


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A request to a model engine to generate one answer.

    Attributes
    ----------
    request_id : str
        Unique per attempt; every chunk of the answer must carry it.
    priority : int
        Lower runs first.
    session : str
        Program whose prefix the engine caches.
    resume_from : int
        Number of output tokens already received; the engine sends the ones after them.
    """

    request_id: str
    model: str
    messages: list[structures.Text]
    max_tokens: int
    priority: int
    session: str
    resume_from: int = 0
    trace: str = ""


class Chunk(msgspec.Struct, frozen=True, gc=False):
    """A piece of generated text; the last one has the token counts."""

    index: int
    text: str
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


_chunk_decoder = msgspec.json.Decoder(EngineChunk)

DATA_PREFIX = b"data: "
DONE_MARKER = b"[DONE]"
REFUSAL_STATUSES = (httpx.codes.TOO_MANY_REQUESTS, httpx.codes.SERVICE_UNAVAILABLE)


class EngineAdapter(typing.Protocol):
    """Operations of a model engine that the node uses."""

    def generate(
        self, runner: structures.RunnerView, request: GenerationRequest
    ) -> collections.abc.AsyncIterator[list[Chunk]]:
        """Stream the answer to a request, one batch for each piece of data received."""

    async def cancel(self, runner: structures.RunnerView, request_id: str) -> None:
        """Cancel a stream."""

    async def release(self, runner: structures.RunnerView, session: str) -> None:
        """Free the cache of a session."""

    async def retain(self, runner: structures.RunnerView, session: str, seconds: float) -> None:
        """Protect the cache of a session against eviction for a while."""

    async def export(self, runner: structures.RunnerView, session: str) -> KvBlock:
        """Return the cache of a session."""

    async def import_block(self, runner: structures.RunnerView, block: KvBlock) -> None:
        """Import an exported cache into an engine."""

    async def order(self, runner: structures.RunnerView, order: EngineOrder) -> None:
        """Send an order; raises FencingRefusedError if its fencing number is outdated."""

    async def state(self, runner: structures.RunnerView) -> EngineState:
        """Return what the engine has loaded."""

    async def cache(self, runner: structures.RunnerView) -> list[CachedSession]:
        """Return all sessions that the engine has cached."""

    async def cache_events(self, runner: structures.RunnerView, since: int) -> CacheEventPage:
        """Return the cache events after the sequence number ``since``."""

    async def load(self, runner: structures.RunnerView) -> LoadReport:
        """Return the runner's load."""


class HttpEngineAdapter:
    """Sends requests to model engines over HTTP."""

    def __init__(self, client: httpx.AsyncClient):
        self.client = client

    async def generate(
        self, runner: structures.RunnerView, request: GenerationRequest
    ) -> collections.abc.AsyncIterator[list[Chunk]]:
        """Stream the answer; raises if it is incomplete or belongs to another request."""
        body = {
            "model": request.model,
            "messages": request.messages,
            "max_tokens": request.max_tokens,
            "stream": True,
            "request_id": request.request_id,
            "priority": request.priority,
            "session": request.session,
            "resume_from": request.resume_from,
        }
        headers = {"Content-Type": "application/json", "Accept-Encoding": "identity"}
        if request.trace:
            headers["traceparent"] = request.trace
        parser = EventParser(runner, request)
        try:
            async with self.client.stream(
                "POST",
                f"{runner.address}/v1/chat/completions",
                content=msgspec.json.encode(body),
                headers=headers,
                timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            ) as reply:
                if reply.status_code != httpx.codes.OK:
                    raise refusal_error(runner, reply.status_code)
                # Bypasses the decoding layers of httpx; the engine is asked for identity encoding.
                async for data in typing.cast(httpx.AsyncByteStream, reply.stream):
                    batch = parser.feed(data)
                    if batch:
                        yield batch
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise exceptions.RunnerUnreachableError(
                f"runner {runner.id} refused the connection; another runner may answer"
            ) from error
        except httpx.ReadTimeout as error:
            raise exceptions.RunnerSilentError(
                f"runner {runner.id} sent nothing for {READ_TIMEOUT_S:g} s; repeat the call"
            ) from error
        except httpx.HTTPError as error:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} broke the stream ({type(error).__name__}); repeat the call"
            ) from error
        if not parser.finished:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} ended the stream early; repeat the call"
            )

    async def cancel(self, runner: structures.RunnerView, request_id: str) -> None:
        """Cancel a stream."""
        await self.post(runner, "/cancel", {"request_id": request_id})

    async def release(self, runner: structures.RunnerView, session: str) -> None:
        """Free the cache of a session."""
        await self.post(runner, "/cache/release", {"session": session})

    async def retain(self, runner: structures.RunnerView, session: str, seconds: float) -> None:
        """Protect the cache of a session against eviction for a while."""
        await self.post(runner, "/cache/retain", {"session": session, "seconds": seconds})

    async def export(self, runner: structures.RunnerView, session: str) -> KvBlock:
        """Return the cache of a session."""
        body = {"session": session}
        reply = await self.post(runner, "/kv/export", body, TRANSFER_TIMEOUT_S)
        return decode_reply(reply, KvBlock, runner)

    async def import_block(self, runner: structures.RunnerView, block: KvBlock) -> None:
        """Import an exported cache into an engine."""
        await self.post(runner, "/kv/import", block, TRANSFER_TIMEOUT_S)

    async def order(self, runner: structures.RunnerView, order: EngineOrder) -> None:
        """Send an order to load a model, adapter or version, or to change role."""
        await self.post(runner, "/orders", order, TRANSFER_TIMEOUT_S)

    async def state(self, runner: structures.RunnerView) -> EngineState:
        """Return what the engine has loaded."""
        return decode_reply(await fetch(self.client, runner, "/orders"), EngineState, runner)

    async def cache(self, runner: structures.RunnerView) -> list[CachedSession]:
        """Return all sessions that the engine has cached."""
        return decode_reply(await fetch(self.client, runner, "/cache"), list[CachedSession], runner)

    async def cache_events(self, runner: structures.RunnerView, since: int) -> CacheEventPage:
        """Return the cache events after the sequence number ``since``."""
        reply = await fetch(self.client, runner, f"/cache/events?since={since}")
        return decode_reply(reply, CacheEventPage, runner)

    async def post(
        self,
        runner: structures.RunnerView,
        path: str,
        body: typing.Any,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> httpx.Response:
        """Send a POST request; raises if the runner does not accept it."""
        try:
            with anyio.fail_after(timeout_s):
                reply = await self.client.post(
                    f"{runner.address}{path}",
                    content=msgspec.json.encode(body),
                    headers={"Content-Type": "application/json"},
                )
        except (httpx.HTTPError, TimeoutError) as error:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} did not answer {path}; the request is retried"
            ) from error
        if reply.status_code == httpx.codes.PRECONDITION_FAILED:
            raise exceptions.FencingRefusedError(
                f"runner {runner.id} has accepted orders of a newer controller; this one must stop"
            )
        if reply.status_code != httpx.codes.OK:
            raise refusal_error(runner, reply.status_code)
        return reply

    async def load(self, runner: structures.RunnerView) -> LoadReport:
        """Return the runner's load."""
        return await fetch_load(self.client, runner)


async def fetch_load(client: httpx.AsyncClient, runner: structures.RunnerView) -> LoadReport:
    """Fetch a load report."""
    return decode_reply(await fetch(client, runner, "/load"), LoadReport, runner)


async def fetch(
    client: httpx.AsyncClient, runner: structures.RunnerView, path: str
) -> httpx.Response:
    """Send a GET request; a 404 is returned, other errors are raised."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            reply = await client.get(f"{runner.address}{path}")
    except (httpx.ConnectError, httpx.ConnectTimeout) as error:
        raise exceptions.RunnerUnreachableError(
            f"runner {runner.id} refused the connection; the request is retried"
        ) from error
    except (httpx.HTTPError, TimeoutError) as error:
        raise exceptions.RunnerFailedError(
            f"runner {runner.id} did not answer {path}; the request is retried"
        ) from error
    if reply.status_code not in (httpx.codes.OK, httpx.codes.NOT_FOUND):
        raise refusal_error(runner, reply.status_code)
    return reply


def decode_reply(
    reply: httpx.Response, reply_type: typing.Any, runner: structures.RunnerView
) -> typing.Any:
    """Decode a runner's reply; raises :class:`exceptions.RunnerFailedError` for invalid JSON."""
    try:
        return msgspec.json.decode(reply.content, type=reply_type)
    except msgspec.DecodeError as error:
        raise exceptions.RunnerFailedError(
            f"runner {runner.id} sent an unreadable reply ({error}); the request is retried"
        ) from error


def refusal_error(runner: structures.RunnerView, status: int) -> exceptions.RunnerFailedError:
    """Return the error for a refused request; 429 and 503 mean that nothing ran."""
    message = f"runner {runner.id} answered {status}; another runner may answer"
    if status == httpx.codes.SERVICE_UNAVAILABLE:
        return exceptions.RunnerLeavingError(message)
    refused = status in REFUSAL_STATUSES
    return exceptions.RunnerFailedError(message, not_run="true" if refused else "unknown")


class EventParser:
    """Splits an engine's byte stream into events and checks that they belong to the request."""

    def __init__(self, runner: structures.RunnerView, request: GenerationRequest):
        self.runner = runner
        self.request = request
        self.incomplete_line = b""
        self.finished = False

    def feed(self, data: bytes) -> list[Chunk]:
        """Return the chunks of all lines that ``data`` completes."""
        lines = (self.incomplete_line + data).split(b"\n")
        self.incomplete_line = lines.pop()
        batch = []
        for line in lines:
            if line.startswith(DATA_PREFIX + DONE_MARKER):
                self.finished = True
            elif line.startswith(DATA_PREFIX):
                batch.append(decode_chunk(line[len(DATA_PREFIX) :], self.runner, self.request))
        return batch


def decode_chunk(
    payload: bytes, runner: structures.RunnerView, request: GenerationRequest
) -> Chunk:
    """Decode one event; raises if it belongs to another request."""
    try:
        event = _chunk_decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise exceptions.RunnerFailedError(
            f"runner {runner.id} sent an unreadable event; repeat the call"
        ) from error
    if event.id != request.request_id:
        raise exceptions.RunnerFailedError(
            f"runner {runner.id} answered request {event.id} instead of {request.request_id}; "
            "repeat the call"
        )
    choice = event.choices[0] if event.choices else Choice(Delta())
    usage = event.usage
    if usage is None:
        return Chunk(event.index, choice.delta.content, choice.finish_reason or "")
    return Chunk(
        index=event.index,
        text=choice.delta.content,
        finish_reason=choice.finish_reason or "",
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.prompt_tokens_details.cached_tokens,
        output_tokens=usage.completion_tokens,
    )
