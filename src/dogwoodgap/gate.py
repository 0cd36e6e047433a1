"""Bounds the turns that one node has at the engines of a service, and orders those that wait.

Answers bursts on model engines. An engine that runs more turns than its slots serves all of them
late, so that a node keeps to its share of the slots: callers choose nodes at random, and the nodes
need no message to agree on it. Turns of programs under way go first, since a program that is given
up wastes what was done for it; new programs wait for a short time and are then refused as not run.
"""

import dataclasses
import heapq
import itertools

import anyio

from dogwoodgap import exceptions, pacing

TURNS_PER_SLOT = 1.15
"""Turns at the engines for each slot: a turn waits a few ms at an engine between two others."""

BORROWING_UTILIZATION = 0.7
"""Below this load of all slots a node may exceed its share."""

MAX_WAIT_S = {
    pacing.TurnPriority.UNDER_WAY: 1.5,
    pacing.TurnPriority.NEW: 0.25,
    pacing.TurnPriority.LATE: 1.0,
    pacing.TurnPriority.OVERDUE: 0.25,
}
"""Longest wait by standing. Callers abandon a stream that is silent for 2 s; a new program that is
refused early can still end in time when it returns."""

RETRY_AFTER_S = {
    pacing.TurnPriority.UNDER_WAY: 0.05,
    pacing.TurnPriority.NEW: 0.4,
    pacing.TurnPriority.LATE: 0.4,
    pacing.TurnPriority.OVERDUE: 0.8,
}


@dataclasses.dataclass(order=True, slots=True)
class Waiter:
    """One turn that waits; ordered by standing, then by arrival."""

    priority: int
    sequence_number: int
    admitted: anyio.Event = dataclasses.field(compare=False)
    done: bool = dataclasses.field(default=False, compare=False)


class ConcurrencyLimiter:
    """The turns of one node at the engines of one service."""

    def __init__(self) -> None:
        self.running = 0
        self.limit = 1.0
        self.waiters: list[Waiter] = []
        self.sequence = itertools.count()

    def resize(self, slots: int, nodes: int, in_flight: int) -> None:
        """Follow the slots of the service, the number of nodes and the known load.

        Parameters
        ----------
        slots : int
            Requests that all engines run at once.
        nodes : int
            Nodes that callers are sent to.
        in_flight : int
            Requests of all nodes at the engines, as far as this node knows.
        """
        share = slots * TURNS_PER_SLOT / max(1, nodes)
        borrowable = slots * BORROWING_UTILIZATION - in_flight
        self.limit = max(1.0, share, self.running + borrowable)
        self.admit_waiters()

    async def acquire(self, priority: pacing.TurnPriority) -> None:
        """Wait for a place.

        Raises
        ------
        OverloadedError
            When there was none in time; the turn was not run.
        """
        if self.running < self.limit and not self.waiters:
            self.running += 1
            return
        waiter = Waiter(int(priority), next(self.sequence), anyio.Event())
        heapq.heappush(self.waiters, waiter)
        try:
            with anyio.move_on_after(MAX_WAIT_S[priority]):
                await waiter.admitted.wait()
        except BaseException:
            if waiter.admitted.is_set():
                self.release()
            raise
        finally:
            waiter.done = True
        if not waiter.admitted.is_set():
            raise exceptions.OverloadedError(
                "the engines have more turns than they run well; come back later",
                retry_after_s=RETRY_AFTER_S[priority],
            )

    def release(self) -> None:
        """Give a place back."""
        self.running -= 1
        self.admit_waiters()

    def admit_waiters(self) -> None:
        """Let waiting turns in while there are places."""
        while self.waiters and self.running < self.limit:
            waiter = heapq.heappop(self.waiters)
            if not waiter.done:
                self.running += 1
                waiter.admitted.set()
