"""TCP connections that hold a bounded number of bytes in this process and in the kernel.

Handles peers that send ahead and take nothing, and servers whose streams nobody takes. A transport
of uvloop reads up to 8 MB in one turn of the event loop before its task runs, and anyio queues it;
here one read of a bounded size is held until the task has taken it. Data that the peer does not
take waits in a send buffer of fixed size, then in the transport, and a peer that takes nothing of
it for a bounded time is given up.
"""

import array
import asyncio
import collections.abc
import contextlib
import dataclasses
import fcntl
import math
import socket
import struct
import termios
import typing

import anyio
import anyio.abc
import anyio.lowlevel

from dogwoodgap import caller_memory, clock

READ_BYTES = 65_536
"""Largest read, as for bodies. Each stream reads into one buffer, which is free after the read."""

FIRST_READ_BYTES = 8_192
"""Size of the read that the event loop does before the first one is asked for."""

DRAIN_CHECKS = 4
"""Looks at a connection within its timeout; a peer is given up a quarter too late at most."""

ABORT_LINGER = struct.pack("ii", 1, 0)
"""``SO_LINGER`` with which closing discards unsent data and resets the connection."""

read_buffer = memoryview(bytearray(READ_BYTES))
"""Shared by all streams of the process, as a read and the copy of its data follow directly."""


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What one connection may hold.

    Attributes
    ----------
    read_ahead_bytes : int
        Bytes of further requests that are read while one is being handled.
    send_buffer_bytes : int
        Send buffer of the socket in bytes, of which the kernel uses up to twice as much; 0 for the
        kernel's default, which grows to several MB.
    unread_timeout_s : float
        Time after which a connection is closed whose peer takes nothing of what waits for it.
    """

    read_ahead_bytes: int = 8_192
    send_buffer_bytes: int = 131_072
    unread_timeout_s: float = 2.0


OUTGOING = Bounds(send_buffer_bytes=0, unread_timeout_s=math.inf)
"""Of connections to servers, whose requests have a timeout."""


class UnreadError(anyio.BrokenResourceError):
    """The peer has taken nothing of what was sent for the timeout."""


class BoundedProtocol(asyncio.BufferedProtocol):
    """Holds the data of one read; the transport is paused until it has been taken."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport
        self.data = b""
        self.read_bytes = FIRST_READ_BYTES
        self.is_at_eof = False
        self.is_lost = False
        self.error: Exception | None = None
        self.readable = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let each write wait until the kernel has taken it."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wake the tasks that wait for the connection."""
        self.error = exc
        self.is_lost = True
        self.readable.set()
        self.writable.set()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return read_buffer[: self.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take over the data of a read, and read no more until it is taken."""
        self.data += bytes(read_buffer[:nbytes])
        self.transport.pause_reading()
        self.readable.set()

    def eof_received(self) -> bool:
        """Keep the transport open, since the peer may have closed only its sending direction."""
        self.is_at_eof = True
        self.readable.set()
        return True

    def pause_writing(self) -> None:
        """Make senders wait."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Wake senders."""
        self.writable.set()


class BoundedStream(anyio.abc.SocketStream):
    """An accepted connection.

    Parameters
    ----------
    transport : asyncio.Transport
        The transport of the connection.
    protocol : BoundedProtocol
        Its protocol.
    bounds : Bounds
        What the connection may hold.

    Attributes
    ----------
    on_blocked : callable
        Called with the bytes that wait in the transport while a send waits for the peer, and the
        time of its last progress; with 0 afterwards.
    """

    def __init__(self, transport: asyncio.Transport, protocol: BoundedProtocol, bounds: Bounds):
        self.transport = transport
        self.protocol = protocol
        self.bounds = bounds
        self.is_closed = False
        self.on_blocked: collections.abc.Callable[[int, float], None] = ignore_blocked

    @property
    def _raw_socket(self) -> socket.socket:
        return self.transport.get_extra_info("socket")

    def check(self) -> None:
        """Raise the error of a connection that is closed or broken."""
        if self.is_closed:
            raise anyio.ClosedResourceError
        if self.protocol.is_lost:
            raise anyio.BrokenResourceError from self.protocol.error

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Return data as soon as there is any, at most ``max_bytes``."""
        # A wait that is over in each turn of the event loop is never cancelled: without this check
        # the data of a peer that sends without end would be received beyond any timeout.
        await anyio.lowlevel.checkpoint_if_cancelled()
        protocol = self.protocol
        protocol.read_bytes = min(max_bytes, READ_BYTES)
        if protocol.data or protocol.is_at_eof or self.transport.is_closing():
            await anyio.lowlevel.checkpoint()
        else:
            protocol.readable.clear()
            self.transport.resume_reading()
            try:
                await protocol.readable.wait()
            finally:
                self.transport.pause_reading()
        data, protocol.data = protocol.data[:max_bytes], protocol.data[max_bytes:]
        if not data:
            if not protocol.is_at_eof or self.is_closed:
                self.check()
            raise anyio.EndOfStream
        return data

    async def send(self, item: bytes) -> None:
        """Send data; returns once the kernel has it.

        Raises
        ------
        UnreadError
            If the peer takes nothing for the timeout.
        """
        await anyio.lowlevel.checkpoint_if_cancelled()
        self.check()
        try:
            self.transport.write(item)
        except RuntimeError as error:
            if not self.transport.is_closing():
                raise
            raise anyio.BrokenResourceError from error
        if self.protocol.writable.is_set():
            await anyio.lowlevel.cancel_shielded_checkpoint()
            return
        try:
            await self.wait_drained()
        finally:
            self.on_blocked(0, 0.0)
        self.check()

    async def wait_drained(self) -> None:
        """Wait until the transport holds no data.

        Raises
        ------
        UnreadError
            If the peer takes nothing for the timeout.
        """
        detector = caller_memory.StallDetector(self.bounds.unread_timeout_s)
        while not self.protocol.writable.is_set():
            if detector.is_stalled(clock.now(), self.unsent_bytes()):
                raise UnreadError
            self.on_blocked(self.transport.get_write_buffer_size(), detector.since)
            with anyio.move_on_after(self.bounds.unread_timeout_s / DRAIN_CHECKS):
                await self.protocol.writable.wait()

    def unsent_bytes(self) -> int:
        """Return the bytes that the peer has not taken yet, in this process and in the kernel."""
        return self.transport.get_write_buffer_size() + queued_bytes(self._raw_socket)

    async def send_eof(self) -> None:
        """Close the sending direction."""
        with contextlib.suppress(OSError):  # the connection is broken already
            self.transport.write_eof()
        await anyio.lowlevel.checkpoint()

    def abort(self) -> None:
        """Close the connection at once with a reset, which frees what the kernel holds for it."""
        self.mark_closed()
        abort(self.transport)

    async def aclose(self) -> None:
        """Close the connection; unsent data of the transport is discarded."""
        self.mark_closed()
        self.transport.abort()
        await anyio.lowlevel.checkpoint()

    def mark_closed(self) -> None:
        """Refuse further use, and drop the callback, whose owner holds this stream.

        The reference cycle would keep the connection in memory until the garbage collection.
        """
        self.is_closed = True
        self.on_blocked = ignore_blocked


def ignore_blocked(size: int, since: float) -> None:
    """Do nothing for a send that waits."""


def abort(transport: asyncio.Transport) -> None:
    """Close a connection at once with a reset, which frees what the kernel holds for it."""
    if not transport.is_closing():
        connected = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):  # the connection is broken already
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_LINGER)
    transport.abort()


def queued_bytes(connected: socket.socket) -> int:
    """Return the bytes in the kernel that the peer has not acknowledged; 0 for a broken one."""
    count = array.array("i", [0])
    try:
        fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return count[0]


async def from_socket(connected: socket.socket, bounds: Bounds) -> anyio.abc.SocketStream:
    """Return the stream of an accepted connection.

    Raises
    ------
    OSError
        If the peer has reset the connection already.
    """
    connected.setblocking(False)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if bounds.send_buffer_bytes:
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, bounds.send_buffer_bytes)
    loop = asyncio.get_running_loop()
    connection, protocol = await loop.connect_accepted_socket(BoundedProtocol, connected)
    transport = typing.cast(asyncio.Transport, connection)
    transport.pause_reading()
    return BoundedStream(transport, protocol, bounds)


async def connect(host: str, port: int) -> anyio.abc.SocketStream:
    """Open a connection to a server; sends to it have no timeout of their own.

    Raises
    ------
    OSError
        If the server does not accept it.
    """
    loop = asyncio.get_running_loop()
    connection, protocol = await loop.create_connection(BoundedProtocol, host, port)
    transport = typing.cast(asyncio.Transport, connection)
    transport.pause_reading()
    return BoundedStream(transport, protocol, OUTGOING)
