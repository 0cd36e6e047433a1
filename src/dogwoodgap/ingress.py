"""HTTP/1.1 server: one task per accepted connection, h11 over anyio sockets."""

import collections.abc
import dataclasses
import logging
import math
import typing

import anyio
import anyio.abc
import h11

from dogwoodgap import (
    body_memory,
    clock,
    dialect,
    events,
    exceptions,
    http_pool,
    listeners,
    routes,
)

CLOSE_TIMEOUT_S = 0.5
"""Time for a caller to read the last response before the connection is closed."""

LAST_CLOSE_TIMEOUT_S = 0.15
"""Time for the same once a closed server has given up its connections; with the full time, a
stopping gateway outlasted its grace period while a caller was still sending a body."""

RESPONSE_TIMEOUT_S = 2.0
"""Timeout for writing a complete response to a caller."""

ROOM_POLL_INTERVAL_S = 0.02
"""Interval at which a full server checks whether a connection has ended."""

CLOSE_POLL_INTERVAL_S = 0.02
"""Interval at which a closing server looks for connections that have become idle."""

NEXT_REQUEST_TIMEOUT_S = 0.5
"""Time in which a closing server expects a request on a new connection, or on one whose last
response announced no close; the connection is not closed as idle before."""

LAST_DATA_TURNS = 5
"""Turns of the event loop in which it delivers data that has arrived before an idle connection
closes: it reads the data in one turn, and runs the task that waits for it in the next one."""

LAST_REQUEST_TURNS = 100
"""Turns of the event loop in which a closed server accepts, reads and refuses what has arrived,
after its process stood still until the end of its grace period."""

BODY_TIMEOUT_S = 10.0
"""Timeout for receiving a request body; bodies are at most a few MB."""


@dataclasses.dataclass(slots=True)
class Request:
    """A fully received request; header names are lower-case."""

    method: bytes
    target: bytes
    headers: dialect.Headers
    body: bytes
    arrived_at: float
    holding: body_memory.BodyHolding


class CallerDisconnectedError(Exception):
    """The caller closed its connection or stopped reading."""


class Responder:
    """Writes the response to one request."""

    def __init__(self, connection: "CallerConnection"):
        self.connection = connection
        self.started = False
        self.finished = False

    @property
    def caller_has_left(self) -> bool:
        """Return whether the caller has closed its connection."""
        return self.connection.eof

    async def send(self, status: int, headers: dialect.Headers, body: bytes = b"") -> None:
        """Send a complete response."""
        fields = [*headers, (b"content-length", str(len(body)).encode())]
        send_by = min(clock.now() + RESPONSE_TIMEOUT_S, self.connection.server.close_by)
        # Shielded, so that the request's timeout does not truncate a complete response.
        with anyio.CancelScope(deadline=send_by, shield=True) as self.connection.response_scope:
            await self.start(status, fields)
            if body:
                self.connection.buffer(h11.Data(body))
            await self.finish()

    async def start(self, status: int, headers: dialect.Headers) -> None:
        """Buffer status and headers; they are sent with the first data or the end."""
        self.started = True
        fields = list(headers)
        if self.connection.server.closing:
            fields.append((b"connection", b"close"))
        self.connection.buffer(h11.Response(status_code=status, headers=fields))

    async def send_data(self, data: bytes) -> None:
        """Send a part of the body immediately."""
        self.connection.buffer(h11.Data(data))
        await self.connection.flush()

    async def finish(self) -> None:
        """Send the end of the response."""
        self.connection.buffer(h11.EndOfMessage())
        await self.connection.flush()
        self.finished = True


Handler = collections.abc.Callable[[Request, Responder], collections.abc.Awaitable[None]]


class CallerConnection:
    """An accepted connection from a caller.

    Attributes
    ----------
    handled : int
        Requests that were handled on it.
    scope : anyio.CancelScope
        Cancelled to end the connection at once.
    idle_scope : anyio.CancelScope
        Cancelled to end the connection unless another request has arrived.
    response_scope : anyio.CancelScope
        Shields the sending of a complete response.
    """

    def __init__(self, server: "Server", stream: anyio.abc.SocketStream):
        self.server = server
        self.stream = stream
        self.limits = server.limits()
        self.state = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.header_bytes)
        self.write_buffer = b""
        self.eof = False
        self.idle = True
        self.idle_since = clock.now()
        self.handled = 0
        self.scope = anyio.CancelScope()
        self.idle_scope = anyio.CancelScope()
        self.response_scope = anyio.CancelScope()

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            request = await self.read_request()
            if request is None:
                return
            self.idle = False
            try:
                is_complete = await self.handle_request(request)
            finally:
                request.holding.release()
            self.idle = True
            self.idle_since = clock.now()
            self.handled += 1
            if not is_complete or self.state.our_state is not h11.DONE:
                return
            if self.state.their_state is not h11.DONE:
                return
            self.state.start_next_cycle()

    async def read_request(self) -> Request | None:
        """Return the next request, or None if the connection ends or the request is invalid."""
        try:
            return await self.receive_request()
        except h11.RemoteProtocolError as error:
            await self.reject(error.error_status_hint, str(error))
        except exceptions.DogwoodgapError as error:
            await self.reject(error.status, error.detail)
        except TimeoutError:
            if self.state.their_state is not h11.IDLE or self.state.trailing_data[0]:
                await self.reject(408, "timed out while receiving the request; send it faster")
        return None

    async def receive_request(self) -> Request | None:
        """Receive one request; raises TimeoutError if it takes too long."""
        request = await self.receive_head()
        if request is None:
            return None
        arrived_at = clock.now()
        self.check_header_size(request)
        holding = self.server.body_memory.hold()
        body: bytes | None = None
        try:
            with anyio.fail_after(BODY_TIMEOUT_S), holding.receiving():
                body = await self.receive_body(holding)
        except body_memory.BodyEvictedError as error:
            raise exceptions.OverloadedError(
                "the gateway receives too many large bodies at a time; retry later"
            ) from error
        finally:
            if body is None:
                holding.release()
        if body is None:
            return None
        headers = [(name.lower(), value) for name, value in request.headers.raw_items()]
        return Request(request.method, request.target, headers, body, arrived_at, holding)

    async def receive_body(self, holding: body_memory.BodyHolding) -> bytes | None:
        """Receive a request body, or return None if the caller closes the connection."""
        parts: list[bytes] = []
        size = 0
        if self.state.they_are_waiting_for_100_continue:
            await self.write(
                self.state.send(h11.InformationalResponse(status_code=100, headers=[]))
            )
        while not isinstance(event := await self.next_event(), h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                return None
            parts.append(bytes(event.data))
            size += len(event.data)
            holding.add(len(event.data))
            if size > self.limits.body_bytes:
                raise exceptions.BodyTooLargeError(
                    f"the body exceeds {self.limits.body_bytes} bytes; send a smaller one"
                )
        return b"".join(parts)

    def check_header_size(self, request: h11.Request) -> None:
        """Reject a head that exceeds the limit.

        h11 enforces the limit only while a head is incomplete, not on one received in one read.
        """
        size = len(request.target) + sum(
            len(name) + len(value) for name, value in request.headers.raw_items()
        )
        if size > self.limits.header_bytes:
            raise exceptions.HeaderTooLargeError(
                f"the request head has {size} bytes, the limit is {self.limits.header_bytes}; "
                "send fewer or shorter headers"
            )

    async def receive_head(self) -> h11.Request | None:
        """Wait for a request head: the idle timeout applies first, then the header timeout."""
        event = self.state.next_event()
        if event is h11.NEED_DATA and not self.state.trailing_data[0]:
            if not await self.receive_first_data():
                return None
            event = self.state.next_event()
        if event is h11.NEED_DATA:
            with anyio.fail_after(self.limits.header_timeout_s):
                event = await self.next_event()
        return event if isinstance(event, h11.Request) else None

    async def receive_first_data(self) -> bool:
        """Wait for data while the connection is idle; return False if it is closed before."""
        with anyio.fail_after(self.limits.idle_timeout_s), anyio.CancelScope() as self.idle_scope:
            await self.receive()
            return True
        return await self.receive_last_data()

    async def receive_last_data(self) -> bool:
        """Receive data that has arrived already; return whether there was any."""
        has_data = False

        async def receive() -> None:
            nonlocal has_data
            await self.receive()
            has_data = True

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receive)
            for _ in range(LAST_DATA_TURNS):
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
        return has_data

    def close_idle(self) -> None:
        """Close the connection, unless data of a request has arrived meanwhile."""
        self.idle_scope.cancel()

    def end_responses_by(self, time: float) -> None:
        """End the sending of a complete response at a monotonic time."""
        self.response_scope.deadline = min(self.response_scope.deadline, time)

    def make_room(self) -> None:
        """Close the connection at once if it holds a part of a request, else once it is idle."""
        if self.state.trailing_data[0]:
            self.scope.cancel()
        else:
            self.close_idle()

    async def next_event(self) -> typing.Any:
        """Return the next h11 event."""
        while (event := self.state.next_event()) is h11.NEED_DATA:
            await self.receive()
        return event

    async def receive(self) -> None:
        """Receive data and pass it to h11."""
        try:
            data = await self.stream.receive()
        except (anyio.EndOfStream, *http_pool.CONNECTION_ERRORS):
            data = b""
        self.eof = not data
        self.state.receive_data(data)

    async def handle_request(self, request: Request) -> bool:
        """Run the handler until done or the caller disconnects.

        Returns whether a complete response was sent.
        """
        responder = Responder(self)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.watch_for_disconnect, tasks.cancel_scope)
                await self.server.handler(request, responder)
                tasks.cancel_scope.cancel()
        except* CallerDisconnectedError:
            responder.finished = False
        return responder.finished

    async def watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel the handler if the caller disconnects; buffer data of its next request."""
        while not self.eof and len(self.state.trailing_data[0]) <= self.limits.header_bytes:
            await self.receive()
        if self.eof:
            scope.cancel()

    def buffer(self, event: typing.Any) -> None:
        """Encode an h11 event and add it to the write buffer."""
        self.write_buffer += self.state.send(event) or b""

    async def flush(self) -> None:
        """Send the contents of the write buffer."""
        data, self.write_buffer = self.write_buffer, b""
        await self.write(data)

    async def write(self, data: bytes) -> None:
        """Send bytes to the caller; raises CallerDisconnectedError if that fails."""
        try:
            await self.stream.send(data)
        except http_pool.CONNECTION_ERRORS as error:
            raise CallerDisconnectedError from error

    async def reject(self, status: int, detail: str) -> None:
        """Send an error for a malformed request before the connection is closed."""
        events.emit(
            events.Event.REQUEST_MALFORMED,
            "malformed request; closing the connection",
            level=logging.WARNING,
            status=status,
            detail=detail,
        )
        if self.state.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = detail.encode()
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        try:
            data = self.state.send(h11.Response(status_code=status, headers=headers))
            await self.write((data or b"") + (self.state.send(h11.Data(body)) or b""))
        except (CallerDisconnectedError, h11.LocalProtocolError):
            return


class Server:
    """A listener and its connections.

    Parameters
    ----------
    handler : callable
        Called with each request and the responder for it.
    limits : callable
        Returns the limits that apply to a new connection.
    max_connections : float
        Connections open at a time; more wait to be accepted.
    memory : body_memory.BodyMemory, optional
        Counts the bodies of requests.
    """

    def __init__(
        self,
        handler: Handler,
        limits: collections.abc.Callable[[], routes.Limits] = routes.Limits,
        max_connections: float = math.inf,
        memory: body_memory.BodyMemory | None = None,
    ):
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.body_memory = memory or body_memory.BodyMemory(math.inf)
        self.closing = False
        self.close_by = math.inf
        self.is_serving = False
        self.listener: listeners.Listener | None = None
        self.connections: set[CallerConnection] = set()

    async def serve(
        self,
        address: str,
        bind_timeout_s: float = 0.0,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept connections until closed or cancelled; reports the port through ``task_status``.

        A server that is closed returns once all connections that it has accepted have ended.
        """
        self.listener = listener = await listeners.open_listener(
            address, bind_timeout_s, self.make_room
        )
        self.is_serving = True
        try:
            async with anyio.create_task_group() as tasks, listener:
                task_status.started(listener.extra(anyio.abc.SocketAttribute.local_port))
                await listener.serve(self.serve_stream, tasks)
        finally:
            self.is_serving = False

    async def close(self, give_up_at: float) -> None:
        """Stop to listen, and wait until all accepted connections have ended.

        Parameters
        ----------
        give_up_at : float
            Monotonic time at which the remaining connections are closed, whatever they are doing.
            Requests that have arrived by then are still read, so that the handler can refuse them.
        """
        self.closing = True
        self.close_by = give_up_at + LAST_CLOSE_TIMEOUT_S
        for connection in self.connections:
            connection.end_responses_by(self.close_by)
        if self.listener is not None:
            self.listener.stop(self.max_connections - len(self.connections))
        while self.is_serving and clock.now() < give_up_at:
            self.close_idle()
            await anyio.sleep(CLOSE_POLL_INTERVAL_S)
        for _ in range(LAST_REQUEST_TURNS):
            for connection in self.idle_connections():
                connection.close_idle()
            await anyio.lowlevel.checkpoint()
        for connection in self.connections:
            connection.scope.cancel()

    async def serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection until it closes."""
        connection = CallerConnection(self, stream)
        self.connections.add(connection)
        try:
            with connection.scope:
                await connection.run()
        except Exception as error:  # an error in one connection must not stop the listener
            events.emit(
                events.Event.CONNECTION_FAILED,
                "unexpected error while serving a connection",
                level=logging.ERROR,
                detail=repr(error),
            )
        finally:
            self.connections.discard(connection)
            with anyio.CancelScope(shield=True):
                await close_gracefully(stream, self.close_by)

    def idle_connections(self) -> list[CallerConnection]:
        """Return the connections on which no request is being received or handled."""
        return [
            connection
            for connection in self.connections
            if connection.idle and connection.state.their_state is h11.IDLE
        ]

    def close_idle(self) -> None:
        """Close all connections that have been idle for so long that no request is expected."""
        idle_before = clock.now() - NEXT_REQUEST_TIMEOUT_S
        for connection in self.idle_connections():
            if connection.idle_since < idle_before:
                connection.close_idle()

    async def make_room(self) -> None:
        """Wait until a connection may be accepted; the one idle for longest is closed for it."""
        while len(self.connections) >= self.max_connections:
            # One that was told to close is on its way, or has just received its last request.
            idle = [
                connection
                for connection in self.idle_connections()
                if not connection.idle_scope.cancel_called
            ]
            if idle:
                min(idle, key=lambda connection: connection.idle_since).make_room()
            await anyio.sleep(ROOM_POLL_INTERVAL_S)


async def close_gracefully(stream: anyio.abc.SocketStream, close_by: float) -> None:
    """Half-close and drain the connection before closing it.

    Closing with unread data would send a reset, which can discard the last response.

    Parameters
    ----------
    close_by : float
        Monotonic time at which the connection is closed at the latest.
    """
    with anyio.move_on_after(min(CLOSE_TIMEOUT_S, close_by - clock.now())):
        try:
            await stream.send_eof()
            while True:
                await stream.receive()
        except (anyio.EndOfStream, RuntimeError, *http_pool.CONNECTION_ERRORS):
            pass  # uvloop raises RuntimeError if the peer has reset the connection
    await anyio.aclose_forcefully(stream)
