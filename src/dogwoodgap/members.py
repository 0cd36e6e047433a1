"""Member table: the known state of each node, how updates are merged and how they spread."""

import collections.abc
import dataclasses
import enum
import logging
import math

from dogwoodgap import clock, events, exceptions, hashing
from dogwoodgap_wire import ttypes

MAX_TRANSMISSIONS = 3
"""Maximum number of pings to one partner that carry a change; an answered ping ends it earlier."""

MAX_CHANGES_PER_PING = 64
RECENT_CHANGE_S = 10.0
"""Age up to which a change is still sent to a new partner."""

DEAD_RETENTION_S = 600.0
JOIN_WINDOW_S = 10.0
"""Two processes may claim one node name. Within this time after its start a node raises its
incarnation above the other boot's; later it accepts that the other boot has replaced it."""


class Status(enum.IntEnum):
    """Status of a member; the values are those of the Thrift enum."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    DEAD = 4


PRECEDENCE = {Status.ALIVE: 0, Status.LEAVING: 1, Status.SUSPECT: 2, Status.DEAD: 3}
"""Of two updates with the same incarnation, the one with the higher precedence wins."""

FAILURE_STATUSES = (Status.SUSPECT, Status.DEAD)


@dataclasses.dataclass(slots=True)
class Member:
    """State of one node as this node knows it.

    Attributes
    ----------
    incarnation : int
        Starts at the wall time of the boot in milliseconds. The node raises it to refute a
        failure report and to announce that it leaves.
    last_contact_at : float
        Monotonic time of the last direct message or successful indirect probe.
    changed_at : float
        Monotonic time of the last change of boot or status.
    learned_at : float
        Monotonic time at which this boot and incarnation became known.
    departed : bool
        Whether the node itself announced that it has stopped.
    configuration_generation : int
        Generation reported in the last direct ping; -1 when unknown.
    """

    node: str
    boot: str
    data_centre: str
    http_address: str
    peer_address: str
    incarnation: int = 0
    status: Status = Status.ALIVE
    last_contact_at: float = -math.inf
    changed_at: float = 0.0
    learned_at: float = 0.0
    departed: bool = False
    configuration_generation: int = -1

    def to_wire(self) -> ttypes.Member:
        """Return the Thrift struct for this member."""
        return ttypes.Member(
            node=self.node,
            boot=self.boot,
            data_centre=self.data_centre,
            http_address=self.http_address,
            peer_address=self.peer_address,
            incarnation=self.incarnation,
            status=int(self.status),
        )


def from_wire(wire: ttypes.Member) -> Member:
    """Convert a received Thrift struct; missing addresses become empty strings.

    Raises
    ------
    FrameMalformedError
        When the node or the boot is missing, or the status is unknown.
    """
    if not wire.node or not wire.boot or wire.status not in ttypes.MemberStatus._VALUES_TO_NAMES:
        raise exceptions.FrameMalformedError(
            f"member {wire.node!r} has boot {wire.boot!r} and status {wire.status!r}; "
            "check the sender's version"
        )
    return Member(
        node=wire.node,
        boot=wire.boot,
        data_centre=wire.data_centre or "",
        http_address=wire.http_address or "",
        peer_address=wire.peer_address or "",
        incarnation=wire.incarnation or 0,
        status=Status(wire.status),
        changed_at=clock.now(),
        learned_at=clock.now(),
    )


class MemberTable:
    """All members, including the local one, and the changes still to be sent to partners.

    Parameters
    ----------
    local : Member
        This node.
    suspect_after_s : float
        Failure reports of other nodes about a member are ignored for this time after direct
        contact with it.

    Attributes
    ----------
    replaced : dict
        Monotonic time at which each ``(node, boot)`` was replaced by a newer boot.
    pending : dict
        For each partner, the members whose changes it has not acknowledged, with the number of
        transmissions left.
    failure_reports : dict
        Failure reports to send to the nodes that they concern, so that those can refute them.
    version : int
        Incremented on every change of the table.
    superseded : bool
        Whether a newer boot has replaced the local one.
    departed : bool
        Whether the local node has announced that it stopped.
    """

    def __init__(self, local: Member, suspect_after_s: float):
        self.local = local
        self.suspect_after_s = suspect_after_s
        self.members: dict[str, Member] = {local.node: local}
        self.replaced: dict[tuple[str, str], float] = {}
        self.pending: dict[str, dict[str, int]] = {}
        self.failure_reports: dict[str, Member] = {}
        self.started_at = clock.now()
        self.version = 0
        self.superseded = False
        self.departed = False
        self.unlogged: dict[Status, list[str]] = {}
        self.subscribers: list[collections.abc.Callable[[Member], None]] = []
        self.cached_alive_version = -1
        self.cached_alive: list[Member] = []
        self.cached_nodes_version = -1
        self.cached_nodes: frozenset[str] = frozenset()
        self.cached_suspects_version = -1
        self.cached_suspects: frozenset[str] = frozenset()
        self.cached_others_version = -1
        self.cached_others: list[Member] = []
        self.cached_digest_version = -1
        self.cached_digest = 0

    def alive(self) -> list[Member]:
        """Return the members that accept work, including the local one, sorted by name.

        Callers share the list until the table changes, and must not modify it.
        """
        if self.cached_alive_version != self.version:
            alive = [member for member in self.members.values() if member.status is Status.ALIVE]
            self.cached_alive = sorted(alive, key=lambda member: member.node)
            self.cached_alive_version = self.version
        return self.cached_alive

    def alive_nodes(self) -> frozenset[str]:
        """Return the names of the members that accept work; the same object until a change."""
        if self.cached_nodes_version != self.version:
            nodes = frozenset(member.node for member in self.alive())
            if nodes != self.cached_nodes:
                self.cached_nodes = nodes
            self.cached_nodes_version = self.version
        return self.cached_nodes

    def suspect_nodes(self) -> frozenset[str]:
        """Return the names of the members that may have failed; the same object until a change."""
        if self.cached_suspects_version != self.version:
            suspects = frozenset(
                member.node for member in self.members.values() if member.status is Status.SUSPECT
            )
            if suspects != self.cached_suspects:
                self.cached_suspects = suspects
            self.cached_suspects_version = self.version
        return self.cached_suspects

    def others(self) -> list[Member]:
        """Return all members except the local one and the dead ones, sorted by name."""
        if self.cached_others_version != self.version:
            live = [
                member
                for member in self.members.values()
                if member is not self.local and member.status is not Status.DEAD
            ]
            self.cached_others = sorted(live, key=lambda member: member.node)
            self.cached_others_version = self.version
        return self.cached_others

    def publish(self, member: Member, source: str = "") -> None:
        """Queue a change for all partners except its source and notify the subscribers."""
        self.version += 1
        for node, queue in self.pending.items():
            if node not in (source, member.node):
                queue[member.node] = MAX_TRANSMISSIONS
        for callback in self.subscribers:
            callback(member)

    def set_status(self, member: Member, status: Status, source: str = "") -> None:
        """Change a member's status and publish the change."""
        if member.status is not status:
            member.status = status
            member.changed_at = clock.now()
            self.note_status(member)
        self.publish(member, source)

    def note_status(self, member: Member) -> None:
        """Note a new status for the next log lines."""
        self.unlogged.setdefault(member.status, []).append(member.node)

    def log_statuses(self) -> None:
        """Log the statuses that have changed since the last call, one line for each status."""
        unlogged, self.unlogged = self.unlogged, {}
        for status, nodes in unlogged.items():
            event, level, text = STATUS_EVENTS[status]
            events.emit(event, text, level=level, nodes=nodes, count=len(nodes))

    def record_contact(
        self, sender: ttypes.Member, incarnation: int, leaving: bool
    ) -> Member | None:
        """Record direct contact and return the member, or None for an outdated boot."""
        if sender.node == self.local.node or not sender.node:
            return None
        member = self.members.get(sender.node)
        if member is None or member.boot != sender.boot:
            update = from_wire(sender)
            update.incarnation = max(update.incarnation, incarnation)
            update.status = Status.LEAVING if leaving else Status.ALIVE
            self.merge(update, sender.node)
            member = self.members.get(sender.node)
        if member is None or (member.departed and incarnation <= member.incarnation):
            return None
        if member.boot != sender.boot:
            self.failure_reports[sender.node] = member
            return None
        member.last_contact_at = clock.now()
        status = Status.LEAVING if leaving else Status.ALIVE
        if member.status in FAILURE_STATUSES and incarnation <= member.incarnation:
            self.failure_reports[sender.node] = dataclasses.replace(member)
        if incarnation > member.incarnation or member.status in FAILURE_STATUSES:
            member.incarnation = max(incarnation, member.incarnation)
            member.learned_at = clock.now()
            self.set_status(member, status, sender.node)
        return member

    def merge(self, update: Member, source: str) -> None:
        """Apply an update of a member unless the known state is newer."""
        if update.node == self.local.node:
            self.merge_local(update)
            return
        if (update.node, update.boot) in self.replaced:
            return
        member = self.members.get(update.node)
        self.drop_pending(source, update)
        if member is None:
            if update.status is not Status.DEAD:
                self.add(update, source)
        elif member.boot != update.boot:
            self.replace_boot(member, update, source)
        elif self.is_newer(member, update):
            self.merge_status(member, update, source)

    def drop_pending(self, source: str, update: Member) -> None:
        """Remove a queued change that the partner itself has just sent."""
        member = self.members.get(update.node)
        queue = self.pending.get(source)
        if queue is None or member is None or member.boot != update.boot:
            return
        if (member.incarnation, member.status) == (update.incarnation, update.status):
            queue.pop(update.node, None)

    def is_newer(self, member: Member, update: Member) -> bool:
        """Return whether an update of the same boot supersedes the known state."""
        if update.incarnation != member.incarnation:
            return update.incarnation > member.incarnation
        return PRECEDENCE[update.status] > PRECEDENCE[member.status]

    def add(self, member: Member, source: str) -> None:
        """Add a new member."""
        self.members[member.node] = member
        self.note_status(member)
        self.publish(member, source)

    def replace_boot(self, member: Member, update: Member, source: str) -> None:
        """Replace a boot by a newer one of the same node; the old boot counts as dead."""
        if update.incarnation <= member.incarnation:
            return
        self.replaced[(member.node, member.boot)] = clock.now()
        self.add(update, source)

    def merge_status(self, member: Member, update: Member, source: str) -> None:
        """Apply a newer status; recent direct contact outweighs another node's failure report."""
        recent = clock.now() - member.last_contact_at < self.suspect_after_s
        member.departed = source == member.node and update.status is Status.DEAD
        if update.status in FAILURE_STATUSES and recent and not member.departed:
            self.failure_reports[member.node] = update
            return
        if update.incarnation > member.incarnation:
            member.learned_at = clock.now()
        member.incarnation = update.incarnation
        member.http_address = update.http_address
        member.peer_address = update.peer_address
        self.set_status(member, update.status, source)

    def merge_local(self, update: Member) -> None:
        """Refute a failure report about this node, or record that a newer boot replaced it."""
        if update.incarnation < self.local.incarnation or self.departed:
            return
        same_boot = update.boot == self.local.boot
        within_join_window = clock.now() - self.started_at < JOIN_WINDOW_S
        if same_boot and update.status not in FAILURE_STATUSES:
            return
        if same_boot or within_join_window or update.status is Status.DEAD:
            self.local.incarnation = update.incarnation + 1
            self.publish(self.local)
        elif not self.superseded:
            self.superseded = True
            self.publish(self.local)

    def queue_recent_changes(self, node: str) -> None:
        """Queue the local member and all recent changes for a new partner.

        It may have become a partner after these changes were published. Older differences are
        found by comparing digests.
        """
        limit = clock.now() - RECENT_CHANGE_S
        names = [name for name, member in self.members.items() if member.changed_at > limit]
        self.pending[node] = dict.fromkeys([self.local.node, *names], MAX_TRANSMISSIONS)
        self.pending[node].pop(node, None)

    def has_new_changes(self, node: str) -> bool:
        """Return whether a partner has not yet been sent all changes, acknowledged or not."""
        queue = self.pending.get(node, {})
        return any(transmissions == MAX_TRANSMISSIONS for transmissions in queue.values())

    def next_changes(self, node: str) -> list[ttypes.Member]:
        """Return the changes to send to a node now and count each transmission.

        The first one is a failure report about that node, if any, so that it can refute it.
        """
        changes: list[ttypes.Member] = []
        failure_report = self.failure_reports.pop(node, None)
        if failure_report is not None:
            changes.append(failure_report.to_wire())
        queue = self.pending.get(node, {})
        for name in list(queue)[:MAX_CHANGES_PER_PING]:
            member = self.members.get(name)
            if member is not None:
                changes.append(member.to_wire())
            queue[name] -= 1
            if queue[name] <= 0:
                del queue[name]
        return changes

    def mark_delivered(self, node: str, sent: list[ttypes.Member]) -> None:
        """Remove the changes that a partner has acknowledged from its queue."""
        queue = self.pending.get(node, {})
        for wire in sent:
            member = self.members.get(wire.node)
            if member is not None and member.to_wire() == wire:
                queue.pop(wire.node, None)

    def digest(self) -> int:
        """Return a signed 64-bit hash of all members that are not dead.

        Partners compare it to detect that their tables differ.
        """
        if self.cached_digest_version != self.version:
            value = 0
            for member in [self.local, *self.others()]:
                text = f"{member.node}/{member.boot}/{member.incarnation}"
                value ^= hashing.stable_hash(text)
            self.cached_digest = hashing.to_signed(value)
            self.cached_digest_version = self.version
        return self.cached_digest

    def purge_expired(self) -> None:
        """Remove dead members and replaced boots older than ``DEAD_RETENTION_S``."""
        limit = clock.now() - DEAD_RETENTION_S
        for member in list(self.members.values()):
            if member.status is Status.DEAD and member.changed_at < limit:
                del self.members[member.node]
                self.version += 1
        for key in [key for key, at in self.replaced.items() if at < limit]:
            del self.replaced[key]


STATUS_EVENTS = {
    Status.ALIVE: (events.Event.MEMBER_JOINED, logging.INFO, "members are alive"),
    Status.SUSPECT: (
        events.Event.MEMBER_SUSPECT,
        logging.WARNING,
        "members do not respond and are suspect",
    ),
    Status.LEAVING: (events.Event.MEMBER_LEAVING, logging.INFO, "members are leaving"),
    Status.DEAD: (events.Event.MEMBER_DEAD, logging.WARNING, "members are dead"),
}
