"""In-memory state of a node's programs, built by applying journal records."""

import dataclasses
import functools

from dogwoodgap import entries, exceptions, records, shards, structures

CallEntry = entries.CallEntry
ActionEntry = entries.ActionEntry
Entry = entries.Entry
Program = entries.Program
KeyEntry = entries.KeyEntry
ProgramKey = entries.ProgramKey
ActionKey = entries.ActionKey
charge_of = entries.charge_of
digest_of = entries.digest_of


@dataclasses.dataclass
class ProgramTable:
    """Programs and idempotency keys of the shards that a node owns.

    Attributes
    ----------
    generations : dict of int to int
        Generation of each shard whose state is in the table.
    suspects : dict of str to records.Suspected
        Quarantine digests from the journal; they apply to the whole node, not to one shard.
    """

    programs: dict[ProgramKey, Program] = dataclasses.field(default_factory=dict)
    keys: dict[ActionKey, KeyEntry] = dataclasses.field(default_factory=dict)
    generations: dict[int, int] = dataclasses.field(default_factory=dict)
    suspects: dict[str, records.Suspected] = dataclasses.field(default_factory=dict)

    def get(self, customer: str, program: str) -> Program:
        """Return a program.

        Raises
        ------
        UnknownProgramError
            If the customer has no such program on this node.
        """
        existing = self.find(customer, program)
        if existing is None:
            raise exceptions.UnknownProgramError(
                f"program {program!r} does not exist; create it with POST /v1/programs"
            )
        return existing

    def find(self, customer: str, program: str) -> Program | None:
        """Return a program, or None when it is not in the table."""
        return self.programs.get(ProgramKey(customer, program))

    def root(self, program: Program) -> Program:
        """Return the root of a program's tree, where the budget of the tree is kept."""
        return self.get(program.customer, shards.root_of(program.id))

    def subtree(self, program: Program) -> list[Program]:
        """Return a program and its descendants, parents first."""
        subtree = [program]
        for parent in subtree:
            subtree.extend(self.get(parent.customer, child) for child in parent.children)
        return subtree

    def remaining_tokens(self, program: Program) -> int:
        """Return the tokens of the tree's budget that are neither spent nor reserved."""
        root = self.root(program)
        return root.budget_tokens - root.spent_tokens - root.reserved_tokens

    def check_budget(self, program: Program, tokens: int) -> None:
        """Raise if the tree's budget does not cover a reservation.

        Raises
        ------
        BudgetExceededError
            If ``spent + reserved`` would exceed the budget.
        """
        remaining = self.remaining_tokens(program)
        if tokens > remaining:
            raise exceptions.BudgetExceededError(
                f"the call may need {tokens} tokens and {remaining} remain; "
                "shorten it, lower max_tokens or raise the budget of a new program"
            )

    def key(self, customer: str, key: str) -> KeyEntry | None:
        """Return the entry of an idempotency key, or None when the key is unused."""
        return self.keys.get(ActionKey(customer, key))

    def open_intents(self, shard_ids: set[int]) -> list[KeyEntry]:
        """Return the intents in the given shards that have no outcome yet."""
        return [
            entry
            for entry in self.keys.values()
            if entry.result is None and shards.key_shard(entry.customer, entry.key) in shard_ids
        ]

    def apply(self, record: records.Record) -> None:
        """Apply one record; applying the same record again has no effect."""
        apply_record(record, self)

    def drop_shards(self, shard_ids: set[int]) -> None:
        """Remove the state of the given shards."""
        dropped = shard_ids & self.generations.keys()
        for shard in dropped:
            del self.generations[shard]
        if not dropped:
            return
        self.programs = {
            key: program
            for key, program in self.programs.items()
            if shards.program_shard(key.customer, key.program) not in dropped
        }
        self.keys = {
            key: entry
            for key, entry in self.keys.items()
            if shards.key_shard(key.customer, key.key) not in dropped
        }

    def drop_program(self, program: Program) -> None:
        """Remove one program."""
        self.programs.pop(ProgramKey(program.customer, program.id), None)


@functools.singledispatch
def apply_record(record: records.Record, table: ProgramTable) -> None:
    """Apply a record to a table; record types without a handler are ignored."""


@apply_record.register
def _(record: records.ProgramCreated, table: ProgramTable) -> None:
    key = ProgramKey(record.customer, record.program)
    if key in table.programs:
        return
    table.programs[key] = Program(
        customer=record.customer,
        id=record.program,
        service=record.service,
        profile=record.profile,
        budget_tokens=record.budget_tokens,
        created_at=record.created_at,
        deadline_at=record.deadline_at,
        parent=record.parent,
        touched_at=record.created_at,
    )
    parent = table.find(record.customer, record.parent)
    if parent is not None:
        parent.children.append(record.program)


@apply_record.register
def _(record: records.CallStarted, table: ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    if program is None or record.seq in program.calls:
        return
    program.calls[record.seq] = CallEntry(record.seq, record.digest, record.reserved_tokens)
    program.actions.pop(record.seq, None)
    program.touched_at = record.at
    table.root(program).reserved_tokens += record.reserved_tokens


@apply_record.register
def _(record: records.CallFinished, table: ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    entry = program.calls.get(record.turn.seq) if program is not None else None
    if entry is None or entry.finished:
        return
    charged = charge_of(program, record.turn)
    settle_reservation(table, program, entry, charged)
    entry.finish(record.turn)
    program.next_seq = record.turn.seq + 1
    program.turn_count += 1
    program.last_call = record.turn.seq
    program.touched_at = record.turn.finished_at


@apply_record.register
def _(record: records.CallFailed, table: ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    entry = program.calls.get(record.seq) if program is not None else None
    if entry is None or entry.finished:
        return
    del program.calls[record.seq]
    program.touched_at = record.at
    settle_reservation(table, program, entry, record.charged_tokens)


@apply_record.register
def _(record: records.ActionStarted, table: ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    if program is None:
        return
    action_entry = program.actions.get(record.seq)
    if action_entry is not None and (
        action_entry.settled() or action_entry.digest == record.digest
    ):
        action_entry.unused = False
        return
    # The number of an action that was refused as not run may be used by another action.
    program.actions[record.seq] = ActionEntry(record.seq, record.digest, record.key)
    program.touched_at = record.at


@apply_record.register
def _(record: records.ActionFinished, table: ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    entry = program.actions.get(record.seq) if program is not None else None
    if entry is None or entry.settled():
        return
    entry.result = record.result
    # An unknown result may be settled after later steps of the program.
    program.next_seq = max(program.next_seq, record.seq + 1)
    program.touched_at = record.at


@apply_record.register
def _(record: records.ActionIntent, table: ProgramTable) -> None:
    key = ActionKey(record.customer, record.key)
    if key in table.keys:
        return
    table.keys[key] = KeyEntry(
        customer=record.customer,
        key=record.key,
        digest=record.digest,
        service=record.service,
        path=record.path,
        token=record.token,
        at=record.at,
    )


@apply_record.register
def _(record: records.ActionOutcome, table: ProgramTable) -> None:
    entry = table.key(record.customer, record.key)
    if entry is None or entry.settled():
        return
    entry.result = record.result
    entry.at = record.at


@apply_record.register
def _(record: records.ProgramTouched, table: ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    if program is not None:
        program.touched_at = record.at


@apply_record.register
def _(record: records.ProgramEnded, table: ProgramTable) -> None:
    program = table.find(record.customer, record.program)
    if program is None or program.status != structures.ProgramStatus.ACTIVE:
        return
    program.status = record.status
    program.reason = record.reason
    program.ended_at = record.at


@apply_record.register
def _(record: records.Suspected, table: ProgramTable) -> None:
    previous = table.suspects.get(record.digest)
    if previous is None or previous.crashes < record.crashes:
        table.suspects[record.digest] = record


def key_of(program: Program) -> ProgramKey:
    """Return the key of a program in :class:`ProgramTable`."""
    return ProgramKey(program.customer, program.id)


def session_of(program: Program) -> str:
    """Return the session id under which engines cache the program's prefix."""
    return f"{program.customer}/{program.id}"


def check_open(program: Program) -> None:
    """Raise if a program has ended.

    Raises
    ------
    ProgramLimitError, ProgramFinishedError
        With the reason for which it ended; nothing was run.
    """
    if program.status == structures.ProgramStatus.ACTIVE:
        return
    detail = f"program {program.id!r} ended ({program.reason}); create a new program"
    if program.status == structures.ProgramStatus.LIMITED:
        raise exceptions.ProgramLimitError(detail)
    raise exceptions.ProgramFinishedError(detail)


def settle_reservation(
    table: ProgramTable, program: Program, entry: CallEntry, charged: int
) -> None:
    """Replace the reservation of a call by its charge.

    The charge is capped at the reservation, so that ``spent + reserved <= budget`` holds even when
    an engine reports more tokens than were reserved.
    """
    root = table.root(program)
    root.reserved_tokens -= entry.reserved_tokens
    root.spent_tokens += min(charged, entry.reserved_tokens)
    entry.reserved_tokens = 0
