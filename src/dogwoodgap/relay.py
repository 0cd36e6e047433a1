"""Relays a backend server's response to a caller, either complete or detectably truncated."""

import collections.abc

import h11

from dogwoodgap import (
    body_memory,
    clock,
    dialect,
    event_stream,
    events,
    exceptions,
    ingress,
    routes,
    upstream,
)
from dogwoodgap import progress as progress_module
from dogwoodgap.history import recording

MISDIRECTED_REQUEST = 421
SUCCESS_END = 300
"""First status code above the successful ones."""

SERVER_ERROR = 500


async def send_ignoring_errors(
    connection: upstream.Connection, request: h11.Request, body: bytes
) -> None:
    """Send a request with a large body; a failure surfaces when the response is read."""
    try:
        await connection.send(request, body)
    except upstream.InvalidResponseError as error:
        events.emit(
            events.Event.BODY_INTERRUPTED,
            "server closed the connection while receiving a request body",
            server=connection.server.id,
            detail=error.detail,
        )


async def discard_body(connection: upstream.Connection, max_bytes: int) -> None:
    """Read and discard the rest of a response that is not relayed, up to a number of bytes."""
    size = 0
    while size <= max_bytes and isinstance(event := await connection.next_event(), h11.Data):
        size += len(event.data)


async def relay_response(
    call: dialect.Call,
    progress: progress_module.Progress,
    responder: ingress.Responder,
    connection: upstream.Connection,
    request: h11.Request,
    header_codec: dialect.HeaderCodec,
    patience: upstream.Patience,
    max_response_bytes: int,
    on_head: collections.abc.Callable[[upstream.ResponseHead], None],
) -> progress_module.AttemptResult:
    """Read a response and relay it to the caller.

    Parameters
    ----------
    patience : upstream.Patience
        How long to wait for the status line and headers.
    max_response_bytes : int
        Largest body of a response that is not a stream.
    on_head : callable
        Called with the head of the response before its body is read.

    Raises
    ------
    ResponseTimeoutError
        If no response headers arrive in time, and something better can be done than to wait.
    InvalidResponseError
        If the response is malformed, incomplete or unsigned.
    """
    patience.begin()
    connection.patience = patience
    head = await connection.read_head(request, call, header_codec)
    connection.patience = None
    connection.update_keep_alive(head.headers)
    on_head(head)
    if head.metadata.not_run or head.status == MISDIRECTED_REQUEST:
        progress.runs[connection.server.id] -= 1
        await discard_body(connection, max_response_bytes)
        return progress_module.AttemptResult.NOT_RUN
    if head.status < SUCCESS_END and (
        not head.metadata.signed or head.metadata.has_content_encoding
    ):
        raise connection.invalid_response(
            "successful response without signature or with a content encoding"
        )
    is_stream = progress.route.kind is routes.RouteKind.STREAMING and head.status < SUCCESS_END
    if is_stream:
        await relay_events(progress, responder, connection, head)
    elif responder.started:
        raise connection.invalid_response(f"status {head.status} instead of the rest of the stream")
    else:
        response = await read_response(progress, connection, head, max_response_bytes)
        if head.status >= SERVER_ERROR:
            progress.failure = response
            return progress_module.AttemptResult.FAILED
        await send_response(progress, responder, response)
    return progress_module.AttemptResult.DONE


async def read_response(
    progress: progress_module.Progress,
    connection: upstream.Connection,
    head: upstream.ResponseHead,
    max_bytes: int,
) -> progress_module.BufferedResponse:
    """Read the body and return the complete response.

    Raises
    ------
    InvalidResponseError
        If the body is incomplete or larger than ``max_bytes``, or if all bodies together are too
        large; a faulty server may send without end, and the body is held in memory.
    """
    parts: list[bytes] = []
    holding = progress.body_holding
    connection.read_bytes = upstream.READ_BYTES
    size = 0
    try:
        with holding.receiving():
            while isinstance(event := await connection.next_event(), h11.Data):
                parts.append(bytes(event.data))
                size += len(event.data)
                holding.add(len(event.data))
                if size > max_bytes:
                    raise connection.invalid_response(
                        f"the body exceeds {max_bytes} bytes (raise gateway.max_response_bytes if "
                        "responses are that large)"
                    )
    except body_memory.BodyEvictedError as error:
        raise memory_exceeded(connection) from error
    except BaseException:
        holding.remove(size)
        raise
    if not isinstance(event, h11.EndOfMessage):
        raise connection.invalid_response("the connection closed before the end of the body")
    return progress_module.BufferedResponse(
        head.status, end_to_end_headers(head.headers), b"".join(parts)
    )


async def send_response(
    progress: progress_module.Progress,
    responder: ingress.Responder,
    response: progress_module.BufferedResponse,
) -> None:
    """Send a fully read response to the caller."""
    progress.status = response.status
    await responder.send(response.status, response.headers, response.body)


async def relay_events(
    progress: progress_module.Progress,
    responder: ingress.Responder,
    connection: upstream.Connection,
    head: upstream.ResponseHead,
) -> None:
    """Relay the events of a stream as they arrive, each exactly once and complete.

    The end of the response is left to the caller for a turn that has to be stored before.
    """
    media_type = content_type(head.headers)
    if responder.started and media_type != progress.stream_type:
        raise connection.invalid_response(f"content type {media_type!r} in the middle of a stream")
    progress.stream_type = media_type
    splitter = event_stream.EventSplitter()
    try:
        while (received := await receive_events(progress, connection, splitter)) is not None:
            if new_events := skip_seen_events(progress, connection, received):
                if not responder.started:
                    progress.status = head.status
                    await responder.start(head.status, stream_headers(head.headers))
                await responder.send_data(b"".join(new_event.data for new_event in new_events))
    finally:
        progress.body_holding.remove(len(splitter.buffer))
    if not responder.started:
        progress.status = head.status
        await responder.start(head.status, stream_headers(head.headers))
    if progress.turn_recording is None:
        await responder.finish()


async def receive_events(
    progress: progress_module.Progress,
    connection: upstream.Connection,
    splitter: event_stream.EventSplitter,
) -> list[event_stream.StreamEvent] | None:
    """Return the events that the next data completes, or None at the end of the stream.

    An incomplete event is held in memory, so it counts as a body that is being received.

    Raises
    ------
    InvalidResponseError
        If the stream ends in the middle of an event, if an event is too large, or if all bodies
        together are.
    """
    holding = progress.body_holding
    held_bytes = len(splitter.buffer)
    try:
        with holding.receiving():
            event = await connection.next_event()
            if isinstance(event, h11.Data):
                received = splitter.feed(bytes(event.data))
                holding.remove(held_bytes)
                holding.add(len(splitter.buffer))
                return received
    except ValueError as error:
        raise connection.invalid_response(str(error)) from error
    except body_memory.BodyEvictedError as error:
        raise memory_exceeded(connection) from error
    if not isinstance(event, h11.EndOfMessage) or not splitter.is_empty:
        raise connection.invalid_response("the stream ended in the middle of an event")
    return None


def memory_exceeded(connection: upstream.Connection) -> upstream.InvalidResponseError:
    """Return the error for a body that was given up, since all of them are too large."""
    return connection.invalid_response(
        "all bodies together exceed their memory (raise gateway.memory_limit_mb if the process "
        "may use more)"
    )


async def store_turn(turn_recording: recording.TurnRecording) -> None:
    """Store a whole turn before its response ends.

    Raises
    ------
    StreamBrokenError
        If it could not be stored, so that the caller must not take the turn for whole.
    """
    try:
        await turn_recording.store()
    except exceptions.HistoryUnavailableError as error:
        raise progress_module.StreamBrokenError(error.detail) from error


def record_event(turn_recording: recording.TurnRecording, event: event_stream.StreamEvent) -> None:
    """Add an event to a recorded turn.

    Raises
    ------
    StreamBrokenError
        If the turn has become too large to be stored.
    """
    try:
        turn_recording.add(event)
    except exceptions.HistoryUnavailableError as error:
        raise progress_module.StreamBrokenError(error.detail) from error


def skip_seen_events(
    progress: progress_module.Progress,
    connection: upstream.Connection,
    received_events: list[event_stream.StreamEvent],
) -> list[event_stream.StreamEvent]:
    """Return the events that the caller has not received yet.

    Raises
    ------
    InvalidResponseError
        If an event is missing after the last one relayed.
    """
    new_events: list[event_stream.StreamEvent] = []
    for event in received_events:
        if event.id is not None and progress.last_event_id is not None:
            last_id = int(progress.last_event_id)
            if event.id <= last_id:
                continue
            if event.id != last_id + 1:
                raise connection.invalid_response(
                    f"event {event.id} received directly after event {last_id}"
                )
        if event.id is not None:
            progress.last_event_id = str(event.id).encode()
        progress.events += 1
        progress.first_event_at = progress.first_event_at or clock.now()
        new_events.append(event)
        if progress.turn_recording is not None:
            record_event(progress.turn_recording, event)
    version = connection.server.software_version
    if new_events and progress.required_version is None:
        progress.required_version = version
    if new_events and progress.stream_versions[-1:] != [version]:
        progress.stream_versions.append(version)
    return new_events


def content_type(headers: dialect.Headers) -> bytes | None:
    """Return the content type of a response without its parameters."""
    value = dict(headers).get(b"content-type")
    return None if value is None else value.partition(b";")[0].strip().lower()


def end_to_end_headers(headers: dialect.Headers) -> dialect.Headers:
    """Return the end-to-end headers of a response, without the hop-by-hop ones."""
    return [pair for pair in headers if pair[0] not in dialect.CONNECTION_HEADERS]


def stream_headers(headers: dialect.Headers) -> dialect.Headers:
    """Return the response headers of a stream, which is sent in chunks."""
    return [*end_to_end_headers(headers), (b"transfer-encoding", b"chunked")]
