"""An asyncio event loop on virtual time, whose simulated processes can be paused one by one."""

import asyncio
import collections
import contextvars
import dataclasses
import heapq
import itertools
import selectors
import typing

START_S = 1_000.0
"""Virtual time at which a run begins; 0 would hide code that treats a time as a truth value."""

current: contextvars.ContextVar["Process | None"] = contextvars.ContextVar("process", default=None)
"""The simulated process that runs; None for callers, servers and the network."""


@dataclasses.dataclass(eq=False)
class Process:
    """One simulated process, to which all tasks started in its context belong."""

    name: str
    boot: int = 0
    paused: bool = False
    ended: bool = False
    held: list[asyncio.Handle] = dataclasses.field(default_factory=list)
    timers: list[asyncio.TimerHandle] = dataclasses.field(default_factory=list)


class TimeSkippingSelector(selectors.DefaultSelector):
    """Never blocks; advances ``now`` by the time for which it would have blocked."""

    def __init__(self) -> None:
        super().__init__()
        self.now = START_S

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        """Return the ready files; advance the time if there are none."""
        if timeout:
            self.now += timeout
            return []
        return super().select(0)


class NumberedTask(asyncio.Task):
    """A task whose hash is its number, so that sets of tasks iterate alike in every run."""

    numbers = itertools.count(1)

    def __init__(self, *arguments: typing.Any, **options: typing.Any):
        self.number = next(self.numbers)
        super().__init__(*arguments, **options)

    def __hash__(self) -> int:
        return self.number


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while no callback is ready."""

    def __init__(self) -> None:
        self.clock = TimeSkippingSelector()
        super().__init__(self.clock)
        self.paused = 0
        self.set_task_factory(
            lambda loop, coroutine, **options: NumberedTask(coroutine, loop=loop, **options)
        )

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock.now

    def call_soon(self, callback, *args, context=None):  # noqa: ANN001, ANN201
        """Schedule a callback; one of a paused process is held until it goes on."""
        if self.paused:
            process = owner(context)
            if process is not None and process.paused:
                handle = asyncio.Handle(callback, args, self, context)
                process.held.append(handle)
                return handle
        return super().call_soon(callback, *args, context=context)

    def pause(self, process: Process) -> None:
        """Run nothing of a process until :meth:`resume`; its timers expire meanwhile."""
        process.paused = True
        self.paused += 1
        # The loop counts its ready callbacks before it runs them, so that none may be removed.
        kept: collections.deque[asyncio.Handle] = collections.deque()
        for handle in self._ready:
            if owner(handle._context) is process:
                process.held.append(handle)
                kept.append(asyncio.Handle(nothing, (), self, contextvars.Context()))
            else:
                kept.append(handle)
        self._ready.clear()
        self._ready.extend(kept)
        process.timers = [one for one in self._scheduled if owner(one._context) is process]
        self._scheduled[:] = [one for one in self._scheduled if owner(one._context) is not process]
        heapq.heapify(self._scheduled)

    def resume(self, process: Process) -> None:
        """Let a paused process go on."""
        process.paused = False
        self.paused -= 1
        self._ready.extend(process.held)
        for timer in process.timers:
            heapq.heappush(self._scheduled, timer)
        process.held, process.timers = [], []


def owner(context: contextvars.Context | None) -> Process | None:
    """Return the process to which a context belongs; None means the current context."""
    return current.get() if context is None else context.get(current)


def nothing() -> None:
    """Take the place of a callback that is held."""
