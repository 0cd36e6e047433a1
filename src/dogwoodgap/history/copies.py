"""Decides to which storage VMs the copies of turns are sent, and when they suffice; no I/O.

One plan stores a turn, and the turns of its chain that would expire before it.
"""

import collections.abc
import dataclasses

from dogwoodgap import source

SAFE_COPIES = 2
"""Copies with which a turn may end while other storage VMs do not respond."""


def required_copies(tolerated_losses: int, eligible: int) -> int:
    """Return how many copies a turn needs, given the number of VMs that take turns."""
    return min(tolerated_losses + 1, eligible)


def least_copies(required: int) -> int:
    """Return the number of copies below which a response must not end."""
    return min(SAFE_COPIES, required)


@dataclasses.dataclass(slots=True)
class TurnCopies:
    """Copies of one turn.

    Attributes
    ----------
    untried : list of StorageVm
        VMs that have not been asked yet, in order of preference.
    pending : set of str
        Names of the VMs that may still reply in time.
    confirmed : set of str
        Names of the VMs that have it on their disks.
    """

    untried: list[source.StorageVm]
    pending: set[str] = dataclasses.field(default_factory=set)
    confirmed: set[str] = dataclasses.field(default_factory=set)


class CopyPlan:
    """Copies of some turns.

    Parameters
    ----------
    orders : mapping
        VMs in order of preference, by the id of the turn.
    required : int
        Copies that each turn should have.
    """

    def __init__(self, orders: collections.abc.Mapping[str, list[source.StorageVm]], required: int):
        self.turns = {turn_id: TurnCopies(list(order)) for turn_id, order in orders.items()}
        self.required = required

    def next_requests(self) -> list[tuple[source.StorageVm, list[str]]]:
        """Return the VMs to ask now, each with the ids of the turns that it should store."""
        by_node: dict[str, tuple[source.StorageVm, list[str]]] = {}
        for turn_id, copies in self.turns.items():
            while copies.untried and len(copies.pending) + len(copies.confirmed) < self.required:
                vm = copies.untried.pop(0)
                copies.pending.add(vm.node)
                by_node.setdefault(vm.node, (vm, []))[1].append(turn_id)
        return list(by_node.values())

    def record_confirmation(self, vm: source.StorageVm, ids: collections.abc.Iterable[str]) -> None:
        """Record that a VM has stored turns, maybe after it was given up."""
        for turn_id in ids:
            self.turns[turn_id].pending.discard(vm.node)
            self.turns[turn_id].confirmed.add(vm.node)

    def give_up(self, vm: source.StorageVm, ids: collections.abc.Iterable[str]) -> None:
        """Record that a VM is late or has failed, so that the next ones replace it."""
        for turn_id in ids:
            self.turns[turn_id].pending.discard(vm.node)

    @property
    def is_complete(self) -> bool:
        """Return whether all turns have all their copies."""
        return all(len(copies.confirmed) >= self.required for copies in self.turns.values())

    @property
    def is_safe(self) -> bool:
        """Return whether all turns have as many copies as a response needs to end."""
        return self.fewest >= least_copies(self.required)

    @property
    def fewest(self) -> int:
        """Return the number of copies of the turn that has the fewest ones."""
        return min(len(copies.confirmed) for copies in self.turns.values())

    @property
    def total(self) -> int:
        """Return the number of copies of all turns."""
        return sum(len(copies.confirmed) for copies in self.turns.values())

    @property
    def is_exhausted(self) -> bool:
        """Return whether some turn lacks copies and no further VM can be asked for it."""
        return any(
            not copies.untried and len(copies.pending) + len(copies.confirmed) < self.required
            for copies in self.turns.values()
        )
