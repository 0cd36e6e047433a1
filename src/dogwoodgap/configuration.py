"""The fleet configuration in force: loading, watching, gossip between nodes, updates."""

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
    members,
    models,
    objectstore,
    peers,
    revisions,
    shards,
)
from dogwoodgap_wire import ttypes

UNKNOWN = -1
WATCH_TIMEOUT_S = 10.0
WATCH_RETRY_S = 0.5
ROLE_CHECK_S = 1.0
SLOW_POLL_S = 30.0
"""A node that does not watch reads this often, in case that gossip misses it."""

START_RETRY_S = 0.2
FETCH_TIMEOUT_S = 2.0
START_SETTLE_S = 1.0
"""In an outage a starting node listens this long after the first peer's answer.

The first peers that it knows may not have heard of the newest generation yet; two ping intervals
bring it the whole member table and the generation of each partner.
"""

START_PEERS = 16
PARALLEL_QUESTIONS = 32
ONLY_GENERATION = 2**62
"""As ``known_generation`` it asks for the generation without the document."""


@dataclasses.dataclass(frozen=True, slots=True)
class InForce:
    """Generation that a node has in force; -1 when it did not say."""

    node: str
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """A peer that has a higher generation."""

    address: str
    generation: int


class Configuration:
    """The configuration in force at this node.

    Parameters
    ----------
    node, data_centre : str
        This node.
    store : objectstore.ObjectStore
        The platform.
    network : peers.Network
        Connections to other nodes.
    alive : callable
        Returns the live members.
    watches_per_data_centre : int
        How many nodes of a data centre watch the platform.
    """

    def __init__(
        self,
        node: str,
        data_centre: str,
        store: objectstore.ObjectStore,
        network: peers.Network,
        alive: collections.abc.Callable[[], list[members.Member]],
        watches_per_data_centre: int = 2,
        bucket: objectstore.RateBucket | None = None,
    ):
        self.node = node
        self.data_centre = data_centre
        self.store = store
        self.network = network
        self.alive = alive
        self.watches_per_data_centre = watches_per_data_centre
        self.editor = editor.Editor(store, bucket)
        self.current = models.FleetConfiguration()
        self.generation = UNKNOWN
        self.data = b""
        self.cursor = 0
        self.invalid_data = b""
        self.ready = anyio.Event()
        self.peers_since: float | None = None
        self.offer: Offer | None = None
        self.offered = anyio.Event()
        self.random = random.Random(node)
        self.subscribers: list[collections.abc.Callable[[models.FleetConfiguration], None]] = []
        network.handlers.register(ttypes.ConfigurationFetch, self.on_fetch)

    # What other parts ask

    def subscribe(
        self, callback: collections.abc.Callable[[models.FleetConfiguration], None]
    ) -> None:
        """Call a function with each new configuration."""
        self.subscribers.append(callback)

    def known_generation(self) -> int:
        """Return the generation in force, or -1 before any is known."""
        return self.generation

    def on_higher(self, member: members.Member, generation: int) -> None:
        """Note that a peer has a higher generation; used as a hook of the membership."""
        if generation > self.generation and self.offer is None:
            self.offer = Offer(member.peer_address, generation)
            self.offered.set()

    async def update(
        self,
        document: models.FleetConfiguration | dict[str, typing.Any],
        expected_generation: int,
        author: str,
        note: str = "",
    ) -> int:
        """Write and apply the next generation; see :meth:`editor.Editor.update`."""
        revision, data = await self.editor.update(document, expected_generation, author, note)
        events.emit(
            events.Event.CONFIGURATION_UPDATED,
            "operator changed the configuration",
            generation=revision.generation,
            author=author,
            note=note,
        )
        self.apply(data)
        return revision.generation

    async def rollback(
        self, generation: int, expected_generation: int, author: str, note: str = ""
    ) -> int:
        """Make the document of a past generation the next one."""
        base = revisions.configuration_of(await self.editor.get(generation))
        reason = note or f"rollback to generation {generation}"
        return await self.update(base, expected_generation, author, reason)

    async def history(self, limit: int = 20) -> list[revisions.Revision]:
        """Return the newest revisions, the current one first."""
        return await self.editor.history(limit)

    async def get(self, generation: int) -> models.FleetConfiguration:
        """Return the document of a generation."""
        return revisions.configuration_of(await self.editor.get(generation))

    async def in_force(self) -> list[InForce]:
        """Return the generation of each live member.

        A generation known from pings that is not below this node's counts, since no node
        reverts; other members are asked.
        """
        limiter = anyio.CapacityLimiter(PARALLEL_QUESTIONS)
        found: list[InForce] = [InForce(self.node, self.generation)]

        async def ask(member: members.Member) -> None:
            generation = member.configuration_generation
            if generation < self.generation:
                async with limiter:
                    generation = max(generation, await self.ask_generation(member))
            found.append(InForce(member.node, generation))

        async with anyio.create_task_group() as tasks:
            for member in self.peers():
                tasks.start_soon(ask, member)
        return sorted(found, key=lambda entry: entry.node)

    # Tasks

    async def run(self) -> None:
        """Follow the platform and the peers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run_fetch)
            await self.start()
            await self.run_platform()

    async def start(self) -> None:
        """Become ready with the platform's generation or, in an outage, the peers' highest."""
        while not self.ready.is_set():
            try:
                await self.read()
                known = self.generation >= 0 and not self.invalid_data
            except exceptions.StoreError:
                known = False
            if not known:
                known = await self.read_from_peers()
            if known:
                self.ready.set()
            else:
                await anyio.sleep(START_RETRY_S)

    async def run_platform(self) -> None:
        """Watch the platform when chosen; otherwise read it rarely."""
        polled_at = clock.now() - self.random.uniform(0, SLOW_POLL_S)
        while True:
            try:
                if self.is_watcher():
                    await self.watch()
                elif clock.now() - polled_at >= SLOW_POLL_S:
                    polled_at = clock.now()
                    await self.poll()
                else:
                    await anyio.sleep(ROLE_CHECK_S)
            except exceptions.StoreError:
                await anyio.sleep(WATCH_RETRY_S)

    async def watch(self) -> None:
        """Read once, then wait for one page of changes."""
        page = await self.store.watch(
            revisions.CURRENT_KEY, since=self.cursor, timeout_s=WATCH_TIMEOUT_S
        )
        if page.changes:
            await self.read()
        self.cursor = max(self.cursor, page.cursor)

    def is_watcher(self) -> bool:
        """Return whether this node is among the watchers of its data centre (rendezvous hash)."""
        names = {member.node for member in self.alive() if member.data_centre == self.data_centre}
        ranked = sorted(names, key=lambda name: shards.stable_hash(f"configuration-watch/{name}"))
        return not ranked or self.node in ranked[: self.watches_per_data_centre]

    async def read(self) -> None:
        """Read the platform's current configuration and apply it."""
        try:
            stored = await self.store.get(revisions.CURRENT_KEY)
        except exceptions.ObjectMissingError:
            self.apply(revisions.encode(editor.FIRST))
            return
        self.apply(stored.data)
        self.cursor = max(self.cursor, stored.version)

    async def poll(self) -> None:
        """Read the platform's current configuration if its version is new to this node.

        The listing has a few hundred bytes. The document of the target size, read every 30 s,
        would alone take more than half of a node's 4 KB/s for control.
        """
        page = await self.store.list_page(revisions.CURRENT_KEY, limit=1)
        if any(item.version > self.cursor for item in page.objects):
            await self.read()

    async def run_fetch(self) -> None:
        """Fetch from peers that offered a higher generation."""
        while True:
            await self.offered.wait()
            self.offered = anyio.Event()
            offer = self.offer
            if offer is not None and offer.generation > self.generation:
                with contextlib.suppress(exceptions.PeerError):
                    await self.fetch(offer.address)
            self.offer = None

    async def read_from_peers(self) -> bool:
        """Apply the highest generation among the peers; return whether it can be relied on."""
        offers: list[Offer] = []

        async def ask(member: members.Member) -> None:
            generation = await self.ask_generation(member)
            if generation >= 0:
                offers.append(Offer(member.peer_address, generation))

        candidates = self.peers()
        async with anyio.create_task_group() as tasks:
            for member in self.random.sample(candidates, min(START_PEERS, len(candidates))):
                tasks.start_soon(ask, member)
        if not offers:
            return False
        if self.peers_since is None:
            self.peers_since = clock.now()
        best = max(offers, key=lambda offer: offer.generation)
        if best.generation > self.generation:
            with contextlib.suppress(exceptions.PeerError):
                await self.fetch(best.address)
        settled = clock.now() - self.peers_since >= START_SETTLE_S
        return settled and self.generation >= best.generation

    def peers(self) -> list[members.Member]:
        """Return the other live members."""
        return [member for member in self.alive() if member.node != self.node]

    async def ask_generation(self, member: members.Member) -> int:
        """Return the generation that a member has in force, or -1."""
        request = ttypes.ConfigurationFetch(known_generation=ONLY_GENERATION)
        try:
            reply = await self.network.request(
                member.peer_address,
                request,
                ttypes.ConfigurationReply,
                timeout_s=FETCH_TIMEOUT_S / 2,
            )
        except exceptions.PeerError:
            return UNKNOWN
        found = reply.message.generation
        return UNKNOWN if found is None else found

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
        """Give the configuration in force to a node with a lower generation."""
        if self.generation <= (message.known_generation or 0):
            return ttypes.ConfigurationReply(generation=self.generation)
        return ttypes.ConfigurationReply(generation=self.generation, document=self.data)

    def apply(self, data: bytes) -> None:
        """Put a stored revision in force if it is valid and newer than the present one."""
        if data == self.invalid_data:
            return
        try:
            revision = revisions.decode(data)
            if revision.generation <= self.generation:
                return
            configuration = revisions.configuration_of(revision)
        except exceptions.SettingsInvalidError as error:
            self.invalid_data = data
            events.emit(
                events.Event.CONFIGURATION_INVALID,
                "stored configuration is invalid; the old one stays in force",
                level=logging.ERROR,
                generation=self.generation,
                detail=error.detail,
            )
            return
        self.invalid_data = b""
        self.current = configuration
        self.generation = revision.generation
        self.data = data
        events.emit(
            events.Event.CONFIGURATION_APPLIED,
            "configuration is in force",
            generation=self.generation,
        )
        self.publish()

    def publish(self) -> None:
        """Call the subscribers; a fault in one does not keep the others from the news."""
        for callback in self.subscribers:
            try:
                callback(self.current)
            except Exception as error:
                events.emit(
                    events.Event.CONFIGURATION_SUBSCRIBER_FAILED,
                    "a part of the node failed on a new configuration",
                    level=logging.ERROR,
                    generation=self.generation,
                    detail=repr(error),
                )
