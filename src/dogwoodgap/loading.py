"""Loading of shards from the journals and hand-overs that the assignment names."""

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
    """State ready to be imported, by shard, and the digests found on the way."""

    parts: dict[int, list[bytes]] = dataclasses.field(default_factory=dict)
    suspects: list[records.Suspected] = dataclasses.field(default_factory=list)


def handoff_key(name: str, part: int) -> str:
    """Return the key of one part of a hand-over."""
    return f"handoff/{name}/{part:0{snapshots.PART_DIGITS}d}"


async def load(
    store: objectstore.ObjectStore,
    pending: dict[int, shards.ShardEntry],
    reader: shards.Owner,
    now: float,
) -> LoadedShards:
    """Return the state of all pending shards whose sources can be read.

    Every journal is sealed and read once for all shards that name it.
    """
    journals = await read_journals(store, pending, reader)
    exported: dict[str, dict[int, list[bytes]]] = {}
    for name, found in journals.items():
        exported[name] = transfer.export_shards(found.table, found.wanted)
    loaded = LoadedShards()
    failures: dict[str, exceptions.StoreError] = {}
    for shard, entry in pending.items():
        try:
            parts = await state_of(store, shard, entry, journals, exported)
            loaded.parts[shard] = settled(shard, parts, now)
        except exceptions.StoreError as error:
            failures.setdefault(error.detail, error)
    # One event for each cause: in an outage, hundreds of shards wait for the same journal.
    for error in failures.values():
        skipped(f"state of {len(pending) - len(loaded.parts)} shards", error)
    for found in journals.values():
        loaded.suspects.extend(found.table.suspects.values())
    return loaded


async def read_journals(
    store: objectstore.ObjectStore, pending: dict[int, shards.ShardEntry], reader: shards.Owner
) -> dict[str, transfer.TableBuilder]:
    """Return the journals that pending shards name, without those that cannot be read."""
    wanted: dict[str, set[int]] = {}
    for shard, entry in pending.items():
        for source in entry.sources:
            if source.kind == "journal":
                wanted.setdefault(source.name, set()).add(shard)
    found: dict[str, transfer.TableBuilder] = {}
    for name, group in wanted.items():
        owner = shards.Owner(*name.split("/"))
        try:
            found[name] = await snapshots.load_journal(store, owner, group, str(reader))
        except exceptions.StoreError as error:
            skipped(f"journal {name}", error)
    return found


async def state_of(
    store: objectstore.ObjectStore,
    shard: int,
    entry: shards.ShardEntry,
    journals: dict[str, transfer.TableBuilder],
    exported: dict[str, dict[int, list[bytes]]],
) -> list[bytes]:
    """Return the newest state among a shard's sources; no state is an empty list.

    An owner that died before its import was durable left nothing in its journal, and an earlier
    source counts.
    """
    for source in reversed(entry.sources):
        if source.kind == "handoff":
            return await read_handoff(store, source.name)
        found = journals.get(source.name)
        if found is None:
            raise exceptions.StoreUnavailableError(
                f"journal {source.name} was not read; the load is repeated"
            )
        if found.table.generations.get(shard) == source.generation:
            return transfer.pack(exported[source.name][shard])
    return []


async def read_handoff(store: objectstore.ObjectStore, name: str) -> list[bytes]:
    """Return the parts of a hand-over."""
    parts: list[bytes] = []
    total = 1
    while len(parts) < total:
        stored = await store.get(handoff_key(name, len(parts)))
        part = decode_part(stored)
        total = part.total
        parts.append(part.state)
    return parts


def decode_part(stored: objectstore.StoredObject) -> HandOffPart:
    """Return one part of a hand-over."""
    try:
        return msgspec.msgpack.decode(stored.data, type=HandOffPart)
    except msgspec.DecodeError as error:
        raise exceptions.JournalDamagedError(
            f"object {stored.key} cannot be decoded ({error}); restore it from a backup"
        ) from error


async def write_handoff(store: objectstore.ObjectStore, name: str, items: list[bytes]) -> None:
    """Write the parts of a hand-over."""
    parts = transfer.pack(items)
    for number, state in enumerate(parts):
        data = msgspec.msgpack.encode(HandOffPart(len(parts), state))
        await objectstore.put_until_stored(store, handoff_key(name, number), data)


def settled(shard: int, parts: list[bytes], now: float) -> list[bytes]:
    """Return a shard's state without open calls.

    This includes hand-overs: the work of an earlier owner can record nothing here, so a call that
    it left open would hold its reservation for good.
    """
    table = programs.ProgramTable()
    transfer.import_shard(table, shard, 0, parts)
    if not settle_open_calls(table, now):
        return parts
    return transfer.pack(transfer.export_shards(table, {shard})[shard])


def settle_open_calls(table: programs.ProgramTable, now: float) -> int:
    """Charge each started, unfinished call its reservation: a runner may have worked on it.

    Returns the number of such calls.
    """
    lost = [
        lost_call(program, entry, now)
        for program in table.programs.values()
        for entry in program.open_calls()
    ]
    for record in lost:
        table.apply(record)
    return len(lost)


def lost_call(program: entries.Program, entry: entries.CallEntry, now: float) -> records.CallFailed:
    """Return the record that settles a call whose owner is gone."""
    return records.CallFailed(
        customer=program.customer,
        program=program.id,
        seq=entry.seq,
        digest=entry.digest,
        charged_tokens=entry.reserved_tokens,
        code=OWNER_LOST_CODE,
        at=now,
    )


def skipped(what: str, error: exceptions.DogwoodgapError) -> None:
    """Log that something could not be loaded now."""
    events.emit(
        events.Event.RECONCILE_FAILED,
        f"{what} could not be loaded; the load is repeated",
        level=logging.WARNING,
        detail=error.detail,
    )
