"""Tests for customers' limits under delays, lost replies, pauses and changes of the grantor."""

import dataclasses

import anyio
import fake_network
import hypothesis
import pytest
import virtual_time
from hypothesis import stateful
from hypothesis import strategies as st

from dogwoodgap import clock, exceptions, limits, members, models, shares

NODES = 4
RATE_PER_S = 40.0
CONCURRENCY = 37
EPSILON = 1e-6


@dataclasses.dataclass
class ShardView:
    """One node's knowledge of the assignment of the customer's shard."""

    owner: int
    version: int
    acquired_at: float
    confirmed_at: float


class Fleet:
    """Limiters of four nodes and the actual owner of the customer's shard."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.shared_network = fake_network.SharedNetwork()
        self.actual = ShardView(0, 1, clock.now() - 60, clock.now())
        self.views = [dataclasses.replace(self.actual) for _ in range(NODES)]
        customer = models.Customer(rate_per_s=RATE_PER_S, concurrency=CONCURRENCY)
        self.configuration = models.FleetConfiguration(customers={"acme": customer})
        self.members = [
            members.Member(f"n{n}", "b1", "d", f"h{n}:1", f"p{n}:1") for n in range(NODES)
        ]
        self.limiters = [self.limiter(number) for number in range(NODES)]
        self.retries_after_s = []
        self.calls_per_step = [0] * NODES

    def limiter(self, number):
        network = fake_network.FakeNetwork(self.shared_network, f"p{number}:1")
        network.hello = self.members[number].to_wire
        limiter = limits.Limiter(
            f"n{number}",
            "b1",
            lambda: self.configuration,
            lambda shard: self.members[self.views[number].owner],
            network,
            lambda shard: self.ownership(number),
            lambda: NODES,
        )
        self.tasks.start_soon(limiter.run)
        return limiter

    def ownership(self, number):
        view = self.views[number]
        if view.owner != number:
            return None
        if self.actual.owner == number:
            view.confirmed_at = clock.now()
        return shares.Ownership(view.version, view.acquired_at, view.confirmed_at)

    async def reassign_shard(self, number, stale):
        """Assign the shard to a node; stale nodes keep the old assignment."""
        self.ownership(self.actual.owner)
        self.actual = ShardView(number, self.actual.version + 1, clock.now(), clock.now())
        for other in range(NODES):
            if other == number or other not in stale:
                self.views[other] = dataclasses.replace(self.actual)

    async def start_calls(self, number, calls, hold_s):
        for _ in range(calls):
            self.tasks.start_soon(self.call, number, hold_s)

    async def send_calls(self, number):
        """Send ``calls_per_step`` calls every 0.1 s."""
        while True:
            await self.start_calls(number, self.calls_per_step[number], 1.0)
            await anyio.sleep(0.1)

    async def call(self, number, hold_s):
        try:
            async with self.limiters[number].admit("acme"):
                await anyio.sleep(hold_s)
        except exceptions.CustomerLimitError as error:
            self.retries_after_s.append(error.retry_after_s)

    async def pause(self, number, seconds):
        """Pause a node's messages; its shares stay usable until they expire."""
        name = f"p{number}:1"
        if name not in self.shared_network.paused:
            self.shared_network.paused[name] = anyio.Event()
            self.tasks.start_soon(self.resume, name, seconds)

    async def resume(self, name, seconds):
        await anyio.sleep(seconds)
        self.shared_network.paused.pop(name).set()

    async def check_sums(self):
        while True:
            usable = [limiter.usable("acme") for limiter in self.limiters]
            rate = sum(amounts.rate for amounts in usable)
            concurrency = sum(amounts.concurrency for amounts in usable)
            assert rate <= RATE_PER_S + EPSILON, "rates exceed the limit"
            assert concurrency <= CONCURRENCY, "concurrency exceeds the limit"
            await anyio.sleep(0.02)


def run_with_fleet(body):
    """Run a body on a fleet past the startup delay while checking the sum of all shares."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            await anyio.sleep(limits.GUARANTEE_DELAY_S)
            tasks.start_soon(fleet.check_sums)
            for number in range(NODES):
                tasks.start_soon(fleet.send_calls, number)
            await body(fleet)
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


class ShareMachine(stateful.RuleBasedStateMachine):
    """Collects steps and runs the complete sequence on virtual time.

    Guards against shares whose sum exceeds the limit of a customer.
    """

    def __init__(self):
        super().__init__()
        self.steps = []

    @stateful.rule(number=st.integers(0, NODES - 1), calls=st.sampled_from([0, 2, 8]))
    def press(self, number, calls):
        async def step(fleet):
            fleet.calls_per_step[number] = calls

        self.steps.append(step)

    @stateful.rule(number=st.integers(0, NODES - 1), stale=st.sets(st.integers(0, NODES - 1)))
    def move(self, number, stale):
        self.steps.append(lambda fleet: fleet.reassign_shard(number, stale))

    @stateful.rule(number=st.integers(0, NODES - 1), seconds=st.sampled_from([0.2, 1.9, 6.0]))
    def pause(self, number, seconds):
        self.steps.append(lambda fleet: fleet.pause(number, seconds))

    @stateful.rule(delay_s=st.sampled_from([0.001, 0.1, 0.2]), lost=st.sampled_from([0.0, 0.5]))
    def network(self, delay_s, lost):
        async def step(fleet):
            fleet.shared_network.delay_s = delay_s
            fleet.shared_network.lost_replies = lost

        self.steps.append(step)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.7, 2.5, 5.0]))
    def wait(self, seconds):
        self.steps.append(lambda fleet: anyio.sleep(seconds))

    def teardown(self):
        async def body(fleet):
            for step in self.steps:
                await step(fleet)
            await anyio.sleep(5)

        run_with_fleet(body)


ShareMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=20,
    deadline=None,
    phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
)
TestShares = ShareMachine.TestCase


def test_lost_reply_leaves_the_larger_share_counted():
    """Guards against a lost smaller grant that frees a share which its holder still uses."""

    async def body(fleet):
        grantor = fleet.limiters[0].grantor
        first = grantor.grant("acme", "n1/b1", shares.Amounts(100.0, 100))
        grantor.grant("acme", "n1/b1", shares.Amounts(0.5, 1))
        other = grantor.grant("acme", "n2/b1", shares.Amounts(100.0, 100))
        limit = shares.shared_pool(shares.Amounts(RATE_PER_S, CONCURRENCY), NODES)
        assert first.amounts.rate + other.amounts.rate <= limit.rate
        assert first.amounts.concurrency + other.amounts.concurrency <= limit.concurrency

    run_with_fleet(body)


def test_stale_owner_and_new_owner_do_not_overlap():
    """Guards against a new owner that grants while shares of the old one are still valid."""

    async def body(fleet):
        fleet.calls_per_step = [0, 8, 8, 0]
        await anyio.sleep(3)
        await fleet.reassign_shard(3, stale={0, 1})
        await anyio.sleep(limits.RENEW_INTERVAL_S)
        assert fleet.limiters[1].usable("acme").rate >= RATE_PER_S / 4
        await anyio.sleep(8)
        assert fleet.limiters[2].usable("acme").rate >= RATE_PER_S / 4
        assert fleet.limiters[1].usable("acme").rate < RATE_PER_S / 8

    run_with_fleet(body)


def test_late_reply_does_not_extend_a_share():
    """Guards against a holder that uses a share after it expired at the grantor."""

    async def body(fleet):
        fleet.shared_network.delay_s = 0.12
        await fleet.start_calls(1, 60, 0.1)
        await anyio.sleep(0.3)
        granted = fleet.limiters[0].grantor.accounts["acme"].grants["n1/b1"]
        share = fleet.limiters[1].usages["acme"].share
        assert share.amounts.rate > 0
        assert share.expires_at <= max(grant.expires_at for grant in granted)

    run_with_fleet(body)


def test_shares_follow_demand_and_refusals_state_a_retry_delay():
    """Guards against a shared half that stays unused, or that the first busy node keeps alone."""

    async def body(fleet):
        for _ in range(8):
            await fleet.start_calls(1, 20, 2.0)
            await anyio.sleep(0.5)
        busy = fleet.limiters[1].usable("acme")
        assert busy.rate >= RATE_PER_S / 2
        assert busy.concurrency >= CONCURRENCY // 2
        for _ in range(10):
            await fleet.start_calls(1, 20, 1.0)
            await fleet.start_calls(2, 20, 1.0)
            await anyio.sleep(0.5)
        assert fleet.limiters[2].usable("acme").rate >= RATE_PER_S / 4
        assert fleet.limiters[2].usable("acme").concurrency >= CONCURRENCY // 4
        assert fleet.retries_after_s
        assert all(0 < seconds <= limits.IDLE_S for seconds in fleet.retries_after_s)

    run_with_fleet(body)


def test_admitted_calls_stay_near_the_rate():
    """Guards against calls far above a customer's rate when every node spends a burst at once."""

    async def body(fleet):
        admitted = []

        async def press(number):
            while True:
                try:
                    async with fleet.limiters[number].admit("acme"):
                        admitted.append(clock.now())
                except exceptions.CustomerLimitError:
                    pass
                await anyio.sleep(0.01)

        started = clock.now()
        for number in range(NODES):
            fleet.tasks.start_soon(press, number)
        await anyio.sleep(20)
        elapsed = clock.now() - started
        assert len(admitted) <= RATE_PER_S * (elapsed + limits.BURST_S) + NODES
        assert len(admitted) >= RATE_PER_S * elapsed / 2

    run_with_fleet(body)


def test_guaranteed_minimum_remains_without_the_owner():
    """Guards against refusing all calls of a customer while the grantor is unreachable."""

    async def body(fleet):
        del fleet.shared_network.nodes["p0:1"]
        usable = fleet.limiters[1].usable("acme")
        assert usable == shares.guaranteed_minimum(shares.Amounts(RATE_PER_S, CONCURRENCY), NODES)
        for _ in range(usable.concurrency):
            await fleet.limiters[1].acquire("acme")
            await anyio.sleep(1.0)
        with pytest.raises(exceptions.CustomerLimitError):
            await fleet.limiters[1].acquire("acme")

    run_with_fleet(body)
