"""Encoding of the state of shards for checkpoints, hand-overs and imports.

State is a list of small items, packed into parts below the platform's object size limit. A
program and its turns are separate items, so one program may span several parts.
"""

import collections.abc

import msgspec

from dogwoodgap import entries, exceptions, programs, records, shards

MAX_PART_BYTES = 900_000
"""No item is added to a part that would exceed this size. A single item may be larger: up to
950,000 bytes, the journal's record limit, plus its framing."""


class ShardItem(msgspec.Struct, tag="shard", array_like=True):
    """Header of a shard's state, with the generation at which the shard was acquired."""

    shard: int
    generation: int


class ProgramItem(msgspec.Struct, tag="program", array_like=True):
    """A program without its calls and actions."""

    program: entries.Program


class CallItem(msgspec.Struct, tag="call", array_like=True):
    """A call of a program; the program's item precedes it."""

    customer: str
    program: str
    call: entries.CallEntry


class ActionItem(msgspec.Struct, tag="action", array_like=True):
    """An action of a program; the program's item precedes it."""

    customer: str
    program: str
    action: entries.ActionEntry


class KeyItem(msgspec.Struct, tag="key", array_like=True):
    """An idempotency key."""

    entry: entries.KeyEntry


class SuspectItem(msgspec.Struct, tag="suspect", array_like=True):
    """A quarantined request digest."""

    suspect: records.Suspected


Item = ShardItem | ProgramItem | CallItem | ActionItem | KeyItem | SuspectItem

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[Item])


def program_items(program: entries.Program) -> collections.abc.Iterator[Item]:
    """Yield a program and then its calls and actions."""
    yield ProgramItem(msgspec.structs.replace(program, calls={}, actions={}))
    for call in program.calls.values():
        yield CallItem(program.customer, program.id, call)
    for action in program.actions.values():
        yield ActionItem(program.customer, program.id, action)


def export_shards(
    table: programs.ProgramTable, selected_shards: set[int]
) -> dict[int, list[bytes]]:
    """Return the encoded items of some shards in one pass over the table.

    Shards without state are present with an empty list.
    """
    items: dict[int, list[bytes]] = {shard: [] for shard in selected_shards}
    for program in table.programs.values():
        shard = shards.program_shard(program.customer, program.id)
        if shard in items:
            items[shard].extend(_encoder.encode(item) for item in program_items(program))
    for entry in table.keys.values():
        shard = shards.key_shard(entry.customer, entry.key)
        if shard in items:
            items[shard].append(_encoder.encode(KeyItem(entry)))
    return items


def shards_with_state(table: programs.ProgramTable) -> set[int]:
    """Return the shards that have programs or keys."""
    program_shards = {shards.program_shard(key.customer, key.program) for key in table.programs}
    return program_shards | {shards.key_shard(key.customer, key.key) for key in table.keys}


def export_suspects(table: programs.ProgramTable) -> list[bytes]:
    """Return the encoded quarantined digests."""
    return [_encoder.encode(SuspectItem(suspect)) for suspect in table.suspects.values()]


def shard_header(table: programs.ProgramTable, shard: int) -> bytes:
    """Return the item that precedes a shard's state in a checkpoint."""
    return _encoder.encode(ShardItem(shard, table.generations[shard]))


def pack(items: list[bytes]) -> list[bytes]:
    """Pack encoded items, in order, into parts of limited size."""
    parts: list[bytes] = []
    current: list[msgspec.Raw] = []
    size = 0
    for item in items:
        if current and size + len(item) > MAX_PART_BYTES:
            parts.append(_encoder.encode(current))
            current, size = [], 0
        current.append(msgspec.Raw(item))
        size += len(item)
    if current:
        parts.append(_encoder.encode(current))
    return parts


def unpack(part: bytes) -> list[Item]:
    """Return the items of one part.

    Raises
    ------
    JournalDamagedError
        When the part cannot be decoded.
    """
    try:
        return _decoder.decode(part)
    except msgspec.DecodeError as error:
        raise exceptions.JournalDamagedError(
            f"part of a checkpoint or hand-over cannot be decoded ({error}); "
            "restore the object from a backup"
        ) from error


class TableBuilder:
    """Rebuilds a program table from checkpoint parts and journal records, for selected shards.

    Ownership of a shard begins with ``ShardAcquired``, after any ``Imported`` parts, and ends
    with ``ShardReleased``. Records outside a period of ownership are ignored.

    Parameters
    ----------
    selected_shards : set of int
        Shards to read; records of others are skipped.
    """

    def __init__(self, selected_shards: set[int]):
        self.selected_shards = selected_shards
        self.table = programs.ProgramTable()
        self.imported: dict[int, list[bytes]] = {}
        self.current_shard: int = -1

    def add_part(self, part: bytes) -> None:
        """Add the next part of a checkpoint; the items of a shard may span several parts."""
        for item in unpack(part):
            if isinstance(item, ShardItem):
                self.current_shard = item.shard
                if item.shard in self.selected_shards:
                    self.table.generations[item.shard] = item.generation
            elif isinstance(item, SuspectItem) or self.current_shard in self.selected_shards:
                add_item(self.table, item)

    def add_record(self, record: records.Record) -> None:
        """Apply the next record of the journal."""
        shard = records.shard_of(record)
        if shard is None:
            self.table.apply(record)
        elif shard not in self.selected_shards:
            return
        elif isinstance(record, records.Imported):
            self.imported.setdefault(shard, []).append(record.state)
        elif isinstance(record, records.ShardAcquired):
            self.table.drop_shards({shard})
            import_shard(self.table, shard, record.generation, self.imported.pop(shard, []))
        elif isinstance(record, records.ShardReleased):
            self.table.drop_shards({shard})
        elif shard in self.table.generations:
            self.table.apply(record)


def import_shard(
    table: programs.ProgramTable, shard: int, generation: int, parts: list[bytes]
) -> None:
    """Add the state of a shard to a table."""
    table.generations[shard] = generation
    for part in parts:
        for item in unpack(part):
            add_item(table, item)


def add_item(table: programs.ProgramTable, item: Item) -> None:
    """Add one item to a table; a program must precede its calls and actions."""
    match item:
        case ProgramItem(program=program):
            table.programs[entries.ProgramKey(program.customer, program.id)] = program
        case CallItem(call=call):
            table.get(item.customer, item.program).calls[call.seq] = call
        case ActionItem(action=action):
            table.get(item.customer, item.program).actions[action.seq] = action
        case KeyItem(entry=entry):
            table.keys[entries.ActionKey(entry.customer, entry.key)] = entry
        case SuspectItem(suspect=suspect):
            table.apply(suspect)
