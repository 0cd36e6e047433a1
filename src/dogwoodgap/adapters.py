"""Adapters to backend servers behind one small interface per kind of service."""

import collections.abc
import dataclasses
import typing

import anyio
import httpx
import msgspec

from dogwoodgap import exceptions, structures

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """A request to a model engine.

    Attributes
    ----------
    request_id : str
        Unique per attempt; every chunk of the answer must carry it.
    priority : int
        Lower runs first.
    session : str
        Program whose prefix the engine caches.
    resume_from : int
        Output tokens that the caller already has.
    """

    request_id: str
    model: str
    messages: list[structures.Text]
    max_tokens: int
    priority: int
    session: str
    resume_from: int = 0
    trace: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Chunk:
    """A piece of generated text; the last one carries the usage."""

    index: int
    text: str
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class Delta(msgspec.Struct):
    """Part of an engine's chunk."""

    content: str = ""


class Choice(msgspec.Struct):
    """Part of an engine's chunk."""

    delta: Delta
    finish_reason: str | None = None


class PromptDetails(msgspec.Struct):
    """Part of an engine's usage."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts of a finished answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptDetails = msgspec.field(default_factory=PromptDetails)


class EngineChunk(msgspec.Struct):
    """One event of an engine's stream; ``index`` counts output tokens from 0."""

    id: str
    choices: list[Choice] = []
    index: int = 0
    usage: Usage | None = None


class LoadReport(msgspec.Struct):
    """Load that a runner reports; it lags by ``age_s``."""

    queued: int = 0
    running: int = 0
    cached_tokens: int = 0
    age_s: float = 0.0
    leaving: bool = False


_chunk_decoder = msgspec.json.Decoder(EngineChunk)


class EngineAdapter(typing.Protocol):
    """What the node needs of a model engine."""

    def generate(
        self, runner: structures.RunnerView, request: Generation
    ) -> collections.abc.AsyncIterator[Chunk]:
        """Stream the answer to a request."""

    async def cancel(self, runner: structures.RunnerView, request_id: str) -> None:
        """Stop a stream."""

    async def release(self, runner: structures.RunnerView, session: str) -> None:
        """Free the cache of a session."""

    async def load(self, runner: structures.RunnerView) -> LoadReport:
        """Return the runner's load."""


class HttpEngineAdapter:
    """Talk to model engines over HTTP."""

    def __init__(self, client: httpx.AsyncClient):
        self.client = client

    async def generate(
        self, runner: structures.RunnerView, request: Generation
    ) -> collections.abc.AsyncIterator[Chunk]:
        """Stream the answer; raises when the answer is not whole or not to this request."""
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
        headers = {"Content-Type": "application/json"}
        if request.trace:
            headers["traceparent"] = request.trace
        finished = False
        try:
            async with self.client.stream(
                "POST",
                f"{runner.address}/v1/chat/completions",
                content=msgspec.json.encode(body),
                headers=headers,
                timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            ) as reply:
                if reply.status_code != httpx.codes.OK:
                    raise refusal(runner, reply.status_code)
                async for line in reply.aiter_lines():
                    if line == "data: [DONE]":
                        finished = True
                    elif line.startswith("data: "):
                        yield check_chunk(line, runner, request)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise exceptions.RunnerUnreachableError(
                f"runner {runner.id} refused the connection; another runner may answer"
            ) from error
        except httpx.HTTPError as error:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} broke the stream ({type(error).__name__}); repeat the call"
            ) from error
        if not finished:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} ended the stream early; repeat the call"
            )

    async def cancel(self, runner: structures.RunnerView, request_id: str) -> None:
        """Stop a stream."""
        await self.order(runner, "/cancel", request_id=request_id)

    async def release(self, runner: structures.RunnerView, session: str) -> None:
        """Free the cache of a session."""
        await self.order(runner, "/cache/release", session=session)

    async def order(self, runner: structures.RunnerView, path: str, **body: typing.Any) -> None:
        """Send one order and raise when the runner does not take it."""
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                reply = await self.client.post(f"{runner.address}{path}", json=body)
        except (httpx.HTTPError, TimeoutError) as error:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} did not answer {path}; the order is repeated"
            ) from error
        if reply.status_code != httpx.codes.OK:
            raise refusal(runner, reply.status_code)

    async def load(self, runner: structures.RunnerView) -> LoadReport:
        """Return the runner's load."""
        return await load_of(self.client, runner)


class HttpServiceAdapter:
    """Talk to plain services over HTTP."""

    def __init__(self, client: httpx.AsyncClient):
        self.client = client

    async def act(
        self,
        runner: structures.RunnerView,
        path: str,
        payload: typing.Any,
        *,
        key: str,
        timeout_s: float,
    ) -> structures.ActionResult:
        """Send one action and return the service's answer.

        Raises
        ------
        RunnerUnreachableError
            When not one byte was sent.
        OutcomeUnknownError
            When the request was sent and no answer came.
        """
        headers = {"Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        try:
            reply = await self.client.post(
                f"{runner.address}/{path}",
                content=msgspec.json.encode(payload),
                headers=headers,
                timeout=httpx.Timeout(timeout_s, connect=min(timeout_s, CONNECT_TIMEOUT_S)),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise exceptions.RunnerUnreachableError(
                f"runner {runner.id} refused the connection; another runner may answer"
            ) from error
        except httpx.HTTPError as error:
            raise exceptions.OutcomeUnknownError(
                f"runner {runner.id} did not answer ({type(error).__name__}); "
                "ask the service what became of the idempotency key"
            ) from error
        body = msgspec.json.decode(reply.content) if reply.content else None
        return structures.ActionResult(status=reply.status_code, body=body, not_run="false")

    async def load(self, runner: structures.RunnerView) -> LoadReport:
        """Return the runner's load."""
        return await load_of(self.client, runner)


async def load_of(client: httpx.AsyncClient, runner: structures.RunnerView) -> LoadReport:
    """Fetch a load report."""
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            reply = await client.get(f"{runner.address}/load")
        return msgspec.json.decode(reply.content, type=LoadReport)
    except (httpx.HTTPError, TimeoutError, msgspec.DecodeError) as error:
        raise exceptions.RunnerFailedError(
            f"runner {runner.id} did not report its load; it is asked again"
        ) from error


def refusal(runner: structures.RunnerView, status: int) -> exceptions.RunnerFailedError:
    """Return the error for a refused request; 429 and 503 mean that nothing ran."""
    refused = status in (httpx.codes.TOO_MANY_REQUESTS, httpx.codes.SERVICE_UNAVAILABLE)
    return exceptions.RunnerFailedError(
        f"runner {runner.id} answered {status}; another runner may answer",
        not_run="true" if refused else "unknown",
    )


def check_chunk(line: str, runner: structures.RunnerView, request: Generation) -> Chunk:
    """Decode one event and check that it belongs to the request."""
    try:
        event = _chunk_decoder.decode(line[len("data: ") :])
    except msgspec.DecodeError as error:
        raise exceptions.RunnerFailedError(
            f"runner {runner.id} sent an unreadable event; repeat the call"
        ) from error
    if event.id != request.request_id:
        raise exceptions.RunnerFailedError(
            f"runner {runner.id} answered request {event.id} instead of {request.request_id}"
        )
    choice = event.choices[0] if event.choices else Choice(Delta())
    usage = event.usage or Usage()
    return Chunk(
        index=event.index,
        text=choice.delta.content,
        finish_reason=choice.finish_reason or "",
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=usage.prompt_tokens_details.cached_tokens,
        output_tokens=usage.completion_tokens,
    )
