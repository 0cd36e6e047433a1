"""Planned moves of shards: rebalancing to nodes that joined, and emptying a node that stops."""

import collections
import typing
import uuid

import anyio

from dogwoodgap import events, exceptions, loading, records, shards, transfer

if typing.TYPE_CHECKING:
    from dogwoodgap import recovery, sessions

REBALANCE_INTERVAL_S = 1.0
MAX_MOVED_SHARDS = 128
"""Shards per hand-over while the node goes on serving; a move pauses them for a few writes."""

BUSY_POLL_S = 0.05


async def rebalance_always(node: "recovery.Ownership") -> None:
    """Give shards to nodes with fewer, as long as the session lasts."""
    while True:
        await anyio.sleep(REBALANCE_INTERVAL_S)
        target = receiver(node)
        if node.leaving or target is None:
            continue
        wanted = movable(node, target)
        if not wanted:
            continue
        try:
            await hand_over(node, wanted, target)
        except exceptions.StoreError as error:
            loading.log_load_failure("hand-over", error)


def counts(node: "recovery.Ownership") -> dict[shards.Owner, int]:
    """Return the number of shards of each live boot, this one included."""
    found = collections.Counter(entry.owner for entry in node.assignment.current.shards)
    return {owner: found[owner] for owner in node.live()}


def settled(node: "recovery.Ownership") -> bool:
    """Return whether every shard has a live owner that has loaded it."""
    live = node.live()
    return all(
        entry.owner in live and not entry.sources for entry in node.assignment.current.shards
    )


def receiver(node: "recovery.Ownership") -> shards.Owner | None:
    """Return who should receive shards of this node, if anyone should."""
    if not settled(node):
        return None
    held = counts(node)
    giver = max(held, key=lambda owner: (held[owner], owner))
    target = min(held, key=lambda owner: (held[owner], owner))
    balanced = held[giver] - held[target] <= max(1, held[giver] // 8)
    return None if balanced or giver != node.me else target


def movable(node: "recovery.Ownership", target: shards.Owner) -> set[int]:
    """Return idle shards to give; those without state come first, since they move at once."""
    held = counts(node)
    limit = min(MAX_MOVED_SHARDS, (held[node.me] - held[target]) // 2)
    idle = [shard for shard in sorted(node.session.loaded) if not node.hooks.busy(shard)]
    exported = transfer.shards_with_state(node.table)
    idle.sort(key=lambda shard: shard in exported)
    return set(idle[:limit])


async def hand_over_all(node: "recovery.Ownership") -> None:
    """Empty a node that stops: each shard moves as soon as its running work has ended.

    Returns early when no other node is live; the shards are then taken over from the journal.
    """
    node.leaving = True
    session = node.session
    session.frozen |= session.loaded
    while not session.sealed and held_shards(node):
        targets = sorted(node.live() - {node.me})
        if not targets:
            return
        session.frozen |= session.loaded
        try:
            for target, wanted in spread(node, targets).items():
                await hand_over(node, wanted, target)
        except exceptions.StoreError as error:
            loading.log_load_failure("hand-over", error)
        await anyio.sleep(BUSY_POLL_S)


def held_shards(node: "recovery.Ownership") -> bool:
    """Return whether this boot still has shards, loaded or assigned."""
    return bool(node.session.loaded) or bool(node.assignment.current.owned_by(node.me))


def spread(node: "recovery.Ownership", targets: list[shards.Owner]) -> dict[shards.Owner, set[int]]:
    """Return the idle shards for each target, those with the fewest shards first."""
    held = counts(node)
    found: dict[shards.Owner, set[int]] = {}
    for shard in sorted(node.session.loaded):
        if node.hooks.busy(shard) or node.assignment.current.shards[shard].sources:
            continue
        target = min(targets, key=lambda owner: (held[owner], owner))
        held[target] += 1
        found.setdefault(target, set()).add(shard)
    return found


async def hand_over(node: "recovery.Ownership", wanted: set[int], target: shards.Owner) -> None:
    """Move idle shards to another node in one conditional update.

    From the first step on nothing is recorded for these shards here, so what is exported after
    the barrier is everything that was ever acknowledged.
    """
    session = node.session
    wanted = wanted & session.loaded
    session.closing |= wanted
    session.loaded -= wanted
    await session.journal.barrier().wait()
    items = transfer.export_shards(session.table, wanted)
    sources = {}
    for shard in [shard for shard, found in items.items() if found]:
        sources[shard] = await write_parts(node, shard, items[shard])
    entries = {
        shard: (session.owner, generation)
        for shard, generation in session.table.generations.items()
        if shard in wanted
    }

    # The generation tells a shard that is still held from one that was given and came back
    # while the reply of the update was lost; the exported state is too old for the latter.
    def change(draft: shards.Assignment) -> bool:
        mine = [
            shard
            for shard, held in entries.items()
            if (draft.shards[shard].owner, draft.shards[shard].generation) == held
        ]
        for shard in mine:
            draft.give(shard, target, sources.get(shard, ()))
        return bool(mine)

    await node.assignment.update(change)
    release(session, wanted)
    events.emit(
        events.Event.SHARDS_HANDED_OVER, "shards handed over", count=len(wanted), to=str(target)
    )
    node.hooks.lost(wanted)


async def write_parts(
    node: "recovery.Ownership", shard: int, items: list[bytes]
) -> tuple[shards.Source, ...]:
    """Write a shard's state and return it as a source.

    The name is used once: a write of an earlier attempt may still arrive.
    """
    name = f"{shard}/{node.assignment.current.version}.{uuid.uuid4().hex[:8]}"
    node.bucket.charge()
    await loading.write_handoff(node.store, name, items)
    return (shards.Source("handoff", name),)


def release(session: "sessions.Session", wanted: set[int]) -> None:
    """Forget shards that another node owns now."""
    for shard in wanted:
        generation = session.table.generations[shard]
        session.journal.stage(records.ShardReleased(shard=shard, generation=generation))
    session.table.drop_shards(wanted)
    session.closing -= wanted
    session.frozen -= wanted
