"""Refusal of requests that crash servers, across several nodes."""

import anyio
import fake_network
import virtual_time

from dogwoodgap import crashes, members
from dogwoodgap_wire import ttypes


def test_crashes_are_counted_across_nodes():
    """Guards against counts kept per node, which let a request crash two servers per node."""

    async def main():
        shared_network = fake_network.SharedNetwork()
        addresses = ["10.0.0.1:7080", "10.0.0.2:7080"]
        nodes = [members.Member(f"n{i}", "b", "d", "", a) for i, a in enumerate(addresses)]
        trackers = [crashes.CrashTracker(), crashes.CrashTracker()]
        async with anyio.create_task_group() as tasks:
            for index, tracker in enumerate(trackers):
                network = fake_network.FakeNetwork(shared_network, addresses[index])
                network.hello = lambda: ttypes.Member(node="n", boot="b")
                tracker.start_sharing(network, lambda other=nodes[1 - index]: [other], tasks)
            trackers[0].record_crash(7)
            await anyio.sleep(0.1)
            assert not trackers[1].is_refused(7)
            trackers[1].record_crash(7)
            await anyio.sleep(0.1)
            assert trackers[0].is_refused(7)
            assert trackers[1].is_refused(7)
            await anyio.sleep(crashes.REFUSAL_TTL_S + 1)
            assert not trackers[0].is_refused(7)

    virtual_time.run(main)


def test_completed_request_is_cleared():
    """Guards against refusing a request that was only in flight during the crashes of others."""

    async def main():
        tracker = crashes.CrashTracker()
        tracker.record_crash(7)
        tracker.record_success(7)
        tracker.record_crash(7)
        assert not tracker.is_refused(7)

    virtual_time.run(main)
