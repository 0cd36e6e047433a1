"""Model calls: sequence numbers, budget, retries, storage and limits."""

import contextlib

import anyio
import callers
import hypothesis
import pytest
import virtual_time
from hypothesis import strategies

from dogwoodgap import adapters, clock, exceptions, models, programs, protection, structures


def test_repeat_attaches_and_sequence_is_enforced():
    """Guards against a call that runs twice, out of order, or concurrently with another one."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            first = node.calls.submit(program, callers.request(), 10.0)
            assert node.calls.submit(program, callers.request(), 10.0) is first
            with pytest.raises(exceptions.SequenceConflictError):
                node.calls.submit(program, callers.request(text="other"), 10.0)
            with pytest.raises(exceptions.SequenceGapError):
                node.calls.submit(program, callers.request(seq=2), 10.0)
            turn = await first.result()
            again = node.calls.submit(program, callers.request(), 10.0)
            assert (await again.result()) == turn
            assert len(node.engine.requests) == 1
            await node.calls.submit(program, callers.request(seq=2, text="more"), 10.0).result()
            sent = [message.content for message in node.engine.requests[1][1].messages]
            assert sent == ["hello", turn.text, "more"]

    virtual_time.run(main)


@pytest.mark.parametrize(
    "broken", [callers.ScriptedAnswer(break_after=2), callers.ScriptedAnswer(index_error=True)]
)
def test_call_resumes_on_another_runner(broken):
    """Guards against lost, repeated or misordered tokens after a runner failed."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            node.engine.script = [broken]
            running = node.calls.submit(program, callers.request(), 10.0)
            indexes = [token.index async for batch in running.follow() for token in batch]
            assert indexes == [0, 1, 2, 3, 4]
            assert running.turn.text == "w0 w1 w2 w3 w4 "
            (first, _), (second, resumed) = node.engine.requests
            assert first != second
            assert resumed.resume_from == (broken.break_after or 0)

    virtual_time.run(main)


def test_chunk_of_another_request_is_rejected():
    """Guards against an answer that mixes in the chunks of another request."""
    runner = structures.RunnerView("llm", "r", "http://r", "a", 1, 1)
    request = adapters.GenerationRequest("mine", "llm", [], 1, 0, "s")
    parser = adapters.EventParser(runner, request)
    event = b'data: {"id":"mine","choices":[{"delta":{"content":"a"}}],"index":0}\n\n'
    assert parser.feed(event[:20]) == []
    assert parser.feed(event[20:]) == [adapters.Chunk(0, "a")]
    with pytest.raises(exceptions.RunnerFailedError):
        parser.feed(event.replace(b"mine", b"late"))


def test_outage_while_a_turn_is_stored():
    """Guards against an acknowledged turn that exists only in memory, and against a second run."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            running = node.calls.submit(program, callers.request(), 1.0)
            await anyio.sleep(0.05)
            node.store.faults.outage = True
            with pytest.raises(exceptions.StoreUnavailableError) as caught:
                await running.result(clock.now() + 1.0)
            assert caught.value.not_run == "false"
            assert node.calls.stored_turns(program) == []
            node.store.faults.outage = False
            again = node.calls.submit(program, callers.request(), 5.0)
            assert (await again.result(clock.now() + 5.0)).output_tokens == 5
            assert len(node.engine.requests) == 1
            assert len(node.calls.stored_turns(program)) == 1

    virtual_time.run(main)


def test_outage_before_the_start_is_refused_as_not_run():
    """Guards against sending a call after its caller was told "not run" during an outage."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            node.store.faults.outage = True
            running = node.calls.submit(program, callers.request(), 1.0)
            with pytest.raises(exceptions.StoreUnavailableError) as caught:
                await running.result()
            assert caught.value.not_run == "true"
            node.store.faults.outage = False
            await anyio.sleep(5)
            assert node.engine.requests == []
            assert node.table.remaining_tokens(program) == program.budget_tokens
            await node.calls.submit(program, callers.request(text="again"), 5.0).result()

    virtual_time.run(main)


def test_refusal_after_a_failed_attempt_is_not_reported_as_not_run():
    """Guards against "not run" from the scheduler after an earlier attempt reached a runner."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            node.engine.script = [callers.ScriptedAnswer(break_after=1)]
            dispatcher = node.calls.dispatchers["llm"]
            acquire = dispatcher.acquire

            async def refuse_second(item):
                if item.exclude:
                    raise exceptions.OverloadedError("full")
                return await acquire(item)

            dispatcher.acquire = refuse_second
            running = node.calls.submit(program, callers.request(), 1.0)
            with pytest.raises(exceptions.OverloadedError) as caught:
                await running.result()
            assert caught.value.not_run == "unknown"
            assert node.table.root(program).spent_tokens > 0

    virtual_time.run(main)


def test_call_continues_after_its_caller_disconnects():
    """Guards against a turn that is lost because the caller disconnected."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            running = node.calls.submit(program, callers.request(), 10.0)
            with anyio.move_on_after(0.05):
                await running.result()
            await running.closed.wait()
            assert len(node.calls.stored_turns(program)) == 1

    virtual_time.run(main)


def test_call_of_a_moved_program_fails_without_stopping_the_node():
    """Guards against a node that crashes because a shard moved away while a call ran."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            running = node.calls.submit(program, callers.request(), 10.0)
            await anyio.sleep(0.05)
            node.table.programs.clear()
            with pytest.raises(exceptions.DogwoodgapError) as caught:
                await running.result()
            assert caught.value.not_run == "unknown"
            assert (await node.program("other")).id == "other"

    virtual_time.run(main)


def test_end_cancels_the_call_then_retries_the_release():
    """Guards against cache held for ended programs, also when a release request is lost."""

    async def main():
        async with callers.harness() as node:
            program = await node.program()
            child = await node.program(name=None, parent="p")
            node.engine.release_failures = 2
            running = node.calls.submit(child, callers.request(max_tokens=50), 10.0)
            await anyio.sleep(0.1)
            await node.lifecycle.end(program, structures.ProgramStatus.CANCELLED, "test")
            with pytest.raises(exceptions.ProgramFinishedError) as caught:
                await running.result()
            assert caught.value.not_run == "false"
            with pytest.raises(exceptions.ProgramFinishedError):
                node.calls.submit(child, callers.request(text="x"), 1.0)
            await anyio.sleep(5)
            assert node.engine.released == [("r0", "c/p.1")]
            assert node.engine.open_at_release == [0, 0, 0]
            assert not node.engine_cache.pending

    virtual_time.run(main)


def test_limits_end_a_program():
    """Guards against programs that loop or stay idle forever."""

    async def main():
        async with callers.harness(max_turns=3, max_repeats=2, idle_seconds=30.0) as node:
            node.tasks.start_soon(node.lifecycle.sweep)
            turns = await node.program("turns")
            looping = await node.program("looping")
            for seq in range(1, 4):
                await node.calls.submit(turns, callers.request(seq, f"t{seq}"), 9.0).result()
            for seq in (1, 2):
                await node.calls.submit(looping, callers.request(seq), 9.0).result()
            digest = programs.digest_of("new")
            with pytest.raises(exceptions.ProgramLimitError):
                node.lifecycle.check_limits(turns, digest)
            node.lifecycle.check_limits(looping, digest)
            with pytest.raises(exceptions.ProgramLimitError):
                node.lifecycle.check_limits(looping, looping.calls[1].digest)
            idle = await node.program("idle")
            parent = await node.program("parent")
            child = await node.program(None, parent="parent")
            overdue = await node.program("overdue", deadline_seconds=40.0)
            working = node.calls.submit(child, callers.request(max_tokens=3000), 99.0)
            for _ in range(4):
                await anyio.sleep(10)
                node.lifecycle.touch(overdue)
            assert idle.status == structures.ProgramStatus.LIMITED
            assert parent.status == structures.ProgramStatus.ACTIVE
            await working.result()
            await anyio.sleep(2)
            assert overdue.reason.startswith("deadline")
            await anyio.sleep(31)
            assert parent.status == structures.ProgramStatus.LIMITED
            assert node.engine.open == 0

    virtual_time.run(main)


def test_children_are_numbered_limited_and_idempotent():
    """Guards against a second child after a repeated request, and against unlimited children."""

    async def main():
        async with callers.harness(max_children=2) as node:
            await node.program()
            first = await node.program("1", parent="p")
            assert await node.program("1", parent="p") is first
            assert (await node.program(None, parent="p")).id == "p.2"
            assert (await node.program(None, parent="p.2")).id == "p.2.1"
            with pytest.raises(exceptions.ChildLimitError):
                await node.program(None, parent="p")
            with pytest.raises(exceptions.InvalidRequestError):
                await node.program("a.b")
            with pytest.raises(exceptions.InvalidRequestError):
                await node.program("9", parent="p")

    virtual_time.run(main)


def test_repeated_creation_waits_for_the_store():
    """Guards against acknowledging a repeated creation before the program is stored."""

    async def main():
        async with callers.harness() as node:
            node.store.faults.outage = True
            for _ in range(2):
                with pytest.raises(exceptions.StoreUnavailableError):
                    await node.program()
            node.store.faults.outage = False
            assert (await node.program()).id == "p"
            node.config.profiles["other"] = models.Profile()
            with pytest.raises(exceptions.ConflictError):
                await node.program(profile="other")

    virtual_time.run(main)


STEP = strategies.tuples(
    strategies.integers(0, 2),
    strategies.integers(1, 12),
    strategies.sampled_from([None, 0, 1, 3]),
    strategies.floats(0.0, 0.2),
)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(steps=strategies.lists(STEP, max_size=12), budget=strategies.integers(10, 150))
def test_budget_holds_for_the_whole_tree(steps, budget):
    """Guards against parallel children or failed calls that spend more than the budget."""

    async def main():
        async with callers.harness() as node:
            root = await node.program(budget_tokens=budget)
            tree = [root, await node.program(None, parent="p"), await node.program(None, "p")]
            for number, max_tokens, break_after, pause in steps:
                program = tree[number]
                if break_after is not None:
                    node.engine.script = [callers.ScriptedAnswer(break_after=break_after)] * 3
                request = callers.request(program.next_seq, "x", max_tokens)
                try:
                    node.calls.submit(program, request, 1.0)
                except exceptions.BudgetExceededError:
                    assert node.table.remaining_tokens(root) < 1 + 8 + max_tokens
                except exceptions.ConflictError:
                    assert programs.key_of(program) in node.calls.running
                await anyio.sleep(pause)
                assert root.spent_tokens + root.reserved_tokens <= budget
                assert root.reserved_tokens >= 0
            for running in list(node.calls.running.values()):
                await running.closed.wait()
            assert root.reserved_tokens == 0
            assert root.spent_tokens <= budget

    virtual_time.run(main)


class OneAtATimeProtection(protection.NoProtection):
    """Allows one request at a time on the runner ``r1`` and none on other runners."""

    def __init__(self):
        self.running = 0

    @contextlib.asynccontextmanager
    async def protect(self, runner, digest, *, urgent=False, expected_s=0.0):
        if runner.id != "r1" or self.running:
            raise exceptions.OverloadedError("runner is reserved", not_run="true")
        self.running += 1
        try:
            yield
        finally:
            self.running -= 1


def test_request_refused_by_the_quarantine_waits_and_is_retried():
    """Guards against equal requests of several programs that fail while one of them runs."""

    async def main():
        async with callers.harness() as node:
            node.calls.protection = OneAtATimeProtection()
            names = [f"p{number}" for number in range(4)]
            running = [
                node.calls.submit(await node.program(name), callers.request(), 20.0)
                for name in names
            ]
            turns = [await call.result() for call in running]
            assert {turn.runner for turn in turns} == {"r1"}
            assert len(node.engine.requests) == 4

    virtual_time.run(main)
