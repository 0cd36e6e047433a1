"""Stores whole turns on the storage VMs."""

import collections.abc
import dataclasses

from dogwoodgap import clock, events, exposition, source
from dogwoodgap.history import (
    cache,
    contact,
    copies,
    exchange,
    placement,
    recording,
    reporting,
    turns,
)


class TurnWriter:
    """Stores turns with all their copies.

    Parameters
    ----------
    vm_contact : contact.Contact
        Contact with the storage VMs.
    turn_cache : cache.TurnCache
        Gets the turns that were stored.
    """

    def __init__(self, vm_contact: contact.Contact, turn_cache: cache.TurnCache):
        self.contact = vm_contact
        self.exchange: exchange.Exchange = vm_contact.exchange
        self.cache = turn_cache
        self.log = reporting.LimitedLog()

    async def store(
        self,
        turn: turns.Turn,
        expiring: collections.abc.Iterable[turns.Turn],
        retain_s: float,
        explanation: recording.Explanation,
    ) -> None:
        """Store a turn that ends now, and extend the turns of its chain that expire before it.

        Parameters
        ----------
        expiring : iterable of Turn
            Turns of its chain that may expire before it.

        Raises
        ------
        HistoryUnavailableError
            If too few storage VMs have them on their disks.
        """
        started_at = clock.now()
        now_ms = turns.wall_ms()
        required_ms = turns.required_ms(now_ms, retain_s)
        expires_ms = turns.stored_ms(now_ms, retain_s)
        records = {
            turn.id: dataclasses.replace(turn, ended_ms=now_ms, expires_ms=expires_ms),
            **{
                ancestor.id: dataclasses.replace(ancestor, expires_ms=expires_ms)
                for ancestor in expiring
                if ancestor.expires_ms < required_ms
            },
        }
        required = self.contact.required_copies
        orders = {turn_id: self.order(turn_id, required) for turn_id in records}
        plan = copies.CopyPlan(orders, required)
        if required:
            await self.exchange.store(plan, records)
        took_s = clock.now() - started_at
        explanation.copies = plan.fewest
        explanation.extended = len(records) - 1
        explanation.store_ms = round(took_s * 1000, 1)
        exposition.history_store_time.observe(took_s)
        exposition.history_copies.inc(plan.total)
        if not required or not plan.is_safe:
            exposition.history_turns.labels("failed").inc()
            self.log.emit(
                events.Event.TURN_NOT_STORED,
                "a turn could not be stored; its response is broken off",
                request=turn.id,
                copies=plan.fewest,
                required=required,
                took_ms=explanation.store_ms,
            )
            raise contact.unavailable(
                f"{plan.fewest} of {required} copies of the turn were confirmed"
            )
        exposition.history_turns.labels("stored" if plan.is_complete else "fewer_copies").inc()
        for stored in records.values():
            self.cache.put(stored)

    def order(self, turn_id: str, required: int) -> list[source.StorageVm]:
        """Return the VMs that take a turn, in order of preference.

        Lost ones are left out as long as there are enough others, so that no turn waits for them.
        """
        vm_health = self.exchange.health
        order = placement.holders(turn_id, self.contact.follower.vms)
        responding = [vm for vm in order if not vm_health.is_lost(vm)]
        if len(responding) >= copies.least_copies(required):
            order = responding
        return vm_health.order(order, clock.now())
