"""Client side of one connection to another node: requests, replies and heartbeats."""

import collections.abc
import contextlib
import dataclasses
import itertools
import ssl
import typing

import anyio
import anyio.abc

from dogwoodgap import clock, exceptions, frames
from dogwoodgap_wire import ttypes

HEARTBEAT_INTERVAL_S = 2.0
SILENCE_TIMEOUT_S = 5.0
"""A connection that received nothing for this long is closed; this spans two heartbeats. A request
on a dead connection fails earlier, by its own timeout, and the next one opens a new connection."""

CONNECT_TIMEOUT_S = 1.0

CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    TimeoutError,
)

MAX_PORT = 65_535

StreamOpener = collections.abc.Callable[[], collections.abc.Awaitable[anyio.abc.ByteStream]]


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request waiting for its reply; ``message`` stays None when the connection ends first."""

    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    message: typing.Any = None


@dataclasses.dataclass(slots=True)
class Traffic:
    """Bytes sent and received on all connections, without TCP and TLS overhead."""

    sent_bytes: int = 0
    received_bytes: int = 0


class Connection:
    """An open connection and its requests in flight."""

    def __init__(self, stream: anyio.abc.ByteStream, traffic: Traffic):
        self.stream = stream
        self.traffic = traffic
        self.buffer = frames.FrameBuffer()
        self.pending: dict[int, PendingRequest] = {}
        self.request_ids = itertools.count(1)
        self.send_lock = anyio.Lock()
        self.scope = anyio.CancelScope()
        self.last_received_at = clock.now()
        self.last_used_at = clock.now()
        self.remote = ttypes.Member(node="", boot="")

    async def send(self, message: typing.Any, request_id: int) -> None:
        """Send one request frame; the connection is closed if a frame is sent only in part."""
        data = frames.encode(request_id, message)
        async with self.send_lock:
            sent = False
            try:
                await self.stream.send(data)
                sent = True
            finally:
                if not sent:
                    self.scope.cancel()
        self.traffic.sent_bytes += len(data)

    async def request(self, message: typing.Any) -> typing.Any:
        """Send a message and wait for its reply."""
        request_id = next(self.request_ids)
        pending = PendingRequest()
        self.pending[request_id] = pending
        try:
            await self.send(message, request_id)
            await pending.done.wait()
        finally:
            self.pending.pop(request_id, None)
            self.last_used_at = clock.now()
        if pending.message is None:
            raise anyio.BrokenResourceError
        return pending.message

    async def receive(self) -> None:
        """Read available data and complete the requests that it replies to."""
        data = await self.stream.receive()
        self.last_received_at = clock.now()
        self.traffic.received_bytes += len(data)
        self.buffer.feed(data)
        while (frame := self.buffer.next_frame()) is not None:
            pending = self.pending.get(frame.request_id)
            if frame.reply and pending is not None:
                pending.message = frame.message
                pending.done.set()

    async def handshake(self, hello: ttypes.Member) -> None:
        """Exchange ``Hello`` messages, which identify both ends."""
        pending = PendingRequest()
        self.pending[0] = pending
        greeting = ttypes.Hello(member=hello, protocol_version=frames.PROTOCOL_VERSION)
        await self.send(greeting, 0)
        while not pending.done.is_set():
            await self.receive()
        del self.pending[0]
        if not isinstance(pending.message, ttypes.Hello):
            raise exceptions.FrameMalformedError("the remote end sent no Hello; check its version")
        self.remote = pending.message.member

    async def run(self) -> None:
        """Read replies until the connection ends or times out; send heartbeats when idle."""
        heartbeat_at = clock.now() + HEARTBEAT_INTERVAL_S
        with self.scope:
            while clock.now() - self.last_received_at < SILENCE_TIMEOUT_S:
                with anyio.move_on_at(heartbeat_at):
                    await self.receive()
                if clock.now() >= heartbeat_at:
                    heartbeat_at = clock.now() + HEARTBEAT_INTERVAL_S
                    await self.heartbeat()

    async def run_until_idle(self, idle_s: float) -> None:
        """Read replies until the connection ends or no request was pending for ``idle_s``."""
        with self.scope:
            while True:
                close_at = (clock.now() if self.pending else self.last_used_at) + idle_s
                if clock.now() >= close_at:
                    return
                with anyio.move_on_at(close_at):
                    await self.receive()

    async def heartbeat(self) -> None:
        """Send a heartbeat on an idle connection; the reply updates ``last_received_at``."""
        if clock.now() - self.last_received_at >= HEARTBEAT_INTERVAL_S / 2:
            with anyio.fail_after(HEARTBEAT_INTERVAL_S):
                await self.send(ttypes.Heartbeat(), next(self.request_ids))

    def fail_pending(self) -> None:
        """Fail all requests that are still waiting for a reply."""
        for pending in self.pending.values():
            pending.done.set()


async def open_stream(address: str, tls: ssl.SSLContext | None) -> anyio.abc.ByteStream:
    """Open a TCP connection, with TLS if a context is given.

    Raises
    ------
    PeerUnreachableError
        When the address is invalid; other nodes may have sent it.
    """
    host, port = split_address(address)
    try:
        if tls is None:
            return await anyio.connect_tcp(host, port)
        return await anyio.connect_tcp(host, port, ssl_context=tls, tls_standard_compatible=False)
    except ValueError as error:  # the name cannot be encoded
        raise exceptions.PeerUnreachableError(
            f"peer address {address!r} is invalid ({error}); correct the settings of that node",
            not_run="true",
        ) from error


@contextlib.asynccontextmanager
async def connect(
    opener: StreamOpener, hello: ttypes.Member, traffic: Traffic
) -> collections.abc.AsyncIterator[Connection]:
    """Open a stream and exchange ``Hello``; on exit, close without a TLS shutdown."""
    stream: anyio.abc.ByteStream | None = None
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await opener()
            connection = Connection(stream, traffic)
            await connection.handshake(hello)
        yield connection
    finally:
        if stream is not None:
            await anyio.aclose_forcefully(stream)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    Raises
    ------
    PeerUnreachableError
        When the address has no valid port.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not port.isascii() or int(port) > MAX_PORT:
        raise exceptions.PeerUnreachableError(
            f"peer address {address!r} is not host:port; correct the settings", not_run="true"
        )
    return host.strip("[]"), int(port)
