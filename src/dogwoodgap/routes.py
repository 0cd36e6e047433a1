"""Configured routes: which service handles a path, and how its requests may be retried."""

import bisect
import collections
import dataclasses
import enum
import hashlib
import logging
import math
import re
import typing

import xxhash

from dogwoodgap import events

HASH_RANGE = 1 << 32
"""Range of the 32-bit hash that distributes requests over the targets of a route."""


CUSTOMER_NAME = re.compile(r"[!-~]([ -~]{0,254}[!-~])?")
"""Names that a header can hold and that every server decodes alike: printable ASCII, at most 256
characters, since a gateway has only so much room for what it adds to a request of another one."""

KEY_DIGEST_BYTES = hashlib.sha256().digest_size
EMPTY_KEY_DIGEST = hashlib.sha256(b"").digest()


class RouteKind(enum.Enum):
    """How the requests of a route may be retried and answered."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service with its weight relative to the other targets of a route."""

    service: str
    weight: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Maps a host and path prefix to the services that handle its requests.

    Attributes
    ----------
    timeout_s : float
        Time after which a request is ended, counted from its arrival.
    objective_s : float
        Target response time; for streams, the time to the first event.
    priority : int
        Priority of the requests; 0 is the highest.
    max_runs : int
        Maximum number of backend servers that may run one request.
    prompts : bool
        Whether requests carry prompts whose prefixes backend servers cache.
    resumable : bool
        Whether an interrupted stream is continued after the last event sent to the caller.
    public : bool
        Whether requests need no key although the configuration lists customers.
    retain_s : float
        Time in seconds for which whole turns are kept, so that a later turn carries only its new
        input; 0 if each turn carries its whole prompt.
    gap_objective_s : float
        Longest pause between events with which a stream is on time, in seconds; 0 without one.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_runs: int = 1
    prompts: bool = False
    resumable: bool = False
    public: bool = False
    retain_s: float = 0.0
    gap_objective_s: float = 0.0

    @property
    def retains_turns(self) -> bool:
        """Return whether turns are kept; only streams have turns."""
        return self.retain_s > 0.0 and self.kind is RouteKind.STREAMING

    @property
    def retryable(self) -> bool:
        """Return whether a request may be retried after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def choose_service(self, key: str) -> str:
        """Return the service for a key; it stays the same while the weights do not change."""
        if len(self.targets) == 1:
            return self.targets[0].service
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh32_intdigest(key.encode()) / HASH_RANGE * total
        cumulative_weights: list[float] = []
        for target in self.targets:
            cumulative_weights.append(
                (cumulative_weights[-1] if cumulative_weights else 0.0) + target.weight
            )
        return self.targets[
            min(bisect.bisect_right(cumulative_weights, point), len(cumulative_weights) - 1)
        ].service


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Capacity of each model engine of a service, and the tokens per stream event."""

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service run by backend servers; ``engine`` is None for plain services."""

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Customer:
    """A customer whose requests carry one of its keys.

    Attributes
    ----------
    key_digests : tuple of bytes
        SHA-256 digests of its keys. The keys themselves are never kept.
    priority : int or None
        Priority of its requests, in place of that of the route; None without one.
    rate_per_s, burst : float
        Its quota over all nodes: requests per second, and requests on top of them. A rate of 0
        means no limit.
    """

    name: str
    key_digests: tuple[bytes, ...] = dataclasses.field(default=(), repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Size limits and timeouts of caller connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class IndexedKey(typing.NamedTuple):
    """The digest of a key, and the customer that it belongs to."""

    digest: bytes
    customer: Customer


def index_customers(customers: list[Customer]) -> dict[bytes, IndexedKey]:
    """Check customers and return the index of their keys by digest.

    A key that a customer lists twice is the same key once.

    Raises
    ------
    ValueError
        If a name, key, rate or burst is invalid, or two customers share a name or a key. The
        message names the customers and the remedy, but neither a key nor its digest.
    """
    by_key: dict[bytes, IndexedKey] = {}
    names: set[str] = set()
    for customer in customers:
        name = customer.name
        if not CUSTOMER_NAME.fullmatch(name):
            raise ValueError(
                f"customer name {name[:64]!r} is empty, too long or not printable ASCII; "
                "change it, since it is sent to servers in a header"
            )
        if name in names:
            raise ValueError(f"two customers are named {name!r}; give each a name of its own")
        names.add(name)
        for field, value in (("rate", customer.rate_per_s), ("burst", customer.burst)):
            if not (math.isfinite(value) and value >= 0.0):
                raise ValueError(
                    f"the {field} of customer {name!r} is {value}; use a finite number from 0"
                )
        for digest in customer.key_digests:
            if len(digest) != KEY_DIGEST_BYTES:
                raise ValueError(f"a key of customer {name!r} has no SHA-256 digest; correct it")
            if digest == EMPTY_KEY_DIGEST:
                raise ValueError(f"customer {name!r} has an empty key; remove it")
            other = by_key.setdefault(digest, IndexedKey(digest, customer)).customer
            if other is not customer:
                raise ValueError(
                    f"customers {other.name!r} and {name!r} share a key; give each its own"
                )
    return by_key


class RouteTable:
    """One version of the routes, services, limits and customers.

    Attributes
    ----------
    customers : dict
        Customers by name; empty if callers need no keys.
    keys : dict
        Keys of the customers by their SHA-256 digests.

    Raises
    ------
    ValueError
        If customers are invalid, see :func:`index_customers`.
    """

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        limits: Limits | None = None,
        customers: list[Customer] | None = None,
    ):
        self.version = version
        self.keys = index_customers(customers or [])
        self.customers = {customer.name: customer for customer in customers or []}
        self.services = {service.name: service for service in services}
        self.limits = limits or Limits()
        self.by_host: dict[str, dict[str, Route]] = collections.defaultdict(dict)
        for route in routes:
            self.by_host[route.host.lower()][route.prefix] = route

    @property
    def retains_turns(self) -> bool:
        """Return whether any route keeps the turns of programs."""
        return any(
            route.retains_turns for prefixes in self.by_host.values() for route in prefixes.values()
        )

    def priority(self, route: Route, customer_name: str) -> int:
        """Return the priority of a request: that of its customer if it has one, or the route's."""
        customer = self.customers.get(customer_name)
        if customer is None or customer.priority is None:
            return route.priority
        return customer.priority

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix, or None."""
        prefixes = self.by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class ActiveRoutes:
    """Holds the active route table, which is only replaced by a newer version."""

    def __init__(self) -> None:
        self.table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Return the active version, or -1 before the first one."""
        return -1 if self.table is None else self.table.version

    def install(self, table: RouteTable) -> bool:
        """Activate a table if it is newer; return whether it was activated."""
        if table.version <= self.version:
            return False
        events.emit(
            events.Event.ROUTES_INSTALLED,
            "activated a new version of the routes",
            level=logging.INFO,
            version=table.version,
            previous=self.version,
            services=len(table.services),
        )
        self.table = table
        return True
