"""Monotonic and wall time.

Both come from anyio's clock, which tests can pause and advance. Wall time is that clock plus an
offset that is computed once per process, so later changes of the system clock have no effect.

Monotonic time may stand still while a VM is suspended. Where that would make old knowledge look
fresh, ``mark`` and ``elapsed_s`` measure with the time since the system booted as well, which on
Linux includes the time of a suspension.
"""

import collections.abc
import time
import typing

import anyio

_offsets: dict[str, float] = {}


class Mark(typing.NamedTuple):
    """A moment on both clocks, in seconds: monotonic time, and time since the system booted."""

    monotonic: float
    since_boot: float


def system_boot_time() -> float:
    """Return the time since the system booted, or 0 where the system does not tell it."""
    if hasattr(time, "CLOCK_BOOTTIME"):
        return time.clock_gettime(time.CLOCK_BOOTTIME)
    return 0.0


_boot_time: collections.abc.Callable[[], float] = system_boot_time


def set_boot_time(reader: collections.abc.Callable[[], float] = system_boot_time) -> None:
    """Read the time since the system booted with another function; used by tests."""
    global _boot_time  # noqa: PLW0603
    _boot_time = reader


def mark() -> Mark:
    """Return the present moment."""
    return Mark(now(), _boot_time())


def elapsed_s(since: Mark) -> float:
    """Return the seconds since a moment, by the clock that has advanced further."""
    return max(now() - since.monotonic, _boot_time() - since.since_boot)


def now() -> float:
    """Return monotonic time in seconds."""
    return anyio.current_time()


def wall_time() -> float:
    """Return wall time in seconds since the Unix epoch."""
    if "wall" not in _offsets:
        _offsets["wall"] = time.time() - anyio.current_time()
    return anyio.current_time() + _offsets["wall"]


def set_wall_time(seconds: float) -> None:
    """Set wall time to ``seconds`` since the Unix epoch; used by tests and experiments."""
    _offsets["wall"] = seconds - anyio.current_time()


async def sleep_until(deadline: float) -> None:
    """Sleep until monotonic time reaches ``deadline``."""
    await anyio.sleep(max(0.0, deadline - now()))
