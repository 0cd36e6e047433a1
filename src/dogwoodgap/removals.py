"""Completes the platform's requests to empty storage VMs before their removal.

A VM that stores nothing is empty, so its request is marked complete as soon as it is seen. While a
route retains turns, registered storage VMs empty themselves and complete their own requests. A VM
that has vanished does not block its request for ever: the other storage VMs delete its entry.
"""

import collections.abc

import anyio

from dogwoodgap import availability, events, exceptions, source

RETRY_DELAY_S = 1.0
WATCHER_COUNT = 2
"""Nodes that watch for requests, so that one may lose its connection to the store."""

RANK_CHECK_INTERVAL_S = 2.0


class RemovalFollower:
    """Completes removal requests while this node is one of the first WATCHER_COUNT members.

    Parameters
    ----------
    removals : source.Removals
        Removal requests in the platform's store.
    rank : callable
        Returns the rank of this node among the members, from 0.
    storage_vms : source.StorageVms, optional
        The registered storage VMs.
    retains_turns : callable, optional
        Returns whether a route retains turns.
    """

    def __init__(
        self,
        removals: source.Removals,
        rank: collections.abc.Callable[[], int],
        storage_vms: source.StorageVms | None = None,
        retains_turns: collections.abc.Callable[[], bool] = lambda: False,
    ):
        self.removals = removals
        self.rank = rank
        self.storage_vms = storage_vms
        self.retains_turns = retains_turns
        self.availability = availability.StoreAvailability("removals")

    async def run(self) -> None:
        """Complete requests until cancelled."""
        while True:
            if self.rank() >= WATCHER_COUNT:
                await anyio.sleep(RANK_CHECK_INTERVAL_S)
                continue
            try:
                await self.complete_pending()
                self.availability.record_success()
            except exceptions.WatchExpiredError:
                continue
            except exceptions.StoreError as error:
                self.availability.record_failure(error)
                await anyio.sleep(RETRY_DELAY_S)

    async def complete_pending(self) -> None:
        """Complete all pending requests and wait for a change."""
        listing = await self.removals.read()
        pending = [request for request in listing.requests if not request.complete]
        registered = await self.registered() if pending else frozenset()
        for request in pending:
            if request.vm not in registered:
                await self.removals.complete(request.vm)
                events.emit(
                    events.Event.REMOVAL_COMPLETE,
                    "marked a storage VM as empty; it may be removed",
                    vm=request.vm,
                    revision=listing.revision,
                )
        await self.removals.watch(listing.revision)

    async def registered(self) -> frozenset[str]:
        """Return the names of the storage VMs that may hold turns; raises ``StoreError``."""
        if self.storage_vms is None or not self.retains_turns():
            return frozenset()
        return frozenset(vm.node for vm in (await self.storage_vms.read()).vms)
