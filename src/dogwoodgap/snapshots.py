"""Checkpoints of a node's state, loading of a journal, and deletion of what was superseded."""

import logging

import anyio
import anyio.lowlevel
import msgspec

from dogwoodgap import (
    clock,
    entries,
    events,
    exceptions,
    journal,
    metrics,
    objectstore,
    programs,
    shards,
    structures,
    transfer,
)

MIN_CHECKPOINT_SEGMENTS = 128
MAX_CHECKPOINT_SEGMENTS = 1_024
"""Half of the replay limit of 2,048 segments: the other half covers the segments that are written
while a checkpoint is made or repeated. Between the two numbers a checkpoint is due when the
journal has grown by as much as the last checkpoint wrote; with a fixed number of 128 segments a
busy node with 1,000 programs encoded its whole table about every second."""

CHECK_INTERVAL_S = 0.5
RETENTION_S = 3_600.0
KEY_RETENTION_S = 7 * 86_400.0
LOAD_RETRY_S = 0.1
PART_DIGITS = 6

REPLAY_BATCH = 64
"""Records that a load applies before other tasks run. Without such breaks the load of 1,000
programs of 10 turns held the event loop for 1.1 s, and this node's own pings with it."""


class Head(msgspec.Struct):
    """The object that names a journal's newest checkpoint.

    Attributes
    ----------
    number : int
        Number of the checkpoint; 0 for none.
    parts : int
        Number of its parts.
    first_seq : int
        First segment to replay after it.
    """

    number: int = 0
    parts: int = 0
    first_seq: int = 1


def head_key(owner: shards.Owner) -> str:
    """Return the key of a journal's head object."""
    return f"journal/{owner}/checkpoint"


def part_key(owner: shards.Owner, number: int, part: int) -> str:
    """Return the key of one part of a checkpoint."""
    return f"checkpoint/{owner}/{number:0{PART_DIGITS}d}/{part:0{PART_DIGITS}d}"


async def read_head(store: objectstore.ObjectStore, owner: shards.Owner) -> Head:
    """Return the head of a journal; a journal without checkpoint starts at segment 1."""
    stored = await objectstore.get_optional(store, head_key(owner))
    if stored is None:
        return Head()
    try:
        return msgspec.msgpack.decode(stored.data, type=Head)
    except msgspec.DecodeError as error:
        raise exceptions.JournalDamagedError(
            f"object {stored.key} cannot be decoded ({error}); restore it from a backup"
        ) from error


async def load_journal(
    store: objectstore.ObjectStore, owner: shards.Owner, wanted: set[int], sealed_by: str
) -> transfer.Reader:
    """Seal a journal and return the state of some shards at its end.

    A paused writer that wakes may finish a checkpoint after the seal and delete what it
    replaced. The load then starts again from the new head.
    """
    head = await read_head(store, owner)
    await journal.seal(store, owner.node, owner.boot, head.first_seq, sealed_by)
    while True:
        head = await read_head(store, owner)
        try:
            return await load_from(store, owner, head, wanted)
        except (exceptions.ObjectMissingError, exceptions.JournalDamagedError):
            if await read_head(store, owner) == head:
                raise
        await anyio.sleep(LOAD_RETRY_S)


async def load_from(
    store: objectstore.ObjectStore, owner: shards.Owner, head: Head, wanted: set[int]
) -> transfer.Reader:
    """Read a checkpoint and the segments after it."""
    reader = transfer.Reader(wanted)
    for part in range(head.parts):
        stored = await store.get(part_key(owner, head.number, part))
        reader.add_part(stored.data)
    for segment in await journal.replay(store, owner.node, owner.boot, head.first_seq):
        for number, record in enumerate(segment.records):
            reader.add_record(record)
            if number % REPLAY_BATCH == 0:
                await anyio.lowlevel.checkpoint()
    return reader


async def retire(store: objectstore.ObjectStore, owner: shards.Owner, sealed_by: str) -> None:
    """Delete a journal that nothing refers to, but for its head and its seal.

    The seal stays: without it, the next write of a paused writer would succeed.
    """
    head = await read_head(store, owner)
    seal = await journal.seal(store, owner.node, owner.boot, head.first_seq, sealed_by)
    empty = Head(head.number + 1, 0, seal)
    await objectstore.put_until_stored(store, head_key(owner), msgspec.msgpack.encode(empty))
    await delete_below(store, owner, empty)
    events.emit(events.Event.JOURNAL_RETIRED, "journal deleted up to its seal", owner=str(owner))


async def delete_below(store: objectstore.ObjectStore, owner: shards.Owner, head: Head) -> None:
    """Delete the segments and checkpoint parts that a head supersedes.

    The newest segment stays even when the checkpoint covers it; see :func:`journal.seal`.
    """
    found = await journal.segment_sequences(store, owner.node, owner.boot)
    for seq in found[:-1]:
        if seq < head.first_seq:
            await objectstore.delete_until_gone(
                store, journal.segment_key(owner.node, owner.boot, seq)
            )
    current = part_key(owner, head.number, 0).rpartition("/")[0]
    for info in await objectstore.list_all(store, f"checkpoint/{owner}/"):
        if info.key.rpartition("/")[0] < current:
            await objectstore.delete_until_gone(store, info.key)


class Checkpointer:
    """Writes checkpoints of one boot's table.

    Parameters
    ----------
    table : programs.ProgramTable
        The state.
    log : journal.Journal
        The journal whose records the table has applied.
    retention_s : float
        How long ended programs are remembered.
    """

    def __init__(
        self,
        table: programs.ProgramTable,
        log: journal.Journal,
        retention_s: float = RETENTION_S,
    ):
        self.table = table
        self.log = log
        self.retention_s = retention_s
        self.owner = shards.Owner(log.node, log.boot)
        self.head = Head()
        self.number = 0
        self.requested = False
        self.head_version = objectstore.ABSENT
        self.stored_bytes = 0
        self.written_bytes = 0

    def due(self) -> bool:
        """Return whether enough segments were written since the last checkpoint."""
        written = self.log.next_seq - self.head.first_seq
        grown = self.log.stored_bytes - self.stored_bytes
        if written >= MIN_CHECKPOINT_SEGMENTS and grown >= self.written_bytes:
            return True
        return self.requested or written >= MAX_CHECKPOINT_SEGMENTS

    def request(self) -> None:
        """Make the next checkpoint due at once."""
        self.requested = True

    async def run(self) -> None:
        """Write checkpoints when they are due, until the journal is sealed."""
        while not self.log.sealed.is_set():
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self.due():
                continue
            try:
                await self.checkpoint()
            except exceptions.StoreError as error:
                events.emit(
                    events.Event.CHECKPOINT_FAILED,
                    "checkpoint failed; it is repeated",
                    level=logging.WARNING,
                    detail=error.detail,
                )

    async def checkpoint(self) -> None:
        """Write a checkpoint and delete what it supersedes.

        The state is taken together with a barrier in the journal, in one step without an await:
        the table holds exactly the records before the barrier, also those not yet stored.
        """
        started = clock.now()
        expire(self.table, clock.wall(), self.retention_s)
        items = checkpoint_items(self.table)
        barrier = self.log.barrier()
        stored_bytes = self.log.stored_bytes
        parts = transfer.pack(items)
        await barrier.wait()
        # Each attempt has its own number: a write of an earlier attempt may still arrive.
        self.number += 1
        head = Head(self.number, len(parts), barrier.seq)
        for number, part in enumerate(parts):
            self.log.bucket.charge()
            key = part_key(self.owner, head.number, number)
            await objectstore.put_until_stored(self.log.store, key, part)
        await self.write_head(head)
        self.stored_bytes = stored_bytes
        self.written_bytes = sum(map(len, parts))
        metrics.timing("checkpoint.write", clock.now() - started)
        events.emit(events.Event.CHECKPOINT_WRITTEN, "checkpoint written", parts=len(parts))
        await delete_below(self.log.store, self.owner, head)

    async def write_head(self, head: Head) -> None:
        """Replace the head object, unless a successor has retired the journal."""
        self.log.bucket.charge()
        key = head_key(self.owner)
        data = msgspec.msgpack.encode(head)
        try:
            self.head_version = await self.log.store.put(key, data, expected=self.head_version)
        except (exceptions.StoreUnavailableError, exceptions.VersionConflictError):
            stored = await objectstore.get_optional(self.log.store, key)
            if stored is not None and stored.data == data:
                self.head_version = stored.version
            elif stored is not None and stored.version != self.head_version:
                self.log.mark_sealed()
                raise journal.sealed_error() from None
            else:
                raise
        self.head = head
        self.requested = False


def checkpoint_items(table: programs.ProgramTable) -> list[bytes]:
    """Return all items of a table, each shard after its header."""
    items = transfer.export_suspects(table)
    for shard, found in transfer.export_shards(table, set(table.generations)).items():
        items.append(transfer.shard_header(table, shard))
        items.extend(found)
    return items


def expire(table: programs.ProgramTable, now: float, retention_s: float) -> None:
    """Forget ended programs, keys and suspects whose retention has passed.

    A tree is forgotten as a whole, since the root accounts for its budget. Intents without
    outcome, and outcomes that stayed unknown, are kept: their keys must never be sent again.
    """
    live_roots = {
        (program.customer, shards.root_of(program.id))
        for program in table.programs.values()
        if not ended_before(program, now - retention_s)
    }
    for program in list(table.programs.values()):
        if (program.customer, shards.root_of(program.id)) not in live_roots:
            table.drop_program(program)
    for key, entry in list(table.keys.items()):
        if key_expired(entry, now):
            del table.keys[key]
    for digest, suspect in list(table.suspects.items()):
        if 0.0 < suspect.until <= now:
            del table.suspects[digest]


def ended_before(program: entries.Program, limit: float) -> bool:
    """Return whether a program ended before a wall time."""
    return program.status != structures.ProgramStatus.ACTIVE and program.ended_at <= limit


def key_expired(entry: entries.KeyEntry, now: float) -> bool:
    """Return whether a key may be used again."""
    if entry.result is None or entry.result.not_run == "unknown":
        return False
    return now - entry.at >= KEY_RETENTION_S
