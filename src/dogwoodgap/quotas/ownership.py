"""Decides which node grants the quota of a customer, so that no grant is forgotten or made twice.

The first nodes in the order of ownership are the witnesses of a customer. A node grants after a
majority of them has accepted it as the owner in a new term, and has handed over what it knows of
earlier grants. An owner may grant only a small part of the margin before another witness knows of
it. A former owner that was paused or cut off is therefore bounded, since the witnesses refuse it.
"""

import collections.abc

import anyio
import anyio.abc

from dogwoodgap import (
    background,
    clock,
    events,
    members,
    membership,
    owner_search,
    ownership_order,
    peers,
    rate_limits,
)
from dogwoodgap.quotas import elections, windows
from dogwoodgap.quotas import held as held_quotas
from dogwoodgap_wire import ttypes

WITNESSES = 3
"""Nodes that know of the grants of a customer. One of them may fail at a time."""

OWNER_NODES = 6
"""Nodes that own quotas. With more, a node would seldom use the connection to an owner again before
it is closed: opening one takes two round trips more, and more bytes than a request."""

OFFER_TIMEOUT_S = 0.1
"""Time for a witness to respond; a node that asks this one for a quota waits 0.2 s."""

POLL_TIMEOUT_S = 0.1

RETRY_PAUSE_S = 0.25
"""Time after which a node without enough votes asks for them again. Requests that arrive meanwhile
would otherwise wait for one attempt after the other."""

MAX_ROUNDS = 2
"""Attempts to become the owner; the first one may show that another term is in force."""

DETECTION_S = 6.0
"""Time in which all nodes notice that a member is lost. Until then, and for a window, it counts as
a witness, since it may own quotas on the other side of a partition."""

SPLIT_WINDOW_S = members.DEAD_RETENTION_S
"""Time for which members that failed are assumed to use their share of a quota elsewhere."""

SHARE_INTERVAL_S = 0.25
"""Interval at which the reachable share is computed."""


class QuotaOwnership:
    """Becomes the owner of quotas, and is a witness of other owners.

    Parameters
    ----------
    search : owner_search.OwnerSearch
        Sends messages to the members.
    usage : callable
        Returns the requests of a customer that this node has admitted in each interval.

    Attributes
    ----------
    started_at : float
        Monotonic time since which this process knows of grants.
    expected_nodes : int
        Least number of nodes that the settings name. A node that has never seen another one is
        likely to be cut off.
    """

    def __init__(
        self,
        search: owner_search.OwnerSearch,
        usage: collections.abc.Callable[[str], list[int]],
    ):
        self.search = search
        self.usage = usage
        self.terms = windows.Terms()
        self.started_at = 0.0
        self.expected_nodes = 1
        self.held: dict[str, held_quotas.HeldQuota] = {}
        self.witness_order = ownership_order.OwnershipOrder(WITNESSES)
        self.witness_nodes = owner_search.NodeSelection("quotas", OWNER_NODES)
        self.pool: frozenset[str] = frozenset()
        self.share = 1.0
        self.share_key: tuple[int, int] = (-1, -1)
        self.tasks: anyio.abc.TaskGroup | None = None

    def join(
        self, joined: membership.Membership, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start to exchange grants with the members of a fleet."""
        self.tasks = tasks
        self.started_at = clock.now()
        network.handlers.register(ttypes.QuotaUsageFetch, self.on_fetch)

    # Nodes that have a say

    @property
    def table(self) -> members.MemberTable:
        """Return the members of the fleet."""
        return self.search.membership.table

    def refresh(self) -> None:
        """Update the nodes that may be witnesses, and the share of the quotas that is reachable."""
        now = clock.now()
        key = self.table.version, int(now / SHARE_INTERVAL_S)
        if key == self.share_key:
            return
        self.share_key = key
        all_members = self.table.members.values()
        self.share = rate_limits.reachable_share(all_members, now, SPLIT_WINDOW_S)
        if len(all_members) == 1:
            self.share /= self.expected_nodes
        gone_after = now - self.terms.window_s - DETECTION_S
        pool = frozenset(
            member.node
            for member in all_members
            if member.status is not members.Status.DEAD
            or (not member.departed and member.changed_at > gone_after)
        )
        if pool != self.pool:
            self.pool = pool

    def witnesses(self, customer: str) -> list[str]:
        """Return the witnesses of a customer, including lost ones that may still grant."""
        self.refresh()
        return self.witness_order.first(customer, self.witness_nodes.select(self.pool))

    def election(self, held: held_quotas.HeldQuota) -> elections.Election:
        """Return the rules by which this node is elected, or its grants are accepted."""
        return elections.Election(
            self.witnesses(held.customer),
            self.table.local.node,
            clock.now() - self.started_at,
            self.terms.window_s + windows.GRANT_VALID_S,
        )

    def known_holder(self, customer: str) -> str:
        """Return the other node that owns a quota and accepts requests; empty without one."""
        held = self.held.get(customer)
        if held is None or held.holder == self.table.local.node:
            return ""
        member = self.table.members.get(held.holder)
        is_alive = member is not None and member.status is members.Status.ALIVE
        return held.holder if is_alive and self.search.is_responsive(held.holder) else ""

    async def acquire(
        self, quota: windows.Quota, customer: str, *, last_resort: bool
    ) -> held_quotas.HeldQuota | None:
        """Return the quota of a customer if this node is its owner, or has become the owner.

        Parameters
        ----------
        last_resort : bool
            Whether the owner that this node has named did not respond to the node that asks.
        """
        held = self.find(customer)
        held.last_used_at = clock.now()
        if held.is_held or self.search.membership is None:
            return held
        if self.table.local.status is not members.Status.ALIVE:
            return None
        if not last_resort:
            first = self.search.first(customer)
            if self.known_holder(customer) or first[0] != self.table.local.node:
                return None
        async with held.lock:
            if not held.is_held and clock.now() >= held.retry_at:
                await self.take_over(quota, held)
        return held if held.is_held else None

    def find(self, customer: str) -> held_quotas.HeldQuota:
        """Return what is known of the quota of a customer."""
        held = self.held.get(customer)
        if held is None:
            window = windows.QuotaWindow(self.terms.window_s)
            held = self.held[customer] = held_quotas.HeldQuota(customer, window)
        return held

    async def take_over(self, quota: windows.Quota, held: held_quotas.HeldQuota) -> None:
        """Try to become the owner of a quota, with what the witnesses know of it."""
        local = self.table.local.node
        previous = held.holder
        for _ in range(MAX_ROUNDS):
            held.term, held.holder = held.term + 1, local
            term = held.term
            election = self.election(held)
            replies = await self.offer(
                held,
                {*election.witnesses, previous} - {local, ""},
                is_enough=election.is_decided,
            )
            if (held.term, held.holder) != (term, local):
                return  # Another node has a later term.
            if self.merge(held, replies):
                continue
            is_elected = election.is_elected(replies)
            if not is_elected or not election.is_complete(replies):
                if election.is_local_young and len(self.pool) > 1:
                    held.retry_at = clock.now() + RETRY_PAUSE_S
                    return
                replies = await self.poll(held)
                enough = len(replies) + 1 >= elections.POLL_SHARE * len(self.pool)
                if (held.term, held.holder) != (term, local) or self.merge(held, replies):
                    return
                if not is_elected and not enough:
                    held.retry_at = clock.now() + RETRY_PAUSE_S
                    return
                self.assume_usage(quota, held, replies)
            if term > 1 and not election.is_handed_over(replies):
                # The owner before may have granted as much as no witness knows of.
                held.window.granted.add(quota.unreplicated, clock.now())
            held.is_held = True
            held.data_term, held.number = term, held.number + 1
            # The witnesses may not have all of what was merged, so that it is replicated soon.
            held.replicated = held.granted - quota.unreplicated
            log_owner("this node decides on the quota of a customer from now on", held)
            return

    def merge(self, held: held_quotas.HeldQuota, replies: list[elections.Offered]) -> bool:
        """Take over newer figures; return whether a reply names a later term."""
        is_rejected = False
        for _, reply in replies:
            if reply.record is not None:
                if not reply.accepted and reply.record.term >= held.term:
                    held.term = reply.record.term
                held.load(reply.record, clock.now())
            is_rejected = is_rejected or not reply.accepted
        return is_rejected

    def assume_usage(
        self, quota: windows.Quota, held: held_quotas.HeldQuota, replies: list[elections.Offered]
    ) -> None:
        """Count what the nodes have admitted, and an equal share for those that do not know.

        A process that started within the window does not know what the one before it admitted.
        """
        now = clock.now()
        admitted = windows.SlidingCount(self.terms.window_s)
        admitted.load(self.usage(held.customer), now)
        ages_s = dict.fromkeys(self.pool, 0.0)
        ages_s[self.table.local.node] = now - self.started_at
        for member, reply in replies:
            ages_s[member.node] = reply.age_s or 0.0
            for usage in reply.usages or []:
                admitted.load(usage.admitted or [], now)
        held.add_admitted(admitted)
        held.assume_shares(quota, list(ages_s.values()), now)

    # Exchange with witnesses

    async def offer(
        self,
        held: held_quotas.HeldQuota,
        nodes: collections.abc.Iterable[str],
        customers: collections.abc.Sequence[str] = (),
        timeout_s: float = OFFER_TIMEOUT_S,
        is_enough: collections.abc.Callable[[list[elections.Offered]], bool] = lambda replies: (
            False
        ),
    ) -> list[elections.Offered]:
        """Send what is known of a quota to nodes; return the replies until there are enough."""
        message = ttypes.QuotaUsageFetch(customers=list(customers), record=held.record(clock.now()))
        replies: list[elections.Offered] = []

        async def ask(member: members.Member) -> None:
            reply = await self.search.ask(
                member, held.customer, message, ttypes.QuotaUsageReply, timeout_s
            )
            if reply is not None:
                replies.append((member, reply))
                if is_enough(replies):
                    tasks.cancel_scope.cancel()

        async with anyio.create_task_group() as tasks:
            for node in nodes:
                if (member := self.table.members.get(node)) is not None:
                    tasks.start_soon(ask, member)
        return replies

    async def poll(self, held: held_quotas.HeldQuota) -> list[elections.Offered]:
        """Ask all nodes what they have admitted, since too few witnesses know."""
        others = [
            node
            for node in self.pool
            if node != self.table.local.node and self.search.is_responsive(node)
        ]
        return await self.offer(held, others, [held.customer], POLL_TIMEOUT_S)

    async def secure(self, quota: windows.Quota, held: held_quotas.HeldQuota) -> bool:
        """Return whether what was granted last may be used.

        The witnesses are told in the background, and awaited only if too much is unknown to them.
        """
        if self.search.membership is None:
            return True
        granted = held.granted
        if granted - held.replicated <= quota.unreplicated * 2 // 3:
            return True
        if granted - held.replicated <= quota.unreplicated:
            if not held.is_replicating:
                held.is_replicating = True
                background.start(self.tasks, lambda: self.replicate_locked(held, granted))
            return True
        return await self.replicate_locked(held, granted)

    async def replicate_locked(self, held: held_quotas.HeldQuota, granted: int) -> bool:
        """Tell the witnesses of all grants up to a number, unless another task has just tried."""
        asked_at = clock.now()  # what waited for a failed attempt does not make another one
        try:
            async with held.lock:
                if held.replicated >= granted or asked_at < held.retry_at - RETRY_PAUSE_S:
                    return held.is_held and held.replicated >= granted
                return held.is_held and await self.replicate(held)
        finally:
            held.is_replicating = False

    async def replicate(self, held: held_quotas.HeldQuota) -> bool:
        """Tell as many witnesses as are needed of all grants; return whether they accepted."""
        election = self.election(held)
        granted, needed = held.granted, election.votes_needed
        held.number += 1
        others = [node for node in election.witnesses if node != election.local]
        for node in sorted(others, key=self.search.is_responsive, reverse=True):
            if needed <= 0 or not held.is_held:
                break
            replies = await self.offer(held, [node])
            if self.merge(held, replies):
                self.step_down(held, replies)
                return False
            needed -= election.votes(replies)
        if needed > 0 and held.is_held:
            replies = await self.poll(held)
            if self.merge(held, replies):
                self.step_down(held, replies)
                return False
            if len(replies) + 1 < elections.POLL_SHARE * len(self.pool):
                held.retry_at = clock.now() + RETRY_PAUSE_S
                return False
        held.replicated = max(held.replicated, granted)
        return held.is_held

    def step_down(self, held: held_quotas.HeldQuota, replies: list[elections.Offered]) -> None:
        """Stop to decide on a quota, since another node does."""
        held.is_held = False
        for _, reply in replies:
            if not reply.accepted and reply.record is not None:
                held.holder = reply.record.holder
        log_owner("another node decides on the quota of a customer", held)

    async def on_fetch(
        self, sender: ttypes.Member, message: ttypes.QuotaUsageFetch
    ) -> ttypes.QuotaUsageReply:
        """Report what this node has admitted, and accept another owner unless its term is old."""
        usages = [
            ttypes.QuotaUsage(customer=customer, admitted=self.usage(customer))
            for customer in message.customers or []
        ]
        reply = ttypes.QuotaUsageReply(usages=usages, age_s=clock.now() - self.started_at)
        record = message.record
        if record is None:
            return reply
        held = self.find(record.customer)
        # The sender may have the figures that were sent last, without the grants since then.
        held.number += held.is_held
        known = held.record(clock.now()) if held.term else None
        reply.accepted = (record.term, record.holder) >= (held.term, held.holder)
        if not reply.accepted or record.term != record.data_term:
            reply.record = known
        if reply.accepted:
            held.is_held = held.is_held and record.holder == self.table.local.node
            held.term, held.holder = record.term, record.holder
            held.last_used_at = clock.now()
            held.load(record, clock.now())
        return reply

    def forget_idle(self, idle_s: float) -> None:
        """Forget quotas that were not used for a time, so that idle customers cost nothing."""
        idle_since = clock.now() - idle_s
        for customer, held in list(self.held.items()):
            if held.last_used_at < idle_since and not held.lock.locked():
                del self.held[customer]


def log_owner(text: str, held: held_quotas.HeldQuota) -> None:
    """Log a change of the owner of a quota."""
    events.emit(
        events.Event.QUOTA_OWNER_CHANGED,
        text,
        customer=held.customer,
        term=held.term,
        holder=held.holder,
        counted=held.window.granted.total(clock.now()),
    )
