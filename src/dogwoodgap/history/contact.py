"""Checks before a turn runs that enough storage VMs respond to store it."""

import collections.abc
import math

import anyio
import anyio.abc

from dogwoodgap import background, clock, exceptions, source
from dogwoodgap.history import copies, exchange, placement, vms

CHECK_FAILURE_S = 0.5
"""Time for which turns are refused at once after too few storage VMs replied to a check."""


def unavailable(reason: str) -> exceptions.HistoryUnavailableError:
    """Return the error for turns that cannot be read or stored now."""
    return exceptions.HistoryUnavailableError(f"{reason}; retry later")


class Contact:
    """Contact of one gateway with the storage VMs.

    Parameters
    ----------
    follower : vms.StorageVmFollower
        The registered storage VMs.
    vm_exchange : exchange.Exchange
        Sends the checks.
    tolerated_losses : int
        Storage VMs that may lose their disks at the same time.
    tasks : anyio.abc.TaskGroup
        Runs the checks of VMs that are passed over.
    """

    def __init__(
        self,
        follower: vms.StorageVmFollower,
        vm_exchange: exchange.Exchange,
        tolerated_losses: int,
        tasks: anyio.abc.TaskGroup,
    ):
        self.follower = follower
        self.exchange = vm_exchange
        self.health = vm_exchange.health
        self.tolerated_losses = tolerated_losses
        self.tasks = tasks
        self.check_lock = anyio.Lock()
        self.check_failed_at = -math.inf
        follower.on_change = self.forget_removed

    @property
    def required_copies(self) -> int:
        """Return how many copies a turn needs now."""
        return copies.required_copies(self.tolerated_losses, len(self.follower.eligible))

    def forget_removed(self) -> None:
        """Forget the state of storage VMs that are not registered any more."""
        self.health.retain(self.follower.vms)

    async def require(self, turn_id: str) -> None:
        """Check that a turn can be stored.

        Raises
        ------
        HistoryUnavailableError
            If too few storage VMs are in contact.
        """
        await self.follower.use(self.tasks)
        eligible = self.follower.eligible
        if not eligible:
            raise unavailable("no storage VM is registered, as far as this gateway knows")
        self.check_lost(eligible)
        least = copies.least_copies(self.required_copies)
        if self.count(eligible) >= least:
            return
        async with self.check_lock:
            if self.count(eligible) < least and (
                clock.now() >= self.check_failed_at + CHECK_FAILURE_S
            ):
                await self.check(placement.holders(turn_id, eligible), least)
                if self.count(eligible) < least:
                    self.check_failed_at = clock.now()
        if self.count(eligible) < least:
            raise unavailable(
                f"{self.count(eligible)} of {len(eligible)} storage VMs respond, and a turn needs "
                f"{least}"
            )

    def count(self, eligible: collections.abc.Iterable[source.StorageVm]) -> int:
        """Return how many storage VMs have replied recently."""
        return sum(self.health.is_in_contact(vm, clock.now()) for vm in eligible)

    def check_lost(self, eligible: collections.abc.Iterable[source.StorageVm]) -> None:
        """Check storage VMs that are passed over, in the background, now and then."""
        for vm in eligible:
            if self.health.is_lost(vm) and self.health.begin_check(vm, clock.now()):
                background.start(self.tasks, self.exchange.check, vm)

    async def check(self, order: list[source.StorageVm], least: int) -> None:
        """Ask storage VMs that were not heard of recently until enough of them have replied.

        The holders of the turn are asked first, which opens the connections that it will need.
        """
        wakeup = exchange.Wakeup()
        pending: list[source.StorageVm] = []

        async def ask(vm: source.StorageVm) -> None:
            await self.exchange.check(vm)
            pending.remove(vm)
            wakeup.set()

        async with anyio.create_task_group() as tasks:
            for part, wait_s in (
                (order[: self.required_copies], exchange.LATE_FETCH_S),
                (order[self.required_copies :], exchange.CHECK_TIMEOUT_S),
            ):
                for vm in part:
                    if not self.health.is_in_contact(vm, clock.now()):
                        pending.append(vm)
                        tasks.start_soon(ask, vm)
                ends_at = clock.now() + wait_s
                while pending and self.count(order) < least and clock.now() < ends_at:
                    await wakeup.wait(ends_at)
                if self.count(order) >= least:
                    break
            if self.count(order) >= least:
                tasks.cancel_scope.cancel()
