"""An httpx transport with a connection pool for one server: HTTP/1.1 by h11 over anyio sockets.

The connection pool of httpcore polls every idle connection at the start and end of each request
and passes each chunk of a response through five layers. Here a request polls only the connection
that it uses, and all chunks received in one network read are yielded as one piece.
"""

import collections
import collections.abc
import dataclasses
import math
import select
import ssl
import typing

import anyio
import anyio.abc
import h11
import httpx

from dogwoodgap import clock

KEEP_ALIVE_S = 5.0
"""Idle time after which a connection is closed; servers often close after five seconds."""

MAX_STATUS = 599
"""Largest status of a response; larger ones are invalid (RFC 9110, section 15)."""

READ_BYTES = 65_536
CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


def is_readable(stream: anyio.abc.ByteStream) -> bool:
    """Return whether the socket has unread data or was closed by the peer, without blocking."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw_socket, select.POLLIN)
    return bool(poll.poll(0))


@dataclasses.dataclass(slots=True)
class PooledConnection:
    """One connection; ``idle_until`` is set while it is idle in the pool."""

    stream: anyio.abc.ByteStream
    state: h11.Connection = dataclasses.field(default_factory=lambda: h11.Connection(h11.CLIENT))
    idle_until: float = 0.0

    async def send(self, request: httpx.Request, timeout_s: float | None) -> None:
        """Send a request."""
        body = await request.aread()
        head = h11.Request(
            method=request.method, target=request.url.raw_path, headers=request.headers.raw
        )
        data = self.state.send(head)
        if body:
            data += self.state.send(h11.Data(body))
        data += self.state.send(h11.EndOfMessage())
        try:
            with anyio.fail_after(timeout_s):
                await self.stream.send(data)
        except TimeoutError as error:
            raise httpx.WriteTimeout(
                "timed out while sending the request", request=request
            ) from error
        except CONNECTION_ERRORS as error:
            raise httpx.WriteError(str(error), request=request) from error

    async def read(self, timeout_s: float | None) -> None:
        """Receive data and pass it to h11; raises httpx.ReadTimeout."""
        data = None
        # ``CancelScope`` instead of ``fail_after``, which costs as much as reading a token.
        deadline = math.inf if timeout_s is None else clock.now() + timeout_s
        with anyio.CancelScope(deadline=deadline):
            data = await self.receive()
        if data is None:
            raise httpx.ReadTimeout("timed out while waiting for the response")
        self.state.receive_data(data)

    async def receive(self) -> bytes:
        """Return received data, or empty bytes at the end of the stream."""
        try:
            return await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except CONNECTION_ERRORS as error:
            raise httpx.ReadError(str(error)) from error

    async def read_head(self, timeout_s: float | None) -> h11.Response:
        """Return status and headers of the response."""
        while True:
            event = self.next_event()
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise httpx.RemoteProtocolError(f"status {event.status_code} is undefined")
                return event
            if event is h11.NEED_DATA:
                await self.read(timeout_s)
            elif not isinstance(event, h11.InformationalResponse):
                raise httpx.RemoteProtocolError("server closed the connection without a response")

    def next_event(self) -> typing.Any:
        """Return the next h11 event."""
        try:
            return self.state.next_event()
        except h11.RemoteProtocolError as error:
            raise httpx.RemoteProtocolError(str(error)) from error

    def is_usable(self) -> bool:
        """Return whether an idle connection is unexpired and open; a closed one is readable."""
        return self.idle_until >= clock.now() and not is_readable(self.stream)

    def is_reusable(self) -> bool:
        """Return whether request and response are complete and keep-alive is allowed."""
        return self.state.our_state is h11.DONE and self.state.their_state is h11.DONE

    async def close(self) -> None:
        """Close the connection immediately, even if the task is being cancelled."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)


class ResponseStream(httpx.AsyncByteStream):
    """A response body; closing it returns its connection to the pool if it was fully read."""

    def __init__(
        self, pool: "ConnectionPool", connection: PooledConnection, timeout_s: float | None
    ):
        self.pool = pool
        self.connection = connection
        self.timeout_s = timeout_s
        self.open = True

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield all data received in one network read as one piece."""
        connection = self.connection
        while True:
            parts: list[bytes] = []
            protocol_error: httpx.RemoteProtocolError | None = None
            event: typing.Any = None
            try:
                while isinstance(event := connection.next_event(), h11.Data):
                    parts.append(event.data)
            except httpx.RemoteProtocolError as error:
                protocol_error = error
            if parts:
                yield b"".join(parts)
            if protocol_error is not None:
                raise protocol_error
            if event is not h11.NEED_DATA:
                return
            await connection.read(self.timeout_s)

    async def aclose(self) -> None:
        """Release the connection; the pool closes it if the response was not fully read."""
        if self.open:
            self.open = False
            await self.pool.release(self.connection)


class ConnectionPool(httpx.AsyncBaseTransport):
    """Connection pool for one server.

    Parameters
    ----------
    tls : ssl.SSLContext, optional
        Context for https addresses.
    max_idle : int
        Maximum number of idle connections.
    """

    def __init__(self, tls: ssl.SSLContext | None = None, max_idle: int = 20):
        self.tls = tls
        self.max_idle = max_idle
        self.idle: collections.deque[PooledConnection] = collections.deque()
        self.closed = False

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the response with an unread body."""
        timeouts = request.extensions.get("timeout", {})
        connection = await self.acquire() or await self.connect(request, timeouts.get("connect"))
        try:
            trace = request.extensions.get("trace")
            if trace is not None:
                await trace("http11.send_request_headers.started", request)
            await connection.send(request, timeouts.get("write"))
            head = await connection.read_head(timeouts.get("read"))
        except BaseException:
            await connection.close()
            raise
        body = ResponseStream(self, connection, timeouts.get("read"))
        return httpx.Response(
            head.status_code,
            headers=head.headers.raw_items(),
            stream=body,
            extensions={"http_version": b"HTTP/1.1"},
        )

    async def acquire(self) -> PooledConnection | None:
        """Return the most recently used idle connection that is still open, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            await connection.close()
        return None

    async def connect(self, request: httpx.Request, timeout_s: float | None) -> PooledConnection:
        """Open a new connection."""
        url = request.url
        secure = url.scheme == "https"
        try:
            with anyio.fail_after(timeout_s):
                stream = await anyio.connect_tcp(
                    url.host,
                    url.port or (443 if secure else 80),
                    tls=secure,
                    ssl_context=self.tls if secure else None,
                    tls_standard_compatible=False,
                )
        except TimeoutError as error:
            raise httpx.ConnectTimeout("timed out while connecting", request=request) from error
        except CONNECTION_ERRORS as error:
            raise httpx.ConnectError(str(error), request=request) from error
        return PooledConnection(stream)

    async def release(self, connection: PooledConnection) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        now = clock.now()
        if self.closed or not connection.is_reusable():
            await connection.close()
            return
        connection.state.start_next_cycle()
        connection.idle_until = now + KEEP_ALIVE_S
        self.idle.append(connection)
        # Other tasks may acquire connections while this one awaits a close.
        while self.idle and (len(self.idle) > self.max_idle or self.idle[0].idle_until < now):
            await self.idle.popleft().close()

    async def aclose(self) -> None:
        """Close idle connections now and active ones when their responses end."""
        self.closed = True
        while self.idle:
            await self.idle.popleft().close()
