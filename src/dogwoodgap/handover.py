"""Planned moves of shards: rebalancing to new nodes, and draining a node that stops."""

import collections
import typing
import uuid

import anyio

from dogwoodgap import events, exceptions, loading, records, shards, transfer

if typing.TYPE_CHECKING:
    from dogwoodgap import recovery, sessions

REBALANCE_INTERVAL_S = 1.0
MAX_SHARDS_PER_HAND_OVER = 128
"""Shards per hand-over while the node keeps serving. The shards are not served during the few
writes that a hand-over takes."""

DRAIN_POLL_INTERVAL_S = 0.05


async def run_rebalancing(ownership: "recovery.Ownership") -> None:
    """Periodically move shards to the node that has the fewest, until cancelled."""
    while True:
        await anyio.sleep(REBALANCE_INTERVAL_S)
        target = choose_target(ownership)
        if ownership.leaving or target is None:
            continue
        moving = shards_to_move(ownership, target)
        if not moving:
            continue
        try:
            await hand_over(ownership, moving, target)
        except exceptions.StoreError as error:
            loading.log_load_failure("hand-over", error)


def shard_counts(ownership: "recovery.Ownership") -> dict[shards.Owner, int]:
    """Return the number of shards of each live boot, including this one."""
    counts = collections.Counter(entry.owner for entry in ownership.assignment.current.shards)
    return {owner: counts[owner] for owner in ownership.live()}


def all_loaded(ownership: "recovery.Ownership") -> bool:
    """Return whether every shard has a live owner that has loaded it."""
    live = ownership.live()
    return all(
        entry.owner in live and not entry.sources for entry in ownership.assignment.current.shards
    )


def choose_target(ownership: "recovery.Ownership") -> shards.Owner | None:
    """Return the node to which this one should move shards, or None.

    Only the node with the most shards moves any, and only when all shards are loaded and the
    difference exceeds an eighth of its shards.
    """
    if not all_loaded(ownership):
        return None
    counts = shard_counts(ownership)
    busiest = max(counts, key=lambda owner: (counts[owner], owner))
    target = min(counts, key=lambda owner: (counts[owner], owner))
    balanced = counts[busiest] - counts[target] <= max(1, counts[busiest] // 8)
    return None if balanced or busiest != ownership.local_owner else target


def shards_to_move(ownership: "recovery.Ownership", target: shards.Owner) -> set[int]:
    """Return idle shards to move; those without state come first, as they need no export."""
    counts = shard_counts(ownership)
    limit = min(MAX_SHARDS_PER_HAND_OVER, (counts[ownership.local_owner] - counts[target]) // 2)
    idle = [shard for shard in sorted(ownership.session.loaded) if not ownership.hooks.busy(shard)]
    with_state = transfer.shards_with_state(ownership.table)
    idle.sort(key=lambda shard: shard in with_state)
    return set(idle[:limit])


async def hand_over_all(ownership: "recovery.Ownership") -> None:
    """Drain a node that stops: each shard moves as soon as its running work has ended.

    Returns early when no other node is live; a later node takes the shards over from the journal.
    """
    ownership.leaving = True
    session = ownership.session
    session.frozen |= session.loaded
    while not session.sealed and has_shards(ownership):
        targets = sorted(ownership.live() - {ownership.local_owner})
        if not targets:
            return
        session.frozen |= session.loaded
        try:
            for target, moving in assign_targets(ownership, targets).items():
                await hand_over(ownership, moving, target)
        except exceptions.StoreError as error:
            loading.log_load_failure("hand-over", error)
        await anyio.sleep(DRAIN_POLL_INTERVAL_S)


def has_shards(ownership: "recovery.Ownership") -> bool:
    """Return whether this boot still has shards, loaded or assigned."""
    return bool(ownership.session.loaded) or bool(
        ownership.assignment.current.owned_by(ownership.local_owner)
    )


def assign_targets(
    ownership: "recovery.Ownership", targets: list[shards.Owner]
) -> dict[shards.Owner, set[int]]:
    """Assign each idle shard to the target that has the fewest shards."""
    counts = shard_counts(ownership)
    assigned: dict[shards.Owner, set[int]] = {}
    for shard in sorted(ownership.session.loaded):
        if ownership.hooks.busy(shard) or ownership.assignment.current.shards[shard].sources:
            continue
        target = min(targets, key=lambda owner: (counts[owner], owner))
        counts[target] += 1
        assigned.setdefault(target, set()).add(shard)
    return assigned


async def hand_over(
    ownership: "recovery.Ownership", moving: set[int], target: shards.Owner
) -> None:
    """Move idle shards to another node in one conditional update.

    This node stops recording for these shards before the journal barrier. The state exported
    after the barrier therefore contains everything that was ever acknowledged.
    """
    session = ownership.session
    moving = moving & session.loaded
    session.closing |= moving
    session.loaded -= moving
    await session.journal.barrier().wait()
    items = transfer.export_shards(session.table, moving)
    sources = {}
    for shard in [shard for shard, state in items.items() if state]:
        sources[shard] = await write_parts(ownership, shard, items[shard])
    ownerships = {
        shard: (session.owner, generation)
        for shard, generation in session.table.generations.items()
        if shard in moving
    }

    # A shard may have been moved and returned while the reply to the update was lost. Its
    # generation then differs, and the exported state is outdated.
    def change(draft: shards.Assignment) -> bool:
        still_owned = [
            shard
            for shard, expected in ownerships.items()
            if (draft.shards[shard].owner, draft.shards[shard].generation) == expected
        ]
        for shard in still_owned:
            draft.assign(shard, target, sources.get(shard, ()))
        return bool(still_owned)

    await ownership.assignment.update(change)
    release_shards(session, moving)
    events.emit(
        events.Event.SHARDS_HANDED_OVER, "shards handed over", count=len(moving), to=str(target)
    )
    ownership.hooks.lost(moving)


async def write_parts(
    ownership: "recovery.Ownership", shard: int, items: list[bytes]
) -> tuple[shards.Source, ...]:
    """Write a shard's state and return it as a source.

    Each attempt uses a new object name, since a delayed write of an earlier one may still arrive.
    """
    name = f"{shard}/{ownership.assignment.current.version}.{uuid.uuid4().hex[:8]}"
    ownership.bucket.charge()
    await loading.write_handoff(ownership.store, name, items)
    return (shards.Source("handoff", name),)


def release_shards(session: "sessions.Session", released: set[int]) -> None:
    """Record the release of shards that another node owns now, and drop their state."""
    for shard in released:
        generation = session.table.generations[shard]
        session.journal.stage(records.ShardReleased(shard=shard, generation=generation))
    session.table.drop_shards(released)
    session.closing -= released
    session.frozen -= released
