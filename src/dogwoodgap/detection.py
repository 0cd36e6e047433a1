"""Failure detection: one task for each partner, which pings it and judges its silence."""

import contextlib
import random
import typing

import anyio
import anyio.abc

from dogwoodgap import clock, exceptions, members
from dogwoodgap_wire import ttypes

if typing.TYPE_CHECKING:
    from dogwoodgap import membership as membership_module

MIN_PING_INTERVAL_S = 0.1
INDIRECT_PROBES = 3
PAUSE_THRESHOLD_S = 2.0
"""A gap of this length between steps means that the process was paused."""


class Detector:
    """The monitors of one node's partners.

    Parameters
    ----------
    membership : membership.Membership
        Owner of the table, the times and the connections.
    """

    def __init__(self, membership: "membership_module.Membership"):
        self.membership = membership
        self.random = random.Random(f"{membership.local.node}/{membership.local.boot}")
        self.monitors: dict[str, anyio.CancelScope] = {}
        self.pinged_at: dict[str, float] = {}
        self.refreshed_version = -1
        self.pause_checked_at = clock.now()
        self.resumed_at = clock.now()

    def detect_pause(self) -> float:
        """Return the time; after a pause of this process the silence of others starts anew."""
        now = clock.now()
        if now - self.pause_checked_at > PAUSE_THRESHOLD_S:
            self.resumed_at = now
        self.pause_checked_at = now
        return now

    def silence_s(self, member: members.Member) -> float:
        """Return for how long a member could have been heard and was not."""
        return self.detect_pause() - max(member.last_contact_at, member.learned_at, self.resumed_at)

    def refresh(self, tasks: anyio.abc.TaskGroup) -> None:
        """Follow the table: partners, their tasks and expired entries."""
        self.detect_pause()
        if self.refreshed_version != self.membership.table.version:
            self.refreshed_version = self.membership.table.version
            self.membership.table.suspect_after_s = self.membership.suspect_after_s
            self.refresh_partners(tasks)
        self.expire_suspects()
        self.membership.table.purge_expired()

    def refresh_partners(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start and stop monitors and connections."""
        wanted = members.choose_partners(
            self.membership.local.node, (member.node for member in self.membership.table.others())
        )
        for node in self.monitors.keys() - wanted:
            self.monitors.pop(node).cancel()
            self.membership.table.pending.pop(node, None)
        for node in sorted(wanted - self.monitors.keys()):
            self.monitors[node] = anyio.CancelScope()
            self.membership.table.pending[node] = {
                self.membership.local.node: members.MAX_TRANSMISSIONS
            }
            tasks.start_soon(self.monitor, node, self.monitors[node])
        self.membership.network.set_partners(
            member.peer_address for member in self.partner_members()
        )

    def partner_members(self) -> list[members.Member]:
        """Return the partners by name."""
        return [member for member in self.membership.table.others() if member.node in self.monitors]

    def expire_suspects(self) -> None:
        """Declare suspects dead that their own monitors left undecided."""
        limit = clock.now() - 2 * self.membership.dead_after_s
        for member in self.membership.table.others():
            suspect = member.status is members.Status.SUSPECT
            if suspect and max(member.changed_at, self.resumed_at) < limit:
                self.membership.table.set_status(member, members.Status.DEAD)

    async def monitor(self, node: str, scope: anyio.CancelScope) -> None:
        """Ping one partner and judge its silence."""
        with scope:
            while True:
                self.detect_pause()
                member = self.membership.table.members.get(node)
                if member is not None and member.status is members.Status.SUSPECT:
                    await self.confirm_failure(member)
                elif member is not None and self.is_due(member) and not await self.ping(member):
                    await self.check_unresponsive(member)
                await self.wait_for_next_ping(node)

    async def wait_for_next_ping(self, node: str) -> None:
        """Wait until a ping may be due, or until there is news to send."""
        wakeup = self.membership.wakeup
        started_at = clock.now()
        member = self.membership.table.members.get(node)
        if member is not None and not self.membership.table.pending.get(node):
            delay = self.due_at(member) - started_at
            with anyio.move_on_after(
                min(max(MIN_PING_INTERVAL_S, delay), self.membership.interval_s)
            ):
                await wakeup.wait()
        gap = started_at + MIN_PING_INTERVAL_S - clock.now()
        if gap > 0:
            await anyio.sleep(gap)

    def due_at(self, member: members.Member) -> float:
        """Return when to ping a silent partner; of a pair the smaller name pings regularly."""
        intervals = 1.0 if self.membership.local.node < member.node else 1.5
        return member.last_contact_at + intervals * self.membership.interval_s

    def is_due(self, member: members.Member) -> bool:
        """Return whether to ping a partner now, for news or after its silence."""
        table = self.membership.table
        if table.pending.get(member.node) or member.node in table.failure_reports:
            return True
        pinged_at = self.pinged_at.get(member.node, 0.0)
        return pinged_at < self.membership.ping_requested_at or clock.now() >= self.due_at(member)

    async def ping(
        self, member: members.Member, fresh: bool = False, timeout_s: float | None = None
    ) -> bool:
        """Exchange a ping with a member and return whether it answered."""
        self.pinged_at[member.node] = clock.now()
        return await self.membership.ping_address(
            member.peer_address, member.node, fresh, timeout_s
        )

    async def check_unresponsive(self, member: members.Member) -> None:
        """Try a fresh connection and other nodes' connections before suspecting a member."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ping, member, True)
            tasks.start_soon(self.probe_indirectly, member)
        if self.silence_s(member) < self.membership.suspect_after_s:
            return
        if member.status in (members.Status.ALIVE, members.Status.LEAVING):
            self.membership.table.set_status(member, members.Status.SUSPECT)

    async def probe_indirectly(self, member: members.Member) -> None:
        """Ask a few others whether they reach a member; a yes counts as contact."""
        others = [other for other in self.membership.alive() if other.node != member.node]
        others = [other for other in others if other is not self.membership.local]
        helpers = self.random.sample(others, min(INDIRECT_PROBES, len(others)))
        async with anyio.create_task_group() as tasks:
            for helper in helpers:
                tasks.start_soon(self.probe_via, helper, member)

    async def probe_via(self, helper: members.Member, member: members.Member) -> None:
        """Ask one node whether it reaches a member."""
        request = ttypes.ProbeRequest(node=member.node, peer_address=member.peer_address)
        with contextlib.suppress(exceptions.PeerError):
            reply = await self.membership.network.request(
                helper.peer_address,
                request,
                ttypes.ProbeReply,
                timeout_s=1.5 * self.membership.interval_s,
            )
            if reply.message.reachable:
                member.last_contact_at = clock.now()

    async def confirm_failure(self, member: members.Member) -> None:
        """Give a suspect the rest of its time to answer on a fresh connection, then declare it."""
        remaining = self.membership.dead_after_s - self.silence_s(member)
        if remaining > 0:
            timeout_s = min(self.membership.interval_s, remaining)
            await self.ping(member, fresh=True, timeout_s=timeout_s)
        suspect = member.status is members.Status.SUSPECT
        if suspect and self.silence_s(member) >= self.membership.dead_after_s:
            self.membership.table.set_status(member, members.Status.DEAD)
