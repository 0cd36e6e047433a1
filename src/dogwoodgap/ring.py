"""Positions of nodes on a hash ring, from which each node derives its partners; no I/O."""

import bisect
import collections.abc

from dogwoodgap import hashing

RING_SIZE = 1 << 64
FULL_MESH_NODES = 16
DISTANCES = 4
"""Partners lie at the fourth roots of the number of nodes, so that a change needs few hops."""

MAX_POINTING = 2
"""Nodes that may have the same partner at one distance; hashes are not spread evenly."""


class Ring:
    """The nodes of a fleet in the order of their hashes.

    Parameters
    ----------
    names : iterable of str
        Names of all nodes.
    """

    def __init__(self, names: collections.abc.Iterable[str]):
        points = sorted((hashing.stable_hash(name), name) for name in names)
        self.hashes = [point for point, _ in points]
        self.names = [name for _, name in points]

    def index(self, name: str) -> int:
        """Return the position of a node."""
        return bisect.bisect_left(self.hashes, hashing.stable_hash(name))

    def closest(self, point: int) -> int:
        """Return the position of the node that is closest to a point of the ring."""
        after = bisect.bisect_left(self.hashes, point % RING_SIZE) % len(self.hashes)
        before = after - 1
        distance_after = (self.hashes[after] - point) % RING_SIZE
        distance_before = (point - self.hashes[before]) % RING_SIZE
        return after if distance_after < distance_before else before % len(self.hashes)

    def offsets(self) -> list[int]:
        """Return the distances to the partners beyond the neighbours, as parts of the ring.

        The number of nodes is rounded up to a power of two, so that the partners stay the same
        while single nodes come and go.
        """
        rounded = 1 << (len(self.hashes) - 1).bit_length()
        return [
            RING_SIZE // rounded * round(rounded ** (power / DISTANCES))
            for power in range(1, DISTANCES)
        ]

    def partners(self, name: str) -> set[str]:
        """Return the partners of a node: all others in a small fleet, about 8 in a larger one.

        These are its neighbours, the nodes closest to fixed distances, and the nodes for which it
        is the closest one itself. Partnership is mutual, and there are at most 11 partners.
        """
        if len(self.names) <= FULL_MESH_NODES:
            return set(self.names) - {name}
        position = self.index(name)
        count = len(self.names)
        chosen = {(position + 1) % count, (position - 1) % count}
        for offset in self.offsets():
            closest = self.closest(self.hashes[position] + offset)
            if position in self.pointing_to(closest, offset):
                chosen.add(closest)
            chosen |= self.pointing_to(position, offset)
        return {self.names[index] for index in chosen if index != position}

    def delegates(self, name: str, partners: set[str], end: int) -> list[tuple[str, int]]:
        """Return which partners pass a message on to which part of the ring.

        Parameters
        ----------
        name : str
            Node that has the message.
        partners : set of str
            Nodes to which it has connections.
        end : int
            End of the part for which the node is responsible, which starts at the node itself. Its
            own point stands for the whole ring.

        Returns
        -------
        list of (str, int)
            Partners, and the ends of the parts that start at them.
        """
        start = hashing.stable_hash(name)
        distances = sorted(
            ((hashing.stable_hash(partner) - start) % RING_SIZE, partner) for partner in partners
        )
        length = (end - start) % RING_SIZE or RING_SIZE
        inside = [(distance, partner) for distance, partner in distances if distance < length]
        ends = [(start + distance) % RING_SIZE for distance, _ in inside[1:]]
        return [(partner, last) for (_, partner), last in zip(inside, [*ends, end], strict=False)]

    def next_before(self, name: str, end: int) -> str | None:
        """Return the node that follows a node on the ring, or None if it lies beyond an end."""
        start = hashing.stable_hash(name)
        after = bisect.bisect_right(self.hashes, start) % len(self.hashes)
        distance = (self.hashes[after] - start) % RING_SIZE or RING_SIZE
        return self.names[after] if distance < (end - start) % RING_SIZE else None

    def pointing_to(self, position: int, offset: int) -> set[int]:
        """Return the nodes for which the node at a position is the partner at a distance."""
        count = len(self.names)
        point = (self.hashes[position] - offset) % RING_SIZE
        start = bisect.bisect_left(self.hashes, point)
        found: list[int] = []
        for index, step in ((start, 1), (start - 1, -1)):
            walked = index
            while self.closest(self.hashes[walked % count] + offset) == position:
                found.append(walked % count)
                walked += step
        found.sort(
            key=lambda index: min(
                (self.hashes[index] - point) % RING_SIZE, (point - self.hashes[index]) % RING_SIZE
            )
        )
        return set(found[:MAX_POINTING])
