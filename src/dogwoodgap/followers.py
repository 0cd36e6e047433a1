"""Keeps routes and backend servers up to date from the platform's store.

Each call to the store is paid for. The routes are watched, which costs a call only when something
changes. The list of servers changes several times a second, so that one node reads it at intervals
and sends it to the others; these read it themselves when nothing came, in the order of their rank.
"""

import collections.abc
import logging

import anyio
import anyio.abc
import xxhash

from dogwoodgap import (
    clock,
    events,
    exceptions,
    members,
    membership,
    peers,
    routes,
    servers,
    source,
)
from dogwoodgap_wire import ttypes

SERVERS_INTERVAL_S = 0.6
"""A leaving server has to be known within 2 s; a lost reading leaves time for another."""

RANK_DELAY_S = 0.25
"""Time by which each further node waits longer for a listing before it reads one."""

MAX_RANK = 3
WATCH_S = (1.0, 2.0, 15.0, 15.0)
"""Longest wait of a watch, by rank. A connection that went silent is noticed only when the wait is
over, and new routes have to be in force within 2 s; the other nodes hear of them from the first
two."""

RETRY_S = 0.4
CHECK_S = 0.1
ROUTES_PAUSE_S = 0.2
"""Pause between two watches, so that a storm of versions is read a few times a second."""

SEND_TIMEOUT_S = 0.5


class Dependency:
    """Logs when something is lost or regained."""

    def __init__(self, name: str):
        self.name = name
        self.lost_at: float | None = None

    def note_failure(self, error: exceptions.DogwoodgapError) -> None:
        """Record a failure."""
        if self.lost_at is None:
            self.lost_at = clock.now()
            events.emit(
                events.Event.STORE_LOST,
                "the platform's store does not answer; what is known stays in use",
                level=logging.WARNING,
                reading=self.name,
                detail=error.detail,
            )

    def note_success(self) -> None:
        """Record a success."""
        if self.lost_at is not None:
            events.emit(
                events.Event.STORE_REGAINED,
                "the platform's store answers again",
                reading=self.name,
                lost_s=round(clock.now() - self.lost_at, 3),
            )
            self.lost_at = None


class RouteFollower:
    """Follows the routes by a watch."""

    def __init__(self, store: source.FleetSource, book: routes.ActiveRoutes):
        self.store = store
        self.book = book
        self.dependency = Dependency("routes")
        self.known = anyio.Event()
        self.rank: collections.abc.Callable[[], int] = lambda: 0
        self.watching: anyio.CancelScope | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        revision = await self.read_first()
        while True:
            try:
                watched = await self.watch(revision)
                revision = await self.read() if watched.changed else watched.revision
                self.dependency.note_success()
            except exceptions.WatchExpiredError:
                revision = await self.read_first()
            except exceptions.StoreError as error:
                self.dependency.note_failure(error)
                await anyio.sleep(RETRY_S)
            await anyio.sleep(ROUTES_PAUSE_S)

    async def read_first(self) -> int:
        """Read the routes until the store answers; return where to watch from."""
        while True:
            try:
                return await self.read()
            except exceptions.StoreError as error:
                self.dependency.note_failure(error)
                await anyio.sleep(RETRY_S)

    async def watch(self, revision: int) -> source.RoutesWatch:
        """Wait for a change, or for another node to know newer routes."""
        with anyio.CancelScope() as self.watching:
            return await self.store.watch_routes(revision, WATCH_S[self.rank()])
        return source.RoutesWatch(revision, changed=True)

    def note_version(self, version: int) -> None:
        """Read the routes now if another node has a newer version."""
        if version > self.book.version and self.watching is not None:
            self.watching.cancel()

    async def read(self) -> int:
        """Read the newest routes; return where to watch from."""
        reading = await self.store.read_routes()
        self.dependency.note_success()
        if reading.table is not None:
            self.adopt(reading.table)
        return reading.revision

    def adopt(self, table: routes.RouteTable) -> None:
        """Put routes in force unless newer ones are."""
        self.book.install(table)
        self.known.set()


class ServerFollower:
    """Follows the backend servers by readings of the list, shared between nodes."""

    def __init__(
        self,
        store: source.FleetSource,
        directory: servers.ServerDirectory,
        route_follower: RouteFollower,
    ):
        self.store = store
        self.directory = directory
        self.route_follower = route_follower
        self.dependency = Dependency("servers")
        self.known = anyio.Event()
        self.membership: membership.Membership | None = None
        self.network: peers.Network | None = None
        self.sent: dict[str, int] = {}
        route_follower.rank = lambda: self.rank
        self.tried_at = -RETRY_S

    def join(self, joined: membership.Membership, network: peers.Network) -> None:
        """Share readings with the members."""
        self.membership = joined
        self.network = network
        network.handlers.register(ttypes.ServerListing, self.on_listing)

    @property
    def rank(self) -> int:
        """Return this node's place among those that read the list, 0 for the first."""
        if self.membership is None:
            return 0
        nodes = [member.node for member in self.membership.alive()]
        local = self.membership.local.node
        return min(nodes.index(local), MAX_RANK) if local in nodes else MAX_RANK

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            if self.is_due():
                await self.read()
            await anyio.sleep(CHECK_S)

    def is_due(self) -> bool:
        """Return whether this node should read the list now."""
        delay = self.rank * RANK_DELAY_S
        old = self.directory.age_s >= SERVERS_INTERVAL_S + delay
        return old and clock.now() - self.tried_at >= RETRY_S + delay

    async def read(self) -> None:
        """Read the list and send it to the others."""
        self.tried_at = clock.now()
        try:
            listing = await self.store.read_servers()
        except exceptions.StoreError as error:
            self.dependency.note_failure(error)
            self.directory.start_grace_period()
            return
        self.dependency.note_success()
        self.adopt(listing, self.tried_at)
        if self.membership is not None:
            await self.send(listing)

    async def send(self, listing: servers.Listing) -> None:
        """Send a reading to all other members."""
        digest = digest_of(listing)
        async with anyio.create_task_group() as tasks:
            for member in self.membership.alive():
                if member is not self.membership.local:
                    tasks.start_soon(self.send_to, member, listing, digest)

    async def send_to(self, member: members.Member, listing: servers.Listing, digest: int) -> None:
        """Send a reading to one member; the entries only when they are new to it."""
        key = f"{member.node}/{member.boot}"
        message = ttypes.ServerListing(
            revision=listing.revision,
            age_ms=int((clock.now() - self.tried_at) * 1000),
            digest=digest,
            routes_version=self.route_follower.book.version,
        )
        if self.sent.get(key) != digest:
            message.servers = [to_wire(server) for server in listing.servers]
        try:
            reply = await self.network.request(
                member.peer_address, message, ttypes.Ack, timeout_s=SEND_TIMEOUT_S
            )
        except exceptions.PeerError:
            # The member reads the list itself when nothing comes; membership logs its loss.
            self.sent.pop(key, None)
            return
        if reply.message.ok:
            self.sent[key] = digest
        else:
            self.sent.pop(key, None)

    async def on_listing(self, sender: ttypes.Member, message: ttypes.ServerListing) -> ttypes.Ack:
        """Take over a reading of another node."""
        self.route_follower.note_version(message.routes_version or -1)
        if message.servers is not None:
            self.adopt_message(message)
            return ttypes.Ack(ok=True)
        listing = self.directory.listing_at(message.revision)
        if digest_of(listing) != message.digest:
            return ttypes.Ack(ok=False)
        self.adopt(listing, reading_time(message))
        return ttypes.Ack(ok=True)

    def adopt_message(self, message: ttypes.ServerListing) -> None:
        """Take over the entries of a message unless newer ones are known."""
        entries = tuple(from_wire(entry) for entry in message.servers or [])
        self.adopt(servers.Listing(message.revision, entries), reading_time(message))

    def adopt(self, listing: servers.Listing, read_at: float) -> None:
        """Take a listing over unless a newer one is known."""
        self.directory.apply(listing, read_at=read_at)
        self.known.set()


def reading_time(message: ttypes.ServerListing) -> float:
    """Return the local monotonic time at which the sender read a listing."""
    return clock.now() - (message.age_ms or 0) / 1000


def digest_of(listing: servers.Listing) -> int:
    """Return a signed 64-bit hash of the entries."""
    parts: collections.abc.Iterable[str] = sorted(repr(server) for server in listing.servers)
    value = xxhash.xxh64_intdigest("\n".join(parts).encode())
    return value - (1 << 64) if value >> 63 else value


def to_wire(server: servers.BackendServer) -> ttypes.ServerEntry:
    """Return an entry as a message."""
    return ttypes.ServerEntry(
        id=server.id,
        service_name=server.service,
        address=server.address,
        data_centre=server.data_centre,
        slots=server.slots,
        draining=server.draining,
        started_ms=server.started_ms,
    )


def from_wire(entry: ttypes.ServerEntry) -> servers.BackendServer:
    """Return a received entry."""
    return servers.BackendServer(
        id=entry.id or "",
        service=entry.service_name or "",
        address=entry.address or "",
        data_centre=entry.data_centre or "",
        slots=entry.slots or 1,
        draining=bool(entry.draining),
        started_ms=entry.started_ms or 0,
    )
