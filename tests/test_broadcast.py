"""Messages that are passed on along partners reach every node, although some do not respond."""

import collections

import anyio
import fake_network
import hypothesis
import hypothesis.strategies as st
import pytest
import virtual_time

from dogwoodgap import broadcast
from dogwoodgap_wire import ttypes

LIMIT_S = 5.0
"""A list of servers must reach all nodes before it is replaced by the next ones."""


class Fleet:
    """Nodes with static membership that pass a notice on and count what they receive."""

    def __init__(self, tasks, count, silent=(), lost_replies=0.0, seed=0):
        self.shared_network = fake_network.SharedNetwork(seed)
        self.shared_network.lost_replies = lost_replies
        self.received = collections.Counter()
        self.received_at = {}
        self.networks = {}
        self.broadcasters = {}
        all_members = fake_network.static_members(count)
        for number, member in enumerate(all_members):
            if number in silent:
                continue
            network = fake_network.FakeNetwork(self.shared_network, member.peer_address)
            network.hello = member.to_wire
            joined = fake_network.StaticMembership(member, all_members)
            network.set_partners(partner.peer_address for partner in joined.partner_members())
            self.networks[member.node] = network
            self.broadcasters[member.node] = broadcast.Broadcaster(joined, network, tasks)
            network.handlers.register(ttypes.SuspectNotice, self.handler(member.node))

    def handler(self, node):
        async def on_notice(sender, message):
            self.received[node] += 1
            if self.received[node] == 1:
                self.received_at[node] = anyio.current_time()
                self.start(node, message.part_end)
            return ttypes.Ack(ok=True)

        return on_notice

    def start(self, node, part_end=None):
        """Pass a notice on from a node."""
        broadcaster = self.broadcasters[node]

        async def deliver(member, end):
            notice = ttypes.SuspectNotice(digest="1", crashes=1, part_end=end)
            await broadcaster.request(member, notice)

        broadcaster.start(deliver, part_end)


def play(count, **options):
    """Send one notice from the first node that responds and return the fleet after some time."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, count, **options)
            fleet.start(min(fleet.broadcasters))
            await anyio.sleep(LIMIT_S)
            tasks.cancel_scope.cancel()
        return fleet

    return virtual_time.run(main)


@pytest.mark.parametrize("count", [2, 7, 17, 64, 171, 400])
def test_every_node_gets_a_message_once(count):
    """Guards against one node that sends to all, and against messages that nodes get repeatedly."""
    fleet = play(count)
    first = min(fleet.broadcasters)
    assert fleet.received == {node: 1 for node in fleet.broadcasters if node != first}
    assert max(network.sent.total() for network in fleet.networks.values()) <= 16
    assert max(fleet.received_at.values()) < 0.1


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    st.integers(5, 120).flatmap(
        lambda count: st.tuples(
            st.just(count), st.sets(st.integers(1, count - 1), max_size=count // 3)
        )
    ),
    st.integers(0, 1_000),
)
def test_every_responsive_node_gets_a_message_beside_silent_ones(case, seed):
    """Guards against a lost part of the fleet behind a node that has just lost power."""
    count, silent = case
    fleet = play(count, silent=silent, seed=seed)
    assert set(fleet.received) >= set(fleet.broadcasters) - {min(fleet.broadcasters)}


@hypothesis.settings(max_examples=10, deadline=None)
@hypothesis.given(st.integers(5, 120), st.integers(0, 1_000))
def test_lost_acknowledgements_lose_no_node(count, seed):
    """Guards against a part that nobody takes over although its first node did not respond."""
    fleet = play(count, lost_replies=0.2, seed=seed)
    assert set(fleet.received) >= set(fleet.broadcasters) - {min(fleet.broadcasters)}


def test_silent_nodes_are_skipped_by_the_next_message():
    """Guards against a time-out for each message until a lost node is declared dead."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, 64, silent=range(20, 40))
            fleet.start("n000")
            await anyio.sleep(broadcast.UNREACHABLE_S - broadcast.DELIVERY_TIMEOUT_S)
            fleet.received.clear()
            started_at = anyio.current_time()
            fleet.start("n000")
            await anyio.sleep(LIMIT_S)
            assert max(fleet.received_at.values()) - started_at < 0.1
            tasks.cancel_scope.cancel()

    virtual_time.run(main)
