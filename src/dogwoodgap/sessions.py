"""One boot of a node: its journal, its programs, and the shards that it may serve."""

import functools

from dogwoodgap import exceptions, journal, objectstore, programs, records, shards, snapshots

START_RECORDS = (
    records.ProgramCreated,
    records.CallStarted,
    records.ActionStarted,
    records.ActionIntent,
)
"""Records that start work; a shard that is about to be handed over refuses them."""


class Session:
    """State of a node from its start, or from a seal of its journal, to the next seal.

    Work records through the session in which it started, never through a later one: the later
    boot has already settled the open calls, so their results must not be charged again.

    Attributes
    ----------
    loaded : set of int
        Shards whose state is in the table and whose import is stored in the journal.
    frozen : set of int
        Loaded shards that accept no new work because they are about to be handed over.
    closing : set of int
        Shards being handed over; no more records are accepted for them.
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
        """Return whether a successor has sealed the journal of this session."""
        return self.journal.sealed.is_set()

    def owns(self, shard: int) -> bool:
        """Return whether this session has loaded the shard and is not sealed."""
        return shard in self.loaded and not self.sealed

    def accepts(self, shard: int) -> bool:
        """Return whether new work in the shard may start in this session."""
        return self.owns(shard) and shard not in self.frozen

    def record(self, *batch: records.Record) -> journal.Commit:
        """Apply records and queue them for the journal, or refuse all of them.

        Raises
        ------
        JournalSealedError
            If a successor owns the journal.
        NotOwnerError
            If this node does not serve the shard of a record.
        RecordTooLargeError
            If the records do not fit into one segment.
        StaleRecordError
            If a record ends a call or action that is not open, or starts one twice.
        BudgetExceededError
            If the reservation of a call exceeds what the tree has left.
        """
        self.journal.validate(*batch)
        for record in batch:
            shard = records.shard_of(record)
            if shard is not None and shard not in self.loaded:
                raise exceptions.NotOwnerError(
                    f"shard {shard} is served by another node; ask GET /v1/entries"
                )
            if shard in self.frozen and isinstance(record, START_RECORDS):
                raise exceptions.NotOwnerError(
                    f"shard {shard} is moving to another node; repeat the request"
                )
            check_applicable(record, self.table)
        for record in batch:
            self.table.apply(record)
        return self.journal.stage(*batch)


def stale_error(description: str) -> exceptions.StaleRecordError:
    """Return the error for a record of a call or action that is not open."""
    return exceptions.StaleRecordError(f"{description} is no longer open; repeat the request")


@functools.singledispatch
def check_applicable(record: records.Record, table: programs.ProgramTable) -> None:
    """Raise if a record ends work that is not open, or starts a call that cannot start.

    Without this check such a record would be acknowledged without having any effect.
    """


@check_applicable.register
def _(record: records.CallStarted, table: programs.ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    if program is None:
        return
    if record.seq in program.calls:
        raise stale_error(f"seq {record.seq} of program {record.program!r} was started before and")
    table.check_budget(program, record.reserved_tokens)


@check_applicable.register
def _(record: records.CallFinished, table: programs.ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = program.calls.get(record.turn.seq)
    if entry is None or entry.finished or entry.digest != record.turn.digest:
        raise stale_error(f"call {record.turn.seq} of program {record.program!r}")


@check_applicable.register
def _(record: records.CallFailed, table: programs.ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = program.calls.get(record.seq)
    if entry is None or entry.finished or entry.digest != record.digest:
        raise stale_error(f"call {record.seq} of program {record.program!r}")


@check_applicable.register
def _(record: records.ActionFinished, table: programs.ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = program.actions.get(record.seq)
    if entry is None or entry.settled() or entry.digest != record.digest:
        raise stale_error(f"action {record.seq} of program {record.program!r}")


@check_applicable.register
def _(record: records.ActionOutcome, table: programs.ProgramTable) -> None:
    entry = table.key(record.customer, record.key)
    if entry is None or entry.settled():
        raise stale_error(f"the action with key {record.key!r}")
