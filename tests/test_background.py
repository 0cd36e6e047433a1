"""Background tasks of a gateway that fail unexpectedly."""

import anyio
import fake_network
import virtual_time

from dogwoodgap import background, broadcast


def test_failed_service_is_started_again_and_ends_no_other():
    """Guards against a process that ends since one of its background tasks fails."""
    runs = []

    async def fail():
        runs.append(anyio.current_time())
        if len(runs) < 3:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(raise_overflow)
                await anyio.sleep_forever()

    async def raise_overflow():
        raise OverflowError("int out of range")

    async def main():
        async with anyio.create_task_group() as tasks:
            background.start_service(tasks, fail)
            background.start(tasks, raise_overflow)
            await anyio.sleep(3 * background.RESTART_DELAY_S)
            assert len(runs) == 3
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_delivery_that_fails_unexpectedly_ends_only_itself():
    """Guards against a gateway that ends since one message cannot be encoded."""

    async def main():
        shared_network = fake_network.SharedNetwork()
        all_members = fake_network.static_members(3)
        joined = fake_network.StaticMembership(all_members[0], all_members)
        network = fake_network.FakeNetwork(shared_network, all_members[0].peer_address)

        async def deliver(member, end):
            raise OverflowError("int out of range")

        async with anyio.create_task_group() as tasks:
            broadcast.Broadcaster(joined, network, tasks).start(deliver)

    virtual_time.run(main)
