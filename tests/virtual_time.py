"""Run coroutines on trio with a clock that jumps to the next deadline when no task is ready."""

import typing

import anyio
import trio.testing


def options() -> dict[str, typing.Any]:
    """Return anyio backend options with a new virtual clock."""
    return {"clock": trio.testing.MockClock(autojump_threshold=0)}


def run(main):
    """Run a coroutine function on virtual time and return its result."""
    return anyio.run(main, backend="trio", backend_options=options())
