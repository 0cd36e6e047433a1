"""Keeps backend servers up to date from the platform's store.

Each call to the store has a cost. The list of servers changes several times a second, so that a
watch would return as often. One node polls it, and it is passed on to all others along the
partners. If it stops, another node becomes the reader.
"""

import collections.abc
import contextlib
import random

import anyio
import cachetools
import xxhash

from dogwoodgap import (
    availability,
    background,
    broadcast,
    clock,
    exceptions,
    hashing,
    members,
    membership,
    peers,
    route_follower,
    servers,
    source,
)
from dogwoodgap_wire import ttypes

SERVERS_INTERVAL_S = 0.6
"""Polling interval. A draining server must be known within 2 s, including one failed read."""

RANK_DELAY_S = 0.25
"""Extra time per rank that a node waits for a listing before reading the list itself."""

MAX_RANK = route_follower.MAX_RANK
RETRY_DELAY_S = 0.4
READ_SPREAD_S = 0.02
"""Longest additional time per node that a node behind the first ranks waits before it reads, drawn
at random. Otherwise the whole fleet would read at once when the first ranks cannot."""

MAX_READ_SPREAD_S = 1.0
MIN_CHECK_DELAY_S = 0.02
NEWS_S = 0.1
"""Difference of reading times above which a listing is news to a node that knows another one. Of
two that were read at about the same time, the one of the node with the smaller name wins."""

MAX_SENT_DIGESTS = 64


class ServerFollower:
    """Keeps the list of backend servers up to date; nodes share what they read.

    Attributes
    ----------
    initialized : anyio.Event
        Set once a listing is known.
    sent_digests : cachetools.LRUCache
        Digest of the last listing that each member acknowledged, by node and boot.
    is_reader : bool
        Whether this node was the last one to read the list; it then goes on reading.
    reader : str
        Node that read the known listing.
    """

    def __init__(
        self,
        store: source.FleetSource,
        server_registry: servers.ServerRegistry,
        follower_of_routes: route_follower.RouteFollower,
    ):
        self.store = store
        self.server_registry = server_registry
        self.route_follower = follower_of_routes
        self.availability = availability.StoreAvailability("servers")
        self.initialized = anyio.Event()
        self.membership: membership.Membership | None = None
        self.broadcaster: broadcast.Broadcaster | None = None
        self.sent_digests: cachetools.LRUCache[str, int] = cachetools.LRUCache(MAX_SENT_DIGESTS)
        follower_of_routes.rank = lambda: self.rank
        self.last_attempt_at = -RETRY_DELAY_S
        self.is_reader = False
        self.reader = ""
        self.spread = random.random()
        self.digested: tuple[servers.BackendServer, ...] | None = None
        self.digest = 0

    def join(
        self,
        joined: membership.Membership,
        network: peers.Network,
        broadcaster: broadcast.Broadcaster,
    ) -> None:
        """Start exchanging listings with the members."""
        self.membership = joined
        self.broadcaster = broadcaster
        network.handlers.register(ttypes.ServerListing, self.on_listing)

    @property
    def rank(self) -> int:
        """Return this node's position in the reading order, 0 for the first."""
        if self.membership is None:
            return 0
        position = self.membership.position()
        return MAX_RANK if position is None else min(position, MAX_RANK)

    async def run(self) -> None:
        """Read the list whenever it is due, until cancelled."""
        while True:
            if clock.now() >= self.due_at():
                await self.read()
            await clock.sleep_until(max(self.due_at(), clock.now() + MIN_CHECK_DELAY_S))

    def due_at(self) -> float:
        """Return when this node reads the list unless it receives a newer one before."""
        delay_s = self.read_delay_s()
        return max(
            self.server_registry.confirmed_at + SERVERS_INTERVAL_S + delay_s,
            self.last_attempt_at + RETRY_DELAY_S + delay_s,
        )

    def read_delay_s(self) -> float:
        """Return the time for which this node leaves the reading to others.

        The reader goes on. Behind it wait the first ranks; the other nodes, and those that cannot
        reach the store, wait longest.
        """
        if self.is_reader or self.membership is None:
            return 0.0
        position = self.membership.position()
        if position is not None and position < MAX_RANK and self.availability.lost_at is None:
            return position * RANK_DELAY_S
        spread_s = min(MAX_READ_SPREAD_S, READ_SPREAD_S * len(self.membership.alive()))
        return MAX_RANK * RANK_DELAY_S + self.spread * spread_s

    async def read(self) -> None:
        """Read the list and pass it on to the other members."""
        self.last_attempt_at = clock.now()
        self.spread = random.random()
        try:
            listing = await self.store.read_servers()
        except exceptions.StoreError as error:
            self.is_reader = False
            self.availability.record_failure(error)
            self.server_registry.start_grace_period()
            return
        self.availability.record_success()
        self.apply(listing, self.last_attempt_at)
        if self.membership is not None:
            self.is_reader = True
            self.reader = self.membership.local.node
        self.pass_on(None)

    def pass_on(self, part_end: int | None, routes_version: int = -1) -> None:
        """Pass the known listing on to the members of a part of the ring."""
        if self.broadcaster is None:
            return
        self.broadcaster.start(self.delivery(routes_version), part_end)

    def delivery(self, routes_version: int = -1) -> broadcast.Deliver:
        """Return a function that sends the known listing, with its age at that time."""
        listing = self.server_registry.listing_at(self.server_registry.revision)
        read_at = self.server_registry.confirmed_at
        reader = self.reader
        digest = self.known_digest()
        known_version = max(routes_version, self.route_follower.active_routes.version)

        async def deliver(member: members.Member, end: int | None) -> None:
            message = ttypes.ServerListing(
                revision=listing.revision,
                age_ms=round((clock.now() - read_at) * 1000),
                digest=digest,
                routes_version=known_version,
                part_end=end,
                reader=reader,
            )
            await self.send_to(member, message, listing)

        return deliver

    async def send_to(
        self, member: members.Member, message: ttypes.ServerListing, listing: servers.Listing
    ) -> None:
        """Send a listing to one member, with entries only if they have changed for it."""
        key = f"{member.node}/{member.boot}"
        has_entries = self.sent_digests.get(key) == message.digest
        if has_entries and (await self.broadcaster.request(member, message)).ok:
            return
        message.servers = [to_wire(server) for server in listing.servers]
        await self.broadcaster.request(member, message)
        self.sent_digests[key] = message.digest

    async def on_listing(self, sender: ttypes.Member, message: ttypes.ServerListing) -> ttypes.Ack:
        """Apply a listing received from another node, and pass it on if it is news.

        A negative acknowledgement asks the sender to include the entries.
        """
        routes_version = -1 if message.routes_version is None else message.routes_version
        self.route_follower.refresh_if_older_than(routes_version)
        reader = message.reader or sender.node
        is_news = self.is_news(message, reader)
        if message.servers is not None:
            self.apply_message(message)
            if message.revision == self.server_registry.revision:
                self.correct_sender(sender, message)
        else:
            if self.known_digest() != message.digest:
                return ttypes.Ack(ok=False)
            self.apply(self.server_registry.listing_at(message.revision), read_at(message))
        if is_news:
            self.is_reader = False
            self.reader = reader
            if message.part_end is not None:
                self.pass_on(message.part_end, routes_version)
        return ttypes.Ack(ok=True)

    def correct_sender(self, sender: ttypes.Member, message: ttypes.ServerListing) -> None:
        """Send the known listing back if the sender lacks departures that this node knows."""
        member = None if self.membership is None else self.membership.find(sender.node)
        if member is None or message.digest == self.known_digest():
            return
        deliver = self.delivery()

        async def correct() -> None:
            with contextlib.suppress(exceptions.PeerError):
                await deliver(member, None)

        background.start(self.broadcaster.tasks, correct)

    def known_digest(self) -> int:
        """Return the digest of the known entries, which is computed once for each change."""
        if self.digested is not self.server_registry.listed:
            self.digested = self.server_registry.listed
            self.digest = entries_digest(self.digested)
        return self.digest

    def is_news(self, message: ttypes.ServerListing, reader: str) -> bool:
        """Return whether a listing replaces the known one for this node and those behind it."""
        if message.revision < self.server_registry.revision:
            return False
        later_by_s = read_at(message) - self.server_registry.confirmed_at
        if later_by_s > NEWS_S or message.digest != self.known_digest():
            return True
        return later_by_s > -NEWS_S and reader < self.reader

    def apply_message(self, message: ttypes.ServerListing) -> None:
        """Apply the entries of a message unless newer ones are known."""
        entries = tuple(from_wire(entry) for entry in message.servers or [])
        self.apply(servers.Listing(message.revision, entries), read_at(message))

    def apply(self, listing: servers.Listing, read_at: float) -> None:
        """Apply a listing unless a newer one is known."""
        self.server_registry.apply(listing, read_at=read_at)
        self.initialized.set()


def read_at(message: ttypes.ServerListing) -> float:
    """Return the local monotonic time at which the sender read a listing."""
    return clock.now() - (message.age_ms or 0) / 1000


def entries_digest(entries: tuple[servers.BackendServer, ...]) -> int:
    """Return a signed 64-bit hash of the entries of a listing."""
    parts: collections.abc.Iterable[str] = sorted(repr(server) for server in entries)
    value = xxhash.xxh64_intdigest("\n".join(parts).encode())
    return hashing.to_signed(value)


def to_wire(server: servers.BackendServer) -> ttypes.ServerEntry:
    """Convert a backend server to a message entry."""
    return ttypes.ServerEntry(
        id=server.id,
        service_name=server.service,
        address=server.address,
        data_centre=server.data_centre,
        slots=server.slots,
        draining=server.draining,
        started_ms=server.started_ms,
        software_version=server.software_version,
    )


def from_wire(entry: ttypes.ServerEntry) -> servers.BackendServer:
    """Convert a message entry to a backend server."""
    return servers.BackendServer(
        id=entry.id or "",
        service=entry.service_name or "",
        address=entry.address or "",
        data_centre=entry.data_centre or "",
        slots=entry.slots or 1,
        draining=bool(entry.draining),
        started_ms=entry.started_ms or 0,
        software_version=entry.software_version or "",
    )
