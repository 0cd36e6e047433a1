"""Fleet configuration under concurrent operators, lost replies, outages and restarts."""

import zlib

import anyio
import fake_network
import hypothesis
import msgspec
import pytest
import virtual_time
from hypothesis import stateful
from hypothesis import strategies as st

from dogwoodgap import (
    clock,
    configuration,
    editor,
    exceptions,
    membership,
    models,
    revisions,
    settings,
)
from dogwoodgap_lab import objects

NODES = 4
IN_FORCE_LIMIT_S = 5.0


def with_profile(name, weight=1.0):
    profiles = {"default": models.Profile(), name: models.Profile(latency_weight=weight)}
    return models.FleetConfiguration(profiles=profiles)


class Node:
    """Membership and configuration of one boot, with the generations that were applied."""

    def __init__(self, fleet, number, boot, min_generation):
        section = {"name": f"n{number}", "data_centre": f"d{number % 2}"}
        section["peer_address"] = f"10.0.0.{number}:1"
        section["seeds"] = ["10.0.0.0:1", "10.0.0.1:1"]
        node_settings = settings.NodeSettings.model_validate(
            {"node": section, "platform": {"url": "http://platform"}}
        )
        network = fake_network.FakeNetwork(fleet.shared_network, section["peer_address"])
        hooks = membership.Hooks()
        self.membership = membership.Membership(node_settings, boot, network, hooks=hooks)
        self.configuration = configuration.Configuration(
            section["name"],
            section["data_centre"],
            fleet.store,
            network,
            self.membership.alive,
            watches_per_data_centre=1,
        )
        hooks.generation = self.configuration.known_generation
        hooks.on_generation = self.configuration.on_higher_generation
        self.configuration.subscribe(lambda current: self.membership.ping_partners())
        self.configuration.subscribe(lambda current: self.applied.append(current.generation))
        self.applied = []
        self.min_generation = min_generation
        self.scope = anyio.CancelScope()

    async def run(self):
        with self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.membership.run)
                tasks.start_soon(self.configuration.run)
                await self.configuration.ready.wait()
                assert self.configuration.generation >= self.min_generation, (
                    "ready with an old generation"
                )


class DelayedReadTable(objects.MemoryObjectStore):
    """Object table whose read replies are delayed at random, so that they arrive out of order."""

    max_read_delay_s = 0.0

    async def get(self, key):
        stored = await super().get(key)
        await anyio.sleep(self.random.uniform(0.0, self.max_read_delay_s))
        return stored


class Fleet:
    """Nodes, the platform, and the authors of accepted and refused updates to check against."""

    def __init__(self, tasks, seed=1):
        self.tasks = tasks
        self.shared_network = fake_network.SharedNetwork()
        self.store = DelayedReadTable(seed=seed)
        self.store.faults.delay_s = 0.002
        self.nodes = {}
        self.boots = 0
        self.accepted = {}
        self.refused = set()
        self.updates = 0
        for number in range(NODES):
            self.start(number)

    def start(self, number, min_generation=0):
        self.boots += 1
        self.nodes[number] = Node(self, number, f"b{self.boots}", min_generation)
        self.tasks.start_soon(self.nodes[number].run)

    def restart(self, number):
        """Kill a node and start a new boot, which must not become ready with an old generation."""
        self.nodes[number].scope.cancel()
        others = [node for other, node in self.nodes.items() if other != number]
        min_generation = max(node.configuration.generation for node in others)
        self.start(number, min_generation)

    async def update(self, number, expected):
        """Update the configuration as a new operator and record whether it was accepted."""
        self.updates += 1
        author = f"operator-{self.updates}"
        target = self.nodes[number].configuration
        try:
            generation = await target.update(with_profile(author), expected, author)
        except exceptions.StoreUnavailableError as error:
            if error.not_run == "true":
                self.refused.add(author)
            return
        except exceptions.ConfigurationConflictError:
            self.refused.add(author)
            return
        assert generation not in self.accepted, "two operators won one generation"
        self.accepted[generation] = author

    async def race(self, numbers):
        expected = self.nodes[numbers[0]].configuration.generation
        async with anyio.create_task_group() as tasks:
            for number in numbers:
                tasks.start_soon(self.update, number, expected)

    async def check(self):
        """End the faults and compare the nodes and the history with the recorded updates."""
        self.store.faults = objects.StoreFaults(delay_s=0.002)
        self.store.max_read_delay_s = 0.0
        self.shared_network.delay_s = 0.001
        await anyio.sleep(IN_FORCE_LIMIT_S)
        current = await editor.RevisionStore(self.store).read()
        generations = {node.configuration.generation for node in self.nodes.values()}
        assert generations == {current.revision.generation}
        for entry in await self.nodes[0].configuration.in_force():
            assert entry.generation == current.revision.generation
        for node in self.nodes.values():
            assert node.applied == sorted(set(node.applied)), "a node reverted"
        history = await self.nodes[0].configuration.history(1000)
        expected = list(range(current.revision.generation, 0, -1)) or [0]
        assert [revision.generation for revision in history] == expected, "history has a gap"
        authors = {revision.generation: revision.author for revision in history}
        assert not self.refused & set(authors.values()), "a refused change is in force"
        for generation, author in self.accepted.items():
            assert authors[generation] == author, "an accepted generation was overwritten"


class ConfigurationMachine(stateful.RuleBasedStateMachine):
    """Collects steps and runs them on virtual time in ``teardown``.

    Guards against a lost, duplicated or reverted generation, and against a node that does not apply
    an accepted one within 5 s after the faults end.
    """

    def __init__(self):
        super().__init__()
        self.steps = []

    @stateful.rule(numbers=st.lists(st.integers(0, NODES - 1), min_size=1, max_size=3))
    def race(self, numbers):
        self.steps.append(lambda fleet: fleet.race(numbers))

    @stateful.rule(share=st.sampled_from([0.0, 0.3, 0.9]))
    def lose_replies(self, share):
        async def step(fleet):
            fleet.store.faults.lost_replies = share

        self.steps.append(step)

    @stateful.rule(
        max_read_delay_s=st.sampled_from([0.0, 0.5]), delay_s=st.sampled_from([0.001, 0.2])
    )
    def delay(self, max_read_delay_s, delay_s):
        async def step(fleet):
            fleet.store.max_read_delay_s = max_read_delay_s
            fleet.shared_network.delay_s = delay_s

        self.steps.append(step)

    @stateful.rule(outage=st.booleans())
    def outage(self, outage):
        async def step(fleet):
            fleet.store.faults.outage = outage

        self.steps.append(step)

    @stateful.rule(number=st.integers(0, NODES - 1))
    def restart(self, number):
        async def step(fleet):
            fleet.restart(number)

        self.steps.append(step)

    @stateful.rule(number=st.integers(0, NODES - 1), after_s=st.sampled_from([0.001, 0.005, 0.3]))
    def kill_during_update(self, number, after_s):
        """Kill the node during an update, so that its operator gets no reply."""

        async def step(fleet):
            with anyio.move_on_after(after_s):
                await fleet.race([number])
            fleet.restart(number)

        self.steps.append(step)

    @stateful.rule(seconds=st.sampled_from([0.01, 0.4, 3.0]))
    def wait(self, seconds):
        self.steps.append(lambda fleet: anyio.sleep(seconds))

    def teardown(self):
        async def main():
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(tasks)
                await anyio.sleep(0.5)
                for step in self.steps:
                    await step(fleet)
                await fleet.check()
                tasks.cancel_scope.cancel()

        virtual_time.run(main)


ConfigurationMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=30,
    stateful_step_count=10,
    deadline=None,
    phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
)
TestConfiguration = ConfigurationMachine.TestCase


def with_fleet(body):
    """Run a test body on virtual time with a fleet of ready nodes."""

    def test():
        async def main():
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(tasks)
                await anyio.sleep(1)
                await body(fleet)
                tasks.cancel_scope.cancel()

        virtual_time.run(main)

    test.__doc__ = body.__doc__
    return test


@with_fleet
async def test_conflict_error_lists_the_changes_of_the_other_operator(fleet):
    """Guards against a conflict error without the changes of the other operator."""
    target = fleet.nodes[0].configuration
    await target.update(with_profile("evening", 1.0), 0, "anna")
    await target.update(with_profile("evening", 2.0), 1, "anna")
    with pytest.raises(exceptions.ConfigurationConflictError) as caught:
        await fleet.nodes[1].configuration.update(with_profile("night"), 1, "boris")
    change = revisions.PathChange("profiles.evening.latency_weight", 1.0, 2.0)
    assert caught.value.changes == [change]
    assert caught.value.generation == 2
    assert change.path in caught.value.detail
    assert await target.rollback(1, 2, "boris") == 3
    assert revisions.diff(await target.get(1), await target.get(3)) == []


@with_fleet
async def test_lost_reply_is_resolved_after_later_updates(fleet):
    """Guards against an accepted update reported as a conflict after a later update replaced it."""
    put = fleet.store.put

    async def put_and_lose_reply(key, data, *, expected=None):
        version = await put(key, data, expected=expected)
        if key == revisions.CURRENT_KEY:
            fleet.store.put = put
            await fleet.nodes[1].configuration.update(with_profile("night"), 1, "boris")
            raise exceptions.StoreUnavailableError("reply lost after the write; read back")
        return version

    fleet.store.put = put_and_lose_reply
    assert await fleet.nodes[0].configuration.update(with_profile("evening"), 0, "anna") == 1
    await anyio.sleep(1)
    history = await fleet.nodes[2].configuration.history()
    assert [(entry.generation, entry.author) for entry in history] == [(2, "boris"), (1, "anna")]


@with_fleet
async def test_generation_is_in_force_within_half_a_second(fleet):
    """Guards against a change that reaches nodes without a watch only by the 30 s poll."""
    await fleet.nodes[3].configuration.update(with_profile("evening"), 0, "anna")
    await anyio.sleep(0.5)
    assert {entry.generation for entry in await fleet.nodes[0].configuration.in_force()} == {1}


@with_fleet
async def test_only_the_configured_number_of_nodes_watch(fleet):
    """Guards against a watch by every node, which would exceed the platform's read rate."""
    await anyio.sleep(60)
    before = dict(fleet.store.calls)
    await anyio.sleep(100)
    assert fleet.store.calls["watch"] - before["watch"] <= 2 * 11
    assert fleet.store.calls["read"] - before["read"] <= NODES * 4


@with_fleet
async def test_invalid_stored_document_changes_nothing(fleet):
    """Guards against a node that replaces its configuration by an invalid stored one."""
    target = fleet.nodes[0].configuration
    await target.update(with_profile("evening"), 0, "anna")
    current = await editor.RevisionStore(fleet.store).read()
    invalid = msgspec.structs.replace(
        current.revision, generation=2, document=msgspec.Raw(b'{"profiles": 3}')
    )
    await fleet.store.put(revisions.CURRENT_KEY, revisions.encode(invalid))
    await anyio.sleep(3)
    for node in fleet.nodes.values():
        assert node.configuration.generation == 1
        assert "evening" in node.configuration.current.profiles
    assert await target.update(with_profile("repaired"), 2, "anna") == 3


def test_starting_node_without_platform_and_peers_is_not_ready():
    """Guards against a node that serves requests with the empty default configuration."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            fleet.store.faults.outage = True
            await anyio.sleep(30)
            assert not any(node.configuration.ready.is_set() for node in fleet.nodes.values())
            fleet.store.faults.outage = False
            before = clock.now()
            for node in fleet.nodes.values():
                await node.configuration.ready.wait()
            assert clock.now() - before < 3
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


@with_fleet
async def test_node_started_in_an_outage_gets_the_newest_generation(fleet):
    """Guards against a start with the first peer's generation, which may be an old one."""
    await fleet.race([3])
    fleet.store.faults.outage = True
    fleet.restart(0)
    await fleet.nodes[0].configuration.ready.wait()
    assert fleet.nodes[0].configuration.generation == 1


@with_fleet
async def test_history_is_bounded(fleet):
    """Guards against history objects that are never deleted."""
    revision_store = editor.RevisionStore(fleet.store)
    for generation in range(editor.HISTORY_LIMIT + 5):
        await revision_store.update(with_profile("evening"), generation, "anna")
    keys = [key for key in fleet.store.objects if key.startswith(revisions.HISTORY_PREFIX)]
    assert len(keys) <= editor.HISTORY_LIMIT


def test_stored_form_is_compressed_bounded_and_reads_older_forms():
    """Guards against damaged, oversized or older stored forms that are read wrongly or accepted."""
    document = revisions.encode_document(with_profile("x"), 3)
    revision = revisions.Revision(3, "n", "a", 1.0, "", document)
    data = revisions.encode(revision)
    assert len(data) < len(bytes(document))
    assert revisions.decode(data) == revision
    assert revisions.decode(msgspec.json.encode(revision)) == revision
    oversized = zlib.compress(b" " * (revisions.MAX_DOCUMENT_BYTES + 1))
    for damaged in (data[:-4], data[:20], oversized):
        with pytest.raises(exceptions.SettingsInvalidError):
            revisions.decode(damaged)
    long_note = "x" * revisions.MAX_DOCUMENT_BYTES
    with pytest.raises(exceptions.SettingsInvalidError, match="remove entries"):
        revisions.encode(revisions.Revision(3, "n", "a", 1.0, long_note, document))


def test_poll_reads_only_a_document_that_changed():
    """Guards against polls that read an unchanged document, and that miss a change."""

    class CountingTable(objects.MemoryObjectStore):
        documents = 0

        async def get(self, key):
            self.documents += 1
            return await super().get(key)

    async def main():
        table = CountingTable()
        network = fake_network.FakeNetwork(fake_network.SharedNetwork(), "10.0.0.1:1")
        target = configuration.Configuration("n", "d", table, network, list)
        writer = editor.RevisionStore(table)
        for generation in range(2):
            await writer.update(with_profile("x", generation), generation, "anna")
            before = table.documents
            for _ in range(10):
                await target.poll()
            assert target.generation == generation + 1
            assert table.documents == before + 1

    virtual_time.run(main)
