"""Enforcement of customers' rate and concurrency limits on one node."""

import collections
import collections.abc
import contextlib
import math

import anyio

from dogwoodgap import clock, exceptions, members, models, peers, shares
from dogwoodgap_wire import ttypes

GUARANTEE_DELAY_S = 60.0
"""Time after start without a guaranteed minimum.

All nodes must first have read, twice, a list of VMs that includes this node.
"""

RENEW_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 0.25
DEMAND_WINDOW_S = 1.0
DEMAND_MARGIN = 1.25
IDLE_S = 10.0
BURST_S = 1.0


class CustomerUsage:
    """Use of one customer's limit by this node."""

    def __init__(self) -> None:
        self.share = shares.Grant(shares.Amounts(), -math.inf)
        self.running = 0
        self.tokens = 1.0
        self.refilled_at = clock.now()
        self.last_call_at = clock.now()
        self.requested_at = -math.inf
        self.waiting = 0
        self.arrivals: collections.deque[float] = collections.deque(maxlen=4096)
        self.refusals: collections.deque[float] = collections.deque(maxlen=4096)
        self.request_lock = anyio.Lock()

    def demand(self) -> shares.Amounts:
        """Return the current demand, with a margin for growth.

        It includes calls that were refused in the last second, since their callers retry.
        """
        cutoff = clock.now() - DEMAND_WINDOW_S
        for times in (self.arrivals, self.refusals):
            while times and times[0] < cutoff:
                times.popleft()
        rate = len(self.arrivals) / DEMAND_WINDOW_S
        concurrency = self.running + self.waiting + len(self.refusals)
        return shares.Amounts(rate * DEMAND_MARGIN + 1.0, concurrency + 1)


class Limiter:
    """Admits customers' calls within this node's guaranteed minimum and its shares.

    Parameters
    ----------
    node : str
        Name of this node.
    configuration : callable
        Returns the current fleet configuration.
    owner : callable
        Returns the live member that owns a shard, or None.
    network : peers.Network
        Connections to the grantors.
    ownership : callable
        Returns this node's ownership of a shard, or None.
    node_count : callable
        Returns the number of nodes in the platform's list of VMs; 0 while unknown.
    """

    def __init__(
        self,
        node: str,
        boot: str,
        configuration: collections.abc.Callable[[], models.FleetConfiguration],
        owner: collections.abc.Callable[[int], members.Member | None],
        network: peers.Network,
        ownership: collections.abc.Callable[[int], shares.Ownership | None],
        node_count: collections.abc.Callable[[], int],
    ):
        self.node = node
        self.holder = f"{node}/{boot}"
        self.configuration = configuration
        self.owner = owner
        self.network = network
        self.node_count = node_count
        self.grantor = shares.Grantor(self.limit, ownership, node_count)
        self.usages: dict[str, CustomerUsage] = {}
        self.started_at = clock.now()
        network.handlers.register(ttypes.ShareRequest, self.on_request)

    def limit(self, customer: str) -> shares.Amounts:
        """Return a customer's limit; 0 means unlimited."""
        configured = self.configuration().customers.get(customer)
        return (
            shares.Amounts(configured.rate_per_s, configured.concurrency)
            if configured
            else shares.Amounts()
        )

    def guaranteed(self, customer: str) -> shares.Amounts:
        """Return this node's guaranteed minimum; zero during startup or without a VM list."""
        if self.node_count() and clock.now() - self.started_at >= GUARANTEE_DELAY_S:
            return shares.guaranteed_minimum(self.limit(customer), self.node_count())
        return shares.Amounts()

    def usable(self, customer: str) -> shares.Amounts:
        """Return the sum of this node's guaranteed minimum and its unexpired share."""
        guaranteed = self.guaranteed(customer)
        usage = self.usages.get(customer)
        if usage is None or usage.share.expires_at <= clock.now():
            return guaranteed
        share = usage.share.amounts
        return shares.Amounts(
            guaranteed.rate + share.rate, guaranteed.concurrency + share.concurrency
        )

    def refill(self, customer: str, usage: CustomerUsage) -> None:
        """Refill the token bucket; a share that expired since then counts until its expiry."""
        now = clock.now()
        usable = self.usable(customer)
        shared_s = min(now, usage.share.expires_at) - usage.refilled_at
        earned = self.guaranteed(customer).rate * (now - usage.refilled_at)
        earned += usage.share.amounts.rate * max(0.0, shared_s)
        usage.tokens = min(max(1.0, usable.rate * BURST_S), usage.tokens + earned)
        usage.refilled_at = now

    @contextlib.asynccontextmanager
    async def admit(self, customer: str) -> collections.abc.AsyncIterator[None]:
        """Admit one call of a customer for the duration of the context.

        Raises
        ------
        CustomerLimitError
            If the limit is reached; states the seconds after which a retry may succeed.
        """
        await self.acquire(customer)
        try:
            yield
        finally:
            self.release(customer)

    async def acquire(self, customer: str) -> None:
        """Count a call as running; raises like :meth:`admit`."""
        limit = self.limit(customer)
        usage = self.usages.setdefault(customer, CustomerUsage())
        usage.last_call_at = clock.now()
        if limit.rate or limit.concurrency:
            usage.arrivals.append(clock.now())
            if not self.fits(customer, limit, usage):
                await self.request_share_if_due(customer, usage)
                if not self.fits(customer, limit, usage):
                    usage.refusals.append(clock.now())
                    raise self.limit_error(customer, limit, usage)
            usage.tokens -= 1.0 if limit.rate else 0.0
        usage.running += 1

    def release(self, customer: str) -> None:
        """Count a call as finished."""
        self.usages[customer].running -= 1

    def fits(self, customer: str, limit: shares.Amounts, usage: CustomerUsage) -> bool:
        """Return whether this node may start one more call now."""
        usable = self.usable(customer)
        self.refill(customer, usage)
        if limit.rate and (usage.tokens < 1.0 or usable.rate <= 0.0):
            return False
        return not limit.concurrency or usage.running < usable.concurrency

    def limit_error(
        self, customer: str, limit: shares.Amounts, usage: CustomerUsage
    ) -> exceptions.CustomerLimitError:
        """Return the error for a refused call, with the time after which a retry may succeed."""
        usable = self.usable(customer)
        wait_s = RENEW_INTERVAL_S
        if limit.rate and usage.tokens < 1.0 and usable.rate > 0.0:
            wait_s = max(wait_s, (1.0 - usage.tokens) / usable.rate)
        return exceptions.CustomerLimitError(
            f"customer {customer!r} reached its limit of {limit.rate:g} calls/s and "
            f"{limit.concurrency} at a time (0: unlimited); retry after {wait_s:.1f} s",
            retry_after_s=min(wait_s, IDLE_S),
        )

    async def request_share_if_due(self, customer: str, usage: CustomerUsage) -> None:
        """Request a share unless one was requested within ``REQUEST_TIMEOUT_S``."""
        usage.waiting += 1
        try:
            async with usage.request_lock:
                if clock.now() - usage.requested_at >= REQUEST_TIMEOUT_S:
                    await self.request_share(customer, usage)
        finally:
            usage.waiting -= 1

    async def request_share(self, customer: str, usage: CustomerUsage) -> None:
        """Request a share from the owner of the customer's shard; keep the old one on failure.

        The lifetime starts before the request is sent. The share therefore expires here no later
        than at the grantor, even if the reply is late.
        """
        usage.requested_at = clock.now()
        owner = self.owner(shares.customer_shard(customer))
        demand = usage.demand()
        if owner is None:
            return
        with contextlib.suppress(exceptions.PeerError, exceptions.NotOwnerError):
            if owner.node == self.node:
                self.apply_grant(customer, usage, self.grantor.grant(customer, self.holder, demand))
                return
            request = ttypes.ShareRequest(
                customer=customer,
                node=self.holder,
                demand=demand.rate,
                concurrency_demand=demand.concurrency,
            )
            sent_at = clock.now()
            reply = await self.network.request(
                owner.peer_address, request, ttypes.ShareReply, timeout_s=REQUEST_TIMEOUT_S
            )
            amounts = shares.Amounts(reply.message.rate or 0.0, reply.message.concurrency or 0)
            lifetime_s = reply.message.ttl_seconds or 0.0
            if lifetime_s > 0:
                grant = shares.Grant(amounts, sent_at + lifetime_s)
                self.apply_grant(customer, usage, grant)

    def apply_grant(self, customer: str, usage: CustomerUsage, grant: shares.Grant) -> None:
        """Replace the share, after a refill at the old share's rate."""
        self.refill(customer, usage)
        usage.share = grant

    async def run(self) -> None:
        """Renew the shares of customers in use until cancelled."""
        while True:
            await anyio.sleep(RENEW_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for customer, usage in list(self.usages.items()):
                    if self.is_idle(customer, usage):
                        del self.usages[customer]
                    elif self.needs_share(customer, usage):
                        tasks.start_soon(self.request_share, customer, usage)

    def is_idle(self, customer: str, usage: CustomerUsage) -> bool:
        """Return whether a customer made no call for ``IDLE_S`` and its bucket has a token."""
        self.refill(customer, usage)
        unused = usage.running == 0 and clock.now() - usage.last_call_at >= IDLE_S
        return unused and usage.tokens >= 1.0

    def needs_share(self, customer: str, usage: CustomerUsage) -> bool:
        """Return whether demand exceeds the guaranteed minimum and the share is due for renewal."""
        limit = self.limit(customer)
        guaranteed = shares.guaranteed_minimum(limit, max(1, self.node_count()))
        demand = usage.demand()
        rate_short = bool(limit.rate) and demand.rate > guaranteed.rate
        concurrency_short = bool(limit.concurrency) and demand.concurrency > guaranteed.concurrency
        renewal_due = usage.share.expires_at - clock.now() < shares.SHARE_TTL_S - RENEW_INTERVAL_S
        busy = usage.running > 0 or bool(usage.arrivals)
        return busy and renewal_due and (rate_short or concurrency_short)

    async def on_request(
        self, sender: ttypes.Member, message: ttypes.ShareRequest
    ) -> ttypes.ShareReply:
        """Grant a share to another node; a lifetime of 0 means that none was granted."""
        demand = shares.Amounts(
            max(0.0, message.demand or 0.0), max(0, message.concurrency_demand or 0)
        )
        try:
            grant = self.grantor.grant(message.customer, message.node, demand)
        except exceptions.NotOwnerError:
            grant = shares.Grant(shares.Amounts(), clock.now())
        return ttypes.ShareReply(
            customer=message.customer,
            rate=grant.amounts.rate,
            concurrency=grant.amounts.concurrency,
            ttl_seconds=grant.expires_at - clock.now(),
        )
