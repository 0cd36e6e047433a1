"""Sections of the state dump that describe the parts of a node; counts, never contents."""

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
    """Shards of this node, and how the assignment divides them."""

    boot: str
    assignment_version: int
    loaded: int
    frozen: int
    closing: int
    shards_by_node: dict[str, int]
    shards_with_sources: int


class JournalState(msgspec.Struct):
    """The journal of the present boot."""

    next_seq: int
    pending_commits: int
    pending_bytes: int
    stored_bytes: int
    writes_per_s: float
    sealed: bool
    closed: bool


class ProgramsState(msgspec.Struct):
    """Programs and work of the present boot."""

    by_status: dict[str, int]
    active_by_service: dict[str, int]
    keys: int
    calls_running: int
    actions_running: int
    intents_running: int


class DispatcherState(msgspec.Struct):
    """Queue and runners of one model service."""

    queued: int
    runners: int
    usable: int
    in_flight: int


class QuarantineState(msgspec.Struct):
    """Suspect digests; the number is that of their crashes."""

    suspects: dict[str, int]
    reserved_runners: list[str]
    digests_in_flight: int


class BreakerState(msgspec.Struct):
    """The guard of one runner."""

    state: str
    failures: int
    concurrency_limit: float


class BreakersState(msgspec.Struct):
    """Guards by runner, and the retries that each service has left."""

    runners: dict[str, BreakerState]
    retries_left: dict[str, float]


class LimitState(msgspec.Struct):
    """What this node uses of a customer's limit."""

    running: int
    waiting: int
    calls_left: float
    share_rate_per_s: float
    share_concurrency: int
    share_expires_in_s: float


class ConfigurationState(msgspec.Struct):
    """The fleet configuration of this node."""

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
    """Turns the counted bytes of the peer connections into rates."""

    def __init__(self, traffic: peer_connections.Traffic):
        self.traffic = traffic
        self.sampled_at = clock.now()
        self.state = TrafficState(traffic.sent_bytes, traffic.received_bytes, 0.0, 0.0)

    def sample(self) -> TrafficState:
        """Start the next interval and report the rate of the last one."""
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


class Source(typing.Protocol):
    """The node; its workers change with each boot."""

    fleet: fleet.Fleet
    backends: backends.Backends
    workers: workers.Workers
    traffic: TrafficMeter


def register(node: Source, target: dump.Dump = dump.process) -> None:
    """Register the sections of a node's parts."""
    reach = node.backends
    target.register("membership", lambda: membership_state(node.fleet))
    target.register("configuration", lambda: configuration_state(node.fleet))
    target.register("ownership", lambda: ownership_state(node.fleet))
    target.register("journal", lambda: journal_state(node.fleet))
    target.register("programs", lambda: programs_state(node.workers))
    target.register("runners", lambda: runners_state(reach))
    target.register("dispatchers", lambda: dispatchers_state(reach, node.workers))
    target.register("quarantine", lambda: quarantine_state(reach))
    target.register("breakers", lambda: breakers_state(reach))
    target.register("limits", lambda: limits_state(node.fleet.limiter))
    target.register("peers", lambda: node.traffic.state)


def membership_state(source: fleet.Fleet) -> MembershipState:
    """Describe the member table."""
    table = source.membership.table.members
    return MembershipState(
        [member_state(source, table[name]) for name in sorted(table)],
        source.membership.vm_count,
        sorted(source.network.peers),
    )


def member_state(source: fleet.Fleet, member: members.Member) -> MemberState:
    """Describe one member."""
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
    """Describe the configuration."""
    part = source.configuration
    return ConfigurationState(part.generation, part.ready.is_set())


def ownership_state(source: fleet.Fleet) -> OwnershipState:
    """Describe the shards."""
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
    """Describe the journal."""
    part = source.ownership.journal
    return JournalState(
        part.next_seq,
        len(part.pending),
        sum(commit.size for commit in part.pending),
        part.stored_bytes,
        part.bucket.rate_per_s,
        part.sealed.is_set(),
        part.closed,
    )


def programs_state(source: workers.Workers) -> ProgramsState:
    """Count programs and running work."""
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
    """Return the views of all runners."""
    return {key: tracked.view for key, tracked in sorted(source.directory.tracked_runners.items())}


def dispatchers_state(
    source: backends.Backends, work: workers.Workers
) -> dict[str, DispatcherState]:
    """Describe the queue of each model service."""
    found = {}
    for name in sorted(source.dispatchers):
        views = source.views(name)
        found[name] = DispatcherState(
            work.calls.queued[name],
            len(views),
            len(source.usable_views(name)),
            sum(view.in_flight for view in views),
        )
    return found


def quarantine_state(source: backends.Backends) -> QuarantineState:
    """Describe suspects and reserved runners."""
    part = source.quarantine
    return QuarantineState(
        {digest: suspect.count() for digest, suspect in sorted(part.table.suspects.items())},
        sorted(part.reservations),
        sum(bool(runs) for runs in part.in_flight.values()),
    )


def breakers_state(source: backends.Backends) -> BreakersState:
    """Describe the guards."""
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
    """Describe the use of customers' limits."""
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
