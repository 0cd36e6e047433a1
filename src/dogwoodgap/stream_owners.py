"""Remembers at which software version streams began, so that callers can resume them anywhere.

A caller may resume a stream at any node, also after the loss of the node that served it. While a
service has servers of several software versions, the start of each stream is recorded at the first
nodes in the order of ownership of its program, the same ones that own its token budget.
"""

import math
import random

import anyio
import anyio.abc
import cachetools

from dogwoodgap import (
    background,
    clock,
    dialect,
    events,
    exceptions,
    members,
    membership,
    ownership_order,
    peers,
    routes,
    servers,
    version_history,
)
from dogwoodgap.ownership import past_owners
from dogwoodgap_wire import ttypes

COPIES = 2
"""Other nodes that record the start of a stream; one may be lost together with the serving node."""

OWNERS = COPIES + 1
"""Nodes that are asked for a record; one of them may be the serving node."""

RECORD_TIMEOUT_S = 1.0
"""Nothing waits for a record, and a busy node may be slow to accept a connection."""

QUERY_TIMEOUT_S = 0.2
"""A caller waits for the reply, which takes a round trip of 1 to 3 ms."""

FURTHER_MEMBERS = 8
"""Other nodes that are asked for a record when owners may have lost it."""

MAX_ASKED = OWNERS + FURTHER_MEMBERS
"""Past owners that are asked; there are more only after many changes of members at once."""

MAX_RECORDS = 8_192
"""Streams whose start is remembered; about 200 bytes each."""


class StreamRecorder:
    """Records the software versions of streams, and finds them for callers that resume.

    Parameters
    ----------
    server_registry : servers.ServerRegistry
        Registered backend servers.
    """

    def __init__(self, server_registry: servers.ServerRegistry):
        self.history = version_history.VersionHistory(server_registry)
        self.records: cachetools.LRUCache[str, str] = cachetools.LRUCache(MAX_RECORDS)
        self.ownership = ownership_order.OwnershipOrder(OWNERS)
        self.membership: membership.Membership | None = None
        self.network: peers.Network | None = None
        self.tasks: anyio.abc.TaskGroup | None = None
        self.joined_at = 0.0

    def join(
        self, joined: membership.Membership, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start to exchange records with the members of a fleet."""
        self.membership = joined
        self.network = network
        self.tasks = tasks
        self.joined_at = clock.now()
        network.handlers.register(ttypes.StreamRecord, self.on_record)
        network.handlers.register(ttypes.StreamQuery, self.on_query)

    def record(
        self, call: dialect.Call, route: routes.Route, server: servers.BackendServer
    ) -> None:
        """Record, in the background, that a server began a stream, if that may be needed."""
        window_s = version_history.resume_window_s(route)
        if not call.attempt_id or not self.history.must_record(server.service, window_s):
            return
        self.records[call.attempt_id] = server.software_version
        message = ttypes.StreamRecord(
            attempt=call.attempt_id, software_version=server.software_version
        )
        for member in self.owners(call)[:COPIES]:
            background.start(self.tasks, self.send_record, member, message)

    async def send_record(self, member: members.Member, message: ttypes.StreamRecord) -> None:
        """Send a record to a node; without it, the stream may not be resumed after a failure."""
        try:
            await self.network.request(
                member.peer_address, message, ttypes.Ack, timeout_s=RECORD_TIMEOUT_S
            )
        except exceptions.PeerError as error:
            log_peer_failure(member, message.attempt, error)

    async def find_version(
        self, call: dialect.Call, route: routes.Route, service: str
    ) -> str | None:
        """Return the software version that began the stream that a call resumes; None if unknown.

        Other nodes are asked even if this one can infer the version, since they may have a record,
        a node that has just started can infer nothing, and one that was cut off or suspended may
        not know of a new version yet.
        """
        if (version := self.records.get(call.resumed_attempt)) is not None:
            return version
        window_s = version_history.resume_window_s(route)
        query = ttypes.StreamQuery(
            attempt=call.resumed_attempt, service_name=service, window=window_s
        )
        owners = self.record_holders(call)
        present = self.membership.past_owners.present(owners) if owners else []
        replies = await self.query(present[:MAX_ASKED], query)
        if not any(reply.software_version for reply in replies.values()):
            replies |= await self.query(self.further_members(owners, replies), query)
        if owners and not replies:
            return None  # this node may be cut off, and not know of a new version
        recorded = [reply.software_version for reply in replies.values()]
        if version := next((version for version in recorded if version is not None), None):
            return version
        version = self.infer_version(service, window_s, owners, replies)
        events.emit(
            events.Event.STREAM_VERSION_INFERRED,
            "inferred the software version of a stream without a record",
            request=call.attempt_id,
            program=call.program_id,
            resumed_attempt=call.resumed_attempt,
            version=version,
            owners=[str(owner) for owner in owners],
            replied=sorted(replies),
            lost=sorted(self.lost_owners(owners, replies)),
        )
        return version

    async def query(
        self, members_asked: list[members.Member], query: ttypes.StreamQuery
    ) -> dict[str, ttypes.StreamQueryReply]:
        """Ask nodes for a stream at the same time; return the replies that arrive, by node."""
        replies: dict[str, ttypes.StreamQueryReply] = {}

        async def ask(member: members.Member) -> None:
            try:
                reply = await self.network.request(
                    member.peer_address,
                    query,
                    ttypes.StreamQueryReply,
                    timeout_s=QUERY_TIMEOUT_S,
                )
            except exceptions.PeerError as error:
                log_peer_failure(member, query.attempt, error)
            else:
                replies[member.node] = reply.message

        async with anyio.create_task_group() as tasks:
            for member in members_asked:
                tasks.start_soon(ask, member)
        return replies

    def must_have_record(
        self, owners: list[past_owners.PastOwner], replies: dict[str, ttypes.StreamQueryReply]
    ) -> bool:
        """Return whether a recorded stream would have been found at some of its owners."""
        if self.membership is None:
            return True
        since = clock.now() - version_history.MIN_WINDOW_S
        are_owners_known = self.membership.past_owners.knows_since(since)
        return are_owners_known and len(self.lost_owners(owners, replies)) < COPIES

    def further_members(
        self, owners: list[past_owners.PastOwner], replies: dict[str, ttypes.StreamQueryReply]
    ) -> list[members.Member]:
        """Return the members to ask when no owner has a record but some may have lost it.

        The node that began the stream has one too.
        """
        if self.membership is None or len(self.lost_owners(owners, replies)) == 0:
            return []
        table = self.membership.table
        asked = {owner.node for owner in owners} | {table.local.node}
        others = [
            member
            for member in table.members.values()
            if member.node not in asked and member.status not in members.FAILURE_STATUSES
        ]
        return random.sample(others, min(FURTHER_MEMBERS, len(others)))

    def lost_owners(
        self, owners: list[past_owners.PastOwner], replies: dict[str, ttypes.StreamQueryReply]
    ) -> set[str]:
        """Return the nodes whose records may have been lost while a stream may be resumed.

        A process that answers may have replaced another one that had the record.
        """
        lost = set()
        for owner in owners:
            reply = replies.get(owner.node)
            is_absent = owner.standing is not past_owners.Standing.PRESENT or reply is None
            if is_absent or (reply.age or math.inf) < version_history.MIN_WINDOW_S:
                lost.add(owner.node)
        return lost

    def infer_version(
        self,
        service: str,
        window_s: float,
        owners: list[past_owners.PastOwner],
        replies: dict[str, ttypes.StreamQueryReply],
    ) -> str | None:
        """Return the version that began a stream without a record; None if it is not certain.

        A node that knows a version that this one does not is ahead of it, and its reply decides.
        While a service has several versions, a stream without a record began before that only if
        records cannot have been lost with all the nodes that had them.
        """
        known = self.history.known_versions(service)
        ahead = [reply for reply in replies.values() if not known.issuperset(reply.versions or [])]
        versions_seen = known.union(*(reply.versions or [] for reply in replies.values()))
        is_mixed = len(versions_seen) > 1 or (bool(known) and self.history.is_mixed(service))
        if is_mixed and not self.must_have_record(owners, replies):
            return None
        if ahead:
            versions = {reply.unrecorded_version for reply in ahead}
            return versions.pop() if len(versions) == 1 else None
        inferred = [self.history.unrecorded_version(service, window_s)]
        inferred += [reply.unrecorded_version for reply in replies.values()]
        return next((version for version in inferred if version is not None), None)

    def owners(self, call: dialect.Call) -> list[members.Member]:
        """Return the other nodes among the first ones in the order of ownership of a stream."""
        if self.membership is None:
            return []
        table = self.membership.table
        first = self.ownership.first(owner_key(call), table.alive_nodes())
        return [table.members[node] for node in first if node != table.local.node]

    def record_holders(self, call: dialect.Call) -> list[past_owners.PastOwner]:
        """Return the other processes that may have got the record of a stream when it began."""
        if self.membership is None:
            return []
        since = clock.now() - version_history.MIN_WINDOW_S
        local = self.membership.table.local
        return [
            owner
            for owner in self.membership.past_owners.find(owner_key(call), since, OWNERS)
            if (owner.node, owner.boot) != (local.node, local.boot)
        ]

    async def on_record(self, sender: ttypes.Member, message: ttypes.StreamRecord) -> ttypes.Ack:
        """Handle the record of another node."""
        self.records[message.attempt] = message.software_version or ""
        return ttypes.Ack(ok=True)

    async def on_query(
        self, sender: ttypes.Member, message: ttypes.StreamQuery
    ) -> ttypes.StreamQueryReply:
        """Handle the query of another node."""
        return ttypes.StreamQueryReply(
            software_version=self.records.get(message.attempt),
            unrecorded_version=self.history.unrecorded_version(
                message.service_name, message.window or 0.0
            ),
            versions=sorted(self.history.known_versions(message.service_name)),
            age=clock.now() - self.joined_at,
        )


def owner_key(call: dialect.Call) -> str:
    """Return the key whose owners record a stream, the same for all streams of a program."""
    return call.program_id or call.session_id or call.resumed_attempt or call.attempt_id


def log_peer_failure(member: members.Member, attempt_id: str, error: exceptions.PeerError) -> None:
    """Log that the record of a stream could not be stored at a node or fetched from it."""
    events.emit(
        events.Event.STREAM_RECORD_FAILED,
        "failed to exchange the record of a stream with another node",
        node=member.node,
        request=attempt_id,
        detail=error.detail,
    )
