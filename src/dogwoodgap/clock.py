"""Time of the runtime.

All durations come from anyio's clock, which tests pause and advance. Wall time is that clock
plus an offset taken once, so it pauses and advances with it.
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
    """Make wall time equal ``seconds`` now; used by tests and experiments."""
    _offsets["wall"] = seconds - anyio.current_time()


async def sleep_until(deadline: float) -> None:
    """Sleep until monotonic time reaches ``deadline``."""
    await anyio.sleep(max(0.0, deadline - now()))
