"""Division of customers' limits between nodes: guaranteed minimum, fair shares and the grantor.

Half of a limit is divided into the nodes' guaranteed minimums. The owner of the customer's shard
grants the other half as shares that expire. The sum that all nodes may use never exceeds the limit.
"""

import collections
import collections.abc
import dataclasses
import math

from dogwoodgap import clock, exceptions, shards

SHARE_TTL_S = 2.0
MAX_CONFIRMATION_AGE_S = 2.0
"""Maximum age of the platform's confirmation of ownership for granting shares."""

HANDOVER_WAIT_S = MAX_CONFIRMATION_AGE_S + SHARE_TTL_S
"""Time for which a new owner grants nothing.

A previous owner that does not know of its replacement grants until its confirmation is too old,
and those shares stay valid for another ``SHARE_TTL_S``.
"""

GUARANTEED_FRACTION = 0.5
NODE_COUNT_STEP = 8
"""Node counts are rounded up to this multiple, so that a few new nodes do not change minimums."""


@dataclasses.dataclass(frozen=True, slots=True)
class Amounts:
    """Rate in calls per second and number of concurrent calls."""

    rate: float = 0.0
    concurrency: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Amounts that expire at a monotonic time."""

    amounts: Amounts
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Ownership of a shard by one node.

    Attributes
    ----------
    generation : int
        Generation of the shard in the assignment, new with each acquisition.
    acquired_at : float
        Monotonic time after that conditional update succeeded.
    confirmed_at : float
        Monotonic time at which the last request that confirmed ownership was started, for example
        the last successful journal write.
    """

    generation: int
    acquired_at: float
    confirmed_at: float


def customer_shard(customer: str) -> int:
    """Return the shard whose owner grants a customer's shares."""
    return shards.shard_of(f"customer/{customer}")


def rounded_node_count(node_count: int) -> int:
    """Return the rounded-up node count by which the guaranteed half is divided."""
    return max(1, math.ceil(node_count / NODE_COUNT_STEP)) * NODE_COUNT_STEP


def guaranteed_minimum(limit: Amounts, node_count: int) -> Amounts:
    """Return the guaranteed minimum of one node."""
    parts = rounded_node_count(node_count)
    return Amounts(
        limit.rate * GUARANTEED_FRACTION / parts,
        math.floor(limit.concurrency * GUARANTEED_FRACTION / parts),
    )


def shared_pool(limit: Amounts, node_count: int) -> Amounts:
    """Return the part of a limit that remains beyond all guaranteed minimums.

    Concurrency is divided into whole calls, so the sum of the minimums depends on the rounded node
    count. Because the list of VMs lags, other nodes may use a count that is one step lower or
    higher; the largest sum of the three is reserved.
    """
    half = math.floor(limit.concurrency * GUARANTEED_FRACTION)
    parts = rounded_node_count(node_count)
    counts = [
        count for count in (parts - NODE_COUNT_STEP, parts, parts + NODE_COUNT_STEP) if count > 0
    ]
    reserved = max(count * (half // count) for count in counts)
    return Amounts(limit.rate * (1 - GUARANTEED_FRACTION), limit.concurrency - reserved)


def fair_share(pool_size: float, demands: dict[str, float], name: str) -> float:
    """Return one participant's max-min fair share, which never exceeds its demand."""
    remaining = pool_size
    by_demand = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for position, (node, demand) in enumerate(by_demand):
        share = min(demand, remaining / (len(by_demand) - position))
        if node == name:
            return share
        remaining -= share
    return 0.0


class Account:
    """Unexpired grants and demands of one customer, by holder."""

    def __init__(self, generation: int):
        self.generation = generation
        self.grants: dict[str, list[Grant]] = collections.defaultdict(list)
        self.demands: dict[str, Grant] = {}

    def expire(self, now: float) -> None:
        """Remove expired grants and demands."""
        for holder in list(self.grants):
            live = [grant for grant in self.grants[holder] if grant.expires_at > now]
            if live:
                self.grants[holder] = live
            else:
                del self.grants[holder]
        for holder in [key for key, demand in self.demands.items() if demand.expires_at <= now]:
            del self.demands[holder]

    def held_by_others(self, holder: str) -> Amounts:
        """Return what other holders may still use.

        The largest unexpired grant of each holder counts, since it may not have received the
        reply with a smaller one.
        """
        others = [grants for name, grants in self.grants.items() if name != holder]
        rate = sum(max(grant.amounts.rate for grant in grants) for grants in others)
        concurrency = sum(max(grant.amounts.concurrency for grant in grants) for grants in others)
        return Amounts(rate, concurrency)


class Grantor:
    """Grants shares of the limits of customers whose shard this node owns.

    Parameters
    ----------
    limits : callable
        Returns a customer's limit.
    ownership : callable
        Returns this node's ownership of a shard, or None.
    node_count : callable
        Returns the number of nodes in the platform's list of VMs.
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
        """Grant a holder its share of the pool.

        Raises
        ------
        NotOwnerError
            If this node does not own the shard, its ownership is not confirmed recently enough,
            or shares of the previous owner may still be valid.
        """
        now = clock.now()
        account = self.account(customer, now)
        account.expire(now)
        account.demands[holder] = Grant(demand, now + SHARE_TTL_S)
        available = shared_pool(self.limits(customer), self.node_count())
        held_amounts = account.held_by_others(holder)
        rates = {name: entry.amounts.rate for name, entry in account.demands.items()}
        counts = {name: float(entry.amounts.concurrency) for name, entry in account.demands.items()}
        amounts = Amounts(
            max(
                0.0,
                min(fair_share(available.rate, rates, holder), available.rate - held_amounts.rate),
            ),
            max(
                0,
                min(
                    math.ceil(fair_share(available.concurrency, counts, holder)),
                    available.concurrency - held_amounts.concurrency,
                ),
            ),
        )
        grant = Grant(amounts, now + SHARE_TTL_S)
        account.grants[holder].append(grant)
        return grant

    def account(self, customer: str, now: float) -> Account:
        """Return the account of a customer, which is new after each acquisition of the shard."""
        ownership = self.ownership(customer_shard(customer))
        if ownership is None or now - ownership.confirmed_at > MAX_CONFIRMATION_AGE_S:
            raise exceptions.NotOwnerError(
                f"this node has no confirmed ownership of the shard of customer {customer!r}; "
                "ask its owner"
            )
        account = self.accounts.get(customer)
        if account is None or account.generation != ownership.generation:
            account = Account(ownership.generation)
            self.accounts[customer] = account
        if now - ownership.acquired_at < HANDOVER_WAIT_S:
            raise exceptions.NotOwnerError(
                f"shares of customer {customer!r} from the previous owner may still be in use; "
                f"retry in {HANDOVER_WAIT_S} s"
            )
        return account
