"""Discovery: the entry addresses that a caller should use, in order of preference."""

import collections.abc

import msgspec

from dogwoodgap import hashing, members, shards

OwnerLookup = collections.abc.Callable[[int], str]
"""Returns the name of the node that owns a shard; empty when it has no owner."""


class Entry(msgspec.Struct, frozen=True):
    """One entry address."""

    address: str
    node: str
    data_centre: str


class Entries(msgspec.Struct, frozen=True):
    """Response of ``GET /v1/entries``; the caller may cache it for ``ttl_seconds``."""

    entries: list[Entry]
    ttl_seconds: float


class Discovery:
    """Ranks entry addresses using the member table and the cached shard assignment.

    Parameters
    ----------
    alive : callable
        Returns the members that are neither leaving, suspect nor dead.
    owner : callable
        Returns the node that owns a shard.
    data_centre : str
        Data centre of this node; its nodes come first when the shard has no live owner.
    ttl_s : float
        Maximum time for which callers may cache a response, in seconds.
    """

    def __init__(
        self,
        alive: collections.abc.Callable[[], list[members.Member]],
        owner: OwnerLookup,
        data_centre: str,
        ttl_s: float,
    ):
        self.alive = alive
        self.owner = owner
        self.data_centre = data_centre
        self.ttl_s = ttl_s

    def entries(self, customer: str, program: str = "") -> Entries:
        """Return the owner of a program, then the nodes of its data centre, then the others.

        Nodes of equal rank are ordered by a hash of program and node, which distributes the
        callers of different programs.
        """
        alive = self.alive()
        shard = shards.program_shard(customer, program)
        owner = self.owner(shard) if program else ""
        centres = [member.data_centre for member in alive if member.node == owner]
        centre = centres[0] if centres else self.data_centre

        def rank(member: members.Member) -> tuple[bool, bool, int]:
            tie_break = hashing.stable_hash(f"{customer}/{shards.root_of(program)}/{member.node}")
            return member.node != owner, member.data_centre != centre, tie_break

        ordered = sorted(alive, key=rank)
        return Entries(
            [Entry(member.http_address, member.node, member.data_centre) for member in ordered],
            self.ttl_s,
        )
