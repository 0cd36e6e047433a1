"""Serve several stand-ins in one process, each with its own port, crashes and restarts."""

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
class StandIn:
    """An ASGI application with its address and the switch that can crash it."""

    application: Application
    bind: str
    switch: faults.FaultInjector


def configuration(bind: str) -> hypercorn.config.Config:
    """Return hypercorn's configuration for one address."""
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    return config


async def serve_one(stand_in: StandIn, stopping: anyio.Event, *, crash_exits: bool) -> None:
    """Serve a stand-in; a crash closes its port and all connections until the restart."""
    while not stopping.is_set():
        crashed = anyio.Event()
        stand_in.switch.on_crash = exit_now if crash_exits else crashed.set
        await hypercorn.asyncio.serve(
            stand_in.application,
            configuration(stand_in.bind),
            shutdown_trigger=lambda crashed=crashed: first_of(crashed, stopping),
        )
        with anyio.move_on_after(stand_in.switch.faults.restart_s):
            await stopping.wait()


async def first_of(*wanted: anyio.Event) -> None:
    """Wait until one of the events is set."""
    async with anyio.create_task_group() as tasks:

        async def wait_for(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in wanted:
            tasks.start_soon(wait_for, event)


def exit_now() -> None:
    """End the process at once, as a crash does."""
    os._exit(CRASH_EXIT_STATUS)


async def serve_all(stand_ins: list[StandIn], *, crash_exits: bool = False) -> None:
    """Serve all stand-ins until SIGTERM or SIGINT."""
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for stand_in in stand_ins:

            async def serve(stand_in: StandIn = stand_in) -> None:
                await serve_one(stand_in, stopping, crash_exits=crash_exits)

            tasks.start_soon(serve)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        stopping.set()


def run(stand_ins: list[StandIn], *, crash_exits: bool = False) -> None:
    """Serve all stand-ins until SIGTERM or SIGINT, in a fresh event loop."""

    async def main() -> None:
        await serve_all(stand_ins, crash_exits=crash_exits)

    anyio.run(main, backend_options={"use_uvloop": True})
