"""Runs an ASGI application with hypercorn on a listener that closes before its connections do.

hypercorn's own server closes its listener and all idle connections at the same moment, among them
those that were accepted just before and whose request has not arrived yet.
"""

import asyncio
import collections.abc
import contextlib
import gc
import logging
import socket
import weakref

import anyio
import hypercorn.config
import hypercorn.utils
from hypercorn.asyncio import lifespan, worker_context
from starlette import types

from dogwoodgap import (
    caller_memory,
    clock,
    closed_callers,
    events,
    reader_connections,
    socket_streams,
)

ACCEPT_RETRY_DELAY_S = 0.1
"""Time after which accepting is tried again; running requests free descriptors meanwhile."""

ROOM_POLL_INTERVAL_S = 0.02
"""Interval at which a full server checks whether a connection has ended."""

STALL_CHECKS = 4
"""Looks at a connection within its timeout; a caller is given up a quarter too late at most."""

COLLECT_AFTER = 8
"""Closed connections after which their garbage is collected; each holds about 100 kB in cycles of
the errors that have ended it."""

CANCEL_TIMEOUT_S = 2.0
"""Maximum time for cancelled connections to end; a handler may shield its cleanup."""


class HttpServer:
    """Accepts connections and serves requests on them; see :func:`running`.

    Parameters
    ----------
    application : starlette.types.ASGIApp
        The application.
    config : hypercorn.config.Config
        Addresses, TLS context and timeouts.
    bounds : socket_streams.Bounds
        What each connection may hold.
    max_connections : float
        Connections open at a time; more wait to be accepted.

    Attributes
    ----------
    watched : set of reader_connections.WatchedConnection
        Connections whose callers may not take their responses.
    connections : set of asyncio.Task
        Tasks of the accepted connections. Plain tasks, since the task groups of hypercorn cancel
        their own task, which would cancel other scopes of anyio.
    listening : list of socket.socket
        Open listening sockets.
    aborted : weakref.WeakSet of asyncio.Task
        Tasks of connections that were closed because of their callers.
    uncollected : int
        Connections closed because of their callers since the last garbage collection.
    """

    def __init__(
        self,
        application: types.ASGIApp,
        config: hypercorn.config.Config,
        bounds: socket_streams.Bounds,
        max_connections: float,
    ):
        self.config = config
        self.bounds = bounds
        self.max_connections = max_connections
        self.watched: set[reader_connections.WatchedConnection] = set()
        self.aborted: weakref.WeakSet[asyncio.Task[None]] = weakref.WeakSet()
        self.application = hypercorn.utils.wrap_app(application, config.wsgi_max_body_size, "asgi")
        self.context = worker_context.WorkerContext(None)
        self.state: dict[str, object] = {}
        self.connections: set[asyncio.Task[None]] = set()
        self.listening: list[socket.socket] = []
        self.uncollected = 0
        self.is_failing = False
        self.is_closing = False
        self.ssl_context = config.create_ssl_context() if config.ssl_enabled else None

    def listen(self) -> None:
        """Open the listening sockets.

        Raises
        ------
        OSError
            If an address is not available.
        """
        sockets = self.config.create_sockets()
        self.listening = [*sockets.secure_sockets, *sockets.insecure_sockets]
        for listening in self.listening:
            listening.listen(self.config.backlog)
            listening.setblocking(False)

    async def accept_all(self, listening: socket.socket) -> None:
        """Accept connections until the listener closes."""
        # The cancellation alone does not end the loop while a connection waits in each turn of the
        # event loop: a task whose wait is over is not cancelled.
        while not self.is_closing:
            if len(self.connections) >= self.max_connections:
                self.make_room()
                await anyio.sleep(ROOM_POLL_INTERVAL_S)
                continue
            await anyio.wait_readable(listening)
            try:
                self.accept(listening)
            except BlockingIOError:
                continue
            except OSError as error:
                self.report_failure(error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self.is_failing = False

    def report_failure(self, error: OSError) -> None:
        """Log a failure to accept; a series of failures is logged once."""
        if not self.is_failing:
            events.emit(
                events.Event.ACCEPT_FAILED,
                "connections cannot be accepted and wait; if descriptors ran out, raise the limit "
                "of open files (LimitNOFILE)",
                level=logging.ERROR,
                address=", ".join(self.config.bind),
                detail=str(error),
            )
        self.is_failing = True

    def accept(self, listening: socket.socket) -> None:
        """Accept one connection and start its task, with no await in which it could be lost.

        Raises
        ------
        BlockingIOError
            If no connection is waiting.
        OSError
            If it cannot be accepted.
        """
        connected, _ = listening.accept()
        task = asyncio.get_running_loop().create_task(self.serve_connection(connected))
        self.connections.add(task)
        task.add_done_callback(self.forget)

    def forget(self, task: asyncio.Task[None]) -> None:
        """Remove the task of a connection that has ended; a failure has ended only this one."""
        self.connections.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if task in self.aborted:
            self.aborted.discard(task)  # it has failed because this process closed it
        elif error is not None:
            events.emit(
                events.Event.CONNECTION_FAILED,
                "unexpected error on a connection",
                level=logging.ERROR,
                detail=repr(error),
            )

    async def serve_connection(self, connected: socket.socket) -> None:
        """Serve the requests of one connection."""
        loop = asyncio.get_running_loop()
        timeout_s = self.config.ssl_handshake_timeout if self.ssl_context is not None else None
        try:
            watched = await reader_connections.open_accepted(
                connected, self.bounds, self.ssl_context, timeout_s
            )
        except OSError:  # reset by the caller, or a TLS handshake that failed
            return
        self.watched.add(watched)
        try:
            await reader_connections.ConnectionServer(
                self.application,
                loop,
                self.config,
                self.context,
                self.state,
                watched.reader,
                watched.writer,
            )
        finally:
            self.watched.discard(watched)

    def make_room(self) -> None:
        """Close the connection whose caller has sent ahead, or taken no response, for longest."""
        now = clock.now()
        suspects = [watched for watched in self.watched if watched.is_suspect(now)]
        if suspects:
            self.close_watched(
                min(suspects, key=lambda watched: watched.protocol.read_at),
                caller_memory.Reason.ROOM,
            )

    def close_watched(
        self, watched: reader_connections.WatchedConnection, reason: caller_memory.Reason
    ) -> None:
        """Close a connection at once."""
        closed_callers.closed.record(reason, watched.unsent_bytes, ", ".join(self.config.bind))
        self.uncollected += 1
        if watched.task is not None:
            self.aborted.add(watched.task)
        watched.abort()

    async def close_stalled(self) -> None:
        """Close connections whose callers do not take their responses, until cancelled.

        The garbage of closed connections is collected here as well.
        """
        while True:
            await anyio.sleep(self.bounds.unread_timeout_s / STALL_CHECKS)
            now = clock.now()
            for watched in list(self.watched):
                if watched.is_stalled(now):
                    self.close_watched(watched, caller_memory.Reason.UNREAD)
            if self.uncollected >= COLLECT_AFTER:
                self.uncollected = 0
                gc.collect()

    def close_listener(self) -> None:
        """Accept the connections that wait, whose requests may have been sent, and stop to listen.

        Without an await in between, no connection is established that would be reset.
        """
        for listening in self.listening:
            with contextlib.suppress(OSError):
                while True:
                    self.accept(listening)
            listening.close()
        self.listening.clear()

    async def close_idle_connections(self) -> None:
        """Close idle connections now, and each other one after its response."""
        await self.context.terminated.set()

    async def wait_closed(self) -> None:
        """Return when no connection is open."""
        while self.connections:
            await asyncio.wait(self.connections)

    async def cancel_connections(self) -> None:
        """Cancel all connections and wait until their tasks have ended."""
        for task in self.connections:
            task.cancel()
        with anyio.CancelScope(shield=True), anyio.move_on_after(CANCEL_TIMEOUT_S):
            await self.wait_closed()

    @contextlib.asynccontextmanager
    async def run_lifespan(self) -> collections.abc.AsyncIterator[None]:
        """Run the lifespan of the application."""
        loop = asyncio.get_running_loop()
        handler = lifespan.Lifespan(self.application, self.config, loop, self.state)
        task = loop.create_task(handler.handle_lifespan())
        try:
            await handler.wait_for_startup()
            if task.done():
                task.result()
            yield
            await handler.wait_for_shutdown()
        finally:
            task.cancel()
            with anyio.CancelScope(shield=True):
                await asyncio.wait([task])
            if not task.cancelled():
                # Retrieved, as an error that follows the cancellation would be logged.
                task.exception()


async def accept_until(server: HttpServer, closing: anyio.Event) -> None:
    """Accept connections until an event is set, then close the listener."""
    async with anyio.create_task_group() as tasks:
        for listening in server.listening:
            tasks.start_soon(server.accept_all, listening)
        tasks.start_soon(server.close_stalled)
        await closing.wait()
        server.is_closing = True
        tasks.cancel_scope.cancel()
    server.close_listener()


@contextlib.asynccontextmanager
async def running(
    application: types.ASGIApp,
    config: hypercorn.config.Config,
    bounds: socket_streams.Bounds,
    max_connections: float,
) -> collections.abc.AsyncIterator[HttpServer]:
    """Yield a server that listens; at the end, connections that are still open are cancelled."""
    server = HttpServer(application, config, bounds, max_connections)
    async with server.run_lifespan():
        server.listen()
        try:
            yield server
        finally:
            for listening in server.listening:
                listening.close()
            await server.cancel_connections()
