"""Shares of customers' limits: guaranteed minimum, fair division and the grantor.

Half of a limit is the nodes' guaranteed minimum. The other half is granted in shares that expire,
by the owner of the customer's shard. The sum of what all nodes may use never exceeds the limit.
"""

import collections
import collections.abc
import dataclasses
import math

from dogwoodgap import clock, exceptions, shards

SHARE_TTL_S = 2.0
MAX_CONFIRMATION_AGE_S = 2.0
"""A grantor's ownership must have been confirmed by the platform this recently."""

HANDOVER_WAIT_S = MAX_CONFIRMATION_AGE_S + SHARE_TTL_S
"""A new owner grants nothing for this long.

A replaced owner that has not learned of it grants until its confirmation is too old, and those
shares live for another lifetime.
"""

GUARANTEED_FRACTION = 0.5
NODE_COUNT_STEP = 8
"""Nodes are counted in steps of this size, so that a few new nodes change no minimum."""


@dataclasses.dataclass(frozen=True, slots=True)
class Amounts:
    """A rate in calls per second and a number of concurrent calls."""

    rate: float = 0.0
    concurrency: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Amounts until a monotonic time."""

    amounts: Amounts
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """The hold of one node on a shard.

    Attributes
    ----------
    version : int
        Assignment version at which the node acquired the shard.
    acquired_at : float
        Monotonic time after that conditional update.
    confirmed_at : float
        Monotonic time before which the platform last confirmed that the node owns its shards,
        for example the start of the last successful journal write.
    """

    version: int
    acquired_at: float
    confirmed_at: float


def customer_shard(customer: str) -> int:
    """Return the shard whose owner grants a customer's shares."""
    return shards.shard_of(f"customer/{customer}")


def rounded_node_count(node_count: int) -> int:
    """Return the number of nodes, rounded up, by which the guaranteed half is divided."""
    return max(1, math.ceil(node_count / NODE_COUNT_STEP)) * NODE_COUNT_STEP


def guaranteed_minimum(limit: Amounts, node_count: int) -> Amounts:
    """Return the guaranteed minimum of one node."""
    parts = rounded_node_count(node_count)
    return Amounts(
        limit.rate * GUARANTEED_FRACTION / parts,
        math.floor(limit.concurrency * GUARANTEED_FRACTION / parts),
    )


def shared_pool(limit: Amounts, node_count: int) -> Amounts:
    """Return what can be granted beyond all minima.

    Whole calls do not divide evenly, so the minima depend on the number of slots. Holders may
    still, or already, count one step fewer or more, because the list of VMs lags.
    """
    half = math.floor(limit.concurrency * GUARANTEED_FRACTION)
    parts = rounded_node_count(node_count)
    counts = [
        count for count in (parts - NODE_COUNT_STEP, parts, parts + NODE_COUNT_STEP) if count > 0
    ]
    reserved = max(count * (half // count) for count in counts)
    return Amounts(limit.rate * (1 - GUARANTEED_FRACTION), limit.concurrency - reserved)


def fair_share(pool_size: float, demands: dict[str, float], name: str) -> float:
    """Return one part of a max-min fair division: nobody gets more than it asks for."""
    left = pool_size
    waiting = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for position, (node, demand) in enumerate(waiting):
        part = min(demand, left / (len(waiting) - position))
        if node == name:
            return part
        left -= part
    return 0.0


class Account:
    """The grantor's book of one customer."""

    def __init__(self, version: int):
        self.version = version
        self.grants: dict[str, list[Grant]] = collections.defaultdict(list)
        self.demands: dict[str, Grant] = {}

    def expire(self, now: float) -> None:
        """Drop grants and demands whose time has passed."""
        for holder in list(self.grants):
            live = [grant for grant in self.grants[holder] if grant.expires_at > now]
            if live:
                self.grants[holder] = live
            else:
                del self.grants[holder]
        for holder in [key for key, demand in self.demands.items() if demand.expires_at <= now]:
            del self.demands[holder]

    def held_by_others(self, holder: str) -> Amounts:
        """Return what others may still use; a lost reply leaves the larger grant usable."""
        others = [grants for name, grants in self.grants.items() if name != holder]
        rate = sum(max(grant.amounts.rate for grant in grants) for grants in others)
        concurrency = sum(max(grant.amounts.concurrency for grant in grants) for grants in others)
        return Amounts(rate, concurrency)


class Grantor:
    """Grants shares of the customers whose shard this node owns.

    Parameters
    ----------
    limits : callable
        Returns a customer's limit.
    ownership : callable
        Returns this node's hold on a shard, or None.
    node_count : callable
        Number of nodes in the platform's list of VMs.
    """

    def __init__(
        self,
        limits: collections.abc.Callable[[str], Amounts],
        ownership: collections.abc.Callable[[int], Ownership | None],
        node_count: collections.abc.Callable[[], int],
    ):
        self.limits = limits
        self.ownership = ownership
        self.node_count = node_count
        self.accounts: dict[str, Account] = {}

    def grant(self, customer: str, holder: str, demand: Amounts) -> Grant:
        """Return a holder's share of the pool.

        Raises
        ------
        NotOwnerError
            When this node does not own the shard or may no longer be sure of it.
        """
        now = clock.now()
        account = self.account(customer, now)
        account.expire(now)
        account.demands[holder] = Grant(demand, now + SHARE_TTL_S)
        available = shared_pool(self.limits(customer), self.node_count())
        held = account.held_by_others(holder)
        rates = {name: asked.amounts.rate for name, asked in account.demands.items()}
        counts = {name: float(asked.amounts.concurrency) for name, asked in account.demands.items()}
        amounts = Amounts(
            max(0.0, min(fair_share(available.rate, rates, holder), available.rate - held.rate)),
            max(
                0,
                min(
                    math.ceil(fair_share(available.concurrency, counts, holder)),
                    available.concurrency - held.concurrency,
                ),
            ),
        )
        grant = Grant(amounts, now + SHARE_TTL_S)
        account.grants[holder].append(grant)
        return grant

    def account(self, customer: str, now: float) -> Account:
        """Return the book of a customer, which starts anew with each acquisition of the shard."""
        ownership = self.ownership(customer_shard(customer))
        if ownership is None or now - ownership.confirmed_at > MAX_CONFIRMATION_AGE_S:
            raise exceptions.NotOwnerError(
                f"this node does not surely own the shard of customer {customer!r}; ask its owner"
            )
        account = self.accounts.get(customer)
        if account is None or account.version != ownership.version:
            account = Account(ownership.version)
            self.accounts[customer] = account
        if now - ownership.acquired_at < HANDOVER_WAIT_S:
            raise exceptions.NotOwnerError(
                f"shares of customer {customer!r} granted before may still be in use; "
                f"ask again in {HANDOVER_WAIT_S} s"
            )
        return account
