"""Failure detection: one task per partner pings it and evaluates how long it has not responded."""

import contextlib
import random
import typing

import anyio
import anyio.abc

from dogwoodgap import clock, exceptions, members, ring
from dogwoodgap_wire import ttypes

if typing.TYPE_CHECKING:
    from dogwoodgap import membership as membership_module

INDIRECT_PROBES = 3
PAUSE_THRESHOLD_S = 2.0
"""The process counts as paused when its tasks did not run for longer than this."""


class Detector:
    """Runs one monitor task for each partner of the local node.

    Parameters
    ----------
    membership : membership.Membership
        Provides the member table, the timeouts and the connections.
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
        """Return the current time; a detected pause of this process restarts all timeouts."""
        now = clock.now()
        if now - self.pause_checked_at > PAUSE_THRESHOLD_S:
            self.resumed_at = now
        self.pause_checked_at = now
        return now

    def silence_s(self, member: members.Member) -> float:
        """Return the time without contact, counted at most from the end of the last pause."""
        return self.detect_pause() - max(member.last_contact_at, member.learned_at, self.resumed_at)

    def refresh(self, tasks: anyio.abc.TaskGroup) -> None:
        """Match partners and their monitors to the member table, and expire old entries."""
        self.detect_pause()
        if self.refreshed_version != self.membership.table.version:
            self.refreshed_version = self.membership.table.version
            self.membership.table.suspect_after_s = self.membership.suspect_after_s
            self.refresh_partners(tasks)
        self.expire_suspects()
        self.membership.table.purge_expired()
        self.membership.table.log_statuses()

    def refresh_partners(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start and stop monitors and connections as the set of partners changes."""
        local = self.membership.local.node
        others = (member.node for member in self.membership.table.others())
        partners = ring.Ring([local, *others]).partners(local)
        for node in self.monitors.keys() - partners:
            self.monitors.pop(node).cancel()
            self.membership.table.pending.pop(node, None)
        for node in sorted(partners - self.monitors.keys()):
            self.monitors[node] = anyio.CancelScope()
            self.membership.table.queue_recent_changes(node)
            tasks.start_soon(self.monitor, node, self.monitors[node])
        self.membership.network.set_partners(
            member.peer_address for member in self.partner_members()
        )

    def partner_members(self) -> list[members.Member]:
        """Return the monitored members, sorted by name."""
        return [member for member in self.membership.table.others() if member.node in self.monitors]

    def expire_suspects(self) -> None:
        """Declare members dead that stayed suspect for twice the dead timeout.

        This covers suspects that are not partners, whose monitors run on other nodes.
        """
        limit = clock.now() - 2 * self.membership.dead_after_s
        for member in self.membership.table.others():
            suspect = member.status is members.Status.SUSPECT
            if suspect and max(member.changed_at, self.resumed_at) < limit:
                self.membership.table.set_status(member, members.Status.DEAD)

    async def monitor(self, node: str, scope: anyio.CancelScope) -> None:
        """Ping one partner periodically and update its status."""
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
        """Wait until the next ping is due or there are changes to send."""
        wakeup = self.membership.wakeup
        started_at = clock.now()
        member = self.membership.table.members.get(node)
        min_interval_s = self.membership.change_interval_s
        if member is not None and not self.membership.table.has_new_changes(node):
            delay = self.due_at(member) - started_at
            with anyio.move_on_after(min(max(min_interval_s, delay), self.membership.interval_s)):
                await wakeup.wait()
        gap = started_at + min_interval_s - clock.now()
        if gap > 0:
            await anyio.sleep(gap)

    def due_at(self, member: members.Member) -> float:
        """Return when to ping a partner that sent nothing.

        Of two partners, the one with the smaller name pings first; the other one waits longer,
        since a ping in either direction counts as contact for both.
        """
        intervals = 1.0 if self.membership.local.node < member.node else 1.5
        return member.last_contact_at + intervals * self.membership.interval_s

    def is_due(self, member: members.Member) -> bool:
        """Return whether to ping a partner now: on changes, on request, or after the interval."""
        table = self.membership.table
        if table.has_new_changes(member.node) or member.node in table.failure_reports:
            return True
        pinged_at = self.pinged_at.get(member.node, 0.0)
        return pinged_at < self.membership.ping_requested_at or clock.now() >= self.due_at(member)

    async def ping(
        self, member: members.Member, reconnect: bool = False, timeout_s: float | None = None
    ) -> bool:
        """Ping a member and return whether it replied."""
        self.pinged_at[member.node] = clock.now()
        return await self.membership.ping_address(
            member.peer_address, member.node, reconnect, timeout_s
        )

    async def check_unresponsive(self, member: members.Member) -> None:
        """Try a new connection and indirect probes before marking a member suspect."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.ping, member, True)
            tasks.start_soon(self.probe_indirectly, member)
        if self.silence_s(member) < self.membership.suspect_after_s:
            return
        if member.status in (members.Status.ALIVE, members.Status.LEAVING):
            self.membership.table.set_status(member, members.Status.SUSPECT)

    async def probe_indirectly(self, member: members.Member) -> None:
        """Ask a few other nodes whether they can reach a member; success counts as contact."""
        others = [other for other in self.membership.alive() if other.node != member.node]
        others = [other for other in others if other is not self.membership.local]
        helpers = self.random.sample(others, min(INDIRECT_PROBES, len(others)))
        async with anyio.create_task_group() as tasks:
            for helper in helpers:
                tasks.start_soon(self.probe_via, helper, member)

    async def probe_via(self, helper: members.Member, member: members.Member) -> None:
        """Ask one node whether it can reach a member."""
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
        """Ping a suspect on a new connection and declare it dead once its timeout has passed."""
        remaining = self.membership.dead_after_s - self.silence_s(member)
        if remaining > 0:
            timeout_s = min(self.membership.interval_s, remaining)
            await self.ping(member, reconnect=True, timeout_s=timeout_s)
        suspect = member.status is members.Status.SUSPECT
        if suspect and self.silence_s(member) >= self.membership.dead_after_s:
            self.membership.table.set_status(member, members.Status.DEAD)
