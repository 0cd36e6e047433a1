"""Passes messages to all nodes of a fleet along the connections between partners.

A node that has a message is responsible for a part of the hash ring. It passes the message to its
partners in that part, each of which takes over the part up to the next one. Every node thus gets
the message once, within a few hops, and no node sends it to more than its partners. If a partner
does not respond, the node after it takes over its part.
"""

import collections.abc
import typing

import anyio
import anyio.abc

from dogwoodgap import background, clock, exceptions, hashing, members, membership, peers, ring
from dogwoodgap_wire import ttypes

DELIVERY_TIMEOUT_S = 0.5
UNREACHABLE_S = 3.0
"""Time for which a node that did not respond is skipped, unless it is heard of again."""

Deliver = collections.abc.Callable[[members.Member, int], collections.abc.Awaitable[None]]
"""Sends a message to a member, with the end of its part; may raise ``PeerError``."""


class Broadcaster:
    """Passes messages on from one node.

    Parameters
    ----------
    joined : membership.Membership
        Membership of the node.
    network : peers.Network
        Connections to other nodes.
    tasks : anyio.abc.TaskGroup
        Runs the deliveries.
    """

    def __init__(
        self,
        joined: membership.Membership,
        network: peers.Network,
        tasks: anyio.abc.TaskGroup,
    ):
        self.membership = joined
        self.network = network
        self.tasks = tasks
        self.failed_at: dict[str, float] = {}
        self.ring = ring.Ring([joined.local.node])
        self.ring_version = -1

    def current_ring(self) -> ring.Ring:
        """Return the ring of all members that are not dead."""
        table = self.membership.table
        if self.ring_version != table.version:
            names = [member.node for member in [table.local, *table.others()]]
            self.ring = ring.Ring(names)
            self.ring_version = table.version
            self.failed_at = {
                node: at for node, at in self.failed_at.items() if node in table.members
            }
        return self.ring

    def start(self, deliver: Deliver, part_end: int | None = None) -> None:
        """Pass a message on in the background.

        Parameters
        ----------
        deliver : callable
            Sends the message to one member.
        part_end : int, optional
            End of this node's part as received with the message; the whole ring by default.
        """
        local = self.membership.local.node
        end = hashing.stable_hash(local) if part_end is None else part_end % ring.RING_SIZE
        partners = {member.node for member in self.membership.detector.partner_members()}
        for node, node_end in self.current_ring().delegates(local, partners, end):
            background.start(self.tasks, self.delegate, deliver, node, node_end)

    async def delegate(self, deliver: Deliver, node: str | None, end: int) -> None:
        """Pass a message to a node for its part, or to the first one behind it that responds."""
        while node is not None:
            member = self.membership.find(node)
            if member is not None and not self.is_unreachable(member):
                try:
                    await deliver(member, hashing.to_signed(end))
                except exceptions.PeerError:
                    self.failed_at[node] = clock.now()
                else:
                    return
            node = self.current_ring().next_before(node, end)

    def is_unreachable(self, member: members.Member) -> bool:
        """Return whether a member did not respond recently and was not heard of since."""
        failed_at = self.failed_at.get(member.node)
        if failed_at is None or member.last_contact_at > failed_at:
            return False
        return clock.now() - failed_at < UNREACHABLE_S

    async def request(self, member: members.Member, message: typing.Any) -> ttypes.Ack:
        """Send a message to a member and return its acknowledgement."""
        reply = await self.network.request(
            member.peer_address, message, ttypes.Ack, timeout_s=DELIVERY_TIMEOUT_S
        )
        return reply.message
