"""HTTP/1.1 server: one task per accepted connection, h11 over anyio sockets."""

import collections.abc
import logging
import math

import anyio
import anyio.abc
import h11

from dogwoodgap import (
    body_memory,
    caller_connections,
    caller_memory,
    clock,
    connection_limits,
    dialect,
    events,
    http_pool,
    listeners,
    routes,
    socket_streams,
)

CLOSE_TIMEOUT_S = 0.5
"""Time for a caller to read the last response before the connection is closed."""

LAST_CLOSE_TIMEOUT_S = 0.15
"""Time for the same once a closed server has given up its connections; with the full time, a
stopping gateway outlasted its grace period while a caller was still sending a body."""

RESPONSE_TIMEOUT_S = 2.0
"""Timeout for writing a complete response to a caller."""

MIN_BYTES_PER_S = 500_000
"""Rate at which a caller has to take a response beyond that time. Until the send buffer had a fixed
size, the kernel took several MB of a response at once, and its caller had any time."""

ROOM_POLL_INTERVAL_S = 0.02
"""Interval at which a full server checks whether a connection may be closed for a new one."""

MIN_CLOSING = 4
CLOSING_SHARE = 8
"""Part of the connections that may wait for their callers while they are closed; more are closed
at once, so that a crowd of callers that come back does not use up the descriptors."""

CLOSE_POLL_INTERVAL_S = 0.02
"""Interval at which a closing server looks for connections that have become idle."""

NEXT_REQUEST_TIMEOUT_S = 0.5
"""Time in which a closing server expects a request on a new connection, or on one whose last
response announced no close; the connection is not closed as idle before."""

LAST_REQUEST_TURNS = 100
"""Turns of the event loop in which a closed server accepts, reads and refuses what has arrived,
after its process stood still until the end of its grace period."""

Request = caller_connections.Request
CallerDisconnectedError = caller_connections.CallerDisconnectedError
CallerConnection = caller_connections.CallerConnection


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
        timeout_s = RESPONSE_TIMEOUT_S + len(body) / MIN_BYTES_PER_S
        send_by = min(clock.now() + timeout_s, self.connection.server.close_by)
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
        # What arrives once the end is sent may be the next request of an ordinary caller.
        self.connection.has_sent_ahead = self.connection.ahead_bytes > 0
        self.connection.buffer(h11.EndOfMessage())
        await self.connection.flush()
        self.finished = True


Handler = collections.abc.Callable[[Request, Responder], collections.abc.Awaitable[None]]


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
    shared : connection_limits.Shared, optional
        What the connections of all listeners of the process share.

    Attributes
    ----------
    closing_count : int
        Connections that are being closed; they hold a descriptor, but no caller waits for them.
    room : anyio.Event
        Set when a connection has ended.
    """

    def __init__(
        self,
        handler: Handler,
        limits: collections.abc.Callable[[], routes.Limits] = routes.Limits,
        max_connections: float = math.inf,
        memory: body_memory.BodyMemory | None = None,
        shared: connection_limits.Shared | None = None,
    ):
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.body_memory = memory or body_memory.BodyMemory(math.inf)
        self.shared = shared or connection_limits.Shared()
        self.address = ""
        self.closing_count = 0
        self.room = anyio.Event()
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
        self.address = address
        self.listener = listener = await listeners.open_listener(
            address, bind_timeout_s, self.make_room, self.shared.bounds
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
            self.shared.memory.forget(connection)
            self.room.set()
            with anyio.CancelScope(shield=True):
                await self.close_stream(connection)

    async def close_stream(self, connection: CallerConnection) -> None:
        """Close a connection; only so many wait for their callers at a time."""
        if connection.is_aborted:
            abort_stream(connection.stream)
        elif self.closing_count >= max(MIN_CLOSING, self.max_connections / CLOSING_SHARE):
            await anyio.aclose_forcefully(connection.stream)
        else:
            self.closing_count += 1
            try:
                await close_gracefully(connection.stream, self.close_by)
            finally:
                self.closing_count -= 1

    def new_responder(self, connection: CallerConnection) -> Responder:
        """Return the responder for the next request of a connection."""
        return Responder(connection)

    def idle_connections(self) -> list[CallerConnection]:
        """Return the connections on which no request is being received or handled."""
        return [
            connection
            for connection in self.connections
            if connection.idle
            and connection.state.their_state is h11.IDLE
            and not connection.queued
        ]

    def close_idle(self) -> None:
        """Close all connections that have been idle for so long that no request is expected."""
        idle_before = clock.now() - NEXT_REQUEST_TIMEOUT_S
        for connection in self.idle_connections():
            if connection.idle_since < idle_before:
                connection.close_idle()

    async def make_room(self) -> None:
        """Wait until a connection may be accepted, and close another one for it.

        That is one whose caller takes no responses, or else the one that is idle for longest.
        """
        while len(self.connections) >= self.max_connections:
            if not any(connection.is_aborted for connection in self.connections):
                self.close_one()
            self.room = anyio.Event()
            with anyio.move_on_after(ROOM_POLL_INTERVAL_S):
                await self.room.wait()

    def close_one(self) -> None:
        """Close a connection for a new one, if there is one that may be closed."""
        chosen = caller_memory.choose_for_room(self.connections, clock.now())
        if chosen is not None:
            chosen.abort(caller_memory.Reason.ROOM)
            return
        # One that was told to close is on its way, or has just received its last request.
        idle = [
            connection
            for connection in self.idle_connections()
            if not connection.idle_scope.cancel_called
        ]
        if idle:
            min(idle, key=lambda connection: connection.idle_since).make_room()


def abort_stream(stream: anyio.abc.SocketStream) -> None:
    """Close a connection with a reset."""
    if isinstance(stream, socket_streams.BoundedStream):
        stream.abort()


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
