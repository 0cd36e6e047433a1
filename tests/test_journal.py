"""Journal writes under lost replies, outages and sealing."""

import anyio
import pytest
import virtual_time

from dogwoodgap import clock, exceptions, journal, objectstore, records
from dogwoodgap_lab import objects


def new_journal(table: objects.MemoryObjectStore) -> journal.Journal:
    return journal.Journal(table, "n1", "b1", objectstore.RateBucket(100.0, 4.0))


def touched(number: int) -> records.Record:
    return records.ProgramTouched(customer="c", program="p", at=float(number))


def test_lost_replies_store_each_record_once():
    """Guards against storing a record twice when the reply to its write is lost."""

    async def main():
        table = objects.MemoryObjectStore(seed=3)
        table.faults.lost_replies = 0.5
        log = new_journal(table)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log.run)
            for number in range(40):
                await log.append(touched(number))
            tasks.cancel_scope.cancel()
        segments = await journal.replay(table, "n1", "b1")
        stored = [record.at for segment in segments for record in segment.records]
        assert stored == [float(number) for number in range(40)]

    virtual_time.run(main)


def test_sealed_journal_acknowledges_nothing():
    """Guards against a paused owner that acknowledges records after its successor's seal."""

    async def main():
        table = objects.MemoryObjectStore()
        log = new_journal(table)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log.run)
            await log.append(touched(1))
            await journal.seal(table, "n1", "b1", 1, "n2/b2")
            with pytest.raises(exceptions.JournalSealedError):
                await log.append(touched(2))
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_outage_delays_the_commit_until_the_store_returns():
    """Guards against acknowledging or losing a record during a store outage."""

    async def main():
        table = objects.MemoryObjectStore()
        log = new_journal(table)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log.run)
            table.faults.outage = True
            commit = log.stage(touched(1))
            with anyio.move_on_after(600):
                await commit.wait()
            assert not commit.stored.is_set()
            table.faults.outage = False
            before = clock.now()
            await commit.wait()
            assert clock.now() - before <= journal.MAX_RETRY_DELAY_S
            tasks.cancel_scope.cancel()

    virtual_time.run(main)
