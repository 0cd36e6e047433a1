"""An httpx transport for one backend server: HTTP/1.1 by h11 over anyio sockets.

The connection pool of httpcore asks the kernel about every idle connection at the start and at
the end of each request, and hands each chunk of an answer through five layers. Here a request
looks at one connection only, and all chunks that one network read has brought are one piece.
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
"""Idle connections are closed after this time, as servers often do after five seconds."""

READ_BYTES = 65_536
CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


def is_readable(stream: anyio.abc.ByteStream) -> bool:
    """Return whether the kernel holds bytes or an end for a connection that expects neither."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    poll = select.poll()
    poll.register(raw, select.POLLIN)
    return bool(poll.poll(0))


@dataclasses.dataclass(slots=True)
class PooledConnection:
    """One connection; ``idle_until`` is set while nobody uses it."""

    stream: anyio.abc.ByteStream
    state: h11.Connection = dataclasses.field(default_factory=lambda: h11.Connection(h11.CLIENT))
    idle_until: float = 0.0

    async def send(self, request: httpx.Request, timeout_s: float | None) -> None:
        """Write a request."""
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
            raise httpx.WriteTimeout("the server reads nothing", request=request) from error
        except CONNECTION_ERRORS as error:
            raise httpx.WriteError(str(error), request=request) from error

    async def read(self, timeout_s: float | None) -> None:
        """Read what has arrived."""
        data = None
        # The scope is used directly, since ``fail_after`` costs as much as reading a token.
        deadline = math.inf if timeout_s is None else clock.now() + timeout_s
        with anyio.CancelScope(deadline=deadline):
            data = await self.receive()
        if data is None:
            raise httpx.ReadTimeout("the server sends nothing")
        self.state.receive_data(data)

    async def receive(self) -> bytes:
        """Return what has arrived, or nothing at the end of the stream."""
        try:
            return await self.stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""
        except CONNECTION_ERRORS as error:
            raise httpx.ReadError(str(error)) from error

    async def read_head(self, timeout_s: float | None) -> h11.Response:
        """Return status and headers of the answer."""
        while True:
            event = self.next_event()
            if isinstance(event, h11.Response):
                return event
            if event is h11.NEED_DATA:
                await self.read(timeout_s)
            elif not isinstance(event, h11.InformationalResponse):
                raise httpx.RemoteProtocolError("the server closed the connection unanswered")

    def next_event(self) -> typing.Any:
        """Return the next event of the protocol."""
        try:
            return self.state.next_event()
        except h11.RemoteProtocolError as error:
            raise httpx.RemoteProtocolError(str(error)) from error

    def is_usable(self) -> bool:
        """Return whether an idle connection is still open; a closed one is readable."""
        return self.idle_until >= clock.now() and not is_readable(self.stream)

    def is_reusable(self) -> bool:
        """Return whether both sides are done and allow another request."""
        return self.state.our_state is h11.DONE and self.state.their_state is h11.DONE

    async def close(self) -> None:
        """Close the connection at once, also while the task is being cancelled."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)


class ResponseStream(httpx.AsyncByteStream):
    """The body of an answer; returns its connection to the pool when it was read to the end."""

    def __init__(
        self, pool: "ConnectionPool", connection: PooledConnection, timeout_s: float | None
    ):
        self.pool = pool
        self.connection = connection
        self.timeout_s = timeout_s
        self.open = True

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield everything that one network read has brought as one piece."""
        connection = self.connection
        while True:
            parts: list[bytes] = []
            broken: httpx.RemoteProtocolError | None = None
            event: typing.Any = None
            try:
                while isinstance(event := connection.next_event(), h11.Data):
                    parts.append(event.data)
            except httpx.RemoteProtocolError as error:
                broken = error
            if parts:
                yield b"".join(parts)
            if broken is not None:
                raise broken
            if event is not h11.NEED_DATA:
                return
            await connection.read(self.timeout_s)

    async def aclose(self) -> None:
        """Give the connection back, or close it when the answer was not read to its end."""
        if self.open:
            self.open = False
            await self.pool.release(self.connection)


class ConnectionPool(httpx.AsyncBaseTransport):
    """Connections to one server.

    Parameters
    ----------
    tls : ssl.SSLContext, optional
        For https addresses.
    max_idle : int
        Idle connections that are kept.
    """

    def __init__(self, tls: ssl.SSLContext | None = None, max_idle: int = 20):
        self.tls = tls
        self.max_idle = max_idle
        self.idle: collections.deque[PooledConnection] = collections.deque()
        self.closed = False

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request and return the answer with its body still to be read."""
        limits = request.extensions.get("timeout", {})
        connection = await self.acquire() or await self.connect(request, limits.get("connect"))
        try:
            trace = request.extensions.get("trace")
            if trace is not None:
                await trace("http11.send_request_headers.started", request)
            await connection.send(request, limits.get("write"))
            head = await connection.read_head(limits.get("read"))
        except BaseException:
            await connection.close()
            raise
        body = ResponseStream(self, connection, limits.get("read"))
        return httpx.Response(
            head.status_code,
            headers=head.headers.raw_items(),
            stream=body,
            extensions={"http_version": b"HTTP/1.1"},
        )

    async def acquire(self) -> PooledConnection | None:
        """Return the idle connection that was used last, if one is still open."""
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            await connection.close()
        return None

    async def connect(self, request: httpx.Request, timeout_s: float | None) -> PooledConnection:
        """Open a connection."""
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
            raise httpx.ConnectTimeout("the server did not accept", request=request) from error
        except CONNECTION_ERRORS as error:
            raise httpx.ConnectError(str(error), request=request) from error
        return PooledConnection(stream)

    async def release(self, connection: PooledConnection) -> None:
        """Keep a connection for the next request, or close it."""
        now = clock.now()
        if self.closed or not connection.is_reusable():
            await connection.close()
            return
        connection.state.start_next_cycle()
        connection.idle_until = now + KEEP_ALIVE_S
        self.idle.append(connection)
        # Other tasks may take connections while this one closes some.
        while self.idle and (len(self.idle) > self.max_idle or self.idle[0].idle_until < now):
            await self.idle.popleft().close()

    async def aclose(self) -> None:
        """Close the idle connections now and the others when their answers end."""
        self.closed = True
        while self.idle:
            await self.idle.popleft().close()
