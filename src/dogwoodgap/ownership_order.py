"""Orders nodes as owners of a program by rendezvous hashing; no I/O.

Only the first nodes of an order are used, but finding them takes a hash for each node. Orders are
therefore kept, and after a change of the nodes only the new ones are hashed. This keeps the cost of
a turn, and of a membership change for each account, independent of the size of the fleet.
"""

import collections.abc
import dataclasses
import heapq

import cachetools

from dogwoodgap import hashing

MAX_PROGRAMS = 8_192
"""Programs whose order is kept; about 1 kB each."""

RankedNode = tuple[int, str]
"""Hash and name of a node; the smallest one is the first owner."""


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The first nodes of a program's order among a set of nodes."""

    nodes: frozenset[str]
    first: tuple[RankedNode, ...]


class OwnershipOrder:
    """Returns the first nodes in the order of ownership of a program.

    Parameters
    ----------
    length : int
        Number of nodes to return.
    """

    def __init__(self, length: int):
        self.length = length
        self.orders: cachetools.LRUCache[str, Order] = cachetools.LRUCache(MAX_PROGRAMS)

    def first(self, program: str, nodes: frozenset[str]) -> list[str]:
        """Return the first nodes of a program's order among ``nodes``."""
        known = self.orders.get(program)
        if known is None or known.nodes is not nodes:
            self.orders[program] = known = Order(nodes, self.rank(program, nodes, known))
        return [node for _, node in known.first]

    def rank(
        self, program: str, nodes: frozenset[str], known: Order | None
    ) -> tuple[RankedNode, ...]:
        """Return the first nodes with their hashes, from an earlier order if that is possible."""
        candidates: collections.abc.Iterable[RankedNode] = ()
        unranked = nodes
        if known is not None and nodes.issuperset(node for _, node in known.first):
            unranked, candidates = nodes - known.nodes, known.first
        ranked = [(hashing.stable_hash(f"{program}@{node}"), node) for node in unranked]
        return tuple(heapq.nsmallest(self.length, [*candidates, *ranked]))
