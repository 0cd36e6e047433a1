"""Keeps a node's copy of the fleet configuration current and applies updates to it.

New generations arrive from the platform, by watch or poll, and from peers, whose pings carry the
generation that they have in force.
"""

import collections.abc
import contextlib
import dataclasses
import logging
import random
import typing

import anyio

from dogwoodgap import (
    clock,
    editor,
    events,
    exceptions,
    hashing,
    members,
    models,
    objectstore,
    peers,
    revisions,
)
from dogwoodgap_wire import ttypes

UNKNOWN_GENERATION = -1
"""Generation of a node before it has any configuration."""

WATCH_TIMEOUT_S = 10.0
WATCH_RETRY_DELAY_S = 0.5
WATCHER_CHECK_INTERVAL_S = 1.0
POLL_INTERVAL_S = 30.0
"""Poll interval of nodes that do not watch, in case gossip misses a generation."""

START_RETRY_DELAY_S = 0.2
FETCH_TIMEOUT_S = 2.0
START_SETTLE_TIME_S = 1.0
"""How long a starting node keeps querying peers after the first reply, in a platform outage.

The peers that it knows first may not have the newest generation yet. Two ping intervals bring it
the whole member table and the generation of each peer.
"""

MAX_START_PEERS = 16
MAX_CONCURRENT_QUERIES = 32
OMIT_DOCUMENT = 2**62
"""Sent as ``known_generation`` to get only the generation, without the document."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeGeneration:
    """Generation that a node has in force; -1 if the node did not answer."""

    node: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class PeerGeneration:
    """Address of a peer and the generation that it has in force."""

    address: str
    generation: int


class Configuration:
    """The fleet configuration in force on this node.

    Parameters
    ----------
    node, data_centre : str
        Name and data centre of this node.
    store : objectstore.ObjectStore
        Object store of the platform.
    network : peers.Network
        Connections to other nodes.
    live_members : callable
        Returns the live members.
    watches_per_data_centre : int
        How many nodes of a data centre watch the platform.
    bucket : objectstore.RateBucket, optional
        This node's share of the platform's write rate.
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        store: objectstore.ObjectStore,
        network: peers.Network,
        live_members: collections.abc.Callable[[], list[members.Member]],
        watches_per_data_centre: int = 2,
        bucket: objectstore.RateBucket | None = None,
    ):
        self.node = node
        self.data_centre = data_centre
        self.store = store
        self.network = network
        self.live_members = live_members
        self.watches_per_data_centre = watches_per_data_centre
        self.revision_store = editor.RevisionStore(store, bucket)
        self.current = models.FleetConfiguration()
        self.generation = UNKNOWN_GENERATION
        self.encoded_revision = b""
        self.cursor = 0
        self.invalid_revision = b""
        self.ready = anyio.Event()
        self.first_peer_reply_at: float | None = None
        self.newer_peer: PeerGeneration | None = None
        self.newer_peer_found = anyio.Event()
        self.random = random.Random(node)
        self.subscribers: list[collections.abc.Callable[[models.FleetConfiguration], None]] = []
        network.handlers.register(ttypes.ConfigurationFetch, self.on_fetch)

    # Interface for other modules

    def subscribe(
        self, callback: collections.abc.Callable[[models.FleetConfiguration], None]
    ) -> None:
        """Register a function to be called with each configuration that comes into force."""
        self.subscribers.append(callback)

    def known_generation(self) -> int:
        """Return the generation in force, or -1 before the first one is loaded."""
        return self.generation

    def on_higher_generation(self, member: members.Member, generation: int) -> None:
        """Schedule a fetch from a peer with a higher generation; the membership calls this."""
        if generation > self.generation and self.newer_peer is None:
            self.newer_peer = PeerGeneration(member.peer_address, generation)
            self.newer_peer_found.set()

    async def update(
        self,
        document: models.FleetConfiguration | dict[str, typing.Any],
        expected_generation: int,
        author: str,
        note: str = "",
    ) -> int:
        """Write and apply the next generation; see :meth:`editor.RevisionStore.update`."""
        revision, data = await self.revision_store.update(
            document, expected_generation, author, note
        )
        events.emit(
            events.Event.CONFIGURATION_UPDATED,
            "configuration update stored",
            generation=revision.generation,
            author=author,
            note=note,
        )
        self.apply(data)
        return revision.generation

    async def rollback(
        self, generation: int, expected_generation: int, author: str, note: str = ""
    ) -> int:
        """Write the document of a past generation as the next generation."""
        base = revisions.configuration_of(await self.revision_store.get(generation))
        reason = note or f"rollback to generation {generation}"
        return await self.update(base, expected_generation, author, reason)

    async def history(self, limit: int = 20) -> list[revisions.Revision]:
        """Return the newest revisions, the current one first."""
        return await self.revision_store.history(limit)

    async def get(self, generation: int) -> models.FleetConfiguration:
        """Return the document of a generation."""
        return revisions.configuration_of(await self.revision_store.get(generation))

    async def in_force(self) -> list[NodeGeneration]:
        """Return the generation in force on each live member.

        Only members whose last known generation is below this node's are queried. Generations
        never decrease, so the others have at least this one in force.
        """
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)
        generations: list[NodeGeneration] = [NodeGeneration(self.node, self.generation)]

        async def query(member: members.Member) -> None:
            generation = member.configuration_generation
            if generation < self.generation:
                async with limiter:
                    generation = max(generation, await self.query_generation(member))
            generations.append(NodeGeneration(member.node, generation))

        async with anyio.create_task_group() as tasks:
            for member in self.other_members():
                tasks.start_soon(query, member)
        return sorted(generations, key=lambda entry: entry.node)

    # Background tasks

    async def run(self) -> None:
        """Load the configuration, then keep it current until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run_peer_fetch)
            await self.start()
            await self.follow_platform()

    async def start(self) -> None:
        """Become ready with the platform's generation or, in an outage, with that of the peers."""
        while not self.ready.is_set():
            try:
                await self.read()
                loaded = self.generation >= 0 and not self.invalid_revision
            except exceptions.StoreError:
                loaded = False
            if not loaded:
                loaded = await self.read_from_peers()
            if loaded:
                self.ready.set()
            else:
                await anyio.sleep(START_RETRY_DELAY_S)

    async def follow_platform(self) -> None:
        """Watch the platform if this node is one of the watchers; otherwise poll it."""
        last_poll_at = clock.now() - self.random.uniform(0, POLL_INTERVAL_S)
        while True:
            try:
                if self.is_watcher():
                    await self.watch()
                elif clock.now() - last_poll_at >= POLL_INTERVAL_S:
                    last_poll_at = clock.now()
                    await self.poll()
                else:
                    await anyio.sleep(WATCHER_CHECK_INTERVAL_S)
            except exceptions.StoreError:
                await anyio.sleep(WATCH_RETRY_DELAY_S)

    async def watch(self) -> None:
        """Wait for one page of changes and read the configuration if there are any."""
        page = await self.store.watch(
            revisions.CURRENT_KEY, since=self.cursor, timeout_s=WATCH_TIMEOUT_S
        )
        if page.changes:
            await self.read()
        self.cursor = max(self.cursor, page.cursor)

    def is_watcher(self) -> bool:
        """Return whether this node watches for its data centre, chosen by rendezvous hashing."""
        names = {
            member.node for member in self.live_members() if member.data_centre == self.data_centre
        }
        ranked = sorted(names, key=lambda name: hashing.stable_hash(f"configuration-watch/{name}"))
        return not ranked or self.node in ranked[: self.watches_per_data_centre]

    async def read(self) -> None:
        """Read the platform's current configuration and apply it."""
        try:
            stored = await self.store.get(revisions.CURRENT_KEY)
        except exceptions.ObjectMissingError:
            self.apply(revisions.encode(editor.EMPTY_REVISION))
            return
        self.apply(stored.data)
        self.cursor = max(self.cursor, stored.version)

    async def poll(self) -> None:
        """Read the platform's current configuration if its version is new to this node.

        Lists the object first, which takes a few hundred bytes. Reading a document of the target
        size every 30 s would use more than half of a node's 4 KB/s for control traffic.
        """
        page = await self.store.list_page(revisions.CURRENT_KEY, limit=1)
        if any(info.version > self.cursor for info in page.objects):
            await self.read()

    async def run_peer_fetch(self) -> None:
        """Fetch the configuration from each peer that is found to have a higher generation."""
        while True:
            await self.newer_peer_found.wait()
            self.newer_peer_found = anyio.Event()
            newer_peer = self.newer_peer
            if newer_peer is not None and newer_peer.generation > self.generation:
                with contextlib.suppress(exceptions.PeerError):
                    await self.fetch(newer_peer.address)
            self.newer_peer = None

    async def read_from_peers(self) -> bool:
        """Apply the highest generation of the peers; return whether the node may start with it."""
        replies: list[PeerGeneration] = []

        async def query(member: members.Member) -> None:
            generation = await self.query_generation(member)
            if generation >= 0:
                replies.append(PeerGeneration(member.peer_address, generation))

        candidates = self.other_members()
        async with anyio.create_task_group() as tasks:
            for member in self.random.sample(candidates, min(MAX_START_PEERS, len(candidates))):
                tasks.start_soon(query, member)
        if not replies:
            return False
        if self.first_peer_reply_at is None:
            self.first_peer_reply_at = clock.now()
        newest = max(replies, key=lambda reply: reply.generation)
        if newest.generation > self.generation:
            with contextlib.suppress(exceptions.PeerError):
                await self.fetch(newest.address)
        settled = clock.now() - self.first_peer_reply_at >= START_SETTLE_TIME_S
        return settled and self.generation >= newest.generation

    def other_members(self) -> list[members.Member]:
        """Return the live members except this node."""
        return [member for member in self.live_members() if member.node != self.node]

    async def query_generation(self, member: members.Member) -> int:
        """Return the generation that a member has in force, or -1 if it does not answer."""
        request = ttypes.ConfigurationFetch(known_generation=OMIT_DOCUMENT)
        try:
            reply = await self.network.request(
                member.peer_address,
                request,
                ttypes.ConfigurationReply,
                timeout_s=FETCH_TIMEOUT_S / 2,
            )
        except exceptions.PeerError:
            return UNKNOWN_GENERATION
        generation = reply.message.generation
        return UNKNOWN_GENERATION if generation is None else generation

    async def fetch(self, address: str) -> None:
        """Fetch and apply a peer's configuration if it is newer."""
        request = ttypes.ConfigurationFetch(known_generation=self.generation)
        reply = await self.network.request(
            address, request, ttypes.ConfigurationReply, timeout_s=FETCH_TIMEOUT_S
        )
        if reply.message.document:
            self.apply(reply.message.document)

    async def on_fetch(
        self, sender: ttypes.Member, message: ttypes.ConfigurationFetch
    ) -> ttypes.ConfigurationReply:
        """Reply with the generation, and with the document if the sender's generation is lower."""
        if self.generation <= (message.known_generation or 0):
            return ttypes.ConfigurationReply(generation=self.generation)
        return ttypes.ConfigurationReply(generation=self.generation, document=self.encoded_revision)

    def apply(self, data: bytes) -> None:
        """Put a stored revision in force if it is valid and newer than the current one."""
        if data == self.invalid_revision:
            return
        try:
            revision = revisions.decode(data)
            if revision.generation <= self.generation:
                return
            configuration = revisions.configuration_of(revision)
        except exceptions.SettingsInvalidError as error:
            self.invalid_revision = data
            events.emit(
                events.Event.CONFIGURATION_INVALID,
                "stored configuration is invalid; the previous one stays in force",
                level=logging.ERROR,
                generation=self.generation,
                detail=error.detail,
            )
            return
        self.invalid_revision = b""
        self.current = configuration
        self.generation = revision.generation
        self.encoded_revision = data
        events.emit(
            events.Event.CONFIGURATION_APPLIED,
            "configuration applied",
            generation=self.generation,
        )
        self.notify_subscribers()

    def notify_subscribers(self) -> None:
        """Call each subscriber; an exception in one does not prevent the calls of the others."""
        for callback in self.subscribers:
            try:
                callback(self.current)
            except Exception as error:
                events.emit(
                    events.Event.CONFIGURATION_SUBSCRIBER_FAILED,
                    "configuration subscriber raised an exception",
                    level=logging.ERROR,
                    generation=self.generation,
                    detail=repr(error),
                )
