"""The list of storage VMs in the platform's store, and this VM's entry in it.

Storage VMs belong to no membership: they know each other through this list. Each call has a cost,
so after a read the list is watched.
"""

import collections.abc
import dataclasses
import logging

import anyio

from dogwoodgap import clock, events, exceptions, source

WATCH_TIMEOUT_S = 25.0
"""A change ends a watch at once, so a longer one only notices a dead connection later."""

RETRY_DELAY_S = 1.0
SETTLE_S = 1.0
"""Time between a change and the read: entries of VMs that start together are read at once."""


class Registry:
    """Keeps the list of storage VMs, and the entry of this one.

    Attributes
    ----------
    local : source.StorageVm
        The entry of this VM as it should be.
    is_wanted : bool
        Whether this VM should have an entry.
    vms : tuple of source.StorageVm
        The last known list.
    known : anyio.Event
        Set once the list is known.
    """

    def __init__(self, store: source.StorageVms, local: source.StorageVm):
        self.store = store
        self.local = local
        self.is_wanted = True
        self.vms: tuple[source.StorageVm, ...] = ()
        self.known = anyio.Event()
        self.on_change: collections.abc.Callable[[], None] = lambda: None
        self.watch_scope: anyio.CancelScope | None = None
        self.lost_at: float | None = None

    @property
    def others(self) -> list[source.StorageVm]:
        """Return the other storage VMs."""
        return [vm for vm in self.vms if vm.node != self.local.node]

    @property
    def entry(self) -> source.StorageVm | None:
        """Return the entry of this VM as it was last read or written."""
        return next((vm for vm in self.vms if vm.node == self.local.node), None)

    async def read_until_available(self) -> int:
        """Read the list, and retry while the store is unavailable; return its revision."""
        while True:
            try:
                return await self.read()
            except exceptions.StoreError as error:
                self.record_failure(error)
                await anyio.sleep(RETRY_DELAY_S)

    async def read(self) -> int:
        """Read the list; return its revision."""
        listing = await self.store.read()
        self.record_success()
        self.apply(listing.vms)
        self.known.set()
        return listing.revision

    async def run(self) -> None:
        """Keep the entry and the list up to date until cancelled."""
        revision = await self.read_until_available()
        while True:
            try:
                await self.maintain()
                if await self.watch(revision):
                    await anyio.sleep(SETTLE_S)
                    revision = await self.read()
                self.record_success()
            except (
                exceptions.WatchExpiredError,
                exceptions.VersionConflictError,
                exceptions.ObjectMissingError,  # another VM has deleted the entry meanwhile
            ):
                revision = await self.read_until_available()
            except exceptions.StoreError as error:
                self.record_failure(error)
                await anyio.sleep(RETRY_DELAY_S)

    async def watch(self, revision: int) -> bool:
        """Wait until the list may have changed, which is returned, or the wanted entry has."""
        if not self.is_settled:
            return False
        with anyio.CancelScope() as self.watch_scope:
            return (await self.store.watch(revision, WATCH_TIMEOUT_S)).changed
        return False

    def update(self, *, is_wanted: bool, is_leaving: bool = False) -> None:
        """Change the entry of this VM, soon."""
        self.is_wanted = is_wanted
        self.local = dataclasses.replace(self.local, leaving=is_leaving)
        if self.watch_scope is not None:
            self.watch_scope.cancel()

    @property
    def is_settled(self) -> bool:
        """Return whether the entry is known to be as it should be."""
        entry = self.entry
        if not self.is_wanted or entry is None:
            return self.known.is_set() and not self.is_wanted and entry is None
        return entry == dataclasses.replace(self.local, revision=entry.revision)

    async def maintain(self) -> None:
        """Write or delete the entry of this VM unless it is as it should be."""
        if self.is_settled:
            return
        entry = self.entry
        if not self.is_wanted:
            await self.store.delete(self.local.node)
            self.apply(self.others)
            return
        wanted = dataclasses.replace(self.local, revision=entry.revision if entry else 0)
        revision = await self.store.write(wanted)
        self.apply([*self.others, dataclasses.replace(wanted, revision=revision)])
        events.emit(
            events.Event.STORAGE_REGISTERED,
            "wrote the entry of this storage VM",
            node=wanted.node,
            address=wanted.address,
            leaving=wanted.leaving,
        )

    async def remove_vanished(self, node: str) -> None:
        """Delete the entry of another VM; raises ``StoreError``."""
        await self.store.delete(node)
        self.apply(vm for vm in self.vms if vm.node != node)

    def apply(self, vms: collections.abc.Iterable[source.StorageVm]) -> None:
        """Replace the known list."""
        listed = tuple(sorted(vms, key=lambda vm: vm.node))
        if listed != self.vms:
            self.vms = listed
            self.on_change()

    def record_failure(self, error: exceptions.StoreError) -> None:
        """Record a failed call; the first in a row is logged."""
        if self.lost_at is None:
            self.lost_at = clock.now()
            events.emit(
                events.Event.STORE_LOST,
                "platform store unavailable; continuing with the last known data",
                level=logging.WARNING,
                reading="storage VMs",
                detail=error.detail,
            )

    def record_success(self) -> None:
        """Record a successful call; the first after a failure is logged."""
        if self.lost_at is not None:
            events.emit(
                events.Event.STORE_REGAINED,
                "platform store available again",
                reading="storage VMs",
                lost_s=round(clock.now() - self.lost_at, 3),
            )
            self.lost_at = None
