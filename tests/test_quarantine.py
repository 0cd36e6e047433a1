"""Tests for the quarantine on several nodes: lost runners per digest, and harmless requests."""

import asyncio
import collections

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st
from virtual_loop import VirtualLoop

from dogwoodgap import connections, exceptions, quarantine, shards, structures, suspects
from dogwoodgap_lab import objects

NODES = ("a", "b", "c")
RUNNERS = ("r1", "r2", "r3", "r4")
POISON = ("poison1", "poison2")
HARMLESS = ("plain1", "plain2", "plain3")
NOTICE_DELAY_S = 0.02
CRASH_AFTER_S = 0.4
RESTART_S = 6.0


class Backend:
    """Runner that crashes ``CRASH_AFTER_S`` after the start of a poisonous request."""

    def __init__(self, name: str):
        self.view = structures.RunnerView("llm", name, f"http://{name}", "dc", 4, 1000)
        self.running: list[asyncio.Event] = []
        self.down_until = 0.0


class World:
    """Nodes, runners and the platform, with the actual number of lost runners per digest."""

    def __init__(self):
        self.loop = VirtualLoop()
        self.table = objects.MemoryObjectStore()
        self.backends = {name: Backend(name) for name in RUNNERS}
        self.lost = collections.Counter()
        self.unaware_lost = collections.Counter()
        self.bystander_crashes = collections.Counter()
        self.tasks: list[asyncio.Task] = []
        self.nodes: dict[str, quarantine.Quarantine] = {}
        for name in NODES:
            self.nodes[name] = quarantine.Quarantine(
                name,
                claims=suspects.ClaimStore(self.table, self.loop.time),
                journal=self.journal,
                send=lambda notice, sender=name: self.send(sender, notice),
                is_idle=self.is_idle,
                probe=self.probe,
                now=self.loop.time,
            )
            self.tasks.append(self.loop.create_task(self.nodes[name].run()))

    async def journal(self, record) -> None:
        if self.table.faults.outage:
            raise exceptions.StoreUnavailableError("outage")

    def send(self, sender: str, notice) -> None:
        for name, node in self.nodes.items():
            if name != sender:
                self.loop.call_later(NOTICE_DELAY_S, node.apply_notice, notice)

    async def is_idle(self, view, since: float) -> bool:
        return not self.backends[view.id].running

    async def probe(self, view) -> connections.ProbeResult:
        down = self.backends[view.id].down_until > self.loop.time()
        return connections.ProbeResult.REFUSED if down else connections.ProbeResult.ANSWERED

    async def execute(self, digest: str, backend: Backend, unaware: bool, duration_s: float):
        """Run a request; a poisonous one crashes the runner and fails all its requests."""
        if backend.down_until > self.loop.time():
            raise exceptions.RunnerUnreachableError("down")
        broken = asyncio.Event()
        broken.digest, broken.unaware = digest, unaware
        backend.running.append(broken)
        try:
            if digest in POISON:
                await self.wait(broken, CRASH_AFTER_S)
                self.crash(backend, digest, unaware)
                raise exceptions.RunnerFailedError("broken")
            await self.wait(broken, duration_s)
        finally:
            if broken in backend.running:
                backend.running.remove(broken)

    async def wait(self, broken: asyncio.Event, seconds: float) -> None:
        try:
            await asyncio.wait_for(broken.wait(), seconds)
        except TimeoutError:
            # Another request may have crashed the runner at the same instant.
            if not broken.is_set():
                return
        raise exceptions.RunnerFailedError("broken")

    def crash(self, backend: Backend, digest: str, unaware: bool) -> None:
        self.lost[digest] += 1
        self.unaware_lost[digest] += unaware
        backend.down_until = self.loop.time() + RESTART_S
        for other in backend.running:
            self.bystander_crashes[other.digest] += other.unaware
            other.set()
        backend.running.clear()

    async def submit(self, node: str, digest: str, resends: int, duration_s: float) -> str:
        """Place a request as a node does; the caller resends a failed one to another node."""
        quarantine_node = self.nodes[node]
        usable = [
            backend
            for backend in self.backends.values()
            if backend.down_until <= self.loop.time()
            and quarantine_node.may_place(digest, backend.view)
        ]
        if not usable:
            return "no runner"
        backend = min(usable, key=lambda item: len(item.running))
        unaware = quarantine_node.table.find(digest) is None
        try:
            async with quarantine_node.guarded(digest, backend.view):
                await self.execute(digest, backend, unaware, duration_s)
        except exceptions.RunnerFailedError as error:
            if resends:
                following = NODES[(NODES.index(node) + 1) % len(NODES)]
                return await self.submit(following, digest, resends - 1, duration_s)
            return error.code
        except exceptions.DogwoodgapError as error:
            return error.code
        return "done"

    def start(self, node: str, digest: str, resends: int = 0, duration_s: float = 1.0):
        task = self.loop.create_task(self.submit(node, digest, resends, duration_s))
        self.tasks.append(task)
        return task

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*self.tasks, return_exceptions=True))
        self.loop.close()


class QuarantineMachine(stateful.RuleBasedStateMachine):
    """Random requests, resends, platform outages and pauses."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @stateful.rule(
        node=st.sampled_from(NODES),
        digest=st.sampled_from(POISON + HARMLESS),
        resends=st.integers(0, 5),
        duration_s=st.sampled_from([0.1, 1.0, 5.0]),
    )
    def send(self, node, digest, resends, duration_s):
        self.world.start(node, digest, resends, duration_s)

    @stateful.rule(seconds=st.sampled_from([0.01, 0.1, 0.5, 2.0, 10.0, 100.0]))
    def wait(self, seconds):
        self.world.loop.advance(seconds)

    @stateful.rule(outage=st.booleans())
    def switch_platform(self, outage):
        self.world.table.faults.outage = outage

    @stateful.invariant()
    def at_most_two_runners_are_lost(self):
        """More runners may be lost only to requests sent before a node knew of a crash."""
        for digest, count in self.world.lost.items():
            assert count <= max(2, self.world.unaware_lost[digest]), digest

    def teardown(self):
        try:
            self.check_end()
        finally:
            self.world.close()

    def check_end(self):
        """Check that harmless requests run on all nodes and poisonous ones are refused."""
        world = self.world
        world.table.faults.outage = False
        world.loop.advance(700.0)
        for digest in HARMLESS:
            if world.bystander_crashes[digest] > 1:
                continue
            for node in NODES:
                task = world.start(node, digest)
                world.loop.advance(100.0)
                assert task.result() == "done", (node, digest)
            known = [node.table.find(digest) for node in world.nodes.values()]
            assert known == [None] * len(NODES)
        self.at_most_two_runners_are_lost()
        for digest in POISON:
            before = world.lost[digest]
            if before >= 2:
                results = [world.start(node, digest) for node in NODES]
                world.loop.advance(100.0)
                assert [task.result() for task in results] == ["quarantined"] * len(NODES)


QuarantineMachine.TestCase.settings = settings(
    derandomize=True, max_examples=120, stateful_step_count=30, deadline=None
)
TestQuarantine = QuarantineMachine.TestCase


def test_resends_through_all_entry_nodes_lose_two_runners():
    """Guards against resends to nodes that do not know of the crash yet."""
    world = World()
    tasks = [world.start("a", "poison1", resends=8), world.start("b", "plain1")]
    world.loop.advance(60.0)
    assert world.lost["poison1"] == 2
    for node in NODES:
        with pytest.raises(exceptions.QuarantinedError):
            world.nodes[node].table.check("poison1")
        world.nodes[node].table.check("plain1")
    assert all(task.done() for task in tasks)
    world.loop.advance(suspects.QUARANTINE_S)
    world.nodes["c"].table.check("poison1")
    world.close()


def test_platform_outage_prevents_second_runs():
    """Guards against running a suspect again while its claim cannot be stored."""
    world = World()
    world.start("a", "poison1")
    world.loop.advance(5.0)
    world.table.faults.outage = True
    task = world.start("b", "poison1")
    world.loop.advance(5.0)
    assert task.result() == "store-unavailable"
    assert world.lost["poison1"] == 1
    world.close()


def test_suspect_runs_again_once_the_boot_that_held_its_claim_is_over():
    """Guards against a suspect that stays blocked by the claim of a dead node."""
    loop = VirtualLoop()
    ended: set[shards.Owner] = set()
    claims = suspects.ClaimStore(objects.MemoryObjectStore(), loop.time, is_over=ended.__contains__)
    dead, living = shards.Owner("a", "boot1"), shards.Owner("b", "boot1")
    loop.run_until_complete(claims.acquire("plain1", [], "a/run", dead))
    with pytest.raises(exceptions.OverloadedError):
        loop.run_until_complete(claims.acquire("plain1", [], "b/run", living))
    ended.add(dead)
    claim = loop.run_until_complete(claims.acquire("plain1", [], "b/run", living))
    assert (claim.holder, claim.held_by) == ("b/run", living)
    with pytest.raises(exceptions.OverloadedError):
        loop.run_until_complete(claims.acquire("plain1", [], "c/run", shards.Owner("c", "x")))
    loop.close()
