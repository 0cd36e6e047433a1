"""Answers requests to empty storage VMs.

Nothing that must last is stored on VMs, so that a request is complete as soon as it is seen.
"""

import collections.abc

import anyio

from dogwoodgap import events, exceptions, followers, source

RETRY_S = 1.0
WATCHERS = 2
"""Nodes that watch, so that one may be cut off from the store."""

RANK_CHECK_S = 2.0


class RemovalFollower:
    """Follows the requests while this node is among the first.

    Parameters
    ----------
    removals : source.Removals
        The requests in the platform's store.
    rank : callable
        Returns this node's place among the members.
    """

    def __init__(self, removals: source.Removals, rank: collections.abc.Callable[[], int]):
        self.removals = removals
        self.rank = rank
        self.availability = followers.StoreAvailability("removals")

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.rank() >= WATCHERS:
                await anyio.sleep(RANK_CHECK_S)
                continue
            try:
                await self.answer()
                self.availability.record_success()
            except exceptions.WatchExpiredError:
                continue
            except exceptions.StoreError as error:
                self.availability.record_failure(error)
                await anyio.sleep(RETRY_S)

    async def answer(self) -> None:
        """Answer all open requests and wait for others."""
        found = await self.removals.read()
        for request in found.requests:
            if not request.complete:
                await self.removals.complete(request.vm)
                events.emit(
                    events.Event.REMOVAL_COMPLETE,
                    "a storage VM holds nothing and may be removed",
                    vm=request.vm,
                    revision=found.revision,
                )
        await self.removals.watch(found.revision)
