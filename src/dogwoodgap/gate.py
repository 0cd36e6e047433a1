"""Limits the concurrent turns of one node at the engines of a service and queues the others.

Handles bursts on model engines. An engine with more turns than slots finishes all of them late, so
each node limits itself to its share of the slots. Callers choose nodes at random, so the nodes do
not have to coordinate. Turns of running programs are admitted first, because abandoning a program
wastes the work done for it. Turns of new programs wait briefly and are then refused as not run.
"""

import dataclasses
import heapq
import itertools

import anyio

from dogwoodgap import exceptions, pacing

TURNS_PER_SLOT = 1.15
"""Admitted turns per engine slot; the few extra turns fill the gaps of a few ms between turns."""

BORROWING_UTILIZATION = 0.7
"""Utilization of all slots below which a node may exceed its share."""

MAX_WAIT_S = {
    pacing.TurnPriority.UNDER_WAY: 1.5,
    pacing.TurnPriority.NEW: 0.25,
    pacing.TurnPriority.LATE: 1.0,
    pacing.TurnPriority.OVERDUE: 0.25,
}
"""Longest queueing time by priority. Callers abandon a stream that is silent for 2 s. A new program
that is refused early can still meet its time objective when it retries."""

RETRY_AFTER_S = {
    pacing.TurnPriority.UNDER_WAY: 0.05,
    pacing.TurnPriority.NEW: 0.4,
    pacing.TurnPriority.LATE: 0.4,
    pacing.TurnPriority.OVERDUE: 0.8,
}


@dataclasses.dataclass(order=True, slots=True)
class Waiter:
    """A queued turn; ordered by priority, then by arrival."""

    priority: int
    sequence_number: int
    admitted: anyio.Event = dataclasses.field(compare=False)
    done: bool = dataclasses.field(default=False, compare=False)


class ConcurrencyLimiter:
    """Limits the concurrent turns of this node at the engines of one service."""

    def __init__(self) -> None:
        self.running = 0
        self.limit = 1.0
        self.waiters: list[Waiter] = []
        self.sequence = itertools.count()

    def resize(self, slots: float, nodes: int, in_flight: int) -> None:
        """Recompute the limit from the slots, the number of nodes and the known load.

        Parameters
        ----------
        slots : float
            Requests that all engines together run concurrently.
        nodes : int
            Nodes that receive requests from callers.
        in_flight : int
            Requests of all nodes in flight at the engines, as far as this node knows.
        """
        share = slots * TURNS_PER_SLOT / max(1, nodes)
        borrowable = slots * BORROWING_UTILIZATION - in_flight
        self.limit = max(1.0, share, self.running + borrowable)
        self.admit_waiters()

    async def acquire(self, priority: pacing.TurnPriority) -> None:
        """Wait until the turn is admitted.

        Raises
        ------
        OverloadedError
            If the turn was not admitted within the wait of its priority; it was not run.
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
                "the engines are at their concurrency limit; retry later",
                retry_after_s=RETRY_AFTER_S[priority],
            )

    def release(self) -> None:
        """Mark an admitted turn as finished and admit the next one."""
        self.running -= 1
        self.admit_waiters()

    def admit_waiters(self) -> None:
        """Admit queued turns while the limit allows."""
        while self.waiters and self.running < self.limit:
            waiter = heapq.heappop(self.waiters)
            if not waiter.done:
                self.running += 1
                waiter.admitted.set()
