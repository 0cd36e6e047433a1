"""An accepted connection of a caller: receives its requests one after the other, with h11."""

import collections.abc
import dataclasses
import logging
import typing

import anyio
import anyio.abc
import h11

from dogwoodgap import (
    background,
    body_memory,
    caller_memory,
    clock,
    closed_callers,
    connection_limits,
    dialect,
    events,
    exceptions,
    http_pool,
    routes,
    socket_streams,
)

LAST_DATA_TURNS = 5
"""Turns of the event loop in which it delivers data that has arrived before an idle connection
closes: it reads the data in one turn, and runs the task that waits for it in the next one."""

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


class ConnectionOwner(typing.Protocol):
    """The server of a connection; implemented by :class:`dogwoodgap.ingress.Server`."""

    handler: collections.abc.Callable[[Request, typing.Any], collections.abc.Awaitable[None]]
    limits: collections.abc.Callable[[], routes.Limits]
    body_memory: body_memory.BodyMemory
    shared: connection_limits.Shared
    closing: bool
    address: str

    def new_responder(self, connection: "CallerConnection") -> typing.Any:
        """Return the responder for the next request of a connection."""


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
    unsent_bytes : int
        Bytes of a response that wait in this process for the caller.
    unsent_since : float
        Monotonic time at which the caller has last taken something while they waited.
    ahead_bytes : int
        Bytes of further requests that have been read.
    queued : bool
        Whether a request that was sent ahead waits for its turn.
    has_sent_ahead : bool
        Whether the caller had sent a further request before the last response was complete.
    is_aborted : bool
        Whether the connection is closed without waiting for the caller.
    """

    def __init__(self, server: ConnectionOwner, stream: anyio.abc.SocketStream):
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
        self.unsent_bytes = 0
        self.unsent_since = 0.0
        self.ahead_bytes = 0
        self.queued = False
        self.has_sent_ahead = False
        self.is_aborted = False
        if isinstance(stream, socket_streams.BoundedStream):
            stream.on_blocked = self.count_unsent

    async def run(self) -> None:
        """Serve requests until either side closes the connection."""
        while True:
            request = await self.read_request()
            if request is None:
                return
            self.idle = False
            self.count_ahead()
            is_complete = await self.handle_request(request)
            self.idle = True
            self.idle_since = clock.now()
            self.handled += 1
            if self.ahead_bytes:
                self.count_ahead()
            if not is_complete or self.state.our_state is not h11.DONE:
                return
            if self.state.their_state is not h11.DONE:
                return
            self.state.start_next_cycle()
            if self.has_sent_ahead and not self.server.closing:
                await self.wait_for_turn()

    async def wait_for_turn(self) -> None:
        """Wait until a request that was sent ahead may start, one of all connections at a time."""
        if not self.server.shared.turns.locked():
            self.server.shared.turns.acquire_nowait()
        else:
            self.queued = True
            try:
                await self.server.shared.turns.acquire()
            finally:
                self.queued = False
        try:
            await anyio.lowlevel.checkpoint()
        finally:
            self.server.shared.turns.release()

    def abort(self, reason: caller_memory.Reason) -> None:
        """Close the connection at once, without waiting for its caller."""
        if self.is_aborted:
            return
        self.is_aborted = True
        self.eof = True
        self.scope.cancel()
        # The sending of a complete response is shielded from the scope of the connection.
        self.response_scope.cancel()
        closed_callers.closed.record(reason, caller_memory.held_bytes(self), self.server.address)

    def count_unsent(self, size: int, since: float) -> None:
        """Count the bytes of a response that wait for the caller, which took some at a time."""
        self.unsent_bytes = size
        self.unsent_since = since
        self.server.shared.memory.update(self, clock.now())

    def count_ahead(self) -> None:
        """Count the bytes that have been read and not been parsed."""
        size = len(self.state.trailing_data[0])
        if size != self.ahead_bytes:
            self.ahead_bytes = size
            self.server.shared.memory.update(self, clock.now())

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
        read_bytes = socket_streams.READ_BYTES
        while not isinstance(event := await self.next_event(read_bytes), h11.EndOfMessage):
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
                while event is h11.NEED_DATA:
                    self.count_ahead()
                    await self.receive(self.server.shared.bounds.read_ahead_bytes)
                    event = self.state.next_event()
        return event if isinstance(event, h11.Request) else None

    async def receive_first_data(self) -> bool:
        """Wait for data while the connection is idle; return False if it is closed before."""
        with anyio.fail_after(self.limits.idle_timeout_s), anyio.CancelScope() as self.idle_scope:
            await self.receive(self.server.shared.bounds.read_ahead_bytes)
            return True
        return await self.receive_last_data()

    async def receive_last_data(self) -> bool:
        """Receive data that has arrived already; return whether there was any."""
        has_data = False

        async def receive() -> None:
            nonlocal has_data
            await self.receive(self.server.shared.bounds.read_ahead_bytes)
            has_data = True

        async with background.running(receive):
            for _ in range(LAST_DATA_TURNS):
                await anyio.lowlevel.checkpoint()
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

    async def next_event(self, read_bytes: int) -> typing.Any:
        """Return the next h11 event; at most ``read_bytes`` are read at a time."""
        while (event := self.state.next_event()) is h11.NEED_DATA:
            await self.receive(read_bytes)
        return event

    async def receive(self, max_bytes: int) -> None:
        """Receive at most a number of bytes and pass them to h11."""
        try:
            data = await self.stream.receive(max_bytes)
        except (anyio.EndOfStream, *http_pool.CONNECTION_ERRORS):
            data = b""
        self.eof = not data
        self.state.receive_data(data)

    async def handle_request(self, request: Request) -> bool:
        """Run the handler until done or the caller disconnects.

        Returns whether a complete response was sent.
        """
        responder = self.server.new_responder(self)
        scope = anyio.CancelScope()
        try:
            async with background.running(self.watch_for_disconnect, scope):
                await self.run_handler(request, responder, scope)
        except* CallerDisconnectedError:
            responder.finished = False
        return responder.finished

    async def run_handler(
        self, request: Request, responder: typing.Any, scope: anyio.CancelScope
    ) -> None:
        """Run the handler in a scope, and release the memory of the bodies."""
        try:
            with scope:
                await self.server.handler(request, responder)
        finally:
            request.holding.release()

    async def watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel the handler if the caller disconnects; buffer data of its next request."""
        room = self.server.shared.bounds.read_ahead_bytes - len(self.state.trailing_data[0])
        while not self.eof and room > 0:
            await self.receive(room)
            self.count_ahead()
            room = self.server.shared.bounds.read_ahead_bytes - self.ahead_bytes
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
        except socket_streams.UnreadError as error:
            self.abort(caller_memory.Reason.UNREAD)
            raise CallerDisconnectedError from error
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
