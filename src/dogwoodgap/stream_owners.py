"""Remembers at which software version streams began, so that callers can resume them anywhere.

A caller may resume a stream at any node, also after the loss of the node that served it. While a
service has servers of several software versions, the start of each stream is recorded at the first
nodes in the order of ownership of its program, the same ones that own its token budget.
"""

import anyio.abc
import cachetools

from dogwoodgap import (
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
from dogwoodgap_wire import ttypes

COPIES = 2
"""Other nodes that record the start of a stream; one may be lost together with the serving node."""

OWNERS = COPIES + 1
"""Nodes that are asked for a record; one of them may be the serving node."""

RECORD_TIMEOUT_S = 1.0
"""Nothing waits for a record, and a busy node may be slow to accept a connection."""

QUERY_TIMEOUT_S = 0.2
"""A caller waits for the reply, which takes one to three round trips of 1 to 3 ms."""

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

    def join(
        self, joined: membership.Membership, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start to exchange records with the members of a fleet."""
        self.membership = joined
        self.network = network
        self.tasks = tasks
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
            self.tasks.start_soon(self.send_record, member, message)

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
        and a node that has just started can infer nothing.
        """
        if (version := self.records.get(call.resumed_attempt)) is not None:
            return version
        window_s = version_history.resume_window_s(route)
        query = ttypes.StreamQuery(
            attempt=call.resumed_attempt, service_name=service, window=window_s
        )
        inferred = self.history.unrecorded_version(service, window_s)
        for member in self.owners(call):
            try:
                reply = await self.network.request(
                    member.peer_address,
                    query,
                    ttypes.StreamQueryReply,
                    timeout_s=QUERY_TIMEOUT_S,
                )
            except exceptions.PeerError as error:
                log_peer_failure(member, call.resumed_attempt, error)
                continue
            if (version := reply.message.software_version) is not None:
                return version
            if inferred is None:
                inferred = reply.message.unrecorded_version
        return inferred

    def owners(self, call: dialect.Call) -> list[members.Member]:
        """Return the other nodes among the first ones in the order of ownership of a stream."""
        if self.membership is None:
            return []
        table = self.membership.table
        key = call.program_id or call.session_id or call.resumed_attempt or call.attempt_id
        first = [table.members[node] for node in self.ownership.first(key, table.alive_nodes())]
        return [member for member in first if member is not table.local]

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
        )


def log_peer_failure(member: members.Member, attempt_id: str, error: exceptions.PeerError) -> None:
    """Log that the record of a stream could not be stored at a node or fetched from it."""
    events.emit(
        events.Event.STREAM_RECORD_FAILED,
        "failed to exchange the record of a stream with another node",
        node=member.node,
        request=attempt_id,
        detail=error.detail,
    )
