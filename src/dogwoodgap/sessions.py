"""One boot of a node: its journal, its programs, and the shards that it may serve."""

import functools

from dogwoodgap import exceptions, journal, objectstore, programs, records, shards, snapshots

STARTS = (
    records.ProgramCreated,
    records.CallStarted,
    records.ActionStarted,
    records.ActionIntent,
)
"""Records that begin work, which a shard that is about to move does not accept."""


class Session:
    """What a node holds between its start, or a seal, and the next seal.

    Work that began in a session records through this session, never through a later one: a
    later boot has settled the calls of the earlier one, so their results must not count again.

    Attributes
    ----------
    loaded : set of int
        Shards whose state is in the table and whose import is durable.
    frozen : set of int
        Loaded shards that accept no new work, since they are about to be handed over.
    closing : set of int
        Shards being handed over; nothing is recorded for them any more.
    """

    def __init__(
        self,
        store: objectstore.ObjectStore,
        owner: shards.Owner,
        bucket: objectstore.RateBucket,
        retention_s: float = snapshots.RETENTION_S,
    ):
        self.owner = owner
        self.table = programs.ProgramTable()
        self.journal = journal.Journal(store, owner.node, owner.boot, bucket)
        self.checkpointer = snapshots.Checkpointer(self.table, self.journal, retention_s)
        self.loaded: set[int] = set()
        self.frozen: set[int] = set()
        self.closing: set[int] = set()

    @property
    def sealed(self) -> bool:
        """Return whether a successor has ended this session."""
        return self.journal.sealed.is_set()

    def owns(self, shard: int) -> bool:
        """Return whether the state of the shard is here and complete."""
        return shard in self.loaded and not self.sealed

    def accepts(self, shard: int) -> bool:
        """Return whether new work of the shard may start here."""
        return self.owns(shard) and shard not in self.frozen

    def record(self, *batch: records.Record) -> journal.Commit:
        """Apply records and queue them for the journal, or refuse all of them.

        Raises
        ------
        JournalSealedError
            When a successor owns the journal.
        NotOwnerError
            When the shard of a record is not served here.
        RecordTooLargeError
            When the records do not fit into one segment.
        StaleRecordError
            When a record ends a call or action that is not open, or starts one twice.
        BudgetExceededError
            When the reservation of a call exceeds what the tree has left.
        """
        self.journal.validate(*batch)
        for record in batch:
            shard = records.shard_of(record)
            if shard is not None and shard not in self.loaded:
                raise exceptions.NotOwnerError(
                    f"shard {shard} is served by another node; ask GET /v1/entries"
                )
            if shard in self.frozen and isinstance(record, STARTS):
                raise exceptions.NotOwnerError(
                    f"shard {shard} is moving to another node; repeat the request"
                )
            check_open(record, self.table)
        for record in batch:
            self.table.apply(record)
        return self.journal.stage(*batch)


def stale(what: str) -> exceptions.StaleRecordError:
    """Return the error of a result that nothing waits for."""
    return exceptions.StaleRecordError(f"{what} is not open any more; repeat the request")


@functools.singledispatch
def check_open(record: records.Record, table: programs.ProgramTable) -> None:
    """Refuse the end of something that is not open; other records may always be applied.

    Without this check such a record would be acknowledged and change nothing.
    """


@check_open.register
def _(record: records.CallStarted, table: programs.ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    if program is None:
        return
    if record.seq in program.calls:
        raise stale(f"seq {record.seq} of program {record.program!r} has begun before and")
    table.check_budget(program, record.reserved_tokens)


@check_open.register
def _(record: records.CallFinished, table: programs.ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = program.calls.get(record.turn.seq)
    if entry is None or entry.finished or entry.digest != record.turn.digest:
        raise stale(f"call {record.turn.seq} of program {record.program!r}")


@check_open.register
def _(record: records.CallFailed, table: programs.ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = program.calls.get(record.seq)
    if entry is None or entry.finished or entry.digest != record.digest:
        raise stale(f"call {record.seq} of program {record.program!r}")


@check_open.register
def _(record: records.ActionFinished, table: programs.ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = program.actions.get(record.seq)
    if entry is None or entry.settled() or entry.digest != record.digest:
        raise stale(f"action {record.seq} of program {record.program!r}")


@check_open.register
def _(record: records.ActionOutcome, table: programs.ProgramTable) -> None:
    entry = table.key(record.customer, record.key)
    if entry is None or entry.settled():
        raise stale(f"the action with key {record.key!r}")
