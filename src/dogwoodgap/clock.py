"""Monotonic and wall time.

Both come from anyio's clock, which tests can pause and advance. Wall time is that clock plus an
offset that is computed once per process, so later changes of the system clock have no effect.
"""

import time

import anyio

_offsets: dict[str, float] = {}


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
