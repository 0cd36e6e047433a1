"""An httpx transport whose reads wait a little, so that each brings several streamed tokens.

A node that relays many streams spent most of its time waking up for single tokens. The longest
pause leaves the 58 ms between tokens that callers are promised.
"""

import collections.abc
import ssl
import typing

import anyio
import httpcore
import httpx

from dogwoodgap import clock

PACE_PER_STREAM_S = 0.0002
MAX_PACE_S = 0.04
MAX_CONNECTIONS = 10_000
MAX_KEEP_ALIVE = 100
KEEP_ALIVE_S = 5.0


class Pace:
    """Pause between two reads of a connection; longer when more answers are streamed."""

    def __init__(self) -> None:
        self.streams = 0

    def seconds(self) -> float:
        """Return the present pause."""
        return min(MAX_PACE_S, self.streams * PACE_PER_STREAM_S)


class PacedStream(httpcore.AsyncNetworkStream):
    """A network stream that lets data gather between two reads of one answer."""

    def __init__(self, inner: httpcore.AsyncNetworkStream, pace: Pace):
        self.inner = inner
        self.pace = pace
        self.read_at = 0.0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return data that has arrived; the first read after a write does not wait."""
        if self.read_at:
            pause = self.read_at + self.pace.seconds() - clock.now()
            if pause > 0:
                await anyio.sleep(pause)
        data = await self.inner.read(max_bytes, timeout)
        self.read_at = clock.now()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write all data."""
        self.read_at = 0.0
        await self.inner.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the connection."""
        await self.inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Return the encrypted stream, paced as well."""
        inner = await self.inner.start_tls(ssl_context, server_hostname, timeout)
        return PacedStream(inner, self.pace)

    def get_extra_info(self, info: str) -> typing.Any:
        """Return what the inner stream knows."""
        return self.inner.get_extra_info(info)


class PacedBackend(httpcore.AsyncNetworkBackend):
    """Opens paced connections."""

    def __init__(self, pace: Pace):
        self.inner = httpcore.AnyIOBackend()
        self.pace = pace

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Any = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a connection."""
        inner = await self.inner.connect_tcp(host, port, timeout, local_address, socket_options)
        return PacedStream(inner, self.pace)

    async def sleep(self, seconds: float) -> None:
        """Sleep between connection attempts."""
        await anyio.sleep(seconds)


class PacedBody(httpx.AsyncByteStream):
    """The body of an answer; counts as a stream until it is closed."""

    def __init__(self, reply: httpcore.Response, pace: Pace):
        self.reply = reply
        self.pace = pace
        self.open = True
        pace.streams += 1

    async def __aiter__(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the pieces of the body."""
        try:
            async for part in self.reply.aiter_stream():
                yield part
        except EXCEPTIONS as error:
            raise translated(error) from error

    async def aclose(self) -> None:
        """Give the connection back or close it."""
        if self.open:
            self.open = False
            self.pace.streams -= 1
        await self.reply.aclose()


class PacedTransport(httpx.AsyncBaseTransport):
    """Transport for clients that read many streams."""

    def __init__(self, context: ssl.SSLContext | None = None):
        self.pace = Pace()
        self.pool = httpcore.AsyncConnectionPool(
            ssl_context=context,
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_KEEP_ALIVE,
            keepalive_expiry=KEEP_ALIVE_S,
            network_backend=PacedBackend(self.pace),
        )

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        """Send a request."""
        outgoing = httpcore.Request(
            method=request.method,
            url=httpcore.URL(
                scheme=request.url.raw_scheme,
                host=request.url.raw_host,
                port=request.url.port,
                target=request.url.raw_path,
            ),
            headers=request.headers.raw,
            content=request.stream,
            extensions=request.extensions,
        )
        try:
            reply = await self.pool.handle_async_request(outgoing)
        except EXCEPTIONS as error:
            raise translated(error) from error
        return httpx.Response(
            reply.status,
            headers=reply.headers,
            stream=PacedBody(reply, self.pace),
            extensions=reply.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self.pool.aclose()


EXCEPTIONS = (
    httpcore.TimeoutException,
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.UnsupportedProtocol,
    httpcore.ProxyError,
)


def translated(error: Exception) -> httpx.HTTPError:
    """Return the error of httpx that has the name of an error of httpcore."""
    kind = getattr(httpx, type(error).__name__, httpx.TransportError)
    return kind(str(error))
