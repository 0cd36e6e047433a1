"""Passes the answer of a backend server on to a caller, whole or visibly cut."""

import anyio
import h11

from dogwoodgap import dialect, event_stream, events, ingress, routes, upstream
from dogwoodgap import progress as progress_module

MISDIRECTED_REQUEST = 421
SUCCESS_END = 300

SERVER_ERROR = 500


async def send_ignoring_errors(
    connection: upstream.Connection, request: h11.Request, body: bytes
) -> None:
    """Send a long body; a failure shows where the answer is read."""
    try:
        await connection.send(request, body)
    except upstream.InvalidResponseError as error:
        events.emit(
            events.Event.BODY_INTERRUPTED,
            "a server closed the connection while it received a body",
            server=connection.server.id,
            detail=error.detail,
        )


async def discard_body(connection: upstream.Connection) -> None:
    """Read the rest of an answer that is not passed on."""
    while isinstance(await connection.next_event(), h11.Data):
        pass


async def relay_response(
    call: dialect.Call,
    progress: progress_module.Progress,
    responder: ingress.Responder,
    connection: upstream.Connection,
    request: h11.Request,
    header_codec: dialect.HeaderCodec,
    head_timeout_s: float,
) -> progress_module.Result:
    """Read an answer and pass it on.

    Parameters
    ----------
    head_timeout_s : float
        Longest time until the head of the answer, in seconds.

    Raises
    ------
    ResponseTimeoutError
        When nothing came in that time.
    InvalidResponseError
        When what came is no whole answer.
    """
    with anyio.move_on_after(head_timeout_s) as scope:
        head = await connection.read_head(request, call, header_codec)
    if scope.cancelled_caught:
        raise upstream.ResponseTimeoutError(
            f"server {connection.server.id} sent nothing in {head_timeout_s:.2f} s; the request is "
            "repeated on another connection"
        )
    connection.update_keep_alive(head.headers)
    if head.metadata.not_run or head.status == MISDIRECTED_REQUEST:
        progress.ran[connection.server.id] -= 1
        await discard_body(connection)
        return progress_module.Result.NOT_RUN
    if head.status < SUCCESS_END and (not head.metadata.signed or head.metadata.encoded):
        raise connection.invalid_response("a success without its signature or with an encoding")
    is_stream = progress.route.kind is routes.RouteKind.STREAMING and head.status < SUCCESS_END
    if is_stream:
        await relay_events(progress, responder, connection, head)
    elif responder.started:
        raise connection.invalid_response(f"status {head.status} in place of the rest of a stream")
    else:
        answer = await read_body(connection, head)
        if head.status >= SERVER_ERROR:
            progress.failure = answer
            return progress_module.Result.FAILED
        await send_response(progress, responder, answer)
    return progress_module.Result.DONE


async def read_body(
    connection: upstream.Connection, head: upstream.ResponseHead
) -> progress_module.WholeAnswer:
    """Read an answer to its end."""
    parts: list[bytes] = []
    while isinstance(event := await connection.next_event(), h11.Data):
        parts.append(bytes(event.data))
    if not isinstance(event, h11.EndOfMessage):
        raise connection.invalid_response("the connection ended within the body")
    return progress_module.WholeAnswer(
        head.status, end_to_end_headers(head.headers), b"".join(parts)
    )


async def send_response(
    progress: progress_module.Progress,
    responder: ingress.Responder,
    answer: progress_module.WholeAnswer,
) -> None:
    """Pass a whole answer on."""
    progress.status = answer.status
    await responder.send(answer.status, answer.headers, answer.body)


async def relay_events(
    progress: progress_module.Progress,
    responder: ingress.Responder,
    connection: upstream.Connection,
    head: upstream.ResponseHead,
) -> None:
    """Pass the events of a stream on as they arrive, each of them once and whole."""
    splitter = event_stream.EventSplitter()
    while isinstance(event := await connection.next_event(), h11.Data):
        try:
            events_found = splitter.feed(bytes(event.data))
        except ValueError as error:
            raise connection.invalid_response(str(error)) from error
        if new_events := skip_seen_events(progress, connection, events_found):
            if not responder.started:
                progress.status = head.status
                await responder.start(head.status, stream_headers(head.headers))
            await responder.send_data(b"".join(item.data for item in new_events))
    if not isinstance(event, h11.EndOfMessage) or not splitter.is_empty:
        raise connection.invalid_response("the stream ended within an event")
    if not responder.started:
        progress.status = head.status
        await responder.start(head.status, stream_headers(head.headers))
    await responder.finish()


def skip_seen_events(
    progress: progress_module.Progress,
    connection: upstream.Connection,
    events_found: list[event_stream.StreamEvent],
) -> list[event_stream.StreamEvent]:
    """Return the events that the caller does not have yet.

    Raises
    ------
    InvalidResponseError
        When one is missing between the last one passed on and these.
    """
    new_events: list[event_stream.StreamEvent] = []
    for item in events_found:
        if item.id is not None and progress.last_event_id is not None:
            last = int(progress.last_event_id)
            if item.id <= last:
                continue
            if item.id != last + 1:
                raise connection.invalid_response(f"event {item.id} follows event {last}")
        if item.id is not None:
            progress.last_event_id = str(item.id).encode()
        progress.events += 1
        new_events.append(item)
    return new_events


def end_to_end_headers(headers: dialect.Headers) -> dialect.Headers:
    """Return the headers of an answer without those of its connection."""
    return [pair for pair in headers if pair[0] not in dialect.CONNECTION_HEADERS]


def stream_headers(headers: dialect.Headers) -> dialect.Headers:
    """Return the headers of a stream, whose length is not known."""
    return [*end_to_end_headers(headers), (b"transfer-encoding", b"chunked")]
