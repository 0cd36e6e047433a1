"""Loading of shards from the journals and hand-overs that the assignment lists."""

import dataclasses
import logging

import msgspec

from dogwoodgap import (
    entries,
    events,
    exceptions,
    objectstore,
    programs,
    records,
    shards,
    snapshots,
    transfer,
)

OWNER_LOST_CODE = "owner-lost"


class HandOffPart(msgspec.Struct, array_like=True):
    """One object of a hand-over.

    Attributes
    ----------
    total : int
        Number of parts.
    """

    total: int
    state: bytes


@dataclasses.dataclass
class LoadedShards:
    """State ready to be imported, by shard, and the quarantine digests of the journals read."""

    parts: dict[int, list[bytes]] = dataclasses.field(default_factory=dict)
    suspects: list[records.Suspected] = dataclasses.field(default_factory=list)


def handoff_key(name: str, part: int) -> str:
    """Return the object key of one part of a hand-over."""
    return f"handoff/{name}/{part:0{snapshots.PART_DIGITS}d}"


async def load(
    store: objectstore.ObjectStore,
    pending: dict[int, shards.ShardEntry],
    reader: shards.Owner,
    now: float,
) -> LoadedShards:
    """Return the state of all pending shards whose sources can be read.

    Each journal is sealed and read once for all shards that have it as a source.
    """
    journals = await read_journals(store, pending, reader)
    exported: dict[str, dict[int, list[bytes]]] = {}
    for name, journal in journals.items():
        exported[name] = transfer.export_shards(journal.table, journal.selected_shards)
    loaded = LoadedShards()
    failures: dict[str, exceptions.StoreError] = {}
    for shard, entry in pending.items():
        try:
            parts = await shard_state(store, shard, entry, journals, exported)
            loaded.parts[shard] = settle_state(shard, parts, now)
        except exceptions.StoreError as error:
            failures.setdefault(error.detail, error)
    # One event per cause: in an outage, hundreds of shards wait for the same journal.
    for error in failures.values():
        log_load_failure(f"state of {len(pending) - len(loaded.parts)} shards", error)
    for journal in journals.values():
        loaded.suspects.extend(journal.table.suspects.values())
    return loaded


async def read_journals(
    store: objectstore.ObjectStore, pending: dict[int, shards.ShardEntry], reader: shards.Owner
) -> dict[str, transfer.TableBuilder]:
    """Return the journals that pending shards need, without those that cannot be read."""
    shards_by_journal: dict[str, set[int]] = {}
    for shard, entry in pending.items():
        for source in entry.sources:
            if source.kind == "journal":
                shards_by_journal.setdefault(source.name, set()).add(shard)
    journals: dict[str, transfer.TableBuilder] = {}
    for name, journal_shards in shards_by_journal.items():
        owner = shards.Owner(*name.split("/"))
        try:
            journals[name] = await snapshots.load_journal(store, owner, journal_shards, str(reader))
        except exceptions.StoreError as error:
            log_load_failure(f"journal {name}", error)
    return journals


async def shard_state(
    store: objectstore.ObjectStore,
    shard: int,
    entry: shards.ShardEntry,
    journals: dict[str, transfer.TableBuilder],
    exported: dict[str, dict[int, list[bytes]]],
) -> list[bytes]:
    """Return the newest state among a shard's sources, or an empty list when there is none.

    An owner that crashed before its import was stored has no state in its journal, so an earlier
    source is used.
    """
    for source in reversed(entry.sources):
        if source.kind == "handoff":
            return await read_handoff(store, source.name)
        journal = journals.get(source.name)
        if journal is None:
            raise exceptions.StoreUnavailableError(
                f"journal {source.name} was not read; the load is repeated"
            )
        if journal.table.generations.get(shard) == source.generation:
            return transfer.pack(exported[source.name][shard])
    return []


async def read_handoff(store: objectstore.ObjectStore, name: str) -> list[bytes]:
    """Read the parts of a hand-over from the store."""
    parts: list[bytes] = []
    total = 1
    while len(parts) < total:
        stored = await store.get(handoff_key(name, len(parts)))
        part = decode_part(stored)
        total = part.total
        parts.append(part.state)
    return parts


def decode_part(stored: objectstore.StoredObject) -> HandOffPart:
    """Decode one part of a hand-over."""
    try:
        return msgspec.msgpack.decode(stored.data, type=HandOffPart)
    except msgspec.DecodeError as error:
        raise exceptions.JournalDamagedError(
            f"object {stored.key} cannot be decoded ({error}); restore it from a backup"
        ) from error


async def write_handoff(store: objectstore.ObjectStore, name: str, items: list[bytes]) -> None:
    """Write the state of a shard to the store as the parts of a hand-over."""
    parts = transfer.pack(items)
    for number, state in enumerate(parts):
        data = msgspec.msgpack.encode(HandOffPart(len(parts), state))
        await objectstore.put_until_stored(store, handoff_key(name, number), data)


def settle_state(shard: int, parts: list[bytes], now: float) -> list[bytes]:
    """Return a shard's state with its open calls settled.

    Handed-over state is settled too: the earlier owner cannot record here, so a call that it left
    open would keep its reservation forever.
    """
    table = programs.ProgramTable()
    transfer.import_shard(table, shard, 0, parts)
    if not settle_open_calls(table, now):
        return parts
    return transfer.pack(transfer.export_shards(table, {shard})[shard])


def settle_open_calls(table: programs.ProgramTable, now: float) -> int:
    """Charge the reservation of each unfinished call, since a runner may have worked on it.

    Returns the number of such calls.
    """
    failures = [
        owner_lost_record(program, entry, now)
        for program in table.programs.values()
        for entry in program.open_calls()
    ]
    for record in failures:
        table.apply(record)
    return len(failures)


def owner_lost_record(
    program: entries.Program, entry: entries.CallEntry, now: float
) -> records.CallFailed:
    """Return the record that settles a call whose owner was lost."""
    return records.CallFailed(
        customer=program.customer,
        program=program.id,
        seq=entry.seq,
        digest=entry.digest,
        charged_tokens=entry.reserved_tokens,
        code=OWNER_LOST_CODE,
        at=now,
    )


def log_load_failure(description: str, error: exceptions.DogwoodgapError) -> None:
    """Log that a load failed and will be repeated."""
    events.emit(
        events.Event.RECONCILE_FAILED,
        f"{description} could not be loaded; the load is repeated",
        level=logging.WARNING,
        detail=error.detail,
    )
