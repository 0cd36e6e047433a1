"""Membership of the fleet: gossip over peer connections, discovery of nodes, planned leave."""

import bisect
import collections.abc
import contextlib
import dataclasses
import random

import anyio

from dogwoodgap import (
    clock,
    detection,
    events,
    exceptions,
    members,
    objectstore,
    peers,
    ring,
    settings,
)
from dogwoodgap.ownership import past_owners
from dogwoodgap_wire import ttypes

LARGE_FLEET_PING_INTERVAL_S = 1.0
LARGE_FLEET_SUSPECT_AFTER_S = 3.0
LARGE_FLEET_DEAD_AFTER_S = 5.0
CHANGE_INTERVAL_S = 0.1
LARGE_FLEET_CHANGE_INTERVAL_S = 0.3
"""Shortest time between two pings to a partner. Restarts come in series, and each of their changes
would otherwise be a message of its own on every link between partners."""

SEED_DELAY_S = 0.3
"""Time after which a starting node also asks the next seed."""

DISCOVERY_INTERVAL_S = 2.0
ADDRESSES_PER_ROUND = 2
VM_LIST_INTERVAL_S = 30.0
"""380 nodes then read the list 13 times per second, of the platform's limit of 2,000 reads/s."""

TABLE_SYNC_DELAY_S = members.RECENT_CHANGE_S
"""A full table is fetched after its digest has differed for this long. Gossip resolves shorter
differences."""

MAX_SERVICE_LOADS = 16
MAX_RUNNER_LOADS = 32


@dataclasses.dataclass(slots=True)
class Hooks:
    """Callbacks that supply the payload of pings and receive that of others; all optional.

    Attributes
    ----------
    generation, assignment_version : callable
        Return this node's versions; -1 when unknown.
    on_generation, on_assignment : callable
        Called with a member whose version is higher than this node's, and that version.
    services, runners : callable
        Return the loads to send; those of runners depend on the receiving node.
    on_load : callable
        Called with the member, its service loads and its runner loads.
    crash_digest : callable
        Returns the digest of the crashes of servers known to this node, or None without any.
    on_crash_digest : callable
        Called with a member and its digest of crashes.
    """

    generation: collections.abc.Callable[[], int] = lambda: -1
    assignment_version: collections.abc.Callable[[], int] = lambda: -1
    on_generation: collections.abc.Callable[[members.Member, int], None] = lambda *args: None
    on_assignment: collections.abc.Callable[[members.Member, int], None] = lambda *args: None
    services: collections.abc.Callable[[], list[ttypes.ServiceLoad]] = list
    runners: collections.abc.Callable[[str], list[ttypes.RunnerLoad]] = lambda node: []
    on_load: collections.abc.Callable[[members.Member, list, list], None] = lambda *args: None
    crash_digest: collections.abc.Callable[[], int | None] = lambda: None
    on_crash_digest: collections.abc.Callable[[members.Member, int], None] = lambda *args: None


class Membership:
    """View of the fleet's members on this node, kept current by gossip.

    Parameters
    ----------
    node_settings : settings.NodeSettings
        Identity, addresses, seeds, ping interval and timeouts.
    boot : str
        Identifier of this run of the process.
    network : peers.Network
        Connections to other nodes; this class registers its message handlers there.
    store : objectstore.ObjectStore, optional
        Source of the platform's VM list, whose addresses are tried in addition to the seeds.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        boot: str,
        network: peers.Network,
        store: objectstore.ObjectStore | None = None,
        hooks: Hooks | None = None,
    ):
        section = node_settings.node
        self.settings = node_settings.membership
        self.seeds = list(section.seeds)
        self.network = network
        self.store = store
        self.hooks = hooks or Hooks()
        self.local = members.Member(
            node=section.name,
            boot=boot,
            data_centre=section.data_centre,
            http_address=section.http_address or section.http_bind,
            peer_address=section.peer_address or section.peer_bind,
            incarnation=int(clock.wall_time() * 1000),
        )
        self.table = members.MemberTable(self.local, self.settings.suspect_after_s)
        self.past_owners = past_owners.PastOwners(self.table)
        self.table.subscribers.append(self.on_change)
        self.random = random.Random(f"{section.name}/{boot}")
        self.digest_differs_since: dict[str, float] = {}
        self.vm_addresses: list[str] = []
        self.vm_count = 0
        self.wakeup = anyio.Event()
        self.ping_requested_at = 0.0
        self.detector = detection.Detector(self)
        self.superseded = anyio.Event()
        network.hello = self.local.to_wire
        network.handlers.register(ttypes.Ping, self.on_ping)
        network.handlers.register(ttypes.ProbeRequest, self.on_probe)
        network.handlers.register(ttypes.MemberFetch, self.on_member_fetch)

    # Interface for other modules

    def alive(self) -> list[members.Member]:
        """Return the members that accept work, including the local one, sorted by name."""
        return self.table.alive()

    def position(self) -> int | None:
        """Return the local node's index among the members that accept work, None if it leaves."""
        if self.local.status is not members.Status.ALIVE:
            return None
        return bisect.bisect_left(self.alive(), self.local.node, key=lambda member: member.node)

    def find(self, node: str) -> members.Member | None:
        """Return a member by name, or None when it is unknown."""
        return self.table.members.get(node)

    def is_dead(self, node: str, boot: str) -> bool:
        """Return whether a boot is dead, replaced by another, or still unknown after start-up.

        An unknown boot counts as dead once this node has run for twice the dead timeout.
        """
        if (node, boot) in self.table.replaced:
            return True
        member = self.table.members.get(node)
        if member is not None and member.boot == boot:
            return member.status is members.Status.DEAD
        if member is not None and member.status is not members.Status.DEAD:
            return True
        return clock.now() - self.table.started_at > 2 * self.dead_after_s

    def visible_fraction(self) -> float:
        """Return the fraction of the platform's VMs that this node knows as live members.

        A small value suggests that the node is partitioned and should delay takeovers of shards.
        """
        return min(1.0, (len(self.table.others()) + 1) / max(1, self.vm_count))

    def subscribe(self, callback: collections.abc.Callable[[members.Member], None]) -> None:
        """Call a function with each member whose status, boot or incarnation changes."""
        self.table.subscribers.append(callback)

    def ping_partners(self) -> None:
        """Ping all partners without delay, for example after a new configuration generation."""
        self.ping_requested_at = clock.now()
        self.wakeup.set()
        self.wakeup = anyio.Event()

    async def leave(self) -> None:
        """Announce that this node is leaving; it stays reachable until it stops."""
        await self.announce(members.Status.LEAVING)

    async def depart(self) -> None:
        """Announce that this node has stopped, so that others need not wait for a timeout."""
        self.table.departed = True
        await self.announce(members.Status.DEAD)

    async def announce(self, status: members.Status) -> None:
        """Change the local member's status and ping all partners once."""
        self.local.incarnation += 1
        self.table.set_status(self.local, status)
        async with anyio.create_task_group() as tasks:
            for member in self.detector.partner_members():
                tasks.start_soon(self.detector.ping, member)

    # Intervals and timeouts

    @property
    def is_large(self) -> bool:
        """Return whether the fleet is too large for a full mesh."""
        return len(self.table.others()) + 1 > ring.FULL_MESH_NODES

    @property
    def interval_s(self) -> float:
        """Interval between pings to a partner."""
        configured = self.settings.ping_interval_s
        return max(configured, LARGE_FLEET_PING_INTERVAL_S) if self.is_large else configured

    @property
    def suspect_after_s(self) -> float:
        """Time without contact after which a partner may become suspect."""
        configured = self.settings.suspect_after_s
        return max(configured, LARGE_FLEET_SUSPECT_AFTER_S) if self.is_large else configured

    @property
    def dead_after_s(self) -> float:
        """Time without contact after which a suspect partner is dead."""
        configured = self.settings.dead_after_s
        return max(configured, LARGE_FLEET_DEAD_AFTER_S) if self.is_large else configured

    @property
    def change_interval_s(self) -> float:
        """Shortest time between pings to a partner."""
        return LARGE_FLEET_CHANGE_INTERVAL_S if self.is_large else CHANGE_INTERVAL_S

    # Background tasks

    async def run(self) -> None:
        """Run gossip, discovery and failure detection until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run_discovery)
            tasks.start_soon(self.run_vm_list)
            while True:
                self.detector.refresh(tasks)
                await anyio.sleep(min(0.25, self.settings.ping_interval_s / 2))

    async def ping_address(
        self, address: str, node: str = "", reconnect: bool = False, timeout_s: float | None = None
    ) -> bool:
        """Ping an address and return whether ``node`` replied, or any node if it is empty."""
        sent = self.table.next_changes(node)
        message = ttypes.Ping(changes=sent, **self.shared_fields(node))
        try:
            reply = await self.network.request(
                address,
                message,
                ttypes.PingReply,
                timeout_s=timeout_s or self.interval_s,
                reconnect=reconnect,
            )
            self.table.mark_delivered(node, sent)
            await self.process_ping(reply.sender, reply.message)
        except exceptions.PeerError:
            return False
        return not node or reply.sender.node == node

    async def run_discovery(self) -> None:
        """Contact the seeds, then repeatedly the addresses that belong to no live member.

        These are seeds, VMs of the platform and dead members.
        """
        await self.join_seeds()
        while True:
            await anyio.sleep(DISCOVERY_INTERVAL_S)
            known = {member.peer_address for member in [self.local, *self.table.others()]}
            dead = [member.peer_address for member in self.table.members.values()]
            unknown = {*self.seeds, *self.vm_addresses, *dead} - known
            chosen = self.random.sample(sorted(unknown), min(ADDRESSES_PER_ROUND, len(unknown)))
            for address in chosen:
                await self.join_address(address)

    async def join_seeds(self) -> None:
        """Fetch the table of one seed, and those of the others that differ from it.

        A seed may have just started itself and know few members. Seeds are asked in a random order,
        so that the first ones do not serve a whole fleet that starts.
        """
        fetched = anyio.Event()

        async def join(address: str) -> None:
            if await self.join_address(address):
                fetched.set()

        async with anyio.create_task_group() as tasks:
            for address in self.random.sample(self.seeds, len(self.seeds)):
                tasks.start_soon(join, address)
                with anyio.move_on_after(SEED_DELAY_S):
                    await fetched.wait()

    async def join_address(self, address: str) -> bool:
        """Ping an address, and fetch the table of the node if it differs from the local one.

        Returns
        -------
        bool
            Whether the node replied and its table is known now.
        """
        if address == self.local.peer_address or not await self.ping_address(address):
            return False
        differs = any(
            member.peer_address == address and member.node in self.digest_differs_since
            for member in self.table.others()
        )
        return not differs or await self.fetch_members(address)

    async def run_vm_list(self) -> None:
        """Read the platform's list of VMs periodically."""
        while self.store is not None:
            with contextlib.suppress(exceptions.StoreError):
                vms = await self.store.vms()
                self.vm_addresses = [vm.address for vm in vms if not vm.leaving]
                self.vm_count = len(vms)
            await anyio.sleep(VM_LIST_INTERVAL_S if self.vm_count else DISCOVERY_INTERVAL_S)

    async def fetch_members(self, address: str) -> bool:
        """Fetch the member table of another node and merge it; return whether it replied."""
        try:
            reply = await self.network.request(
                address, ttypes.MemberFetch(), ttypes.MemberReply, timeout_s=self.interval_s * 2
            )
        except exceptions.PeerError:
            return False
        for wire in reply.message.members or []:
            self.table.merge(members.from_wire(wire), reply.sender.node)
        return True

    # Message handling

    def shared_fields(self, node: str) -> dict:
        """Return the fields common to a ping and its reply."""
        return {
            "configuration_generation": self.hooks.generation(),
            "assignment_version": self.hooks.assignment_version(),
            "services": self.hooks.services()[:MAX_SERVICE_LOADS],
            "runners": self.hooks.runners(node)[:MAX_RUNNER_LOADS],
            "incarnation": self.local.incarnation,
            "leaving": self.local.status is not members.Status.ALIVE,
            "table_digest": self.table.digest(),
            "crash_digest": self.hooks.crash_digest(),
        }

    async def process_ping(
        self, sender: ttypes.Member, message: ttypes.Ping | ttypes.PingReply
    ) -> None:
        """Merge the contents of a ping or of its reply."""
        if sender.node == self.local.node and sender.boot == self.local.boot:
            return
        for wire in message.changes or []:
            self.table.merge(members.from_wire(wire), sender.node)
        member = self.table.record_contact(sender, message.incarnation or 0, bool(message.leaving))
        if member is None:
            return
        generation = number_or_unknown(message.configuration_generation)
        version = number_or_unknown(message.assignment_version)
        member.configuration_generation = generation
        if generation > self.hooks.generation():
            self.hooks.on_generation(member, generation)
        if version > self.hooks.assignment_version():
            self.hooks.on_assignment(member, version)
        self.hooks.on_load(member, message.services or [], message.runners or [])
        if message.crash_digest is not None:
            self.hooks.on_crash_digest(member, message.crash_digest)
        await self.compare_digest(member, message.table_digest)

    async def compare_digest(self, member: members.Member, digest: int) -> None:
        """Fetch a member's table when its digest has differed for ``TABLE_SYNC_DELAY_S``."""
        if digest == self.table.digest():
            self.digest_differs_since.pop(member.node, None)
            return
        since = self.digest_differs_since.setdefault(member.node, clock.now())
        if clock.now() - since >= TABLE_SYNC_DELAY_S:
            self.digest_differs_since[member.node] = clock.now()
            await self.fetch_members(member.peer_address)

    async def on_ping(self, sender: ttypes.Member, message: ttypes.Ping) -> ttypes.PingReply:
        """Reply to a ping."""
        await self.process_ping(sender, message)
        return ttypes.PingReply(
            changes=self.table.next_changes(sender.node), **self.shared_fields(sender.node)
        )

    async def on_probe(
        self, sender: ttypes.Member, message: ttypes.ProbeRequest
    ) -> ttypes.ProbeReply:
        """Reply whether this node can reach another one."""
        member = self.table.members.get(message.node)
        reachable = member is not None and clock.now() - member.last_contact_at < self.interval_s
        if not reachable:
            reachable = await self.ping_address(message.peer_address, message.node)
        return ttypes.ProbeReply(node=message.node, reachable=reachable)

    async def on_member_fetch(
        self, sender: ttypes.Member, message: ttypes.MemberFetch
    ) -> ttypes.MemberReply:
        """Reply with all members that are not dead."""
        return ttypes.MemberReply(
            members=[member.to_wire() for member in [self.local, *self.table.others()]]
        )

    def on_change(self, member: members.Member) -> None:
        """Wake the pinging tasks, and signal when another boot has replaced this one."""
        self.wakeup.set()
        self.wakeup = anyio.Event()
        if self.table.superseded and not self.superseded.is_set():
            self.superseded.set()
            events.emit(
                events.Event.MEMBER_REPLACED,
                "another process with this node's name has replaced this one; stop this process",
                node=self.local.node,
                boot=self.local.boot,
            )


def number_or_unknown(value: int | None) -> int:
    """Return a received version, or -1 when the field is missing."""
    return -1 if value is None else value
