"""Refusal of requests that crash servers, across several nodes."""

import anyio
import fake_network
import virtual_time

from dogwoodgap import broadcast, crashes, servers

SERVER = servers.BackendServer("p1", "plain", "10.1.0.1:80", "d", 4)
OTHER_SERVER = servers.BackendServer("p2", "plain", "10.1.0.2:80", "d", 4)


def test_crashes_are_counted_across_nodes():
    """Guards against counts kept per node, which let a request crash two servers per node."""

    async def main():
        shared_network = fake_network.SharedNetwork()
        nodes = fake_network.static_members(2)
        trackers = [crashes.CrashTracker(), crashes.CrashTracker()]
        async with anyio.create_task_group() as tasks:
            for node, tracker in zip(nodes, trackers, strict=True):
                network = fake_network.FakeNetwork(shared_network, node.peer_address)
                network.hello = node.to_wire
                joined = fake_network.StaticMembership(node, nodes)
                tracker.start_sharing(network, broadcast.Broadcaster(joined, network, tasks))
            trackers[0].record_crash(7, SERVER)
            await anyio.sleep(0.1)
            assert not trackers[1].is_refused(7)
            trackers[1].record_crash(7, OTHER_SERVER)
            await anyio.sleep(0.1)
            assert trackers[0].is_refused(7)
            assert trackers[1].is_refused(7)
            await anyio.sleep(crashes.REFUSAL_TTL_S + 1)
            assert not trackers[0].is_refused(7)

    virtual_time.run(main)


def test_simultaneous_crashes_at_several_nodes_add_up():
    """Guards against counts that are merged to the largest one, so that each node allows more."""

    async def main():
        shared_network = fake_network.SharedNetwork()
        nodes = fake_network.static_members(3)
        trackers = [crashes.CrashTracker() for _ in nodes]
        async with anyio.create_task_group() as tasks:
            for node, tracker in zip(nodes, trackers, strict=True):
                network = fake_network.FakeNetwork(shared_network, node.peer_address)
                network.hello = node.to_wire
                joined = fake_network.StaticMembership(node, nodes)
                tracker.start_sharing(network, broadcast.Broadcaster(joined, network, tasks))
            trackers[0].record_crash(7, SERVER)
            trackers[1].record_crash(7, OTHER_SERVER)
            await anyio.sleep(0.1)
            assert [tracker.is_refused(7) for tracker in trackers] == [True] * 3

    virtual_time.run(main)


def test_crash_seen_by_several_nodes_counts_once():
    """Guards against refusing a request for one crash that two nodes report."""

    async def main():
        shared_network = fake_network.SharedNetwork()
        nodes = fake_network.static_members(2)
        trackers = [crashes.CrashTracker() for _ in nodes]
        async with anyio.create_task_group() as tasks:
            for node, tracker in zip(nodes, trackers, strict=True):
                network = fake_network.FakeNetwork(shared_network, node.peer_address)
                network.hello = node.to_wire
                joined = fake_network.StaticMembership(node, nodes)
                tracker.start_sharing(network, broadcast.Broadcaster(joined, network, tasks))
            trackers[0].record_crash(7, SERVER)
            await anyio.sleep(0.1)
            trackers[1].record_crash(7, SERVER)
            await anyio.sleep(0.1)
            assert [tracker.is_refused(7) for tracker in trackers] == [False] * 2

    virtual_time.run(main)


def test_completed_request_is_cleared():
    """Guards against refusing a request that was only in flight during the crashes of others."""

    async def main():
        tracker = crashes.CrashTracker()
        tracker.record_crash(7, SERVER)
        tracker.record_success(7)
        tracker.record_crash(7, OTHER_SERVER)
        assert not tracker.is_refused(7)

    virtual_time.run(main)
