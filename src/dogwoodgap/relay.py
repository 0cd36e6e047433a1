"""Passes the answer of a backend server on to a caller, whole or visibly cut."""

import anyio
import h11

from dogwoodgap import dialect, event_stream, events, ingress, routes, upstream
from dogwoodgap import progress as progress_module

MISDIRECTED = 421
OK_END = 300

SERVER_ERROR = 500


async def send_quietly(connection: upstream.Connection, request: h11.Request, body: bytes) -> None:
    """Send a long body; a failure shows where the answer is read."""
    try:
        await connection.send(request, body)
    except upstream.AnswerBrokenError as error:
        events.emit(
            events.Event.BODY_INTERRUPTED,
            "a server closed the connection while it received a body",
            server=connection.server.id,
            detail=error.detail,
        )


async def drain(connection: upstream.Connection) -> None:
    """Read the rest of an answer that is not passed on."""
    while isinstance(await connection.next_event(), h11.Data):
        pass


async def read_answer(
    call: dialect.Call,
    progress: progress_module.Progress,
    responder: ingress.Responder,
    connection: upstream.Connection,
    request: h11.Request,
    codec: dialect.Dialect,
    patience_s: float,
) -> progress_module.ExchangeResult:
    """Read an answer and pass it on.

    Parameters
    ----------
    patience_s : float
        Longest time until the head of the answer, in seconds.

    Raises
    ------
    AnswerSilentError
        When nothing came in that time.
    AnswerBrokenError
        When what came is no whole answer.
    """
    with anyio.move_on_after(patience_s) as scope:
        head = await connection.read_head(request, call, codec)
    if scope.cancelled_caught:
        raise upstream.AnswerSilentError(
            f"server {connection.server.id} sent nothing in {patience_s:.2f} s; the request is "
            "repeated on another connection"
        )
    connection.note_keep_alive(head.headers)
    if head.facts.not_run or head.status == MISDIRECTED:
        progress.runs[connection.server.id] -= 1
        await drain(connection)
        return progress_module.ExchangeResult.NOT_RUN
    if head.status < OK_END and (not head.facts.sealed or head.facts.encoded):
        raise connection.broken("a success without its signature or with an encoding")
    is_stream = progress.route.kind is routes.RouteKind.STREAMING and head.status < OK_END
    if is_stream:
        await pass_events(progress, responder, connection, head)
    elif responder.started:
        raise connection.broken(f"status {head.status} in place of the rest of a stream")
    else:
        answer = await read_whole(connection, head)
        if head.status >= SERVER_ERROR:
            progress.failure = answer
            return progress_module.ExchangeResult.FAILED
        await pass_whole(progress, responder, answer)
    return progress_module.ExchangeResult.DONE


async def read_whole(
    connection: upstream.Connection, head: upstream.Head
) -> progress_module.BufferedResponse:
    """Read an answer to its end."""
    parts: list[bytes] = []
    while isinstance(event := await connection.next_event(), h11.Data):
        parts.append(bytes(event.data))
    if not isinstance(event, h11.EndOfMessage):
        raise connection.broken("the connection ended within the body")
    return progress_module.BufferedResponse(head.status, passed_on(head.headers), b"".join(parts))


async def pass_whole(
    progress: progress_module.Progress,
    responder: ingress.Responder,
    answer: progress_module.BufferedResponse,
) -> None:
    """Pass a whole answer on."""
    progress.status = answer.status
    await responder.whole(answer.status, answer.headers, answer.body)


async def pass_events(
    progress: progress_module.Progress,
    responder: ingress.Responder,
    connection: upstream.Connection,
    head: upstream.Head,
) -> None:
    """Pass the events of a stream on as they arrive, each of them once and whole."""
    splitter = event_stream.EventSplitter()
    while isinstance(event := await connection.next_event(), h11.Data):
        try:
            found = splitter.feed(bytes(event.data))
        except ValueError as error:
            raise connection.broken(str(error)) from error
        if fresh := select_events(progress, connection, found):
            if not responder.started:
                progress.status = head.status
                await responder.start(head.status, stream_headers(head.headers))
            await responder.data(b"".join(item.data for item in fresh))
    if not isinstance(event, h11.EndOfMessage) or not splitter.is_clean:
        raise connection.broken("the stream ended within an event")
    if not responder.started:
        progress.status = head.status
        await responder.start(head.status, stream_headers(head.headers))
    await responder.finish()


def select_events(
    progress: progress_module.Progress,
    connection: upstream.Connection,
    found: list[event_stream.StreamEvent],
) -> list[event_stream.StreamEvent]:
    """Return the events that the caller does not have yet.

    Raises
    ------
    AnswerBrokenError
        When one is missing between the last one passed on and these.
    """
    fresh: list[event_stream.StreamEvent] = []
    for item in found:
        if item.id is not None and progress.last_event_id is not None:
            last = int(progress.last_event_id)
            if item.id <= last:
                continue
            if item.id != last + 1:
                raise connection.broken(f"event {item.id} follows event {last}")
        if item.id is not None:
            progress.last_event_id = str(item.id).encode()
        progress.events += 1
        fresh.append(item)
    return fresh


def passed_on(headers: dialect.Headers) -> dialect.Headers:
    """Return the headers of an answer without those of its connection."""
    return [pair for pair in headers if pair[0] not in dialect.CONNECTION_HEADERS]


def stream_headers(headers: dialect.Headers) -> dialect.Headers:
    """Return the headers of a stream, whose length is not known."""
    return [*passed_on(headers), (b"transfer-encoding", b"chunked")]
