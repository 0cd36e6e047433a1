"""Decides whether a storage VM has every turn that should be stored on it; no I/O.

A gateway may say that a turn does not exist only if all storage VMs say that they lack it, and each
of them would have it. A VM whose disk was lost can say so once all other VMs have offered it their
turns, or once all turns of the time before have expired.
"""

import collections.abc


class Completeness:
    """Knowledge of one storage VM.

    Parameters
    ----------
    incomplete_until_ms : int
        Unix ms until which turns from before the loss of the disk may exist; 0 without a loss.

    Attributes
    ----------
    offered_by : set of str
        VMs that were complete and have offered this process all turns that it should have.
    incomplete_nodes : set of str
        VMs that said last that they are not complete.
    """

    def __init__(self, incomplete_until_ms: int = 0):
        self.incomplete_until_ms = incomplete_until_ms
        self.offered_by: set[str] = set()
        self.incomplete_nodes: set[str] = set()

    def record_offer(self, node: str, *, is_complete: bool, has_offered_all: bool) -> None:
        """Record what another storage VM says about itself."""
        if is_complete:
            self.incomplete_nodes.discard(node)
            if has_offered_all:
                self.offered_by.add(node)
        else:
            self.incomplete_nodes.add(node)

    def is_complete(self, now_ms: float) -> bool:
        """Return whether no turn is missing, as far as that is decided."""
        return self.incomplete_until_ms <= now_ms

    def is_repaired(self, others: collections.abc.Set[str], copies: int) -> bool:
        """Return whether the other VMs have offered everything that was lost.

        VMs that have lost their disks as well have nothing to offer. As long as there are fewer of
        them than copies of a turn, this VM included, each turn is left on another VM.

        Parameters
        ----------
        others : set of str
            All registered storage VMs but this one.
        copies : int
            Copies of each turn, if there are as many VMs.
        """
        waiting = others - self.offered_by
        losses = 1 + len(waiting)
        return waiting <= self.incomplete_nodes and losses < min(copies, len(others) + 1)

    def complete(self) -> None:
        """Record that the VM has been repaired."""
        self.incomplete_until_ms = 0
