"""Finds the nodes that decide on a key, and skips those that do not respond."""

import collections.abc
import typing

from dogwoodgap import clock, exceptions, members, membership, ownership_order, peers

UNREACHABLE_S = 1.0
"""Time for which an owner that did not respond is not asked again."""

MessageT = typing.TypeVar("MessageT")


class NodeSelection:
    """Selects the nodes that own the keys of one kind, by rendezvous hashing.

    Parameters
    ----------
    kind : str
        Name of the kind of keys.
    count : int
        Number of nodes to select.
    """

    def __init__(self, kind: str, count: int):
        self.kind = kind
        self.order = ownership_order.OwnershipOrder(count)
        self.nodes: frozenset[str] = frozenset()

    def select(self, nodes: frozenset[str]) -> frozenset[str]:
        """Return the selected nodes; the same object until they change."""
        selected = frozenset(self.order.first(self.kind, nodes))
        if selected != self.nodes:
            self.nodes = selected
        return self.nodes


class OwnerSearch:
    """Asks the owners of keys, which are chosen by rendezvous hashing over the members.

    Parameters
    ----------
    owners : int
        Nodes that are asked in turn.
    timeout_s : float
        Time that an owner has to respond, in seconds.
    log_lost : callable
        Called with an owner that does not respond, the key and the error.
    select_nodes : callable, optional
        Returns the nodes among the given ones that may be owners; all of them by default. It has to
        return the same object until they change.
    """

    def __init__(
        self,
        owners: int,
        timeout_s: float,
        log_lost: collections.abc.Callable[[members.Member, str, exceptions.PeerError], None],
        select_nodes: collections.abc.Callable[[frozenset[str]], frozenset[str]] | None = None,
    ):
        self.timeout_s = timeout_s
        self.log_lost = log_lost
        self.select_nodes = select_nodes
        self.ownership = ownership_order.OwnershipOrder(owners)
        self.failed_at: dict[str, float] = {}
        self.membership: membership.Membership | None = None
        self.network: peers.Network | None = None

    def join(self, joined: membership.Membership, network: peers.Network) -> None:
        """Start to ask the members of a fleet."""
        self.membership = joined
        self.network = network

    def is_responsive(self, node: str) -> bool:
        """Return whether a node has not failed to respond lately."""
        return clock.now() - self.failed_at.get(node, -UNREACHABLE_S) >= UNREACHABLE_S

    def first(self, key: str) -> list[str]:
        """Return the names of the first nodes in the order of ownership of a key."""
        nodes = self.membership.table.alive_nodes()
        if self.select_nodes is not None:
            nodes = self.select_nodes(nodes)
        return self.ownership.first(key, nodes)

    def owners(self, key: str) -> list[members.Member | None]:
        """Return the nodes to ask in turn; None stands for this node."""
        if self.membership is None:
            return [None]
        table = self.membership.table
        first = [table.members[node] for node in self.first(key)]
        responsive = [
            None if member is table.local else member
            for member in first
            if self.is_responsive(member.node)
        ]
        return responsive if first else [None]

    async def ask(
        self,
        owner: members.Member,
        key: str,
        message: typing.Any,
        reply_type: type[MessageT],
        timeout_s: float | None = None,
    ) -> MessageT | None:
        """Return the reply of an owner, or None if it does not respond."""
        try:
            reply = await self.network.request(
                owner.peer_address, message, reply_type, timeout_s=timeout_s or self.timeout_s
            )
        except exceptions.PeerError as error:
            was_responsive = self.is_responsive(owner.node)
            self.failed_at[owner.node] = clock.now()
            if was_responsive:
                self.log_lost(owner, key, error)
            return None
        return reply.message
