"""The programs of a node, rebuilt by applying journal records."""

import dataclasses
import functools
import hashlib
import typing

import msgspec

from dogwoodgap import exceptions, records, shards, structures


class CallEntry(msgspec.Struct):
    """A started or finished call; ``turn`` is None while it runs."""

    seq: int
    digest: str
    reserved_tokens: int
    turn: structures.Turn | None = None


class ActionEntry(msgspec.Struct):
    """A started or finished action of a program.

    Attributes
    ----------
    unused : bool
        Whether the action was refused as not run, so that another may take the number.
    """

    seq: int
    digest: str
    key: str
    result: structures.ActionResult | None = None
    unused: bool = False


Entry = CallEntry | ActionEntry


class Program(msgspec.Struct):
    """State of one program. Times are wall time in seconds.

    Attributes
    ----------
    spent_tokens, reserved_tokens : int
        Of the whole tree; kept on the root program only.
    next_seq : int
        Sequence number that the next call or action must carry.
    """

    customer: str
    id: str
    service: str
    profile: str
    budget_tokens: int
    created_at: float
    deadline_at: float
    parent: str = ""
    status: str = structures.ProgramStatus.ACTIVE.value
    reason: str = ""
    touched_at: float = 0.0
    ended_at: float = 0.0
    next_seq: int = 1
    spent_tokens: int = 0
    reserved_tokens: int = 0
    turn_count: int = 0
    children: list[str] = []
    calls: dict[int, CallEntry] = {}
    actions: dict[int, ActionEntry] = {}

    def entry(self, seq: int) -> Entry | None:
        """Return the call or action with a sequence number."""
        return self.calls.get(seq) or self.actions.get(seq)

    def turns(self) -> list[structures.Turn]:
        """Return the finished turns in order."""
        entries = [self.calls[seq] for seq in sorted(self.calls)]
        return [entry.turn for entry in entries if entry.turn is not None]

    def context_tokens(self) -> int:
        """Return the length of the conversation after the last turn."""
        turns = self.turns()
        return turns[-1].prompt_tokens + turns[-1].output_tokens if turns else 0


class KeyEntry(msgspec.Struct):
    """What is recorded for an idempotency key; ``result`` is None after the intent only."""

    customer: str
    key: str
    digest: str
    service: str
    path: str
    token: str
    at: float
    result: structures.ActionResult | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramKey:
    """Identity of a program."""

    customer: str
    program: str


@dataclasses.dataclass(frozen=True, slots=True)
class ActionKey:
    """Identity of a non-idempotent action."""

    customer: str
    key: str


@dataclasses.dataclass
class ProgramTable:
    """Programs and idempotency keys of the shards that a node owns."""

    programs: dict[ProgramKey, Program] = dataclasses.field(default_factory=dict)
    keys: dict[ActionKey, KeyEntry] = dataclasses.field(default_factory=dict)

    def get(self, customer: str, program: str) -> Program:
        """Return a program.

        Raises
        ------
        UnknownProgramError
            When this customer has no such program here.
        """
        found = self.programs.get(ProgramKey(customer, program))
        if found is None:
            raise exceptions.UnknownProgramError(
                f"program {program!r} does not exist; create it with POST /v1/programs"
            )
        return found

    def root(self, program: Program) -> Program:
        """Return the root of a program's tree, which accounts for the budget."""
        return self.get(program.customer, shards.root_of(program.id))

    def tree(self, program: Program) -> list[Program]:
        """Return a program and its descendants, parents first."""
        found = [program]
        for item in found:
            found.extend(self.get(item.customer, child) for child in item.children)
        return found

    def remaining_tokens(self, program: Program) -> int:
        """Return what the tree's budget still allows."""
        root = self.root(program)
        return root.budget_tokens - root.spent_tokens - root.reserved_tokens

    def key(self, customer: str, key: str) -> KeyEntry | None:
        """Return what is recorded for an idempotency key."""
        return self.keys.get(ActionKey(customer, key))

    def apply(self, record: records.Record) -> None:
        """Change the state by one record."""
        apply_record(record, self)


@functools.singledispatch
def apply_record(record: records.Record, table: ProgramTable) -> None:
    """Change a table by one record; records of other modules change nothing."""


@apply_record.register
def _(record: records.ProgramCreated, table: ProgramTable) -> None:
    key = ProgramKey(record.customer, record.program)
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
    if record.parent:
        table.get(record.customer, record.parent).children.append(record.program)


@apply_record.register
def _(record: records.CallStarted, table: ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = CallEntry(record.seq, record.digest, record.reserved_tokens)
    program.calls[record.seq] = entry
    program.actions.pop(record.seq, None)
    program.touched_at = record.at
    table.root(program).reserved_tokens += record.reserved_tokens


@apply_record.register
def _(record: records.CallFinished, table: ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = program.calls[record.turn.seq]
    charged = charge_of(program, record.turn)
    entry.turn = record.turn
    program.next_seq = record.turn.seq + 1
    program.turn_count += 1
    program.touched_at = record.turn.finished_at
    settle(table, program, entry, charged)


@apply_record.register
def _(record: records.CallFailed, table: ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    entry = program.calls.pop(record.seq)
    program.touched_at = record.at
    settle(table, program, entry, record.charged_tokens)


@apply_record.register
def _(record: records.ActionStarted, table: ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    program.actions[record.seq] = ActionEntry(record.seq, record.digest, record.key)
    program.touched_at = record.at


@apply_record.register
def _(record: records.ActionFinished, table: ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    program.actions[record.seq].result = record.result
    # An unknown result may be settled after the program went on.
    program.next_seq = max(program.next_seq, record.seq + 1)
    program.touched_at = record.at


@apply_record.register
def _(record: records.ActionIntent, table: ProgramTable) -> None:
    table.keys[ActionKey(record.customer, record.key)] = KeyEntry(
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
    entry = table.keys[ActionKey(record.customer, record.key)]
    entry.result = record.result
    entry.at = record.at


@apply_record.register
def _(record: records.ProgramTouched, table: ProgramTable) -> None:
    table.get(record.customer, record.program).touched_at = record.at


@apply_record.register
def _(record: records.ProgramEnded, table: ProgramTable) -> None:
    program = table.get(record.customer, record.program)
    program.status = record.status
    program.reason = record.reason
    program.ended_at = record.at


def key_of(program: Program) -> ProgramKey:
    """Return the identity of a program."""
    return ProgramKey(program.customer, program.id)


def session_of(program: Program) -> str:
    """Return the name under which engines cache the program's prefix."""
    return f"{program.customer}/{program.id}"


def check_open(program: Program) -> None:
    """Refuse work for an ended program.

    Raises
    ------
    ProgramLimitError, ProgramFinishedError
        With the reason why it ended; nothing was run.
    """
    if program.status == structures.ProgramStatus.ACTIVE:
        return
    detail = f"program {program.id!r} ended ({program.reason}); create a new program"
    if program.status == structures.ProgramStatus.LIMITED:
        raise exceptions.ProgramLimitError(detail)
    raise exceptions.ProgramFinishedError(detail)


def charge_of(program: Program, turn: structures.Turn) -> int:
    """Return the tokens that a turn added to the conversation."""
    return max(0, turn.prompt_tokens - program.context_tokens()) + turn.output_tokens


def settle(table: ProgramTable, program: Program, entry: CallEntry, charged: int) -> None:
    """Replace the reservation of a call by its charge."""
    root = table.root(program)
    root.reserved_tokens -= entry.reserved_tokens
    root.spent_tokens += charged


def digest_of(value: typing.Any) -> str:
    """Return the digest of a request body."""
    return hashlib.blake2b(
        msgspec.json.encode(value, order="deterministic"), digest_size=16
    ).hexdigest()
