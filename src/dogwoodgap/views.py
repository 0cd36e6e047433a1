"""Response documents of the callers' API and their encoding."""

import math
import typing

import msgspec
from starlette import responses

from dogwoodgap import answers, exceptions, metrics, programs, structures

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


class EntryView(msgspec.Struct):
    """One entry address."""

    address: str
    node: str = ""
    data_centre: str = ""


class EntriesView(msgspec.Struct):
    """Answer to ``GET /v1/entries``; addresses are in order of use."""

    entries: list[EntryView]
    ttl_seconds: float


class HealthView(msgspec.Struct):
    """Answer to ``GET /health``."""

    node: str
    ready: bool
    stopping: bool = False


_encoder = msgspec.json.Encoder()


def json_response(
    value: typing.Any, status: int = 200, headers: dict[str, str] | None = None
) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(
        _encoder.encode(value), status, headers, media_type="application/json"
    )


def problem_response(error: exceptions.DogwoodgapError) -> responses.Response:
    """Return an error as an ``application/problem+json`` response."""
    headers = {}
    if error.retry_after_s:
        headers["Retry-After"] = str(math.ceil(error.retry_after_s))
    body = _encoder.encode(exceptions.problem(error))
    return responses.Response(body, error.status, headers, media_type=PROBLEM_TYPE)


def count_refusal(error: exceptions.DogwoodgapError) -> None:
    """Count a request if it was refused before anything ran."""
    if error.not_run == "true":
        metrics.count("requests.refused")


def error_from_result(result: structures.ActionResult) -> exceptions.DogwoodgapError:
    """Return the error for a recorded result that has an error code instead of an answer."""
    error_class = exceptions.error_class_by_code(result.code)
    return error_class(result.detail, not_run=typing.cast(exceptions.NotRun, result.not_run))


def action_response(result: structures.ActionResult) -> responses.Response:
    """Return the response for the result of an action."""
    if result.code:
        error = error_from_result(result)
        count_refusal(error)
        return problem_response(error)
    return json_response(result)


def encode_event(event: str, value: typing.Any) -> bytes:
    """Encode one server-sent event."""
    return b"event: " + event.encode() + b"\ndata: " + _encoder.encode(value) + b"\n\n"


def encode_token_events(batch: list[answers.Token]) -> bytes:
    """Encode the server-sent events of several tokens as one chunk."""
    encode = _encoder.encode
    parts = [b"event: token\ndata: " + encode(token) + b"\n\n" for token in batch]
    return b"".join(parts)


def program_view(program: programs.Program, table: programs.ProgramTable) -> ProgramView:
    """Return the response document of a program."""
    return ProgramView(
        id=program.id,
        service=program.service,
        profile=program.profile,
        status=program.status,
        reason=program.reason,
        budget_tokens=program.budget_tokens,
        remaining_tokens=table.remaining_tokens(program),
        next_seq=program.next_seq,
        turns=program.turn_count,
        parent=program.parent,
        children=program.children,
    )
