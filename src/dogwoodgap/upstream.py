"""Connections to backend servers for forwarded requests: h11 over anyio sockets.

Unlike :mod:`dogwoodgap.http_pool`, whose answers go to the node itself, these connections carry
other parties' answers. A late, foreign or incomplete answer must never look like a whole one.
"""

import collections
import dataclasses
import typing

import anyio
import anyio.abc
import h11

from dogwoodgap import clock, dialect, exceptions, http_pool, peer_connections, servers

CONNECT_TIMEOUT_S = 0.4
"""A server in the same region accepts within a few ms; a lost opening packet costs a second."""

IDLE_TIMEOUT_S = 8.0
"""Kept connections are closed after this time without use."""

MAX_IDLE_NON_REPEATABLE_S = 1.5
"""A request that must not run twice uses only connections that were idle no longer than this:
a connection that dies under it leaves its outcome unknown."""

KEEP_ALIVE_MARGIN_S = 0.5
"""Subtracted from the idle time that a server announces, for the way of the next request."""

READ_BYTES = 65_536
MAX_INLINE_BODY_BYTES = 8_192
"""Longer bodies are sent beside reading the answer, which may come before they are read."""


class ServerUnreachableError(exceptions.RunnerUnreachableError):
    """No connection could be opened, so nothing was sent."""

    code = "server-unreachable"


class InvalidResponseError(exceptions.OutcomeUnknownError):
    """The answer ended early or is no answer to this request; the request may have run."""

    code = "answer-broken"


class ResponseTimeoutError(InvalidResponseError):
    """Nothing arrives on a kept connection; a new one may work."""

    code = "answer-silent"


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: dialect.Headers
    metadata: dialect.ResponseMetadata


class Connection:
    """One connection to a backend server, used by one request at a time."""

    def __init__(self, server: servers.BackendServer, stream: anyio.abc.SocketStream):
        self.server = server
        self.stream = stream
        self.state = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.idle_until = 0.0
        self.keep_alive_s = IDLE_TIMEOUT_S
        self.is_reused = False
        self.request_sent = False

    async def send(self, head: h11.Request, body: bytes) -> None:
        """Write a request.

        Raises
        ------
        InvalidResponseError
            When the connection ends; the server may have received the request.
        """
        self.request_sent = False
        data = self.state.send(head)
        if body:
            data += self.state.send(h11.Data(body))
        data += self.state.send(h11.EndOfMessage())
        try:
            await self.stream.send(data)
        except http_pool.CONNECTION_ERRORS as error:
            raise InvalidResponseError(
                f"server {self.server.id} closed the connection while it received a request; "
                "repeat it only if it may run twice"
            ) from error
        self.request_sent = True

    async def next_event(self) -> typing.Any:
        """Return the next event of the answer.

        Raises
        ------
        InvalidResponseError
            When the bytes are no answer or end before its end.
        """
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError as error:
                raise self.invalid_response(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            except http_pool.CONNECTION_ERRORS as error:
                raise self.invalid_response("the connection was reset") from error
            self.state.receive_data(data)

    async def read_head(
        self, request: h11.Request, call: dialect.Call, header_codec: dialect.HeaderCodec
    ):
        """Return the head of the answer to this request; answers to others are skipped."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise self.invalid_response("the connection was closed without an answer")
            headers = event.headers.raw_items()
            lowered = [(name.lower(), value) for name, value in headers]
            metadata = header_codec.decode_response(lowered)
            if metadata.attempt_id == call.attempt_id:
                return ResponseHead(event.status_code, lowered, metadata)
            await self.skip_unrelated_response(request)

    async def skip_unrelated_response(self, request: h11.Request) -> None:
        """Read a late answer to another request to its end and expect the own one after it."""
        while isinstance(await self.next_event(), h11.Data):
            pass
        if self.state.their_state is not h11.DONE:
            raise self.invalid_response(
                "an answer to another request came and the connection ends with it"
            )
        rest, _ = self.state.trailing_data
        self.state = h11.Connection(h11.CLIENT)
        self.state.send(h11.Request(method="GET", target=request.target, headers=[("host", "-")]))
        self.state.send(h11.EndOfMessage())
        if rest:
            self.state.receive_data(rest)

    def invalid_response(self, reason: str) -> InvalidResponseError:
        """Return the error for an answer that is not whole."""
        return InvalidResponseError(
            f"the answer of server {self.server.id} is not usable: {reason}; "
            "repeat the request only if it may run twice"
        )

    def update_keep_alive(self, headers: dialect.Headers) -> None:
        """Remember how long the server keeps an idle connection."""
        for name, value in headers:
            if name == b"keep-alive":
                for item in value.split(b","):
                    key, _, seconds = item.strip().partition(b"=")
                    if key.lower() == b"timeout" and seconds.isdigit():
                        announced = int(seconds) - KEEP_ALIVE_MARGIN_S
                        self.keep_alive_s = min(IDLE_TIMEOUT_S, announced)

    def is_reusable(self) -> bool:
        """Return whether the exchange is complete on both sides and nothing came after it."""
        return (
            self.request_sent
            and self.state.our_state is h11.DONE
            and self.state.their_state is h11.DONE
            and not self.state.trailing_data[0]
        )

    def is_usable(self, max_idle_s: float) -> bool:
        """Return whether an idle connection is open, silent and not too old."""
        now = clock.now()
        if now >= self.idle_until or now - self.idle_since > max_idle_s:
            return False
        return not http_pool.is_readable(self.stream)

    async def close(self) -> None:
        """Close the connection at once, also while the task is being cancelled."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)


class ServerPool:
    """The idle connections to one backend server."""

    def __init__(self, server: servers.BackendServer):
        self.server = server
        self.idle: collections.deque[Connection] = collections.deque()
        self.opened = 0

    async def acquire(self, max_idle_s: float) -> Connection:
        """Return an idle connection, or open one.

        Raises
        ------
        ServerUnreachableError
            When the server accepts no connection.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(max_idle_s):
                connection.is_reused = True
                return connection
            await connection.close()
        return await self.open()

    async def open(self) -> Connection:
        """Open a connection."""
        try:
            host, port = peer_connections.split_address(self.server.address)
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream = await anyio.connect_tcp(host, port)
        except (TimeoutError, exceptions.PeerError, *http_pool.CONNECTION_ERRORS) as error:
            raise ServerUnreachableError(
                f"server {self.server.id} accepts no connection "
                f"({type(error).__name__}); another one is used"
            ) from error
        self.opened += 1
        return Connection(self.server, stream)

    async def release(self, connection: Connection, max_idle_connections: int) -> None:
        """Keep a connection for another request, or close it."""
        if not connection.is_reusable() or len(self.idle) >= max_idle_connections:
            await connection.close()
            return
        connection.state.start_next_cycle()
        connection.idle_since = clock.now()
        connection.idle_until = clock.now() + connection.keep_alive_s
        self.idle.append(connection)
        while self.idle and self.idle[0].idle_until <= clock.now():
            await self.idle.popleft().close()

    async def close(self) -> None:
        """Close the idle connections."""
        while self.idle:
            await self.idle.pop().close()
