"""Checkpoints, object sizes, retention, damaged objects, hand-overs and takeover time."""

import os

import anyio
import anyio.lowlevel
import fleet
import pytest

from dogwoodgap import (
    cleanup,
    clock,
    exceptions,
    handover,
    journal,
    loading,
    objectstore,
    programs,
    records,
    recovery,
    sessions,
    shards,
    snapshots,
    structures,
    transfer,
)
from dogwoodgap_lab import objects

OWNER = shards.Owner("n1", "b1")


def new_session(table, rate=1000.0):
    session = sessions.Session(table, OWNER, objectstore.RateBucket(rate, 8.0))
    for shard in range(shards.SHARD_COUNT):
        session.table.generations[shard] = 1
        session.journal.stage(records.ShardAcquired(shard=shard, generation=1))
        session.loaded.add(shard)
    return session


def created(program="p", budget=10**9):
    return records.ProgramCreated("c", program, "s", "f", budget, 0.0, 1e12)


def started(seq, tokens=10, program="p"):
    return records.CallStarted("c", program, seq, f"d{seq}", tokens, 0.0)


def finished(seq, text="", program="p"):
    turn = structures.Turn(seq, f"d{seq}", [], text, 5 * seq, 0, 5, "stop", "r", 0.0)
    return records.CallFinished("c", program, turn)


async def load_table(table):
    builder = await snapshots.load_journal(table, OWNER, set(range(shards.SHARD_COUNT)), "n2/b2")
    return builder.table


def with_session(body, rate=1000.0):
    """Run a test body with a session whose journal and checkpoints run."""

    async def main():
        table = objects.MemoryObjectStore()
        session = new_session(table, rate)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.journal.run)
            await body(table, session, tasks)
            tasks.cancel_scope.cancel()

    fleet.run(main)


def test_record_above_the_object_limit_is_refused_before_it_is_applied():
    """Guards against applying a record in memory that is too large to be stored."""

    async def body(table, session, tasks):
        await session.record(created(), started(1)).wait()
        text = os.urandom(600_000).hex()
        with pytest.raises(exceptions.RecordTooLargeError):
            session.record(finished(1, text))
        assert not session.table.get("c", "p").calls[1].finished
        await session.record(finished(1, text[: journal.MAX_RECORD_BYTES - 1000])).wait()
        assert max(len(stored.data) for stored in table.objects.values()) < 1_000_000

    with_session(body)


def test_cancelled_writer_fails_the_waits_and_refunds_the_bucket():
    """Guards against callers that wait forever after a stop.

    Also against a cancelled wait for the rate bucket that uses up capacity.
    """

    async def main():
        table = objects.MemoryObjectStore()
        table.faults.outage = True
        bucket = objectstore.RateBucket(1.0, 1.0)
        log = journal.Journal(table, "n1", "b1", bucket)
        commit = log.stage(created())
        with anyio.move_on_after(5.0):
            await log.run()
        with pytest.raises(exceptions.JournalClosedError):
            await commit.wait()
        bucket.level, bucket.updated_at = -5.0, clock.now()
        with anyio.move_on_after(1.0):
            await bucket.take()
        assert bucket.level == -5.0

    fleet.run(main)


def test_damaged_segment_at_the_next_sequence_is_never_acknowledged():
    """Guards against a writer that crashes on a damaged segment, or counts it as its own write."""

    async def body(table, session, tasks):
        await session.record(created()).wait()
        key = journal.segment_key("n1", "b1", session.journal.next_seq)
        await table.put(key, b"damaged")
        with pytest.raises(exceptions.JournalSealedError):
            await session.record(started(1)).wait()

    with_session(body)


def test_missing_segment_is_reported():
    """Guards against a replay that silently skips missing segments."""

    async def body(table, session, tasks):
        for seq in range(1, 5):
            await session.record(created(f"p{seq}")).wait()
        await table.delete(journal.segment_key("n1", "b1", 3))
        with pytest.raises(exceptions.JournalDamagedError):
            await load_table(table)

    with_session(body)


def test_large_program_survives_a_checkpoint_in_small_parts():
    """Guards against checkpoint parts above the object size limit, and against lost turns."""

    async def body(table, session, tasks):
        await session.record(created()).wait()
        for seq in range(1, 6):
            await session.record(started(seq)).wait()
            await session.record(finished(seq, os.urandom(400_000).hex())).wait()
        unstored = session.record(started(6))
        await session.checkpointer.checkpoint()
        await unstored.wait()
        assert max(len(stored.data) for stored in table.objects.values()) <= 1_000_000
        assert session.checkpointer.head.parts > 1
        loaded = (await load_table(table)).get("c", "p")
        assert loaded.turns() == session.table.get("c", "p").turns()
        assert loaded.reserved_tokens == 10

    with_session(body)


def test_replay_length_is_limited_and_old_segments_are_deleted():
    """Guards against a takeover that has to replay an unbounded journal."""

    async def body(table, session, tasks):
        tasks.start_soon(session.checkpointer.run)
        table.faults.delay_s = 0.002
        await session.record(created()).wait()
        for number in range(900):
            await session.record(records.ProgramTouched("c", "p", float(number))).wait()
            sequences = await journal.segment_sequences(table, "n1", "b1")
            to_replay = [seq for seq in sequences if seq >= session.checkpointer.head.first_seq]
            assert len(to_replay) <= 256
        assert session.checkpointer.head.number >= 3
        assert (await load_table(table)).get("c", "p").touched_at == 899.0

    with_session(body, rate=100.0)


def test_large_table_is_not_written_again_for_a_small_journal():
    """Guards against encoding a large table again after every 128 small segments."""

    async def body(table, session, tasks):
        tasks.start_soon(session.checkpointer.run)
        await session.record(created()).wait()
        for seq in range(1, 6):
            await session.record(started(seq)).wait()
            await session.record(finished(seq, os.urandom(100_000).hex())).wait()
        await session.checkpointer.checkpoint()
        numbers = []
        for number in range(1_100):
            await session.record(records.ProgramTouched("c", "p", float(number))).wait()
            numbers.append(session.checkpointer.head.number)
        assert numbers[900] == 1
        await anyio.sleep(2.0)
        assert session.checkpointer.head.number == 2
        assert (await load_table(table)).get("c", "p").touched_at == 1_099.0

    with_session(body, rate=1_000.0)


def test_seal_is_written_again_when_the_writer_is_past_it():
    """Guards against a seal without effect, written where a checkpoint has deleted a segment."""

    async def body(table, session, tasks):
        await session.record(created()).wait()
        real_put = table.put

        async def late_put(key, data, **options):
            table.put = real_put
            for number in range(5):
                await session.record(records.ProgramTouched("c", "p", float(number))).wait()
            await session.checkpointer.checkpoint()
            return await real_put(key, data, **options)

        table.put = late_put
        sealed_at = await journal.seal(table, "n1", "b1", 1, "n2/b2")
        assert sealed_at == session.journal.next_seq
        with pytest.raises(exceptions.JournalSealedError):
            await session.record(started(1)).wait()
        assert (await load_table(table)).get("c", "p").touched_at == 4.0

    with_session(body)


def test_hand_over_is_not_repeated_after_the_shard_returned():
    """Guards against a retried hand-over that replaces newer state after a lost reply."""

    async def main():
        table = objects.MemoryObjectStore()
        bucket = objectstore.RateBucket(100.0, 8.0)
        node = recovery.Ownership(table, "n1", bucket, None)
        target = shards.Owner("n2", "b2")
        program_shard = shards.program_shard("c", "p")
        await node.assignment.update(
            lambda draft: draft.assign(program_shard, node.local_owner) or True
        )
        node.table.generations[program_shard] = node.assignment.current.version
        node.session.loaded.add(program_shard)
        real_put = table.put

        async def put_then_return_shard(key, data, **options):
            version = await real_put(key, data, **options)
            if key == shards.ASSIGNMENT_KEY:
                table.put = real_put
                other = shards.AssignmentStore(table, bucket)
                await other.update(
                    lambda draft: draft.assign(program_shard, node.local_owner) or True
                )
                raise exceptions.StoreUnavailableError("reply lost; read back")
            return version

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(node.journal.run)
            await node.session.record(created()).wait()
            table.put = put_then_return_shard
            await handover.hand_over(node, {program_shard}, target)
            entry = node.assignment.current.shards[program_shard]
            assert entry.owner == node.local_owner
            assert entry.sources == ()
            assert not node.owns(program_shard)
            tasks.cancel_scope.cancel()

    fleet.run(main)


def test_open_call_in_a_hand_over_is_charged():
    """Guards against a reservation that can never be settled after its shard has moved."""
    table = programs.ProgramTable()
    for record in (created(), started(1)):
        table.apply(record)
    shard = shards.program_shard("c", "p")
    items = transfer.export_shards(table, {shard})[shard]
    parts = loading.settle_state(shard, transfer.pack(items), 0.0)
    moved = programs.ProgramTable()
    transfer.import_shard(moved, shard, 1, parts)
    program = moved.get("c", "p")
    assert (program.spent_tokens, program.reserved_tokens) == (10, 0)
    assert not program.open_calls()
    assert program.next_seq == 1


def test_retention_of_programs_keys_and_intents():
    """Guards against keys that are reusable too early, and against state that never expires."""

    async def main():
        table = programs.ProgramTable()
        for name in ("done", "open"):
            table.apply(created(name))
        table.apply(records.ProgramEnded("c", "done", "finished", "", 0.0))
        for key, not_run in (("sent", "false"), ("lost", "unknown"), ("intent", None)):
            table.apply(records.ActionIntent("c", key, key, "t", "s", "/", 0.0))
            if not_run:
                result = structures.ActionResult(0, None, not_run)
                table.apply(records.ActionOutcome("c", key, key, result, 0.0))
        week = snapshots.KEY_RETENTION_S
        snapshots.expire(table, week - 1.0, week)
        assert table.find("c", "done") is not None
        assert table.key("c", "sent") is not None
        snapshots.expire(table, week, week)
        assert table.find("c", "done") is None
        assert table.find("c", "open") is not None
        assert [key.key for key in table.keys] == ["lost", "intent"]

    fleet.run(main)


def test_budget_holds_when_an_engine_reports_too_many_tokens():
    """Guards against a tree that exceeds its budget by its children or by an engine's report."""

    async def body(table, session, tasks):
        await session.record(created("p", budget=25)).wait()
        child = records.ProgramCreated("c", "p.1", "s", "f", 10**9, 0.0, 1e12, "p")
        session.record(child, started(1, program="p.1"))
        with pytest.raises(exceptions.BudgetExceededError):
            session.record(started(1, tokens=16))
        turn = structures.Turn(1, "d1", [], "", 9_000, 0, 9_000, "stop", "r", 0.0)
        await session.record(records.CallFinished("c", "p.1", turn)).wait()
        assert session.table.remaining_tokens(session.table.get("c", "p")) == 15
        with pytest.raises(exceptions.StaleRecordError):
            session.record(records.CallFinished("c", "p.1", turn))

    with_session(body)


def test_assignment_is_small_and_survives_lost_replies():
    """Guards against an assignment above the object size limit, and a change applied twice."""

    async def main():
        table = objects.MemoryObjectStore(seed=5)
        table.faults.lost_replies = 0.5
        store = shards.AssignmentStore(table, objectstore.RateBucket(100.0, 4.0))
        for shard in range(shards.SHARD_COUNT):
            owner = shards.Owner(f"node-{shard % 380}", "0123456789ab")
            source = shards.Source("journal", str(owner), shard)

            def change(draft, shard=shard, owner=owner, source=source):
                free = draft.owner(shard) is None
                if free:
                    draft.assign(shard, owner, (source,))
                return free

            await store.update(change)
        assert store.current.version == shards.SHARD_COUNT
        stored = await table.get(shards.ASSIGNMENT_KEY)
        assert len(stored.data) < 200_000
        assert shards.decode(stored.data).shards == store.current.shards

    fleet.run(main)


def test_import_of_shards_lets_a_checkpoint_cover_all_or_nothing():
    """Guards against state in use before its import is complete or after the shard is released.

    A checkpoint between ``Imported`` and ``ShardAcquired`` would otherwise cover half an import.
    """

    async def body(table, session, tasks):
        await session.record(created()).wait()
        shard = shards.program_shard("c", "p")
        parts = transfer.pack(transfer.export_shards(session.table, {shard})[shard])
        builder = transfer.TableBuilder({shard})
        builder.add_record(records.Imported(shard=shard, state=parts[0]))
        assert not builder.table.programs
        builder.add_record(records.ShardAcquired(shard=shard, generation=7))
        assert builder.table.generations == {shard: 7}
        assert builder.table.find("c", "p") is not None
        builder.add_record(records.ShardReleased(shard=shard, generation=7))
        builder.add_record(created())
        assert not builder.table.programs

    with_session(body)


def test_takeover_time_and_planned_stop():
    """Guards against a slow takeover, and against shards left behind by a planned stop."""

    async def main():
        async with anyio.create_task_group() as tasks:
            nodes = fleet.Fleet(tasks)
            await anyio.sleep(20.0)
            held = [len(node.ownership.session.loaded) for node in nodes.nodes]
            assert sum(held) == shards.SHARD_COUNT
            assert max(held) - min(held) <= max(held) // 8
            for program in fleet.PROGRAMS:
                nodes.call(program, 0.0)
            await anyio.sleep(1.0)
            nodes.nodes[0].crash()
            await anyio.sleep(2.0)
            remaining = [node.ownership.session.loaded for node in nodes.nodes[1:]]
            assert sum(len(held) for held in remaining) == shards.SHARD_COUNT
            await nodes.nodes[1].ownership.hand_over_all()
            await anyio.sleep(1.0)
            assert len(nodes.nodes[2].ownership.session.loaded) == shards.SHARD_COUNT
            await cleanup.sweep(nodes.nodes[2].ownership)
            dead = f"journal/{nodes.nodes[0].ownership.local_owner}/0"
            assert len(await objectstore.list_all(nodes.table, dead)) == 1
            assert not await objectstore.list_all(nodes.table, "handoff/")
            await nodes.heal()
            nodes.check()
            tasks.cancel_scope.cancel()

    fleet.run(main)


def test_load_yields_to_other_tasks():
    """Guards against a replay that blocks the event loop, so that pings time out."""
    yields = 0

    async def tick():
        nonlocal yields
        while True:
            yields += 1
            await anyio.lowlevel.checkpoint()

    async def main():
        table = objects.MemoryObjectStore()
        batch = [records.ShardAcquired(shards.program_shard("c", "p"), 1), created()]
        batch += [records.ProgramTouched("c", "p", float(at)) for at in range(1_000)]
        data = records.encode_segment(records.Segment("n", batch))
        await table.put(journal.segment_key(OWNER.node, OWNER.boot, 1), data)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(tick)
            await anyio.lowlevel.checkpoint()
            restored = await load_table(table)
            tasks.cancel_scope.cancel()
        assert restored.get("c", "p").touched_at == 999.0
        assert yields >= 1_000 // snapshots.REPLAY_BATCH_RECORDS

    fleet.run(main)
