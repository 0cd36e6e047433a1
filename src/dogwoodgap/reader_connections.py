"""Accepted connections of hypercorn, which reads from ``asyncio`` streams.

Handles callers of a node that send ahead and take no responses. hypercorn has no timeout for a
caller that does not read, and a transport of uvloop reads up to 8 MB before a stream can pause it.
"""

import asyncio
import collections.abc
import socket
import ssl
import typing

from hypercorn import events as hypercorn_events
from hypercorn.asyncio import task_group, tcp_server

from dogwoodgap import caller_memory, clock, socket_streams

READ_BYTES = 16_384
"""Largest read; it is held until hypercorn handles it."""

PAUSE_BYTES = READ_BYTES // 4
"""Limit of the stream reader, which pauses above twice as much."""


class BufferedReaderProtocol(asyncio.BufferedProtocol):
    """Passes reads of a bounded size to the protocol of a stream reader."""

    def __init__(self, inner: asyncio.StreamReaderProtocol):
        self.inner = inner
        self.read_at = clock.now()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let each write wait until the kernel has taken it."""
        # With a limit of 0, a TLS transport pauses its protocol while it holds nothing, and the
        # write that would resume it waits.
        typing.cast(asyncio.Transport, transport).set_write_buffer_limits(high=1, low=0)
        self.inner.connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on the end of the connection."""
        self.inner.connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return socket_streams.read_buffer[:READ_BYTES]

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the data of a read."""
        self.read_at = clock.now()
        self.inner.data_received(bytes(socket_streams.read_buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Pass on the end of the caller's data."""
        return self.inner.eof_received()

    def pause_writing(self) -> None:
        """Make senders wait."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Wake senders."""
        self.inner.resume_writing()


class WatchedConnection:
    """A connection and what waits in it for the caller.

    Attributes
    ----------
    reader, writer : asyncio streams
        What hypercorn uses.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        protocol: BufferedReaderProtocol,
        timeout_s: float,
    ):
        self.protocol = protocol
        self.reader = reader
        self.writer = writer
        self.detector = caller_memory.StallDetector(timeout_s)
        self.unsent_bytes = 0
        self.task = asyncio.current_task()

    def is_stalled(self, now: float) -> bool:
        """Return whether the caller took nothing of what waits for it for the timeout."""
        transport = self.writer.transport
        self.unsent_bytes = transport.get_write_buffer_size()
        waiting = self.unsent_bytes
        if waiting:
            waiting += socket_streams.queued_bytes(transport.get_extra_info("socket"))
        return self.detector.is_stalled(now, waiting)

    def is_suspect(self, now: float) -> bool:
        """Return whether requests that were sent ahead, or a response, have waited for long.

        A stream reader that is full pauses its transport; while a body is received, it goes on.
        """
        transport = typing.cast(asyncio.Transport, self.writer.transport)
        if transport.is_closing():
            return False
        waits_since = now if transport.is_reading() else self.protocol.read_at
        if transport.get_write_buffer_size():
            waits_since = min(waits_since, self.detector.since)
        return now - waits_since >= caller_memory.STALLED_AFTER_S

    def abort(self) -> None:
        """Close the connection at once, also if hypercorn still has requests of it to handle."""
        socket_streams.abort(typing.cast(asyncio.Transport, self.writer.transport))
        if self.task is not None:
            self.task.cancel()


class IdleTimer:
    """Runs the idle timeout of a connection, one at a time.

    That of hypercorn swallows a cancellation which arrives while it waits for the timeout that it
    has cancelled itself; the connection then goes on with the requests that were sent ahead.
    """

    def __init__(self) -> None:
        self.timeout: asyncio.Task[None] | None = None
        self.lock = asyncio.Lock()

    async def restart(
        self,
        tasks: task_group.TaskGroup,
        action: collections.abc.Callable[
            [], collections.abc.Coroutine[typing.Any, typing.Any, None]
        ],
    ) -> None:
        """Start the timeout anew."""
        async with self.lock:
            await self.cancel()
            self.timeout = tasks._task_group.create_task(action())

    async def stop(self) -> None:
        """Cancel the timeout and wait until it has ended."""
        async with self.lock:
            await self.cancel()

    async def cancel(self) -> None:
        """Cancel the timeout and wait until it has ended; the caller holds the lock."""
        if self.timeout is not None:
            self.timeout.cancel()
            await asyncio.wait([self.timeout])
            self.timeout = None


class ConnectionServer(tcp_server.TCPServer):
    """Serves the requests of one connection until it is closed.

    A connection that is lost ends with its running request. hypercorn also handles the requests
    that were sent ahead, whose responses nobody can take.
    """

    def __init__(self, *args: typing.Any):
        super().__init__(*args)
        self.idle_task = IdleTimer()
        self.reading: asyncio.Task[None] | None = None

    async def protocol_send(self, event: hypercorn_events.Event) -> None:
        """Send the data of a response, or take in that the connection is idle or closed."""
        is_idle = isinstance(event, hypercorn_events.Updated) and event.idle
        if is_idle and self.writer.is_closing() and self.reading is not None:
            self.reading.cancel()
            return
        await super().protocol_send(event)

    async def _read_data(self) -> None:
        # A task of its own can be ended while the application works on after its response.
        self.reading = self._task_group._task_group.create_task(super()._read_data())
        await asyncio.wait([self.reading])


async def open_accepted(
    connected: socket.socket,
    bounds: socket_streams.Bounds,
    context: ssl.SSLContext | None,
    handshake_timeout_s: float | None,
) -> WatchedConnection:
    """Return the streams of an accepted connection.

    Raises
    ------
    OSError
        If the caller has reset it, or the TLS handshake failed.
    """
    loop = asyncio.get_running_loop()
    connected.setblocking(False)
    if bounds.send_buffer_bytes:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, bounds.send_buffer_bytes)
    reader = asyncio.StreamReader(limit=PAUSE_BYTES, loop=loop)
    inner = asyncio.StreamReaderProtocol(reader, loop=loop)
    transport, protocol = await loop.connect_accepted_socket(
        lambda: BufferedReaderProtocol(inner),
        connected,
        ssl=context,
        ssl_handshake_timeout=handshake_timeout_s,
    )
    writer = asyncio.StreamWriter(transport, inner, reader, loop)
    return WatchedConnection(reader, writer, protocol, bounds.unread_timeout_s)
