"""Reads the chain of turns that a turn continues."""

import collections.abc
import dataclasses

from dogwoodgap import clock, exceptions, exposition, source
from dogwoodgap.history import (
    cache,
    contact,
    copies,
    exchange,
    health,
    lookup,
    placement,
    turns,
)

OnFound = collections.abc.Callable[[turns.Turn], None]


@dataclasses.dataclass(slots=True)
class Chain:
    """The turns that a turn continues, oldest first, and how many of them were cached."""

    turns: list[turns.Turn]
    cached: int


class ChainReader:
    """Reads chains from the cache and from the storage VMs.

    Parameters
    ----------
    vm_contact : contact.Contact
        Contact with the storage VMs.
    turn_cache : cache.TurnCache
        Turns that were read or stored recently.
    data_centre : str
        Data centre of the gateway, whose storage VMs are read first.
    """

    def __init__(self, vm_contact: contact.Contact, turn_cache: cache.TurnCache, data_centre: str):
        self.contact = vm_contact
        self.follower = vm_contact.follower
        self.exchange: exchange.Exchange = vm_contact.exchange
        self.cache = turn_cache
        self.data_centre = data_centre

    async def read(self, turn_id: str, customer: str, on_found: OnFound) -> Chain:
        """Return a turn and the turns that it continues.

        Parameters
        ----------
        customer : str
            Name of the customer whose turn it has to be.
        on_found : callable
            Called once with each turn; what it raises ends the reading.

        Raises
        ------
        UnknownTurnError
            If it certainly does not exist, or belongs to another customer.
        HistoryUnavailableError
            If that is not certain, or a part of the chain cannot be read.
        """
        named = self.cached(turn_id, customer)
        cached_count = int(named is not None)
        if named is None:
            named = await self.find(turn_id)
        if named is None or named.customer != customer:
            # The same words for both, so that nobody learns of the turns of other customers.
            raise exceptions.UnknownTurnError(
                f"no turn {turn_id!r} is retained; it may have expired, or was not completed: "
                "send the whole prompt as a first turn"
            )
        on_found(named)
        found: dict[str, turns.Turn] = {}
        for ancestor_id in named.ancestors:
            ancestor = self.cached(ancestor_id, customer)
            if ancestor is not None:
                found[ancestor_id] = ancestor
                on_found(ancestor)
        cached_count += len(found)
        await self.fetch_ancestors(named, found, on_found)
        chain = [*(found[ancestor_id] for ancestor_id in named.ancestors), named]
        for turn in chain:
            self.cache.put(turn)
        return Chain(chain, cached_count)

    def cached(self, turn_id: str, customer: str) -> turns.Turn | None:
        """Return a turn of a customer from the cache, or None.

        Ids are chosen by callers. If two customers use the same one, the storage VMs keep the turn
        that was stored first, and this cache the last one.
        """
        turn = self.cache.get(turn_id, turns.wall_ms())
        if turn is not None and turn.customer != customer:
            turn = None
        exposition.history_cache.labels("miss" if turn is None else "hit").inc()
        return turn

    async def find(self, turn_id: str) -> turns.Turn | None:
        """Return a turn from the storage VMs, or None if it certainly does not exist.

        Raises
        ------
        HistoryUnavailableError
            If the turn was not found, but may exist.
        """
        began_at = clock.now()
        known = self.follower.vms
        search = self.lookup([turn_id])
        await self.exchange.fetch(search)
        if turn_id in search.found:
            return search.found[turn_id]
        # A turn on VMs that have just been added would otherwise be taken for unknown: no gateway
        # can store on a VM before it is registered.
        is_current = await self.follower.read_fresh(began_at)
        known_runs = {health.run_of(vm) for vm in known}
        added = [vm for vm in self.follower.vms if health.run_of(vm) not in known_runs]
        if added:
            search.add_vms(added)
            await self.exchange.fetch(search)
        if turn_id in search.found:
            return search.found[turn_id]
        if not is_current or not search.is_unknown(turn_id, [*known, *added]):
            raise contact.unavailable(
                "the turn that this one continues was not found, but it may be on a storage VM "
                "that does not respond or lacks some of its turns"
            )
        return None

    async def is_unknown(self, turn_id: str) -> bool:
        """Return whether a turn certainly had no copies on the storage VMs that are known here.

        Each turn has a least number of copies, so that fewer VMs may be without a sure reply.
        """
        if self.cache.get(turn_id, turns.wall_ms()) is not None:
            return False
        known = self.follower.vms
        search = self.lookup([turn_id])
        await self.exchange.fetch(search)
        unsure = [vm for vm in known if not search.is_unknown(turn_id, [vm])]
        least = copies.least_copies(self.contact.required_copies)
        return turn_id not in search.found and len(unsure) < min(least, len(known))

    async def fetch_ancestors(
        self, named: turns.Turn, found: dict[str, turns.Turn], on_found: OnFound
    ) -> None:
        """Add the ancestors of a turn that were not found yet.

        Raises
        ------
        HistoryUnavailableError
            If one cannot be read. They are stored for at least as long as the named turn.
        """
        missing = [turn_id for turn_id in named.ancestors if turn_id not in found]
        if not missing:
            return

        def on_ancestor(turn: turns.Turn) -> None:
            if turn.customer != named.customer:
                raise contact.unavailable(
                    f"the id of turn {turn.id!r}, which this one continues, is in use twice"
                )
            on_found(turn)

        search = self.lookup(missing)
        await self.exchange.fetch(search, on_ancestor)
        found |= search.found
        if search.missing:
            raise contact.unavailable(
                f"{len(search.missing)} of the {len(named.ancestors) + 1} turns that this one "
                "continues could not be read"
            )

    def lookup(self, ids: collections.abc.Iterable[str]) -> lookup.Lookup:
        """Return the search for turns: the nearest holder first, then the others."""
        known = self.follower.vms
        now = clock.now()
        count = self.contact.required_copies
        orders: dict[str, list[source.StorageVm]] = {}
        for turn_id in ids:
            order = placement.holders(turn_id, known)
            nearest = sorted(order[:count], key=lambda vm: vm.data_centre != self.data_centre)
            others = [*order[count:], *(vm for vm in known if vm.leaving)]
            vm_health = self.exchange.health
            orders[turn_id] = [*vm_health.order(nearest, now), *vm_health.order(others, now)]
        return lookup.Lookup(orders, count)
