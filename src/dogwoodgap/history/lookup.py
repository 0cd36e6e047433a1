"""Decides which storage VMs are asked for turns, and whether a turn certainly does not exist.

No I/O. The load is one lookup for the named turn and one for its ancestors, for each turn that
continues another one.
"""

import collections.abc

from dogwoodgap import source
from dogwoodgap.history import health, turns

MAX_IDS_PER_REQUEST = 16
"""Turns asked for in one request of the first round. A VM closes the connection if its reply would
exceed a frame; later rounds ask for each turn by itself, which always fits."""

Request = tuple[source.StorageVm, list[str]]


class Lookup:
    """Search for some turns.

    Parameters
    ----------
    orders : mapping
        All VMs by the id of the turn, in the order in which they are asked.
    holder_count : int
        Number of the first ones that are asked one after another; then all others are asked.

    Attributes
    ----------
    found : dict
        The turns that were found, by id.
    """

    def __init__(
        self, orders: collections.abc.Mapping[str, list[source.StorageVm]], holder_count: int
    ):
        self.untried = {turn_id: list(order) for turn_id, order in orders.items()}
        self.holder_count = holder_count
        self.round = 0
        self.found: dict[str, turns.Turn] = {}
        self.lacking: dict[str, set[health.Run]] = {turn_id: set() for turn_id in orders}

    @property
    def missing(self) -> list[str]:
        """Return the ids of the turns that were not found yet."""
        return [turn_id for turn_id in self.untried if turn_id not in self.found]

    def next_round(self) -> list[Request]:
        """Return the next VMs to ask, or nothing if all have been asked for the missing turns."""
        self.round += 1
        width = 1 if self.round <= self.holder_count else None
        wanted: dict[str, Request] = {}
        for turn_id in self.missing:
            order = self.untried[turn_id]
            taken, self.untried[turn_id] = (order[:width], order[width:] if width else [])
            for vm in taken:
                wanted.setdefault(vm.node, (vm, []))[1].append(turn_id)
        step = MAX_IDS_PER_REQUEST if self.round == 1 else 1
        return [
            (vm, ids[start : start + step])
            for vm, ids in wanted.values()
            for start in range(0, len(ids), step)
        ]

    def add_vms(self, vms: collections.abc.Iterable[source.StorageVm]) -> None:
        """Ask further VMs, which have registered meanwhile."""
        for turn_id in self.missing:
            self.untried[turn_id] += vms

    def record_reply(
        self,
        vm: source.StorageVm,
        ids: collections.abc.Iterable[str],
        received: collections.abc.Iterable[turns.Turn],
        *,
        is_complete: bool,
    ) -> list[turns.Turn]:
        """Record a reply, and return the turns that were not found before."""
        by_id = {turn.id: turn for turn in received}
        new: list[turns.Turn] = []
        for turn_id in ids:
            turn = by_id.get(turn_id)
            if turn is None:
                if is_complete:
                    self.lacking[turn_id].add(health.run_of(vm))
            elif turn_id not in self.found:
                self.found[turn_id] = turn
                new.append(turn)
        return new

    def is_unknown(
        self, turn_id: str, registered: collections.abc.Iterable[source.StorageVm]
    ) -> bool:
        """Return whether a turn is certainly on none of the registered VMs."""
        vms = list(registered)
        return bool(vms) and all(health.run_of(vm) in self.lacking[turn_id] for vm in vms)
