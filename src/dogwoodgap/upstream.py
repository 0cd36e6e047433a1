"""Connections to backend servers for forwarded requests: h11 over anyio sockets.

:mod:`dogwoodgap.http_pool` serves the node's own requests; the responses read here are relayed to
callers. A late, incomplete or unrelated response must never be taken for a complete one.
"""

import collections
import collections.abc
import dataclasses
import math
import typing

import anyio
import anyio.abc
import h11

from dogwoodgap import (
    clock,
    dialect,
    exceptions,
    http_pool,
    peer_connections,
    servers,
    socket_streams,
)

CONNECT_TIMEOUT_S = 0.4
"""Servers in the same region accept within a few ms; retransmitting a lost SYN takes a second."""

IDLE_TIMEOUT_S = 8.0
"""Idle time after which a pooled connection is closed."""

MAX_IDLE_NON_RETRYABLE_S = 1.5
"""Maximum idle time of a connection for a request that must not run twice. If the connection
turns out to be dead, the outcome of such a request is unknown."""

KEEP_ALIVE_MARGIN_S = 0.5
"""Subtracted from the server's Keep-Alive timeout to cover the transit of the next request."""

READ_BYTES = 65_536
FIRST_READ_BYTES = 8_192
"""Size of the reads of heads and of streams, whose events are short. What is read is held until the
caller takes it, for each of its connections."""

MAX_INLINE_BODY_BYTES = 8_192
"""Larger bodies are sent while the response is read, since it may arrive before their end."""


class ServerUnreachableError(exceptions.RunnerUnreachableError):
    """No connection to the server could be opened; the request was not sent."""

    code = "server-unreachable"


class InvalidResponseError(exceptions.OutcomeUnknownError):
    """The response is incomplete, malformed or unrelated; the request may have run."""

    code = "answer-broken"


class ResponseTimeoutError(InvalidResponseError):
    """No response arrived in time on this connection; another connection may work."""

    code = "answer-silent"


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status, headers and decoded metadata of a response."""

    status: int
    headers: dialect.Headers
    metadata: dialect.ResponseMetadata


@dataclasses.dataclass(slots=True)
class Patience:
    """How long to wait for the head of a response.

    Attributes
    ----------
    timeout_s : float
        Time after which ``may_give_up`` is asked, again and again, in seconds.
    may_give_up : callable
        Returns whether something better than to wait can be done.
    ask_at : float
        Monotonic time at which it is asked next; bytes that arrive meanwhile do not postpone it.
    """

    timeout_s: float
    may_give_up: collections.abc.Callable[[], bool]
    ask_at: float = math.inf

    def begin(self) -> None:
        """Begin, or begin again, to wait."""
        self.ask_at = clock.now() + self.timeout_s


class Connection:
    """A connection to a backend server, used by one request at a time."""

    def __init__(self, server: servers.BackendServer, stream: anyio.abc.SocketStream):
        self.server = server
        self.stream = stream
        self.state = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.keep_alive_s = IDLE_TIMEOUT_S
        self.is_reused = False
        self.request_sent = False
        self.patience: Patience | None = None
        self.read_bytes = FIRST_READ_BYTES

    async def send(self, head: h11.Request, body: bytes) -> None:
        """Send a request.

        Raises
        ------
        InvalidResponseError
            If the connection closes; the server may have received the request.
        """
        self.request_sent = False
        self.read_bytes = FIRST_READ_BYTES
        data = self.state.send(head)
        if body:
            data += self.state.send(h11.Data(body))
        data += self.state.send(h11.EndOfMessage())
        try:
            await self.stream.send(data)
        except http_pool.CONNECTION_ERRORS as error:
            raise InvalidResponseError(
                f"server {self.server.id} closed the connection while receiving the request; "
                "retry only if it may run twice"
            ) from error
        self.request_sent = True

    async def next_event(self) -> typing.Any:
        """Return the next h11 event of the response.

        Raises
        ------
        InvalidResponseError
            If the data is not valid HTTP or ends too early.
        """
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as error:
                raise self.invalid_response(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.receive()
            except anyio.EndOfStream:
                data = b""
            except http_pool.CONNECTION_ERRORS as error:
                raise self.invalid_response("the connection was reset") from error
            self.state.receive_data(data)

    async def receive(self) -> bytes:
        """Return the next data; raises ResponseTimeoutError once patience is exhausted."""
        while self.patience is not None:
            with anyio.CancelScope(deadline=self.patience.ask_at):
                return await self.stream.receive(self.read_bytes)
            if self.patience.may_give_up():
                raise ResponseTimeoutError(
                    f"server {self.server.id} sent no response within "
                    f"{self.patience.timeout_s:.2f} s; the request is retried"
                )
            self.patience.begin()
        return await self.stream.receive(self.read_bytes)

    async def read_head(
        self, request: h11.Request, call: dialect.Call, header_codec: dialect.HeaderCodec
    ):
        """Return the head of the response to this request; unrelated responses are skipped."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise self.invalid_response("the connection was closed without a response")
            if event.status_code > http_pool.MAX_STATUS:
                raise self.invalid_response(f"status {event.status_code} is undefined")
            headers = event.headers.raw_items()
            lowercase_headers = [(name.lower(), value) for name, value in headers]
            metadata = header_codec.decode_response(lowercase_headers)
            if metadata.attempt_id == call.attempt_id:
                return ResponseHead(event.status_code, lowercase_headers, metadata)
            await self.skip_unrelated_response(request)

    async def skip_unrelated_response(self, request: h11.Request) -> None:
        """Discard a late response to an earlier request; the next one should be for this one.

        The h11 state allows one response per request, so it is replaced by a fresh one that
        expects a response again.
        """
        while isinstance(await self.next_event(), h11.Data):
            pass
        if self.state.their_state is not h11.DONE:
            raise self.invalid_response(
                "received a response to another request, which also closes the connection"
            )
        unread_data, _ = self.state.trailing_data
        self.state = h11.Connection(h11.CLIENT)
        self.state.send(h11.Request(method="GET", target=request.target, headers=[("host", "-")]))
        self.state.send(h11.EndOfMessage())
        if unread_data:
            self.state.receive_data(unread_data)

    def invalid_response(self, reason: str) -> InvalidResponseError:
        """Return the error for a response that cannot be relayed."""
        return InvalidResponseError(
            f"invalid response from server {self.server.id}: {reason}; "
            "retry the request only if it may run twice"
        )

    def update_keep_alive(self, headers: dialect.Headers) -> None:
        """Read from the Keep-Alive header how long the server keeps idle connections open."""
        for name, value in headers:
            if name == b"keep-alive":
                for parameter in value.split(b","):
                    key, _, seconds = parameter.strip().partition(b"=")
                    if key.lower() == b"timeout" and seconds.isdigit():
                        announced = int(seconds) - KEEP_ALIVE_MARGIN_S
                        self.keep_alive_s = min(IDLE_TIMEOUT_S, announced)

    def is_reusable(self) -> bool:
        """Return whether request and response are complete and no extra data has arrived."""
        return (
            self.request_sent
            and self.state.our_state is h11.DONE
            and self.state.their_state is h11.DONE
            and not self.state.trailing_data[0]
        )

    def is_usable(self, max_idle_s: float) -> bool:
        """Return whether an idle connection is open, has no unread data and is recent enough."""
        now = clock.now()
        if now >= self.idle_until or now - self.idle_since > max_idle_s:
            return False
        return not http_pool.is_readable(self.stream)

    async def close(self) -> None:
        """Close the connection immediately, even if the task is being cancelled."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)


class ServerPool:
    """Pool of idle connections to one backend server."""

    def __init__(self, server: servers.BackendServer):
        self.server = server
        self.idle: collections.deque[Connection] = collections.deque()
        self.opened = 0
        self.is_retired = False

    async def acquire(self, max_idle_s: float) -> Connection:
        """Return the most recently used idle connection, or open a new one.

        Raises
        ------
        ServerUnreachableError
            If the server does not accept a connection.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(max_idle_s):
                connection.is_reused = True
                return connection
            await connection.close()
        return await self.open()

    async def open(self) -> Connection:
        """Open a new connection; raises ServerUnreachableError if the server does not accept."""
        try:
            host, port = peer_connections.split_address(self.server.address)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await socket_streams.connect(host, port)
        except (
            TimeoutError,
            exceptions.PeerError,
            *http_pool.CONNECTION_ERRORS,
            ValueError,  # the name cannot be encoded
        ) as error:
            raise ServerUnreachableError(
                f"cannot connect to server {self.server.id} "
                f"({type(error).__name__}); another server is used"
            ) from error
        self.opened += 1
        return Connection(self.server, stream)

    async def release(self, connection: Connection, max_idle_connections: int) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        is_full = len(self.idle) >= max_idle_connections
        if self.is_retired or is_full or not connection.is_reusable():
            await connection.close()
            return
        connection.state.start_next_cycle()
        connection.idle_since = clock.now()
        connection.idle_until = clock.now() + connection.keep_alive_s
        self.idle.append(connection)
        while self.idle and self.idle[0].idle_until <= clock.now():
            await self.idle.popleft().close()

    async def retire(self) -> None:
        """Close the idle connections now, and those in use once their requests have ended."""
        self.is_retired = True
        await self.close()

    async def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            await self.idle.pop().close()
