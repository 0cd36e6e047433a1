"""Sections of the state dump about the components of a node: counts, never contents."""

import collections
import typing

import msgspec

from dogwoodgap import (
    backends,
    clock,
    dump,
    fleet,
    limits,
    members,
    metrics,
    peer_connections,
    programs,
    structures,
    workers,
)


class MemberState(msgspec.Struct):
    """One member as this node sees it."""

    node: str
    boot: str
    data_centre: str
    status: str
    incarnation: int
    generation: int


class MembershipState(msgspec.Struct):
    """The member table."""

    members: list[MemberState]
    vm_count: int
    partners: list[str]


class OwnershipState(msgspec.Struct):
    """Shards loaded on this node, and the number that the assignment gives to each node."""

    boot: str
    assignment_version: int
    loaded: int
    frozen: int
    closing: int
    shards_by_node: dict[str, int]
    shards_with_sources: int


class JournalState(msgspec.Struct):
    """The journal of the current boot; ``pending_*`` count what is not stored yet."""

    next_seq: int
    pending_commits: int
    pending_bytes: int
    stored_bytes: int
    writes_per_s: float
    sealed: bool
    closed: bool


class ProgramsState(msgspec.Struct):
    """Programs and running work of the current boot."""

    by_status: dict[str, int]
    active_by_service: dict[str, int]
    keys: int
    calls_running: int
    actions_running: int
    intents_running: int


class DispatcherState(msgspec.Struct):
    """Queued calls and runners of one model service."""

    queued: int
    runners: int
    usable: int
    in_flight: int


class QuarantineState(msgspec.Struct):
    """Suspect request digests with their number of crashes, and the runners reserved for them."""

    suspects: dict[str, int]
    reserved_runners: list[str]
    digests_in_flight: int


class BreakerState(msgspec.Struct):
    """Circuit breaker and concurrency limit of one runner."""

    state: str
    failures: int
    concurrency_limit: float


class BreakersState(msgspec.Struct):
    """Circuit breakers by runner, and the remaining retry budget of each service."""

    runners: dict[str, BreakerState]
    retries_left: dict[str, float]


class LimitState(msgspec.Struct):
    """Use of a customer's limit on this node, and the node's share of the limit."""

    running: int
    waiting: int
    calls_left: float
    share_rate_per_s: float
    share_concurrency: int
    share_expires_in_s: float


class ConfigurationState(msgspec.Struct):
    """Generation of the fleet configuration on this node; ready once one is loaded."""

    generation: int
    ready: bool


class TrafficState(msgspec.Struct):
    """Bytes exchanged with other nodes, without the overhead of TCP and TLS.

    Attributes
    ----------
    sent_per_s, received_per_s : float
        Mean of the last sampling interval, in bytes/s.
    """

    sent_bytes: int
    received_bytes: int
    sent_per_s: float
    received_per_s: float


class TrafficMeter:
    """Computes transfer rates from the byte counters of the peer connections."""

    def __init__(self, traffic: peer_connections.Traffic):
        self.traffic = traffic
        self.sampled_at = clock.now()
        self.state = TrafficState(traffic.sent_bytes, traffic.received_bytes, 0.0, 0.0)

    def sample(self) -> TrafficState:
        """End a sampling interval: store its rates, report their sum as a gauge, start the next."""
        now = clock.now()
        elapsed_s = max(now - self.sampled_at, 1e-9)
        sent, received = self.traffic.sent_bytes, self.traffic.received_bytes
        self.state = TrafficState(
            sent,
            received,
            (sent - self.state.sent_bytes) / elapsed_s,
            (received - self.state.received_bytes) / elapsed_s,
        )
        self.sampled_at = now
        metrics.gauge("peers.traffic", self.state.sent_per_s + self.state.received_per_s)
        return self.state


class NodeParts(typing.Protocol):
    """The components of a node that are dumped; ``workers`` is replaced at each new boot."""

    fleet: fleet.Fleet
    backends: backends.Backends
    workers: workers.Workers
    traffic: TrafficMeter


def register(node: NodeParts, target: dump.Dump = dump.process_dump) -> None:
    """Register the sections of a node's components."""
    node_backends = node.backends
    target.register("membership", lambda: membership_state(node.fleet))
    target.register("configuration", lambda: configuration_state(node.fleet))
    target.register("ownership", lambda: ownership_state(node.fleet))
    target.register("journal", lambda: journal_state(node.fleet))
    target.register("programs", lambda: programs_state(node.workers))
    target.register("runners", lambda: runners_state(node_backends))
    target.register("dispatchers", lambda: dispatchers_state(node_backends, node.workers))
    target.register("quarantine", lambda: quarantine_state(node_backends))
    target.register("breakers", lambda: breakers_state(node_backends))
    target.register("limits", lambda: limits_state(node.fleet.limiter))
    target.register("peers", lambda: node.traffic.state)


def membership_state(source: fleet.Fleet) -> MembershipState:
    """Return the section of the member table."""
    table = source.membership.table.members
    return MembershipState(
        [member_state(source, table[name]) for name in sorted(table)],
        source.membership.vm_count,
        sorted(source.network.peers),
    )


def member_state(source: fleet.Fleet, member: members.Member) -> MemberState:
    """Return the state of one member; the own generation is read from the configuration."""
    generation = member.configuration_generation
    if member.node == source.name:
        generation = source.configuration.generation
    return MemberState(
        member.node,
        member.boot,
        member.data_centre,
        member.status.name.lower(),
        member.incarnation,
        generation,
    )


def configuration_state(source: fleet.Fleet) -> ConfigurationState:
    """Return the section of the fleet configuration."""
    configuration = source.configuration
    return ConfigurationState(configuration.generation, configuration.ready.is_set())


def ownership_state(source: fleet.Fleet) -> OwnershipState:
    """Return the section of shard ownership."""
    session = source.ownership.session
    assignment = source.ownership.assignment.current
    owners = collections.Counter(
        entry.owner.node if entry.owner is not None else "" for entry in assignment.shards
    )
    return OwnershipState(
        source.ownership.boot,
        assignment.version,
        len(session.loaded),
        len(session.frozen),
        len(session.closing),
        dict(sorted(owners.items())),
        sum(bool(entry.sources) for entry in assignment.shards),
    )


def journal_state(source: fleet.Fleet) -> JournalState:
    """Return the section of the journal."""
    journal = source.ownership.journal
    return JournalState(
        journal.next_seq,
        len(journal.pending),
        sum(commit.size for commit in journal.pending),
        journal.stored_bytes,
        journal.bucket.rate_per_s,
        journal.sealed.is_set(),
        journal.closed,
    )


def programs_state(source: workers.Workers) -> ProgramsState:
    """Return the section of programs and running work."""
    table: programs.ProgramTable = source.session.table
    found = table.programs.values()
    active = [item for item in found if item.status == structures.ProgramStatus.ACTIVE]
    return ProgramsState(
        dict(collections.Counter(str(item.status) for item in found)),
        dict(collections.Counter(item.service for item in active)),
        len(table.keys),
        len(source.calls.running),
        len(source.actions.running),
        len(source.intents.running),
    )


def runners_state(source: backends.Backends) -> dict[str, structures.RunnerView]:
    """Return the views of all runners by runner key."""
    return {key: tracked.view for key, tracked in sorted(source.directory.tracked_runners.items())}


def dispatchers_state(
    source: backends.Backends, work: workers.Workers
) -> dict[str, DispatcherState]:
    """Return queue and runner counts by model service."""
    states = {}
    for name in sorted(source.dispatchers):
        views = source.views(name)
        states[name] = DispatcherState(
            work.calls.queued[name],
            len(views),
            len(source.usable_views(name)),
            sum(view.in_flight for view in views),
        )
    return states


def quarantine_state(source: backends.Backends) -> QuarantineState:
    """Return the section of suspect requests and reserved runners."""
    quarantine = source.quarantine
    return QuarantineState(
        {digest: suspect.count() for digest, suspect in sorted(quarantine.table.suspects.items())},
        sorted(quarantine.reservations),
        sum(bool(runs) for runs in quarantine.in_flight.values()),
    )


def breakers_state(source: backends.Backends) -> BreakersState:
    """Return the section of circuit breakers and retry budgets."""
    guards = source.guards
    return BreakersState(
        {
            key: BreakerState(
                str(item.breaker.state), item.breaker.failures, item.concurrency.limit
            )
            for key, item in sorted(guards.guards.items())
        },
        {name: budget.tokens for name, budget in sorted(guards.budgets.items())},
    )


def limits_state(source: limits.Limiter) -> dict[str, LimitState]:
    """Return the use of limits by customer."""
    now = clock.now()
    return {
        customer: LimitState(
            usage.running,
            usage.waiting,
            usage.tokens,
            usage.share.amounts.rate,
            usage.share.amounts.concurrency,
            max(0.0, usage.share.expires_at - now),
        )
        for customer, usage in sorted(source.usages.items())
    }
