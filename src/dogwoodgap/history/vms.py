"""Follows the registered storage VMs while retained turns are requested.

A read that may be stale costs a tenth of another one. Without requests for retained turns there is
neither a task nor a call. The known list stays in use while the platform's store is unreachable.
"""

import collections.abc
import math
import random

import anyio
import anyio.abc

from dogwoodgap import availability, background, clock, exceptions, source

MIN_INTERVAL_S = 5.0
MAX_INTERVAL_S = 10.0
"""Bounds of the time between two reads. It is drawn at random, so that the gateways do not read at
the same time."""

FIRST_INTERVAL_S = 0.5
"""Time to the next read while there are too few VMs, as at the start of a fleet; it doubles."""

IDLE_S = 60.0
"""Time without requests after which the list is no longer read."""

FRESH_INTERVAL_S = 0.5
"""Shortest time between two reads that are not stale."""

SHORTAGE_INTERVAL_S = 1.0
"""Time for which the first such read is believed that found too few VMs; it doubles with each."""

MAX_SHORTAGE_INTERVAL_S = 10.0
"""Longest such time: a fleet may be short of storage VMs for long."""


class StorageVmFollower:
    """The registered storage VMs, as this gateway knows them.

    Parameters
    ----------
    storage_vms : source.StorageVms or None
        Reads them from the platform's store; None if there are none.
    is_needed : callable
        Returns whether a route retains turns.
    enough : int
        Number of VMs below which the list is read more often.

    Attributes
    ----------
    vms : tuple of StorageVm
        The registered VMs; empty before the first read.
    fresh_at : float
        Monotonic time before the last read that was not stale.
    on_change : callable
        Called when the list has changed.
    """

    def __init__(
        self,
        storage_vms: source.StorageVms | None,
        is_needed: collections.abc.Callable[[], bool],
        enough: int,
    ):
        self.storage_vms = storage_vms
        self.is_needed = is_needed
        self.enough = enough
        self.vms: tuple[source.StorageVm, ...] = ()
        self.revision = -1
        self.fresh_at = -math.inf
        self.attempted_at = -math.inf
        self.used_at = -math.inf
        self.shortage_s = SHORTAGE_INTERVAL_S
        self.is_running = False
        self.availability = availability.StoreAvailability("storage VMs")
        self.read_lock = anyio.Lock()
        self.on_change: collections.abc.Callable[[], None] = lambda: None

    @property
    def eligible(self) -> list[source.StorageVm]:
        """Return the VMs that take turns."""
        return [vm for vm in self.vms if not vm.leaving]

    async def use(self, tasks: anyio.abc.TaskGroup) -> None:
        """Keep the list up to date for some time; the first use waits for a read."""
        self.used_at = clock.now()
        if self.storage_vms is None:
            return
        if not self.is_running:
            self.is_running = True
            background.start_service(tasks, self.run)
        if len(self.eligible) >= self.enough:
            self.shortage_s = SHORTAGE_INTERVAL_S
        elif clock.now() >= self.fresh_at + self.shortage_s:
            asked_at = clock.now()
            if await self.read_fresh(asked_at) and self.fresh_at >= asked_at:
                self.shortage_s = min(MAX_SHORTAGE_INTERVAL_S, 2 * self.shortage_s)

    async def run(self) -> None:
        """Read the list again and again until it is not needed any more."""
        interval_s = FIRST_INTERVAL_S
        while self.is_needed() and clock.now() - self.used_at < IDLE_S:
            if len(self.eligible) >= self.enough:
                interval_s = random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S)
            await anyio.sleep(interval_s)
            await self.read(may_be_stale=True)
            interval_s = min(2 * interval_s, random.uniform(MIN_INTERVAL_S, MAX_INTERVAL_S))
        # After an error, the service is started again and goes on.
        self.is_running = False

    async def read(self, *, may_be_stale: bool) -> bool:
        """Read the list once; return whether that succeeded. A failed read changes nothing."""
        if self.storage_vms is None:
            return False
        try:
            found = await self.storage_vms.read(may_be_stale=may_be_stale)
        except exceptions.StoreError as error:
            self.availability.record_failure(error)
            return False
        self.availability.record_success()
        self.apply(found)
        return True

    async def read_fresh(self, after: float) -> bool:
        """Return whether the list was read, and not stale, since a monotonic time.

        Requests that wait share a read. After a failure they fail at once for a while.
        """
        async with self.read_lock:
            if self.fresh_at >= after:
                return True
            if self.attempted_at > self.fresh_at:
                if clock.now() < self.attempted_at + FRESH_INTERVAL_S:
                    return False
            else:
                await clock.sleep_until(self.attempted_at + FRESH_INTERVAL_S)
            started_at = clock.now()
            is_read = await self.read(may_be_stale=False)
            # A failed read that took long is not repeated at once by the requests that waited.
            self.attempted_at = started_at if is_read else clock.now()
            self.fresh_at = started_at if is_read else self.fresh_at
            return is_read

    def apply(self, found: source.StorageVmList) -> None:
        """Take over a list unless a newer one is known: stale reads may go back in time."""
        if found.revision < self.revision:
            return
        self.revision = found.revision
        if found.vms != self.vms:
            self.vms = found.vms
            self.on_change()
