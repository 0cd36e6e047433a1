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

FILL = 1.15
"""Turns at the engines for each slot: a turn waits a few ms at an engine between two others."""

FREE_FILL = 0.7
"""Below this load of all slots a node may exceed its share."""

WAIT_S = {
    pacing.Standing.UNDER_WAY: 1.5,
    pacing.Standing.NEW: 0.25,
    pacing.Standing.LATE: 1.0,
    pacing.Standing.OVERDUE: 0.25,
}
"""Longest wait by standing. Callers abandon a stream that is silent for 2 s; a new program that is
refused early can still end in time when it returns."""

RETRY_AFTER_S = {
    pacing.Standing.UNDER_WAY: 0.05,
    pacing.Standing.NEW: 0.4,
    pacing.Standing.LATE: 0.4,
    pacing.Standing.OVERDUE: 0.8,
}


@dataclasses.dataclass(order=True, slots=True)
class Waiter:
    """One turn that waits; ordered by standing, then by arrival."""

    standing: int
    number: int
    admitted: anyio.Event = dataclasses.field(compare=False)
    gone: bool = dataclasses.field(default=False, compare=False)


class Gate:
    """The turns of one node at the engines of one service."""

    def __init__(self) -> None:
        self.running = 0
        self.share = 1.0
        self.waiting: list[Waiter] = []
        self.numbers = itertools.count()

    def resize(self, slots: int, nodes: int, busy: int) -> None:
        """Follow the slots of the service, the number of nodes and the known load.

        Parameters
        ----------
        slots : int
            Requests that all engines run at once.
        nodes : int
            Nodes that callers are sent to.
        busy : int
            Requests of all nodes at the engines, as far as this node knows.
        """
        share = slots * FILL / max(1, nodes)
        free = slots * FREE_FILL - busy
        self.share = max(1.0, share, self.running + free)
        self.admit()

    async def enter(self, standing: pacing.Standing) -> None:
        """Wait for a place.

        Raises
        ------
        OverloadedError
            When there was none in time; the turn was not run.
        """
        if self.running < self.share and not self.waiting:
            self.running += 1
            return
        waiter = Waiter(int(standing), next(self.numbers), anyio.Event())
        heapq.heappush(self.waiting, waiter)
        try:
            with anyio.move_on_after(WAIT_S[standing]):
                await waiter.admitted.wait()
        except BaseException:
            if waiter.admitted.is_set():
                self.leave()
            raise
        finally:
            waiter.gone = True
        if not waiter.admitted.is_set():
            raise exceptions.OverloadedError(
                "the engines have more turns than they run well; come back later",
                retry_after_s=RETRY_AFTER_S[standing],
            )

    def leave(self) -> None:
        """Give a place back."""
        self.running -= 1
        self.admit()

    def admit(self) -> None:
        """Let waiting turns in while there are places."""
        while self.waiting and self.running < self.share:
            waiter = heapq.heappop(self.waiting)
            if not waiter.gone:
                self.running += 1
                waiter.admitted.set()
