"""Deletion of unreferenced journals, checkpoints and hand-overs."""

import logging
import typing

import anyio

from dogwoodgap import events, exceptions, objectstore, shards, snapshots

if typing.TYPE_CHECKING:
    from dogwoodgap import recovery

SWEEP_INTERVAL_S = 600.0
RETIRED_JOURNAL_SEGMENTS = 1
"""A retired journal still has its seal segment."""


async def delete_sources(ownership: "recovery.Ownership", sources: set[shards.Source]) -> None:
    """Delete sources that this node has loaded, except journals that are still referenced."""
    try:
        for source in sources:
            if source.kind == "handoff":
                await delete_handoff(ownership, source.name)
            else:
                await retire_if_unreferenced(ownership, shards.Owner(*source.name.split("/")))
    except exceptions.StoreError as error:
        log_failure(error)


async def retire_if_unreferenced(ownership: "recovery.Ownership", owner: shards.Owner) -> None:
    """Delete a journal unless its boot owns a shard or a shard names it as a source."""
    if not is_referenced(ownership, owner):
        await snapshots.retire_journal(ownership.store, owner, str(ownership.local_owner))


def is_referenced(ownership: "recovery.Ownership", owner: shards.Owner) -> bool:
    """Return whether a boot owns shards or its journal still has to be loaded."""
    current = ownership.assignment.current
    names = {source.name for source in current.sources() if source.kind == "journal"}
    return owner in current.owners() or str(owner) in names


async def delete_handoff(ownership: "recovery.Ownership", name: str) -> None:
    """Delete the parts of a hand-over."""
    for info in await objectstore.list_all(ownership.store, f"handoff/{name}/"):
        await objectstore.delete_until_gone(ownership.store, info.key)


async def run_sweeps(ownership: "recovery.Ownership") -> None:
    """Periodically delete what crashed nodes left behind; one live node does this at a time."""
    while True:
        await anyio.sleep(SWEEP_INTERVAL_S)
        if ownership.rank("sweep") != 0:
            continue
        try:
            await sweep(ownership)
        except exceptions.StoreError as error:
            log_failure(error)


async def sweep(ownership: "recovery.Ownership") -> None:
    """Delete all unreferenced journals and hand-overs."""
    await ownership.assignment.load()
    segments: dict[shards.Owner, int] = {}
    for info in await objectstore.list_all(ownership.store, "journal/"):
        _, name, boot, last_part = info.key.split("/")
        if last_part.isdigit():
            owner = shards.Owner(name, boot)
            segments[owner] = segments.get(owner, 0) + 1
    for owner, count in segments.items():
        if count > RETIRED_JOURNAL_SEGMENTS and ownership.is_dead(owner):
            await retire_if_unreferenced(ownership, owner)
    await sweep_handoffs(ownership)


async def sweep_handoffs(ownership: "recovery.Ownership") -> None:
    """Delete hand-overs older than the current ownership of their shard.

    The version in the name of a hand-over that is still being written is never below the shard's
    generation.
    """
    current = ownership.assignment.current
    referenced = {source.name for source in current.sources() if source.kind == "handoff"}
    for info in await objectstore.list_all(ownership.store, "handoff/"):
        _, shard, version, _ = info.key.split("/")
        superseded = current.shards[int(shard)].generation > int(version.partition(".")[0])
        if superseded and f"{shard}/{version}" not in referenced:
            await objectstore.delete_until_gone(ownership.store, info.key)


def log_failure(error: exceptions.DogwoodgapError) -> None:
    """Log that a deletion failed."""
    events.emit(
        events.Event.CLEANUP_FAILED,
        "deletion failed; the next sweep retries it",
        level=logging.WARNING,
        detail=error.detail,
    )
