"""Thrift connections between nodes, with one task per partner and per accepted connection."""

import collections.abc
import contextlib
import dataclasses
import functools
import logging
import math
import ssl
import typing

import anyio
import anyio.abc
import anyio.streams.tls

from dogwoodgap import (
    accepted_peers,
    caller_memory,
    clock,
    closed_callers,
    connection_limits,
    events,
    exceptions,
    listeners,
    peer_connections,
    settings,
    socket_streams,
)
from dogwoodgap_wire import ttypes

MAX_RECONNECT_DELAY_S = 1.0
ROOM_POLL_INTERVAL_S = 0.02
"""Interval at which a full listener checks whether a connection has ended."""

KEEP_IDLE_S = 2.0
"""Idle time after which a connection to a node that is not a partner is closed. It spans a model
turn, whose reservation and settlement go to the same node. Without heartbeats a dead connection is
only noticed by a request, so it is not kept for longer."""

Handler = collections.abc.Callable[[ttypes.Member, typing.Any], collections.abc.Awaitable[object]]
MessageT = typing.TypeVar("MessageT")


@dataclasses.dataclass(frozen=True, slots=True)
class Reply(typing.Generic[MessageT]):
    """A reply message and its sender, as named in the sender's ``Hello``."""

    sender: ttypes.Member
    message: MessageT


class Handlers:
    """Registry of message handlers by message class."""

    def __init__(self) -> None:
        self.by_type: dict[type, Handler] = {}
        self.register(ttypes.Heartbeat, self.on_heartbeat)

    def register(self, message_type: type, handler: Handler) -> None:
        """Register a handler for a message class; it returns the reply message."""
        self.by_type[message_type] = handler

    async def on_heartbeat(self, sender: ttypes.Member, message: ttypes.Heartbeat) -> ttypes.Ack:
        """Reply to a heartbeat."""
        return ttypes.Ack(ok=True)

    async def dispatch(self, sender: ttypes.Member, message: typing.Any) -> typing.Any:
        """Return the handler's reply, or ``Ack(ok=False)`` when there is none or it fails."""
        handler = self.by_type.get(type(message))
        if handler is None:
            return ttypes.Ack(ok=False)
        try:
            return await handler(sender, message)
        except Exception as error:  # an invalid message must not stop the listener
            events.emit(
                events.Event.PEER_HANDLER_FAILED,
                "handling a message from another node failed",
                level=logging.WARNING,
                kind=type(message).__name__,
                sender=sender.node,
                detail=repr(error),
            )
            return ttypes.Ack(ok=False)


class Network(typing.Protocol):
    """Interface to other nodes; tests use an in-memory implementation."""

    handlers: Handlers
    hello: collections.abc.Callable[[], ttypes.Member]

    async def request(
        self,
        address: str,
        message: typing.Any,
        reply_type: type[MessageT],
        *,
        timeout_s: float,
        reconnect: bool = False,
    ) -> Reply[MessageT]:
        """Send a message and return the reply; ``reconnect`` forces a new connection."""

    def set_partners(self, addresses: collections.abc.Iterable[str]) -> None:
        """Keep persistent connections to exactly these addresses."""


def check_reply_type(
    sender: ttypes.Member, message: typing.Any, reply_type: type[MessageT]
) -> Reply[MessageT]:
    """Return a reply of the expected class or raise :class:`exceptions.PeerError`."""
    if isinstance(message, reply_type):
        return Reply(sender, message)
    raise exceptions.PeerError(
        f"node {sender.node} answered {type(message).__name__} instead of {reply_type.__name__}; "
        "see the log of that node"
    )


class Peer:
    """Persistent connection to one partner, reopened whenever it ends or times out."""

    def __init__(self, network: "PeerNetwork", address: str):
        self.network = network
        self.address = address
        self.connection: peer_connections.Connection | None = None
        self.connected = anyio.Event()
        self.connect_requested = anyio.Event()
        self.scope = anyio.CancelScope()

    async def run(self) -> None:
        """Keep a connection open until cancelled."""
        delay = 0.0
        with self.scope:
            while True:
                with anyio.move_on_after(delay):
                    await self.connect_requested.wait()
                self.connect_requested = anyio.Event()
                opened = await self.run_connection()
                delay = 0.05 if opened else min(max(delay, 0.05) * 2, MAX_RECONNECT_DELAY_S)

    async def run_connection(self) -> bool:
        """Open a connection and serve it until it ends; return whether it could be opened."""
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
                "connection to a node ended; reconnecting",
                address=self.address,
            )
        return opened

    def replace(self) -> None:
        """Close the current connection so that the next request uses a new one."""
        if self.connection is not None:
            self.connection.scope.cancel()
            self.discard(self.connection)

    def replace_if_silent(self, since: float) -> None:
        """Close the current connection if it has received nothing since a time."""
        if self.connection is not None and self.connection.last_received_at <= since:
            self.replace()

    def discard(self, connection: peer_connections.Connection) -> None:
        """Make requests wait for the next connection, unless it already replaced this one."""
        if self.connection is connection:
            self.connection = None
            self.connected = anyio.Event()

    async def request(self, message: typing.Any) -> tuple[ttypes.Member, typing.Any]:
        """Send over the persistent connection, waiting until it is open."""
        self.connect_requested.set()
        while self.connection is None:
            await self.connected.wait()
        connection = self.connection
        return connection.remote, await connection.request(message)


class ShortLivedPeer:
    """Connection to a node that is not a partner; it is closed once it is idle."""

    def __init__(self, network: "PeerNetwork", address: str):
        self.network = network
        self.address = address
        self.connection: peer_connections.Connection | None = None
        self.opened = anyio.Event()

    async def run(self) -> None:
        """Open the connection and serve it until it ends or is idle."""
        try:
            async with self.network.open(self.address) as self.connection:
                self.opened.set()
                try:
                    await self.connection.run_until_idle(self.network.keep_idle_s)
                finally:
                    # Before the connection closes, which lets other tasks run.
                    self.network.forget(self)
        except (*peer_connections.CONNECTION_ERRORS, exceptions.PeerUnreachableError):
            pass
        except exceptions.FrameMalformedError as error:
            log_malformed_frame(self.address, error)
        finally:
            self.network.forget(self)
            if self.connection is not None:
                self.connection.fail_pending()
            self.opened.set()

    async def request(self, message: typing.Any) -> tuple[ttypes.Member, typing.Any]:
        """Send a message once the connection is open; after a failure it takes no further ones."""
        is_answered = False
        try:
            await self.opened.wait()
            if self.connection is None:
                raise anyio.BrokenResourceError
            reply = await self.connection.request(message)
            is_answered = True
        finally:
            if not is_answered:
                self.network.forget(self)
        return self.connection.remote, reply


def log_malformed_frame(address: str, error: exceptions.FrameMalformedError) -> None:
    """Log that a connection is closed because of a malformed frame."""
    events.emit(
        events.Event.PEER_FRAME_MALFORMED,
        "malformed frame received; connection closed",
        level=logging.WARNING,
        address=address,
        detail=error.detail,
    )


class PeerNetwork:
    """TCP connections of one node, with TLS when SSL contexts are given.

    Parameters
    ----------
    bind : str
        ``host:port`` of the listener.
    tasks : anyio.abc.TaskGroup
        Runs the tasks of the persistent connections.
    server_tls, client_tls : ssl.SSLContext, optional
        SSL contexts of accepted and of outgoing connections.

    Attributes
    ----------
    large_frames : anyio.Semaphore or None
        Bounds how many large requests are received and answered at a time, to bound memory.
    keep_idle_s : float
        Idle time after which a connection to a node that is not a partner is closed, in seconds.
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
        self.bind_timeout_s = 0.0
        self.large_frames: anyio.Semaphore | None = None
        self.keep_idle_s = KEEP_IDLE_S
        self.max_connections = math.inf
        self.bounds = socket_streams.Bounds()
        self.accepted: dict[accepted_peers.AcceptedConnection, None] = {}
        self.room = anyio.Event()
        self.handlers = Handlers()
        self.hello = lambda: ttypes.Member(node="", boot="")
        self.peers: dict[str, Peer] = {}
        self.short_lived: dict[str, ShortLivedPeer] = {}
        self.traffic = peer_connections.Traffic()

    def limit_connections(self, section: settings.ConnectionsSection) -> None:
        """Apply the settings for accepted connections."""
        self.bounds = connection_limits.bounds(section)
        self.max_connections = connection_limits.max_connections(
            section.max_peer_connections, connection_limits.PEER_SHARE
        )

    async def request(
        self,
        address: str,
        message: typing.Any,
        reply_type: type[MessageT],
        *,
        timeout_s: float,
        reconnect: bool = False,
    ) -> Reply[MessageT]:
        """Send a message and return the reply.

        The connection to an address that is not a partner is closed once it is idle.

        Raises
        ------
        PeerUnreachableError
            When there is no connection or no reply within ``timeout_s``.
        PeerError
            When the reply has another type, such as the ``Ack`` of a refusal.
        """
        peer = self.peers.get(address)
        started_at = clock.now()
        try:
            with anyio.fail_after(timeout_s):
                if peer is None:
                    short_lived = self.short_lived_peer(address, reconnect=reconnect)
                    sender, reply = await short_lived.request(message)
                else:
                    if reconnect:
                        peer.replace()
                    sender, reply = await peer.request(message)
        except peer_connections.CONNECTION_ERRORS as error:
            if peer is not None and isinstance(error, TimeoutError):
                peer.replace_if_silent(started_at)
            raise exceptions.PeerUnreachableError(
                f"node at {address} did not reply within {timeout_s} s; try another node"
            ) from error
        return check_reply_type(sender, reply, reply_type)

    def short_lived_peer(self, address: str, *, reconnect: bool) -> ShortLivedPeer:
        """Return the open connection to a node that is not a partner, or open one."""
        peer = self.short_lived.get(address)
        if peer is None or reconnect:
            peer = self.short_lived[address] = ShortLivedPeer(self, address)
            self.tasks.start_soon(peer.run)
        return peer

    def forget(self, peer: ShortLivedPeer) -> None:
        """Use a connection for no further requests."""
        if self.short_lived.get(peer.address) is peer:
            del self.short_lived[peer.address]

    def open(
        self, address: str
    ) -> contextlib.AbstractAsyncContextManager[peer_connections.Connection]:
        """Return a context manager that opens a connection and exchanges ``Hello``."""
        opener = functools.partial(self.open_stream, address)
        return peer_connections.connect(opener, self.hello(), self.traffic)

    async def open_stream(self, address: str) -> anyio.abc.ByteStream:
        """Open a stream to another node."""
        return await peer_connections.open_stream(address, self.client_tls)

    def set_partners(self, addresses: collections.abc.Iterable[str]) -> None:
        """Keep persistent connections to exactly these addresses."""
        partners = set(addresses)
        for address in self.peers.keys() - partners:
            self.peers.pop(address).scope.cancel()
        for address in sorted(partners - self.peers.keys()):
            self.peers[address] = Peer(self, address)
            self.tasks.start_soon(self.peers[address].run)

    async def serve(self, *, task_status: anyio.abc.TaskStatus[int]) -> None:
        """Accept connections until cancelled; reports the bound port as the start value."""
        tcp_listener = await listeners.open_listener(
            self.bind, self.bind_timeout_s, self.make_room, self.bounds
        )
        listener: anyio.abc.Listener = tcp_listener
        if self.server_tls is not None:
            listener = anyio.streams.tls.TLSListener(
                tcp_listener, self.server_tls, standard_compatible=False
            )
        async with listener:
            task_status.started(tcp_listener.extra(anyio.abc.SocketAttribute.local_port))
            await listener.serve(self.serve_stream)

    async def serve_stream(self, stream: anyio.abc.ByteStream) -> None:
        """Serve the requests of one accepted connection."""
        accepted = accepted_peers.AcceptedConnection(self, stream)
        self.accepted[accepted] = None
        try:
            async with stream, anyio.create_task_group() as tasks:
                with accepted.scope:
                    await accepted.run(tasks)
                tasks.cancel_scope.cancel()
        except* socket_streams.UnreadError:
            closed_callers.closed.record(caller_memory.Reason.UNREAD, 0, self.bind)
        except* peer_connections.CONNECTION_ERRORS:
            pass
        except* exceptions.FrameMalformedError as group:
            log_malformed_frame("accepted connection", group.exceptions[0])
        finally:
            self.accepted.pop(accepted, None)
            self.room.set()

    async def make_room(self) -> None:
        """Wait until a connection may be accepted, and close another one for it.

        That is one that takes no replies, or else the one that has sent nothing for longest.
        """
        while len(self.accepted) >= self.max_connections:
            if not any(one.scope.cancel_called for one in self.accepted):
                chosen = min(self.accepted, key=lambda one: (not one.is_blocked, one.used_at))
                closed_callers.closed.record(caller_memory.Reason.ROOM, 0, self.bind)
                chosen.scope.cancel()
            self.room = anyio.Event()
            with anyio.move_on_after(ROOM_POLL_INTERVAL_S):
                await self.room.wait()
