"""Serves HTTP with hypercorn and shuts down gracefully, without aborting requests."""

import collections.abc
import logging
import ssl

import anyio
import hypercorn.config

from dogwoodgap import connection_limits, events, http_server, middleware, settings

KEEP_ALIVE_S = 30.0
ARRIVAL_GRACE_S = 0.3
"""Time for a request to arrive on a connection accepted just before the listener closed."""

CLOSE_TIMEOUT_S = 5.0
"""Maximum time without a running request until the last connections close; a caller that does not
read its response keeps its connection open."""

DRAIN_TIMEOUT_S = 300.0
"""Maximum time for running requests to finish after the listener has closed."""

STEP_TIMEOUT_S = 60.0
"""Timeout of one stop callback, so that a blocked callback cannot prevent shutdown."""

StopCallback = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class ServerConfig(hypercorn.config.Config):
    """Hypercorn configuration with an external TLS context, which the node reloads itself."""

    context: ssl.SSLContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Whether connections use TLS."""
        return self.context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the node's TLS context."""
        return self.context


async def serve(
    application: middleware.ProblemMiddleware,
    bind: str,
    context: ssl.SSLContext | None,
    stop: anyio.Event,
    forced: anyio.Event | None = None,
    section: settings.ConnectionsSection | None = None,
) -> None:
    """Serve an ASGI application until ``stop`` is set, then until its connections have ended.

    The listener closes first. Requests on accepted connections have ``ARRIVAL_GRACE_S`` to arrive,
    and are finished. Setting ``forced`` stops waiting for them. ``section`` limits connections.

    Raises
    ------
    OSError
        If the address is not available.
    """
    config = ServerConfig()
    config.bind = [bind]
    config.context = context
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    section = section or settings.ConnectionsSection()
    max_connections = connection_limits.max_connections(
        section.max_node_connections, connection_limits.CALLER_SHARE
    )
    bounds = connection_limits.bounds(section)
    async with http_server.running(application, config, bounds, max_connections) as server:
        await http_server.accept_until(server, stop)
        with anyio.move_on_after(DRAIN_TIMEOUT_S) as drain_scope:
            async with anyio.create_task_group() as tasks:
                if forced is not None:
                    tasks.start_soon(cancel_on, forced, drain_scope)
                await application.close_connections()
                await anyio.sleep(ARRIVAL_GRACE_S)
                await server.close_idle_connections()
                await finish_connections(application, server)
                tasks.cancel_scope.cancel()


async def cancel_on(event: anyio.Event, scope: anyio.CancelScope) -> None:
    """Cancel a scope when an event is set."""
    await event.wait()
    scope.cancel()


async def finish_connections(
    application: middleware.ProblemMiddleware, server: http_server.HttpServer
) -> None:
    """Return when all connections have ended, or no request has run for ``CLOSE_TIMEOUT_S``."""
    while server.connections:
        await application.wait_idle()
        last_change = application.changed
        with anyio.move_on_after(CLOSE_TIMEOUT_S) as scope:
            await server.wait_closed()
        if scope.cancelled_caught and not application.running and not last_change.is_set():
            return


class GracefulStop:
    """The steps of a graceful shutdown.

    Parameters
    ----------
    linger_s : float
        Time in seconds during which callers may still use previously resolved addresses.

    Attributes
    ----------
    requested : anyio.Event
        Set by the first stop request.
    forced : anyio.Event
        Set by the second stop request; ends the shutdown immediately.
    stop_callbacks : list
        Run in order when a stop is requested: announce leaving, hand over shards.
    drain_callbacks : list
        Awaited in order after the linger time: running requests, calls, journal.
    """

    def __init__(self, linger_s: float):
        self.linger_s = linger_s
        self.requested = anyio.Event()
        self.forced = anyio.Event()
        self.stop_callbacks: list[StopCallback] = []
        self.drain_callbacks: list[StopCallback] = []

    def on_stop(self, callback: StopCallback) -> None:
        """Register a callback to run when a stop is requested."""
        self.stop_callbacks.append(callback)

    def request(self) -> None:
        """Request a graceful stop; a second request forces an immediate one."""
        if self.requested.is_set():
            self.forced.set()
        self.requested.set()

    async def watch_signals(self, *signals: int) -> None:
        """Request a stop for each of the given signals received."""
        with anyio.open_signal_receiver(*signals) as received:
            async for _ in received:
                self.request()

    async def wait_drained(self) -> None:
        """Wait for a stop request, run the callbacks and return when the node has drained."""
        await self.requested.wait()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.cancel_when_forced, tasks.cancel_scope)
            for callback in self.stop_callbacks:
                await self.run_step(callback)
            await anyio.sleep(self.linger_s)
            for drain_callback in self.drain_callbacks:
                await drain_callback()
            tasks.cancel_scope.cancel()

    async def cancel_when_forced(self, scope: anyio.CancelScope) -> None:
        """Cancel the scope when a second stop request arrives."""
        await self.forced.wait()
        scope.cancel()

    async def run_step(self, callback: StopCallback) -> None:
        """Run one callback; a failure is logged so that the remaining callbacks still run."""
        try:
            with anyio.fail_after(STEP_TIMEOUT_S):
                await callback()
        except Exception as error:
            events.emit(
                events.Event.STOP_STEP_FAILED,
                "a shutdown step failed; continuing the shutdown",
                level=logging.ERROR,
                detail=repr(error),
            )
