"""Decides which storage VMs hold the copies of a retained turn.

Gateways and storage VMs compute the same order from the same list of VMs, so no place has to be
recorded. The load is one call for each turn that is stored, read or repaired, over tens of VMs.
"""

import collections.abc

from dogwoodgap import hashing, source


def holders(
    turn_id: str, vms: collections.abc.Sequence[source.StorageVm]
) -> list[source.StorageVm]:
    """Return all VMs that may hold a turn, in order of preference.

    The first one VM of each data centre, by the rendezvous hash of the turn's id, then the second
    ones, and so on: any number of copies is spread over as many data centres as possible.

    Parameters
    ----------
    turn_id : str
        Id of the turn.
    vms : sequence of StorageVm
        The registered VMs, in any order; those that are leaving are excluded.

    Returns
    -------
    list of StorageVm
        As many of the first ones as there are copies are the holders of the turn. The others
        replace, in this order, holders that cannot be reached.
    """
    eligible = {vm.node: vm for vm in vms if not vm.leaving}
    counts: dict[str, int] = {}
    ranked = []
    for node in hashing.rendezvous_order(turn_id, eligible):
        vm = eligible[node]
        rank = counts.get(vm.data_centre, 0)
        counts[vm.data_centre] = rank + 1
        ranked.append((rank, vm))
    ranked.sort(key=lambda entry: entry[0])  # stable: the hash order remains within a rank
    return [vm for _, vm in ranked]
