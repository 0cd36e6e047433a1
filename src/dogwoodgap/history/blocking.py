"""Runs functions that block on the disk in worker threads."""

import collections.abc
import typing

import anyio.to_thread

Result = typing.TypeVar("Result")


class Run(typing.Protocol):
    """Runs a function that blocks; tests replace the worker threads."""

    async def __call__(self, function: collections.abc.Callable[[], Result]) -> Result:
        """Return the result of the function."""


async def run_in_thread(function: collections.abc.Callable[[], Result]) -> Result:
    """Run a function in a worker thread, which is left alone when the caller gives up."""
    return await anyio.to_thread.run_sync(function, abandon_on_cancel=True)
