"""Keeps the quotas of customers over all gateways.

A request of a customer with a quota is admitted from the local lease, or after the owner of the
quota has granted it. ``quotas.ownership`` decides which node is the owner.
"""

import dataclasses
import logging
import math
import random

import anyio
import anyio.abc

from dogwoodgap import (
    clock,
    dialect,
    events,
    exceptions,
    exposition,
    members,
    membership,
    owner_search,
    peers,
    routes,
)
from dogwoodgap.quotas import decider, leases, ownership, windows
from dogwoodgap_wire import ttypes

REQUEST_TIMEOUT_S = windows.REPLY_VALID_S
"""A reply takes one round trip between data centres, 1 to 3 ms. A later one is not used, as the
owner does not count the requests for longer than that beyond the window."""

MAX_ASKED = 8
"""Owners that are asked for one request, including those that others name."""

SEARCH_TIMEOUT_S = 0.5
"""Time after which no further owner is asked, so that a gateway that is cut off refuses soon. It
covers an owner and its successor that do not respond, of 0.2 s each."""

HOLDER_TTL_S = 5.0
"""Time for which an owner that another node has named is asked first."""

REFUSAL_TTL_S = 0.1
"""Time for which a refusal is repeated without asking again. It bounds the messages for a customer
that is far over its quota, and is shorter than an interval of the count."""

UNDECIDED_RETRY_S = windows.INTERVAL_S
"""Retry delay of a request that no owner has decided on. Another gateway may reach one."""

LOG_INTERVAL_S = 5.0
"""Shortest time between two log lines on the refusals of a customer."""

IDLE_FACTOR = 4.0
"""Time in windows after which the state of a customer without requests is removed."""


@dataclasses.dataclass(slots=True)
class Refusal:
    """The last refusal of an owner.

    Attributes
    ----------
    decided_at, retry_at : float
        Monotonic times of the decision and of the expected next grant.
    """

    owner: str
    decided_at: float
    retry_at: float


@dataclasses.dataclass(slots=True)
class OwnerDecision:
    """The reply of an owner, and the monotonic time at which it was asked for."""

    owner: str
    asked_at: float
    reply: ttypes.QuotaReply


@dataclasses.dataclass(slots=True)
class CustomerState:
    """What this node keeps of a customer whose requests it admits."""

    lease: leases.Lease
    holder: str = ""
    holder_known_at: float = -math.inf
    refusal: Refusal | None = None
    logged_at: float = -math.inf
    unlogged: int = 0


class QuotaCoordinator:
    """Asks for the quota of requests, and decides on the customers whose quota this node owns.

    Attributes
    ----------
    terms : windows.Terms
        Rules of the deployment; to be set before requests arrive.
    """

    def __init__(self) -> None:
        self.search = owner_search.OwnerSearch(
            ownership.WITNESSES,
            REQUEST_TIMEOUT_S,
            log_lost_owner,
            owner_search.NodeSelection("quotas", ownership.OWNER_NODES).select,
        )
        self.ownership = ownership.QuotaOwnership(self.search, self.usage)
        self.states: dict[str, CustomerState] = {}
        self.decider = decider.QuotaDecider(self.ownership)
        self.swept_at = -math.inf

    @property
    def terms(self) -> windows.Terms:
        """Return the rules of the deployment."""
        return self.ownership.terms

    @terms.setter
    def terms(self, terms: windows.Terms) -> None:
        self.ownership.terms = terms

    def join(
        self, joined: membership.Membership, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start to exchange quotas with the members of a fleet."""
        self.search.join(joined, network)
        self.ownership.join(joined, network, tasks)
        network.handlers.register(ttypes.QuotaRequest, self.decider.on_request)

    def assume_first_start(self) -> None:
        """Assume that no node has admitted requests before this process started."""
        self.ownership.started_at = -math.inf

    # Called on the node that admits a request

    async def acquire(
        self, call: dialect.Call, table: routes.RouteTable, *, starts_program: bool
    ) -> float | None:
        """Count a request toward its customer's quota; one without a customer has none.

        Returns
        -------
        float or None
            Monotonic time from which the request counts; None if its owner does not count it.

        Raises
        ------
        CustomerLimitError
            If the quota is used up; the request was not run.
        """
        if not call.customer:
            return None
        self.decider.update_table(table)
        quota = self.decider.quotas.get(call.customer)
        if quota is None:
            return None
        now = clock.now()
        self.sweep(now)
        state = self.state(call.customer)
        if not starts_program and state.lease.take(now):
            return self.count(call.customer, state, "lease")
        # Each refused start gets a time of its own to retry from the owner.
        if not starts_program and (refusal := state.refusal) is not None:
            if now - refusal.decided_at < REFUSAL_TTL_S:
                raise self.refuse(call.customer, quota, state, refusal)
            state.refusal = None
        request = ttypes.QuotaRequest(
            customer=call.customer,
            requests=1,
            starts=int(starts_program),
            routes_version=table.version,
            plain=True if not call.program_id else None,
        )
        if recent := state.lease.recent(now):
            request.admitted = [recent]
        request.returned = state.lease.take_returned(now) or None
        return await self.ask(call, quota, state, request)

    def withdraw(self, customer: str, admitted_at: float) -> None:
        """Give back a request that was never sent; the owner is told with the next one.

        Another request can't use it: by then, its owner may no longer count it.
        """
        self.state(customer).lease.returned_at.append(admitted_at)

    async def ask(
        self,
        call: dialect.Call,
        quota: windows.Quota,
        state: CustomerState,
        request: ttypes.QuotaRequest,
    ) -> float | None:
        """Ask the owner, or the next one; raises like :meth:`acquire`."""
        for _ in range(2):
            decision = await self.find_decision(quota, state, request)
            now = clock.now()
            if decision is None:
                break
            reply = decision.reply
            if reply.granted and now < decision.asked_at + REQUEST_TIMEOUT_S:
                state.lease.add(reply.granted - 1, decision.asked_at + (reply.valid_s or 0.0))
                return self.count(call.customer, state, "granted")
            if not reply.granted:
                retry_at = now + (reply.retry_after_s or 0.0)
                refusal = Refusal(decision.owner, now, retry_at)
                if not request.starts:
                    state.refusal = refusal
                raise self.refuse(call.customer, quota, state, refusal)
            # The reply came too late, for example since this process was paused.
        if state.lease.admit_autonomously(quota, self.node_count(), clock.now()):
            self.count(call.customer, state, "autonomous")
            return None
        raise self.refuse(call.customer, quota, state, None)

    async def find_decision(
        self, quota: windows.Quota, state: CustomerState, request: ttypes.QuotaRequest
    ) -> OwnerDecision | None:
        """Return the decision of an owner; None if no node has decided."""
        candidates = self.candidates(request.customer, state)
        asked: set[str] = set()
        request.last_resort = None
        ends_at = clock.now() + SEARCH_TIMEOUT_S
        for _ in range(MAX_ASKED):
            if not candidates or clock.now() >= ends_at:
                break
            node = candidates.pop(0)
            if node in asked and not request.last_resort:
                continue
            asked.add(node)
            asked_at = clock.now()
            reply = await self.request_decision(node, quota, request)
            # A second node must not take back the same requests.
            request.returned = None
            if reply is None:
                continue
            if reply.is_owner:
                state.holder, state.holder_known_at = node, clock.now()
                return OwnerDecision(node, asked_at, reply)
            if request.last_resort:
                continue
            if reply.holder and reply.holder not in asked and self.is_responsive(reply.holder):
                candidates.insert(0, reply.holder)
            elif reply.holder or not candidates:
                # The named owner does not respond or denies it, or nodes with different views of
                # the members each take another one for the owner.
                request.last_resort = True
                candidates.insert(0, node)
        state.holder = ""
        return None

    def is_responsive(self, node: str) -> bool:
        """Return whether a node has not failed to respond lately."""
        return node == self.local_node or self.search.is_responsive(node)

    def candidates(self, customer: str, state: CustomerState) -> list[str]:
        """Return the names of the nodes to ask in turn."""
        owners = self.search.owners(customer)
        names = [self.local_node if owner is None else owner.node for owner in owners]
        is_fresh = clock.now() - state.holder_known_at < HOLDER_TTL_S
        if is_fresh and state.holder and self.search.is_responsive(state.holder):
            names.insert(0, state.holder)
        return list(dict.fromkeys(names))

    async def request_decision(
        self, node: str, quota: windows.Quota, request: ttypes.QuotaRequest
    ) -> ttypes.QuotaReply | None:
        """Ask one node, which may be this one."""
        if node == self.local_node:
            return await self.decider.decide(request, self.decider.quota_for(request) or quota)
        member = self.search.membership.table.members.get(node)
        if member is None:
            return None
        reply = await self.search.ask(member, request.customer, request, ttypes.QuotaReply)
        if reply is not None and reply.routes_version is not None and request.rate_per_s is None:
            # Its routes are older; it decides by the figures of this node's.
            request.rate_per_s, request.burst = quota.rate_per_s, quota.burst
            reply = await self.search.ask(member, request.customer, request, ttypes.QuotaReply)
        return reply

    @property
    def local_node(self) -> str:
        """Return the name of this node; empty before it has joined a fleet."""
        joined = self.search.membership
        return "" if joined is None else joined.local.node

    def node_count(self) -> int:
        """Return the number of nodes that may admit requests, at least 1."""
        if self.search.membership is None:
            return 1
        self.ownership.refresh()
        return max(1, len(self.ownership.pool))

    def count(self, customer: str, state: CustomerState, result: str) -> float:
        """Count an admitted request; return the time."""
        now = clock.now()
        state.lease.record(now)
        exposition.quota_requests.labels(self.decider.label(customer), result).inc()
        return now

    def refuse(
        self, customer: str, quota: windows.Quota, state: CustomerState, refusal: Refusal | None
    ) -> exceptions.CustomerLimitError:
        """Return the error for a refused request, and log it now and then."""
        now = clock.now()
        result = "refused" if refusal else "undecided"
        exposition.quota_requests.labels(self.decider.label(customer), result).inc()
        state.unlogged += 1
        if now - state.logged_at >= LOG_INTERVAL_S:
            state.logged_at = now
            events.emit(
                events.Event.QUOTA_EXCEEDED if refusal else events.Event.QUOTA_UNDECIDED,
                "a customer is over its quota"
                if refusal
                else "no node could decide on the quota of a customer",
                level=logging.INFO if refusal else logging.WARNING,
                customer=customer,
                refused=state.unlogged,
                limit=quota.limit,
                window_s=self.terms.window_s,
                owner=refusal.owner if refusal else None,
            )
            state.unlogged = 0
        if refusal is None:
            return exceptions.CustomerLimitError(
                f"no gateway could decide on the quota of customer {customer!r}; use another "
                "gateway or retry",
                retry_after_s=UNDECIDED_RETRY_S,
            )
        # Callers that were refused by the same decision do not return at once.
        spread_s = random.uniform(0.0, windows.INTERVAL_S)
        return exceptions.CustomerLimitError(
            f"customer {customer!r} has used its quota of {quota.limit:g} requests in "
            f"{self.terms.window_s:g} s ({quota.rate_per_s:g}/s and {quota.burst:g} more), as "
            f"gateway {refusal.owner or 'here'} decided {now - refusal.decided_at:.2f} s ago; "
            "retry later or raise its rate",
            retry_after_s=max(windows.INTERVAL_S, refusal.retry_at - now) + spread_s,
        )

    def state(self, customer: str) -> CustomerState:
        """Return the state of a customer."""
        state = self.states.get(customer)
        if state is None:
            lease = leases.Lease(self.terms.window_s)
            state = self.states[customer] = CustomerState(lease)
        return state

    def usage(self, customer: str) -> list[int]:
        """Return the requests of a customer that this node has admitted in each interval."""
        state = self.states.get(customer)
        return [] if state is None else state.lease.admitted.intervals(clock.now())

    def sweep(self, now: float) -> None:
        """Remove the state of idle customers now and then."""
        idle_s = IDLE_FACTOR * self.terms.window_s
        if now - self.swept_at < idle_s:
            return
        self.swept_at = now
        self.ownership.forget_idle(idle_s)
        for customer, state in list(self.states.items()):
            if state.lease.last_used_at < now - idle_s and not state.lease.admitted.total(now):
                del self.states[customer]


def log_lost_owner(owner: members.Member, customer: str, error: exceptions.PeerError) -> None:
    """Log that a node which decides on quotas does not respond."""
    events.emit(
        events.Event.QUOTA_OWNER_LOST,
        "a node that decides on the quotas of customers does not respond; asking the next",
        node=owner.node,
        customer=customer,
        detail=error.detail,
    )
