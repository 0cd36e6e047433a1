"""Thrift connections between nodes: one task for each partner and each accepted connection."""

import collections.abc
import contextlib
import dataclasses
import logging
import ssl
import typing

import anyio
import anyio.abc
import anyio.streams.tls

from dogwoodgap import events, exceptions, frames, peer_connections
from dogwoodgap_wire import ttypes

SERVER_IDLE_TIMEOUT_S = 10.0
MAX_RECONNECT_DELAY_S = 1.0
MAX_HANDLERS_PER_CONNECTION = 64

Handler = collections.abc.Callable[[ttypes.Member, typing.Any], collections.abc.Awaitable[object]]
M = typing.TypeVar("M")


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(typing.Generic[M]):
    """An answer and the node that gave it, as its ``Hello`` said."""

    sender: ttypes.Member
    message: M


class Handlers:
    """Table of functions that answer messages, by message class."""

    def __init__(self) -> None:
        self.table: dict[type, Handler] = {}
        self.register(ttypes.Heartbeat, self.on_heartbeat)

    def register(self, kind: type, handler: Handler) -> None:
        """Answer messages of a class with ``await handler(sender, message)``."""
        self.table[kind] = handler

    async def on_heartbeat(self, sender: ttypes.Member, message: ttypes.Heartbeat) -> ttypes.Ack:
        """Answer a heartbeat."""
        return ttypes.Ack(ok=True)

    async def dispatch(self, sender: ttypes.Member, message: typing.Any) -> typing.Any:
        """Return the reply to a message; a refusal is ``Ack(ok=False)``."""
        handler = self.table.get(type(message))
        if handler is None:
            return ttypes.Ack(ok=False)
        try:
            return await handler(sender, message)
        except Exception as error:  # a faulty message must not end the listener
            events.emit(
                events.Event.PEER_HANDLER_FAILED,
                "a message of another node was refused",
                level=logging.WARNING,
                kind=type(message).__name__,
                sender=sender.node,
                detail=repr(error),
            )
            return ttypes.Ack(ok=False)


class Network(typing.Protocol):
    """How a node reaches others; tests replace it by one in memory."""

    handlers: Handlers
    hello: collections.abc.Callable[[], ttypes.Member]

    async def request(
        self,
        address: str,
        message: typing.Any,
        expect: type[M],
        *,
        timeout_s: float,
        fresh: bool = False,
    ) -> Reply[M]:
        """Send a message and return the reply; ``fresh`` demands a new connection."""

    def set_partners(self, addresses: collections.abc.Iterable[str]) -> None:
        """Keep connections to these addresses and to no others."""


def check_reply_type(sender: ttypes.Member, message: typing.Any, expect: type[M]) -> Reply[M]:
    """Return a reply of the expected class or raise :class:`exceptions.PeerError`."""
    if isinstance(message, expect):
        return Reply(sender, message)
    raise exceptions.PeerError(
        f"node {sender.node} answered {type(message).__name__} instead of {expect.__name__}; "
        "see its log"
    )


class Peer:
    """The kept connection to one partner, replaced whenever it ends or goes silent."""

    def __init__(self, network: "PeerNetwork", address: str):
        self.network = network
        self.address = address
        self.connection: peer_connections.Connection | None = None
        self.connected = anyio.Event()
        self.wanted = anyio.Event()
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        delay = 0.0
        with self.scope:
            while True:
                with anyio.move_on_after(delay):
                    await self.wanted.wait()
                self.wanted = anyio.Event()
                opened = await self.run_connection()
                delay = 0.05 if opened else min(max(delay, 0.05) * 2, MAX_RECONNECT_DELAY_S)

    async def run_connection(self) -> bool:
        """Run one connection to its end and return whether it could be opened."""
        opened = False
        try:
            async with self.network.open(self.address) as connection:
                opened = True
                self.connection = connection
                self.connected.set()
                try:
                    await connection.run()
                finally:
                    connection.fail_pending()
                    self.discard(connection)
        except peer_connections.CONNECTION_ERRORS:
            pass
        except exceptions.FrameMalformedError as error:
            log_malformed_frame(self.address, error)
        except exceptions.PeerUnreachableError:
            return False
        if opened:
            events.emit(
                events.Event.PEER_CONNECTION_REPLACED,
                "connection to a node ended; a new one is opened",
                address=self.address,
            )
        return opened

    def replace(self) -> None:
        """End the present connection so that the next request uses a fresh one."""
        if self.connection is not None:
            self.connection.scope.cancel()
            self.discard(self.connection)

    def discard(self, connection: peer_connections.Connection) -> None:
        """Make requests wait for the next connection; only once for each connection."""
        if self.connection is connection:
            self.connection = None
            self.connected = anyio.Event()

    async def request(self, message: typing.Any) -> tuple[ttypes.Member, typing.Any]:
        """Send over the kept connection, waiting for one if necessary."""
        self.wanted.set()
        while self.connection is None:
            await self.connected.wait()
        connection = self.connection
        return connection.remote, await connection.request(message)


def log_malformed_frame(address: str, error: exceptions.FrameMalformedError) -> None:
    """Log that a connection is closed for a malformed frame."""
    events.emit(
        events.Event.PEER_FRAME_MALFORMED,
        "malformed frame; the connection is closed",
        level=logging.WARNING,
        address=address,
        detail=error.detail,
    )


class PeerNetwork:
    """Connections of one node over TCP, with TLS when contexts are given.

    Parameters
    ----------
    bind : str
        ``host:port`` of the listener.
    tasks : anyio.abc.TaskGroup
        Where the tasks of partners run.
    server_tls, client_tls : ssl.SSLContext, optional
        Contexts of accepted and of opened connections.
    """

    def __init__(
        self,
        bind: str,
        tasks: anyio.abc.TaskGroup,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ):
        self.bind = bind
        self.tasks = tasks
        self.server_tls = server_tls
        self.client_tls = client_tls
        self.handlers = Handlers()
        self.hello = lambda: ttypes.Member(node="", boot="")
        self.peers: dict[str, Peer] = {}
        self.traffic = peer_connections.Traffic()

    async def request(
        self,
        address: str,
        message: typing.Any,
        expect: type[M],
        *,
        timeout_s: float,
        fresh: bool = False,
    ) -> Reply[M]:
        """Send a message and return the reply.

        Raises
        ------
        PeerUnreachableError
            When there is no connection or no reply within ``timeout_s``.
        PeerError
            When the other node refused.
        """
        peer = self.peers.get(address)
        try:
            with anyio.fail_after(timeout_s):
                if peer is None:
                    sender, reply = await self.request_unpooled(address, message)
                else:
                    if fresh:
                        peer.replace()
                    sender, reply = await peer.request(message)
        except peer_connections.CONNECTION_ERRORS as error:
            raise exceptions.PeerUnreachableError(
                f"node at {address} gave no reply in {timeout_s} s; try another node"
            ) from error
        return check_reply_type(sender, reply, expect)

    async def request_unpooled(
        self, address: str, message: typing.Any
    ) -> tuple[ttypes.Member, typing.Any]:
        """Send one request over a short connection."""
        async with self.open(address) as connection, anyio.create_task_group() as tasks:
            tasks.start_soon(self.read_replies, connection)
            reply = None
            with contextlib.suppress(*peer_connections.CONNECTION_ERRORS):
                reply = await connection.request(message)
            connection.scope.cancel()
        if reply is None:
            raise anyio.BrokenResourceError
        return connection.remote, reply

    async def read_replies(self, connection: peer_connections.Connection) -> None:
        """Read the replies of a short connection and fail its request when it ends."""
        try:
            await connection.run()
        except peer_connections.CONNECTION_ERRORS:
            pass
        except exceptions.FrameMalformedError as error:
            log_malformed_frame("short connection", error)
        connection.fail_pending()

    def open(
        self, address: str
    ) -> contextlib.AbstractAsyncContextManager[peer_connections.Connection]:
        """Return a context that opens a connection and exchanges ``Hello``."""
        return peer_connections.connect(address, self.hello(), self.traffic, self.client_tls)

    def set_partners(self, addresses: collections.abc.Iterable[str]) -> None:
        """Start and stop the tasks of partners."""
        wanted = set(addresses)
        for address in self.peers.keys() - wanted:
            self.peers.pop(address).scope.cancel()
        for address in sorted(wanted - self.peers.keys()):
            self.peers[address] = Peer(self, address)
            self.tasks.start_soon(self.peers[address].run)

    async def serve(self, *, task_status: anyio.abc.TaskStatus[int]) -> None:
        """Accept connections until cancelled; the start value is the port."""
        host, port = peer_connections.split_address(self.bind)
        multi = await anyio.create_tcp_listener(local_host=host, local_port=port)
        listener: anyio.abc.Listener = multi
        if self.server_tls is not None:
            listener = anyio.streams.tls.TLSListener(
                multi, self.server_tls, standard_compatible=False
            )
        async with listener:
            task_status.started(multi.extra(anyio.abc.SocketAttribute.local_port))
            await listener.serve(self.serve_stream)

    async def serve_stream(self, stream: anyio.abc.ByteStream) -> None:
        """Answer the requests of one accepted connection."""
        accepted = AcceptedConnection(self, stream)
        try:
            async with stream, anyio.create_task_group() as tasks:
                await accepted.run(tasks)
        except* peer_connections.CONNECTION_ERRORS:
            pass
        except* exceptions.FrameMalformedError as group:
            log_malformed_frame("accepted connection", group.exceptions[0])


class AcceptedConnection:
    """One accepted connection."""

    def __init__(self, network: PeerNetwork, stream: anyio.abc.ByteStream):
        self.network = network
        self.stream = stream
        self.sender: ttypes.Member | None = None
        self.buffer = frames.FrameBuffer()
        self.send_lock = anyio.Lock()
        self.handlers = anyio.Semaphore(MAX_HANDLERS_PER_CONNECTION)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Read requests and start their handlers until the connection ends or stays silent."""
        while True:
            with anyio.fail_after(SERVER_IDLE_TIMEOUT_S):
                data = await self.stream.receive()
            self.network.traffic.received_bytes += len(data)
            self.buffer.feed(data)
            while (frame := self.buffer.next()) is not None:
                await self.handlers.acquire()
                tasks.start_soon(self.answer, frame, self.identify(frame))

    def identify(self, frame: frames.Frame) -> ttypes.Member:
        """Return the sender; the first frame has to be its ``Hello``."""
        if isinstance(frame.message, ttypes.Hello):
            member = frame.message.member
            self.sender = member if member is not None and member.node and member.boot else None
        if self.sender is None:
            raise exceptions.FrameMalformedError(
                "the first frame is no Hello that names node and boot; send Hello first"
            )
        return self.sender

    async def answer(self, frame: frames.Frame, sender: ttypes.Member) -> None:
        """Answer one request."""
        try:
            if isinstance(frame.message, ttypes.Hello):
                reply = ttypes.Hello(
                    member=self.network.hello(), protocol_version=frames.PROTOCOL_VERSION
                )
            else:
                reply = await self.network.handlers.dispatch(sender, frame.message)
            data = frames.encode(frame.request_id, reply, reply=True)
            async with self.send_lock:
                await self.stream.send(data)
            self.network.traffic.sent_bytes += len(data)
        finally:
            self.handlers.release()
