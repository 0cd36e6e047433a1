"""Chooses the nodes that forward requests for a node without a path to the servers; no I/O.

Two nodes are drawn at random and the one with fewer requests from here is taken, so that the load
of many cut-off nodes spreads over the others. Nodes that helped recently are preferred, since a
node that is cut off itself can only be told by asking it.
"""

import collections
import collections.abc
import random

from dogwoodgap import clock

REFUSED_S = 1.0
"""Time for which a node that did not accept a request is not asked again."""

HELPFUL_S = 10.0
"""Time for which a node that forwarded a request is preferred."""

MIN_HELPFUL = 2
"""Helpful nodes below which others are asked too, so that one node does not get all requests."""


class HelperTable:
    """What one node knows of the others as helpers.

    Attributes
    ----------
    in_flight : collections.Counter
        Requests of this node that each helper is forwarding.
    """

    def __init__(self) -> None:
        self.in_flight: collections.Counter[str] = collections.Counter()
        self.refused_at: dict[str, float] = {}
        self.helped_at: dict[str, float] = {}

    def record_refusal(self, node: str) -> None:
        """Record that a node did not accept a request."""
        self.refused_at[node] = clock.now()
        self.helped_at.pop(node, None)

    def record_help(self, node: str) -> None:
        """Record that a node forwarded a request."""
        self.helped_at[node] = clock.now()

    def choose(self, nodes: collections.abc.Iterable[str]) -> str | None:
        """Return the node to send a request to, or None if none is likely to help."""
        now = clock.now()
        willing = [
            node for node in nodes if now - self.refused_at.get(node, -REFUSED_S) >= REFUSED_S
        ]
        helpful = [
            node for node in willing if now - self.helped_at.get(node, -HELPFUL_S) < HELPFUL_S
        ]
        drawn_from = helpful if len(helpful) >= MIN_HELPFUL else willing
        drawn = random.sample(drawn_from, min(2, len(drawn_from)))
        return min(drawn, key=lambda node: self.in_flight[node], default=None)

    def retain(self, nodes: collections.abc.Collection[str]) -> None:
        """Forget nodes that are no longer members."""
        for table in (self.refused_at, self.helped_at):
            for node in [node for node in table if node not in nodes]:
                del table[node]
