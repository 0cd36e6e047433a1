"""Refusal of requests that crash servers, across several nodes."""

import dataclasses

import anyio
import fake_network
import gateways
import pytest
import virtual_time

from dogwoodgap import broadcast, crash_evidence, crash_records, crashes, servers
from dogwoodgap_wire import ttypes

FIRST, SECOND, THIRD = (
    servers.BackendServer(f"p{number}", "plain", f"10.1.0.{number}:80", "d", 4, started_ms=1)
    for number in range(3)
)
LISTING_INTERVAL_S = 0.6
PING_INTERVAL_S = 0.5


class Fleet:
    """Nodes that share crashes and each read the same list of servers."""

    def __init__(self, tasks, count):
        self.tasks = tasks
        self.shared_network = fake_network.SharedNetwork()
        self.records = gateways.FakeCrashRecords()
        self.all_members = fake_network.static_members(count)
        self.entries = (FIRST, SECOND, THIRD)
        self.is_store_down = False
        self.trackers = {}
        for member in self.all_members:
            self.start(member)
        tasks.start_soon(self.follow)
        tasks.start_soon(self.ping)

    async def restart(self, *restarted):
        """Restart nodes at the same moment, and wait until they know the servers."""
        for member in restarted:
            self.start(member)
        await anyio.sleep(LISTING_INTERVAL_S)
        for member in restarted:
            self.tasks.start_soon(self.trackers[member.node].load)
        await anyio.sleep(LISTING_INTERVAL_S)

    def start(self, member):
        """Start or restart a node."""
        network = fake_network.FakeNetwork(self.shared_network, member.peer_address)
        network.hello = member.to_wire
        joined = fake_network.StaticMembership(member, self.all_members)
        tracker = crashes.CrashTracker(servers.ServerRegistry(2.0), self.records)
        tracker.join(joined, network, broadcast.Broadcaster(joined, network, self.tasks))
        self.tasks.start_soon(tracker.recorder.run)
        self.trackers[member.node] = tracker

    async def follow(self):
        """Pass the list of servers to all nodes at intervals."""
        revision = 0
        while True:
            revision += 1
            for tracker in () if self.is_store_down else self.trackers.values():
                registry = tracker.evidence.server_registry
                registry.apply(servers.Listing(revision, self.entries))
            await anyio.sleep(LISTING_INTERVAL_S)

    async def ping(self):
        """Let all nodes compare digests at intervals, as far as they reach each other."""
        while True:
            for member in self.all_members:
                for other in self.all_members:
                    pair = (member.peer_address, other.peer_address)
                    digest = self.trackers[other.node].evidence.digest()
                    if self.shared_network.is_reachable(*pair) and digest is not None:
                        self.trackers[member.node].compare_digest(other, digest)
            await anyio.sleep(PING_INTERVAL_S)

    async def list_servers(self, *entries):
        """Replace the list of servers, and wait until all nodes have it."""
        self.entries = entries
        await anyio.sleep(2 * LISTING_INTERVAL_S)

    def evidence(self, number):
        """Return the evidence of a node."""
        return self.trackers[self.all_members[number].node].evidence

    async def crash(self, digest, *crashed):
        """Let servers crash under a request, each at another node, and leave the list."""
        for number, server in enumerate(crashed):
            self.evidence(number).record_unreachable(digest, server)
            self.evidence(number).record_lost_run(digest, server)
        await self.list_servers(*(entry for entry in self.entries if entry not in crashed))

    async def crash_at(self, number, digest, *crashed):
        """Let servers crash under a request at one node, and leave the list."""
        for server in crashed:
            self.evidence(number).record_unreachable(digest, server)
        await self.list_servers(*(entry for entry in self.entries if entry not in crashed))

    def refusals(self, digest):
        """Return whether each node refuses a request."""
        return {tracker.is_refused(digest) for tracker in self.trackers.values()}


def with_fleet(count):
    """Return a decorator that runs a test on a fleet on virtual time."""

    def decorate(body):
        def wrapper():
            async def main():
                async with anyio.create_task_group() as tasks:
                    fleet = Fleet(tasks, count)
                    await anyio.sleep(LISTING_INTERVAL_S)
                    await body(fleet)
                    tasks.cancel_scope.cancel()

            virtual_time.run(main)

        wrapper.__name__, wrapper.__doc__ = body.__name__, body.__doc__
        return wrapper

    return decorate


@with_fleet(2)
async def test_crashes_are_counted_across_nodes(fleet):
    """Guards against counts kept per node, which let a request crash two servers per node."""
    fleet.evidence(0).record_unreachable(7, FIRST)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {False}
    fleet.evidence(1).record_unreachable(7, SECOND)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {True}
    await fleet.list_servers(THIRD)
    assert fleet.refusals(7) == {True}
    await anyio.sleep(crash_evidence.REFUSAL_TTL_S + 1)
    assert fleet.refusals(7) == {False}


@with_fleet(3)
async def test_simultaneous_crashes_at_several_nodes_add_up(fleet):
    """Guards against counts that are merged to the largest one, so that each node allows more."""
    fleet.evidence(0).record_unreachable(7, FIRST)
    fleet.evidence(1).record_unreachable(7, SECOND)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {True}


@with_fleet(2)
async def test_crash_seen_by_several_nodes_counts_once(fleet):
    """Guards against refusing a request for one crash that two nodes report."""
    for number in range(2):
        fleet.evidence(number).record_unreachable(7, FIRST)
        await anyio.sleep(0.1)
    assert fleet.refusals(7) == {False}


@with_fleet(2)
async def test_completed_request_is_cleared(fleet):
    """Guards against refusing a request that was only in flight during the crashes of others."""
    evidence = fleet.evidence(0)
    evidence.record_unreachable(7, FIRST)
    evidence.clear(7)
    evidence.record_unreachable(7, SECOND)
    assert not fleet.trackers[fleet.all_members[0].node].is_refused(7)


@pytest.mark.parametrize("restarts", [False, True])
def test_crash_of_a_server_that_is_silent_or_back_at_once_counts(restarts):
    """Guards against crashes that go unnoticed since a new connection does not fail."""

    @with_fleet(3)
    async def play(fleet):
        fleet.evidence(0).record_lost_run(7, FIRST)
        fleet.evidence(1).record_lost_run(7, SECOND)
        await anyio.sleep(1.0)
        assert fleet.refusals(7) == {False}
        restarted = [dataclasses.replace(server, started_ms=2) for server in (FIRST, SECOND)]
        await fleet.list_servers(THIRD, *(restarted if restarts else []))
        assert fleet.refusals(7) == {True}

    play()


@with_fleet(2)
async def test_run_that_is_lost_after_the_end_of_its_server_counts(fleet):
    """Guards against crashes that are missed since a silent connection is given up late."""
    await fleet.list_servers(THIRD)
    fleet.evidence(0).record_lost_run(7, FIRST)
    fleet.evidence(0).record_lost_run(7, SECOND)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {True}


@with_fleet(2)
async def test_lost_runs_at_living_or_draining_servers_are_no_crashes(fleet):
    """Guards against refusing requests for lost responses and planned ends of servers."""
    fleet.evidence(0).record_lost_run(7, FIRST)
    draining = [dataclasses.replace(server, draining=True) for server in (SECOND, THIRD)]
    await fleet.list_servers(FIRST, *draining)
    for server in draining:
        fleet.evidence(0).record_lost_run(8, server)
    await fleet.list_servers(FIRST)
    await anyio.sleep(crash_evidence.DETECTION_S)
    await fleet.list_servers()
    assert fleet.refusals(7) == fleet.refusals(8) == {False}


@with_fleet(2)
async def test_server_that_responds_again_did_not_crash(fleet):
    """Guards against refusals fleet-wide after one node lost its path to living servers."""
    for server in (FIRST, SECOND):
        fleet.evidence(0).record_unreachable(7, server)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {True}
    fleet.evidence(1).record_contact(FIRST, anyio.current_time())
    assert not fleet.trackers[fleet.all_members[1].node].is_refused(7)
    await anyio.sleep(crash_evidence.DETECTION_S)
    assert fleet.refusals(7) == {False}


@with_fleet(7)
async def test_crashes_outlive_rolling_restarts(fleet):
    """Guards against restarted nodes that let a request crash two more servers each."""
    await fleet.crash(7, FIRST, SECOND)
    for member in fleet.all_members:
        await fleet.restart(member)
        assert fleet.refusals(7) == {True}


@with_fleet(7)
async def test_crashes_outlive_a_restart_of_all_nodes(fleet):
    """Guards against a power loss of all nodes after which a request crashes servers again."""
    await fleet.crash(7, FIRST, SECOND)
    await fleet.restart(*fleet.all_members)
    assert fleet.refusals(7) == {True}
    await anyio.sleep(crash_evidence.REFUSAL_TTL_S + 1)
    assert fleet.refusals(7) == {False}
    await anyio.sleep(crash_records.SWEEP_INTERVAL_S)
    assert not fleet.records.by_digest


@with_fleet(3)
async def test_crashes_are_stored_and_loaded_after_an_outage_of_the_store(fleet):
    """Guards against crashes that are forgotten because the store was away at the time."""
    fleet.records.down = True
    await fleet.crash(7, FIRST, SECOND)
    fleet.records.down = False
    await anyio.sleep(2 * crash_records.STORE_RETRY_S)
    fleet.records.down = True
    await fleet.restart(*fleet.all_members)
    fleet.records.down = False
    await anyio.sleep(2 * crash_records.STORE_RETRY_S)
    assert fleet.refusals(7) == {True}


@with_fleet(3)
async def test_suspicions_alone_are_not_stored(fleet):
    """Guards against writes to the store for each lost connection."""
    for server in (FIRST, SECOND):
        fleet.evidence(0).record_unreachable(7, server)
    await anyio.sleep(crash_evidence.DETECTION_S)
    assert not fleet.records.by_digest


@with_fleet(2)
async def test_isolated_node_reports_no_crashes(fleet):
    """Guards against a node without a path to the servers that takes all of them for crashed."""
    evidence = fleet.evidence(0)
    evidence.record_unreachable(7, FIRST)
    evidence.is_isolated = lambda: True
    evidence.record_unreachable(7, SECOND)
    evidence.record_unreachable(7, THIRD)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {False}


@with_fleet(3)
async def test_crash_of_a_run_lost_long_before_the_list_is_read_again_counts(fleet):
    """Guards against evidence that expires while the store is away or slow."""
    fleet.is_store_down = True
    fleet.evidence(0).record_lost_run(7, FIRST)
    fleet.evidence(1).record_lost_run(7, SECOND)
    await anyio.sleep(2 * crash_evidence.DETECTION_S)
    fleet.is_store_down = False
    await fleet.list_servers(THIRD)
    assert fleet.refusals(7) == {True}


@with_fleet(3)
async def test_server_that_leaves_long_after_a_lost_run_did_not_crash(fleet):
    """Guards against refusing requests for planned ends that follow lost responses."""
    for server in (FIRST, SECOND):
        fleet.evidence(0).record_lost_run(7, server)
    await anyio.sleep(crash_evidence.DETECTION_S + 2 * LISTING_INTERVAL_S)
    await fleet.list_servers(THIRD)
    assert fleet.refusals(7) == {False}


@with_fleet(3)
async def test_silent_end_of_a_server_counts_once_it_accepts_no_connection(fleet):
    """Guards against sending a request to further servers until the list shows silent ends."""
    fleet.evidence(0).record_lost_run(7, FIRST)
    fleet.evidence(0).record_unreachable_server(FIRST)
    fleet.evidence(1).record_unreachable_server(SECOND)
    fleet.evidence(1).record_lost_run(7, SECOND)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {True}


@with_fleet(2)
async def test_silent_server_that_accepts_connections_is_no_crash(fleet):
    """Guards against refusing requests whose servers are slow or fall silent for a moment."""
    for server in (FIRST, SECOND):
        fleet.evidence(0).record_unreachable_server(server)
        fleet.evidence(0).record_reachable_server(server)
        fleet.evidence(0).record_lost_run(7, server)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {False}


@with_fleet(2)
async def test_evidence_of_an_isolated_node_counts_once_it_reaches_servers(fleet):
    """Guards against crashes that are ignored since they leave a node no servers to reach."""
    evidence = fleet.evidence(0)
    evidence.is_isolated = lambda: True
    for server in (FIRST, SECOND):
        evidence.record_lost_run(7, server)
        evidence.record_unreachable_server(server)
    await anyio.sleep(0.1)
    assert fleet.refusals(7) == {False}
    evidence.is_isolated = lambda: False
    assert fleet.trackers[fleet.all_members[0].node].is_refused(7)


@with_fleet(3)
async def test_node_that_was_cut_off_learns_of_crashes(fleet):
    """Guards against nodes that miss a message and let a request crash two more servers."""
    first, *others = (member.peer_address for member in fleet.all_members)
    fleet.shared_network.partition([first], others)
    await fleet.crash_at(1, 7, FIRST, SECOND)
    await anyio.sleep(1.0)
    assert not fleet.trackers[fleet.all_members[0].node].is_refused(7)
    fleet.shared_network.broken_links.clear()
    await anyio.sleep(3 * crashes.SYNC_DELAY_S)
    assert fleet.refusals(7) == {True}


@with_fleet(3)
async def test_nodes_that_restart_together_learn_from_any_other(fleet):
    """Guards against restarted nodes that take the ignorance of another one for the truth."""
    await fleet.crash_at(2, 7, FIRST, SECOND)
    fleet.records.down = True
    await fleet.restart(*fleet.all_members[:2])
    await anyio.sleep(3 * crashes.SYNC_DELAY_S)
    assert fleet.refusals(7) == {True}


@with_fleet(3)
async def test_nodes_with_equal_knowledge_fetch_nothing(fleet):
    """Guards against fetches without end when a request was cleared or has expired."""
    await fleet.crash(7, FIRST, SECOND)
    fleet.evidence(0).clear(7)
    await anyio.sleep(5 * crashes.SYNC_DELAY_S)
    networks = fleet.shared_network.nodes.values()
    sent = sum(network.sent[ttypes.CrashFetch] for network in networks)
    await anyio.sleep(crash_evidence.REFUSAL_TTL_S + 10.0)
    assert sum(network.sent[ttypes.CrashFetch] for network in networks) == sent
    assert not fleet.trackers[fleet.all_members[0].node].is_refused(7)


@with_fleet(3)
async def test_crashes_are_stored_after_the_loss_of_the_node_that_saw_them(fleet):
    """Guards against crashes that no node stores since the one that saw them has ended."""
    for server in (FIRST, SECOND):
        fleet.evidence(1).record_unreachable(7, server)
    await anyio.sleep(0.1)
    await fleet.restart(fleet.all_members[1])
    await fleet.list_servers(THIRD)
    await fleet.restart(*fleet.all_members)
    assert fleet.refusals(7) == {True}
