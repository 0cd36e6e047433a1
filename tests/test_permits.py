"""Request rate limits of backend servers, kept by fleets of up to 380 nodes on virtual time."""

import anyio
import fake_network
import hypothesis
import hypothesis.strategies as st
import pytest
import virtual_time

from dogwoodgap import broadcast, clock, dialect, members, permits, rate_limits, servers
from dogwoodgap_wire import ttypes

SERVER = servers.BackendServer("s1", "model", "10.1.0.1:80", "d", 16, started_ms=1)
WINDOW_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
"""Operators tolerate half more than a limit over a window, and some requests."""

RESPONSE_S = 0.05
KEEP_TRYING_S = 0.02
SPREAD_S = 0.3
"""Time in which all nodes learn of a change of the members."""


def metadata(limit_per_s, *, signed=True):
    """Return the metadata of a response with a limit."""
    return dialect.ResponseMetadata("a", signed, False, None, limit_per_s, False)


class Fleet:
    """Nodes that all want to send as much as possible to one limited server."""

    def __init__(self, tasks, count, limit_per_s):
        self.tasks = tasks
        self.limit_per_s = limit_per_s
        self.shared_network = fake_network.SharedNetwork()
        self.all_members = fake_network.static_members(count)
        self.nodes = {}
        self.received_at = []
        for member in self.all_members:
            self.start(member)

    def start(self, member):
        """Start or restart a node."""
        network = fake_network.FakeNetwork(self.shared_network, member.peer_address)
        network.hello = member.to_wire
        joined = fake_network.StaticMembership(member, self.all_members)
        joined.alive = joined.table.alive
        network.set_partners(partner.peer_address for partner in joined.partner_members())
        coordinator = permits.PermitCoordinator()
        coordinator.join(joined, network, broadcast.Broadcaster(joined, network, self.tasks))
        self.nodes[member.node] = coordinator

    def sent(self, message_type):
        """Return how many messages of a type all nodes have sent."""
        return sum(network.sent[message_type] for network in self.shared_network.nodes.values())

    def member(self, node):
        return next(member for member in self.all_members if member.node == node)

    def kill(self, node):
        """Stop a node, without the others knowing."""
        del self.shared_network.nodes[self.member(node).peer_address]
        return self.nodes.pop(node)

    def mark_dead(self, nodes, lost):
        """Make some nodes consider others dead."""
        for node in nodes:
            table = self.nodes[node].membership.table
            for other in lost:
                table.members[other].status = members.Status.DEAD
                table.members[other].changed_at = clock.now()
            table.version += 1

    async def spread(self, changed, status):
        """Let all nodes learn one after the other that a member leaves or has joined."""
        for node in list(self.nodes.values()):
            node.membership.table.members[changed].status = status
            node.membership.table.version += 1
            await anyio.sleep(SPREAD_S / len(self.nodes))

    def owner(self):
        """Return the node that shares out the limit."""
        key = SERVER.process
        coordinator = next(iter(self.nodes.values()))
        first = coordinator.ownership.first(key[0], coordinator.membership.table.alive_nodes())
        return first[0]

    async def demand(self, pause_s):
        """Send requests from all nodes in turn, each after a permit, until cancelled."""
        number = 0
        while True:
            names = sorted(self.nodes)
            coordinator = self.nodes[names[number % len(names)]]
            number += 1
            self.tasks.start_soon(self.send, coordinator)
            await anyio.sleep(pause_s)

    async def send(self, coordinator):
        if coordinator.available_at(SERVER) > clock.now():
            return
        if (delay_s := await coordinator.acquire(SERVER, 0.0)) is None:
            return
        await anyio.sleep(delay_s)
        sent_at = clock.now()
        self.received_at.append(sent_at)
        await anyio.sleep(RESPONSE_S)
        coordinator.observe(SERVER, metadata(self.limit_per_s), sent_at)

    def busiest_window(self, start, end):
        """Return the most requests that the server got in a window of this period."""
        times = [at for at in self.received_at if start <= at < end]
        return max(sum(at <= other < at + WINDOW_S for other in times) for at in times)


def run_fleet(body, count, limit_per_s, pause_s):
    """Run a fleet under demand; ``body`` injects faults and checks."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, count, limit_per_s)
            tasks.start_soon(fleet.demand, pause_s)
            await body(fleet)
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def tolerated(limit_per_s):
    """Return the requests that a server with a limit may get in a window."""
    return TOLERATED_FACTOR * limit_per_s * WINDOW_S + TOLERATED_REQUESTS


@pytest.mark.parametrize("limit_per_s", [0.4, 4.0, 40.0])
@pytest.mark.parametrize("count", [1, 7, 171, 380])
def test_limit_holds_over_all_nodes_and_is_used(count, limit_per_s):
    """Guards against shares that add up to more than the limit, and against unused shares."""

    async def body(fleet):
        await anyio.sleep(21.0)
        assert fleet.busiest_window(1.0, 21.0) <= tolerated(limit_per_s)
        used = sum(at >= 1.0 for at in fleet.received_at)
        assert used >= 0.8 * limit_per_s * 20.0 - 1

    run_fleet(body, count, limit_per_s, 0.01)


@pytest.mark.parametrize("count", [7, 171])
def test_limit_holds_while_its_owner_is_killed(count):
    """Guards against a limit that is forgotten or unused when its owner dies."""

    async def body(fleet):
        await anyio.sleep(3.0)
        for _ in range(3):
            owner = fleet.owner()
            fleet.kill(owner)
            await anyio.sleep(3.0)
            fleet.mark_dead(fleet.nodes, [owner])
            await anyio.sleep(3.0)
        assert fleet.busiest_window(1.0, 21.0) <= tolerated(5.0)
        assert sum(at >= 1.0 for at in fleet.received_at) >= 0.5 * 5.0 * 20.0

    run_fleet(body, count, 5.0, 0.01)


@pytest.mark.parametrize("count", [7, 171])
def test_restarted_node_knows_the_limits(count):
    """Guards against nodes that exceed a limit until a response tells them of it."""

    async def body(fleet):
        await anyio.sleep(3.0)
        for member in list(fleet.all_members):
            fleet.kill(member.node)
            fleet.start(member)
            await fleet.nodes[member.node].fetch_limits()
            assert fleet.nodes[member.node].limit(SERVER) == 5.0
            await anyio.sleep(0.05)
        assert fleet.busiest_window(1.0, clock.now()) <= tolerated(5.0)

    run_fleet(body, count, 5.0, 0.01)


@pytest.mark.parametrize("returns", [False, True])
@pytest.mark.parametrize("interval_s", [0.5, 1.0, 2.0])
@pytest.mark.parametrize("limit_per_s", [0.4, 4.0, 40.0])
def test_limit_holds_over_a_series_of_planned_stops(limit_per_s, interval_s, returns):
    """Guards against owners that each grant a burst although the one before has granted it."""

    async def body(fleet):
        await anyio.sleep(3.0)
        for _ in range(6):
            owner = fleet.owner()
            await fleet.spread(owner, members.Status.LEAVING)
            await anyio.sleep(interval_s - SPREAD_S)
            fleet.kill(owner)
            if returns:
                fleet.start(fleet.member(owner))
                await fleet.nodes[owner].fetch_limits()
                await fleet.spread(owner, members.Status.ALIVE)
        await anyio.sleep(WINDOW_S)
        assert fleet.busiest_window(1.0, clock.now()) <= tolerated(limit_per_s)

    run_fleet(body, 8, limit_per_s, 0.01)


@pytest.mark.parametrize("count", [7, 40])
def test_both_halves_of_a_split_fleet_keep_the_limit_together(count):
    """Guards against two owners of a limit that cannot reach each other."""

    async def body(fleet):
        await anyio.sleep(3.0)
        names = sorted(fleet.nodes)
        halves = names[: count // 2], names[count // 2 :]
        addresses = [[fleet.member(node).peer_address for node in half] for half in halves]
        fleet.shared_network.partition(*addresses)
        fleet.mark_dead(*halves)
        fleet.mark_dead(*halves[::-1])
        await anyio.sleep(10.0)
        assert fleet.busiest_window(1.0, 13.0) <= tolerated(5.0)

    run_fleet(body, count, 5.0, 0.01)


def test_rate_that_changes_with_each_response_is_not_sent_to_all_nodes():
    """Guards against a message to every node for each response of a limited server."""

    async def body(fleet):
        await anyio.sleep(3.0)
        before = fleet.sent(ttypes.ServerLimit)
        for step in range(40):
            fleet.limit_per_s = 8.0 + step / 10
            await anyio.sleep(0.1)
        assert fleet.sent(ttypes.ServerLimit) == before
        assert fleet.busiest_window(1.0, 7.0) <= tolerated(12.0)

    run_fleet(body, 171, 8.0, 0.01)


def test_lifted_limit_is_lifted_on_all_nodes():
    """Guards against a limit that outlives the need of its server."""

    async def body(fleet):
        await anyio.sleep(3.0)
        fleet.limit_per_s = None
        await anyio.sleep(1.0)
        assert {coordinator.limit(SERVER) for coordinator in fleet.nodes.values()} == {None}

    run_fleet(body, 171, 5.0, 0.01)


def test_limit_of_zero_ends_when_the_server_no_longer_reports_it():
    """Guards against a server that is never asked again whether it is still in need."""

    async def body(fleet):
        await anyio.sleep(9.0)
        assert fleet.busiest_window(1.0, 9.0) <= TOLERATED_REQUESTS
        fleet.limit_per_s = None
        await anyio.sleep(9.0)
        assert {coordinator.limit(SERVER) for coordinator in fleet.nodes.values()} == {None}

    run_fleet(body, 7, 0.0, 0.01)


def test_response_to_a_request_sent_before_the_limit_does_not_lift_it():
    """Guards against responses that overtake each other."""

    async def main():
        table = rate_limits.LimitTable()
        key = SERVER.process
        before = clock.now()
        await anyio.sleep(0.1)
        table.observe(key, metadata(3.0), before)
        table.observe(key, metadata(None), before)
        assert table.per_second(key) == 3.0
        table.observe(key, metadata(None, signed=False), clock.now())
        assert table.per_second(key) == 3.0
        table.observe(key, metadata(None), clock.now())
        assert table.per_second(key) is None

    virtual_time.run(main)


@hypothesis.settings(deadline=None)
@hypothesis.given(
    st.floats(0.3, 50.0),
    st.lists(st.tuples(st.floats(0.0, 2.0), st.floats(0.0, 1.0)), min_size=1, max_size=200),
)
def test_allowance_never_exceeds_the_limit(rate_per_s, requests):
    """Guards against bursts after idle time and against reservations that fall together."""
    allowance = rate_limits.Allowance(0.0)
    now, due = 0.0, []
    for pause_s, max_delay_s in requests:
        now += pause_s
        granted, delay_s = allowance.acquire(rate_per_s, now, max_delay_s)
        assert granted == (delay_s <= max_delay_s)
        if granted:
            due.append(now + delay_s)
    for at in due:
        in_window = sum(at <= other < at + WINDOW_S for other in due)
        assert in_window <= rate_per_s * WINDOW_S + rate_limits.BURST_REQUESTS + 1


def test_malformed_limits_are_ignored():
    """Guards against a limit that stops all requests, or a crash, because of a malformed header."""
    codec = dialect.HeaderCodec()
    name = codec.names.rate_limit
    for value, expected in {b"4.5": 4.5, b"0": 0.0, b"x": None, b"-1": None, b"inf": None}.items():
        assert codec.decode_response([(name, value)]).rate_limit == expected
