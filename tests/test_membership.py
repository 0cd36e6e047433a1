"""Failure detection on virtual time: crashes, partitions, pauses, restarts and gossip traffic."""

import dataclasses

import anyio
import fake_network
import pytest
import virtual_time

from dogwoodgap import clock, members, membership, objectstore, settings
from dogwoodgap_lab import objects
from dogwoodgap_wire import ttypes

DEAD_LIMIT_S = 3.1
"""The detection target of 3 s, plus 0.1 s for the polling interval of the check."""


def address(number):
    return f"10.0.0.{number}:7080"


class Fleet:
    """Nodes ``n<number>`` on one shared network; each can be started, killed and paused."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.shared_network = fake_network.SharedNetwork()
        self.nodes = {}
        self.scopes = {}

    def start(self, number, boot="b1", seeds=(0,), hooks=None, store=None):
        node_settings = settings.NodeSettings.model_validate(
            {
                "node": {
                    "name": f"n{number:03}",
                    "data_centre": f"d{number % 3}",
                    "http_address": f"10.0.0.{number}:8080",
                    "peer_address": address(number),
                    "seeds": [address(seed) for seed in seeds],
                },
                "platform": {"url": "http://platform"},
            }
        )
        network = fake_network.FakeNetwork(self.shared_network, address(number))
        self.nodes[number] = membership.Membership(node_settings, boot, network, store, hooks)
        self.scopes[number] = anyio.CancelScope()
        self.tasks.start_soon(self.run, number)

    async def run(self, number):
        with self.scopes[number]:
            await self.nodes[number].run()

    def kill(self, number):
        self.scopes[number].cancel()
        del self.shared_network.nodes[address(number)]

    def statuses(self, number):
        """Return the statuses that all other running nodes assign to a node."""
        statuses = set()
        for other, node in self.nodes.items():
            member = node.find(f"n{number:03}")
            if other != number and address(other) in self.shared_network.nodes:
                statuses.add(member and member.status.name)
        return statuses

    async def wait_for(self, condition, limit_s):
        """Wait until a condition holds and return the elapsed seconds."""
        started = clock.now()
        while not condition():
            assert clock.now() - started < limit_s, "the condition did not hold in time"
            await anyio.sleep(0.01)
        return clock.now() - started

    async def wait_until_all_alive(self, count, limit_s=30):
        all_alive = lambda: all(len(node.alive()) == count for node in self.nodes.values())  # noqa: E731
        return await self.wait_for(all_alive, limit_s)


def with_fleet(count):
    """Run a test body with a fleet whose nodes all know each other."""

    def decorate(body):
        def test():
            async def main():
                async with anyio.create_task_group() as tasks:
                    fleet = Fleet(tasks)
                    for number in range(count):
                        fleet.start(number)
                    await fleet.wait_until_all_alive(count)
                    await anyio.sleep(3)
                    await body(fleet)
                    tasks.cancel_scope.cancel()

            virtual_time.run(main)

        test.__doc__ = body.__doc__
        return test

    return decorate


@with_fleet(24)
async def test_a_node_knows_the_fleet_although_a_seed_has_just_started(fleet):
    """Guards against programs owned by few nodes while a starting node knows few others."""
    await anyio.sleep(members.RECENT_CHANGE_S)
    fleet.start(30, seeds=())
    fleet.start(31, seeds=(30, 0))
    await fleet.wait_for(lambda: len(fleet.nodes[31].alive()) == 26, limit_s=1.0)


@with_fleet(5)
async def test_members_are_sorted_only_after_a_change(fleet):
    """Guards against sorting all members on every request, which grows with the fleet."""
    node = fleet.nodes[2]
    before = node.alive()
    assert node.alive() is before
    assert node.position() == 2
    fleet.kill(0)
    await fleet.wait_for(lambda: fleet.statuses(0) == {"DEAD"}, DEAD_LIMIT_S)
    assert [member.node for member in node.alive()] == ["n001", "n002", "n003", "n004"]
    assert node.position() == 1
    await node.leave()
    assert node.position() is None


@with_fleet(5)
async def test_killed_node_is_detected_by_all_nodes_in_time(fleet):
    """Guards against late failure detection, and against a restarted node treated as dead."""
    for number in (4, 0):
        fleet.kill(number)
        await fleet.wait_for(lambda n=number: fleet.statuses(n) == {"DEAD"}, DEAD_LIMIT_S)
    fleet.start(4, boot="b2", seeds=(1,))
    await fleet.wait_for(lambda: fleet.statuses(4) == {"ALIVE"}, 3)
    assert fleet.nodes[1].is_dead("n004", "b1")
    assert not fleet.nodes[1].is_dead("n004", "b2")


@with_fleet(5)
async def test_quick_restart_makes_the_old_boot_dead(fleet):
    """Guards against shards left with the old boot when a node restarts before it is suspected."""
    fleet.kill(2)
    fleet.start(2, boot="b2")
    old_dead = lambda: all(  # noqa: E731
        node.is_dead("n002", "b1") for number, node in fleet.nodes.items() if number != 2
    )
    await fleet.wait_for(old_dead, 1.0)
    assert fleet.statuses(2) == {"ALIVE"}


@with_fleet(5)
async def test_broken_link_between_two_nodes_leaves_both_alive(fleet):
    """Guards against declaring a node dead because of one broken link; others still reach it."""
    observed = set()
    fleet.shared_network.partition([address(0)], [address(1)])
    for _ in range(200):
        await anyio.sleep(0.1)
        observed |= fleet.statuses(0) | fleet.statuses(1)
    assert observed == {"ALIVE"}


@with_fleet(6)
async def test_partition_and_healing(fleet):
    """Guards against failure reports of a partitioned group overriding direct contact."""
    group_a, group_b = (0, 1, 2), (3, 4, 5)
    fleet.shared_network.partition(map(address, group_a), map(address, group_b))
    dead = members.Status.DEAD
    await anyio.sleep(4)
    for number in group_a:
        assert fleet.nodes[number].find("n004").status is dead
        assert len(fleet.nodes[number].alive()) == 3
    fleet.shared_network.broken_links = {
        frozenset((address(0), address(other))) for other in group_b
    }
    observed = set()
    await anyio.sleep(15)
    for _ in range(100):
        await anyio.sleep(0.1)
        observed |= {fleet.nodes[n].find("n004").status.name for n in (1, 2)}
    assert observed == {"ALIVE"}
    fleet.shared_network.broken_links = set()
    await fleet.wait_until_all_alive(6)


@with_fleet(4)
async def test_false_failure_report_is_refuted(fleet):
    """Guards against accepting a failure report about a node that this one reaches directly."""
    before = fleet.nodes[0].find("n002").incarnation
    failure_report = dataclasses.replace(fleet.nodes[0].find("n002"), status=members.Status.DEAD)
    fleet.nodes[0].table.merge(failure_report, "n003")
    assert fleet.statuses(2) == {"ALIVE"}
    refuted = lambda: all(  # noqa: E731
        node.find("n002").incarnation > before for node in fleet.nodes.values()
    )
    await fleet.wait_for(refuted, 2)
    assert fleet.statuses(2) == {"ALIVE"}


@with_fleet(5)
async def test_resumed_node_does_not_declare_others_dead(fleet):
    """Guards against a resumed node that declares others dead for the time it was paused."""
    node = fleet.nodes[3]
    fleet.shared_network.paused[address(3)] = anyio.Event()
    await fleet.wait_for(lambda: fleet.statuses(3) == {"DEAD"}, DEAD_LIMIT_S)
    for member in node.table.others():
        member.status = members.Status.SUSPECT
        member.last_contact_at = member.learned_at = clock.now() - 30
    node.detector.pause_checked_at = clock.now() - 30  # the fake network stops messages, not tasks
    deaths = []
    node.subscribe(lambda member: deaths.append(member.status is members.Status.DEAD))
    fleet.shared_network.paused.pop(address(3)).set()
    await fleet.wait_until_all_alive(5, limit_s=2)
    assert not any(deaths)


@with_fleet(4)
async def test_leaving_and_departed_node(fleet):
    """Guards against work sent to a leaving node, and against a timeout for a stopped one."""
    await fleet.nodes[1].leave()
    assert fleet.statuses(1) == {"LEAVING"}
    await anyio.sleep(5)
    assert fleet.statuses(1) == {"LEAVING"}
    started = clock.now()
    await fleet.nodes[1].depart()
    fleet.kill(1)
    assert fleet.statuses(1) == {"DEAD"}
    assert clock.now() - started < 0.5
    await anyio.sleep(5)
    assert fleet.statuses(1) == {"DEAD"}


@with_fleet(4)
async def test_old_boot_learns_that_it_was_replaced(fleet):
    """Guards against two processes with one node name that replace each other indefinitely."""
    old = fleet.nodes[3]
    await anyio.sleep(members.JOIN_WINDOW_S)
    fleet.start(3, boot="b2")
    await fleet.wait_for(lambda: fleet.nodes[0].find("n003").boot == "b2", 2)
    new_network = fake_network.FakeNetwork(fleet.shared_network, "10.0.1.1:7080")
    new_network.hello = old.local.to_wire
    old.network = new_network
    await old.ping_address(address(0))
    assert old.superseded.is_set()
    assert fleet.nodes[0].find("n003").boot == "b2"


@with_fleet(3)
async def test_node_joins_through_the_vm_list_without_seeds(fleet):
    """Guards against a node that cannot join because all its configured seeds were replaced."""
    store = objects.MemoryObjectStore()
    store.current_vms = [objectstore.Vm(f"n{n}", address(n)) for n in (1, 2, 77)]
    fleet.start(3, seeds=(99,), store=store)
    await fleet.wait_for(lambda: fleet.statuses(3) == {"ALIVE"}, 10)
    assert fleet.nodes[3].visible_fraction() == 1.0


@with_fleet(3)
async def test_message_with_missing_or_unknown_fields_is_refused(fleet):
    """Guards against a status that only another version knows and that stops all gossip."""
    node = fleet.nodes[0]
    sender = fleet.nodes[1].local.to_wire()
    unknown_status = ttypes.Member(node="n009", boot="b", status=99)
    reply = await node.network.handlers.dispatch(sender, ttypes.Ping(changes=[unknown_status]))
    assert reply == ttypes.Ack(ok=False)
    reply = await node.network.handlers.dispatch(sender, ttypes.Ping())
    assert isinstance(reply, ttypes.PingReply)
    await anyio.sleep(1)
    assert len(node.alive()) == 3


@pytest.mark.parametrize(("count", "limit"), [(5, 4_000), (10, 4_000), (20, 4_000), (40, 4_000)])
def test_idle_traffic_per_node(count, limit):
    """Guards against gossip above the control-traffic limit of 4 KB/s per node."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            for number in range(count):
                fleet.start(number)
            joined = await fleet.wait_until_all_alive(count)
            await anyio.sleep(10)
            before = {n: total(node) for n, node in fleet.nodes.items()}
            await anyio.sleep(30)
            rates = [(total(node) - before[n]) / 30 for n, node in fleet.nodes.items()]
            print(
                f"{count} members: {max(rates):.0f} B/s sent and received, joined in {joined:.2f} s"
            )
            assert max(rates) < limit
            fleet.kill(count - 1)
            took = await fleet.wait_for(lambda: fleet.statuses(count - 1) == {"DEAD"}, 12)
            print(f"{count} members: dead everywhere after {took:.1f} s")
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def total(node):
    return node.network.traffic.sent_bytes + node.network.traffic.received_bytes
