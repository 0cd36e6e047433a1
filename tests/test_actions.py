"""At-most-once actions: duplicates, lost replies, crashes and takeovers against a ledger."""

import collections

import anyio
import callers
import hypothesis
import pytest
import virtual_time
from hypothesis import stateful, strategies

from dogwoodgap import clock, exceptions, intents, journal, structures
from dogwoodgap_lab import objects

DEADLINE_S = 2.0
FAULTS = ["", "", "unreachable", "lost reply", "503", "hang"]


def make_action(key="k1", payload=1, deadline_s=DEADLINE_S, **fields):
    """Return an action; it is non-idempotent when it has a key."""
    return intents.Action(
        "c", key, "plain", "book", payload, deadline_at=clock.now() + deadline_s, **fields
    )


async def outcome_of(node, action):
    """Return the result or the error of an action."""
    try:
        return await node.intents.run(action)
    except exceptions.DogwoodgapError as error:
        return error


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Each rule runs one boot of a node, which takes over from the previous boot.

    Results are checked against the ledger of the service, which has one entry per execution.
    """

    def __init__(self):
        super().__init__()
        self.store = objects.MemoryObjectStore()
        self.boots = 0
        self.ledger = []
        self.bodies = {}
        self.refused = set()

    async def take_over(self, tasks):
        """Start a node that has sealed and loaded the journals of all earlier boots."""
        self.boots += 1
        node = callers.Harness(tasks, self.store, f"b{self.boots}")
        for boot in range(1, self.boots):
            await journal.seal(self.store, "n1", f"b{boot}", 1, "n1/next")
            for segment in await journal.replay(self.store, "n1", f"b{boot}"):
                for record in segment.records:
                    node.table.apply(record)
        node.service.ledger = self.ledger
        return node

    @stateful.rule(
        keys=strategies.lists(strategies.integers(1, 4), min_size=1, max_size=4),
        payload=strategies.sampled_from([1, 1, 1, 2]),
        faults=strategies.lists(strategies.sampled_from(FAULTS), max_size=6),
        crash=strategies.sampled_from(["", "", "before send", "after send", "soon"]),
        outage=strategies.booleans(),
        answers=strategies.booleans(),
    )
    def send(self, keys, payload, faults, crash, outage, answers):
        """Send concurrent actions, some of them twice, to a node that may crash."""

        async def main():
            async with anyio.create_task_group() as tasks:
                node = await self.take_over(tasks)
                node.service.faults = list(faults)
                node.config.services["plain"].answers_outcomes = answers
                if crash == "after send":
                    node.service.on_execute = tasks.cancel_scope.cancel
                if crash == "before send":
                    views = node.runners["plain"]
                    node.intents.runners = lambda service: (tasks.cancel_scope.cancel(), views)[1]
                if outage:
                    node.store.faults.outage = True
                    tasks.start_soon(self.end_outage, DEADLINE_S + 1.0)
                async with anyio.create_task_group() as senders:
                    for number in keys:
                        senders.start_soon(self.send_one, node, f"k{number}", payload)
                    if crash == "soon":
                        await anyio.sleep(0.02)
                        tasks.cancel_scope.cancel()
                # Lets the staged records of refused actions reach the journal before the next boot.
                await anyio.sleep(3.0)
                tasks.cancel_scope.cancel()

        self.store.faults.outage = False
        virtual_time.run(main)

    async def end_outage(self, seconds):
        """End an outage of the platform."""
        await anyio.sleep(seconds)
        self.store.faults.outage = False

    async def send_one(self, node, key, payload):
        """Send one action and check its result against the ledger."""
        before = [entry for entry in self.ledger if entry[0] == key]
        result = await outcome_of(node, make_action(key, payload))
        executed = [entry for entry in self.ledger if entry[0] == key]
        if isinstance(result, exceptions.KeyConflictError):
            assert not executed or executed[0][2] != payload or len(before) == len(executed)
        elif result.not_run == "true":
            assert executed == []
            self.refused.add(key)
        elif isinstance(result, structures.ActionResult) and result.not_run == "false":
            assert [entry[2] for entry in executed] == [payload]

    @stateful.invariant()
    def never_twice(self):
        """Check that no key was executed twice, or executed after it was refused as not run."""
        counts = collections.Counter(entry[0] for entry in self.ledger)
        assert all(count == 1 for count in counts.values())
        assert not self.refused & set(counts)


AtMostOnce.TestCase.settings = hypothesis.settings(
    derandomize=True, max_examples=60, stateful_step_count=6, deadline=None
)
TestAtMostOnce = AtMostOnce.TestCase


def test_paused_owner_does_not_send_after_a_takeover():
    """Guards against an owner that resumes after a takeover and sends an unrecorded action."""

    async def main():
        async with callers.harness() as node:
            node.store.faults.outage = True
            results = []

            async def send():
                results.append(await outcome_of(node, make_action(deadline_s=9.0)))

            node.tasks.start_soon(send)
            await anyio.sleep(0.5)
            node.store.faults.outage = False
            await journal.seal(node.store, "n1", "b1", 1, "n2/b2")
            await anyio.sleep(5)
            assert isinstance(results[0], exceptions.JournalSealedError)
            assert results[0].not_run == "unknown"
            assert node.service.ledger == []

    virtual_time.run(main)


def test_unknown_outcome_is_never_reported_as_not_run():
    """Guards against "not run" for an action that was sent, and against a second send."""

    async def main():
        async with callers.harness() as node:
            node.service.faults = ["lost reply"]
            with pytest.raises(exceptions.OutcomeUnknownError) as caught:
                await node.intents.run(make_action())
            assert caught.value.not_run == "unknown"
            with pytest.raises(exceptions.OutcomeUnknownError):
                await node.intents.run(make_action())
            with pytest.raises(exceptions.KeyConflictError):
                await node.intents.run(make_action(payload=2))
            node.config.services["plain"].answers_outcomes = True
            assert (await node.intents.run(make_action())).body == {"found": "k1"}
            assert len(node.service.ledger) == 1

    virtual_time.run(main)


def test_result_is_returned_only_when_it_is_stored():
    """Guards against returning a result that is lost when the node dies before storing it."""

    async def main():
        async with callers.harness() as node:
            node.service.on_execute = lambda: setattr(node.store.faults, "outage", True)
            with pytest.raises(exceptions.StoreUnavailableError) as caught:
                await node.intents.run(make_action())
            assert caught.value.not_run == "false"
            node.store.faults.outage = False
            assert (await node.intents.run(make_action())).status == 200
            assert len(node.service.ledger) == 1

    virtual_time.run(main)


def test_urgent_action_skips_hanging_and_unreachable_runners_in_an_outage():
    """Guards against a lost urgent action while the platform and some runners are down."""

    async def main():
        async with callers.harness() as node:
            node.store.faults.outage = True
            node.service.faults = ["hang", "unreachable", "503"]
            result = await node.idempotent.run(make_action(key="", urgent=True, deadline_s=3.0))
            assert result.status == 200
            node.service.faults = ["unreachable"] * 500
            with pytest.raises(exceptions.DeadlinePassedError) as caught:
                await node.idempotent.run(make_action(key="", urgent=True, deadline_s=1.0))
            assert caught.value.not_run == "true"

    virtual_time.run(main)


def test_action_of_a_program_runs_once_and_in_order():
    """Guards against program actions that run twice, out of order or under a used number."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            with pytest.raises(exceptions.SequenceGapError):
                await node.actions.run(program, 2, make_action(), "")
            async with anyio.create_task_group() as senders:
                for _ in range(2):
                    senders.start_soon(node.actions.run, program, 1, make_action(), "")
            assert len(node.service.ledger) == 1
            assert (await node.actions.run(program, 1, make_action(), "")).status == 200
            for other in (make_action(payload=2), make_action(key="k2")):
                with pytest.raises(exceptions.SequenceConflictError):
                    await node.actions.run(program, 1, other, "")
            with pytest.raises(exceptions.SequenceConflictError):
                node.calls.submit(program, callers.request(1), 1.0)
            await node.calls.submit(program, callers.request(2), 9.0).result()
            assert len(node.service.ledger) == 1

    virtual_time.run(main)


def test_number_of_a_refused_action_can_be_used_again():
    """Guards against a program that cannot continue after an action was refused as not run."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            node.store.faults.outage = True
            with pytest.raises(exceptions.StoreUnavailableError) as caught:
                await node.actions.run(program, 1, make_action(), "")
            assert caught.value.not_run == "true"
            node.store.faults.outage = False
            await node.calls.submit(program, callers.request(1), 9.0).result()
            node.service.faults = ["lost reply"]
            result = await node.actions.run(program, 2, make_action("k2"), "")
            assert (result.code, result.not_run) == ("outcome-unknown", "unknown")
            await node.calls.submit(program, callers.request(3, "go on"), 9.0).result()
            node.config.services["plain"].answers_outcomes = True
            assert (await node.actions.run(program, 2, make_action("k2"), "")).status == 200
            assert program.next_seq == 4

    virtual_time.run(main)


def test_repeated_action_gets_its_own_result_while_the_next_one_runs():
    """Guards against the result of another action for a request that is repeated late."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            first = await node.actions.run(program, 1, make_action("k1"), "")
            async with anyio.create_task_group() as senders:
                senders.start_soon(node.actions.run, program, 2, make_action("k2"), "")
                await anyio.sleep(node.service.delay_s / 2)
                assert node.actions.has_running_action(program)
                assert await node.actions.run(program, 1, make_action("k1"), "") == first
            assert len(node.service.ledger) == 2

    virtual_time.run(main)
