"""Deletion of journals, checkpoints and hand-overs that nothing refers to."""

import logging
import typing

import anyio

from dogwoodgap import events, exceptions, objectstore, shards, snapshots

if typing.TYPE_CHECKING:
    from dogwoodgap import recovery

SWEEP_INTERVAL_S = 600.0
RETIRED_SEGMENTS = 1
"""A retired journal keeps its seal."""


async def delete_sources(node: "recovery.Ownership", sources: set[shards.Source]) -> None:
    """Delete what this node has loaded, unless someone else still needs it."""
    try:
        for source in sources:
            if source.kind == "handoff":
                await delete_handoff(node, source.name)
            else:
                await retire(node, shards.Owner(*source.name.split("/")))
    except exceptions.StoreError as error:
        failed(error)


async def retire(node: "recovery.Ownership", owner: shards.Owner) -> None:
    """Delete a journal that no shard and no source refers to."""
    if not referenced(node, owner):
        await snapshots.retire(node.store, owner, str(node.local_owner))


def referenced(node: "recovery.Ownership", owner: shards.Owner) -> bool:
    """Return whether a boot owns shards, or its journal has still to be loaded."""
    current = node.assignment.current
    names = {source.name for source in current.sources() if source.kind == "journal"}
    return owner in current.owners() or str(owner) in names


async def delete_handoff(node: "recovery.Ownership", name: str) -> None:
    """Delete the parts of a hand-over."""
    for info in await objectstore.list_all(node.store, f"handoff/{name}/"):
        await objectstore.delete_until_gone(node.store, info.key)


async def sweep_always(node: "recovery.Ownership") -> None:
    """Delete now and then what nodes left behind that died while they cleaned up."""
    while True:
        await anyio.sleep(SWEEP_INTERVAL_S)
        if node.rank("sweep") != 0:
            continue
        try:
            await sweep(node)
        except exceptions.StoreError as error:
            failed(error)


async def sweep(node: "recovery.Ownership") -> None:
    """Delete everything that nothing refers to."""
    await node.assignment.load()
    segments: dict[shards.Owner, int] = {}
    for info in await objectstore.list_all(node.store, "journal/"):
        _, name, boot, last = info.key.split("/")
        if last.isdigit():
            owner = shards.Owner(name, boot)
            segments[owner] = segments.get(owner, 0) + 1
    for owner, count in segments.items():
        if count > RETIRED_SEGMENTS and node.is_dead(owner):
            await retire(node, owner)
    await sweep_handoffs(node)


async def sweep_handoffs(node: "recovery.Ownership") -> None:
    """Delete hand-overs that the shard's ownership has passed.

    A hand-over that is being written has a version that is not below the shard's generation.
    """
    current = node.assignment.current
    wanted = {source.name for source in current.sources() if source.kind == "handoff"}
    for info in await objectstore.list_all(node.store, "handoff/"):
        _, shard, version, _ = info.key.split("/")
        passed = current.shards[int(shard)].generation > int(version.partition(".")[0])
        if passed and f"{shard}/{version}" not in wanted:
            await objectstore.delete_until_gone(node.store, info.key)


def failed(error: exceptions.DogwoodgapError) -> None:
    """Log that a deletion has to wait for the next sweep."""
    events.emit(
        events.Event.CLEANUP_FAILED,
        "deletion failed; the next sweep repeats it",
        level=logging.WARNING,
        detail=error.detail,
    )
