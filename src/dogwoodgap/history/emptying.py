"""Empties a storage VM that an operator wants to remove.

The VM accepts no more turns, its entry tells the others to place none on it, and it offers all
turns to their new holders. Its entry is deleted before the request is completed, since the VM may
then be removed at any time. Turns that cannot be placed elsewhere keep it until they have expired.
"""

import logging

import anyio

from dogwoodgap import events, exceptions, source
from dogwoodgap.history import marks, registry, repair

CHECK_INTERVAL_S = 0.5
RETRY_DELAY_S = 1.0
WATCH_TIMEOUT_S = 25.0


class Emptying:
    """Follows the removal request of one storage VM.

    Attributes
    ----------
    is_leaving : bool
        Whether the VM is being emptied, so that it accepts no turns.
    is_emptied : bool
        Whether the request is complete.
    is_for_predecessor : bool
        Whether the request was complete before this VM started with a disk that was never emptied.
        Then it was for a VM of the same name that is gone.
    known : anyio.Event
        Set once it is known whether there is a request.
    """

    def __init__(
        self,
        removals: source.Removals,
        vm_registry: registry.Registry,
        repairer: repair.Repairer,
        disk_marks: marks.Marks,
    ):
        self.removals = removals
        self.registry = vm_registry
        self.repairer = repairer
        self.marks = disk_marks
        self.is_leaving = False
        self.is_emptied = False
        self.is_for_predecessor = False
        self.known = anyio.Event()

    @property
    def node(self) -> str:
        """Return the name of this VM."""
        return self.registry.local.node

    async def run(self) -> None:
        """Follow the request until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.finish_when_empty)
            while True:
                try:
                    listing = await self.removals.read()
                    await self.apply(listing)
                    self.known.set()
                    self.registry.record_success()
                    revision, changed = listing.revision, False
                    while not changed:
                        result = await self.removals.watch(revision, WATCH_TIMEOUT_S)
                        revision, changed = result.revision, result.changed
                except exceptions.WatchExpiredError:
                    continue
                except exceptions.StoreError as error:
                    self.registry.record_failure(error)
                    await anyio.sleep(RETRY_DELAY_S)

    async def apply(self, listing: source.RemovalList) -> None:
        """Begin to empty the VM, or end that if the request was withdrawn."""
        request = next((found for found in listing.requests if found.vm == self.node), None)
        if request is None:
            if await self.marks.is_emptied():
                await self.marks.set_emptied(is_emptied=False)
            self.is_for_predecessor = False
            if self.is_leaving:
                self.is_leaving = self.is_emptied = False
                self.registry.update(is_wanted=True)
        elif request.complete:
            if not self.known.is_set():
                self.is_for_predecessor = not await self.marks.is_emptied()
            if not self.is_leaving and not self.is_for_predecessor:
                self.is_leaving = self.is_emptied = True
                self.registry.update(is_wanted=False)
        elif not self.is_leaving:
            self.is_for_predecessor = False
            await self.removals.begin(self.node)
            self.is_leaving = True
            await self.finish_stores()
            self.registry.update(is_wanted=True, is_leaving=True)
            events.emit(
                events.Event.STORAGE_EMPTYING,
                "emptying this storage VM; it accepts no more turns",
                node=self.node,
                turns=len(self.repairer.turn_log.live()),
            )

    async def finish_stores(self) -> None:
        """Wait for turns that were accepted before, so that they are offered with the others."""
        while True:
            try:
                await self.repairer.turn_log.flush()
            except exceptions.HistoryUnavailableError:
                # The log has reported that its disk stalls.
                await anyio.sleep(RETRY_DELAY_S)
            else:
                return

    async def finish_when_empty(self) -> None:
        """Complete the request once all turns are elsewhere, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self.is_leaving or self.is_emptied:
                continue
            if self.registry.is_wanted:
                if self.registry.is_settled and self.repairer.is_elsewhere():
                    self.registry.update(is_wanted=False, is_leaving=True)
            elif self.registry.is_settled:
                await self.complete()

    async def complete(self) -> None:
        """Complete the request; it is tried again later if the store is unavailable."""
        try:
            await self.marks.set_emptied(is_emptied=True)
            await self.removals.complete(self.node)
        except exceptions.StoreError as error:
            self.registry.record_failure(error)
            return
        except OSError as error:
            events.emit(
                events.Event.DISK_FAILING,
                "the disk cannot be marked as emptied; remove the VM although its request is open",
                level=logging.ERROR,
                detail=str(error),
            )
            return
        self.is_emptied = True
        events.emit(
            events.Event.STORAGE_EMPTIED,
            "all turns of this storage VM are on others or have expired; it may be removed",
            node=self.node,
        )
