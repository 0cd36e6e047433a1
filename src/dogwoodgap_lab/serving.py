"""Serve several fake servers in one process, each with its own port, crashes and restarts."""

import collections.abc
import dataclasses
import os
import signal
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config

from dogwoodgap_lab import faults

GRACEFUL_TIMEOUT_S = 0.2
CRASH_EXIT_STATUS = 70

Application = collections.abc.Callable[..., typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class FakeServer:
    """An ASGI application with its address and the fault injector that can crash it."""

    application: Application
    bind: str
    switch: faults.FaultInjector


def hypercorn_config(bind: str) -> hypercorn.config.Config:
    """Return the hypercorn configuration for one address."""
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    return config


async def serve_with_restarts(
    server: FakeServer, stopping: anyio.Event, *, crash_exits: bool
) -> None:
    """Serve a fake server; a crash closes its port and connections until the restart.

    With ``crash_exits``, a crash ends the whole process instead.
    """
    while not stopping.is_set():
        crashed = anyio.Event()
        server.switch.on_crash = exit_process if crash_exits else crashed.set
        await hypercorn.asyncio.serve(
            server.application,
            hypercorn_config(server.bind),
            shutdown_trigger=lambda crashed=crashed: wait_first(crashed, stopping),
        )
        with anyio.move_on_after(server.switch.faults.restart_s):
            await stopping.wait()


async def wait_first(*events: anyio.Event) -> None:
    """Wait until one of the events is set."""
    async with anyio.create_task_group() as tasks:

        async def wait_for(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait_for, event)


def exit_process() -> None:
    """End the process immediately, without cleanup, as a crash does."""
    os._exit(CRASH_EXIT_STATUS)


async def serve_all(servers: list[FakeServer], *, crash_exits: bool = False) -> None:
    """Serve all fake servers until SIGTERM or SIGINT."""
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for server in servers:

            async def serve(server: FakeServer = server) -> None:
                await serve_with_restarts(server, stopping, crash_exits=crash_exits)

            tasks.start_soon(serve)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        stopping.set()


def run(servers: list[FakeServer], *, crash_exits: bool = False) -> None:
    """Serve all fake servers until SIGTERM or SIGINT, in a new event loop."""

    async def main() -> None:
        await serve_all(servers, crash_exits=crash_exits)

    anyio.run(main, backend_options={"use_uvloop": True})
