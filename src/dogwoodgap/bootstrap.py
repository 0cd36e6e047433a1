"""Fetches routes and servers from another node, for startup while the store is unavailable."""

import dataclasses
import logging

import anyio
import msgspec

from dogwoodgap import events, exceptions, followers, peers, route_follower, routes
from dogwoodgap_wire import ttypes

FETCH_TIMEOUT_S = 0.5
FETCH_INTERVAL_S = 0.5
INITIAL_DELAY_S = 0.5
"""Time to wait for the store, which responds within a few ms, before asking other nodes."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteDocument:
    """Serialized form of a route table, as sent between nodes."""

    version: int
    routes: list[routes.Route]
    services: list[routes.Service]
    limits: routes.Limits
    customers: list[routes.Customer] = dataclasses.field(default_factory=list)


def encode_table(table: routes.RouteTable) -> bytes:
    """Serialize a route table to MessagePack."""
    all_routes = [route for prefixes in table.by_host.values() for route in prefixes.values()]
    document = RouteDocument(
        table.version,
        all_routes,
        list(table.services.values()),
        table.limits,
        list(table.customers.values()),
    )
    return msgspec.msgpack.encode(document)


def decode_table(data: bytes) -> routes.RouteTable:
    """Deserialize a route table.

    Raises
    ------
    FrameMalformedError
        If the data is not a valid route table.
    """
    try:
        document = msgspec.msgpack.decode(data, type=RouteDocument)
        return routes.RouteTable(
            document.version,
            document.routes,
            document.services,
            document.limits,
            document.customers,
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise exceptions.FrameMalformedError(
            f"cannot decode the routes of another node ({error}); check its version"
        ) from error


class Bootstrap:
    """Fetches routes and servers from seed nodes, and serves them to other starting nodes.

    Parameters
    ----------
    network : peers.Network
        Connections between nodes.
    seeds : list of str
        Peer addresses of some nodes; they may be outdated.
    """

    def __init__(
        self,
        network: peers.Network,
        seeds: list[str],
        follower_of_routes: route_follower.RouteFollower,
        server_follower: followers.ServerFollower,
    ):
        self.network = network
        self.seeds = seeds
        self.route_follower = follower_of_routes
        self.server_follower = server_follower
        network.handlers.register(ttypes.FleetFetch, self.on_fetch)

    async def on_fetch(
        self, sender: ttypes.Member, message: ttypes.FleetFetch
    ) -> ttypes.FleetFetchReply:
        """Send the known routes and servers to a starting node."""
        reply = ttypes.FleetFetchReply()
        table = self.route_follower.active_routes.table
        server_registry = self.server_follower.server_registry
        if table is not None:
            reply.routes = encode_table(table)
        if server_registry.revision >= 0:
            reply.listing = ttypes.ServerListing(
                revision=server_registry.revision,
                age_ms=server_registry.age_ms,
                servers=[followers.to_wire(server) for server in server_registry.servers.values()],
            )
        return reply

    def is_complete(self) -> bool:
        """Return whether routes and servers are known."""
        return (
            self.route_follower.initialized.is_set() and self.server_follower.initialized.is_set()
        )

    async def run(self) -> None:
        """Ask the seeds in turn until routes and servers are known."""
        await anyio.sleep(INITIAL_DELAY_S)
        while not self.is_complete():
            for address in self.seeds:
                await self.fetch_from(address)
            await anyio.sleep(FETCH_INTERVAL_S)

    async def fetch_from(self, address: str) -> None:
        """Fetch and apply routes and servers from one node."""
        try:
            reply = await self.network.request(
                address, ttypes.FleetFetch(), ttypes.FleetFetchReply, timeout_s=FETCH_TIMEOUT_S
            )
        except exceptions.PeerError:
            # Seeds may be outdated or down; the followers keep retrying the store meanwhile.
            return
        if reply.message.routes is not None:
            self.route_follower.apply_table(decode_table(reply.message.routes))
        if reply.message.listing is not None:
            self.server_follower.apply_message(reply.message.listing)
        events.emit(
            events.Event.FLEET_FETCHED,
            "fetched routes and servers from another node",
            level=logging.WARNING,
            sender=reply.sender.node,
            routes_version=self.route_follower.active_routes.version,
            servers_revision=self.server_follower.server_registry.revision,
        )
