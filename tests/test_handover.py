"""Shards of a node that is being drained."""

import anyio
import fleet
import virtual_time


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
