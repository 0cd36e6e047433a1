"""Background tasks whose failure does not end the process.

A task group ends all its tasks when one fails. An unexpected error in one of them, for example
for a value that another writer has left, is logged and counted instead.
"""

import collections.abc
import contextlib
import logging
import traceback
import typing

import anyio
import anyio.abc

from dogwoodgap import events, exposition

RESTART_DELAY_S = 0.5
"""Time after which a service that failed is started again."""

MAX_TRACE = 2_000
"""Characters at the end of a traceback that are logged."""

Function = collections.abc.Callable[..., collections.abc.Awaitable[typing.Any]]


def start(tasks: anyio.abc.TaskGroup, function: Function, *args: typing.Any) -> None:
    """Run a function once in the background; an error ends only this run."""
    tasks.start_soon(run_once, function, *args)


def start_service(tasks: anyio.abc.TaskGroup, function: Function, *args: typing.Any) -> None:
    """Run a function in the background until it returns; after an error it is started again."""
    tasks.start_soon(run_service, function, *args)


@contextlib.asynccontextmanager
async def running(function: Function, *args: typing.Any) -> collections.abc.AsyncIterator[None]:
    """Run a function beside a block, and cancel it at the end of the block.

    An error of the function ends the block, as in a task group. The function is cancelled by a
    scope of its own, so that its task does not end with an error: anyio refers to the error of a
    cancelled task from a frame of the error's own traceback, and this cycle keeps what the function
    refers to in memory until the garbage collection.
    """
    scope = anyio.CancelScope(shield=True)

    async def run() -> None:
        with scope:
            await function(*args)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        try:
            yield
        finally:
            scope.cancel()


async def run_once(function: Function, *args: typing.Any) -> bool:
    """Run a function; return whether it succeeded."""
    try:
        await function(*args)
    except Exception as error:
        exposition.background_failures.inc()
        events.emit(
            events.Event.BACKGROUND_FAILED,
            "a background task failed; see the detail and report it",
            level=logging.ERROR,
            task=getattr(function, "__qualname__", repr(function)),
            detail=repr(error),
            trace="".join(traceback.format_exception(error))[-MAX_TRACE:],
        )
        return False
    return True


async def run_service(function: Function, *args: typing.Any) -> None:
    """Run a function until it returns without an error."""
    while True:
        if await run_once(function, *args):
            return
        await anyio.sleep(RESTART_DELAY_S)
