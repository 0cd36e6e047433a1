"""Calls in the chat completions format that common client libraries use."""

import collections.abc
import typing

import msgspec
from starlette import requests, responses

from dogwoodgap import (
    answers,
    bodies,
    clock,
    exceptions,
    keys,
    models,
    programs,
    prompts,
    shards,
    structures,
    validation,
    views,
)

if typing.TYPE_CHECKING:
    from dogwoodgap import app

PROGRAM_HEADER = "Dogwoodgap-Program"
DEFAULT_MAX_TOKENS = 256
CHUNK_OBJECT = "chat.completion.chunk"
FOLLOW_GRACE_S = 0.2


class Reply(msgspec.Struct):
    """The message of a completion."""

    content: str
    role: str = "assistant"


class Choice(msgspec.Struct):
    """The only choice of a completion."""

    message: Reply
    finish_reason: str
    index: int = 0


class Usage(msgspec.Struct):
    """Token counts of a completion."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class Completion(msgspec.Struct):
    """Answer to ``POST /v1/chat/completions``."""

    id: str
    model: str
    created: int
    choices: list[Choice]
    usage: Usage
    object: str = "chat.completion"


class Delta(msgspec.Struct, omit_defaults=True):
    """A piece of the message."""

    content: str = ""
    role: str = ""


class DeltaChoice(msgspec.Struct):
    """The only choice of a chunk."""

    delta: Delta
    finish_reason: str | None = None
    index: int = 0


class CompletionChunk(msgspec.Struct, omit_defaults=True):
    """One event of a streamed completion; only the last one may have the usage."""

    id: str
    model: str
    created: int
    object: str
    choices: list[DeltaChoice]
    usage: Usage | None = None


class ErrorEvent(msgspec.Struct):
    """The event that ends a failed stream."""

    error: exceptions.Problem


class RequestedCall(typing.NamedTuple):
    """Number and new messages of the call that a conversation requests."""

    seq: int
    messages: list[structures.Text]


class Completions:
    """Handler of ``POST /v1/chat/completions``."""

    def __init__(self, handlers: "app.App"):
        self.app = handlers

    async def chat(self, request: requests.Request) -> responses.Response:
        """Answer a conversation; the program named in the header is continued."""
        identity = self.app.identify(request)
        data = await bodies.read(request, self.app.max_body_bytes)
        body = validation.parse_json(models.ChatRequest, data)
        keys.check_service(identity, body.model)
        header_program = request.headers.get(PROGRAM_HEADER, "")
        program_id = header_program or self.app.new_local_id(identity.customer)
        shard = shards.program_shard(identity.customer, program_id)
        forwarded = await self.app.forward_if_remote(
            request, shard, data, self.app.longest_call_s()
        )
        if forwarded is not None:
            return forwarded
        conversation = [
            parse_message(message, number) for number, message in enumerate(body.messages)
        ]
        if header_program:
            program = self.app.services.table.get(identity.customer, header_program)
            check_model(program, body.model)
        else:
            program_request = models.ProgramRequest(id=program_id, service=body.model)
            program = await self.app.services.lifecycle.create(identity.customer, program_request)
        try:
            running, deadline_s = await self.submit(program, body, conversation, request)
        except exceptions.DogwoodgapError:
            if not header_program:
                self.end(program)
            raise
        if not header_program:
            self.app.services.calls.tasks.start_soon(self.end_when_closed, program, running)
        return await self.respond(program, running, body, clock.now() + deadline_s)

    async def submit(
        self,
        program: programs.Program,
        body: models.ChatRequest,
        conversation: list[structures.Text],
        request: requests.Request,
    ) -> tuple[answers.RunningCall, float]:
        """Start the call that a conversation requests, or attach to it."""
        requested = self.requested_call(program, conversation)
        call = models.CallRequest(
            seq=requested.seq,
            messages=[
                models.Message(role=text.role, content=text.content) for text in requested.messages
            ],
            max_tokens=body.max_completion_tokens or body.max_tokens or DEFAULT_MAX_TOKENS,
            stream=body.stream,
        )
        deadline_s = self.app.services.lifecycle.profile(program).call_deadline_seconds
        trace = request.headers.get("traceparent", "")
        return await self.app.submit(program, call, deadline_s, trace), deadline_s

    def requested_call(
        self, program: programs.Program, conversation: list[structures.Text]
    ) -> RequestedCall:
        """Return which call a conversation requests.

        A conversation that stops just before the last recorded answer repeats the last call.

        Raises
        ------
        HistoryMismatchError
            If the conversation does not begin with the recorded history.
        """
        turns = self.app.services.calls.stored_turns(program)
        recorded = prompts.conversation_of(turns)
        if turns and conversation == recorded[:-1]:
            return RequestedCall(turns[-1].seq, turns[-1].messages)
        if conversation[: len(recorded)] != recorded or len(conversation) == len(recorded):
            raise exceptions.HistoryMismatchError(
                f"the first {len(recorded)} messages must equal the recorded history and at least "
                f"one must follow; read GET /v1/programs/{program.id}/history"
            )
        running = self.app.services.calls.running.get(programs.key_of(program))
        seq = running.seq if running is not None else program.next_seq
        return RequestedCall(seq, conversation[len(recorded) :])

    async def respond(
        self,
        program: programs.Program,
        running: answers.RunningCall,
        body: models.ChatRequest,
        deadline_at: float,
    ) -> responses.Response:
        """Return the completion as a stream or as one response."""
        headers = {PROGRAM_HEADER: program.id}
        until = deadline_at + FOLLOW_GRACE_S
        if body.stream:
            with_usage = body.stream_options is not None and body.stream_options.include_usage
            return responses.StreamingResponse(
                stream_chunks(program, running, until, with_usage),
                headers=headers,
                media_type="text/event-stream",
            )
        turn = await running.result(until)
        return views.json_response(completion(program, turn), headers=headers)

    async def end_when_closed(
        self, program: programs.Program, running: answers.RunningCall
    ) -> None:
        """End a program of one call when that call has closed."""
        await running.closed.wait()
        self.end(program)

    def end(self, program: programs.Program) -> None:
        """End a program of one call."""
        self.app.services.lifecycle.mark_ended(
            program, structures.ProgramStatus.FINISHED, "its only call ended"
        )


def check_model(program: programs.Program, model: str) -> None:
    """Raise if a model is not the program's service."""
    if program.service != model:
        raise exceptions.InvalidRequestError(
            f"program {program.id!r} uses model {program.service!r}; send that as model"
        )


def parse_message(message: dict[str, typing.Any], number: int) -> structures.Text:
    """Return one message of a chat request; raises if it is not a text message."""
    role = message.get("role")
    content = message.get("content")
    if isinstance(content, list):
        parts = [part.get("text") if isinstance(part, dict) else None for part in content]
        content = "".join(parts) if all(isinstance(part, str) for part in parts) else None
    if role not in typing.get_args(models.Message.model_fields["role"].annotation):
        raise exceptions.InvalidRequestError(
            f"messages.{number}.role is {role!r}; use system, user, assistant or tool"
        )
    if not isinstance(content, str):
        raise exceptions.InvalidRequestError(
            f"messages.{number}.content is not text; send a string or text parts"
        )
    return structures.Text(role, content)


def completion(program: programs.Program, turn: structures.Turn) -> Completion:
    """Return the completion of a turn."""
    choice = Choice(Reply(turn.text), turn.finish_reason)
    name = f"{program.id}-{turn.seq}"
    return Completion(name, program.service, int(turn.finished_at), [choice], usage_of(turn))


def usage_of(turn: structures.Turn) -> Usage:
    """Return the token counts of a turn."""
    total = turn.prompt_tokens + turn.output_tokens
    return Usage(turn.prompt_tokens, turn.output_tokens, total)


async def stream_chunks(
    program: programs.Program,
    running: answers.RunningCall,
    deadline_at: float,
    with_usage: bool = False,
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the events of a streamed completion."""
    created = int(clock.wall_time())
    name = f"{program.id}-{running.seq}"

    def encode_event(choices: list[DeltaChoice], usage: Usage | None = None) -> bytes:
        chunk = CompletionChunk(name, program.service, created, CHUNK_OBJECT, choices, usage)
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def event(delta: Delta, finish_reason: str | None = None) -> bytes:
        return encode_event([DeltaChoice(delta, finish_reason)])

    try:
        yield event(Delta(role="assistant"))
        async for batch in running.follow(deadline_at):
            yield b"".join(event(Delta(token.text)) for token in batch)
        turn = typing.cast(structures.Turn, running.turn)
        usage = encode_event([], usage_of(turn)) if with_usage else b""
        yield event(Delta(), turn.finish_reason) + usage + b"data: [DONE]\n\n"
    except exceptions.DogwoodgapError as error:
        views.count_refusal(error)
        yield b"data: " + msgspec.json.encode(ErrorEvent(exceptions.problem(error))) + b"\n\n"
