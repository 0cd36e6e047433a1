"""A node's part in the fleet: peers, membership, configuration, shards and customer limits."""

import contextlib
import ssl

import anyio
import anyio.abc

from dogwoodgap import (
    clock,
    configuration,
    discovery,
    exceptions,
    limits,
    members,
    membership,
    models,
    objectstore,
    peers,
    recovery,
    settings,
    shards,
    shares,
    views,
)
from dogwoodgap_wire import ttypes

WRITE_BURST = 8.0
NOTICE_TIMEOUT_S = 1.0
CONFIRM_INTERVAL_S = 1.0
"""A node that grants customer limits must know within 2 s that it still owns its shards."""


class MembershipView:
    """Implements :class:`recovery.Members` with the membership of the fleet."""

    def __init__(self, fleet: "Fleet"):
        self.fleet = fleet

    def live(self) -> list[shards.Owner]:
        """Return the live nodes that are not leaving, with their boots."""
        alive = self.fleet.membership.alive()
        return [shards.Owner(member.node, member.boot) for member in alive]

    def is_dead(self, owner: shards.Owner) -> bool:
        """Return whether a boot is known to have ended."""
        return self.fleet.membership.is_dead(owner.node, owner.boot)


class Fleet:
    """Components of a node that communicate with other nodes or depend on them.

    Parameters
    ----------
    hooks : recovery.Hooks
        Callbacks for changes of the ownership of shards.
    scheme : str
        ``http`` or ``https``, for the URLs of the nodes' callers' interfaces.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        store: objectstore.ObjectStore,
        tasks: anyio.abc.TaskGroup,
        hooks: recovery.Hooks,
        scheme: str,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ):
        section = node_settings.node
        self.settings = node_settings
        self.scheme = scheme
        self.name = section.name
        self.store = store
        self.tasks = tasks
        platform = node_settings.platform
        self.bucket = objectstore.RateBucket(platform.writes_per_s, WRITE_BURST)
        self.network = peers.PeerNetwork(section.peer_bind, tasks, server_tls, client_tls)
        self.network.limit_connections(node_settings.connections)
        self.ping_hooks = membership.Hooks()
        self.acquired_at: dict[int, float] = {}
        self.confirmed_at = -1.0
        self.ownership = recovery.Ownership(
            store, section.name, self.bucket, MembershipView(self), hooks
        )
        self.membership = membership.Membership(
            node_settings, self.ownership.boot, self.network, store, self.ping_hooks
        )
        self.configuration = configuration.Configuration(
            section.name,
            section.data_centre,
            store,
            self.network,
            self.membership.alive,
            platform.watches_per_data_centre,
            self.bucket,
        )
        self.discovery = discovery.Discovery(
            self.membership.alive,
            self.owner_name,
            section.data_centre,
            node_settings.membership.discovery_ttl_s,
        )
        self.limiter = limits.Limiter(
            section.name,
            self.ownership.boot,
            lambda: self.configuration.current,
            self.owner_member,
            self.network,
            self.shard_ownership,
            lambda: self.membership.vm_count,
        )
        self.connect_components()

    def connect_components(self) -> None:
        """Subscribe the components to each other's changes."""
        self.ping_hooks.generation = self.configuration.known_generation
        self.ping_hooks.on_generation = self.configuration.on_higher_generation
        self.configuration.subscribe(lambda current: self.membership.ping_partners())
        self.membership.subscribe(self.on_member)

    async def start(self) -> None:
        """Open the listener for peers and start all background tasks."""
        await self.tasks.start(self.network.serve)
        for component in (self.membership, self.configuration, self.limiter, self.ownership):
            self.tasks.start_soon(component.run)
        self.tasks.start_soon(self.confirm_ownership)

    def on_member(self, member: members.Member) -> None:
        """Divide the platform's write rate among the live nodes."""
        live = max(1, len(self.membership.alive()))
        self.ownership.journal.set_rate(self.settings.platform.writes_per_s / live)

    def record_acquired(self, acquired: set[int]) -> None:
        """Record the current time as the time at which shards were acquired."""
        now = clock.now()
        for shard in acquired:
            self.acquired_at[shard] = now

    async def announce_boot(self) -> None:
        """Announce a new boot to the peers after the journal was sealed."""
        self.membership.local.boot = self.ownership.boot
        self.on_member(self.membership.local)
        await self.membership.announce(members.Status.ALIVE)

    def owner_name(self, shard: int) -> str:
        """Return the name of the node that owns a shard, or an empty string."""
        owner = self.ownership.owner(shard)
        return owner.node if owner is not None else ""

    def owner_member(self, shard: int) -> members.Member | None:
        """Return the member that owns a shard, or None when it is not known."""
        return self.membership.find(self.owner_name(shard))

    def address_of(self, node: str) -> str:
        """Return the base URL of a node's callers' interface, or an empty string."""
        member = self.membership.find(node)
        return self.with_scheme(member.http_address) if member is not None else ""

    def with_scheme(self, address: str) -> str:
        """Return an address as a URL."""
        return address if "://" in address else f"{self.scheme}://{address}"

    def entries(self, customer: str, program: str) -> list[views.EntryView]:
        """Return the entry addresses in order of use."""
        entries = self.discovery.entries(customer, program).entries
        return [
            views.EntryView(self.with_scheme(entry.address), entry.node, entry.data_centre)
            for entry in entries
        ]

    def shard_ownership(self, shard: int) -> shares.Ownership | None:
        """Return this node's ownership of a shard for granting customer limits, or None."""
        if not self.ownership.owns(shard):
            return None
        entry = self.ownership.assignment.current.shards[shard]
        acquired_at = self.acquired_at.get(shard, clock.now())
        return shares.Ownership(entry.generation, acquired_at, self.confirmed_at)

    def fencing(self, service: str) -> int | None:
        """Return the fencing number under which this node controls a service's engines."""
        shard = shards.shard_of(f"service/{service}")
        if not self.ownership.owns(shard):
            return None
        return self.ownership.assignment.current.shards[shard].generation

    async def confirm_ownership(self) -> None:
        """Periodically confirm the ownership by reading the assignment while limits exist."""
        while True:
            if any(
                has_limit(customer) for customer in self.configuration.current.customers.values()
            ):
                started = clock.now()
                with contextlib.suppress(exceptions.StoreError):
                    await self.ownership.assignment.refresh()
                    self.confirmed_at = started
            await anyio.sleep(CONFIRM_INTERVAL_S)

    def broadcast(self, message: object) -> None:
        """Send a notice to all live peers; delivery is not guaranteed."""
        for member in self.membership.alive():
            if member.node != self.name:
                self.tasks.start_soon(self.send_notice, member.peer_address, message)

    async def send_notice(self, address: str, message: object) -> None:
        """Send a notice to one peer; failures are ignored."""
        with contextlib.suppress(exceptions.PeerError):
            await self.network.request(address, message, ttypes.Ack, timeout_s=NOTICE_TIMEOUT_S)


def has_limit(customer: models.Customer) -> bool:
    """Return whether a customer has a rate or concurrency limit."""
    return customer.rate_per_s > 0 or customer.concurrency > 0
