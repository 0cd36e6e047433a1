"""Keeps the request rate limits of backend servers over all nodes.

One node shares out the limit of a server, chosen by rendezvous hashing over the members. Before a
node sends a request to a limited server, it asks that node for a permit. A share of a small limit
for each node would be less than one request, and would be unused at nodes without requests.
Changes of a limit are passed on to all nodes, and a starting node fetches the known limits.
If the owner of a limit does not respond, the next node in the order shares it out.
"""

import cachetools

from dogwoodgap import (
    broadcast,
    clock,
    dialect,
    events,
    exceptions,
    exposition,
    members,
    membership,
    owner_search,
    peers,
    rate_limits,
    servers,
)
from dogwoodgap_wire import ttypes

PERMIT_TIMEOUT_S = 0.1
"""A reply takes one round trip between data centres, 1 to 3 ms."""

OWNERS = 2
"""Nodes that are asked in turn for a permit."""

NO_OWNER_DELAY_S = 0.2
"""Time for which a limited server gets no requests when no owner responds."""

FETCH_TIMEOUT_S = 0.3


class PermitCoordinator:
    """Asks for permits on one node, and grants those of the servers whose limits it shares out."""

    def __init__(self) -> None:
        self.limits = rate_limits.LimitTable()
        self.allowances: cachetools.LRUCache[servers.ProcessKey, rate_limits.Allowance] = (
            cachetools.LRUCache(rate_limits.MAX_SERVERS)
        )
        self.exhausted_until: cachetools.LRUCache[servers.ProcessKey, float] = cachetools.LRUCache(
            rate_limits.MAX_SERVERS
        )
        self.search = owner_search.OwnerSearch(OWNERS, PERMIT_TIMEOUT_S, log_lost_owner)
        self.ownership = self.search.ownership
        self.membership: membership.Membership | None = None
        self.network: peers.Network | None = None
        self.broadcaster: broadcast.Broadcaster | None = None

    def join(
        self,
        joined: membership.Membership,
        network: peers.Network,
        broadcaster: broadcast.Broadcaster,
    ) -> None:
        """Start to exchange limits and permits with the members of a fleet."""
        self.membership = joined
        self.network = network
        self.search.join(joined, network)
        self.broadcaster = broadcaster
        network.handlers.register(ttypes.ServerLimit, self.on_limit)
        network.handlers.register(ttypes.ServerLimitFetch, self.on_fetch)
        network.handlers.register(ttypes.PermitRequest, self.on_request)

    # Called on the node that forwards a request

    def observe(
        self, server: servers.BackendServer, metadata: dialect.ResponseMetadata, sent_at: float
    ) -> None:
        """Apply the head of a server's response, and pass a new or lifted limit on.

        Another rate travels with the requests for permits and their replies.
        """
        key = server.process
        was_limited = self.limits.per_second(key) is not None
        report = self.limits.observe(key, metadata, sent_at)
        if report is not None and was_limited != (report.per_second is not None):
            self.announce(key)

    def remove(self, server: servers.BackendServer) -> None:
        """Forget an ended server."""
        key = server.process
        self.limits.remove(key)
        self.allowances.pop(key, None)
        self.exhausted_until.pop(key, None)

    def limit(self, server: servers.BackendServer) -> float | None:
        """Return the limit of a server in requests per second, or None without one."""
        return self.limits.per_second(server.process)

    def available_at(self, server: servers.BackendServer) -> float:
        """Return the monotonic time from which a permit for a server may be had."""
        key = server.process
        if self.limits.per_second(key) is None:
            return 0.0
        return self.exhausted_until.get(key, 0.0)

    async def acquire(self, server: servers.BackendServer, max_delay_s: float) -> float | None:
        """Acquire a permit to send one request to a server.

        Returns
        -------
        float or None
            Time to wait before the request is sent, in seconds; None if no permit is to be had
            within ``max_delay_s``.
        """
        key = server.process
        if self.limits.per_second(key) is None:
            return 0.0
        granted, delay_s = await self.request_permit(key, max_delay_s)
        exposition.permits.labels("granted" if granted else "denied").inc()
        if delay_s > 0.0:
            self.exhausted_until[key] = clock.now() + delay_s
        return delay_s if granted else None

    async def request_permit(
        self, key: servers.ProcessKey, max_delay_s: float
    ) -> tuple[bool, float]:
        """Ask the owner of a server's limit, or the next one; return its decision and the delay."""
        for owner in self.search.owners(key[0]):
            if owner is None:
                return self.decide(key, max_delay_s)
            message = ttypes.PermitRequest(limit=self.to_wire(key), max_delay=max_delay_s)
            reply = await self.search.ask(owner, key[0], message, ttypes.PermitReply)
            if reply is None:
                continue
            self.merge(reply.limit, owner.node)
            return bool(reply.granted), reply.delay or 0.0
        return False, NO_OWNER_DELAY_S

    def announce(self, key: servers.ProcessKey, part_end: int | None = None) -> None:
        """Pass the limit of a server on to the other nodes."""
        if self.broadcaster is None:
            return

        async def deliver(member: members.Member, end: int) -> None:
            message = self.to_wire(key)
            message.part_end = end
            await self.broadcaster.request(member, message)

        self.broadcaster.start(deliver, part_end)

    async def fetch_limits(self) -> None:
        """Fetch the limits that another node knows, since this process has just started."""
        for member in self.membership.alive():
            if member is self.membership.table.local:
                continue
            try:
                reply = await self.network.request(
                    member.peer_address,
                    ttypes.ServerLimitFetch(),
                    ttypes.ServerLimitFetchReply,
                    timeout_s=FETCH_TIMEOUT_S,
                )
            except exceptions.PeerError:
                continue
            for limit in reply.message.limits or []:
                self.merge(limit, member.node)
            return

    def to_wire(self, key: servers.ProcessKey) -> ttypes.ServerLimit:
        """Return the known limit of a server as a message."""
        server_id, started_ms = key
        report = self.limits.reports.get(key)
        return ttypes.ServerLimit(
            server=server_id,
            started_ms=started_ms,
            version=report.version if report else 0,
            per_second=report.per_second if report else None,
        )

    def merge(self, limit: ttypes.ServerLimit, node: str) -> bool:
        """Merge a limit known to another node; return whether it is news."""
        key = (limit.server, limit.started_ms or 0)
        report = self.limits.merge(key, limit.per_second, limit.version or 0, node)
        return report is not None

    # Called on the node that shares out a limit

    def decide(self, key: servers.ProcessKey, max_delay_s: float) -> tuple[bool, float]:
        """Decide on one request to a server; return whether it may be sent, and the delay."""
        limit_per_s = self.limits.per_second(key)
        if limit_per_s is None:
            return True, 0.0
        now = clock.now()
        allowance = self.allowances.get(key)
        if allowance is None:
            allowance = self.allowances[key] = rate_limits.Allowance(now)
        share = 1.0
        if self.membership is not None:
            share = rate_limits.reachable_share(self.membership.table.members.values(), now)
        return allowance.acquire(limit_per_s * share, now, max_delay_s)

    async def on_request(
        self, sender: ttypes.Member, message: ttypes.PermitRequest
    ) -> ttypes.PermitReply:
        """Handle a request for a permit of another node."""
        self.merge(message.limit, sender.node)
        key = (message.limit.server, message.limit.started_ms or 0)
        granted, delay_s = self.decide(key, message.max_delay or 0.0)
        return ttypes.PermitReply(granted=granted, delay=delay_s, limit=self.to_wire(key))

    async def on_limit(self, sender: ttypes.Member, message: ttypes.ServerLimit) -> ttypes.Ack:
        """Handle a limit passed on by another node."""
        if self.merge(message, sender.node) and message.part_end is not None:
            self.announce((message.server, message.started_ms or 0), message.part_end)
        return ttypes.Ack(ok=True)

    async def on_fetch(
        self, sender: ttypes.Member, message: ttypes.ServerLimitFetch
    ) -> ttypes.ServerLimitFetchReply:
        """Handle the request of a starting node."""
        return ttypes.ServerLimitFetchReply(
            limits=[self.to_wire(key) for key in list(self.limits.reports)]
        )


def log_lost_owner(owner: members.Member, server: str, error: exceptions.PeerError) -> None:
    """Log that the owner of a server's limit does not respond."""
    events.emit(
        events.Event.LIMIT_OWNER_LOST,
        "the node that shares out a server's limit does not respond; asking the next",
        node=owner.node,
        server=server,
        detail=error.detail,
    )
