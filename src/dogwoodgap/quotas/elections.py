"""Decides from the replies of witnesses whether a node owns a quota; no I/O."""

import dataclasses

from dogwoodgap import members
from dogwoodgap_wire import ttypes

POLL_SHARE = 0.75
"""Part of all nodes that must respond to an owner without a majority of witnesses. More than half,
so that the smaller part of a split fleet does not grant the same quota again."""

Offered = tuple[members.Member, ttypes.QuotaUsageReply]
"""A node and its reply to the offer of another one to own a quota."""


@dataclasses.dataclass(frozen=True, slots=True)
class Election:
    """One attempt of a node to become the owner.

    Attributes
    ----------
    witnesses : list of str
        Nodes of which a majority has to accept the owner.
    local : str
        The node that wants to become the owner.
    local_age_s : float
        Time in seconds since which it knows of grants.
    needed_s : float
        Time for which a grant may count, in seconds.
    """

    witnesses: list[str]
    local: str
    local_age_s: float
    needed_s: float

    @property
    def votes_needed(self) -> int:
        """Return how many other witnesses have to accept the node.

        A process that started lately has forgotten which owner it accepted, so that neither its
        own vote nor that of such a witness counts.
        """
        is_voter = self.local in self.witnesses and not self.is_local_young
        return len(self.witnesses) // 2 + (not is_voter)

    def votes(self, replies: list[Offered]) -> int:
        """Return how many other witnesses have accepted the node."""
        voters = {
            member.node
            for member, reply in replies
            if reply.accepted and (reply.age_s or 0.0) >= self.needed_s
        }
        return len(voters.intersection(self.witnesses))

    def is_elected(self, replies: list[Offered]) -> bool:
        """Return whether a majority of the witnesses has accepted the node."""
        return self.votes(replies) >= self.votes_needed

    @property
    def is_local_young(self) -> bool:
        """Return whether this node may not know members that were lost before it started.

        The witnesses that it knows may then have no grants of the lost ones.
        """
        return self.local_age_s < self.needed_s

    def is_handed_over(self, replies: list[Offered]) -> bool:
        """Return whether the owner itself has replied with its grants."""
        return any(
            reply.record
            and reply.record.holder == member.node
            and reply.record.data_term == reply.record.term
            for member, reply in replies
        )

    def is_complete(self, replies: list[Offered]) -> bool:
        """Return whether the replies show all grants.

        They do with one of the owner, or of a majority of witnesses that were up for long enough.
        """
        if self.is_handed_over(replies):
            return True
        if self.is_local_young:
            return False
        ages_s = {member.node: reply.age_s or 0.0 for member, reply in replies}
        ages_s[self.local] = self.local_age_s
        experienced = [node for node in self.witnesses if ages_s.get(node, 0.0) >= self.needed_s]
        return len(experienced) > len(self.witnesses) // 2

    def is_decided(self, replies: list[Offered]) -> bool:
        """Return whether further replies would change nothing.

        The reply of the owner is waited for, since the witnesses lack its last grants.
        """
        if not all(reply.accepted for _, reply in replies):
            return True
        return self.is_elected(replies) and self.is_handed_over(replies)
