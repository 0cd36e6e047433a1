"""Checkpoints of a node's state, loading of journals, and deletion of superseded objects."""

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
"""Half of the replay limit of 2,048 segments; the other half is for the segments written while a
checkpoint is made or retried. Between the minimum and the maximum, a checkpoint is due when the
journal has grown by the size of the last checkpoint. With a fixed interval of 128 segments, a
busy node with 1,000 programs encoded its whole table about once per second."""

CHECK_INTERVAL_S = 0.5
RETENTION_S = 3_600.0
KEY_RETENTION_S = 7 * 86_400.0
LOAD_RETRY_DELAY_S = 0.1
PART_DIGITS = 6

REPLAY_BATCH_RECORDS = 64
"""Records that a load applies before it yields to other tasks. Without yielding, loading 1,000
programs of 10 turns blocked the event loop, and thus this node's pings, for 1.1 s."""


class CheckpointHead(msgspec.Struct):
    """Stored object that refers to a journal's newest checkpoint.

    Attributes
    ----------
    number : int
        Number of the checkpoint; 0 when there is none.
    parts : int
        Number of its parts.
    first_seq : int
        First segment to replay after the checkpoint.
    """

    number: int = 0
    parts: int = 0
    first_seq: int = 1


def head_key(owner: shards.Owner) -> str:
    """Return the key of a journal's checkpoint head."""
    return f"journal/{owner}/checkpoint"


def part_key(owner: shards.Owner, number: int, part: int) -> str:
    """Return the key of one part of a checkpoint."""
    return f"checkpoint/{owner}/{number:0{PART_DIGITS}d}/{part:0{PART_DIGITS}d}"


async def read_head(store: objectstore.ObjectStore, owner: shards.Owner) -> CheckpointHead:
    """Return a journal's checkpoint head; without one, replay starts at segment 1."""
    stored = await objectstore.get_optional(store, head_key(owner))
    if stored is None:
        return CheckpointHead()
    try:
        return msgspec.msgpack.decode(stored.data, type=CheckpointHead)
    except msgspec.DecodeError as error:
        raise exceptions.JournalDamagedError(
            f"object {stored.key} cannot be decoded ({error}); restore it from a backup"
        ) from error


async def load_journal(
    store: objectstore.ObjectStore, owner: shards.Owner, selected_shards: set[int], sealed_by: str
) -> transfer.TableBuilder:
    """Seal a journal and return the final state of the selected shards.

    A paused writer that resumes may complete a checkpoint after the seal and delete the objects
    that it supersedes. The load then restarts from the new head.
    """
    head = await read_head(store, owner)
    await journal.seal(store, owner.node, owner.boot, head.first_seq, sealed_by)
    while True:
        head = await read_head(store, owner)
        try:
            return await restore_state(store, owner, head, selected_shards)
        except (exceptions.ObjectMissingError, exceptions.JournalDamagedError):
            if await read_head(store, owner) == head:
                raise
        await anyio.sleep(LOAD_RETRY_DELAY_S)


async def restore_state(
    store: objectstore.ObjectStore,
    owner: shards.Owner,
    head: CheckpointHead,
    selected_shards: set[int],
) -> transfer.TableBuilder:
    """Rebuild the state of the selected shards from a checkpoint and the segments after it."""
    builder = transfer.TableBuilder(selected_shards)
    for part in range(head.parts):
        stored = await store.get(part_key(owner, head.number, part))
        builder.add_part(stored.data)
    for segment in await journal.replay(store, owner.node, owner.boot, head.first_seq):
        for number, record in enumerate(segment.records):
            builder.add_record(record)
            if number % REPLAY_BATCH_RECORDS == 0:
                await anyio.lowlevel.checkpoint()
    return builder


async def retire_journal(
    store: objectstore.ObjectStore, owner: shards.Owner, sealed_by: str
) -> None:
    """Delete an unreferenced journal except for its head and its seal.

    The seal stays, since without it the next write of a paused writer would succeed.
    """
    head = await read_head(store, owner)
    seal_seq = await journal.seal(store, owner.node, owner.boot, head.first_seq, sealed_by)
    empty_head = CheckpointHead(head.number + 1, 0, seal_seq)
    await objectstore.put_until_stored(store, head_key(owner), msgspec.msgpack.encode(empty_head))
    await delete_superseded(store, owner, empty_head)
    events.emit(
        events.Event.JOURNAL_RETIRED, "journal deleted except for its seal", owner=str(owner)
    )


async def delete_superseded(
    store: objectstore.ObjectStore, owner: shards.Owner, head: CheckpointHead
) -> None:
    """Delete the segments and checkpoint parts that a checkpoint head supersedes.

    The newest segment stays even if the checkpoint covers it; :func:`journal.seal` relies on this.
    """
    sequences = await journal.segment_sequences(store, owner.node, owner.boot)
    for seq in sequences[:-1]:
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
        The state to save.
    journal_writer : journal.Journal
        The journal whose records were applied to the table.
    retention_s : float
        Seconds for which ended programs are kept.

    Attributes
    ----------
    head : CheckpointHead
        Head of the last checkpoint that was written completely.
    number : int
        Number of the last attempt, which may have failed.
    checkpoint_bytes : int
        Size of the last checkpoint.
    checkpointed_journal_bytes : int
        Bytes that the journal had stored when the last checkpoint began.
    """

    def __init__(
        self,
        table: programs.ProgramTable,
        journal_writer: journal.Journal,
        retention_s: float = RETENTION_S,
    ):
        self.table = table
        self.journal = journal_writer
        self.retention_s = retention_s
        self.owner = shards.Owner(journal_writer.node, journal_writer.boot)
        self.head = CheckpointHead()
        self.number = 0
        self.requested = False
        self.head_version = objectstore.ABSENT
        self.checkpointed_journal_bytes = 0
        self.checkpoint_bytes = 0

    def is_due(self) -> bool:
        """Return whether a checkpoint is requested or the journal has grown enough."""
        new_segments = self.journal.next_seq - self.head.first_seq
        new_bytes = self.journal.stored_bytes - self.checkpointed_journal_bytes
        if new_segments >= MIN_CHECKPOINT_SEGMENTS and new_bytes >= self.checkpoint_bytes:
            return True
        return self.requested or new_segments >= MAX_CHECKPOINT_SEGMENTS

    def request(self) -> None:
        """Make a checkpoint due immediately."""
        self.requested = True

    async def run(self) -> None:
        """Write checkpoints when they are due, until the journal is sealed."""
        while not self.journal.sealed.is_set():
            await anyio.sleep(CHECK_INTERVAL_S)
            if not self.is_due():
                continue
            try:
                await self.checkpoint()
            except exceptions.StoreError as error:
                events.emit(
                    events.Event.CHECKPOINT_FAILED,
                    "checkpoint failed; retrying",
                    level=logging.WARNING,
                    detail=error.detail,
                )

    async def checkpoint(self) -> None:
        """Write a checkpoint and delete what it supersedes.

        The state is exported and the journal barrier queued without an await in between. The
        export therefore contains exactly the records before the barrier, including those that
        are not stored yet.
        """
        started = clock.now()
        expire(self.table, clock.wall_time(), self.retention_s)
        items = checkpoint_items(self.table)
        barrier = self.journal.barrier()
        stored_bytes = self.journal.stored_bytes
        parts = transfer.pack(items)
        await barrier.wait()
        # Each attempt has its own number, since a delayed write of an earlier one may still arrive.
        self.number += 1
        head = CheckpointHead(self.number, len(parts), barrier.seq)
        for number, part in enumerate(parts):
            self.journal.bucket.charge()
            key = part_key(self.owner, head.number, number)
            await objectstore.put_until_stored(self.journal.store, key, part)
        await self.write_head(head)
        self.checkpointed_journal_bytes = stored_bytes
        self.checkpoint_bytes = sum(map(len, parts))
        metrics.timing("checkpoint.write", clock.now() - started)
        events.emit(events.Event.CHECKPOINT_WRITTEN, "checkpoint written", parts=len(parts))
        await delete_superseded(self.journal.store, self.owner, head)

    async def write_head(self, head: CheckpointHead) -> None:
        """Replace the head object; if a successor has retired the journal, mark it sealed."""
        self.journal.bucket.charge()
        key = head_key(self.owner)
        data = msgspec.msgpack.encode(head)
        try:
            self.head_version = await self.journal.store.put(key, data, expected=self.head_version)
        except (exceptions.StoreUnavailableError, exceptions.VersionConflictError):
            stored = await objectstore.get_optional(self.journal.store, key)
            if stored is not None and stored.data == data:
                self.head_version = stored.version
            elif stored is not None and stored.version != self.head_version:
                self.journal.mark_sealed()
                raise journal.sealed_error() from None
            else:
                raise
        self.head = head
        self.requested = False


def checkpoint_items(table: programs.ProgramTable) -> list[bytes]:
    """Return all items of a table; each shard's items follow its header."""
    items = transfer.export_suspects(table)
    for shard, shard_items in transfer.export_shards(table, set(table.generations)).items():
        items.append(transfer.shard_header(table, shard))
        items.extend(shard_items)
    return items


def expire(table: programs.ProgramTable, now: float, retention_s: float) -> None:
    """Delete ended programs, keys and suspects whose retention has passed.

    A program tree is deleted as a whole, since its root accounts for the budget. Intents without
    outcome and unknown outcomes are kept, since their keys must never be sent again.
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
