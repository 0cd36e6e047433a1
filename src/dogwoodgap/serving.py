"""Serving HTTP, and stopping without cutting a request."""

import asyncio
import collections.abc
import logging
import ssl
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

from dogwoodgap import events, middleware

KEEP_ALIVE_S = 30.0
CLOSE_GRACE_S = 0.3
"""A request whose connection was accepted last may need this long to arrive."""

ANSWER_TIMEOUT_S = 300.0
"""Longest time in which the last requests may end after the listener has closed."""

STEP_TIMEOUT_S = 60.0
"""A callback that never returns must not keep the process from stopping."""

OnStop = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class ServerConfig(hypercorn.config.Config):
    """Configuration of hypercorn with a TLS context that the node reloads itself."""

    context: ssl.SSLContext | None = None

    @property
    def ssl_enabled(self) -> bool:
        """Whether connections are encrypted."""
        return self.context is not None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Return the node's context."""
        return self.context


async def serve(
    application: middleware.ProblemMiddleware,
    bind: str,
    context: ssl.SSLContext | None,
    stop: anyio.Event,
    forced: anyio.Event | None = None,
) -> None:
    """Serve an ASGI application until ``stop`` is set; then finish what runs and return.

    A request that arrived just before the listener closed is still answered. The server library
    would cut it after its own time limit, and idle connections would hold the process open, so
    the end is decided by the running requests. ``forced`` ends the wait for them.
    """
    config = ServerConfig()
    config.bind = [bind]
    config.context = context
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.graceful_timeout = ANSWER_TIMEOUT_S
    # The task group of Python 3.11 that hypercorn uses cancels its own task when it shuts down
    # and never takes that back. In a task of its own this cannot cancel the node's other scopes.
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_hypercorn, application, config, stop)
        await stop.wait()
        with anyio.move_on_after(ANSWER_TIMEOUT_S) as waiting:
            if forced is not None:
                tasks.start_soon(cancel_on, forced, waiting)
            await finish_requests(application)
        tasks.cancel_scope.cancel()


async def cancel_on(event: anyio.Event, scope: anyio.CancelScope) -> None:
    """Cancel a scope when an event is set."""
    await event.wait()
    scope.cancel()


async def finish_requests(application: middleware.ProblemMiddleware) -> None:
    """Return when no request has run for a moment."""
    idle = False
    while not idle:
        await application.wait_idle()
        await anyio.sleep(CLOSE_GRACE_S)
        idle = not application.running


async def run_hypercorn(application: typing.Any, config: ServerConfig, stop: anyio.Event) -> None:
    """Run hypercorn; connections that do not close in time are dropped without an error."""
    try:
        await hypercorn.asyncio.serve(application, config, shutdown_trigger=stop.wait)
    except (TimeoutError, asyncio.CancelledError, asyncio.InvalidStateError):
        # hypercorn asks a cancelled task for its exception when it is cancelled itself.
        if not stop.is_set():
            raise


class GracefulStop:
    """The steps of a planned stop.

    Parameters
    ----------
    linger_s : float
        Time for which callers may still use addresses that they learned before.

    Attributes
    ----------
    requested : anyio.Event
        Set by the first signal.
    callbacks : list
        Run in order after the request to stop: announce leaving, hand over shards.
    waits : list
        Awaited after the linger time: running requests, calls, journal.
    """

    def __init__(self, linger_s: float):
        self.linger_s = linger_s
        self.requested = anyio.Event()
        self.forced = anyio.Event()
        self.callbacks: list[OnStop] = []
        self.waits: list[OnStop] = []

    def on_stop(self, callback: OnStop) -> None:
        """Add a step that runs when a stop is requested."""
        self.callbacks.append(callback)

    def request(self) -> None:
        """Ask for a planned stop; a second request ends it at once."""
        if self.requested.is_set():
            self.forced.set()
        self.requested.set()

    async def watch_signals(self, *signals: int) -> None:
        """Turn signals into requests."""
        with anyio.open_signal_receiver(*signals) as received:
            async for _ in received:
                self.request()

    async def drained(self) -> None:
        """Return when a stop was requested and nothing runs any more."""
        await self.requested.wait()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.force, tasks.cancel_scope)
            for callback in self.callbacks:
                await self.step(callback)
            await anyio.sleep(self.linger_s)
            for wait in self.waits:
                await wait()
            tasks.cancel_scope.cancel()

    async def force(self, scope: anyio.CancelScope) -> None:
        """End the waiting when a second request arrives."""
        await self.forced.wait()
        scope.cancel()

    async def step(self, callback: OnStop) -> None:
        """Run one callback; a failed one does not keep the others from running."""
        try:
            with anyio.fail_after(STEP_TIMEOUT_S):
                await callback()
        except Exception as error:
            events.emit(
                events.Event.STOP_STEP_FAILED,
                "a step of the stop failed; the stop goes on",
                level=logging.ERROR,
                detail=repr(error),
            )
