"""Shards of nodes that are drained, and of nodes that are wrongly suspected."""

import anyio
import fleet
import virtual_time

from dogwoodgap import recovery


def test_shard_that_is_loaded_during_a_drain_starts_no_work():
    """Guards against work that a node accepts after its last look and that its end cuts."""

    async def main():
        async with anyio.create_task_group() as tasks:
            nodes = fleet.Fleet(tasks, size=1)
            ownership = nodes.nodes[0].ownership
            while not ownership.assignment.current.owned_by(ownership.local_owner):  # noqa: ASYNC110
                await anyio.sleep(0.001)
            assert not ownership.session.loaded
            # Returns at once, since no other node is live.
            await ownership.hand_over_all()
            await anyio.sleep(1.0)
            assert ownership.session.loaded
            assert not any(map(ownership.accepts, ownership.session.loaded))
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_node_that_responds_again_during_a_store_outage_keeps_its_shards():
    """Guards against a takeover that waits for the store and then hits a healthy node."""

    async def main():
        async with anyio.create_task_group() as tasks:
            nodes = fleet.Fleet(tasks, size=2)
            first, second = nodes.nodes
            while not all(len(node.ownership.session.loaded) for node in nodes.nodes):  # noqa: ASYNC110
                await anyio.sleep(0.1)
            owner = first.ownership.local_owner
            nodes.table.faults.outage = True
            first.suspected = True
            await anyio.sleep(4 * recovery.TAKEOVER_DELAY_S)
            assert str(owner) in second.ownership.waiting_since
            first.suspected = False
            nodes.table.faults.outage = False
            await anyio.sleep(5.0)
            assert first.ownership.local_owner == owner
            assert first.ownership.session.loaded
            tasks.cancel_scope.cancel()

    virtual_time.run(main)
